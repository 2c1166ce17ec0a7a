package edge

import (
	"context"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/budget"
	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/scheduler"
)

const (
	// queueInterval is the time between two looks at a queue that has requests waiting.
	queueInterval = 20 * time.Millisecond
	// connectionShare is the part of a target's connections that all hosts together keep open.
	connectionShare = 0.7
	// maxConnections bounds the idle connections of a host to one target.
	maxConnections = 8
	// rateMemory is the time over which the rate of requests is averaged.
	rateMemory = 3 * time.Second
)

// service is the sending side of one service on this host.
type service struct {
	name    string
	edge    *Edge
	mu      sync.Mutex
	core    *scheduler.Scheduler
	budget  *budget.Budget
	callers budget.ReturnDetector
	spec    platform.Service
	links   map[ownership.Incarnation]*exchange.Client
	byName  map[string]*exchange.Client
	rate    rate
	keys    map[uint16]int // requests by key since the last report
	ticker  *time.Timer    // runs while requests wait
}

// grant is what a waiting request gets: a place at a target or a refusal.
type grant struct {
	dispatch scheduler.Dispatch
	link     *exchange.Client
	refusal  scheduler.Refusal
	refused  bool
}

func newService(e *Edge, name string) *service {
	s := &service{
		name:   name,
		edge:   e,
		budget: budget.New(e.began, e.limits()),
		links:  map[ownership.Incarnation]*exchange.Client{},
		keys:   map[uint16]int{},
	}
	s.core = scheduler.New(scheduler.Options{
		DataCentre: e.settings.DataCentre,
		Owner:      func(key uint16) (string, bool) { return e.owner(name, key) },
		Connected:  s.connected,
		Random:     e.random,
	})
	return s
}

// connected reports whether an idle connection to a target is open.
func (s *service) connected(target string) bool {
	link := s.byName[target]
	return link != nil && link.HasIdle()
}

// arrive counts a request of a caller and reports whether the caller has come
// back after a refusal. patience is the time that it gives.
func (s *service) arrive(now time.Time, r *scheduler.Request, patience time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest(now)
	s.rate.add(now)
	if r.Keyed {
		s.keys[r.Key]++
	}
	return s.callers.Returning(r.Route, patience)
}

// enter waits until the request may go to a target or is refused. It returns
// false when ctx ended first.
func (s *service) enter(ctx context.Context, r *scheduler.Request, again bool) (grant, bool) {
	place := make(chan grant, 1)
	r.Value = place
	s.mu.Lock()
	add := s.core.Add
	if again {
		add = s.core.Retry
	}
	now := time.Now()
	refusal, ok := add(now, r)
	if !ok {
		s.mu.Unlock()
		return grant{refusal: refusal, refused: true}, true
	}
	s.pump(now)
	s.mu.Unlock()
	select {
	case g := <-place:
		return g, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.core.Remove(r) {
		if g := <-place; !g.refused {
			s.core.Finish(time.Now(), r, scheduler.Result{Outcome: scheduler.Cancelled})
			s.pump(time.Now())
		}
	}
	return grant{}, false
}

// leave ends an attempt.
func (s *service) leave(r *scheduler.Request, result scheduler.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.core.Finish(now, r, result)
	s.pump(now)
}

// mayRepeat asks the retry budget for one more attempt; returning says that the
// caller has come back after a refusal.
func (s *service) mayRepeat(returning bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.AllowRetry(time.Now(), s.edge.member.State().Hosts, returning)
}

// pump hands out places at targets.
func (s *service) pump(now time.Time) {
	for d, ok := s.core.Next(now); ok; d, ok = s.core.Next(now) {
		d.Request.Value.(chan grant) <- grant{dispatch: d, link: s.links[ownership.IncarnationOf(d.Target)]}
	}
	if s.core.Queued() > 0 && s.ticker == nil {
		s.ticker = time.AfterFunc(queueInterval, s.tick)
	}
}

// tick refuses what can no longer be answered and uses what has become free.
func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticker = nil
	now := time.Now()
	for _, refusal := range s.core.Expire(now) {
		refusal.Request.Value.(chan grant) <- grant{refusal: refusal, refused: true}
	}
	s.pump(now)
}

// update takes the targets of the service and this host's share of their slots.
func (s *service) update(now time.Time, spec platform.Service, targets []platform.Target, state shares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	links := map[ownership.Incarnation]*exchange.Client{}
	for _, t := range targets {
		l := ownership.IncarnationOf(t)
		links[l] = s.links[l]
		if links[l] == nil {
			links[l] = exchange.New(t.Address, exchange.Options{
				MaxIdle: connections(spec.MaxConnections, state.hosts),
				Spawn:   s.edge.submit,
				OnDial:  func() { s.edge.metrics.TargetConnections.WithLabelValues(s.name).Inc() },
			})
		}
	}
	for l, link := range s.links {
		if links[l] == nil {
			link.Close()
		}
	}
	s.links, s.byName = links, make(map[string]*exchange.Client, len(links))
	for l, link := range links {
		s.byName[l.Name] = link
	}
	s.core.SetTargets(now, targets)
	s.core.SetShare(state.of(s.name, s.rate.value(now)))
	s.pump(now)
}

// connections returns how many idle connections this host keeps to a target.
func connections(limit, hosts int) int {
	if limit <= 0 {
		return maxConnections
	}
	return min(maxConnections, max(1, int(connectionShare*float64(limit)/float64(max(1, hosts)))))
}

// collect returns the rate of requests and, for a divided service, the load since the last call.
func (s *service) collect(now time.Time) (float64, ownership.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := s.rate.value(now)
	if !s.spec.Keyed {
		return value, ownership.Report{}, false
	}
	r := ownership.Report{Keys: s.keys, Slowness: map[string]float64{}, ServiceTime: s.core.MeanProcessingTime()}
	for _, v := range s.core.TargetStates(now) {
		if v.Running > 0 || v.Slowness != 1 {
			r.Slowness[v.Name] = v.Slowness
		}
	}
	s.keys = map[uint16]int{}
	return value, r, true
}

// shares is what this host knows of the load of all hosts.
type shares struct {
	hosts int
	rates map[string]float64
}

// minShare is the least share of a host, in parts of an equal one; load moves between hosts faster than reports.
const minShare = 0.5

// of returns this host's share of a service's slots.
func (s shares) of(service string, own float64) float64 {
	equal := 1 / float64(max(1, s.hosts))
	all := s.rates[service]
	if all <= 0 || own <= 0 {
		return equal
	}
	return max(own/max(all, own), equal*minShare)
}

// meanWork returns the mean time of the service's requests.
func (s *service) meanWork() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.MeanResponseTime()
}

// setLimits changes the retry budget; what was counted stays.
func (s *service) setLimits(l budget.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetLimits(l)
}
