package scheduler

import (
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// coldFactor is how many times slower a target is while it is cold.
	coldFactor = 2.0
	// minFailurePause and maxFailurePause bound how long a target gets nothing after it failed.
	minFailurePause = 150 * time.Millisecond
	maxFailurePause = 1200 * time.Millisecond
	// minShedPause and maxShedPause bound how long a target gets nothing after it turned a request away.
	minShedPause = 40 * time.Millisecond
	maxShedPause = 640 * time.Millisecond
	// trialFailures is how many failures in a row put a target on trial: one request at a time until it answers.
	trialFailures = 2
	// remoteCost is what another data centre adds to a target's cost, in parts of its expected time, and
	// remoteBodyCost what each bodyUnit of bytes adds that has to go there.
	remoteCost     = 0.15
	remoteBodyCost = 0.5
	bodyUnit       = 64 << 10
	// connectCost is what a new connection adds; with it, hosts keep to the targets that they are connected to.
	connectCost = 0.3
	// triedCost puts targets that a request was sent to before behind all others.
	triedCost = 1000
	// errorCost is how many times its expected time a target costs more when all its answers are failures.
	errorCost = 6.0
	// newWeight is the weight of a new observation in an average.
	newWeight = 0.15
	// riseWeight is the weight of a higher observation in a base.
	riseWeight = 0.03
	// slownessFloor keeps one quick answer from drawing all requests to a target.
	slownessFloor = 0.3
)

// An Outcome says how an attempt at a target ended.
type Outcome int

// The outcomes.
const (
	// Answered is a complete answer that is no failure.
	Answered Outcome = iota
	// Failed is a complete answer that reports a failure of the target.
	Failed
	// TurnedAway means that the target did not run the request for want of room.
	TurnedAway
	// WrongOwner means that the target did not run the request since it does not hold the key.
	WrongOwner
	// Unreachable means that nothing was sent.
	Unreachable
	// Broken means that the connection failed after the request was sent.
	Broken
	// Silent means that no answer came in time.
	Silent
	// Abandoned means that the caller left.
	Abandoned
)

// A Result is the end of an attempt.
type Result struct {
	Outcome Outcome
	// Took is the time from sending the request to its answer.
	Took time.Duration
}

// target is what a host knows of one target.
type target struct {
	platform.Target

	running  int
	warmAt   time.Time // when a cold target has its full speed
	paused   time.Time // until when it gets nothing
	failures int       // failures in a row
	sheds    int       // requests turned away in a row
	speed    average   // times taken relative to the route's mean
	quick    float64   // times taken relative to the route's base when nothing waits
	limit    float64   // requests that this host may have running there, when only this target can run them
	errors   average   // share of failures
	adopted  bool      // has just joined and gets this host's next request
}

func newTarget(now time.Time, spec platform.Target) *target {
	t := &target{Target: spec}
	t.speed.value = 1
	t.limit, t.quick = startLimit, 1
	t.update(now, spec)
	return t
}

func (t *target) update(now time.Time, spec platform.Target) {
	if spec.ColdFor > 0 && (t.warmAt.IsZero() || spec.ColdFor != t.ColdFor) {
		t.warmAt = now.Add(spec.ColdFor)
	}
	t.Target = spec
}

// usable reports whether the target takes new work, now or after a short pause.
func (t *target) usable(now time.Time) bool {
	return !t.Draining && (t.failures < trialFailures || !now.Before(t.paused))
}

// open reports whether the target may get a request now.
func (t *target) open(now time.Time) bool {
	if t.Draining || now.Before(t.paused) {
		return false
	}
	return t.failures < trialFailures || t.running == 0
}

// capacity returns the slots that the target is worth at its present speed.
func (t *target) capacity(now time.Time) float64 {
	slots := float64(t.Slots)
	if now.Before(t.warmAt) {
		slots /= coldFactor
	}
	return slots
}

// slowness returns how many times longer than the mean work takes at the target.
func (t *target) slowness(now time.Time) float64 {
	s := max(slownessFloor, t.speed.value)
	if now.Before(t.warmAt) {
		s *= coldFactor
	}
	return s
}

// cost returns the expected time of a request in parts of the mean, with what the host already runs there.
func (t *target) cost(now time.Time) float64 {
	return t.slowness(now) * (1 + float64(t.running)/float64(max(1, t.Slots))) * (1 + errorCost*t.errors.value)
}

func (t *target) start(time.Time) {
	t.running++
	t.adopted = false
}

