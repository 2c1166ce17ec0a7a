package crest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/scheduler"
)

const (
	fleetWarmup      = 10 * time.Second // not counted in the results
	fleetTime        = 40 * time.Second
	fleetSlots       = 2
	fleetQueue       = 8
	fleetDataCentres = 3
	fleetHop         = 500 * time.Microsecond // one way
	fleetConnect     = time.Millisecond
	fleetIdleTimeout = 10 * time.Second
	fleetSlowFactor  = 3.0
	fleetSlowShare   = 0.2
	fleetSlowPeriod  = 400 * time.Millisecond
	// Bursts come every fleetBurstInterval and last for fleetBurstTime.
	fleetBurstInterval = 10 * time.Second
	fleetBurstTime     = 4 * time.Second
	fleetSigma         = 0.5 // of the logarithm of the work
	fleetLongShare     = 0.01
	fleetQueueCheck    = 20 * time.Millisecond
	fleetMaxSends      = 3
	fleetLocalLatency  = 100 * time.Microsecond // one way
)

// fleet is the state of one run.
type fleet struct {
	engine
	workload FleetWorkload
	policy   FleetPolicy
	seed     uint64
	random   *rand.Rand
	targets  []*fleetTarget
	hosts    []*fleetHost
	result   FleetResult
	connects int
	requests int
	rejects  int
	// estimates counts the responses with an expected time, and ratios sums their response times as multiples of it.
	estimates int
	ratios    float64
}

type fleetTarget struct {
	name     string
	base     float64
	slow     bool
	running  int
	waiting  []func() // start the waiting requests
	busyTime time.Duration
}

type fleetRequest struct {
	kind    int
	work    time.Duration
	arrived time.Duration
	sends   int
	tried   []int
}

type fleetHost struct {
	fleet       *fleet
	dataCentre  string
	scheduler   *scheduler.Scheduler
	outstanding []int
	stated      []int           // last stated running and waiting requests
	connected   []time.Duration // when an idle connection was last used; negative if there is none
	random      *rand.Rand
	checking    bool
}

// RunFleet simulates a workload under a policy.
func RunFleet(w FleetWorkload, p FleetPolicy) FleetResult {
	runs := make([]FleetResult, w.Seeds)
	var all sync.WaitGroup
	for i := range runs {
		all.Go(func() { runs[i] = runSeed(w, p, uint64(i+1)) })
	}
	all.Wait()
	return mergeRuns(runs)
}

// runSeed simulates a workload once.
func runSeed(w FleetWorkload, p FleetPolicy, seed uint64) FleetResult {
	f := &fleet{workload: w, policy: p, seed: seed, random: rand.New(rand.NewPCG(seed, 17)), result: FleetResult{Workload: w, Policy: p}}
	for _, k := range w.Kinds {
		f.result.Kinds = append(f.result.Kinds, KindResult{Name: k.Name})
	}
	specs := f.newTargets()
	for i := range w.Hosts {
		f.hosts = append(f.hosts, f.newHost(i, specs))
	}
	f.scheduleArrivals()
	f.schedulePhases()
	f.run()
	f.summarise()
	return f.result
}

func (f *fleet) newTargets() []platform.Target {
	specs := make([]platform.Target, 0, f.workload.Targets)
	for i := range f.workload.Targets {
		name := fmt.Sprintf("t%03d", i)
		f.targets = append(f.targets, &fleetTarget{name: name, base: f.workload.Speeds[i%len(f.workload.Speeds)]})
		specs = append(specs, platform.Target{Name: name, Slots: fleetSlots, DataCentre: fleetDataCentre(i / len(f.workload.Speeds)), StartedAt: time.Unix(1, 0)})
	}
	return specs
}

func fleetDataCentre(i int) string { return strconv.Itoa(i % fleetDataCentres) }

func (f *fleet) newHost(i int, specs []platform.Target) *fleetHost {
	h := &fleetHost{
		fleet: f, dataCentre: fleetDataCentre(i), random: rand.New(rand.NewPCG(f.seed, uint64(100+i))),
		outstanding: make([]int, len(specs)), stated: make([]int, len(specs)), connected: make([]time.Duration, len(specs)),
	}
	for j := range h.connected {
		h.connected[j] = -1
	}
	h.scheduler = scheduler.New(scheduler.Options{
		DataCentre: h.dataCentre,
		Owner:      func(uint16) (string, bool) { return "", false },
		Connected:  func(name string) bool { return h.hasConnection(f.index(name)) },
		Random:     h.random.Float64,
	})
	h.scheduler.SetSingleRank(true)
	h.scheduler.SetShare(1 / float64(f.workload.Hosts))
	h.scheduler.SetTargets(f.clock(), specs)
	return h
}

