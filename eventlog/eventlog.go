// Package eventlog implements a structured logger that never blocks its callers.
//
// Lines are put into a bounded queue, which one goroutine writes out. Lines that
// exceed the rate limit or find the queue full are dropped, and their number is
// logged periodically. Warnings and errors have a separate rate limit, so that a
// flood of other lines does not use it up.
//
// # Usage
//
//	log, stop := eventlog.New(os.Stdout, slog.LevelInfo)
//	defer stop()
//	log.Info("entry: Request ended.", "request", id)
package eventlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLinesPerSecond limits warnings and errors, and separately all other lines. A host serves about 60 requests
	// per second at peak load.
	maxLinesPerSecond = 400
	// queueLength is the maximum number of lines waiting to be written.
	queueLength = 1024
	// flushSize is the number of buffered bytes at which lines are written out.
	flushSize = 16 << 10
	// flushInterval is the maximum time for which a line stays buffered.
	flushInterval = 100 * time.Millisecond
)

// New returns a logger that writes JSON lines to w, and a function that writes the
// remaining lines and stops the logger.
func New(w io.Writer, level slog.Level) (*slog.Logger, func()) {
	q := &queue{lines: make(chan []byte, queueLength), done: make(chan struct{})}
	h := &handler{Handler: slog.NewJSONHandler(q, &slog.HandlerOptions{Level: level}), limiter: &rateLimiter{}}
	go q.run(w, h.limiter)
	return slog.New(h), func() {
		q.closeOnce.Do(func() { close(q.lines) })
		<-q.done
	}
}

// queue is the writer of the JSON handler.
type queue struct {
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// Write queues a line, or drops it when the queue is full.
func (q *queue) Write(line []byte) (n int, err error) {
	defer func() {
		if recover() != nil { // send on the closed queue; the process is ending
			n, err = len(line), nil
		}
	}()
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines to w, and the number of dropped ones, until the queue
// is closed.
func (q *queue) run(w io.Writer, l *rateLimiter) {
	defer close(q.done)
	var buf []byte
	flush := func() {
		if len(buf) > 0 {
			_, _ = w.Write(buf) // an error of the log output cannot be logged
			buf = buf[:0]
		}
	}
	report := slog.New(slog.NewJSONHandler(w, nil))
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case line, ok := <-q.lines:
			if !ok {
				flush()
				return
			}
			buf = append(buf, line...)
			if len(buf) >= flushSize {
				flush()
			}
		case <-tick.C:
			flush()
			if n := q.dropped.Swap(0) + l.dropped.Swap(0); n > 0 {
				report.Warn("eventlog: Lines were dropped.", "count", n)
			}
		}
	}
}

// rateLimiter limits the lines per second.
type rateLimiter struct {
	mu      sync.Mutex
	second  int64  // Unix time to which counts apply
	counts  [2]int // other lines, warnings and errors
	dropped atomic.Int64
}

// allow counts a line and reports whether it is within the limit.
func (l *rateLimiter) allow(now time.Time, level slog.Level) bool {
	kind := 0
	if level >= slog.LevelWarn {
		kind = 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.counts = s, [2]int{}
	}
	l.counts[kind]++
	return l.counts[kind] <= maxLinesPerSecond
}

// handler drops records that exceed the rate limit.
type handler struct {
	slog.Handler
	limiter *rateLimiter
}

func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limiter.allow(r.Time, r.Level) {
		h.limiter.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}
