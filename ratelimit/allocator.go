package ratelimit

import (
	"time"

	"github.com/redwingtally/redwingtally/ownership"
)

const (
	// PermitLifetime is how long a host may use a permit. A host that freezes or has no use for a permit
	// must not add it to the permits of a later time.
	PermitLifetime = time.Second
	// burstTime is the time for which an unused limit accumulates, and burstPermits the number of permits that
	// accumulate in addition.
	burstTime    = 500 * time.Millisecond
	burstPermits = 1
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
}

// NewAllocator returns an Allocator without accumulated permits.
func NewAllocator() *Allocator { return &Allocator{buckets: map[ownership.Incarnation]*bucket{}} }

// Accumulate sets the permits that have accumulated for a target, as a fraction of one. Hosts that
// begin at the same time with their shares of a limit would otherwise all send at the same time.
func (a *Allocator) Accumulate(now time.Time, target ownership.Incarnation, fraction float64) {
	a.buckets[target] = &bucket{tokens: fraction, updatedAt: now}
}

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
	limit := rate*burstTime.Seconds() + burstPermits
	b.tokens = min(limit, b.tokens+rate*now.Sub(b.updatedAt).Seconds()+float64(w.Unused))
	b.updatedAt = now
	n := min(w.Count, int(b.tokens))
	b.tokens -= float64(n)
	return n
}
