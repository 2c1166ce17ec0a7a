package edge

import (
	"math"
	"time"
)

// rate is an exponentially decaying average of events per second.
type rate struct {
	sum     float64   // decayed number of events
	updated time.Time // time of the last decay
}

// add counts one event.
func (r *rate) add(now time.Time) {
	r.decay(now)
	r.sum++
}

// decay reduces the sum by the time since the last call.
func (r *rate) decay(now time.Time) {
	if !r.updated.IsZero() {
		r.sum *= math.Exp(-now.Sub(r.updated).Seconds() / rateTimeConstant.Seconds())
	}
	r.updated = now
}

// value returns the average number of events per second.
func (r *rate) value(now time.Time) float64 {
	r.decay(now)
	return r.sum / rateTimeConstant.Seconds()
}
