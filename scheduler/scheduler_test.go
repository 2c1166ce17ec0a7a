package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

var start = time.Unix(1_000_000, 0)

const ms = time.Millisecond

// keyOwners maps keys to the names of their owners.
type keyOwners map[uint16]string

func newScheduler(o keyOwners) *Scheduler {
	return New(Options{
		DataCentre: "leicester",
		Owner:      func(key uint16) (string, bool) { name, ok := o[key]; return name, ok },
		Connected:  func(string) bool { return true },
		Random:     func() float64 { return 0.5 },
	})
}

func targets(n int) []platform.Target {
	out := make([]platform.Target, 0, n)
	for i := range n {
		out = append(out, platform.Target{Name: fmt.Sprint("t", i), StartedAt: start, Slots: 2, DataCentre: "leicester"})
	}
	return out
}

func newRequest(now time.Time, rank int, objective, deadline time.Duration) *Request {
	return &Request{Rank: rank, Route: fmt.Sprint("rank", rank), Objective: now.Add(objective), Deadline: now.Add(deadline)}
}

// fillSlots sends requests until a Scheduler has no free slot, and returns them.
func fillSlots(sched *Scheduler, now time.Time) []*Request {
	var out []*Request
	for {
		r := newRequest(now, 0, time.Second, time.Minute)
		if _, ok := sched.Add(now, r); !ok {
			return out
		}
		if _, ok := sched.Next(now); !ok {
			sched.Remove(r)
			return out
		}
		out = append(out, r)
	}
}

func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name  string
		ranks []int
		// objectives are the times left to each objective when a slot becomes free.
		objectives []time.Duration
		want       []int
	}{
		{"by rank", []int{2, 1, 2, 1}, []time.Duration{time.Second, time.Second, time.Second, time.Second}, []int{1, 3, 0, 2}},
		{"by arrival within a rank", []int{1, 1, 1}, []time.Duration{time.Second, time.Second, time.Second}, []int{0, 1, 2}},
		{"missed objectives last within a rank", []int{1, 1, 1}, []time.Duration{10 * ms, time.Second, 10 * ms}, []int{1, 0, 2}},
		{"rank before missed objective", []int{2, 1}, []time.Duration{time.Second, 10 * ms}, []int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sched := newScheduler(nil)
			sched.SetTargets(start, targets(1))
			running := fillSlots(sched, start)
			waiting := make([]*Request, 0, len(test.ranks))
			for i, rank := range test.ranks {
				r := newRequest(start, rank, test.objectives[i], time.Minute)
				_, ok := sched.Add(start, r)
				c.Assert(ok, qt.IsTrue)
				waiting = append(waiting, r)
			}
			for _, want := range test.want {
				sched.Finish(start, running[0], Result{Outcome: Cancelled})
				running = running[1:]
				d, ok := sched.Next(start)
				c.Assert(ok, qt.IsTrue)
				c.Check(d.Request, qt.Equals, waiting[want])
				running = append(running, d.Request)
			}
		})
	}
}

func TestAddRejections(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(sched *Scheduler)
		request *Request
		want    Reason
	}{
		{"no targets", func(sched *Scheduler) { sched.SetTargets(start, nil) }, newRequest(start, 1, time.Second, time.Second), NoTarget},
		{"all targets drain", func(sched *Scheduler) {
			ts := targets(2)
			ts[0].Draining, ts[1].Draining = true, true
			sched.SetTargets(start, ts)
		}, newRequest(start, 1, time.Second, time.Second), NoTarget},
		{"deadline too short", func(*Scheduler) {}, newRequest(start, 1, 300*ms, 50*ms), DeadlineUnreachable},
		{"long queue ahead", func(sched *Scheduler) {
			fillSlots(sched, start)
			for range 60 {
				sched.Add(start, newRequest(start, 1, time.Second, time.Minute))
			}
		}, newRequest(start, 1, 300*ms, time.Second), DeadlineUnreachable},
		{"long queue behind", func(sched *Scheduler) {
			fillSlots(sched, start)
			for range 60 {
				sched.Add(start, newRequest(start, 2, time.Second, time.Minute))
			}
		}, newRequest(start, 1, 300*ms, time.Second), ""},
		{"queue is full", func(sched *Scheduler) {
			fillSlots(sched, start)
			for range maxQueueLength {
				sched.Add(start, newRequest(start, 1, time.Second, time.Hour))
			}
		}, newRequest(start, 1, time.Second, time.Hour), QueueFull},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sched := newScheduler(nil)
			sched.SetTargets(start, targets(2))
			test.prepare(sched)
			rejection, ok := sched.Add(start, test.request)
			c.Check(ok, qt.Equals, test.want == "")
			c.Check(rejection.Reason, qt.Equals, test.want)
			if !ok {
				c.Check(rejection.RetryAfter >= minRetryAfter/2 && rejection.RetryAfter <= 2*maxRetryAfter, qt.IsTrue)
			}
		})
	}
}

