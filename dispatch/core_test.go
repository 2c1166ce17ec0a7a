package dispatch

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func twoClasses() Config {
	return Config{
		Classes:     []ClassConfig{{Rank: 0, QueueLimit: 2000, Ageing: time.Second}, {Rank: 1, QueueLimit: 2000, Ageing: time.Second}},
		LongRoutes:  []bool{false, true},
		RetryRatio:  0.1,
		MaxAttempts: 3,
	}
}

var start = time.Unix(1000, 0)

func request(class, route int) *Request {
	return &Request{Class: class, Route: route, Shard: -1, Owner: AnyTarget, Deadline: start.Add(time.Hour), Repeatable: true}
}

// warmUp runs enough requests to end the warm-up of all targets.
func warmUp(c *Dispatcher, now time.Time) {
	for range 40 {
		r := request(0, 0)
		c.Add(now, r)
		r, _ = c.Next(now)
		c.Finish(now.Add(time.Millisecond), r, ResultOK)
	}
}

func TestAgedRequestIsNotStarved(t *testing.T) {
	c := New(twoClasses())
	c.SetTarget(TargetSpec{Name: "a", Slots: 2})
	warmUp(c, start)
	low := request(1, 0)
	qt.Assert(t, c.Add(start, low), qt.IsNil)
	now := start
	var running []*Request
	for i := 0; low.Started().IsZero(); i++ {
		// Keep enough requests of the top class queued to fill every slot.
		for c.Queued() < 10 {
			c.Add(now, request(0, 0))
		}
		for r, ok := c.Next(now); ok; r, ok = c.Next(now) {
			running = append(running, r)
		}
		now = now.Add(5 * time.Millisecond)
		for _, r := range running {
			if r != low {
				c.Finish(now, r, ResultOK)
			}
		}
		running = running[:0]
		qt.Assert(t, i < 1000, qt.IsTrue)
	}
	waited := low.Started().Sub(start)
	qt.Assert(t, waited >= time.Second, qt.IsTrue)
	qt.Assert(t, waited <= time.Second+agedInterval*5*time.Millisecond, qt.IsTrue, qt.Commentf("waited %s", waited))
}

func TestLongRequestsLeaveOneSlotFree(t *testing.T) {
	c := New(twoClasses())
	c.SetTarget(TargetSpec{Name: "a", Slots: 2})
	warmUp(c, start)
	for range 3 {
		c.Add(start, request(1, 1))
	}
	_, ok := c.Next(start)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = c.Next(start)
	qt.Assert(t, ok, qt.IsFalse)
	c.Add(start, request(1, 0))
	r, ok := c.Next(start)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Long(), qt.IsFalse)
}

func TestOverdueRequestBecomesLong(t *testing.T) {
	c := New(twoClasses())
	c.SetTarget(TargetSpec{Name: "a", Slots: 2})
	warmUp(c, start)
	r := request(0, 0)
	c.Add(start, r)
	c.Next(start)
	c.Tick(start.Add(time.Second))
	qt.Assert(t, r.Long(), qt.IsTrue)
}

func TestUnreachableDeadlineIsRefusedOnAdd(t *testing.T) {
	c := New(twoClasses())
	c.SetTarget(TargetSpec{Name: "a", Slots: 2})
	now := start
	for range 100 {
		r := request(0, 0)
		c.Add(now, r)
		r, _ = c.Next(now)
		now = now.Add(10 * time.Millisecond)
		c.Finish(now, r, ResultOK)
	}
	for range 100 {
		c.Add(now, request(0, 0))
	}
	late := request(0, 0)
	late.Deadline = now.Add(100 * time.Millisecond)
	refusal := c.Add(now, late)
	qt.Assert(t, refusal, qt.IsNotNil)
	qt.Assert(t, refusal.Reason, qt.Equals, ReasonDeadlineUnreachable)
	qt.Assert(t, refusal.RetryAfter > 0, qt.IsTrue)
}

func TestSheddingStartsWithLowestRank(t *testing.T) {
	cfg := twoClasses()
	cfg.QueueLimit = 2
	c := New(cfg)
	low := request(1, 0)
	c.Add(start, low)
	c.Add(start, request(0, 0))
	qt.Assert(t, c.Add(start, request(0, 0)), qt.IsNil)
	refused := c.TakeRefused()
	qt.Assert(t, refused, qt.HasLen, 1)
	qt.Assert(t, refused[0].Request, qt.Equals, low)
	qt.Assert(t, c.Add(start, request(1, 0)).Reason, qt.Equals, ReasonShed)
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	c := New(twoClasses())
	c.SetTarget(TargetSpec{Name: "a", Slots: 2})
	retries := 0
	for range 200 {
		r := request(0, 0)
		c.Add(start, r)
		r, ok := c.Next(start)
		for ok && c.Finish(start, r, ResultConnectionFailed) == OutcomeRequeued {
			retries++
			r, ok = c.Next(start)
		}
	}
	qt.Assert(t, retries <= maxRetryTokens, qt.IsTrue, qt.Commentf("%d retries", retries))
}

