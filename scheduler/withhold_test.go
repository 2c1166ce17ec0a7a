package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A target that asks for no requests gets none until the time is over. Requests go to others, wait if the time is over before their
// deadlines, and are rejected at once with a true RetryAfter if it is not.
func TestWithhold(t *testing.T) {
	owners := keyOwners{1: "t0", 2: "t1"}
	tests := []struct {
		name     string
		withheld []int // targets of two that ask for no requests for two seconds
		key      uint16
		deadline time.Duration
		want     string // target of the request, or empty
		waits    bool
	}{
		{name: "another target", withheld: []int{0}, deadline: time.Second, want: "t1"},
		{name: "no other target", withheld: []int{0, 1}, deadline: time.Second},
		{name: "no other target, but time", withheld: []int{0, 1}, deadline: 5 * time.Second, waits: true},
		{name: "owner", withheld: []int{0}, key: 1, deadline: time.Second},
		{name: "owner, but time", withheld: []int{0}, key: 1, deadline: 5 * time.Second, waits: true},
		{name: "another owner", withheld: []int{0}, key: 2, deadline: time.Second, want: "t1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(owners)
			s.SetTargets(start, targets(2))
			for _, i := range test.withheld {
				s.Withhold(start, targets(2)[i], start.Add(2*time.Second))
			}
			r := newRequest(start, 0, test.deadline, test.deadline)
			r.Key, r.Keyed = test.key, test.key > 0
			rejection, queued := s.Add(start, r)
			c.Assert(queued, qt.Equals, test.want != "" || test.waits)
			if !queued {
				c.Check(rejection.Reason, qt.Equals, Withheld)
				c.Check(rejection.RetryAfter >= 2*time.Second && rejection.RetryAfter < 2200*ms, qt.IsTrue, qt.Commentf("%s", rejection.RetryAfter))
				return
			}
			d, sent := s.Next(start.Add(1999 * ms))
			c.Check(sent, qt.Equals, !test.waits)
			if test.waits {
				d, sent = s.Next(start.Add(2 * time.Second))
				c.Check(sent, qt.IsTrue)
				return
			}
			c.Check(d.Target.Name, qt.Equals, test.want)
		})
	}
}

// The time holds for the process that asked, also if its entry is away for a while, and a shorter one does not replace it.
func TestWithholdOfAProcess(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(nil)
	all := targets(2)
	s.SetTargets(start, all)
	s.Withhold(start, all[0], start.Add(2*time.Second))
	s.Withhold(start, all[0], start.Add(time.Second))
	s.SetTargets(start, all[1:])
	s.SetTargets(start, all)
	c.Check(s.TargetStates(start)[0].WithheldFor, qt.Equals, 2.0)
	restarted := targets(2)
	restarted[0].StartedAt = start.Add(time.Second)
	s.SetTargets(start, restarted)
	c.Check(s.TargetStates(start)[0].WithheldFor, qt.Equals, 0.0)
}
