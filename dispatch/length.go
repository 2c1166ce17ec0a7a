package dispatch

import (
	"sort"
	"time"
)

const (
	// longFactor is how many times longer than typical work a request runs to count as long.
	longFactor = 10
	// lengthWeight is the weight of a new observation in a route's running time.
	lengthWeight = 0.05
	// typicalEvery is after how many answers the typical running time is worked out anew.
	typicalEvery = 64
	// floorTime keeps very short work from making ordinary work seem long.
	floorTime = time.Millisecond
)

// lengths learns how long the requests of each route run.
type lengths struct {
	routes  []routeLength
	typical time.Duration
	answers int
	scratch []routeLength
}

type routeLength struct {
	mean  time.Duration
	count float64
	// shift counts observations since the start, up to the inverse of lengthWeight.
	shift int
}

func newLengths(routes int) *lengths {
	return &lengths{routes: make([]routeLength, routes), scratch: make([]routeLength, 0, routes)}
}

// expect returns the expected running time of a request of route; 0 when unknown.
func (l *lengths) expect(route int) time.Duration {
	return l.routes[route].mean
}

// isLong reports whether requests of route count as long work.
func (l *lengths) isLong(route int) bool {
	return l.typical > 0 && l.routes[route].mean > longFactor*l.typical
}

// overdue reports whether a request that has run for elapsed has shown itself long.
func (l *lengths) overdue(elapsed time.Duration) bool {
	return l.typical > 0 && elapsed > longFactor*l.typical
}

// observe notes that a request of route ran for d.
func (l *lengths) observe(route int, d time.Duration) {
	rl := &l.routes[route]
	rl.count++
	w := lengthWeight
	if rl.shift < int(1/lengthWeight) {
		rl.shift++
		w = max(w, 1/float64(rl.shift))
	}
	rl.mean += time.Duration(w * float64(d-rl.mean))
	l.answers++
	if l.answers%typicalEvery == 0 || l.typical == 0 {
		l.update()
	}
}

// update sets the typical running time to the median over requests of their routes' means.
func (l *lengths) update() {
	l.scratch = l.scratch[:0]
	var total float64
	for i := range l.routes {
		if l.routes[i].count > 0 {
			l.scratch = append(l.scratch, l.routes[i])
			total += l.routes[i].count
			l.routes[i].count *= 0.9
		}
	}
	sort.Slice(l.scratch, func(i, j int) bool { return l.scratch[i].mean < l.scratch[j].mean })
	var seen float64
	for _, rl := range l.scratch {
		seen += rl.count
		if seen >= total/2 {
			l.typical = max(floorTime, rl.mean)
			return
		}
	}
}
