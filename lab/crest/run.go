package crest

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Policy names a way to route.
type Policy string

// The policies. All but the last two are routers that decide for themselves;
// those two are one queue at a holder.
const (
	PolicyRandom     Policy = "random"
	PolicyRoundRobin Policy = "round robin"
	PolicyLeast      Policy = "least outstanding"
	PolicyTwoChoices Policy = "two choices"
	PolicyFIFO       Policy = "one fifo"
	PolicyCore       Policy = "core"
)

// Policies are all policies, baselines first.
func Policies() []Policy {
	return []Policy{PolicyRandom, PolicyRoundRobin, PolicyLeast, PolicyTwoChoices, PolicyFIFO, PolicyCore}
}

// Bounds of the latency histograms, in microseconds.
const (
	minLatency = 1
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	precision  = 3
)

// A ClassResult is what the callers of one class saw at the crest.
type ClassResult struct {
	Offered int
	Good    int
	Late    int
	Refused int
	Unknown int
	// MaxWait is the longest wait of a request that was started.
	MaxWait time.Duration
	// MaxGap is the longest time between two starts of the class at the crest.
	MaxGap   time.Duration
	last     time.Duration
	latency  *hdrhistogram.Histogram
	started  int
	attempts int
}

// Quantile returns a quantile of the latency of answered requests, in percent.
func (r ClassResult) Quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// Goodput returns the share of offered requests that were answered in time.
func (r ClassResult) Goodput() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.Good) / float64(r.Offered)
}

// A Result is the outcome of a workload under a policy.
type Result struct {
	Workload Workload
	Policy   Policy
	Classes  [classes]ClassResult
	// Short is the latency of all requests that are not long.
	Short *hdrhistogram.Histogram
	// Attempts is the number of attempts for each request.
	Attempts float64
	// Imbalance is the work of the busiest target over the mean.
	Imbalance float64
	// FalseNotRun counts requests that were refused as not run and had begun to run.
	FalseNotRun int
}

// ShortP99 returns the 99th percentile of the latency of requests that are not long.
func (r Result) ShortP99() time.Duration {
	return time.Duration(r.Short.ValueAtQuantile(99)) * time.Microsecond
}

// rig is one run.
type rig struct {
	engine
	w       Workload
	random  *rand.Rand
	targets []*target
	result  Result
	began   map[int]bool
	policy  router
}

// router gets every request when it arrives.
type router func(j *job)

// Run runs a workload under a policy.
func Run(w Workload, p Policy) Result {
	g := &rig{w: w, random: rand.New(rand.NewPCG(w.Seed, 13)), began: map[int]bool{}}
	g.result = Result{Workload: w, Policy: p, Short: newHistogram()}
	for i := range g.result.Classes {
		g.result.Classes[i].latency = newHistogram()
	}
	for i := range w.Targets {
		g.targets = append(g.targets, &target{e: &g.engine, index: i, running: map[*attempt]bool{}})
	}
	g.policy = g.router(p)
	for _, j := range w.jobs() {
		g.at(j.arrived, func() {
			if g.counts(j) {
				g.result.Classes[j.class].Offered++
			}
			g.policy(j)
		})
	}
	g.faults()
	g.run()
	g.finish()
	return g.result
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, precision)
}

func (g *rig) faults() {
	middle := restTime + rampTime + crestTime/2
	if g.w.LoseTarget {
		g.at(middle, func() { g.targets[1].lose() })
	}
	if g.w.ColdTarget {
		g.at(restTime+rampTime, func() { g.targets[2].cold = coldRequests })
	}
}

// counts reports whether a request arrived at the crest, which is what is reported.
func (g *rig) counts(j *job) bool { return g.atCrest(j.arrived) }

func (g *rig) atCrest(t time.Duration) bool {
	return t >= restTime+rampTime && t < restTime+rampTime+crestTime
}

// send gives a request to a target and notes that it began.
func (g *rig) send(i int, j *job, end func(outcome)) {
	j.tries++
	if g.counts(j) {
		g.result.Classes[j.class].attempts++
	}
	t := g.targets[i]
	if !t.lost && t.busy < slots {
		g.start(j)
	}
	t.take(&attempt{j: j, end: end})
}

func (g *rig) start(j *job) {
	c := &g.result.Classes[j.class]
	if !g.began[j.id] && g.atCrest(g.now) {
		c.MaxGap = max(c.MaxGap, g.now-max(c.last, restTime+rampTime))
		c.last = g.now
	}
	if !g.began[j.id] && g.counts(j) {
		c.started++
		c.MaxWait = max(c.MaxWait, g.now-j.arrived)
	}
	g.began[j.id] = true
}

// answered notes an answer that reaches the caller after the way back.
func (g *rig) answered(j *job, back time.Duration) {
	if !g.counts(j) {
		return
	}
	c := &g.result.Classes[j.class]
	latency := g.now + back - j.arrived
	_ = c.latency.RecordValue(max(minLatency, latency.Microseconds()))
	if j.route != routeBundles {
		_ = g.result.Short.RecordValue(max(minLatency, latency.Microseconds()))
	}
	if g.now+back <= j.deadline() {
		c.Good++
	} else {
		c.Late++
	}
}

func (g *rig) refused(j *job, notRun bool) {
	if !g.counts(j) {
		return
	}
	if !notRun {
		g.result.Classes[j.class].Unknown++
		return
	}
	g.result.Classes[j.class].Refused++
	if g.began[j.id] {
		g.result.FalseNotRun++
	}
}

func (g *rig) finish() {
	offered, attempts := 0, 0
	for _, c := range g.result.Classes {
		offered += c.Offered
		attempts += c.attempts
	}
	g.result.Attempts = float64(attempts) / float64(max(1, offered))
	var most, total time.Duration
	for _, t := range g.targets {
		most = max(most, t.worked)
		total += t.worked
	}
	if total > 0 {
		g.result.Imbalance = float64(most) * float64(len(g.targets)) / float64(total)
	}
}
