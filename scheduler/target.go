package scheduler

import (
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// coldSlowdown is the factor by which a target is slower while it warms up.
	coldSlowdown = 2.0
	// minFailurePause and maxFailurePause bound the backoff of a target after a failed attempt.
	minFailurePause = 150 * time.Millisecond
	maxFailurePause = 1200 * time.Millisecond
	// minRejectionPause and maxRejectionPause bound the backoff of a target after it rejected a request.
	minRejectionPause = 40 * time.Millisecond
	maxRejectionPause = 640 * time.Millisecond
	// breakerThreshold is the number of consecutive failures after which a target gets one request at a time
	// until it answers.
	breakerThreshold = 2

	// The costs of a target are multiples of the mean response time of the route.

	// remoteCost is the additional cost of a target in another data centre, and remoteBodyCost that of each
	// bodyCostUnit bytes of the body sent there.
	remoteCost     = 0.15
	remoteBodyCost = 0.5
	bodyCostUnit   = 64 << 10
	// connectCost is the additional cost of a new connection; it makes hosts prefer targets that they are connected to.
	connectCost = 0.3
	// triedCost ranks targets that the request was already sent to behind all others.
	triedCost = 1000
	// errorCost is the relative cost increase of a target at an error rate of 1.
	errorCost = 6.0
	// observationWeight is the weight of a new observation in an average.
	observationWeight = 0.15
	// slowWeight is the weight of an observation in an average over many targets or requests, which differ much.
	slowWeight = 0.05
	// baselineRiseWeight is the weight in a baseline of an observation above it.
	baselineRiseWeight = 0.03
	// minSlowness is the lower bound of slowness; without it, one quick response would attract all requests.
	minSlowness = 0.3
)

// An Outcome is the outcome of an attempt at a target.
type Outcome int

// Values of Outcome.
const (
	// Answered means that a complete response arrived that reports no failure.
	Answered Outcome = iota
	// Failed means that a complete response arrived that reports a failure of the target.
	Failed
	// Rejected means that the target rejected the request for lack of free capacity.
	Rejected
	// WrongOwner means that the target rejected the request because it does not own the key, or because it is not
	// the expected target at the address.
	WrongOwner
	// Unreachable means that no connection to the target could be opened, so that no part of the request was sent.
	Unreachable
	// ConnectionFailed means that the connection failed after the request was sent.
	ConnectionFailed
	// TimedOut means that no complete response arrived in time.
	TimedOut
	// Cancelled means that the attempt ended without a result that counts for or against the target, for example
	// because the caller disconnected.
	Cancelled
)

// A Result is the outcome of an attempt and its duration.
type Result struct {
	Outcome Outcome
	// ResponseTime is the time from sending the request to its complete response.
	ResponseTime time.Duration
	// Load is the load that the target stated in its response.
	Load platform.Load
}

// target is the state and the statistics that a host keeps of one target.
type target struct {
	platform.Target
	rateLimit
	ownerLoad

	running               int
	runningStreamed       int         // of running, those with a streamed body
	warmAt                time.Time   // when a cold target reaches its full speed
	pausedUntil           time.Time   // end of the backoff; it gets no requests before
	noticedAt             time.Time   // when it was first taken for draining because of its statement
	withheldUntil         time.Time   // the target has asked this host for no requests before
	consecutiveFailures   int         // since the last complete response
	consecutiveRejections int         // since the last complete response
	consecutiveWrongOwner int         // since the last complete response
	relativeTime          average     // response times as multiples of the route's mean
	relativeBaseline      float64     // response time without queueing, as a multiple of the route's baseline
	concurrencyLimit      float64     // keyed requests that this host may have running there
	errorRate             average     // fraction of attempts that failed
	observed              bool        // a response time was recorded since the last call of ObservedSlowness
	offered               offeredRate // keyed requests that this host got for it
	probePending          bool        // newly listed; gets this host's next request
	load                  statedLoad  // as the target states it
}

func newTarget(now time.Time, spec platform.Target) *target {
	t := &target{Target: spec}
	t.relativeTime.value = 1
	t.concurrencyLimit, t.relativeBaseline = initialLimit, 1
	t.update(now, spec)
	return t
}

// update adopts the current entry of the target. A new WarmupLeft sets warmAt anew.
func (t *target) update(now time.Time, spec platform.Target) {
	if spec.WarmupLeft > 0 && (t.warmAt.IsZero() || spec.WarmupLeft != t.WarmupLeft) {
		t.warmAt = now.Add(spec.WarmupLeft)
	}
	if spec.Noticed && t.noticedAt.IsZero() {
		t.noticedAt = now
	}
	t.Target = spec
}

// usable reports whether the target can get requests now or after a short pause.
func (t *target) usable(now time.Time) bool {
	return !t.Draining && !t.withheld(now) && (t.consecutiveFailures < breakerThreshold || !now.Before(t.pausedUntil))
}

// available reports whether the target can get a request now.
func (t *target) available(now time.Time) bool { return !t.Draining && t.availableForOwned(now) }

