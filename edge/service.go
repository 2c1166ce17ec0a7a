package edge

import (
	"context"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/budget"
	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/pace"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/scheduler"
)

const (
	// queueInterval is the time between two checks of a queue that is not empty.
	queueInterval = 20 * time.Millisecond
	// ownerGraceShare is the part of the drain time, as its divisor, for which an owner that has stated that it leaves gets requests for
	// its keys.
	ownerGraceShare = 2
	// idleConnectionShare is the part of a target's connection limit that all hosts together use for idle connections.
	idleConnectionShare = 0.7
	// maxIdleConnections bounds the number of idle connections of a host to one target.
	maxIdleConnections = 8
	// rateTimeConstant is the time constant of the exponentially decaying average of the request rate.
	rateTimeConstant = 3 * time.Second
)

// service queues the requests of one service on this host and sends them to its
// targets.
type service struct {
	name          string
	edge          *Edge
	mu            sync.Mutex
	scheduler     *scheduler.Scheduler
	budget        *budget.Budget
	callerRetries budget.CallerRetryDetector
	spec          platform.Service
	clients       map[ownership.Incarnation]*exchange.Client
	clientsByName map[string]*exchange.Client
	rate          rate
	keyCounts     map[uint16]int // number of requests by key since the last report

	pacedResponses  map[ownership.Incarnation]pace.Responses // since the last call for permits
	streams         map[*stream]struct{}
	stalledStreams  int // since the last log line
	streamsLoggedAt time.Time
	queueTimer      *time.Timer // calls checkQueue; nil if it is not pending
}

// schedulerDecision is the scheduler's decision on a queued request: a slot at a
// target or a rejection, or that the host was cut off from the targets before.
type schedulerDecision struct {
	dispatch  scheduler.Dispatch
	client    *exchange.Client
	rejection scheduler.Rejection
	rejected  bool
	cutOff    bool
}

// newService returns a service without targets.
func newService(e *Edge, name string) *service {
	s := &service{
		name:      name,
		edge:      e,
		budget:    budget.New(e.processStart, e.retryLimits()),
		clients:   map[ownership.Incarnation]*exchange.Client{},
		keyCounts: map[uint16]int{},

		pacedResponses: map[ownership.Incarnation]pace.Responses{},
		streams:        map[*stream]struct{}{},
	}
	s.scheduler = scheduler.New(scheduler.Options{
		DataCentre: e.settings.DataCentre,
		Owner:      func(key uint16) (string, bool) { return e.owner(name, key) },
		Connected:  s.connected,
		Random:     e.random,
		OwnerGrace: e.settings.Drain / ownerGraceShare,
	})
	return s
}

// connected reports whether this host has an open idle connection to a target.
func (s *service) connected(target string) bool {
	client := s.clientsByName[target]
	return client != nil && client.HasIdle()
}

// recordRequest counts a request for the retry budget and the load of this host.
func (s *service) recordRequest(now time.Time, r *scheduler.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest(now)
	s.rate.add(now)
	if r.Keyed {
		s.keyCounts[r.Key]++
	}
}

// detectCallerRetry reports whether a caller's request repeats one that was rejected
// before. timeout is the time for which the caller waits, as stated in the request.
func (s *service) detectCallerRetry(route string, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callerRetries.Observe(route, timeout)
}

// acquire waits until the scheduler assigns the request a slot at a target or
// rejects it, or until the host is found to be cut off from the targets. retry reports
// whether the scheduler has received the request before. acquire returns false if ctx
// ends first.
func (s *service) acquire(ctx context.Context, r *scheduler.Request, retry bool) (schedulerDecision, bool) {
	decision := make(chan schedulerDecision, 1)
	r.Value = decision
	s.mu.Lock()
	add := s.scheduler.Add
	if retry {
		add = s.scheduler.Retry
	}
	now := time.Now()
	rejection, ok := add(now, r)
	if !ok {
		s.signalWants(now)
		s.endStreamFor(now, r)
		s.mu.Unlock()
		return schedulerDecision{rejection: rejection, rejected: true}, true
	}
	s.dispatchQueued(now)
	s.mu.Unlock()
	select {
	case d := <-decision:
		return d, true
	case <-s.edge.cutOffBegins():
		s.withdraw(r, decision)
		return schedulerDecision{cutOff: true}, true
	case <-s.edge.stop.ending:
		s.withdraw(r, decision)
		return schedulerDecision{rejected: true, rejection: scheduler.Rejection{Reason: reasonStopping, RetryAfter: rejectedRetryAfter}}, true
	case <-ctx.Done():
		s.withdraw(r, decision)
		return schedulerDecision{}, false
	}
}

// withdraw removes a request from the scheduler, or returns the slot that it has got
// meanwhile.
func (s *service) withdraw(r *scheduler.Request, decision <-chan schedulerDecision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.scheduler.Remove(r) {
		if d := <-decision; !d.rejected {
			s.scheduler.Finish(time.Now(), r, scheduler.Result{Outcome: scheduler.Cancelled})
			s.dispatchQueued(time.Now())
		}
	}
}

// release returns the slot of an attempt and reports its result to the scheduler.
func (s *service) release(target ownership.Incarnation, r *scheduler.Request, result scheduler.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.scheduler.Finish(now, r, result)
	s.recordPaced(target, result)
	s.dispatchQueued(now)
}

