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

// serveOne lets one request run at once and returns its target, or nothing.
func serveOne(c *Core, now time.Time, r *Request, outcome Outcome) string {
	if _, ok := c.Add(now, r); !ok {
		return ""
	}
	d, ok := c.Next(now)
	if !ok {
		c.Remove(r)
		return ""
	}
	c.Done(now, r, Result{Outcome: outcome, Took: 100 * ms})
	return d.Target.Name
}

func TestDrainingTargetsGetNothing(t *testing.T) {
	for _, isKeyed := range []bool{false, true} {
		c := qt.New(t)
		core := newCore(owners{7: "t0"})
		ts := targets(2)
		ts[0].Draining = true
		core.SetTargets(start, ts)
		for range 10 {
			r := newRequest(start, 0, time.Second, time.Minute)
			r.Keyed, r.Key = isKeyed, 7
			got := serveOne(core, start, r, Answered)
			c.Check(got, qt.Equals, map[bool]string{false: "t1", true: ""}[isKeyed])
		}
	}
}

func TestNothingIsKeptForAServiceWhoseTargetsAllFail(t *testing.T) {
	c := qt.New(t)
	core := newCore(nil)
	core.SetTargets(start, targets(1))
	now := start
	for range trialFailures {
		c.Check(serveOne(core, now, newRequest(now, 0, time.Second, time.Minute), Broken), qt.Equals, "t0")
		now = now.Add(minFailurePause)
	}
	now = now.Add(-minFailurePause)
	refusal, ok := core.Add(now, newRequest(now, 0, time.Second, time.Minute))
	c.Check(ok, qt.IsFalse)
	c.Check(refusal.Reason, qt.Equals, NoTarget)
	again := targets(1)
	again[0].Born = start.Add(time.Hour)
	core.SetTargets(now, again)
	c.Check(serveOne(core, now, newRequest(now, 0, time.Second, time.Minute), Answered), qt.Equals, "t0", qt.Commentf("another life has no failures"))
}

func TestColdTargetsCountForLess(t *testing.T) {
	c := qt.New(t)
	warm, cold := newCore(nil), newCore(nil)
	warm.SetTargets(start, targets(4))
	ts := targets(4)
	for i := range ts {
		ts[i].ColdFor = time.Second
	}
	cold.SetTargets(start, ts)
	c.Check(fill(warm, start), qt.HasLen, 12)
	c.Check(fill(cold, start), qt.HasLen, 6)
	c.Check(fill(cold, start.Add(time.Second)), qt.HasLen, 6, qt.Commentf("warm, with six running"))
}

func TestEqualTargetsTakeTurns(t *testing.T) {
	core := newCore(nil)
	core.SetTargets(start, targets(4))
	got := map[string]int{}
	for range 40 {
		got[serveOne(core, start, newRequest(start, 0, time.Second, time.Minute), Abandoned)]++
	}
	qt.Check(t, got, qt.DeepEquals, map[string]int{"t0": 10, "t1": 10, "t2": 10, "t3": 10})
}

