package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The load: callers keep sending bodies that stop after their beginning and so take the slots of the only target, beside one
// ordinary request. After the first of them was found to have stalled, the ordinary one is sent at once.
func TestStreamedRequestsLeaveSlots(t *testing.T) {
	tests := []struct {
		name     string
		deferred bool
		started  int // streamed requests
		ordinary bool
	}{
		{"calm", false, 6, false},
		{"after a stall", true, 3, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sched := newScheduler(nil)
			one := targets(1)
			one[0].Slots = 4 // 6 with overcommit
			sched.SetTargets(start, one)
			sched.SetSingleRank(true)
			if test.deferred {
				sched.DeferStreamed(start.Add(time.Second))
			}
			add := func(streamed bool) *Request {
				r := newRequest(start, 0, time.Minute, time.Hour)
				r.Streamed = streamed
				_, ok := sched.Add(start, r)
				c.Assert(ok, qt.IsTrue)
				return r
			}
			for range 20 {
				add(true)
			}
			streamed := 0
			for _, ok := sched.Next(start); ok; _, ok = sched.Next(start) {
				streamed++
			}
			c.Check(streamed, qt.Equals, test.started)
			ordinary := add(false)
			d, ok := sched.Next(start)
			c.Check(ok, qt.Equals, test.ordinary)
			if test.ordinary {
				c.Check(d.Request, qt.Equals, ordinary)
				later := start.Add(2 * time.Second)
				d, ok = sched.Next(later)
				c.Check(ok, qt.IsTrue, qt.Commentf("the deferral has ended"))
				c.Check(d.Request.Streamed, qt.IsTrue)
			}
		})
	}
}
