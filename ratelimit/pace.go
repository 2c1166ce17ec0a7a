package ratelimit

import (
	"time"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/pace"
)

// A Pace is the limit of a paced target, which is cold or has just come back. Unlike the limits that targets state, it is set by the
// hosts: each begins it when it learns of the target, and the coordinator raises it.
type Pace struct {
	// PerSecond is the present pace, and First the one while the target is cold.
	PerSecond, First float64
	// Bound is the number of requests in any second that the target must not get more than.
	Bound float64
	// Busy reports whether the target was in use when it became cold.
	Busy bool
	// Since is when this host began the pace, and ColdUntil until when the target is cold.
	Since, ColdUntil time.Time

	setAt   time.Time // when the pace was last set
	version uint64    // of the table when a coordinator last set the pace; 0 if none has
}

// Ended reports whether the pace has risen until it limits nothing.
func (p Pace) Ended() bool { return p.PerSecond >= pace.Unlimited }

// Cold reports whether the target is still cold.
func (p Pace) Cold(now time.Time) bool { return now.Before(p.ColdUntil) }

// BeginPace makes a target paced, or cold once more if it is paced.
func (t *Table) BeginPace(now time.Time, target ownership.Incarnation, p Pace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.paces[target]; old != nil && !old.Ended() {
		p.Busy, p.Since, p.version = old.Busy, old.Since, old.version
	} else {
		p.Since = now
	}
	p.PerSecond, p.setAt = p.First, now
	t.paces[target] = &p
	t.paced.Store(int64(len(t.paces)))
	t.version++
}

// EndPace ends the pace of a target and reports whether it had one.
func (t *Table) EndPace(target ownership.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paces[target] == nil {
		return false
	}
	delete(t.paces, target)
	t.paced.Store(int64(len(t.paces)))
	t.version++
	return true
}

// PaceOf returns the pace of a target, or false if it is not paced.
func (t *Table) PaceOf(target ownership.Incarnation) (Pace, bool) {
	if t.paced.Load() == 0 {
		return Pace{}, false // it is asked for each request
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paces[target]
	if p == nil {
		return Pace{}, false
	}
	return *p, true
}

// Paces returns the paces of all paced targets.
func (t *Table) Paces() map[ownership.Incarnation]Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[ownership.Incarnation]Pace, len(t.paces))
	for target, p := range t.paces {
		out[target] = *p
	}
	return out
}

// setPace applies a pace that a coordinator has set and reports whether it has changed. It is ignored if this host does not pace the
// target, still knows it as cold, or began the pace later. The caller holds t.mu.
func (t *Table) setPace(setAt time.Time, l Limit) bool {
	p := t.paces[l.Target]
	if p == nil || p.Cold(setAt) || !setAt.After(p.setAt) || l.PerSecond == p.PerSecond {
		return false
	}
	t.version++
	p.PerSecond, p.setAt, p.version = l.PerSecond, setAt, t.version
	return true
}