// Hosts that start together spread their first requests. With 82 hosts and 103
// targets, each of two slots, all began at the same targets of their data centre.
func TestHostsBeginAtDifferentTargets(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const hosts = 82
	got := map[string]int{}
	for range hosts {
		core := New(Options{Random: random.Float64, Connected: func(string) bool { return false }})
		core.SetTargets(start, targets(103))
		got[serveOne(core, start, newRequest(start, 0, time.Second, time.Minute), Abandoned)]++
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	qt.Check(t, most <= 5, qt.IsTrue, qt.Commentf("%d first requests at one target", most))
}

// Targets that join a calm service get requests: some hosts send them their next
// one, all others keep to the targets that they are connected to. On scale-1 of
// wickgate-grown the dearest price was that of targets that joined and got nothing.
func TestTargetsThatJoinGetRequests(t *testing.T) {
	c := qt.New(t)
	const hosts, before, joined = 64, 12, 6
	random := rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range hosts {
		connected := map[string]bool{}
		core := New(Options{Random: random.Float64, Connected: func(name string) bool { return connected[name] }})
		core.SetShare(1.0 / hosts)
		core.SetTargets(start, targets(before))
		serve := func() string {
			name := serveOne(core, start, newRequest(start, 0, time.Second, time.Minute), Answered)
			connected[name] = true
			return name
		}
		serve()
		core.SetTargets(start, targets(before+joined))
		for range 4 {
			got[serve()]++
		}
	}
	all := 0
	for i := before; i < before+joined; i++ {
		n := got[fmt.Sprint("t", i)]
		all += n
		c.Check(n > 0, qt.IsTrue, qt.Commentf("t%d", i))
	}
	c.Check(all <= 3*adopters*joined, qt.IsTrue, qt.Commentf("%d new connections", all))
}

// A second attempt goes to a worse target before it goes to the same one again.
func TestRetryPrefersATargetThatIsWorse(t *testing.T) {
	c := qt.New(t)
	core := newCore(nil)
	ts := targets(2)
	ts[1].DataCentre = "derby"
	core.SetTargets(start, ts)
	r := newRequest(start, 0, time.Second, time.Minute)
	r.Bytes = 1 << 20
	c.Assert(serveOne(core, start, r, Failed), qt.Equals, "t0")
	_, ok := core.Retry(start, r)
	c.Assert(ok, qt.IsTrue)
	d, ok := core.Next(start)
	c.Assert(ok, qt.IsTrue)
	c.Check(d.Target.Name, qt.Equals, "t1")
}

// keyedCore returns a core with one target that owns the key of all requests.
func keyedCore(share float64) *Core {
	core := newCore(owners{7: "t0"})
	core.SetTargets(start, targets(1))
	core.SetShare(share)
	return core
}

// A host has a bounded number of requests running at an owner, and some even with a small share.
func TestRequestsAtAnOwnerAreBounded(t *testing.T) {
	for share, want := range map[float64]int{1: 4, 0.01: 2} {
		core := keyedCore(share)
		n := 0
		for range 10 {
			r := newRequest(start, 0, time.Minute, time.Hour)
			r.Keyed, r.Key = true, 7
			if _, ok := core.Add(start, r); ok {
				if _, ok := core.Next(start); ok {
					n++
				}
			}
		}
		qt.Check(t, n, qt.Equals, want, qt.Commentf("share %v", share))
	}
}

// Work that would end just at the deadline is refused; times vary.
func TestDeadlinesHaveAMargin(t *testing.T) {
	for left, want := range map[time.Duration]bool{90 * ms: false, 120 * ms: false, 140 * ms: true} {
		core := newCore(nil)
		core.SetTargets(start, targets(1))
		refusal, ok := core.Add(start, newRequest(start, 0, left, left))
		qt.Check(t, ok, qt.Equals, want, qt.Commentf("%s left", left))
		if !ok {
			qt.Check(t, refusal.Reason, qt.Equals, NoTime)
		}
	}
}

// A host whose requests waited long at targets lets requests go again. On scale-1
// of jalons-arree-grown one host refused 153 orders over 30 s at once, as its
// mean of the first seconds was above what their deadline leaves.
func TestBadTimesAreForgotten(t *testing.T) {
	const patience = 1200 * ms
	tests := []struct {
		name string
		took []time.Duration // times of answers, a fifth of a second apart
		wait time.Duration   // until the next request
		want bool
	}{
		{"waited at targets", append([]time.Duration{150 * ms}, slices.Repeat([]time.Duration{1100 * ms}, 15)...), 0, true},
		{"always long", []time.Duration{1100 * ms, 1150 * ms, 1100 * ms}, 0, false},
		{"long a while ago", []time.Duration{1100 * ms, 1150 * ms, 1100 * ms}, workMemory + ms, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core := newCore(nil)
			core.SetTargets(start, targets(4))
			now := start
			for _, took := range test.took {
				now = now.Add(200 * ms)
				r := newRequest(now, 0, time.Second, time.Minute)
				core.Add(now, r)
				_, ok := core.Next(now)
				qt.Assert(t, ok, qt.IsTrue)
				core.Done(now, r, Result{Outcome: Answered, Took: took})
			}
			now = now.Add(test.wait)
			_, ok := core.Add(now, newRequest(now, 0, 500*ms, patience))
			qt.Check(t, ok, qt.Equals, test.want)
		})
	}
}

