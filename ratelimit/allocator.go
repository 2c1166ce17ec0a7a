package ratelimit

import (
	"math"
	"time"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/pace"
)

const (
	// PermitLifetime is how long a host may use a permit. A host that freezes or has no use for a permit
	// must not add it to the permits of a later time.
	PermitLifetime = time.Second
	// burstTime is the time for which an unused limit accumulates, and burstPermits the number of permits that
	// accumulate in addition.
	burstTime    = 500 * time.Millisecond
	burstPermits = 1
	// PacedPermitLifetime is PermitLifetime for a paced target. A longer one would let more permits be used in one second.
	PacedPermitLifetime = 500 * time.Millisecond
	// pacedWindow is the time in which an Allocator gives out at most half of the bound of a paced target. The permits that are
	// used in one second were given out within that second, their lifetime and the time of a reply before it.
	pacedWindow = time.Second + PacedPermitLifetime + 300*time.Millisecond
	// busySettleTime is how long no permits are given out for a target that became cold in use: it has the requests of the last
	// second, and not all hosts know yet that it is cold.
	busySettleTime = time.Second
	// newPaceTime is the time without a call for permits of a paced target after which its pace is a new one.
	newPaceTime = 3 * time.Second
	// turnTime is how long a host without coordinator may use its turn at a paced target.
	turnTime = time.Second
	// minPerSecond is the least rate, in requests per second, at which permits are given out. A target that
	// accepts none is still asked now and then, as only a response can end the limit.
	minPerSecond = 0.5
)

// A Want is the number of requests that a host wants to send to a limited target.
type Want struct {
	Target ownership.Incarnation `json:"target"`
	// PerSecond is the limit that the host knows.
	PerSecond float64 `json:"per_second"`
	Count     int     `json:"count"`
	// Unused is the number of permits that expired unused since the last call.
	Unused int `json:"unused,omitempty"`
	// Bound is the number of requests in any second that a cold target must not exceed; 0 if the target is not cold.
	Bound float64 `json:"bound,omitempty"`
	// Busy reports whether the target became cold while it was in use.
	Busy bool `json:"busy,omitempty"`
	// Responses are those of a paced target since the last call. Capacity is the number of requests per second that its slots can
	// serve; 0 if the sender does not know.
	Responses *pace.Responses `json:"responses,omitempty"`
	Capacity  float64         `json:"capacity,omitempty"`
}

// A Permit allows a host to send a number of requests to a limited target within PermitLifetime.
type Permit struct {
	Target ownership.Incarnation `json:"target"`
	Count  int                   `json:"count"`
}

// An Allocator gives out permits for limited targets with a token bucket for each target. It
// is not safe for concurrent use.
type Allocator struct {
	buckets map[ownership.Incarnation]*bucket
}

// bucket holds the permits that have accumulated for one target.
type bucket struct {
	tokens    float64
	updatedAt time.Time
	pacedAt   time.Time   // when permits were last asked for while the target was paced
	given     []time.Time // when permits for a paced target were given out, within pacedWindow
}

// NewAllocator returns an Allocator without accumulated permits.
func NewAllocator() *Allocator { return &Allocator{buckets: map[ownership.Incarnation]*bucket{}} }

// Accumulate sets the permits that have accumulated for a target, as a fraction of one. Hosts that
// begin at the same time with their shares of a limit would otherwise all send at the same time.
func (a *Allocator) Accumulate(now time.Time, target ownership.Incarnation, fraction float64) {
	a.buckets[target] = &bucket{tokens: fraction, updatedAt: now}
}

// Forget forgets the permits that have accumulated for a target.
func (a *Allocator) Forget(target ownership.Incarnation) { delete(a.buckets, target) }

// Has reports whether permits for a target have been asked for or accumulated.
func (a *Allocator) Has(target ownership.Incarnation) bool { return a.buckets[target] != nil }

// Take returns the number of permits that are given out now for w, at most w.Count. The
// allocator may give out a share of w.PerSecond.
func (a *Allocator) Take(now time.Time, w Want, share float64) int {
	rate := max(w.PerSecond, minPerSecond) * share
	b, ok := a.buckets[w.Target]
	if !ok {
		b = &bucket{tokens: burstPermits, updatedAt: now}
		a.buckets[w.Target] = b
	}
	if paced := w.Bound > 0; paced && share < 1 {
		return b.takeTurn(now, w, rate)
	} else if paced {
		if w.Busy && now.Sub(b.pacedAt) > newPaceTime {
			b.tokens, b.updatedAt = 0, now.Add(busySettleTime)
		}
		b.pacedAt = now
	}
	if now.Before(b.updatedAt) {
		return 0
	}
	limit := rate*burstTime.Seconds() + burstPermits
	b.tokens = min(limit, b.tokens+rate*now.Sub(b.updatedAt).Seconds()+float64(w.Unused))
	b.updatedAt = now
	n := min(w.Count, int(b.tokens))
	if w.Bound > 0 {
		n = b.limitPaced(now, n, w.Bound)
	}
	b.tokens -= float64(n)
	return n
}

// limitPaced returns how many of n permits for a paced target may be given out, and records them. Half of the
// bound is left for a second coordinator.
func (b *bucket) limitPaced(now time.Time, n int, bound float64) int {
	for len(b.given) > 0 && now.Sub(b.given[0]) >= pacedWindow {
		b.given = b.given[1:]
	}
	n = max(0, min(n, max(1, int(bound/2))-len(b.given)))
	for range n {
		b.given = append(b.given, now)
	}
	return n
}

// takeTurn returns the permits of a host that has only a share of the rate of a paced target. Its turn comes whenever
// one permit has accumulated, and lapses after turnTime, so that not all hosts send what they have saved in the same second.
func (b *bucket) takeTurn(now time.Time, w Want, rate float64) int {
	b.tokens += rate * now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	turns, rest := math.Modf(b.tokens)
	if turns < 1 || w.Count == 0 {
		return 0
	}
	b.tokens = rest
	if rest > rate*turnTime.Seconds() {
		return 0 // the turn has lapsed
	}
	return 1
}

// PacedRate returns the rate, in requests per second, at which permits for a cold target that sustains perSecond are given out. At a
// higher one, two coordinators at once would use up the bound in pacedWindow.
func PacedRate(perSecond, bound float64) float64 {
	return min(perSecond, max(1, math.Floor(bound/2))/pacedWindow.Seconds())
}
