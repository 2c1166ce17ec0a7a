package dispatch

import "time"

const (
	// warmSuccesses is how many answers a cold target gives before it gets all its slots.
	warmSuccesses = 5
	// recoverSuccesses is how many answers raise a lowered limit by one.
	recoverSuccesses = 20
	// minSuspension and maxSuspension bound how long a failing target gets nothing.
	minSuspension = 100 * time.Millisecond
	maxSuspension = 2 * time.Second
	// slowRatio is how many times slower than its peers a target may be before its limit falls to one.
	slowRatio = 4.0
	// ratioWeight is the weight of a new observation in a target's slowness.
	ratioWeight = 0.1
)

// A TargetSpec describes one target of a Core.
type TargetSpec struct {
	Name  string
	Slots int
	// Draining says that the target gets no new work.
	Draining bool
}

// target is the state of one target.
type target struct {
	name      string
	slots     int
	limit     int
	draining  bool
	removed   bool
	running   int
	long      int
	exclusive bool
	reserved  bool
	warm      int
	successes int
	failures  int
	suspended time.Time
	slowness  float64
	served    uint64
}

func newTarget(spec TargetSpec) target {
	return target{name: spec.Name, slots: spec.Slots, limit: 1, draining: spec.Draining, slowness: 1}
}

// open reports whether the target may take a request now.
func (t *target) open(now time.Time) bool {
	return t.usable(now) && !t.exclusive && !t.reserved && t.running < t.limit
}

// usable reports whether the target may get any new work now.
func (t *target) usable(now time.Time) bool {
	return !t.removed && !t.draining && !now.Before(t.suspended)
}

// opensLong reports whether a long request may take one of the target's slots;
// one slot is kept from long work.
func (t *target) opensLong() bool {
	return t.long < max(1, t.limit-1)
}

// better reports whether t is the better choice than o for the next request.
func (t *target) better(o *target) bool {
	if t.running != o.running {
		return t.running < o.running
	}
	if t.slowness != o.slowness {
		return t.slowness < o.slowness
	}
	return t.served < o.served
}

func (t *target) start(r *Request) {
	t.running++
	t.served++
	if r.long {
		t.long++
	}
	if r.alone {
		t.exclusive = true
	}
}

func (t *target) finish(r *Request) {
	t.running--
	if r.long {
		t.long--
	}
	if r.alone {
		t.exclusive = false
	}
}

// succeeded notes an answer that took ratio times the expected time.
func (t *target) succeeded(ratio float64) {
	t.failures = 0
	t.slowness += ratioWeight * (ratio - t.slowness)
	if t.slowness > slowRatio {
		t.limit = 1
		t.successes = 0
		return
	}
	if t.warm < warmSuccesses {
		t.warm++
		if t.warm == warmSuccesses {
			t.limit = t.slots
		}
		return
	}
	t.successes++
	if t.limit < t.slots && t.successes >= recoverSuccesses {
		t.limit++
		t.successes = 0
	}
}

// shed notes that the target refused a request for load.
func (t *target) shed(now time.Time) {
	t.limit = max(1, t.limit-1)
	t.successes = 0
	t.failures++
	t.suspended = now.Add(minSuspension)
}

// failed notes that the target could not be reached; it starts cold afterwards.
func (t *target) failed(now time.Time) {
	pause := min(maxSuspension, minSuspension<<min(t.failures, 5))
	t.failures++
	t.suspended = now.Add(pause)
	t.warm = 0
	t.limit = 1
}
