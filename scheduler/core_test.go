package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// sendOne adds a request, sends it and completes it with an outcome. It returns the
// name of the target, or "" if the request was not sent.
func sendOne(sched *Scheduler, now time.Time, r *Request, outcome Outcome) string {
	if _, ok := sched.Add(now, r); !ok {
		return ""
	}
	d, ok := sched.Next(now)
	if !ok {
		sched.Remove(r)
		return ""
	}
	sched.Finish(now, r, Result{Outcome: outcome, ResponseTime: 100 * ms})
	return d.Target.Name
}

func TestDrainingTargetsGetNoRequests(t *testing.T) {
	for _, isKeyed := range []bool{false, true} {
		c := qt.New(t)
		sched := newScheduler(keyOwners{7: "t0"})
		ts := targets(2)
		ts[0].Draining = true
		sched.SetTargets(start, ts)
		for range 10 {
			r := newRequest(start, 0, time.Second, time.Minute)
			r.Keyed, r.Key = isKeyed, 7
			got := sendOne(sched, start, r, Answered)
			c.Check(got, qt.Equals, map[bool]string{false: "t1", true: ""}[isKeyed])
		}
	}
}

func TestRequestIsRejectedWhenAllTargetsFail(t *testing.T) {
	c := qt.New(t)
	sched := newScheduler(nil)
	sched.SetTargets(start, targets(1))
	now := start
	for range breakerThreshold {
		c.Check(sendOne(sched, now, newRequest(now, 0, time.Second, time.Minute), ConnectionFailed), qt.Equals, "t0")
		now = now.Add(minFailurePause)
	}
	now = now.Add(-minFailurePause)
	rejection, ok := sched.Add(now, newRequest(now, 0, time.Second, time.Minute))
	c.Check(ok, qt.IsFalse)
	c.Check(rejection.Reason, qt.Equals, NoTarget)
	again := targets(1)
	again[0].StartedAt = start.Add(time.Hour)
	sched.SetTargets(now, again)
	c.Check(sendOne(sched, now, newRequest(now, 0, time.Second, time.Minute), Answered), qt.Equals, "t0", qt.Commentf("the failures of the previous incarnation are discarded"))
}

func TestColdTargetsHaveReducedCapacity(t *testing.T) {
	c := qt.New(t)
	warm, cold := newScheduler(nil), newScheduler(nil)
	warm.SetTargets(start, targets(4))
	ts := targets(4)
	for i := range ts {
		ts[i].WarmupLeft = time.Second
	}
	cold.SetTargets(start, ts)
	c.Check(fillSlots(warm, start), qt.HasLen, 12)
	c.Check(fillSlots(cold, start), qt.HasLen, 6)
	c.Check(fillSlots(cold, start.Add(time.Second)), qt.HasLen, 6, qt.Commentf("six more when the targets are warm"))
}

func TestEqualTargetsRotate(t *testing.T) {
	sched := newScheduler(nil)
	sched.SetTargets(start, targets(4))
	got := map[string]int{}
	for range 40 {
		got[sendOne(sched, start, newRequest(start, 0, time.Second, time.Minute), Cancelled)]++
	}
	qt.Check(t, got, qt.DeepEquals, map[string]int{"t0": 10, "t1": 10, "t2": 10, "t3": 10})
}

