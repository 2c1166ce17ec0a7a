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

// The owner of keys that has stated that it leaves serves them for OwnerGrace, as no other target can, and gets no other requests. If
// its entry says that it drains, or no keys can move and the time is over, requests for its keys do not go there.
func TestOwnerThatLeaves(t *testing.T) {
	const grace = time.Second
	tests := []struct {
		name            string
		noticed, halted bool
		after           time.Duration // since the owner is taken for draining
		want            string        // target, "wait" or "reject"
	}{
		{"stated", true, false, 0, "t0"},
		{"stated, no moves", true, true, grace - ms, "t0"},
		{"stated a while ago", true, false, grace, "wait"},
		{"stated a while ago, no moves", true, true, grace, "reject"},
		{"entry", false, false, 0, "wait"},
		{"entry, no moves", false, true, 0, "reject"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newScheduler(keyOwners{1: "t0"})
			s.options.OwnerGrace = grace
			all := targets(2)
			all[0].Draining, all[0].Noticed = true, test.noticed
			s.SetTargets(start, all)
			s.SetMovesHalted(test.halted)
			now := start.Add(test.after)
			keyed := newRequest(now, 0, 10*time.Second, 10*time.Second)
			keyed.Key, keyed.Keyed = 1, true
			got := "reject"
			if rejection, ok := s.Add(now, keyed); ok {
				got = "wait"
				if d, sent := s.Next(now); sent {
					got = d.Target.Name
				}
			} else {
				c.Check(rejection.Reason, qt.Equals, NoTarget)
			}
			c.Check(got, qt.Equals, test.want)
			s.Add(now, newRequest(now, 0, 10*time.Second, 10*time.Second))
			d, sent := s.Next(now)
			c.Check(sent && d.Target.Name == "t1", qt.IsTrue)
		})
	}
}