// takeRetry takes one retry from the budget and reports whether one was left.
// callerRetry reports whether the caller repeats a request that was rejected before.
func (s *service) takeRetry(callerRetry bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.AllowRetry(time.Now(), s.edge.member.State().Hosts, callerRetry)
}

// dispatchQueued assigns queued requests to free slots. It starts the queue
// timer if requests remain.
func (s *service) dispatchQueued(now time.Time) {
	for d, ok := s.scheduler.Next(now); ok; d, ok = s.scheduler.Next(now) {
		d.Request.Value.(chan schedulerDecision) <- schedulerDecision{dispatch: d, client: s.clients[ownership.IncarnationOf(d.Target)]}
	}
	if s.scheduler.Queued() > 0 && s.queueTimer == nil {
		s.queueTimer = time.AfterFunc(queueInterval, s.checkQueue)
	}
	s.signalWants(now)
}

// checkQueue rejects the queued requests that Scheduler.Expire returns and
// dispatches others to slots that have become free.
func (s *service) checkQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueTimer = nil
	now := time.Now()
	for _, rejection := range s.scheduler.Expire(now) {
		rejection.Request.Value.(chan schedulerDecision) <- schedulerDecision{rejection: rejection, rejected: true}
	}
	s.dispatchQueued(now)
	s.endStalledStream(now, s.scheduler.WaitsFor)
}

// setTargets sets the targets of the service. Idle connections to incarnations that are
// not among them are closed. hosts is the number of hosts that share the targets' connections.
func (s *service) setTargets(now time.Time, spec platform.Service, targets []platform.Target, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	clients := map[ownership.Incarnation]*exchange.Client{}
	for _, t := range targets {
		incarnation := ownership.IncarnationOf(t)
		clients[incarnation] = s.clients[incarnation]
		if clients[incarnation] == nil {
			clients[incarnation] = exchange.New(t.Address, exchange.Options{
				Memory:  s.edge.responses,
				MaxIdle: idleConnections(spec.MaxConnections, hosts),
				Spawn:   s.edge.submit,
				Dial:    s.edge.dial,
				OnDial:  func() { s.edge.metrics.TargetConnections.WithLabelValues(s.name).Inc() },
			})
		}
	}
	for incarnation, client := range s.clients {
		if clients[incarnation] == nil {
			client.Close()
		}
	}
	s.clients, s.clientsByName = clients, make(map[string]*exchange.Client, len(clients))
	for incarnation, client := range clients {
		s.clientsByName[incarnation.Name] = client
	}
	s.scheduler.SetTargets(now, targets)
	s.scheduler.SetRateLimits(s.edge.rateLimits.ByName(targets)) // before any request is sent to a cold target
}

// withhold keeps requests from a target for d.
func (s *service) withhold(t platform.Target, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.scheduler.Withhold(now, t, now.Add(d))
}

// withheldFor returns the time until a target that could run r accepts requests again, or 0.
func (s *service) withheldFor(r *scheduler.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.WithheldFor(time.Now(), r)
}

// setSingleRank sets whether all requests of the service have the same rank.
func (s *service) setSingleRank(single bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetSingleRank(single)
}

// setLoad sets this host's share of the targets' slots and whether keys can move, and sends the queued requests for
// which a slot is free.
func (s *service) setLoad(now time.Time, load hostLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetMovesHalted(load.movesHalted)
	s.scheduler.SetShare(load.share(s.name, s.rate.value(now)))
	s.dispatchQueued(now)
}

// idleConnections returns the maximum number of idle connections of this host to
// a target with the given connection limit. A limit of zero or less is taken as no limit.
func idleConnections(limit, hosts int) int {
	if limit <= 0 {
		return maxIdleConnections
	}
	return min(maxIdleConnections, max(1, int(idleConnectionShare*float64(limit)/float64(max(1, hosts)))))
}

// loadReport returns the request rate per second and, for a keyed service, the
// load since the last call. The last result reports whether the service is keyed.
func (s *service) loadReport(now time.Time) (float64, ownership.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.rate.value(now)
	if !s.spec.Keyed {
		return value, ownership.Report{}, false
	}
	r := ownership.Report{Keys: s.keyCounts, Slowness: s.scheduler.ObservedSlowness(now), ProcessingTime: s.scheduler.MeanProcessingTime()}
	s.keyCounts = map[uint16]int{}
	return value, r, true
}

// hostLoad is the load of all hosts as last received from the coordinator.
type hostLoad struct {
	hosts int                // number of hosts
	rates map[string]float64 // requests per second on all hosts, by service

	movesHalted bool // the coordinator does not reach the store
}

// minShareFactor is the least share of a host as a factor of an equal share.
// Load can move between hosts faster than it is reported.
const minShareFactor = 0.5

// share returns this host's share of a service's slots, from 0 to 1. own is the
// request rate of this host.
func (l hostLoad) share(service string, own float64) float64 {
	equal := 1 / float64(max(1, l.hosts))
	all := l.rates[service]
	if all <= 0 || own <= 0 {
		return equal
	}
	return max(own/max(all, own), equal*minShareFactor)
}

// closeIdle closes the idle connections to the targets.
func (s *service) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, client := range s.clients {
		client.CloseIdle()
	}
}

// meanResponseTime returns the mean response time of the service's requests.
func (s *service) meanResponseTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.MeanResponseTime()
}

// setLimits changes the limits of the retry budget and keeps its counts.
func (s *service) setLimits(l budget.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetLimits(l)
}