// availableForOwned reports whether the target can get a request now for a key that it owns, unless it has left.
func (t *target) availableForOwned(now time.Time) bool {
	if t.withheld(now) || now.Before(t.pausedUntil) {
		return false
	}
	return t.consecutiveFailures < breakerThreshold || t.running == 0
}

// hasLeft reports whether the target gets no requests for keys that it owns either, as it drains.
func (t *target) hasLeft(now time.Time, grace time.Duration) bool {
	return t.Draining && (!t.Noticed || !now.Before(t.noticedAt.Add(grace)))
}

// capacity returns the number of slots of the target, reduced while it is cold.
func (t *target) capacity(now time.Time) float64 {
	slots := float64(t.Slots)
	if now.Before(t.warmAt) {
		slots /= coldSlowdown
	}
	return slots
}

// slowness returns the response time of the target as a multiple of the route's mean.
func (t *target) slowness(now time.Time) float64 {
	s := max(minSlowness, t.relativeTime.value)
	if now.Before(t.warmAt) && !t.limited { // permits keep a limited target from being overloaded
		s *= coldSlowdown
	}
	return s
}

// cost returns the expected time of a request at the target as a multiple of the
// mean. It rises with the requests that this host has running there and with the
// error rate.
func (t *target) cost(now time.Time) float64 {
	return t.slowness(now) * (1 + float64(t.running)/float64(max(1, t.Slots))) * (1 + errorCost*t.errorRate.value)
}

func (t *target) start(time.Time) {
	t.running++
	t.usePermit()
	t.probePending = false
}

// Finish records the result of an attempt and frees its slot.
func (s *Scheduler) Finish(now time.Time, r *Request, result Result) {
	t := r.target
	s.recordRunning(now, r, -1)
	t.running--
	s.running--
	if r.permitted {
		s.runningPermitted--
	}
	if r.Streamed {
		s.runningStreamed--
		t.runningStreamed--
	}
	s.recordLoad(now, t, r, result)
	switch result.Outcome {
	case Answered:
		s.recordResponseTime(now, t, r, result.ResponseTime)
		t.errorRate.add(0)
		t.resetConsecutive()
	case Failed:
		t.errorRate.add(1)
		t.resetConsecutive()
	case Rejected:
		t.recordOverload(now)
		t.concurrencyLimit = max(1, t.concurrencyLimit/2)
		t.pause(now, min(maxRejectionPause, minRejectionPause<<min(t.consecutiveRejections, 4)))
		t.consecutiveRejections++
	case Unreachable, ConnectionFailed, TimedOut:
		t.concurrencyLimit = max(1, t.concurrencyLimit/2)
		t.errorRate.add(1)
		t.pause(now, min(maxFailurePause, minFailurePause<<min(t.consecutiveFailures, 3)))
		t.consecutiveFailures++
	case WrongOwner:
		// Once may be a key that has just moved. Repeatedly, another target has the address, to which each
		// attempt is an additional arrival that counts towards the retry budget of its own service.
		t.pause(now, min(maxRejectionPause, minRejectionPause<<min(t.consecutiveWrongOwner, 4)))
		t.consecutiveWrongOwner++
	case Cancelled:
	}
}

// resetConsecutive ends the series of failed attempts after a complete response.
func (t *target) resetConsecutive() {
	t.consecutiveFailures, t.consecutiveRejections, t.consecutiveWrongOwner = 0, 0, 0
}

// pause stops requests to the target for at least d. It never shortens a pause.
func (t *target) pause(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
}

// recordResponseTime updates the statistics of the route, of the target and of all
// routes with the response time of a request. maxRelativeTime bounds the effect of an
// outlier. The relative time of a cold target is divided by coldSlowdown, so that it
// describes the warm target.
func (s *Scheduler) recordResponseTime(now time.Time, t *target, r *Request, responseTime time.Duration) {
	route, ok := s.responseTimes[r.Route]
	if !ok {
		route = &average{value: responseTime.Seconds(), baseline: responseTime.Seconds(), initialised: true}
		s.responseTimes[r.Route] = route
	}
	relative := responseTime.Seconds() / max(route.value, 1e-4)
	if now.Before(t.warmAt) {
		relative /= coldSlowdown
	}
	relativeToBaseline := min(responseTime.Seconds(), maxRelativeTime*route.value) / max(route.baseline, 1e-4)
	relativeToTarget := relativeToBaseline / max(t.relativeBaseline, minSlowness)
	if relativeToTarget >= queuedRatio {
		t.recordOverload(now)
	}
	t.adjustLimit(relativeToTarget)
	updateBaseline(&t.relativeBaseline, relativeToBaseline)
	updateBaseline(&route.baseline, min(responseTime.Seconds(), maxRelativeTime*route.value))
	t.relativeTime.add(min(relative, maxRelativeTime))
	route.add(min(responseTime.Seconds(), maxRelativeTime*route.value))
	route.updatedAt = now
	t.observed = true
	if !s.overallResponseTime.initialised {
		s.overallResponseTime.value, s.overallResponseTime.baseline = responseTime.Seconds(), responseTime.Seconds()
	}
	updateBaseline(&s.overallResponseTime.baseline, min(responseTime.Seconds(), maxBaselineRise*s.overallResponseTime.baseline))
	s.overallResponseTime.add(min(responseTime.Seconds(), maxRelativeTime*s.overallResponseTime.value))
}

