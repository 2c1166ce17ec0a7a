package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	callerHost = "bookings.example"
	// callerTimeout is the time for which a caller waits.
	callerTimeout = 2500 * time.Millisecond
)

// A load is a number of callers that send requests in turn over kept connections.
type load struct {
	record *record
	path   string
	keys   []uint16
	pause  time.Duration
	bytes  int
	method string
	// pick returns the key of the next request; if it is nil, the callers use keys in turn.
	pick func() uint16

	mu       sync.Mutex
	sent     int
	statuses map[string]int // by id; 0 means that no complete answer came
}

func newLoad(r *record, path string, keys []uint16, pause time.Duration, bytes int) *load {
	return &load{record: r, path: path, keys: keys, pause: pause, bytes: bytes, method: http.MethodPost, statuses: map[string]int{}}
}

// run sends requests with callers callers to each daemon until ctx ends, and waits for the last answers.
func (l *load) run(ctx context.Context, daemons []*daemon, callers int) {
	var wg sync.WaitGroup
	for _, d := range daemons {
		for i := range callers {
			wg.Go(func() { l.call(ctx, d, i) })
		}
	}
	wg.Wait()
}

func (l *load) call(ctx context.Context, d *daemon, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		key := uint16(0)
		if l.pick != nil {
			key = l.pick()
		} else {
			key = l.keys[(n+caller)%len(l.keys)]
		}
		l.send(client, d, fmt.Sprintf("%s-%s-%d-%d", strings.Trim(l.path, "/"), d.host, caller, n), key)
		select {
		case <-ctx.Done():
		case <-time.After(l.pause):
		}
	}
}

// send sends one request and records its answer.
func (l *load) send(client *http.Client, d *daemon, id string, key uint16) {
	r, err := http.NewRequest(l.method, "http://"+d.entry.String()+l.path+id, bytes.NewReader(make([]byte, l.bytes)))
	if err != nil {
		l.record.addf("error: %v", err)
		return
	}
	r.GetBody = nil // net/http must not send the request again
	r.Host = callerHost
	platform.SetRequestMeta(r.Header, platform.RequestMeta{ID: id, Timeout: callerTimeout, Key: key, HasKey: true})
	l.record.addf("send: %s key %d to %s", id, key, d.host)
	status := 0
	if resp, err := client.Do(r); err == nil {
		_, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
	}
	l.record.addf("answer: %s %d", id, status)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.statuses[id] = status
}

// summary returns how many requests ended with each status.
func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[int]int{}
	for _, s := range l.statuses {
		counts[s]++
	}
	return fmt.Sprintf("%d requests sent, by status %v", l.sent, counts)
}