func TestExpireRejectsRequestsThatMissTheirDeadline(t *testing.T) {
	c := qt.New(t)
	sched := newScheduler(nil)
	sched.SetTargets(start, targets(1))
	fillSlots(sched, start)
	short, long := newRequest(start, 1, 200*ms, 400*ms), newRequest(start, 1, 4*time.Second, 5*time.Second)
	for _, r := range []*Request{short, long} {
		_, ok := sched.Add(start, r)
		c.Assert(ok, qt.IsTrue)
	}
	c.Check(sched.Expire(start.Add(100*ms)), qt.HasLen, 0)
	rejected := sched.Expire(start.Add(300 * ms))
	c.Assert(rejected, qt.HasLen, 1)
	c.Check(rejected[0].Request, qt.Equals, short)
	c.Check(sched.Queued(), qt.Equals, 1)
}

func TestTargetSelection(t *testing.T) {
	tests := []struct {
		name    string
		bytes   int64
		prepare func(sched *Scheduler, ts []platform.Target)
		want    string
	}{
		{"local data centre for a large body", 64 << 10, func(sched *Scheduler, ts []platform.Target) {
			ts[0].DataCentre = "derby"
			sched.SetTargets(start, ts)
			sched.targets["t1"].running = 1
		}, "t1"},
		{"remote data centre for a small body when the local one is busy", 100, func(sched *Scheduler, ts []platform.Target) {
			ts[0].DataCentre = "derby"
			sched.SetTargets(start, ts)
			sched.targets["t1"].running = 1
		}, "t0"},
		{"faster", 0, func(sched *Scheduler, _ []platform.Target) { sched.targets["t0"].relativeTime.value = 3 }, "t1"},
		{"fewer errors", 0, func(sched *Scheduler, _ []platform.Target) { sched.targets["t0"].errorRate.value = 0.5 }, "t1"},
		{"warm", 0, func(sched *Scheduler, _ []platform.Target) { sched.targets["t0"].warmAt = start.Add(time.Second) }, "t1"},
		{"connected", 0, func(sched *Scheduler, _ []platform.Target) {
			sched.options.Connected = func(name string) bool { return name == "t1" }
		}, "t1"},
		{"not paused", 0, func(sched *Scheduler, _ []platform.Target) { sched.targets["t0"].pause(start, time.Second) }, "t1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sched := newScheduler(nil)
			ts := targets(2)
			sched.SetTargets(start, ts)
			test.prepare(sched, ts)
			for range 2 { // equal targets rotate, so a single choice could be coincidence
				r := newRequest(start, 1, time.Second, time.Second)
				r.Bytes = test.bytes
				_, ok := sched.Add(start, r)
				c.Assert(ok, qt.IsTrue)
				d, ok := sched.Next(start)
				c.Assert(ok, qt.IsTrue)
				c.Check(d.Target.Name, qt.Equals, test.want)
				sched.Finish(start, r, Result{Outcome: Cancelled})
			}
		})
	}
}

