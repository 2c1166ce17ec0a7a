package dispatch

import (
	"sort"
	"time"
)

const (
	// longFactor is the multiple of the typical running time above which a
	// request counts as long.
	longFactor = 10
	// runTimeWeight is the weight of a new observation in a route's mean running time.
	runTimeWeight = 0.05
	// typicalInterval is the number of observations between recalculations of
	// the typical running time.
	typicalInterval = 64
	// minTypical is the lower bound of the typical running time. Without it, a
	// majority of very short requests would make ordinary ones count as long.
	minTypical = time.Millisecond
)

// runTimes estimates the running time of requests by route.
type runTimes struct {
	routes       []routeRunTime
	typical      time.Duration
	observations int
	scratch      []routeRunTime
}

// routeRunTime is the running time of one route's requests.
type routeRunTime struct {
	// mean is an exponentially weighted moving average.
	mean time.Duration
	// weight is the number of observations, decayed at each update of the typical time.
	weight float64
	// samples is the number of observations, up to the inverse of runTimeWeight.
	// Until then the mean is a plain average.
	samples int
}

func newRunTimes(routes int) *runTimes {
	return &runTimes{routes: make([]routeRunTime, routes), scratch: make([]routeRunTime, 0, routes)}
}

// expected returns the expected running time of a request of route, or 0 if
// there are no observations.
func (e *runTimes) expected(route int) time.Duration {
	return e.routes[route].mean
}

// isLong reports whether requests of route count as long.
func (e *runTimes) isLong(route int) bool {
	return e.typical > 0 && e.routes[route].mean > longFactor*e.typical
}

// overdue reports whether a request that has run for elapsed counts as long.
func (e *runTimes) overdue(elapsed time.Duration) bool {
	return e.typical > 0 && elapsed > longFactor*e.typical
}

// observe records that a request of route ran for d.
func (e *runTimes) observe(route int, d time.Duration) {
	rt := &e.routes[route]
	rt.weight++
	w := runTimeWeight
	if rt.samples < int(1/runTimeWeight) {
		rt.samples++
		w = max(w, 1/float64(rt.samples))
	}
	rt.mean += time.Duration(w * float64(d-rt.mean))
	e.observations++
	if e.observations%typicalInterval == 0 || e.typical == 0 {
		e.updateTypical()
	}
}

// updateTypical sets the typical running time to the median of the route means,
// weighted by the number of requests.
func (e *runTimes) updateTypical() {
	e.scratch = e.scratch[:0]
	var total float64
	for i := range e.routes {
		if e.routes[i].weight > 0 {
			e.scratch = append(e.scratch, e.routes[i])
			total += e.routes[i].weight
			e.routes[i].weight *= 0.9
		}
	}
	sort.Slice(e.scratch, func(i, j int) bool { return e.scratch[i].mean < e.scratch[j].mean })
	var seen float64
	for _, rt := range e.scratch {
		seen += rt.weight
		if seen >= total/2 {
			e.typical = max(minTypical, rt.mean)
			return
		}
	}
}
