package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers that sent thousands of requests ahead filled the queue, and the requests of all others were rejected.
func TestBacklogLeavesRoomInTheQueue(t *testing.T) {
	c := qt.New(t)
	sched := newScheduler(nil)
	sched.SetTargets(start, targets(1))
	rejected := 0
	for range 2 * maxQueueLength {
		r := newRequest(start, 0, time.Minute, time.Hour)
		r.Backlog = true
		if _, ok := sched.Add(start, r); !ok {
			rejected++
		}
	}
	c.Check(sched.Queued(), qt.Equals, maxQueuedDeferred)
	c.Check(rejected, qt.Equals, 2*maxQueueLength-maxQueuedDeferred)
	ordinary := newRequest(start, 0, time.Minute, time.Hour)
	_, ok := sched.Add(start, ordinary)
	c.Assert(ok, qt.IsTrue)
	d, ok := sched.Next(start)
	c.Assert(ok, qt.IsTrue)
	c.Check(d.Request, qt.Equals, ordinary)
}