// Hosts that start together spread their first requests over the targets. With a
// common start of the rotation, 82 hosts sent their first requests to the same few
// targets of their data centre, out of 103 targets with two slots each.
func TestHostsStartRotationAtDifferentTargets(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const hosts = 82
	got := map[string]int{}
	for range hosts {
		sched := New(Options{Random: random.Float64, Connected: func(string) bool { return false }})
		sched.SetTargets(start, targets(103))
		got[sendOne(sched, start, newRequest(start, 0, time.Second, time.Minute), Cancelled)]++
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	qt.Check(t, most <= 5, qt.IsTrue, qt.Commentf("%d first requests at one target", most))
}

// New targets of a service at low load get requests: some hosts send them their next
// request, and the others keep using the targets that they are connected to. Without
// this, new targets got no requests in the scale-1 run of wickgate-grown; they caused
// its highest cost.
func TestNewTargetsGetRequests(t *testing.T) {
	c := qt.New(t)
	const hosts, known, added = 64, 12, 6
	random := rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range hosts {
		connected := map[string]bool{}
		sched := New(Options{Random: random.Float64, Connected: func(name string) bool { return connected[name] }})
		sched.SetShare(1.0 / hosts)
		sched.SetTargets(start, targets(known))
		serve := func() string {
			name := sendOne(sched, start, newRequest(start, 0, time.Second, time.Minute), Answered)
			connected[name] = true
			return name
		}
		serve()
		sched.SetTargets(start, targets(known+added))
		for range 4 {
			got[serve()]++
		}
	}
	all := 0
	for i := known; i < known+added; i++ {
		n := got[fmt.Sprint("t", i)]
		all += n
		c.Check(n > 0, qt.IsTrue, qt.Commentf("t%d", i))
	}
	c.Check(all <= 3*probingHosts*added, qt.IsTrue, qt.Commentf("%d new connections", all))
}

// A retry prefers a more expensive target to the one that it was already sent to.
func TestRetryPrefersUntriedTarget(t *testing.T) {
	c := qt.New(t)
	sched := newScheduler(nil)
	ts := targets(2)
	ts[1].DataCentre = "derby"
	sched.SetTargets(start, ts)
	r := newRequest(start, 0, time.Second, time.Minute)
	r.Bytes = 1 << 20
	c.Assert(sendOne(sched, start, r, Failed), qt.Equals, "t0")
	_, ok := sched.Retry(start, r)
	c.Assert(ok, qt.IsTrue)
	d, ok := sched.Next(start)
	c.Assert(ok, qt.IsTrue)
	c.Check(d.Target.Name, qt.Equals, "t1")
}

// newKeyedScheduler returns a Scheduler with one target that owns key 7.
func newKeyedScheduler(share float64) *Scheduler {
	sched := newScheduler(keyOwners{7: "t0"})
	sched.SetTargets(start, targets(1))
	sched.SetShare(share)
	return sched
}

// The number of requests that a host has running at an owner is bounded, and is
// above zero even for a small share.
func TestConcurrencyAtOwnerIsBounded(t *testing.T) {
	for share, want := range map[float64]int{1: 4, 0.01: 2} {
		sched := newKeyedScheduler(share)
		n := 0
		for range 10 {
			r := newRequest(start, 0, time.Minute, time.Hour)
			r.Keyed, r.Key = true, 7
			if _, ok := sched.Add(start, r); ok {
				if _, ok := sched.Next(start); ok {
					n++
				}
			}
		}
		qt.Check(t, n, qt.Equals, want, qt.Commentf("share %v", share))
	}
}

// Requests that are expected to end just before their deadline are rejected, as
// response times vary.
func TestDeadlineMargin(t *testing.T) {
	for left, want := range map[time.Duration]bool{90 * ms: false, 120 * ms: false, 140 * ms: true} {
		sched := newScheduler(nil)
		sched.SetTargets(start, targets(1))
		rejection, ok := sched.Add(start, newRequest(start, 0, left, left))
		qt.Check(t, ok, qt.Equals, want, qt.Commentf("%s left", left))
		if !ok {
			qt.Check(t, rejection.Reason, qt.Equals, DeadlineUnreachable)
		}
	}
}

// A host accepts requests again after response times that were long because of
// queues at the targets. In the scale-1 run of jalons-arree-grown, the mean of the
// first seconds exceeded the time until the deadlines, and one host rejected 153
// requests over 30 s without queueing them.
func TestLongResponseTimesExpire(t *testing.T) {
	const timeout = 1200 * ms
	tests := []struct {
		name string
		took []time.Duration // response times of requests sent 200 ms apart
		wait time.Duration   // until the tested request
		want bool
	}{
		{"queued at targets", append([]time.Duration{150 * ms}, slices.Repeat([]time.Duration{1100 * ms}, 15)...), 0, true},
		{"always long", []time.Duration{1100 * ms, 1150 * ms, 1100 * ms}, 0, false},
		{"long but expired", []time.Duration{1100 * ms, 1150 * ms, 1100 * ms}, responseTimeMaxAge + ms, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sched := newScheduler(nil)
			sched.SetTargets(start, targets(4))
			now := start
			for _, took := range test.took {
				now = now.Add(200 * ms)
				r := newRequest(now, 0, time.Second, time.Minute)
				sched.Add(now, r)
				_, ok := sched.Next(now)
				qt.Assert(t, ok, qt.IsTrue)
				sched.Finish(now, r, Result{Outcome: Answered, ResponseTime: took})
			}
			now = now.Add(test.wait)
			_, ok := sched.Add(now, newRequest(now, 0, 500*ms, timeout))
			qt.Check(t, ok, qt.Equals, test.want)
		})
	}
}

