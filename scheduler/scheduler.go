// Package scheduler decides for each request of a service whether it is sent to
// a target, queued or rejected.
//
// A Scheduler is a state machine without I/O: requests, results and the current time
// are arguments, and decisions are return values. It has no clock, sockets or
// goroutines, and is not safe for concurrent use. Each host has one Scheduler per
// service. A Scheduler limits the requests that its host has running to the host's
// share of the service's slots. Requests therefore queue on the host, ordered by
// rank and objective, and hardly at the targets.
//
// # Usage
//
//	s := scheduler.New(scheduler.Options{Random: rand.Float64})
//	s.SetTargets(now, targets)
//	if rejection, ok := s.Add(now, request); !ok { ... }
//	for d, ok := s.Next(now); ok; d, ok = s.Next(now) { send(d) }
//	s.Finish(now, request, scheduler.Result{Outcome: scheduler.Answered})
//	for _, rejection := range s.Expire(now) { ... }
package scheduler

import (
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// A Request is a request that is queued or runs at a target.
type Request struct {
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// Route is the name of the request's route; requests of a route take similar times.
	Route string
	// Key is the key that selects the owner; it is valid if Keyed is set.
	Key   uint16
	Keyed bool
	// Objective is the time after which the response loses most of its value.
	Objective time.Time
	// Deadline is the time after which the response has no value.
	Deadline time.Time
	// Backlog reports whether the request's caller has many further requests waiting on its connection.
	Backlog bool
	// Streamed reports whether a part of the body is still with the caller.
	Streamed bool
	// Bytes is the size of the body in bytes.
	Bytes int64
	// Value is not used by the scheduler; its user may store anything in it.
	Value any

	arrived   time.Time
	sequence  uint64
	target    *target
	permitted bool // sent to target with a permit
	tried     []string
	expected  completion // of the last attempt when it was sent; zero if the targets do not state their load
}

// TriedTargets returns the names of the targets that the request was sent to, in order.
func (r *Request) TriedTargets() []string { return r.tried }

// ExpectedCompletion returns the expected time of the last attempt when it was sent, or 0 if there is no estimate because
// the targets do not state their load.
func (r *Request) ExpectedCompletion() time.Duration {
	return secondsOf(r.expected.work + r.expected.wait)
}

// Target returns the name of the target that the request was last sent to, or
// "" if it was not sent.
func (r *Request) Target() string {
	if r.target == nil {
		return ""
	}
	return r.target.Name
}

// A Reason is the reason for which the scheduler rejects a request that has not run.
type Reason string

// Values of Reason.
const (
	// NoTarget means that no target of the service can run the request.
	NoTarget Reason = "no_target"
	// DeadlineUnreachable means that the request cannot be answered before its deadline.
	DeadlineUnreachable Reason = "deadline_cannot_be_met"
	// RateLimited means that the targets that can run the request accept too few requests per second for it to be
	// answered before its deadline.
	RateLimited Reason = "rate_limited"
	// Withheld means that all targets that can run the request have asked this host for no requests until its deadline.
	Withheld Reason = "withheld"
	// Starved means that the request would miss its objective, and requests that
	// are more urgent or can still meet theirs take all slots.
	Starved Reason = "starved"
	// HotKey means that more requests come for the key than its owner can serve.
	HotKey Reason = "hot_key"
	// QueueFull means that the queue has reached its maximum length.
	QueueFull Reason = "queue_full"
)

// A Rejection is a request that the scheduler rejects, with the reason.
type Rejection struct {
	Request *Request
	Reason  Reason
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

// A Dispatch is the decision to send a request to a target.
type Dispatch struct {
	Request *Request
	Target  platform.Target
	// TimeSinceArrival is the time from the arrival of the request to this dispatch.
	TimeSinceArrival time.Duration
	// PermitUntil is when the permit lapses with which the request is sent; zero if it is sent without one.
	PermitUntil time.Time
}

// Options configure a Scheduler.
type Options struct {
	// DataCentre is the data centre of this host; its targets are preferred.
	DataCentre string
	// Owner returns the name of the target that owns a key, or false if no owner is known.
	Owner func(key uint16) (string, bool)
	// Connected reports whether this host has an idle connection to a target.
	Connected func(target string) bool
	// Random returns a number in [0, 1).
	Random func() float64
	// OwnerGrace is how long the owner of keys that has stated that it leaves gets requests for them. No other target can serve
	// them until they have moved.
	OwnerGrace time.Duration
}

const (
	// maxQueueLength is the maximum number of queued requests; each holds a connection and a body of up to 1 MB.
	maxQueueLength = 256
	// maxQueuedDeferred is the part of the queue for requests that give way to others. With all of it, a few callers that send
	// requests without waiting for responses would have those of all others rejected.
	maxQueuedDeferred = maxQueueLength / 2
	// overcommit is the number of requests sent per slot; values above 1 cover network latency and
	// differences in speed between targets.
	overcommit = 1.5
	// keyedQueueDepth is the number of requests of all hosts together that may queue at the owner of a key.
	keyedQueueDepth = 2
	// minSlotShare bounds the estimate of all hosts' requests from those of one host.
	minSlotShare = 0.001
	// deadlineMargin is the slack required before a deadline, as a fraction of the expected time; times vary.
	deadlineMargin = 0.3
	// responseTimeMaxAge is the age of a route's last observation beyond which defaultResponseTime bounds its
	// baseline, so that an outdated baseline cannot cause rejections.
	responseTimeMaxAge = time.Second
	// minRetryAfter and maxRetryAfter bound RetryAfter before jitter. Callers honour it up to a third of their timeout.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
	// noTargetRetryAfter is RetryAfter before jitter when no target is usable.
	noTargetRetryAfter = 300 * time.Millisecond
	// starvationTimeout is how long the requests of a class that miss their objective may wait without one of
	// them being sent, before all of them are rejected.
	starvationTimeout = 60 * time.Millisecond
	// starvedRejectionPeriod is how long a starved class rejects new requests that would miss their objective.
	starvedRejectionPeriod = 400 * time.Millisecond
	// rotationRange is the range of the random start of the rotation over targets, more than a service has
	// targets. If all hosts started at the same target, their first requests would go to the same few targets.
	rotationRange = 1 << 16
	// probingHosts is the expected number of hosts that send their next request to a new target; the others
	// prefer the targets that they are connected to. Each host decides at random, without coordination, so about
	// two new targets in a hundred (e^-4) get no probing host.
	probingHosts = 4
	// defaultResponseTime is the expected response time of a route without observations.
	defaultResponseTime = 100 * time.Millisecond
)

// A Scheduler schedules the requests of one service on one host.
type Scheduler struct {
	options             Options
	targets             map[string]*target
	ordered             []*target // by name
	queue               []*Request
	responseTimes       map[string]*average // by name of the route
	overallResponseTime average             // over all routes
	running             int
	runningPermitted    int // of running, those sent with a permit
	sequence            uint64
	slotShare           float64
	rotation            int
	classes             map[class]*classState
	limitedTargets      int          // number of targets that state a rate limit
	load                serviceLoad  // as the targets state it
	ranks               []*rankState // by rank
	singleRank          bool         // all requests have the same rank
	movesHalted         bool         // keys stay with their owners for now
	withheld            map[process]time.Time

	runningStreamed       int       // of running, those with a streamed body
	streamedDeferredUntil time.Time // until when these give way to others
}

// New returns a Scheduler without targets that may use all slots of the service.
func New(o Options) *Scheduler {
	return &Scheduler{
		options: o, targets: map[string]*target{}, responseTimes: map[string]*average{}, slotShare: 1, classes: map[class]*classState{},
		withheld: map[process]time.Time{},
		rotation: int(o.Random() * rotationRange),
	}
}

// SetShare sets the fraction of the service's slots that this host may use.
func (s *Scheduler) SetShare(share float64) { s.slotShare = min(1, max(0, share)) }

// SetSingleRank sets whether the configuration gives all requests of the service the same rank.
func (s *Scheduler) SetSingleRank(single bool) { s.singleRank = single }

// SetMovesHalted sets whether no keys can move to other owners for now. Requests for keys of an owner that leaves are then
// rejected at once: they would wait until their deadline.
func (s *Scheduler) SetMovesHalted(halted bool) { s.movesHalted = halted }

// SetTargets replaces the targets of the service. The statistics of a target are
// kept while its incarnation is the same. Draining targets get no requests.
func (s *Scheduler) SetTargets(now time.Time, targets []platform.Target) {
	old := s.targets
	s.targets = map[string]*target{}
	s.ordered = s.ordered[:0]
	for _, spec := range targets {
		t, ok := old[spec.Name]
		if !ok || !t.StartedAt.Equal(spec.StartedAt) {
			t = newTarget(now, spec)
			t.withheldUntil = s.withheld[processOf(spec)]
			t.probePending = len(old) > 0 && s.options.Random() < probingHosts*s.slotShare
		} else {
			t.update(now, spec)
		}
		s.targets[spec.Name] = t
		s.ordered = append(s.ordered, t)
	}
	sort.Slice(s.ordered, func(i, j int) bool { return s.ordered[i].Name < s.ordered[j].Name })
}

// Add queues a new request. It returns a rejection and false if the request is rejected.
func (s *Scheduler) Add(now time.Time, r *Request) (Rejection, bool) {
	r.arrived = now
	s.sequence++
	r.sequence = s.sequence
	if t := s.owner(r); t != nil {
		t.offered.add(now)
		t.recordKey(now, r.Key)
	}
	s.recordOffered(now, r)
	return s.enqueue(now, r)
}

// Retry queues a request again whose last attempt did not end it.
func (s *Scheduler) Retry(now time.Time, r *Request) (Rejection, bool) {
	return s.enqueue(now, r)
}

// enqueue inserts r into the queue at its place. It returns a rejection and false if
// r is rejected.
func (s *Scheduler) enqueue(now time.Time, r *Request) (Rejection, bool) {
	if !s.canServe(now, r) {
		return Rejection{Request: r, Reason: NoTarget, RetryAfter: s.retryAfter(now, r, noTargetRetryAfter)}, false
	}
	if len(s.queue) >= maxQueueLength || s.deferred(now, r) && s.queuedDeferred(now) >= maxQueuedDeferred {
		return Rejection{Request: r, Reason: QueueFull, RetryAfter: s.jitter(maxRetryAfter)}, false
	}
	if s.exceedsKeyShare(now, r) {
		return Rejection{Request: r, Reason: HotKey, RetryAfter: s.jitter(maxRetryAfter)}, false
	}
	at := sort.Search(len(s.queue), func(i int) bool { return s.precedes(now, r, s.queue[i]) })
	wait := s.estimateWait(now, r, at)
	if s.missesDeadline(now, wait, r) {
		s.wantPermits(now, r)
		return Rejection{Request: r, Reason: s.unreachableReason(now, r), RetryAfter: s.retryAfter(now, r, wait)}, false
	}
	if now.Before(s.classStateOf(now, r).starvedUntil) && !s.meetsObjective(now.Add(wait), r) {
		s.wantPermits(now, r)
		return Rejection{Request: r, Reason: Starved, RetryAfter: s.retryAfter(now, r, maxRetryAfter)}, false
	}
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = r
	return Rejection{}, true
}

// Targets returns the targets of the service, ordered by name.
func (s *Scheduler) Targets() []platform.Target {
	out := make([]platform.Target, 0, len(s.ordered))
	for _, t := range s.ordered {
		out = append(out, t.Target)
	}
	return out
}

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return len(s.queue) }

// Running returns the number of requests that run at targets.
func (s *Scheduler) Running() int { return s.running }
