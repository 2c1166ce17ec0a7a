package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the file that lists what was sent, answered and run. Its methods are safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

// addf writes one line with the time since the start in seconds.
func (r *record) addf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, a...)) // a lost line shows in the file
}

// close closes the file.
func (r *record) close() { _ = r.file.Close() }
