package dispatch

import "time"

const (
	// warmupSuccesses is the number of successful requests after which a cold
	// target may use all its slots.
	warmupSuccesses = 5
	// raiseSuccesses is the number of successful requests that raise a lowered
	// limit by one.
	raiseSuccesses = 20
	// minSuspension and maxSuspension bound the exponential backoff during which
	// a failing target gets no requests.
	minSuspension = 100 * time.Millisecond
	maxSuspension = 2 * time.Second
	// maxSlowness is the slowness above which a target's limit falls to one.
	maxSlowness = 4.0
	// slownessWeight is the weight of a new observation in a target's slowness.
	slownessWeight = 0.1
)

// A TargetSpec describes a target of a Dispatcher.
type TargetSpec struct {
	Name string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining reports whether the target gets no new requests.
	Draining bool
}

// target is the dispatch state of one target.
type target struct {
	name  string
	slots int
	// limit is the number of slots that may be used now.
	limit    int
	draining bool
	removed  bool
	running  int
	// long is the number of running requests that count as long.
	long int
	// exclusive reports whether an isolated request is running.
	exclusive bool
	// reserved reports whether an isolated request waits for the target to become idle.
	reserved bool
	// warmup counts successes since the target became cold, up to warmupSuccesses.
	warmup int
	// successes counts successes since the limit last changed.
	successes int
	// failures counts failures since the last success.
	failures       int
	suspendedUntil time.Time
	// slowness is the moving average of the ratio of actual to expected running
	// time.
	slowness float64
	// dispatched is the number of requests sent to the target.
	dispatched uint64
}

func newTarget(spec TargetSpec) target {
	return target{name: spec.Name, slots: spec.Slots, limit: 1, draining: spec.Draining, slowness: 1}
}

// hasFreeSlot reports whether the target can take a non-isolated request now.
func (t *target) hasFreeSlot(now time.Time) bool {
	return t.usable(now) && !t.exclusive && !t.reserved && t.running < t.limit
}

// usable reports whether the target may get new requests at all.
func (t *target) usable(now time.Time) bool {
	return !t.removed && !t.draining && !now.Before(t.suspendedUntil)
}

// acceptsLong reports whether a long request may take a slot. One slot is
// reserved for short requests, unless the limit is one.
func (t *target) acceptsLong() bool {
	return t.long < max(1, t.limit-1)
}

// preferredTo reports whether t should get the next request rather than o: fewer
// running requests, then lower slowness, then fewer requests dispatched so far.
func (t *target) preferredTo(o *target) bool {
	if t.running != o.running {
		return t.running < o.running
	}
	if t.slowness != o.slowness {
		return t.slowness < o.slowness
	}
	return t.dispatched < o.dispatched
}

func (t *target) start(r *Request) {
	t.running++
	t.dispatched++
	if r.long {
		t.long++
	}
	if r.isolated {
		t.exclusive = true
	}
}

func (t *target) finish(r *Request) {
	t.running--
	if r.long {
		t.long--
	}
	if r.isolated {
		t.exclusive = false
	}
}

// recordSuccess records a successful request that took ratio times the expected
// time of its route.
func (t *target) recordSuccess(ratio float64) {
	t.failures = 0
	t.slowness += slownessWeight * (ratio - t.slowness)
	if t.slowness > maxSlowness {
		t.limit = 1
		t.successes = 0
		return
	}
	if t.warmup < warmupSuccesses {
		t.warmup++
		if t.warmup == warmupSuccesses {
			t.limit = t.slots
		}
		return
	}
	t.successes++
	if t.limit < t.slots && t.successes >= raiseSuccesses {
		t.limit++
		t.successes = 0
	}
}

// recordOverload records that the target rejected a request because of overload.
func (t *target) recordOverload(now time.Time) {
	t.limit = max(1, t.limit-1)
	t.successes = 0
	t.failures++
	t.suspendedUntil = now.Add(minSuspension)
}

// recordFailure records that the target was unreachable or crashed. It is
// suspended for a period that doubles with each failure and then starts cold.
func (t *target) recordFailure(now time.Time) {
	pause := min(maxSuspension, minSuspension<<min(t.failures, 5))
	t.failures++
	t.suspendedUntil = now.Add(pause)
	t.warmup = 0
	t.limit = 1
}
