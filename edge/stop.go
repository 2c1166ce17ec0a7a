package edge

import (
	"context"
	"sync"
	"time"
)

const (
	// endMargin is how long before the end of the process requests that no target has got are rejected.
	endMargin = 300 * time.Millisecond
	// reasonStopping is the reason of a rejection by a host that stops before it could finish the request.
	reasonStopping = "stopping"
)

// stopSchedule is when a stopping host accepts no more connections, and when its process ends.
type stopSchedule struct {
	lastAccept time.Time
	end        time.Time     // zero if there is none
	ending     chan struct{} // closed endMargin before end
	once       sync.Once     // guards the closing of ending
}

// begin sets the schedule of a shutdown that ends with ctx. The timer that it returns closes s.ending.
func (s *stopSchedule) begin(ctx context.Context, now time.Time) *time.Timer {
	s.lastAccept = now.Add(acceptAfterShutdown)
	left := time.Duration(1<<63 - 1)
	if end, ok := ctx.Deadline(); ok {
		s.end = end
		left = end.Sub(now) - endMargin
	}
	return time.AfterFunc(left, func() { s.once.Do(func() { close(s.ending) }) })
}

// tooLate reports whether a request may outlive the process that it reached after the last connection was accepted.
func (s *stopSchedule) tooLate(now, deadline time.Time) bool {
	return now.After(s.lastAccept) && !s.end.IsZero() && deadline.After(s.end)
}
