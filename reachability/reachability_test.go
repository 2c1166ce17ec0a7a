package reachability_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/reachability"
)

// A loss is the way in which a host loses its targets.
type loss int

const (
	none      loss = iota
	hang           // nothing arrives any more
	reset          // open and new connections are reset
	refuseNew      // open connections live on; new ones are refused
	hangNew        // open connections live on; new ones do not open
)

const (
	tick         = 10 * time.Millisecond
	dialTimeout  = 400 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	roundTrip    = 10 * time.Millisecond
	patience     = 2 * time.Second
	failurePause = time.Second // for which a target that failed gets no requests
)

// An interval is a part of a simulated run.
type interval struct{ from, to time.Duration }

func (i interval) contains(at time.Duration) bool { return at >= i.from && at < i.to }

// A world simulates a host, its requests and its targets.
type world struct {
	name      string
	targets   int
	perSecond int           // requests per second
	work      time.Duration // time that a target takes
	slow      int           // number of targets, the first ones, that take slowWork
	slowWork  time.Duration
	reused    float64 // share of requests on open connections
	loss      loss
	cuts      []interval
	crashed   int // number of targets, the first ones, whose processes end
	crash     interval
	length    time.Duration

	cut          []interval    // when the host has to be found cut off; empty means never
	tolerance    time.Duration // by which it may be found later
	endTolerance time.Duration // by which its end may be found later
	maxProbes    int
}

// A run is the state of a simulation.
type run struct {
	world
	tracker *reachability.Tracker
	random  *rand.Rand
	events  map[time.Duration][]func(now time.Time)
	paused  map[int]time.Duration
	at      time.Duration
	probes  int
	found   []interval
}

var origin = time.Unix(1000, 0)

func (r *run) after(d time.Duration, f func(now time.Time)) {
	at := (r.at + max(d, tick)).Truncate(tick)
	r.events[at] = append(r.events[at], f)
}

func (r *run) lossNow() loss {
	for _, c := range r.cuts {
		if c.contains(r.at) {
			return r.loss
		}
	}
	return none
}

func (r *run) isCrashed(target int) bool { return target < r.crashed && r.crash.contains(r.at) }

// send simulates a request to a target that has not just failed.
func (r *run) send() {
	target := r.random.IntN(r.targets)
	for range r.targets {
		if r.at >= r.paused[target] {
			break
		}
		target = (target + 1) % r.targets
	}
	name := strconv.Itoa(target)
	work := r.work
	if target < r.slow {
		work = r.slowWork
	}
	reused := r.random.Float64() < r.reused && !r.isCrashed(target)
	l := r.lossNow()
	r.tracker.Sent(origin.Add(r.at), name)
	end := func(d time.Duration, f func(now time.Time)) {
		r.after(d, func(now time.Time) {
			r.tracker.Ended(name)
			f(now)
		})
	}
	dialFailed := func(time.Time) {
		r.tracker.DialFailed(name)
		r.paused[target] = r.at + failurePause
	}
	failed := func(time.Time) {
		r.tracker.Failed(name)
		r.paused[target] = r.at + failurePause
	}
	switch {
	case !reused && (l == hang || l == hangNew):
		end(dialTimeout, dialFailed)
	case !reused && (l == reset || l == refuseNew || r.isCrashed(target)):
		end(roundTrip, dialFailed)
	case l == hang:
		end(patience, failed)
	case l == reset:
		end(roundTrip, failed)
	default:
		end(work, func(now time.Time) {
			// A cut takes the response of a request in progress.
			if l := r.lossNow(); l == hang || l == reset {
				r.tracker.Failed(name)
				return
			}
			if !reused {
				r.tracker.Opened()
			}
			r.tracker.Responded(now)
		})
	}
}

// probe simulates a round of n probes, of targets that do not count as suspects if there are enough.
func (r *run) probe(n int) {
	r.probes += n
	order := r.random.Perm(r.targets)
	chosen := []int{}
	for _, suspect := range []bool{false, true} {
		for _, target := range order {
			if len(chosen) < n && r.tracker.Suspect(strconv.Itoa(target)) == suspect {
				chosen = append(chosen, target)
			}
		}
	}
	succeeded, closed, d := 0, 0, roundTrip
	for _, target := range chosen {
		switch l := r.lossNow(); {
		case l == hang || l == hangNew:
			d = probeTimeout
		case l == reset && !r.isCrashed(target):
			closed++
		case l == none && !r.isCrashed(target):
			succeeded++
		}
	}
	r.after(d, func(now time.Time) {
		if !r.tracker.RecordProbes(now, succeeded, closed, n-succeeded-closed) {
			return
		}
		if r.tracker.CutOff() {
			r.found = append(r.found, interval{r.at, r.length})
		} else {
			r.found[len(r.found)-1].to = r.at
		}
	})
}

// simulate runs a world with a seed.
func simulate(w world, seed uint64) *run {
	r := &run{
		world: w, tracker: reachability.New(reachability.Options{Targets: w.targets}), random: rand.New(rand.NewPCG(seed, 1)),
		events: map[time.Duration][]func(time.Time){}, paused: map[int]time.Duration{},
	}
	owed := 0.0
	for ; r.at < w.length; r.at += tick {
		now := origin.Add(r.at)
		for _, f := range r.events[r.at] {
			f(now)
		}
		delete(r.events, r.at)
		for owed += float64(w.perSecond) * tick.Seconds(); owed >= 1; owed-- {
			if !r.tracker.CutOff() { // else the host passes the request on
				r.send()
			}
		}
		if n := r.tracker.ProbesDue(now); n > 0 {
			r.probe(n)
		}
	}
	return r
}

const seeds = 40