func (f *fleet) index(name string) int {
	n, _ := strconv.Atoi(name[1:])
	return n
}

func (f *fleet) clock() time.Time { return time.Unix(1_000_000, 0).Add(f.now) }

func (h *fleetHost) hasConnection(target int) bool {
	at := h.connected[target]
	return at >= 0 && h.fleet.now-at < fleetIdleTimeout
}

func (f *fleet) scheduleArrivals() {
	for i, k := range f.workload.Kinds {
		for t := time.Duration(0); ; {
			t += time.Duration(f.random.ExpFloat64() / (k.PerSecond * f.workload.loadAt(t)) * float64(time.Second))
			if t >= fleetWarmup+fleetTime {
				break
			}
			r := &fleetRequest{kind: i, arrived: t, work: f.drawWork(k.Work)}
			h := f.hosts[f.random.IntN(len(f.hosts))]
			f.schedule(t, func() { h.arrive(r) })
		}
	}
}

// loadAt returns the factor on the arrival rates at time t.
func (w FleetWorkload) loadAt(t time.Duration) float64 {
	if w.Burst > 0 && t%fleetBurstInterval >= fleetBurstInterval-fleetBurstTime {
		return w.Burst
	}
	return w.Load
}

// drawWork returns lognormal work with the given mean, of which one in a hundred takes 3 to 5
// times as long.
func (f *fleet) drawWork(mean time.Duration) time.Duration {
	x := math.Exp(fleetSigma*f.random.NormFloat64() - fleetSigma*fleetSigma/2)
	if f.random.Float64() < fleetLongShare {
		x *= 3 + 2*f.random.Float64()
	}
	return time.Duration(x * float64(mean))
}

// schedulePhases draws the slow targets of each period.
func (f *fleet) schedulePhases() {
	for t := time.Duration(0); t < fleetWarmup+fleetTime; t += fleetSlowPeriod {
		f.schedule(t, func() {
			for _, target := range f.targets {
				target.slow = f.random.Float64() < fleetSlowShare
			}
		})
	}
}

func (t *fleetTarget) speed() float64 {
	if t.slow {
		return t.base * fleetSlowFactor
	}
	return t.base
}

func (h *fleetHost) arrive(r *fleetRequest) {
	f := h.fleet
	if r.arrived >= fleetWarmup {
		f.result.Kinds[r.kind].Offered++
		f.requests++
	}
	if f.policy != FleetBefore && f.policy != FleetChoice {
		h.send(r, nil, h.chooseSimple(r))
		return
	}
	k := f.workload.Kinds[r.kind]
	now := f.clock()
	// All kinds have one rank, so that the policies differ in the choice of targets only.
	q := &scheduler.Request{Route: k.Name, Objective: now.Add(k.Objective), Deadline: now.Add(k.Timeout), Value: r}
	if _, ok := h.scheduler.Add(now, q); ok {
		h.dispatch()
	}
}

func (h *fleetHost) dispatch() {
	now := h.fleet.clock()
	for d, ok := h.scheduler.Next(now); ok; d, ok = h.scheduler.Next(now) {
		h.send(d.Request.Value.(*fleetRequest), d.Request, h.fleet.index(d.Target.Name))
	}
	if h.scheduler.Queued() > 0 && !h.checking {
		h.checking = true
		h.fleet.scheduleAfter(fleetQueueCheck, func() {
			h.checking = false
			h.scheduler.Expire(h.fleet.clock())
			h.dispatch()
		})
	}
}