func TestColdTargetStartsWithOneSlot(t *testing.T) {
	c := New(twoClasses())
	c.SetTarget(TargetSpec{Name: "a", Slots: 2})
	c.Add(start, request(0, 0))
	c.Add(start, request(0, 0))
	_, ok := c.Next(start)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = c.Next(start)
	qt.Assert(t, ok, qt.IsFalse)
}

// Changing the slots of a target must not raise the limit that it learned from
// its results.
func TestSetTargetKeepsLearnedLimit(t *testing.T) {
	c := New(twoClasses())
	c.SetTarget(TargetSpec{Name: "a", Slots: 4})
	c.SetTarget(TargetSpec{Name: "a", Slots: 8})
	for want := range []int{0, 1} {
		c.Add(start, request(0, 0))
		_, ok := c.Next(start)
		qt.Assert(t, ok, qt.Equals, want == 0)
	}
}

func TestCrashingRequestIsSetAsideAfterTwoTargets(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprintf("repeatable=%v", repeatable), func(t *testing.T) { crashUntilQuarantined(t, repeatable) })
	}
}

// crashUntilQuarantined repeatedly adds a request that crashes every target it
// runs on, together with other requests, until it is refused.
func crashUntilQuarantined(t *testing.T, repeatable bool) {
	c := New(twoClasses())
	for _, n := range []string{"a", "b", "c"} {
		c.SetTarget(TargetSpec{Name: n, Slots: 2})
	}
	warmUp(c, start)
	now := start
	crashed := 0
	last := uint64(1) // the last fingerprint used by the other requests
	for range 5 {
		bad := request(0, 0)
		bad.Fingerprint = 666
		bad.Repeatable = repeatable
		if r := c.Add(now, bad); r != nil {
			qt.Assert(t, r.Reason, qt.Equals, ReasonQuarantined)
			break
		}
		for range 5 {
			last++
			other := request(0, 0)
			other.Fingerprint = last
			c.Add(now, other)
		}
		crashed += runAll(c, &now)
	}
	qt.Assert(t, crashed, qt.Equals, 2)
	qt.Assert(t, c.Add(now, &Request{Fingerprint: 666, Owner: AnyTarget, Shard: -1, Deadline: start.Add(time.Hour)}).Reason, qt.Equals, ReasonQuarantined)
	for fp := uint64(2); fp <= last; fp++ {
		s, ok := c.suspects.lookup(now, fp)
		qt.Assert(t, ok && s.quarantined, qt.IsFalse)
	}
}

// runAll sends all waiting requests and returns the number of crashes. The
// request with fingerprint 666 crashes its target, which fails every request
// running there.
func runAll(c *Dispatcher, now *time.Time) int {
	crashed := 0
	for c.Queued() > 0 {
		var running []*Request
		bad := -1
		for r, ok := c.Next(*now); ok; r, ok = c.Next(*now) {
			running = append(running, r)
			if r.Fingerprint == 666 {
				bad = r.Target()
			}
		}
		*now = now.Add(20 * time.Millisecond)
		if bad >= 0 {
			crashed++
		}
		for _, r := range running {
			result := ResultOK
			if r.Target() == bad {
				result = ResultCrashed
			}
			c.Finish(*now, r, result)
		}
		if len(running) == 0 {
			*now = now.Add(time.Second)
		}
	}
	return crashed
}

func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{8, 64} {
		for _, queued := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", targets, queued), func(b *testing.B) { benchmarkDecision(b, targets, queued) })
		}
	}
}

// benchmarkDecision measures one cycle of Finish, Add and Next.
func benchmarkDecision(b *testing.B, targets, queued int) {
	cfg := twoClasses()
	cfg.Classes[1].QueueLimit = 2 * queued
	c := New(cfg)
	for i := range targets {
		c.SetTarget(TargetSpec{Name: strconv.Itoa(i), Slots: 2})
	}
	warmUp(c, start)
	now := start
	for range queued {
		c.Add(now, request(1, 0))
	}
	running := make([]*Request, 0, 2*targets)
	for r, ok := c.Next(now); ok; r, ok = c.Next(now) {
		running = append(running, r)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Microsecond)
		k := i % len(running)
		r := running[k]
		c.Finish(now, r, ResultOK)
		*r = Request{Class: 1, Shard: -1, Owner: AnyTarget, Deadline: now.Add(time.Hour)}
		c.Add(now, r)
		running[k], _ = c.Next(now)
	}
}
