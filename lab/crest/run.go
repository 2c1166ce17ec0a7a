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
	// InTime counts requests that were answered by their deadline, and Late those
	// that were answered after it.
	InTime int
	Late   int
	// Rejected counts requests that were rejected and reported as not run.
	Rejected int
	// Unknown counts requests that may have run.
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
	// FalseNotRun counts requests that were reported as not run although a target
	// had started them.
	FalseNotRun int
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
	s := &simulation{workload: w, random: rand.New(rand.NewPCG(w.Seed, 13)), started: map[int]bool{}}
	s.result = Result{Workload: w, Policy: p, ShortLatency: newHistogram()}
	for i := range s.result.Classes {
		s.result.Classes[i].latency = newHistogram()
	}
	for i := range w.Targets {
		s.targets = append(s.targets, &target{engine: &s.engine, index: i, running: map[*attempt]bool{}})
	}
	s.route = s.newRouter(p)
	for _, j := range w.jobs() {
		s.schedule(j.arrivedAt, func() {
			if s.arrivedAtPeak(j) {
				s.result.Classes[j.class].Offered++
			}
			s.route(j)
		})
	}
	s.scheduleFaults()
	s.run()
	s.summarise()
	return s.result
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, precision)
}

func (s *simulation) scheduleFaults() {
	middle := baseTime + rampTime + peakTime/2
	if s.workload.FailTarget {
		s.schedule(middle, func() { s.targets[1].fail() })
	}
	if s.workload.ColdTarget {
		s.schedule(baseTime+rampTime, func() { s.targets[2].coldRequestsLeft = coldRequests })
	}
}

// arrivedAtPeak reports whether a request arrived during the peak. Only these
// requests count in the results.
func (s *simulation) arrivedAtPeak(j *job) bool { return s.inPeak(j.arrivedAt) }

func (s *simulation) inPeak(t time.Duration) bool {
	return t >= baseTime+rampTime && t < baseTime+rampTime+peakTime
}

// send submits a request to a target and records its start if a slot is free.
func (s *simulation) send(i int, j *job, end func(outcome)) {
	j.attempts++
	if s.arrivedAtPeak(j) {
		s.result.Classes[j.class].attempts++
	}
	t := s.targets[i]
	if !t.failed && t.busySlots < slotsPerTarget {
		s.recordStart(j)
	}
	t.submit(&attempt{job: j, done: end})
}

func (s *simulation) recordStart(j *job) {
	c := &s.result.Classes[j.class]
	if !s.started[j.id] && s.inPeak(s.now) {
		c.MaxGap = max(c.MaxGap, s.now-max(c.lastStart, baseTime+rampTime))
		c.lastStart = s.now
	}
	if !s.started[j.id] && s.arrivedAtPeak(j) {
		c.started++
		c.MaxWait = max(c.MaxWait, s.now-j.arrivedAt)
	}
	s.started[j.id] = true
}

// recordResponse records a response that reaches the caller after returnDelay.
func (s *simulation) recordResponse(j *job, returnDelay time.Duration) {
	if !s.arrivedAtPeak(j) {
		return
	}
	c := &s.result.Classes[j.class]
	latency := s.now + returnDelay - j.arrivedAt
	_ = c.latency.RecordValue(max(minLatency, latency.Microseconds()))
	if j.route != routeBundles {
		_ = s.result.ShortLatency.RecordValue(max(minLatency, latency.Microseconds()))
	}
	if s.now+returnDelay <= j.deadline() {
		c.InTime++
	} else {
		c.Late++
	}
}

// recordFailure records a request without a response. notRun reports whether its
// caller is told that it did not run.
func (s *simulation) recordFailure(j *job, notRun bool) {
	if !s.arrivedAtPeak(j) {
		return
	}
	if !notRun {
		s.result.Classes[j.class].Unknown++
		return
	}
	s.result.Classes[j.class].Rejected++
	if s.started[j.id] {
		s.result.FalseNotRun++
	}
}

func (s *simulation) summarise() {
	offered, attempts := 0, 0
	for _, c := range s.result.Classes {
		offered += c.Offered
		attempts += c.attempts
	}
	s.result.AttemptsPerRequest = float64(attempts) / float64(max(1, offered))
	var maxBusy, total time.Duration
	for _, t := range s.targets {
		maxBusy = max(maxBusy, t.busyTime)
		total += t.busyTime
	}
	if total > 0 {
		s.result.Imbalance = float64(maxBusy) * float64(len(s.targets)) / float64(total)
	}
}
