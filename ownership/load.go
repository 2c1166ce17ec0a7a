package ownership

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// loadTimeConstant is the time constant of the moving average of key rates. A hot
	// key is visible within a second.
	loadTimeConstant = 2 * time.Second
	// minLoadAge is the shortest time over which rates are computed. Over a shorter
	// time, single requests look like busy keys.
	minLoadAge = 600 * time.Millisecond
	// decayInterval is the minimum time between two passes over all keys. A hundred
	// hosts together send a hundred reports a second.
	decayInterval = 50 * time.Millisecond
	// slownessWeight is the weight of one report in the moving averages of slowness and service time.
	slownessWeight = 0.2
	// minRate is the rate, in requests a second, below which a key is removed.
	minRate = 0.02
)

// A Report is one host's measurements of a divided service since its last report.
type Report struct {
	// Keys counts requests by key.
	Keys map[uint16]int `json:"keys"`
	// Slowness is the processing time at each target, by name, as a multiple of the mean.
	Slowness map[string]float64 `json:"slowness"`
	// ServiceTime is the mean processing time of a request, without time queued at its target.
	ServiceTime time.Duration `json:"work"`
}

// load holds the key rates and the target slowness of one service.
type load struct {
	rates       map[uint16]float64 // requests a second
	firstReport time.Time          // when the first report arrived
	decayedAt   time.Time          // when decay last ran
	slowness    map[string]float64 // by target name
	serviceTime time.Duration      // mean processing time of a request, without queueing
	sortedRates []keyRate          // corrected rates in order of keys; nil when out of date
	prefixSums  []float64          // prefixSums[i] is the total of sortedRates[:i]
}

// keyRate is a key with its rate in requests a second.
type keyRate struct {
	key  uint16
	rate float64
}

func newLoad() *load {
	return &load{rates: map[uint16]float64{}, slowness: map[string]float64{}}
}

// Report adds a host's report to the load of a service. Reports of unknown
// services are ignored.
func (c *Core) Report(now time.Time, name string, r Report) {
	if s, ok := c.services[name]; ok {
		s.load.add(now, r)
	}
}

func (l *load) add(now time.Time, r Report) {
	l.decay(now)
	if l.firstReport.IsZero() {
		l.firstReport = now
	}
	for key, n := range r.Keys {
		l.rates[key] += float64(n) / loadTimeConstant.Seconds()
	}
	l.sortedRates = nil
	for name, s := range r.Slowness {
		if have, ok := l.slowness[name]; ok {
			s = have + slownessWeight*(s-have)
		}
		l.slowness[name] = s
	}
	if r.ServiceTime > 0 {
		if l.serviceTime == 0 {
			l.serviceTime = r.ServiceTime
		}
		l.serviceTime += time.Duration(slownessWeight * float64(r.ServiceTime-l.serviceTime))
	}
}

// sortRates rebuilds sortedRates and prefixSums after rates changed.
func (l *load) sortRates() {
	if l.sortedRates != nil {
		return
	}
	l.sortedRates = make([]keyRate, 0, len(l.rates))
	scale := l.ageCorrection()
	for key, rate := range l.rates {
		l.sortedRates = append(l.sortedRates, keyRate{key, rate * scale})
	}
	slices.SortFunc(l.sortedRates, func(a, b keyRate) int { return int(a.key) - int(b.key) })
	l.prefixSums = make([]float64, len(l.sortedRates)+1)
	for i, k := range l.sortedRates {
		l.prefixSums[i+1] = l.prefixSums[i] + k.rate
	}
}

// bounds returns the half-open range of positions in sortedRates that a span covers.
func (l *load) bounds(span platform.KeyRange) (from, to int) {
	l.sortRates()
	from = sort.Search(len(l.sortedRates), func(i int) bool { return l.sortedRates[i].key >= span.First })
	to = sort.Search(len(l.sortedRates), func(i int) bool { return l.sortedRates[i].key > span.Last })
	return from, to
}

// rateOf returns the rate of a span in requests a second.
func (l *load) rateOf(span platform.KeyRange) float64 {
	from, to := l.bounds(span)
	return l.prefixSums[to] - l.prefixSums[from]
}

// keysIn returns the keys of a span that have requests, in order, and their total rate.
func (l *load) keysIn(span platform.KeyRange) ([]keyRate, float64) {
	from, to := l.bounds(span)
	return l.sortedRates[from:to], l.prefixSums[to] - l.prefixSums[from]
}

// ageCorrection returns the factor that corrects rates for the time before the
// first report. The moving average counts that time as time without requests, so
// that load would be underestimated in the first seconds after a takeover.
func (l *load) ageCorrection() float64 {
	age := max(minLoadAge, l.decayedAt.Sub(l.firstReport))
	return 1 / (1 - math.Exp(-age.Seconds()/loadTimeConstant.Seconds()))
}

// decay reduces all rates for the time since the last pass and removes those below minRate.
func (l *load) decay(now time.Time) {
	if now.Sub(l.decayedAt) < decayInterval {
		return
	}
	if !l.decayedAt.IsZero() {
		factor := math.Exp(-now.Sub(l.decayedAt).Seconds() / loadTimeConstant.Seconds())
		for key, rate := range l.rates {
			if rate *= factor; rate < minRate {
				delete(l.rates, key)
			} else {
				l.rates[key] = rate
			}
		}
		l.sortedRates = nil
	}
	l.decayedAt = now
}