// After breakerThreshold consecutive failures, a target gets one request at a time
// until it answers.
func TestFailingTargetGetsOneRequestAtATime(t *testing.T) {
	c := qt.New(t)
	sched := newScheduler(nil)
	sched.SetTargets(start, targets(1))
	now := start
	send := func() (*Request, bool) {
		r := newRequest(now, 1, time.Second, time.Minute)
		if _, ok := sched.Add(now, r); !ok {
			return nil, false
		}
		_, ok := sched.Next(now)
		if !ok {
			sched.Remove(r)
		}
		return r, ok
	}
	for range breakerThreshold {
		r, ok := send()
		c.Assert(ok, qt.IsTrue)
		sched.Finish(now, r, Result{Outcome: Unreachable})
		_, ok = send()
		c.Check(ok, qt.IsFalse, qt.Commentf("the target is paused after a failure"))
		now = now.Add(maxFailurePause)
	}
	probe, ok := send()
	c.Assert(ok, qt.IsTrue)
	_, ok = send()
	c.Check(ok, qt.IsFalse, qt.Commentf("a second request while one is running"))
	sched.Finish(now, probe, Result{Outcome: Answered, ResponseTime: 50 * ms})
	for range 2 {
		_, ok = send()
		c.Check(ok, qt.IsTrue)
	}
}

// A retry goes to a target that the request was not sent to, while there is one.
func TestRetryUsesAnotherTarget(t *testing.T) {
	c := qt.New(t)
	sched := newScheduler(nil)
	sched.SetTargets(start, targets(3))
	r := newRequest(start, 1, time.Second, time.Minute)
	_, ok := sched.Add(start, r)
	c.Assert(ok, qt.IsTrue)
	seen := map[string]bool{}
	for range 3 {
		d, ok := sched.Next(start)
		c.Assert(ok, qt.IsTrue)
		c.Check(seen[d.Target.Name], qt.IsFalse)
		seen[d.Target.Name] = true
		sched.Finish(start, r, Result{Outcome: Rejected})
		_, ok = sched.Retry(start, r)
		c.Assert(ok, qt.IsTrue)
	}
	c.Check(r.TriedTargets(), qt.HasLen, 3)
}

// Keyed requests are sent to the owner of their key only, stay queued while it has
// none, and do not block requests for other owners.
func TestKeyedRequestsWaitForTheirOwner(t *testing.T) {
	c := qt.New(t)
	o := keyOwners{1: "t0"}
	sched := newScheduler(o)
	sched.SetTargets(start, targets(2))
	keyed := func(key uint16) *Request {
		r := newRequest(start, 1, time.Second, time.Minute)
		r.Key, r.Keyed = key, true
		_, ok := sched.Add(start, r)
		c.Assert(ok, qt.IsTrue)
		return r
	}
	unowned, owned := keyed(2), keyed(1)
	d, ok := sched.Next(start)
	c.Assert(ok, qt.IsTrue)
	c.Check(d.Request, qt.Equals, owned)
	c.Check(d.Target.Name, qt.Equals, "t0")
	_, ok = sched.Next(start)
	c.Check(ok, qt.IsFalse)
	o[2] = "t1"
	d, ok = sched.Next(start)
	c.Assert(ok, qt.IsTrue)
	c.Check(d.Request, qt.Equals, unowned)
	c.Check(d.Target.Name, qt.Equals, "t1")
}

// The concurrency limit at the owner of a key rises with quick responses and falls
// with those of requests that queued.
func TestConcurrencyLimitAdapts(t *testing.T) {
	tests := []struct {
		name string
		took []time.Duration
		want func(limit float64) bool
	}{
		{"quick", repeatDuration(100*ms, 30), func(l float64) bool { return l == maxLimit }},
		{"queued", append(repeatDuration(100*ms, 5), repeatDuration(390*ms, 3)...), func(l float64) bool { return l < initialLimit }},
		{"one slow request", append(repeatDuration(100*ms, 30), 390*ms), func(l float64) bool { return l > initialLimit }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sched := newScheduler(keyOwners{1: "t0"})
			sched.SetTargets(start, targets(2))
			sched.SetShare(0.125)
			for _, took := range test.took {
				r := newRequest(start, 1, time.Second, time.Minute)
				r.Key, r.Keyed = 1, true
				_, ok := sched.Add(start, r)
				c.Assert(ok, qt.IsTrue)
				_, ok = sched.Next(start)
				c.Assert(ok, qt.IsTrue)
				sched.Finish(start, r, Result{Outcome: Answered, ResponseTime: took})
			}
			c.Check(test.want(sched.targets["t0"].concurrencyLimit), qt.IsTrue, qt.Commentf("limit %v", sched.targets["t0"].concurrencyLimit))
		})
	}
}

func repeatDuration(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}
