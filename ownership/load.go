package ownership

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// loadMemory is the time over which rates of keys are averaged; a hot key shows within a second.
	loadMemory = 2 * time.Second
	// minLoadAge is the least time over which rates are taken; in less, single requests look like busy keys.
	minLoadAge = 600 * time.Millisecond
	// decayInterval is the least time between two looks at all keys; a hundred hosts report a hundred times a second.
	decayInterval = 50 * time.Millisecond
	// speedWeight is the weight of a host's report in a target's slowness.
	speedWeight = 0.2
	// minRate is the rate of a key, in requests a second, below which it is forgotten.
	minRate = 0.02
)

// A Report is what one host saw of a divided service since its last report.
type Report struct {
	// Keys counts requests by key.
	Keys map[uint16]int `json:"keys"`
	// Slowness is how many times longer than the mean work takes at a target, by name.
	Slowness map[string]float64 `json:"slowness"`
	// Work is the mean time of a request that does not wait at its target.
	Work time.Duration `json:"work"`
}

// load holds the rates of keys and the speeds of targets of one service.
type load struct {
	rates    map[uint16]float64 // requests a second
	began    time.Time          // when the first report came
	at       time.Time
	slowness map[string]float64
	work     time.Duration
	keys     []keyRate // of rates, by key; nil after they changed
	sums     []float64 // of the rates of the keys before each one, and of all
}

// keyRate is a key with its rate in requests a second.
type keyRate struct {
	key  uint16
	rate float64
}

func newLoad() *load {
	return &load{rates: map[uint16]float64{}, slowness: map[string]float64{}}
}

// Report takes a host's report of a service.
func (c *Core) Report(now time.Time, name string, r Report) {
	if s, ok := c.services[name]; ok {
		s.load.add(now, r)
	}
}

func (l *load) add(now time.Time, r Report) {
	l.decay(now)
	if l.began.IsZero() {
		l.began = now
	}
	for key, n := range r.Keys {
		l.rates[key] += float64(n) / loadMemory.Seconds()
	}
	l.keys = nil
	for name, s := range r.Slowness {
		if have, ok := l.slowness[name]; ok {
			s = have + speedWeight*(s-have)
		}
		l.slowness[name] = s
	}
	if r.Work > 0 {
		if l.work == 0 {
			l.work = r.Work
		}
		l.work += time.Duration(speedWeight * float64(r.Work-l.work))
	}
}

// sort puts the rates in the order of their keys.
func (l *load) sort() {
	if l.keys != nil {
		return
	}
	l.keys = make([]keyRate, 0, len(l.rates))
	scale := l.scale()
	for key, rate := range l.rates {
		l.keys = append(l.keys, keyRate{key, rate * scale})
	}
	slices.SortFunc(l.keys, func(a, b keyRate) int { return int(a.key) - int(b.key) })
	l.sums = make([]float64, len(l.keys)+1)
	for i, k := range l.keys {
		l.sums[i+1] = l.sums[i] + k.rate
	}
}

// bounds returns the positions in keys where a span begins and ends.
func (l *load) bounds(span platform.KeyRange) (from, to int) {
	l.sort()
	from = sort.Search(len(l.keys), func(i int) bool { return l.keys[i].key >= span.First })
	to = sort.Search(len(l.keys), func(i int) bool { return l.keys[i].key > span.Last })
	return from, to
}

// of returns the rate of a span in requests a second.
func (l *load) of(span platform.KeyRange) float64 {
	from, to := l.bounds(span)
	return l.sums[to] - l.sums[from]
}

// within returns the keys of a span that have requests, in order, and their rate together.
func (l *load) within(span platform.KeyRange) ([]keyRate, float64) {
	from, to := l.bounds(span)
	return l.keys[from:to], l.sums[to] - l.sums[from]
}

// scale corrects rates for the time before the first report, which the average
// counts as time without requests: the first crest after a takeover would look calm.
func (l *load) scale() float64 {
	age := max(minLoadAge, l.at.Sub(l.began))
	return 1 / (1 - math.Exp(-age.Seconds()/loadMemory.Seconds()))
}

// decay lets old counts fade.
func (l *load) decay(now time.Time) {
	if now.Sub(l.at) < decayInterval {
		return
	}
	if !l.at.IsZero() {
		factor := math.Exp(-now.Sub(l.at).Seconds() / loadMemory.Seconds())
		for key, rate := range l.rates {
			if rate *= factor; rate < minRate {
				delete(l.rates, key)
			} else {
				l.rates[key] = rate
			}
		}
		l.keys = nil
	}
	l.at = now
}
