package coordination

import (
	"time"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/pace"
	"github.com/redwingtally/redwingtally/ratelimit"
)

// paceInterval is the time between two checks of the paces of targets.
const paceInterval = 200 * time.Millisecond

// paces is the coordinator's state of paced targets. The zero value is empty.
type paces struct {
	pacer      *pace.Pacer
	capacities map[ownership.Incarnation]float64 // requests per second that the slots of paced targets can serve
	checkedAt  time.Time
}

// init makes the zero value ready for use.
func (p *paces) init() {
	if p.pacer == nil {
		p.pacer, p.capacities = pace.New(), map[ownership.Incarnation]float64{}
	}
}

// record records what a host states about a paced target.
func (p *paces) record(w ratelimit.Want) {
	p.init()
	if w.Responses != nil {
		p.pacer.Record(w.Target, *w.Responses)
	}
	if w.Capacity > 0 {
		p.capacities[w.Target] = w.Capacity
	}
}

// updatePaces sets the paces of targets that are no longer cold by their responses. The caller holds l.mu.
func (l *leader) updatePaces() {
	now, table := time.Now(), l.member.options.RateLimits
	if now.Sub(l.paces.checkedAt) < paceInterval {
		return
	}
	l.paces.checkedAt = now
	l.paces.init()
	current := table.Paces()
	var changed []ratelimit.Limit
	for target, p := range current {
		next, differs := l.paces.pacer.Next(now, target, pace.Current{
			PerSecond: p.PerSecond, First: p.First, Cold: p.Cold(now), Capacity: l.paces.capacities[target],
		})
		limit := ratelimit.Limit{Target: target, PerSecond: next, Stated: true, Pace: true}
		if differs && table.Observe(now, limit) {
			changed = append(changed, limit)
		}
	}
	paced := func(i ownership.Incarnation) bool { _, ok := current[i]; return ok }
	l.paces.pacer.Retain(paced)
	for target := range l.paces.capacities {
		if !paced(target) {
			delete(l.paces.capacities, target)
			l.permits.Forget(target)
		}
	}
	if len(changed) > 0 {
		l.notifyLocked()
		l.submit(func() { l.member.options.RateLimitsChanged(changed) })
	}
}
