package crest

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Policy is the name of a routing policy.
type Policy string

// The policies. PolicyFIFO and PolicyDispatcher use one central queue; under the
// others, each router chooses targets independently.
const (
	PolicyRandom           Policy = "random"
	PolicyRoundRobin       Policy = "round robin"
	PolicyLeastOutstanding Policy = "least outstanding"
	PolicyTwoChoices       Policy = "two choices"
	PolicyFIFO             Policy = "one fifo"
	PolicyDispatcher       Policy = "core"
)

// Policies returns all policies, baselines first.
func Policies() []Policy {
	return []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices, PolicyFIFO, PolicyDispatcher}
}

// Range of the latency histograms in microseconds, and their precision in
// significant decimal digits.
const (
	minLatency = 1
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	precision  = 3
)

// A ClassResult holds the results of the requests of one class that arrived
// during the peak.
type ClassResult struct {
	Offered int
	// InTime counts requests that were answered before their deadline, and Late
	// those that were answered after it.
	InTime int
	Late   int
	// Refused counts requests that were reported as not run.
	Refused int
	// Unknown counts requests that may have been executed.
	Unknown int
	// MaxWait is the longest wait of a request that was started.
	MaxWait time.Duration
	// MaxGap is the longest time between two starts of the class during the peak.
	MaxGap    time.Duration
	lastStart time.Duration
	latency   *hdrhistogram.Histogram
	started   int
	attempts  int
}

// Quantile returns the q-th percentile of the latency of answered requests.
func (r ClassResult) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns the fraction of offered requests that were answered in time.
func (r ClassResult) Goodput() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.InTime) / float64(r.Offered)
}

// A Result holds the results of a workload under a policy.
type Result struct {
	Workload Workload
	Policy   Policy
	Classes  [classCount]ClassResult
	// ShortLatency is the latency histogram of all requests that are not long.
	ShortLatency *hdrhistogram.Histogram
	// AttemptsPerRequest is the mean number of attempts per request.
	AttemptsPerRequest float64
	// Imbalance is the busy time of the busiest target divided by the mean.
	Imbalance float64
	// FalseNotExecuted counts requests that were reported as not run although a target
	// had started them.
	FalseNotExecuted int
}

// ShortP99 returns the 99th percentile of the latency of requests that are not long.
func (r Result) ShortP99() time.Duration {
	return time.Duration(r.ShortLatency.ValueAtQuantile(99)) * time.Microsecond
}

// simulation is the state of one run.
type simulation struct {
	engine
	workload Workload
	random   *rand.Rand
	targets  []*target
	result   Result
	started  map[int]bool
	route    routeFunc
}

// routeFunc routes a request at its arrival.
type routeFunc func(j *job)

// Run simulates a workload under a policy.
func Run(w Workload, p Policy) Result {
	g := &simulation{workload: w, random: rand.New(rand.NewPCG(w.Seed, 13)), started: map[int]bool{}}
	g.result = Result{Workload: w, Policy: p, ShortLatency: newHistogram()}
	for i := range g.result.Classes {
		g.result.Classes[i].latency = newHistogram()
	}
	for i := range w.Targets {
		g.targets = append(g.targets, &target{engine: &g.engine, index: i, running: map[*attempt]bool{}})
	}
	g.route = g.newRouter(p)
	for _, j := range w.jobs() {
		g.schedule(j.arrivedAt, func() {
			if g.arrivedAtPeak(j) {
				g.result.Classes[j.class].Offered++
			}
			g.route(j)
		})
	}
	g.scheduleFaults()
	g.run()
	g.summarise()
	return g.result
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, precision)
}

func (g *simulation) scheduleFaults() {
	middle := baseTime + rampTime + peakTime/2
	if g.workload.FailTarget {
		g.schedule(middle, func() { g.targets[1].fail() })
	}
	if g.workload.ColdTarget {
		g.schedule(baseTime+rampTime, func() { g.targets[2].coldLeft = coldRequests })
	}
}

// arrivedAtPeak reports whether a request arrived during the peak. Only these
// requests count in the results.
func (g *simulation) arrivedAtPeak(j *job) bool { return g.inPeak(j.arrivedAt) }

func (g *simulation) inPeak(t time.Duration) bool {
	return t >= baseTime+rampTime && t < baseTime+rampTime+peakTime
}

// send submits a request to a target and records its start if a slot is free.
func (g *simulation) send(i int, j *job, end func(outcome)) {
	j.attempts++
	if g.arrivedAtPeak(j) {
		g.result.Classes[j.class].attempts++
	}
	t := g.targets[i]
	if !t.failed && t.busySlots < slotsPerTarget {
		g.recordStart(j)
	}
	t.submit(&attempt{job: j, done: end})
}

func (g *simulation) recordStart(j *job) {
	c := &g.result.Classes[j.class]
	if !g.started[j.id] && g.inPeak(g.now) {
		c.MaxGap = max(c.MaxGap, g.now-max(c.lastStart, baseTime+rampTime))
		c.lastStart = g.now
	}
	if !g.started[j.id] && g.arrivedAtPeak(j) {
		c.started++
		c.MaxWait = max(c.MaxWait, g.now-j.arrivedAt)
	}
	g.started[j.id] = true
}

// recordResponse records a response that reaches the caller after the delay back.
func (g *simulation) recordResponse(j *job, back time.Duration) {
	if !g.arrivedAtPeak(j) {
		return
	}
	c := &g.result.Classes[j.class]
	latency := g.now + back - j.arrivedAt
	_ = c.latency.RecordValue(max(minLatency, latency.Microseconds()))
	if j.route != routeBundles {
		_ = g.result.ShortLatency.RecordValue(max(minLatency, latency.Microseconds()))
	}
	if g.now+back <= j.deadline() {
		c.InTime++
	} else {
		c.Late++
	}
}

func (g *simulation) recordRefusal(j *job, notRun bool) {
	if !g.arrivedAtPeak(j) {
		return
	}
	if !notRun {
		g.result.Classes[j.class].Unknown++
		return
	}
	g.result.Classes[j.class].Refused++
	if g.started[j.id] {
		g.result.FalseNotExecuted++
	}
}

func (g *simulation) summarise() {
	offered, attempts := 0, 0
	for _, c := range g.result.Classes {
		offered += c.Offered
		attempts += c.attempts
	}
	g.result.AttemptsPerRequest = float64(attempts) / float64(max(1, offered))
	var maxBusy, total time.Duration
	for _, t := range g.targets {
		maxBusy = max(maxBusy, t.busyTime)
		total += t.busyTime
	}
	if total > 0 {
		g.result.Imbalance = float64(maxBusy) * float64(len(g.targets)) / float64(total)
	}
}
