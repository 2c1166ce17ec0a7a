package dispatch

import "time"

// Values of Request.Owner that are not the index of a target.
const (
	// AnyTarget means that any target may run the request.
	AnyTarget = -1
	// NoOwner means that the request's shard has no owner now.
	NoOwner = -2
)

// A Request is a request in a Dispatcher. The caller of Add sets the exported fields
// beforehand and does not change them afterwards.
type Request struct {
	// Class and Route are indexes into Config.Classes and Config.LongRoutes.
	Class int
	Route int
	// Shard is the shard of the request's key, or -1 if the service is not divided by key.
	Shard int
	// Owner is the index of the only target that may run the request, or AnyTarget
	// or NoOwner.
	Owner int
	// Deadline is the time by which the caller needs the response.
	Deadline time.Time
	// Idempotent reports whether the request is idempotent: it may be sent again
	// after an attempt with an unknown outcome.
	Idempotent bool
	// Replayable reports whether the body can still be sent from the start; nil
	// means that it always can.
	Replayable func() bool
	// Fingerprint is the same for identical requests; 0 means none.
	Fingerprint uint64
	// Value holds data of the caller; the Dispatcher does not use it.
	Value any

	state    state
	arrived  time.Time
	started  time.Time
	target   int
	attempts int
	long     bool
	// isolated reports whether the request must be the only one on its target.
	isolated bool
	// reserved is the index of the target reserved for an isolated request, or -1.
	reserved int
	expected time.Duration
	next     *Request
	prev     *Request
	list     *requestList
}

type state int

const (
	stateNew state = iota
	stateQueued
	stateRunning
	stateEnded
)

// Target returns the index of the target that the request was last sent to.
func (r *Request) Target() int { return r.target }

// Attempts returns how many times the request was sent, without the attempts that
// ended in ResultOwnerChanged.
func (r *Request) Attempts() int { return r.attempts }

// Arrived returns when the request was added.
func (r *Request) Arrived() time.Time { return r.arrived }

// Started returns when the request was last sent.
func (r *Request) Started() time.Time { return r.started }

// Expected returns the expected running time, or 0 if it is unknown.
func (r *Request) Expected() time.Duration { return r.expected }

// Long reports whether the request counts as long.
func (r *Request) Long() bool { return r.long }

// A Result is the result of an attempt.
type Result int

// Results of attempts.
const (
	// ResultOK means that a complete response was received.
	ResultOK Result = iota
	// ResultNotStarted means that the target did not start the request.
	ResultNotStarted
	// ResultOverloaded means that the target rejected the request because of overload
	// and did not run it.
	ResultOverloaded
	// ResultConnectionFailed means that the connection failed; the request may have run.
	ResultConnectionFailed
	// ResultCrashed means that the target crashed while running the request.
	ResultCrashed
	// ResultOwnerChanged means that the target does not own the request's shard, or no longer
	// exists, and did not run the request. The attempt is not counted.
	ResultOwnerChanged
	// ResultTimeout means that the deadline passed; the request may have run.
	ResultTimeout
	// ResultCanceled means that the caller disconnected or that the request was rejected
	// before it was sent.
	ResultCanceled
)

// Outcome is the state of a request after an attempt.
type Outcome int

// States of requests after an attempt.
const (
	// OutcomeFinished means that the request has ended.
	OutcomeFinished Outcome = iota
	// OutcomeRequeued means that the request is queued for another attempt.
	OutcomeRequeued
)

// A Reason is the reason why a request was rejected without being sent.
type Reason string

// Reasons for rejections.
const (
	ReasonQueueFull           Reason = "queue_full"
	ReasonDeadlineUnreachable Reason = "deadline_cannot_be_met"
	ReasonDeadlinePassed      Reason = "deadline_passed"
	ReasonShed                Reason = "shed"
	ReasonQuarantined         Reason = "set_aside"
	ReasonNoTarget            Reason = "no_target"
	ReasonWithdrawn           Reason = "withdrawn"
)

// A Rejection describes a request that Add rejected or that was rejected while it
// was queued. It has not run, except perhaps in an earlier attempt.
type Rejection struct {
	Request *Request
	Reason  Reason
	// RetryAfter is the suggested delay before another try; 0 if unknown.
	RetryAfter time.Duration
}
