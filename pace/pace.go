// Package pace finds how many requests per second a recovering target can take, from its responses.
//
// A Pacer is a state machine without a clock, network or goroutines. Hosts record how paced targets responded; for each target that
// is no longer cold, Next doubles the pace while permits are used and the responses are good, and halves it when they are not. It
// answers the load after a data centre returns: targets that start cold and fail if they get the share of a warm one at once, and
// those that have recovered and would be left idle for too long.
//
// # Usage
//
//	p := pace.New()
//	p.Record(target, pace.Responses{Answered: 3})
//	next, ok := p.Next(now, target, pace.Current{PerSecond: 3, First: 3, Capacity: 18})
package pace

import (
	"time"

	"github.com/redwingtally/redwingtally/ownership"
)

const (
	// interval is the least time between two changes of a pace.
	interval = 400 * time.Millisecond
	// minAnswers is the least number of responses after which a pace rises, and usedShare the least share of the pace that they must
	// make up.
	minAnswers = 2
	usedShare  = 0.25
	// unusedIntervals is the number of intervals after which a pace of which less is used rises all the same: it limits nothing.
	unusedIntervals = 3
	// slowShare is the share of slow responses from which a pace falls. Durations vary: one in ten takes three times the mean.
	slowShare = 0.5
	// unknownFactor is the multiple of the first pace above which pacing ends while the capacity is unknown, as no host has sent
	// requests to the target.
	unknownFactor = 8
	// riseFactor and fallFactor are the factors of a change.
	riseFactor = 2.0
	fallFactor = 0.5
)

// Unlimited is the pace of a target whose pacing has ended.
const Unlimited = 1e6

// Responses counts how a target responded.
type Responses struct {
	Answered int `json:"answered,omitempty"`
	// Slow counts those of Answered that took much longer than at other targets.
	Slow int `json:"slow,omitempty"`
	// Failed counts failures and rejections for lack of capacity.
	Failed int `json:"failed,omitempty"`
}

// Add adds other responses.
func (r *Responses) Add(o Responses) {
	r.Answered += o.Answered
	r.Slow += o.Slow
	r.Failed += o.Failed
}

// Current describes the present pace of a target.
type Current struct {
	// PerSecond is the pace, and First the one that it began with, below which it does not fall.
	PerSecond, First float64
	// Cold reports whether the target is cold. Its pace then is First.
	Cold bool
	// Capacity is the number of requests per second that the target's slots can serve; 0 if it is unknown.
	Capacity float64
}

// A Pacer decides the paces of targets. It is not safe for concurrent use.
type Pacer struct {
	targets map[ownership.Incarnation]*state
}

// state holds the responses of one target since its pace last changed.
type state struct {
	responses Responses
	changedAt time.Time
}

// New returns a Pacer without recorded responses.
func New() *Pacer { return &Pacer{targets: map[ownership.Incarnation]*state{}} }

// Record records responses of a target.
func (p *Pacer) Record(target ownership.Incarnation, r Responses) {
	s, ok := p.targets[target]
	if !ok {
		s = &state{}
		p.targets[target] = s
	}
	s.responses.Add(r)
}

// Next returns the new pace of a target and whether it differs from the present one.
func (p *Pacer) Next(now time.Time, target ownership.Incarnation, c Current) (float64, bool) {
	s, ok := p.targets[target]
	if !ok {
		s = &state{}
		p.targets[target] = s
	}
	switch {
	case c.Cold:
		*s = state{changedAt: now}
		return c.First, c.PerSecond != c.First
	case s.changedAt.IsZero(): // a new coordinator goes on from the pace that its predecessor has set
		*s = state{changedAt: now}
		return c.PerSecond, false
	}
	elapsed := now.Sub(s.changedAt)
	if elapsed < interval || c.PerSecond >= Unlimited {
		return c.PerSecond, false
	}
	r := s.responses
	var next float64
	switch {
	case r.Failed > 0, r.Answered >= minAnswers && float64(r.Slow) >= slowShare*float64(r.Answered):
		next = max(c.First, c.PerSecond*fallFactor)
	case elapsed < unusedIntervals*interval && (r.Answered < minAnswers || float64(r.Answered) < usedShare*c.PerSecond*elapsed.Seconds()):
		return c.PerSecond, false
	default:
		next = c.PerSecond * riseFactor
		limit := c.Capacity
		if limit <= 0 {
			limit = unknownFactor * c.First
		}
		if next > limit {
			next = Unlimited
		}
	}
	*s = state{changedAt: now}
	return next, next != c.PerSecond
}

// Retain forgets all targets for which paced returns false.
func (p *Pacer) Retain(paced func(ownership.Incarnation) bool) {
	for target := range p.targets {
		if !paced(target) {
			delete(p.targets, target)
		}
	}
}