// Done ends an attempt.
func (c *Core) Done(now time.Time, r *Request, result Result) {
	t := r.target
	t.running--
	c.running--
	switch result.Outcome {
	case Answered:
		c.observe(now, t, r, result.Took)
		t.errors.add(0)
		t.failures, t.sheds = 0, 0
	case Failed:
		t.errors.add(1)
		t.failures, t.sheds = 0, 0
	case TurnedAway:
		t.limit = max(1, t.limit/2)
		t.pause(now, min(maxShedPause, minShedPause<<min(t.sheds, 4)))
		t.sheds++
	case Unreachable, Broken, Silent:
		t.limit = max(1, t.limit/2)
		t.errors.add(1)
		t.pause(now, min(maxFailurePause, minFailurePause<<min(t.failures, 3)))
		t.failures++
	case WrongOwner, Abandoned:
	}
}

// pause keeps requests from the target; other targets keep their order.
func (t *target) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.paused) {
		t.paused = until
	}
}

// observe learns the time that a route takes and the speed of a target.
func (c *Core) observe(now time.Time, t *target, r *Request, took time.Duration) {
	w, ok := c.work[r.Route]
	if !ok {
		w = &average{value: took.Seconds(), base: took.Seconds(), known: true}
		c.work[r.Route] = w
	}
	relative := took.Seconds() / max(w.value, 1e-4)
	if now.Before(t.warmAt) {
		relative /= coldFactor
	}
	unhurried := min(took.Seconds(), maxRelative*w.value) / max(w.base, 1e-4)
	t.adapt(unhurried / max(t.quick, slownessFloor))
	settle(&t.quick, unhurried)
	settle(&w.base, min(took.Seconds(), maxRelative*w.value))
	t.speed.add(min(relative, maxRelative))
	w.add(min(took.Seconds(), maxRelative*w.value))
	w.at = now
	if !c.anyWork.known {
		c.anyWork.value, c.anyWork.base = took.Seconds(), took.Seconds()
	}
	settle(&c.anyWork.base, min(took.Seconds(), maxRise*c.anyWork.base))
	c.anyWork.add(min(took.Seconds(), maxRelative*c.anyWork.value))
}

// adapt raises the limit after an answer at the usual speed and lowers it after
// one that must have waited at the target.
func (t *target) adapt(ratio float64) {
	switch {
	case ratio <= quickRatio:
		t.limit = min(maxLimit, t.limit+limitStep)
	case ratio >= queuedRatio:
		t.limit = max(1, t.limit*limitCut)
	}
}

const (
	// startLimit, maxLimit, limitStep and limitCut govern how many requests a host has running at the owner of a key.
	startLimit = 2.0
	maxLimit   = 4.0
	limitStep  = 0.1
	limitCut   = 0.85
	// quickRatio and queuedRatio tell answers that did not wait from those that did, in parts of the usual time there.
	quickRatio  = 1.5
	queuedRatio = 2.5
)

// maxRise bounds an observation that raises the base of all routes, so that queues at a crest raise it little.
const maxRise = 1.5

// meanOverBase is the mean time of work in parts of its base, worked out for the lengths of work on the users' sheets.
const meanOverBase = 1.8

// maxRelative bounds what one answer may tell; a few requests in a hundred take seven times as long.
const maxRelative = 4.0

// average is an exponentially weighted mean.
type average struct {
	value float64
	base  float64 // what the value is when nothing waits
	known bool
	at    time.Time // when the last value was observed
}

// settle moves a base quickly down and slowly up, so that it shows the time of
// work that did not wait.
func settle(base *float64, v float64) {
	weight := riseWeight
	if v < *base {
		weight = newWeight
	}
	*base += weight * (v - *base)
}

func (a *average) add(v float64) {
	a.known = true
	a.value += newWeight * (v - a.value)
}

// A View is what a Core knows of one target, for dumps and reports.
type View struct {
	Name     string  `json:"name"`
	Running  int     `json:"running"`
	Slowness float64 `json:"slowness"`
	Errors   float64 `json:"errors"`
	Failures int     `json:"failures"`
	Paused   bool    `json:"paused"`
	Draining bool    `json:"draining"`
}

// Views returns what the Core knows of its targets, by name.
func (c *Core) Views(now time.Time) []View {
	out := make([]View, 0, len(c.ordered))
	for _, t := range c.ordered {
		out = append(out, View{
			Name: t.Name, Running: t.running, Slowness: t.slowness(now), Errors: t.errors.value,
			Failures: t.failures, Paused: now.Before(t.paused), Draining: t.Draining,
		})
	}
	return out
}

// UnhurriedWork returns the mean time that the service's requests would take if
// none waited at its target; 0 when unknown. It shows what a target can do: the
// mean of the times seen grows with the queues, and would call every target busy.
func (c *Core) UnhurriedWork() time.Duration {
	if !c.anyWork.known {
		return 0
	}
	return time.Duration(c.anyWork.base * meanOverBase * float64(time.Second))
}

// MeanWork returns the mean time of the service's requests; 0 when unknown.
func (c *Core) MeanWork() time.Duration {
	if !c.anyWork.known {
		return 0
	}
	return time.Duration(c.anyWork.value * float64(time.Second))
}
