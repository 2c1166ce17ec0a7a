package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// limitedScheduler returns a scheduler with n targets, of which the first limited ones state one request per second.
func limitedScheduler(n, limited int, owner string) *Scheduler {
	s := New(Options{
		Random: func() float64 { return 0.5 }, Connected: func(string) bool { return true },
		Owner: func(uint16) (string, bool) { return owner, owner != "" },
	})
	targets := make([]platform.Target, 0, n)
	limits := map[string]float64{}
	for i := range n {
		name := fmt.Sprint("t", i)
		targets = append(targets, platform.Target{Name: name, Slots: 2})
		if i < limited {
			limits[name] = 1
		}
	}
	s.SetTargets(limitStart, targets)
	s.SetRateLimits(limits)
	return s
}

var limitStart = time.Unix(1700000000, 0)

func limitedRequest(keyed bool) *Request {
	return &Request{Route: "r", Keyed: keyed, Objective: limitStart.Add(time.Second), Deadline: limitStart.Add(10 * time.Second)}
}

// A limited target gets as many requests as there are permits, and none with an expired permit.
func TestLimitedTargetNeedsPermits(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		t.Run(fmt.Sprint("keyed ", keyed), func(t *testing.T) {
			c := qt.New(t)
			s := limitedScheduler(1, 1, "t0")
			for range 3 {
				_, ok := s.Add(limitStart, limitedRequest(keyed))
				c.Assert(ok, qt.IsTrue)
			}
			_, sent := s.Next(limitStart)
			c.Check(sent, qt.IsFalse)
			c.Check(s.WantsPermits(limitStart), qt.IsTrue)
			c.Assert(s.PermitWants(limitStart), qt.HasLen, 1)
			s.AddPermits(limitStart, "t0", 1, limitStart.Add(time.Second))
			_, sent = s.Next(limitStart)
			c.Check(sent, qt.IsTrue)
			_, sent = s.Next(limitStart)
			c.Check(sent, qt.IsFalse)
			s.AddPermits(limitStart, "t0", 1, limitStart.Add(time.Second))
			_, sent = s.Next(limitStart.Add(time.Second))
			c.Check(sent, qt.IsFalse)
			c.Check(s.PermitWants(limitStart.Add(time.Second))[0].Unused, qt.Equals, 1)
		})
	}
}

// Requests go to targets without a limit while these have free slots, and a host asks for no permits then.
func TestUnlimitedTargetsComeFirst(t *testing.T) {
	c := qt.New(t)
	s := limitedScheduler(3, 2, "")
	_, ok := s.Add(limitStart, limitedRequest(false))
	c.Assert(ok, qt.IsTrue)
	d, sent := s.Next(limitStart)
	c.Assert(sent, qt.IsTrue)
	c.Check(d.Target.Name, qt.Equals, "t2")
}

// A request that no permit can reach before its deadline is rejected when it arrives, and the next one finds a permit.
func TestRequestsBeyondTheRateLimitAreRejectedAtOnce(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		t.Run(fmt.Sprint("keyed ", keyed), func(t *testing.T) {
			c := qt.New(t)
			s := limitedScheduler(1, 1, "t0")
			rejected := 0
			for range 40 {
				if rejection, ok := s.Add(limitStart, limitedRequest(keyed)); !ok {
					c.Check(rejection.Reason, qt.Equals, RateLimited)
					rejected++
				}
				s.Next(limitStart)
			}
			c.Check(rejected >= 30, qt.IsTrue, qt.Commentf("%d of 40", rejected))
			c.Check(s.WantsPermits(limitStart), qt.IsTrue)
		})
	}
}

// A long wait for permits does not cause rejections indefinitely, because a rejected request also wants a permit.
func TestRejectionsForLackOfPermitsEnd(t *testing.T) {
	c := qt.New(t)
	s := limitedScheduler(1, 1, "t0")
	short := func(now time.Time) *Request {
		return &Request{Route: "r", Keyed: true, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond)}
	}
	now := limitStart
	_, ok := s.Add(now, short(now))
	c.Assert(ok, qt.IsFalse) // a permit is expected in a second
	c.Assert(s.PermitWants(now), qt.HasLen, 1)
	now = now.Add(20 * time.Millisecond)
	s.AddPermits(now, "t0", 1, now.Add(time.Second))
	_, ok = s.Add(now, short(now))
	c.Assert(ok, qt.IsTrue)
	_, sent := s.Next(now)
	c.Check(sent, qt.IsTrue)
}

// A target whose limit has ended gets requests without permits.
func TestEndedLimitNeedsNoPermits(t *testing.T) {
	c := qt.New(t)
	s := limitedScheduler(1, 1, "")
	_, ok := s.Add(limitStart, limitedRequest(false))
	c.Assert(ok, qt.IsTrue)
	_, sent := s.Next(limitStart)
	c.Assert(sent, qt.IsFalse)
	s.SetRateLimits(nil)
	_, sent = s.Next(limitStart)
	c.Check(sent, qt.IsTrue)
}
