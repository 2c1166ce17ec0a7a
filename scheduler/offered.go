package scheduler

import (
	"math"
	"time"
)

// offeredTimeConstant is the time constant of the rate of requests for a target. Demand for
// keys changes within seconds.
const offeredTimeConstant = 2 * time.Second

// minOfferedAge is the shortest time over which a rate is computed.
const minOfferedAge = 250 * time.Millisecond

// offeredRate is an exponentially decaying average of requests per second. It is
// corrected for the time before the first request.
type offeredRate struct {
	sum     float64 // decayed number of requests
	first   time.Time
	updated time.Time
}

// add counts one request.
func (r *offeredRate) add(now time.Time) {
	if r.first.IsZero() {
		r.first = now
	}
	r.decay(now)
	r.sum++
}

func (r *offeredRate) decay(now time.Time) {
	r.sum *= math.Exp(-now.Sub(r.updated).Seconds() / offeredTimeConstant.Seconds())
	r.updated = now
}

// perSecond returns the average number of requests per second.
func (r *offeredRate) perSecond(now time.Time) float64 {
	if r.first.IsZero() {
		return 0
	}
	r.decay(now)
	age := max(minOfferedAge, now.Sub(r.first))
	return r.sum / offeredTimeConstant.Seconds() / (1 - math.Exp(-age.Seconds()/offeredTimeConstant.Seconds()))
}
