// Package ratelimit holds the request rates that targets state, and divides each
// among the hosts that send to the target.
//
// A target in need states in its responses how many requests a second it accepts
// from all hosts together. Every host keeps a Table of these limits. A response
// that a host receives updates its own Table, and hosts exchange the changes, so
// that a limit that one host has seen binds all of them.
//
// # Usage
//
//	t := ratelimit.NewTable()
//	changed := t.Observe(now, ratelimit.Limit{Target: incarnation, PerSecond: 4.2, Stated: true})
//	perSecond, ok := t.PerSecond(incarnation)
package ratelimit

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// A Limit is what a target stated about its request rate in one response.
type Limit struct {
	Target ownership.Incarnation `json:"target"`
	// PerSecond is the number of requests per second that the target accepts from all hosts together. It is valid if
	// Stated is set.
	PerSecond float64 `json:"per_second,omitempty"`
	// Stated reports whether the response stated a limit. A response without one ends the limit before it.
	Stated bool `json:"stated,omitempty"`
	// Age is the time since the response, in nanoseconds in JSON. The clocks of hosts differ.
	Age time.Duration `json:"age,omitempty"`
	// Pace reports whether the limit is the pace that the coordinator sets for a paced target.
	Pace bool `json:"pace,omitempty"`
}

// retention is how long a limit is kept after the target was last listed.
const retention = 30 * time.Second

// A Table holds the latest limit of each target that has ever stated one. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[ownership.Incarnation]*entry
	paces   map[ownership.Incarnation]*Pace
	paced   atomic.Int64 // number of paces
	version uint64
}

// entry is the latest limit of one target.
type entry struct {
	perSecond  float64
	stated     bool
	observedAt time.Time
	version    uint64    // version of the table at which the limit last changed
	listedAt   time.Time // when the target was last listed
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{entries: map[ownership.Incarnation]*entry{}, paces: map[ownership.Incarnation]*Pace{}}
}

// Observe records a limit, or the end of one, and reports whether the limit of the target
// has changed. A limit older than the recorded one is ignored.
func (t *Table) Observe(now time.Time, l Limit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	observedAt := now.Add(-max(0, l.Age))
	if l.Pace {
		return t.setPace(observedAt, l)
	}
	e, ok := t.entries[l.Target]
	switch {
	case !ok && !l.Stated:
		return false // most targets never state a limit
	case !ok:
		e = &entry{listedAt: now}
		t.entries[l.Target] = e
	case !observedAt.After(e.observedAt):
		return false
	}
	changed := e.stated != l.Stated || e.stated && e.perSecond != l.PerSecond
	e.stated, e.perSecond, e.observedAt = l.Stated, l.PerSecond, observedAt
	if changed {
		t.version++
		e.version = t.version
	}
	return changed
}

// PerSecond returns the limit of a target in requests per second, or false if it has none.
func (t *Table) PerSecond(target ownership.Incarnation) (float64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.perSecond(target)
}

// perSecond is PerSecond for callers that hold t.mu. Of the limit that the target states and its pace, the lower one applies.
func (t *Table) perSecond(target ownership.Incarnation) (float64, bool) {
	e, p := t.entries[target], t.paces[target]
	stated, paced := e != nil && e.stated, p != nil && !p.Ended()
	switch {
	case stated && paced:
		return min(e.perSecond, p.PerSecond), true
	case paced:
		return p.PerSecond, true
	case stated:
		return e.perSecond, true
	}
	return 0, false
}

// ByName returns the limits, in requests per second, of those of the given targets that have one.
func (t *Table) ByName(targets []platform.Target) map[string]float64 {
	out := map[string]float64{}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 && len(t.paces) == 0 {
		return out
	}
	for _, target := range targets {
		if perSecond, ok := t.perSecond(ownership.IncarnationOf(target)); ok {
			out[target.Name] = perSecond
		}
	}
	return out
}

// Version returns a number that grows with every change of a limit.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ChangesSince returns the limits that changed after a version of this table, ended ones
// included, and the version up to which they are complete.
func (t *Table) ChangesSince(now time.Time, version uint64) ([]Limit, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Limit
	for target, e := range t.entries {
		if e.version > version {
			out = append(out, Limit{Target: target, PerSecond: e.perSecond, Stated: e.stated, Age: now.Sub(e.observedAt)})
		}
	}
	for target, p := range t.paces {
		if p.version > version {
			out = append(out, Limit{Target: target, PerSecond: p.PerSecond, Stated: true, Age: now.Sub(p.setAt), Pace: true})
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return strings.Compare(a.Target.Name, b.Target.Name) })
	return out, t.version
}

// Retain deletes the limits of targets that have not been listed for some time. listed
// reports whether a target is listed now.
func (t *Table) Retain(now time.Time, listed func(ownership.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, e := range t.entries {
		switch {
		case listed(target):
			e.listedAt = now
		case now.Sub(e.listedAt) > retention:
			delete(t.entries, target)
		}
	}
}