// full returns a core whose slots are taken and a request that waits.
func full(t *testing.T, objective, deadline time.Duration) (*Core, *Request) {
	core := newCore(nil)
	core.SetTargets(start, targets(1))
	fill(core, start)
	r := newRequest(start, 1, objective, deadline)
	_, ok := core.Add(start, r)
	qt.Assert(t, ok, qt.IsTrue)
	return core, r
}

// What waits is refused as soon as it is clear that it will not be served.
func TestWaitingRequestsAreRefusedWhenTheirChanceIsGone(t *testing.T) {
	tests := []struct {
		name   string
		change func(core *Core)
		after  time.Duration
		want   Reason
	}{
		{"nothing changes", func(*Core) {}, 10 * ms, ""},
		{"too late to begin", func(*Core) {}, 800 * ms, NoTime},
		{"all targets gone", func(core *Core) { core.SetTargets(start, nil) }, 10 * ms, NoTarget},
		{"all targets leave", func(core *Core) {
			core.SetTargets(start, []platform.Target{{Name: "t0", Born: start, Slots: 2, Draining: true}})
		}, 10 * ms, NoTarget},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			core, r := full(t, 900*ms, 900*ms)
			test.change(core)
			refused := core.Expire(start.Add(test.after))
			if test.want == "" {
				c.Check(refused, qt.HasLen, 0)
				return
			}
			c.Assert(refused, qt.HasLen, 1)
			c.Check(refused[0].Request, qt.Equals, r)
			c.Check(refused[0].Reason, qt.Equals, test.want)
		})
	}
}

// While requests past their objective are not served, new ones that would join
// them are refused at once, and those that are early enough are not.
func TestStarvedLineTakesNoMoreThatWouldBeLate(t *testing.T) {
	c := qt.New(t)
	core, _ := full(t, 50*ms, time.Minute)
	now := start.Add(60 * ms)
	core.Expire(now)
	now = now.Add(starvation + ms)
	refused := core.Expire(now)
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Reason, qt.Equals, Starved)
	refusal, ok := core.Add(now, newRequest(now, 1, 50*ms, time.Minute))
	c.Check(ok, qt.IsFalse)
	c.Check(refusal.Reason, qt.Equals, Starved)
	_, ok = core.Add(now, newRequest(now, 1, 10*time.Second, time.Minute))
	c.Check(ok, qt.IsTrue)
	now = now.Add(starvedFor + ms)
	_, ok = core.Add(now, newRequest(now, 1, 50*ms, time.Minute))
	c.Check(ok, qt.IsTrue, qt.Commentf("the line is looked at anew"))
}

// Refused callers are told times that differ, within bounds.
func TestRetryTimesAreSpread(t *testing.T) {
	c := qt.New(t)
	core := newCore(nil)
	value := 0.0
	core.options.Random = func() float64 { return value }
	tests := []struct {
		wait, low, high time.Duration
	}{
		{0, 45 * ms, 75 * ms}, {200 * ms, 150 * ms, 250 * ms}, {time.Hour, 450 * ms, 750 * ms},
	}
	for _, test := range tests {
		value = 0
		c.Check(core.spread(test.wait), qt.Equals, test.low)
		value = 1
		c.Check(core.spread(test.wait), qt.Equals, test.high)
	}
}