// A host finds each kind of loss, and its end, and nothing else makes it believe that it is
// cut off. The probes stay within bounds.
func TestSimulatedHosts(t *testing.T) {
	oneCut := []interval{{5 * time.Second, 15 * time.Second}}
	flaps := []interval{{5 * time.Second, 7 * time.Second}, {10 * time.Second, 12 * time.Second}, {15 * time.Second, 17 * time.Second}, {20 * time.Second, 22 * time.Second}}
	blinks := []interval{}
	for at := 5 * time.Second; at < 25*time.Second; at += time.Second {
		blinks = append(blinks, interval{at, at + 100*time.Millisecond})
	}
	base := world{targets: 30, perSecond: 100, work: 50 * time.Millisecond, reused: 0.8, length: 30 * time.Second, tolerance: time.Second, endTolerance: time.Second}
	with := func(name string, change func(*world)) world {
		w := base
		w.name = name
		change(&w)
		return w
	}
	tests := []world{
		with("calm", func(*world) {}),
		with("hang", func(w *world) { w.loss, w.cuts, w.cut, w.maxProbes = hang, oneCut, oneCut, 40 }),
		with("reset", func(w *world) { w.loss, w.cuts, w.cut, w.maxProbes = reset, oneCut, oneCut, 40 }),
		with("live connections, new ones refused", func(w *world) { w.loss, w.cuts, w.cut, w.maxProbes = refuseNew, oneCut, oneCut, 40 }),
		with("live connections, new ones hang", func(w *world) {
			w.loss, w.cuts, w.cut, w.maxProbes, w.tolerance = hangNew, oneCut, oneCut, 40, 1500*time.Millisecond
		}),
		with("hang at little load", func(w *world) {
			w.loss, w.cuts, w.cut, w.maxProbes, w.perSecond, w.tolerance = hang, oneCut, oneCut, 40, 3, 2*time.Second
		}),
		with("reset at little load", func(w *world) {
			w.loss, w.cuts, w.cut, w.maxProbes, w.perSecond, w.tolerance = reset, oneCut, oneCut, 40, 3, 2*time.Second
		}),
		with("hang, two targets", func(w *world) { w.loss, w.cuts, w.cut, w.maxProbes, w.targets = hang, oneCut, oneCut, 40, 2 }),
		with("hang, one target", func(w *world) { w.loss, w.cuts, w.cut, w.maxProbes, w.targets = hang, oneCut, oneCut, 40, 1 }),
		with("reset, one target", func(w *world) { w.loss, w.cuts, w.cut, w.maxProbes, w.targets = reset, oneCut, oneCut, 40, 1 }),
		with("hang, some targets have ended before", func(w *world) {
			w.loss, w.cuts, w.cut, w.maxProbes = hang, oneCut, oneCut, 100
			w.crashed, w.crash, w.endTolerance = 10, interval{0, 30 * time.Second}, 3*time.Second
		}),
		with("reset, a third of few targets has ended before", func(w *world) {
			w.loss, w.cuts, w.cut, w.maxProbes, w.targets = reset, oneCut, oneCut, 100, 6
			w.crashed, w.crash, w.endTolerance = 2, interval{0, 30 * time.Second}, 3*time.Second
		}),
		with("a third of the targets ends", func(w *world) { w.crashed, w.crash, w.maxProbes = 10, interval{5 * time.Second, 25 * time.Second}, 32 }),
		with("a third of the targets ends at little load", func(w *world) {
			w.crashed, w.crash, w.maxProbes, w.perSecond = 10, interval{5 * time.Second, 25 * time.Second}, 40, 3
		}),
		with("one of two targets ends", func(w *world) {
			w.targets, w.crashed, w.crash, w.maxProbes = 2, 1, interval{5 * time.Second, 25 * time.Second}, 16
		}),
		with("one of two targets ends at little load", func(w *world) {
			w.targets, w.crashed, w.crash, w.maxProbes, w.perSecond = 2, 1, interval{5 * time.Second, 25 * time.Second}, 16, 3
		}),
		with("one slow service among others", func(w *world) { w.slow, w.slowWork = 10, 3*time.Second }),
		with("only a slow service", func(w *world) { w.slow, w.slowWork, w.perSecond, w.maxProbes = 30, 1800*time.Millisecond, 1, 24 }),
		with("flapping", func(w *world) { w.loss, w.cuts, w.cut, w.maxProbes = hang, flaps, flaps, 80 }),
		with("short losses", func(w *world) { w.loss, w.cuts, w.maxProbes = hang, blinks, 80 }),
	}
	for _, w := range tests {
		t.Run(w.name, func(t *testing.T) {
			c := qt.New(t)
			most, latest, latestEnd := 0, time.Duration(0), time.Duration(0)
			for seed := range uint64(seeds) {
				r := simulate(w, seed)
				most = max(most, r.probes)
				c.Assert(r.found, qt.HasLen, len(w.cut), qt.Commentf("seed %d: %v", seed, r.found))
				for i, want := range w.cut {
					latest, latestEnd = max(latest, r.found[i].from-want.from), max(latestEnd, r.found[i].to-want.to)
					c.Check(r.found[i].from >= want.from && r.found[i].from <= want.from+w.tolerance, qt.IsTrue, qt.Commentf("seed %d: begins %v", seed, r.found[i].from))
					c.Check(r.found[i].to >= want.to && r.found[i].to <= want.to+w.endTolerance, qt.IsTrue, qt.Commentf("seed %d: ends %v", seed, r.found[i].to))
				}
			}
			t.Logf("at most %d probes, found after %s, ended after %s", most, latest, latestEnd)
			c.Check(most <= w.maxProbes, qt.IsTrue, qt.Commentf("%d probes", most))
		})
	}
}
