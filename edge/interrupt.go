package edge

import (
	"context"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/platform"
)

// interruptInterval is the time between two searches for attempts to interrupt while the host is cut off.
const interruptInterval = 100 * time.Millisecond

// interrupts holds the attempts in progress that the host gives up when it is found to be cut
// off from all targets: those of requests that may run again. Their targets would not
// respond before the deadline.
type interrupts struct {
	mu       sync.Mutex
	attempts map[*request]*interruptible
}

// interruptible is an attempt in progress.
type interruptible struct {
	cancel      context.CancelFunc
	interrupted bool
}

// interruptible returns the context for an attempt, and a function that ends its registration and reports whether it was
// interrupted. The context outlives the registration, as the response may still be read.
func (q *request) interruptible(ctx context.Context) (context.Context, func() bool) {
	last := q.possibleRuns+1 >= q.route.Attempts
	if !q.edge.relaying() || q.relayed != nil || q.route.Repeat != platform.Idempotent || last {
		return ctx, func() bool { return false }
	}
	ctx, cancel := context.WithCancel(ctx)
	a, in := &interruptible{cancel: cancel}, &q.edge.interrupts
	in.mu.Lock()
	in.attempts[q] = a
	in.mu.Unlock()
	return ctx, func() bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		delete(in.attempts, q)
		return a.interrupted
	}
}

// interruptAttempts interrupts attempts whenever the host is found to be cut off. It runs until ctx ends.
func (e *Edge) interruptAttempts(ctx context.Context) {
	if !e.relaying() {
		return
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.cutOffBegins():
			if e.cutOff() && e.relays.count() > 0 {
				e.interruptAll(ctx)
			}
			sleep(ctx, interruptInterval)
		}
	}
}

// interruptAll interrupts the attempts in progress for which the budget allows a retry.
func (e *Edge) interruptAll(ctx context.Context) {
	e.interrupts.mu.Lock()
	defer e.interrupts.mu.Unlock()
	for q, a := range e.interrupts.attempts {
		if !a.interrupted && q.takeRetry(ctx, true) {
			a.interrupted = true
			a.cancel()
		}
	}
}

// handleInterrupted handles an attempt that was interrupted. The request is not finished.
func (q *request) handleInterrupted(d schedulerDecision, err error) {
	q.err = err
	if exchange.MayHaveRun(err) {
		q.possibleRuns++
	}
	d.client.CloseIdle()
	q.logRetry(d, reasonCutOff, err)
}
