package ownership

import (
	"math"
	"time"
)

const (
	// loadMemory is the time over which rates of keys are averaged; a hot key shows within a second.
	loadMemory = 2 * time.Second
	// minLoadAge is the least time over which rates are taken; in less, single requests look like busy keys.
	minLoadAge = 600 * time.Millisecond
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

// scale corrects rates for the time before the first report, which the average
// counts as time without requests: the first crest after a takeover would look calm.
func (l *load) scale() float64 {
	age := max(minLoadAge, l.at.Sub(l.began))
	return 1 / (1 - math.Exp(-age.Seconds()/loadMemory.Seconds()))
}

// decay lets old counts fade.
func (l *load) decay(now time.Time) {
	if !l.at.IsZero() {
		factor := math.Exp(-now.Sub(l.at).Seconds() / loadMemory.Seconds())
		for key, rate := range l.rates {
			if rate *= factor; rate < minRate {
				delete(l.rates, key)
			} else {
				l.rates[key] = rate
			}
		}
	}
	l.at = now
}