// adjustLimit adapts the concurrency limit to the response time of a request,
// given as a multiple of the target's baseline. A request that did not queue at
// the target raises the limit; one that must have queued lowers it.
func (t *target) adjustLimit(ratio float64) {
	switch {
	case ratio <= unqueuedRatio:
		t.concurrencyLimit = min(maxLimit, t.concurrencyLimit+limitIncrement)
	case ratio >= queuedRatio:
		t.concurrencyLimit = max(1, t.concurrencyLimit*limitDecreaseFactor)
	}
}

const (
	// The limit of requests that a host has running at the owner of a key rises by limitIncrement and falls
	// by limitDecreaseFactor.
	initialLimit        = 2.0
	maxLimit            = 4.0
	limitIncrement      = 0.1
	limitDecreaseFactor = 0.85
	// unqueuedRatio and queuedRatio classify a request as unqueued or queued by its response time, as a multiple
	// of the target's baseline.
	unqueuedRatio = 1.5
	queuedRatio   = 2.5
)

// maxBaselineRise bounds an observation that raises the baseline over all routes,
// as a multiple of it, so that queues under peak load raise it little.
const maxBaselineRise = 1.5

// meanToBaseline is the ratio of the mean processing time to its baseline, computed
// for the distributions of processing times that the users specify.
const meanToBaseline = 1.8

// maxRelativeTime bounds one observation, as a multiple of the mean; a few requests
// in a hundred take seven times the mean.
const maxRelativeTime = 4.0

// average is an exponentially weighted moving average.
type average struct {
	value       float64
	baseline    float64 // estimate of the value without queueing
	initialised bool
	updatedAt   time.Time // time of the last observation
}

// updateBaseline moves a baseline towards v, fast downwards and slowly upwards, so
// that it approximates the time of requests that did not queue.
func updateBaseline(base *float64, v float64) {
	weight := baselineRiseWeight
	if v < *base {
		weight = observationWeight
	}
	*base += weight * (v - *base)
}

func (a *average) add(v float64) {
	a.initialised = true
	a.value += observationWeight * (v - a.value)
}

// addSlowly adds an observation to an average over many targets or requests. The first one becomes the value.
func (a *average) addSlowly(v float64) {
	if !a.initialised {
		a.initialised, a.value = true, v
		return
	}
	a.value += slowWeight * (v - a.value)
}

// A TargetState is the state of one target for state dumps and reports.
type TargetState struct {
	Name     string  `json:"name"`
	Running  int     `json:"running"`
	Slowness float64 `json:"slowness"`
	Errors   float64 `json:"errors"`
	Failures int     `json:"failures"`
	Paused   bool    `json:"paused"`
	// WithheldFor is the time in seconds for which the target has asked this host for no requests.
	WithheldFor float64 `json:"withheld_for,omitempty"`
	Draining    bool    `json:"draining"`
	// Load is what the host knows from the loads that the target stated; nil if it stated none.
	Load *LoadState `json:"load,omitempty"`
}

// TargetStates returns the state of all targets, ordered by name.
func (s *Scheduler) TargetStates(now time.Time) []TargetState {
	out := make([]TargetState, 0, len(s.ordered))
	for _, t := range s.ordered {
		out = append(out, TargetState{
			Name: t.Name, Running: t.running, Slowness: t.slowness(now), Errors: t.errorRate.value,
			Failures: t.consecutiveFailures, Paused: now.Before(t.pausedUntil), WithheldFor: max(0, t.withheldUntil.Sub(now).Seconds()), Draining: t.Draining, Load: s.loadState(now, t),
		})
	}
	return out
}

// ObservedSlowness returns the response time, as a multiple of the mean, of each target that
// responded since the last call. In a large fleet a host uses few of the targets between two
// reports, and the reports of all hosts arrive at one.
func (s *Scheduler) ObservedSlowness(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, t := range s.ordered {
		if t.observed {
			t.observed = false
			out[t.Name] = t.slowness(now)
		}
	}
	return out
}

// MeanProcessingTime returns the estimated mean processing time of the service's
// requests without queueing at the target, or 0 if there are no observations. It
// measures the capacity of a target. MeanResponseTime grows with the queues, so that
// under load every target would seem overloaded.
func (s *Scheduler) MeanProcessingTime() time.Duration {
	if !s.overallResponseTime.initialised {
		return 0
	}
	return time.Duration(s.overallResponseTime.baseline * meanToBaseline * float64(time.Second))
}

// MeanResponseTime returns the mean response time of the service's requests, including
// queueing at the target, or 0 if there are no observations.
func (s *Scheduler) MeanResponseTime() time.Duration {
	if !s.overallResponseTime.initialised {
		return 0
	}
	return time.Duration(s.overallResponseTime.value * float64(time.Second))
}
