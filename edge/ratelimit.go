package edge

import (
	"context"
	"time"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/ratelimit"
)

// recordRateLimit records the rate limit that a response of a target states. A response without one
// ends the limit only if the target ran the request.
func (q *request) recordRateLimit(t platform.Target, response platform.ResponseMeta) {
	e, stated := q.edge, response.RateLimit
	target := ownership.IncarnationOf(t)
	if _, limited := e.rateLimits.PerSecond(target); limited {
		e.metrics.LimitedAttempts.WithLabelValues(q.service.name).Inc()
	}
	if stated.Malformed {
		e.log.Warn("limits: Target states a malformed limit.", "request", q.meta.ID, "target", target.Name)
		return
	}
	if !stated.Stated && (response.NotExecuted || !response.Signed) {
		return
	}
	if e.rateLimits.Observe(time.Now(), ratelimit.Limit{Target: target, PerSecond: stated.PerSecond, Stated: stated.Stated}) {
		e.log.Info("limits: Limit of a target changed.", "target", target.Name, "service", q.service.name,
			"limited", stated.Stated, "per_second", stated.PerSecond, "source", "response", "request", q.meta.ID)
		e.updateRateLimits()
		e.member.ReportNow()
	}
}

// applyRateLimits applies limits that changed on another host.
func (e *Edge) applyRateLimits(changed []ratelimit.Limit) {
	for i, l := range changed {
		if i == maxLoggedEntries {
			e.log.Info("limits: Limits of further targets changed.", "targets", len(changed)-i, "source", "host")
			break
		}
		e.log.Info("limits: Limit of a target changed.", "target", l.Target.Name, "limited", l.Stated, "per_second", l.PerSecond,
			"source", "host", "age_ms", l.Age.Milliseconds())
	}
	e.updateRateLimits()
}

// updateRateLimits passes the limits of the targets to the services.
func (e *Edge) updateRateLimits() {
	table := e.table.Load()
	if table == nil {
		return
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, spec := range table.Configuration.Services {
		e.serviceLocked(spec.Name).setRateLimits(now, e.rateLimits.ByName(e.serviceTargets(now, spec.Name)))
	}
}

// retainRateLimits deletes the limits of targets that are no longer listed. The caller holds e.mu.
func (e *Edge) retainRateLimits(now time.Time) {
	if e.rateLimits.Version() == 0 {
		return // no target has ever stated a limit
	}
	listed := map[ownership.Incarnation]bool{}
	for _, t := range e.targets.AllTargets(now) {
		listed[ownership.IncarnationOf(t)] = true
	}
	e.rateLimits.Retain(now, func(i ownership.Incarnation) bool { return listed[i] })
}

const (
	// minPermitInterval is the least time between two calls of a host for permits. permitIntervalPerHost times the number
	// of hosts is the least in larger fleets, so that the coordinator serves about 300 calls a second.
	minPermitInterval     = 50 * time.Millisecond
	permitIntervalPerHost = 3 * time.Millisecond
	// shareReset is the time without use after which a host begins its share of a limit anew.
	shareReset = 2 * time.Second
)

// getPermits gets the permits that the services lack until ctx ends.
func (e *Edge) getPermits(ctx context.Context) {
	coordinated, usedAt := true, time.Time{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.permitsWanted:
		}
		wants := e.permitWants(time.Now())
		if len(wants) == 0 {
			continue
		}
		permits, err := e.member.RequestPermits(ctx, wants)
		now := time.Now()
		if (err == nil) != coordinated {
			coordinated = err == nil
			e.log.Info("limits: Source of permits changed.", "coordinator", coordinated, "hosts", e.member.State().Hosts, "error", errorText(err))
		}
		if err != nil {
			if now.Sub(usedAt) > shareReset {
				e.ownPermits = ratelimit.NewAllocator()
			}
			usedAt = now
			permits = e.takeOwnPermits(now, wants)
		}
		e.addPermits(now, permits)
		sleep(ctx, max(minPermitInterval, time.Duration(e.member.State().Hosts)*permitIntervalPerHost))
	}
}

// permitWants returns the permits that the services lack.
func (e *Edge) permitWants(now time.Time) []ratelimit.Want {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]ratelimit.Want, 0, len(e.services))
	for _, s := range e.services {
		out = append(out, s.permitWants(now)...)
	}
	return out
}

// takeOwnPermits returns permits from this host's equal share of the limits, for a time without a coordinator.
func (e *Edge) takeOwnPermits(now time.Time, wants []ratelimit.Want) []ratelimit.Permit {
	share := 1 / float64(max(1, e.member.State().Hosts))
	var out []ratelimit.Permit
	for _, w := range wants {
		if !e.ownPermits.Has(w.Target) {
			e.ownPermits.Accumulate(now, w.Target, e.random())
		}
		if n := e.ownPermits.Take(now, w, share); n > 0 {
			out = append(out, ratelimit.Permit{Target: w.Target, Count: n})
		}
	}
	return out
}

// addPermits gives permits to the services and sends the requests that waited for them.
func (e *Edge) addPermits(now time.Time, permits []ratelimit.Permit) {
	if len(permits) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		s.addPermits(now, permits)
	}
}

// dumpRateLimits returns the limits of targets for the state dump.
func (e *Edge) dumpRateLimits() any {
	limits, _ := e.rateLimits.ChangesSince(time.Now(), 0)
	return limits
}

// setRateLimits sets the limits of the service's targets, by name.
func (s *service) setRateLimits(now time.Time, limits map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetRateLimits(limits)
	s.dispatchQueued(now)
}

// signalWants makes getPermits run if the service lacks permits. The caller holds s.mu.
func (s *service) signalWants(now time.Time) {
	if s.scheduler.WantsPermits(now) {
		s.signalPermits()
	}
}

// signalPermits makes getPermits run.
func (s *service) signalPermits() {
	select {
	case s.edge.permitsWanted <- struct{}{}:
	default: // it is signalled already
	}
}

// permitWants returns the permits that the service lacks.
func (s *service) permitWants(now time.Time) []ratelimit.Want {
	s.mu.Lock()
	defer s.mu.Unlock()
	wants := s.scheduler.PermitWants(now)
	out := make([]ratelimit.Want, 0, len(wants))
	for _, w := range wants {
		perSecond, ok := s.edge.rateLimits.PerSecond(ownership.IncarnationOf(w.Target))
		if ok {
			out = append(out, ratelimit.Want{Target: ownership.IncarnationOf(w.Target), PerSecond: perSecond, Count: w.Count, Unused: w.Unused})
		}
	}
	return s.addPaced(now, out)
}

// addPermits gives the service its permits among the given ones.
func (s *service) addPermits(now time.Time, permits []ratelimit.Permit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range permits {
		if _, ok := s.clients[p.Target]; ok {
			lifetime := ratelimit.PermitLifetime
			if p, paced := s.edge.rateLimits.PaceOf(p.Target); paced && p.Cold(now) {
				lifetime = ratelimit.PacedPermitLifetime
			}
			s.scheduler.AddPermits(now, p.Target.Name, p.Count, now.Add(lifetime))
		}
	}
	s.dispatchQueued(now)
}
