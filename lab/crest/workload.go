package crest

import (
	"math/rand/v2"
	"time"
)

// The classes of a workload, highest priority first.
const (
	ClassDeposits = iota
	ClassPages
	ClassArchive
	classCount
)

// ClassNames holds the names of the classes, indexed by class.
var ClassNames = [classCount]string{"deposits", "pages", "archive"}

// The routes of a workload.
const (
	routeDeposits = iota
	routePages
	routeArchive
	routeBundles
	routeCount
)

// A Workload describes the callers and targets of one service.
type Workload struct {
	Name string
	// Seed seeds all random choices.
	Seed uint64
	// Targets is the number of targets, each with two slots.
	Targets int
	// BaseLoad is the load before and after the peak, as a fraction of capacity.
	BaseLoad float64
	// PeakLoad is the load during the peak, as a fraction of capacity.
	PeakLoad float64
	// LongShare is the fraction of requests that are long: they take a hundred times longer.
	LongShare float64
	// HopDelay is the one-way delay between two daemons.
	HopDelay time.Duration
	// FailTarget makes one target fail in the middle of the peak.
	FailTarget bool
	// ColdTarget makes one target cold at the beginning of the peak: the next 50 requests
	// that it starts take ten times longer.
	ColdTarget bool
	// HotKeyShare is the fraction of requests for the hot key. It has an effect only if
	// the service is divided by key.
	HotKeyShare float64
	// Keyed makes the service divided by key: only the owner of its key serves a request.
	Keyed bool
}

// Parameters of the targets, of the load over time and of the baselines. baseTime is
// the time before the ramp and after the peak, and routerCount the number of routers
// under the policies that route independently.
const (
	slotsPerTarget  = 2
	meanServiceTime = 5 * time.Millisecond
	longFactor      = 100
	targetBacklog   = 64
	rampTime        = 2 * time.Second
	baseTime        = 3 * time.Second
	peakTime        = 10 * time.Second
	routerCount     = 8
	coldFactor      = 10
	coldRequests    = 50
)

// classShares holds the fraction of each class among the requests that are not long.
var classShares = [classCount]float64{0.1, 0.7, 0.2}

// classTimeouts holds the time for which the callers of each class wait.
var classTimeouts = [classCount]time.Duration{2 * time.Second, time.Second, 10 * time.Second}

// classAgeing holds the ageing time of each class, as in dispatch.ClassConfig.
var classAgeing = [classCount]time.Duration{time.Second, time.Second, 2 * time.Second}

// job is one request of a workload.
type job struct {
	id          int
	class       int
	route       int
	key         int
	serviceTime time.Duration
	arrivedAt   time.Duration
	// attempts is the number of attempts so far; only newIndependent reads it.
	attempts int
}

// deadline returns the time at which the caller stops waiting.
func (j *job) deadline() time.Duration { return j.arrivedAt + classTimeouts[j.class] }

// meanServiceTime returns the mean service time of the workload's requests.
func (w Workload) meanServiceTime() time.Duration {
	return time.Duration(float64(meanServiceTime) * (1 - w.LongShare + w.LongShare*longFactor))
}

// arrivalRate returns the arrivals per second at a load, a fraction of capacity.
func (w Workload) arrivalRate(load float64) float64 {
	return load * float64(w.Targets*slotsPerTarget) / w.meanServiceTime().Seconds()
}

// loadAt returns the load at time t: the base load, a linear ramp, the peak, and
// the base load again.
func (w Workload) loadAt(t time.Duration) float64 {
	switch {
	case t < baseTime:
		return w.BaseLoad
	case t < baseTime+rampTime:
		part := float64(t-baseTime) / float64(rampTime)
		return w.BaseLoad + (w.PeakLoad-w.BaseLoad)*part
	case t < baseTime+rampTime+peakTime:
		return w.PeakLoad
	}
	return w.BaseLoad
}

// totalTime is the time in which requests arrive.
const totalTime = baseTime + rampTime + peakTime + baseTime

// jobs generates the requests of a workload. It draws arrivals at the peak rate
// and keeps each with a probability in proportion to the load at its time.
func (w Workload) jobs() []*job {
	r := rand.New(rand.NewPCG(w.Seed, 11))
	peak := w.arrivalRate(max(w.PeakLoad, w.BaseLoad))
	var out []*job
	var t time.Duration
	for {
		t += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if t >= totalTime {
			return out
		}
		accepted := r.Float64() < w.arrivalRate(w.loadAt(t))/peak
		j := w.newJob(r, t)
		if accepted {
			j.id = len(out)
			out = append(out, j)
		}
	}
}

func (w Workload) newJob(r *rand.Rand, t time.Duration) *job {
	j := &job{arrivedAt: t, serviceTime: time.Duration(r.ExpFloat64() * float64(meanServiceTime))}
	u := r.Float64()
	switch {
	case u < classShares[ClassDeposits]:
		j.class, j.route = ClassDeposits, routeDeposits
	case u < classShares[ClassDeposits]+classShares[ClassPages]:
		j.class, j.route = ClassPages, routePages
	default:
		j.class, j.route = ClassArchive, routeArchive
	}
	if r.Float64() < w.LongShare {
		j.class, j.route = ClassArchive, routeBundles
		j.serviceTime *= longFactor
	}
	j.key = r.IntN(w.Targets)
	if r.Float64() < w.HotKeyShare {
		j.key = 0
	}
	return j
}
