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
	// hosts together send a hundred reports per second.
	decayInterval = 50 * time.Millisecond
	// reportWeight is the weight of one report in the moving averages of slowness and processing time.
	reportWeight = 0.2
	// minRate is the rate, in requests per second, below which the rate of a key is deleted.
	minRate = 0.02
)

// A Report holds one host's measurements of a divided service since its last report.
type Report struct {
	// Keys counts requests by key.
	Keys map[uint16]int `json:"keys"`
	// Slowness is the processing time at each target, by name, as a multiple of the mean.
	Slowness map[string]float64 `json:"slowness"`
	// ProcessingTime is the mean processing time of a request, without queueing at its target.
	ProcessingTime time.Duration `json:"work"`
}

// load holds the measured load of one divided service.
type load struct {
	rates          map[uint16]float64 // requests per second
	firstReport    time.Time          // when the first report with requests arrived, after none
	decayedAt      time.Time          // when decay last ran
	slowness       map[string]float64 // by target name
	processingTime time.Duration      // mean processing time of a request, without queueing
	sortedRates    []keyLoad          // corrected rates in order of keys; nil when out of date
	prefixSums     []float64          // prefixSums[i] is the total of sortedRates[:i]
}

// keyLoad is a key with its rate in requests per second.
type keyLoad struct {
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

// add adds a host's report.
func (l *load) add(now time.Time, r Report) {
	l.decay(now)
	if len(l.rates) == 0 {
		l.firstReport = now
	}
	for key, n := range r.Keys {
		l.rates[key] += float64(n) / loadTimeConstant.Seconds()
	}
	l.sortedRates = nil
	for name, s := range r.Slowness {
		if have, ok := l.slowness[name]; ok {
			s = have + reportWeight*(s-have)
		}
		l.slowness[name] = s
	}
	if r.ProcessingTime > 0 {
		if l.processingTime == 0 {
			l.processingTime = r.ProcessingTime
		}
		l.processingTime += time.Duration(reportWeight * float64(r.ProcessingTime-l.processingTime))
	}
}

// sortRates rebuilds sortedRates and prefixSums if they are out of date.
func (l *load) sortRates() {
	if l.sortedRates != nil {
		return
	}
	l.sortedRates = make([]keyLoad, 0, len(l.rates))
	scale := l.ageCorrection()
	for key, rate := range l.rates {
		l.sortedRates = append(l.sortedRates, keyLoad{key, rate * scale})
	}
	slices.SortFunc(l.sortedRates, func(a, b keyLoad) int { return int(a.key) - int(b.key) })
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

// rateOf returns the rate of a span in requests per second.
func (l *load) rateOf(span platform.KeyRange) float64 {
	from, to := l.bounds(span)
	return l.prefixSums[to] - l.prefixSums[from]
}

// keysIn returns the keys of a span that have requests, in order, and their total rate.
func (l *load) keysIn(span platform.KeyRange) ([]keyLoad, float64) {
	from, to := l.bounds(span)
	return l.sortedRates[from:to], l.prefixSums[to] - l.prefixSums[from]
}

// ageCorrection returns the factor that corrects rates for the time before the
// first report with requests. The moving average counts that time as time without
// requests, and would underestimate the load in the first seconds of traffic or after a
// takeover.
func (l *load) ageCorrection() float64 {
	age := max(minLoadAge, l.decayedAt.Sub(l.firstReport))
	return 1 / (1 - math.Exp(-age.Seconds()/loadTimeConstant.Seconds()))
}

// decay reduces all rates for the time since its last pass and deletes those below
// minRate. It does nothing within decayInterval of that pass.
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
