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
	return &Request{Class: class, Route: route, Shard: -1, Owner: AnyTarget, Deadline: start.Add(time.Hour), Idempotent: true}
}

// warmUp runs enough requests to end the warm-up of all targets.
func warmUp(d *Dispatcher, now time.Time) {
	for range 40 {
		r := request(0, 0)
		d.Add(now, r)
		r, _ = d.Next(now)
		d.Finish(now.Add(time.Millisecond), r, ResultOK)
	}
}

func TestAgedRequestIsNotStarved(t *testing.T) {
	d := New(twoClasses())
	d.SetTarget(TargetSpec{Name: "a", Slots: 2})
	warmUp(d, start)
	low := request(1, 0)
	qt.Assert(t, d.Add(start, low), qt.IsNil)
	now := start
	var running []*Request
	for i := 0; low.Started().IsZero(); i++ {
		// Keep enough requests of the top class queued to fill every slot.
		for d.Queued() < 10 {
			d.Add(now, request(0, 0))
		}
		for r, ok := d.Next(now); ok; r, ok = d.Next(now) {
			running = append(running, r)
		}
		now = now.Add(5 * time.Millisecond)
		for _, r := range running {
			if r != low {
				d.Finish(now, r, ResultOK)
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
	d := New(twoClasses())
	d.SetTarget(TargetSpec{Name: "a", Slots: 2})
	warmUp(d, start)
	for range 3 {
		d.Add(start, request(1, 1))
	}
	_, ok := d.Next(start)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = d.Next(start)
	qt.Assert(t, ok, qt.IsFalse)
	d.Add(start, request(1, 0))
	r, ok := d.Next(start)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Long(), qt.IsFalse)
}

func TestOverdueRequestBecomesLong(t *testing.T) {
	d := New(twoClasses())
	d.SetTarget(TargetSpec{Name: "a", Slots: 2})
	warmUp(d, start)
	r := request(0, 0)
	d.Add(start, r)
	d.Next(start)
	d.Tick(start.Add(time.Second))
	qt.Assert(t, r.Long(), qt.IsTrue)
}

func TestUnreachableDeadlineIsRejectedOnAdd(t *testing.T) {
	d := New(twoClasses())
	d.SetTarget(TargetSpec{Name: "a", Slots: 2})
	now := start
	for range 100 {
		r := request(0, 0)
		d.Add(now, r)
		r, _ = d.Next(now)
		now = now.Add(10 * time.Millisecond)
		d.Finish(now, r, ResultOK)
	}
	for range 100 {
		d.Add(now, request(0, 0))
	}
	late := request(0, 0)
	late.Deadline = now.Add(100 * time.Millisecond)
	rejection := d.Add(now, late)
	qt.Assert(t, rejection, qt.IsNotNil)
	qt.Assert(t, rejection.Reason, qt.Equals, ReasonDeadlineUnreachable)
	qt.Assert(t, rejection.RetryAfter > 0, qt.IsTrue)
}

func TestSheddingStartsWithLowestRank(t *testing.T) {
	cfg := twoClasses()
	cfg.QueueLimit = 2
	d := New(cfg)
	low := request(1, 0)
	d.Add(start, low)
	d.Add(start, request(0, 0))
	qt.Assert(t, d.Add(start, request(0, 0)), qt.IsNil)
	rejected := d.TakeRejected()
	qt.Assert(t, rejected, qt.HasLen, 1)
	qt.Assert(t, rejected[0].Request, qt.Equals, low)
	qt.Assert(t, d.Add(start, request(1, 0)).Reason, qt.Equals, ReasonShed)
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	d := New(twoClasses())
	d.SetTarget(TargetSpec{Name: "a", Slots: 2})
	retries := 0
	for range 200 {
		r := request(0, 0)
		d.Add(start, r)
		r, ok := d.Next(start)
		for ok && d.Finish(start, r, ResultConnectionFailed) == OutcomeRequeued {
			retries++
			r, ok = d.Next(start)
		}
	}
	qt.Assert(t, retries <= maxRetryTokens, qt.IsTrue, qt.Commentf("%d retries", retries))
}

func TestColdTargetStartsWithOneSlot(t *testing.T) {
	d := New(twoClasses())
	d.SetTarget(TargetSpec{Name: "a", Slots: 2})
	d.Add(start, request(0, 0))
	d.Add(start, request(0, 0))
	_, ok := d.Next(start)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = d.Next(start)
	qt.Assert(t, ok, qt.IsFalse)
}

// TestSetTargetKeepsLearnedLimit checks that changing the slots of a target does not
// raise the limit that was learned from its results.
func TestSetTargetKeepsLearnedLimit(t *testing.T) {
	d := New(twoClasses())
	d.SetTarget(TargetSpec{Name: "a", Slots: 4})
	d.SetTarget(TargetSpec{Name: "a", Slots: 8})
	for want := range []int{0, 1} {
		d.Add(start, request(0, 0))
		_, ok := d.Next(start)
		qt.Assert(t, ok, qt.Equals, want == 0)
	}
}

func TestCrashingRequestIsSetAsideAfterTwoTargets(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent=%v", idempotent), func(t *testing.T) { crashUntilQuarantined(t, idempotent) })
	}
}

// crashUntilQuarantined repeatedly adds a request that crashes every target it
// runs on, together with other requests, until it is rejected.
func crashUntilQuarantined(t *testing.T, idempotent bool) {
	d := New(twoClasses())
	for _, n := range []string{"a", "b", "c"} {
		d.SetTarget(TargetSpec{Name: n, Slots: 2})
	}
	warmUp(d, start)
	now := start
	crashed := 0
	last := uint64(1) // the last fingerprint used by the other requests
	for range 5 {
		bad := request(0, 0)
		bad.Fingerprint = 666
		bad.Idempotent = idempotent
		if r := d.Add(now, bad); r != nil {
			qt.Assert(t, r.Reason, qt.Equals, ReasonQuarantined)
			break
		}
		for range 5 {
			last++
			other := request(0, 0)
			other.Fingerprint = last
			d.Add(now, other)
		}
		crashed += runAll(d, &now)
	}
	qt.Assert(t, crashed, qt.Equals, 2)
	qt.Assert(t, d.Add(now, &Request{Fingerprint: 666, Owner: AnyTarget, Shard: -1, Deadline: start.Add(time.Hour)}).Reason, qt.Equals, ReasonQuarantined)
	for fp := uint64(2); fp <= last; fp++ {
		s, ok := d.suspects.lookup(now, fp)
		qt.Assert(t, ok && s.quarantined, qt.IsFalse)
	}
}

// runAll sends all queued requests and returns the number of crashes. The
// request with fingerprint 666 crashes its target, which fails every request
// running there.
func runAll(d *Dispatcher, now *time.Time) int {
	crashed := 0
	for d.Queued() > 0 {
		var running []*Request
		bad := -1
		for r, ok := d.Next(*now); ok; r, ok = d.Next(*now) {
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
			d.Finish(*now, r, result)
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
	d := New(cfg)
	for i := range targets {
		d.SetTarget(TargetSpec{Name: strconv.Itoa(i), Slots: 2})
	}
	warmUp(d, start)
	now := start
	for range queued {
		d.Add(now, request(1, 0))
	}
	running := make([]*Request, 0, 2*targets)
	for r, ok := d.Next(now); ok; r, ok = d.Next(now) {
		running = append(running, r)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Microsecond)
		k := i % len(running)
		r := running[k]
		d.Finish(now, r, ResultOK)
		*r = Request{Class: 1, Shard: -1, Owner: AnyTarget, Deadline: now.Add(time.Hour)}
		d.Add(now, r)
		running[k], _ = d.Next(now)
	}
}