// chooseSimple returns a target by a simple policy. Targets that rejected the request come last.
func (h *fleetHost) chooseSimple(r *fleetRequest) int {
	f := h.fleet
	n := len(f.targets)
	best, bestCost := 0, math.Inf(1)
	consider := func(i int, cost float64) {
		if slices.Contains(r.tried, i) {
			cost += 1000
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	switch first := h.random.IntN(n); f.policy {
	case FleetTwo:
		consider(first, float64(h.outstanding[first]))
		second := h.random.IntN(n)
		consider(second, float64(h.outstanding[second]))
	case FleetShortest:
		for i := range n {
			j := (first + i) % n
			consider(j, float64(h.outstanding[j]+h.stated[j]))
		}
	default:
		for i := range n {
			t := f.targets[(first+i)%n]
			load := float64(t.running + len(t.waiting))
			consider((first+i)%n, t.speed()*(r.work.Seconds()+max(0, load-fleetSlots+1)/fleetSlots*0.3))
		}
	}
	return best
}

// send sends a request to a target. q is nil under the policies without a scheduler.
func (h *fleetHost) send(r *fleetRequest, q *scheduler.Request, i int) {
	f := h.fleet
	t := f.targets[i]
	r.sends++
	r.tried = append(r.tried, i)
	latency := fleetLocalLatency
	if fleetDataCentre(i/len(f.workload.Speeds)) != h.dataCentre {
		latency = fleetHop
	}
	sentAt := f.now
	outward := latency
	if !h.hasConnection(i) {
		outward += fleetConnect
		if r.arrived >= fleetWarmup {
			f.connects++
		}
	}
	h.connected[i] = -1
	h.outstanding[i]++
	f.scheduleAfter(outward, func() {
		if t.running >= fleetSlots && len(t.waiting) >= fleetQueue {
			load := t.load()
			f.scheduleAfter(latency, func() { h.finish(r, q, i, sentAt, load, false) })
			return
		}
		t.submit(func() {
			t.running++
			took := time.Duration(float64(r.work) * t.speed())
			t.busyTime += took
			f.scheduleAfter(took, func() {
				t.running--
				t.startWaiting()
				load := t.load()
				f.scheduleAfter(latency, func() { h.finish(r, q, i, sentAt, load, true) })
			})
		})
	})
}

func (t *fleetTarget) load() platform.Load {
	return platform.Load{Stated: true, Running: t.running, Waiting: len(t.waiting), Slots: fleetSlots, Speed: int(math.Round(100 * t.speed()))}
}

func (t *fleetTarget) submit(start func()) {
	t.waiting = append(t.waiting, start)
	t.startWaiting()
}

func (t *fleetTarget) startWaiting() {
	for t.running < fleetSlots && len(t.waiting) > 0 {
		start := t.waiting[0]
		t.waiting = t.waiting[1:]
		start()
	}
}

// finish handles the response of a target on its host.
func (h *fleetHost) finish(r *fleetRequest, q *scheduler.Request, i int, sentAt time.Duration, load platform.Load, executed bool) {
	f := h.fleet
	h.outstanding[i]--
	h.stated[i] = load.Running + load.Waiting
	h.connected[i] = f.now
	if !executed && r.arrived >= fleetWarmup {
		f.rejects++
	}
	if executed {
		f.record(r)
	}
	if q == nil {
		if !executed && r.sends < fleetMaxSends {
			h.send(r, nil, h.chooseSimple(r))
		}
		return
	}
	result := scheduler.Result{Outcome: scheduler.Answered, ResponseTime: f.now - sentAt}
	if !executed {
		result.Outcome = scheduler.Rejected
	}
	if f.policy == FleetChoice {
		result.Load = load
	}
	if expected := q.ExpectedCompletion(); expected > 0 && executed {
		f.estimates++
		f.ratios += result.ResponseTime.Seconds() / expected.Seconds()
	}
	h.scheduler.Finish(f.clock(), q, result)
	if !executed && r.sends < fleetMaxSends {
		h.scheduler.Retry(f.clock(), q)
	}
	h.dispatch()
}

func (f *fleet) record(r *fleetRequest) {
	if r.arrived < fleetWarmup {
		return
	}
	k := &f.result.Kinds[r.kind]
	took := f.now - r.arrived
	k.responses = append(k.responses, took)
	if took <= f.workload.Kinds[r.kind].Objective {
		k.InTime++
	}
}

func (f *fleet) summarise() {
	var busiest, total time.Duration
	for _, t := range f.targets {
		busiest = max(busiest, t.busyTime)
		total += t.busyTime
	}
	f.result.Busiest = float64(busiest) * float64(len(f.targets)) / float64(total)
	f.result.Connections = float64(f.connects) / float64(f.requests)
	f.result.ResponseRatio = f.ratios / float64(max(1, f.estimates))
	f.result.Rejections = float64(f.rejects) / float64(f.requests)
}
