package dispatch

import "time"

// Owners of a request's key that are not the index of a target.
const (
	// AnyTarget means that every target may run the request.
	AnyTarget = -1
	// NoOwner means that the request's shard has no owner at present.
	NoOwner = -2
)

// A Request is one request in a Core. The exported fields are set by its owner
// before Add and left alone afterwards.
type Request struct {
	// Class and Route are indexes into the policy.
	Class int
	Route int
	// Shard is the shard of the request's key, or -1.
	Shard int
	// Owner is the index of the only target that may run the request, AnyTarget or NoOwner.
	Owner int
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// Repeatable says that the request may run again after an unknown outcome.
	Repeatable bool
	// Replayable reports whether the body can still be sent from its beginning.
	Replayable func() bool
	// Fingerprint identifies equal requests; 0 when there is none.
	Fingerprint uint64
	// Value is for the owner's use.
	Value any

	state    state
	arrived  time.Time
	started  time.Time
	target   int
	attempts int
	long     bool
	alone    bool
	reserved int
	expected time.Duration
	next     *Request
	prev     *Request
	list     *list
}

type state int

const (
	stateNew state = iota
	stateQueued
	stateRunning
	stateEnded
)

// Target returns the index of the target that runs the request.
func (r *Request) Target() int { return r.target }

// Attempts returns how often the request was sent.
func (r *Request) Attempts() int { return r.attempts }

// Arrived returns when the request was added.
func (r *Request) Arrived() time.Time { return r.arrived }

// Started returns when the request was last sent.
func (r *Request) Started() time.Time { return r.started }

// Expected returns how long the request is expected to run; 0 when unknown.
func (r *Request) Expected() time.Duration { return r.expected }

// Long reports whether the request counts as long work.
func (r *Request) Long() bool { return r.long }

// A Result says how an attempt ended.
type Result int

// The results of attempts.
const (
	// ResultOK is a whole answer.
	ResultOK Result = iota
	// ResultNotStarted means that the target ran nothing.
	ResultNotStarted
	// ResultShed means that the target refused the request for load and ran nothing.
	ResultShed
	// ResultBroken means that the connection was lost; the request may have run.
	ResultBroken
	// ResultCrashed means that the target crashed while it ran the request.
	ResultCrashed
	// ResultMoved means that the owner changed before anything was sent.
	ResultMoved
	// ResultTimeout means that the deadline passed; the request may have run.
	ResultTimeout
	// ResultCanceled means that the caller left.
	ResultCanceled
)

// A Verdict says what becomes of a request after an attempt.
type Verdict int

// The verdicts.
const (
	// VerdictFinished means that the request has ended.
	VerdictFinished Verdict = iota
	// VerdictRequeued means that the request waits for another attempt.
	VerdictRequeued
)

// A Reason says why a request was refused without having run.
type Reason string

// The reasons of refusals.
const (
	ReasonQueueFull Reason = "queue_full"
	ReasonDoomed    Reason = "deadline_cannot_be_met"
	ReasonExpired   Reason = "deadline_passed"
	ReasonShed      Reason = "shed"
	ReasonSetAside  Reason = "set_aside"
	ReasonNoTarget  Reason = "no_target"
	ReasonWithdrawn Reason = "withdrawn"
)

// A Refusal is a refused request that did not run in this attempt.
type Refusal struct {
	Request *Request
	Reason  Reason
	// RetryAfter is when it is worth trying again; 0 when unknown.
	RetryAfter time.Duration
}
