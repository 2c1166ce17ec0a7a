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
func (t *runTimes) expected(route int) time.Duration {
	return t.routes[route].mean
}

// isLong reports whether requests of route count as long.
func (t *runTimes) isLong(route int) bool {
	return t.typical > 0 && t.routes[route].mean > longFactor*t.typical
}

// overdue reports whether a request that has run for elapsed counts as long.
func (t *runTimes) overdue(elapsed time.Duration) bool {
	return t.typical > 0 && elapsed > longFactor*t.typical
}

// observe records that a request of route ran for d.
func (t *runTimes) observe(route int, d time.Duration) {
	rt := &t.routes[route]
	rt.weight++
	w := runTimeWeight
	if rt.samples < int(1/runTimeWeight) {
		rt.samples++
		w = max(w, 1/float64(rt.samples))
	}
	rt.mean += time.Duration(w * float64(d-rt.mean))
	t.observations++
	if t.observations%typicalInterval == 0 || t.typical == 0 {
		t.updateTypical()
	}
}

// updateTypical sets the typical running time to the median of the route means,
// weighted by the number of requests.
func (t *runTimes) updateTypical() {
	t.scratch = t.scratch[:0]
	var total float64
	for i := range t.routes {
		if t.routes[i].weight > 0 {
			t.scratch = append(t.scratch, t.routes[i])
			total += t.routes[i].weight
			t.routes[i].weight *= 0.9
		}
	}
	sort.Slice(t.scratch, func(i, j int) bool { return t.scratch[i].mean < t.scratch[j].mean })
	var seen float64
	for _, rt := range t.scratch {
		seen += rt.weight
		if seen >= total/2 {
			t.typical = max(minTypical, rt.mean)
			return
		}
	}
}
