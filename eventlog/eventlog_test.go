package eventlog

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockingWriter collects what is written. If block is set, Write blocks until it is closed.
type blockingWriter struct {
	mu    sync.Mutex
	block chan struct{}
	data  bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	if b.block != nil {
		<-b.block
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *blockingWriter) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// Lines at or above the level are written with their attributes.
func TestLinesAreWritten(t *testing.T) {
	c := qt.New(t)
	w := &blockingWriter{}
	log, stop := New(w, slog.LevelInfo)
	log.Debug("test: Hidden.")
	log.With("part", "test").Info("test: Shown.", "request", "9c41")
	stop()
	c.Check(strings.Count(w.String(), "\n"), qt.Equals, 1)
	c.Check(w.String(), qt.Contains, `"part":"test","request":"9c41"`)
}

// A writer that blocks does not block the callers of the logger.
func TestLoggingDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	w := &blockingWriter{block: make(chan struct{})}
	log, stop := New(w, slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		for range 10 * queueLength {
			log.Info("test: Line.")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		c.Fatal("logging blocked")
	}
	close(w.block)
	stop()
}

// The rate limit drops ordinary lines, logs their number, and leaves warnings unaffected.
func TestFloodIsLimitedAndWarningsAreWritten(t *testing.T) {
	c := qt.New(t)
	w := &blockingWriter{}
	log, stop := New(w, slog.LevelInfo)
	for range 5 * maxLinesPerSecond {
		log.Info("test: Flood.")
	}
	log.Warn("test: Warning.")
	time.Sleep(3 * flushInterval) // the number of dropped lines is logged with the next flush
	stop()
	c.Check(strings.Count(w.String(), "Flood") <= 2*maxLinesPerSecond, qt.IsTrue)
	c.Check(w.String(), qt.Contains, "test: Warning.")
	c.Check(w.String(), qt.Contains, "Lines were dropped.")
}