// newFullScheduler returns a Scheduler without free slots and with one queued request.
func newFullScheduler(t *testing.T, objective, deadline time.Duration) (*Scheduler, *Request) {
	sched := newScheduler(nil)
	sched.SetTargets(start, targets(1))
	fillSlots(sched, start)
	r := newRequest(start, 1, objective, deadline)
	_, ok := sched.Add(start, r)
	qt.Assert(t, ok, qt.IsTrue)
	return sched, r
}

// Expire rejects a queued request once it cannot be served any more.
func TestExpireReasons(t *testing.T) {
	tests := []struct {
		name   string
		change func(sched *Scheduler)
		after  time.Duration
		want   Reason
	}{
		{"nothing changes", func(*Scheduler) {}, 10 * ms, ""},
		{"deadline cannot be met", func(*Scheduler) {}, 800 * ms, DeadlineUnreachable},
		{"no targets", func(sched *Scheduler) { sched.SetTargets(start, nil) }, 10 * ms, NoTarget},
		{"all targets drain", func(sched *Scheduler) {
			sched.SetTargets(start, []platform.Target{{Name: "t0", StartedAt: start, Slots: 2, Draining: true}})
		}, 10 * ms, NoTarget},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sched, r := newFullScheduler(t, 900*ms, 900*ms)
			test.change(sched)
			rejected := sched.Expire(start.Add(test.after))
			if test.want == "" {
				c.Check(rejected, qt.HasLen, 0)
				return
			}
			c.Assert(rejected, qt.HasLen, 1)
			c.Check(rejected[0].Request, qt.Equals, r)
			c.Check(rejected[0].Reason, qt.Equals, test.want)
		})
	}
}

// While a class is starved, new requests that would miss their objective are rejected
// and those that can meet it are queued.
func TestStarvedClassRejectsLateRequests(t *testing.T) {
	c := qt.New(t)
	sched, _ := newFullScheduler(t, 50*ms, time.Minute)
	now := start.Add(60 * ms)
	sched.Expire(now)
	now = now.Add(starvationTimeout + ms)
	rejected := sched.Expire(now)
	c.Assert(rejected, qt.HasLen, 1)
	c.Check(rejected[0].Reason, qt.Equals, Starved)
	rejection, ok := sched.Add(now, newRequest(now, 1, 50*ms, time.Minute))
	c.Check(ok, qt.IsFalse)
	c.Check(rejection.Reason, qt.Equals, Starved)
	_, ok = sched.Add(now, newRequest(now, 1, 10*time.Second, time.Minute))
	c.Check(ok, qt.IsTrue)
	now = now.Add(starvedRejectionPeriod + ms)
	_, ok = sched.Add(now, newRequest(now, 1, 50*ms, time.Minute))
	c.Check(ok, qt.IsTrue, qt.Commentf("the starved period is over"))
}

// RetryAfter is randomised within bounds.
func TestRetryAfterHasJitter(t *testing.T) {
	c := qt.New(t)
	sched := newScheduler(nil)
	value := 0.0
	sched.options.Random = func() float64 { return value }
	tests := []struct {
		wait, low, high time.Duration
	}{
		{0, 45 * ms, 75 * ms}, {200 * ms, 150 * ms, 250 * ms}, {time.Hour, 450 * ms, 750 * ms},
	}
	for _, test := range tests {
		value = 0
		c.Check(sched.jitter(test.wait), qt.Equals, test.low)
		value = 1
		c.Check(sched.jitter(test.wait), qt.Equals, test.high)
	}
}
