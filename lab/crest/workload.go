package crest

import (
	"math/rand/v2"
	"time"
)

// The classes of a workload, best rank first.
const (
	ClassDeposits = iota
	ClassPages
	ClassArchive
	classes
)

// ClassNames are the names of the classes.
var ClassNames = [classes]string{"deposits", "pages", "archive"}

// The routes of a workload.
const (
	routeDeposits = iota
	routePages
	routeArchive
	routeBundles
	routes
)

// A Workload describes callers and targets of one service.
type Workload struct {
	Name string
	// Seed fixes all random choices.
	Seed uint64
	// Targets is the number of targets, each with two slots.
	Targets int
	// Rest is the load before and after the crest, as a part of capacity.
	Rest float64
	// Load is the load at the crest, as a part of capacity.
	Load float64
	// Long is the share of requests that run a hundred times longer.
	Long float64
	// Hop is the delay between two daemons, one way.
	Hop time.Duration
	// LoseTarget takes a target away in the middle of the crest.
	LoseTarget bool
	// ColdTarget starts a target cold at the crest: its first requests take ten times longer.
	ColdTarget bool
	// HotKey sends a share of the requests to one target, for services divided by key.
	HotKey float64
	// Divided gives every request one target that owns its key.
	Divided bool
}

const (
	slots         = 2
	meanService   = 5 * time.Millisecond
	longFactor    = 100
	targetBacklog = 64
	rampTime      = 2 * time.Second
	restTime      = 3 * time.Second
	crestTime     = 10 * time.Second
	routers       = 8
	coldFactor    = 10
	coldRequests  = 50
)

// shares is how the requests that are not long divide into classes.
var shares = [classes]float64{0.1, 0.7, 0.2}

// deadlines is how long the callers of each class wait.
var deadlines = [classes]time.Duration{2 * time.Second, time.Second, 10 * time.Second}

// ageing is the ageing of each class.
var ageing = [classes]time.Duration{time.Second, time.Second, 2 * time.Second}

// job is one request of a workload.
type job struct {
	id      int
	class   int
	route   int
	key     int
	service time.Duration
	arrived time.Duration
	// tries counts attempts of baselines.
	tries int
}

func (j *job) deadline() time.Duration { return j.arrived + deadlines[j.class] }

// mean returns the mean running time of the workload's requests.
func (w Workload) mean() time.Duration {
	return time.Duration(float64(meanService) * (1 - w.Long + w.Long*longFactor))
}

// rate returns the arrivals per second at a load.
func (w Workload) rate(load float64) float64 {
	return load * float64(w.Targets*slots) / w.mean().Seconds()
}

// loadAt returns the load at a time: rest, a ramp, the crest, and rest again.
func (w Workload) loadAt(t time.Duration) float64 {
	switch {
	case t < restTime:
		return w.Rest
	case t < restTime+rampTime:
		part := float64(t-restTime) / float64(rampTime)
		return w.Rest + (w.Load-w.Rest)*part
	case t < restTime+rampTime+crestTime:
		return w.Load
	}
	return w.Rest
}

// duration is the length of a workload's arrivals.
const duration = restTime + rampTime + crestTime + restTime

// jobs draws the requests of a workload.
func (w Workload) jobs() []*job {
	r := rand.New(rand.NewPCG(w.Seed, 11))
	peak := w.rate(max(w.Load, w.Rest))
	var out []*job
	var t time.Duration
	for {
		t += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if t >= duration {
			return out
		}
		keep := r.Float64() < w.rate(w.loadAt(t))/peak
		j := w.draw(r, t)
		if keep {
			j.id = len(out)
			out = append(out, j)
		}
	}
}

func (w Workload) draw(r *rand.Rand, t time.Duration) *job {
	j := &job{arrived: t, service: time.Duration(r.ExpFloat64() * float64(meanService))}
	u := r.Float64()
	switch {
	case u < shares[ClassDeposits]:
		j.class, j.route = ClassDeposits, routeDeposits
	case u < shares[ClassDeposits]+shares[ClassPages]:
		j.class, j.route = ClassPages, routePages
	default:
		j.class, j.route = ClassArchive, routeArchive
	}
	if r.Float64() < w.Long {
		j.class, j.route = ClassArchive, routeBundles
		j.service *= longFactor
	}
	j.key = r.IntN(w.Targets)
	if r.Float64() < w.HotKey {
		j.key = 0
	}
	return j
}
