package edge

import (
	"time"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/pace"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/ratelimit"
	"github.com/redwingtally/redwingtally/scheduler"
)

const (
	// lapseTime is how long an entry must have been away for its target to be paced when it is back.
	lapseTime = 2 * time.Second
	// paceGrace is how long after the first targets a host paces only those that say that they are cold. All targets
	// are new to a host that starts.
	paceGrace = 5 * time.Second
	// maxPaceTime is how long a target stays paced at most once it is warm.
	maxPaceTime = 10 * time.Second
	// slowFactor is the multiple of the mean response time of the service from which a response counts as slow.
	slowFactor = 3
)

// seenTarget is what a host last saw of a target.
type seenTarget struct {
	platform.Target
	withheld  bool      // it was in an evacuated data centre
	missingAt time.Time // when its entry was found to be missing; zero while it is listed
}

// A paceStart is a target that becomes paced.
type paceStart struct {
	target platform.Target
	reason string
	busy   bool // it was in use until now
}

// paceWatch finds the targets that become paced. It is not safe for concurrent use.
type paceWatch struct {
	seen    map[string]map[string]*seenTarget // by service and name
	firstAt time.Time                         // when there were targets for the first time
}

// update returns the targets of a service that become paced. withheld reports whether a target is in an evacuated data centre.
func (w *paceWatch) update(now time.Time, service string, targets []platform.Target, withheld func(platform.Target) bool) []paceStart {
	if w.seen == nil {
		w.seen = map[string]map[string]*seenTarget{}
	}
	if w.firstAt.IsZero() && len(targets) > 0 {
		w.firstAt = now
	}
	seen, next := w.seen[service], make(map[string]*seenTarget, len(targets))
	var out []paceStart
	for _, t := range targets {
		s := &seenTarget{Target: t, withheld: withheld(t)}
		if start, ok := w.start(now, seen[t.Name], s); ok {
			out = append(out, start)
		}
		next[t.Name] = s
	}
	for name, s := range seen {
		if next[name] != nil {
			continue
		}
		if s.missingAt.IsZero() {
			s.missingAt = now
		}
		if now.Sub(s.missingAt) < lapseTime {
			next[name] = s
		}
	}
	w.seen[service] = next
	return out
}

// start returns whether a target becomes paced that was last seen as before, or not at all.
func (w *paceWatch) start(now time.Time, before, s *seenTarget) (paceStart, bool) {
	out := paceStart{target: s.Target}
	listed := before != nil && (before.missingAt.IsZero() || now.Sub(before.missingAt) < lapseTime)
	same := listed && before.StartedAt.Equal(s.StartedAt)
	switch {
	case s.WarmupLeft > 0 && (!same || before.WarmupLeft != s.WarmupLeft):
		out.reason, out.busy = "cold", same && before.missingAt.IsZero() && !before.withheld && !before.Draining
	case now.Sub(w.firstAt) < paceGrace || s.withheld:
		return out, false
	case !same:
		out.reason = "new"
	case before.withheld:
		out.reason = "evacuation_ended"
	default:
		return out, false
	}
	return out, true
}

// bound returns the number of requests in any second that a cold target of a service must not get more than.
func (e *Edge) bound(spec platform.Service) float64 {
	return spec.ColdPerSecond*e.settings.ColdOver + e.settings.ColdSlack
}

// beginPaces makes those of a service's targets paced that are cold, new or back. The caller holds e.mu.
func (e *Edge) beginPaces(now time.Time, spec platform.Service, targets []platform.Target) {
	if spec.ColdPerSecond <= 0 {
		return
	}
	bound := e.bound(spec)
	withheld := func(t platform.Target) bool { return e.evacuations.covers(spec.Name, t.DataCentre) }
	for i, s := range e.paces.update(now, spec.Name, targets, withheld) {
		target := ownership.IncarnationOf(s.target)
		old, paced := e.rateLimits.PaceOf(target)
		e.rateLimits.BeginPace(now, target, ratelimit.Pace{
			First: ratelimit.PacedRate(spec.ColdPerSecond, bound), Bound: bound, Busy: s.busy, ColdUntil: now.Add(s.target.WarmupLeft),
		})
		if i < maxLoggedEntries && (!paced || old.Ended()) {
			e.log.Info("pace: Target is paced.", "target", s.target.Name, "service", spec.Name, "reason", s.reason, "busy", s.busy,
				"cold_ms", s.target.WarmupLeft.Milliseconds(), "per_second", spec.ColdPerSecond)
		}
	}
}

// endPaces ends the paces of targets that have been warm for long or are no longer listed, and updates the metric. It reports whether a pace
// has ended. The caller holds e.mu.
func (e *Edge) endPaces(now time.Time) bool {
	table, paces := e.table.Load(), e.rateLimits.Paces()
	if table == nil || len(paces) == 0 && !e.pacedShown {
		return false
	}
	e.pacedShown = len(paces) > 0
	ended := false
	listed := map[ownership.Incarnation]bool{}
	for _, spec := range table.Configuration.Services {
		paced := 0
		for _, t := range e.targets.ServiceTargets(now, spec.Name) {
			target := ownership.IncarnationOf(t)
			listed[target] = true
			if p, ok := paces[target]; ok && !p.Ended() {
				paced++
			}
		}
		e.metrics.PacedTargets.WithLabelValues(spec.Name).Set(float64(paced))
	}
	for target, p := range paces {
		if listed[target] && now.Before(p.ColdUntil.Add(maxPaceTime)) {
			continue
		}
		e.rateLimits.EndPace(target)
		ended = true
		e.log.Info("pace: Target is no longer paced.", "target", target.Name, "listed", listed[target], "per_second", p.PerSecond, "took", now.Sub(p.Since))
	}
	return ended
}

// mayStillSend reports whether a dispatched request may be sent now that there is a connection. Its target may have been evacuated or
// become paced meanwhile, or the permit for a paced target may have lapsed.
func (q *request) mayStillSend(d scheduler.Dispatch) bool {
	if q.edge.evacuations.covers(q.service.name, d.Target.DataCentre) {
		return false
	}
	if p, paced := q.edge.rateLimits.PaceOf(ownership.IncarnationOf(d.Target)); paced && !p.Ended() {
		return time.Now().Before(d.PermitUntil)
	}
	return true
}

// recordPaced counts the response of a paced target for the coordinator. The caller holds s.mu.
func (s *service) recordPaced(target ownership.Incarnation, result scheduler.Result) {
	if p, paced := s.edge.rateLimits.PaceOf(target); !paced || p.Ended() {
		return
	}
	var r pace.Responses
	switch result.Outcome {
	case scheduler.Answered:
		r.Answered = 1
		if mean := s.scheduler.MeanResponseTime(); mean > 0 && result.ResponseTime > slowFactor*mean {
			r.Slow = 1
		}
	case scheduler.Failed, scheduler.Rejected, scheduler.Unreachable, scheduler.ConnectionFailed, scheduler.TimedOut:
		r.Failed = 1
	case scheduler.WrongOwner, scheduler.Cancelled:
		return
	}
	r.Add(s.pacedResponses[target])
	s.pacedResponses[target] = r
	s.signalPermits()
}

// addPaced adds to the wants what is to be stated about paced targets. The caller holds s.mu.
func (s *service) addPaced(now time.Time, wants []ratelimit.Want) []ratelimit.Want {
	work := s.scheduler.MeanProcessingTime().Seconds()
	slots := map[ownership.Incarnation]int{}
	for target := range s.pacedResponses {
		wanted := false
		for _, w := range wants {
			wanted = wanted || w.Target == target
		}
		if !wanted {
			wants = append(wants, ratelimit.Want{Target: target})
		}
	}
	for i := range wants {
		w := &wants[i]
		p, paced := s.edge.rateLimits.PaceOf(w.Target)
		if !paced || p.Ended() {
			continue
		}
		if len(slots) == 0 {
			for _, t := range s.scheduler.Targets() {
				slots[ownership.IncarnationOf(t)] = t.Slots
			}
		}
		if p.Cold(now) {
			w.Bound, w.Busy = p.Bound, p.Busy
		}
		w.PerSecond, _ = s.edge.rateLimits.PerSecond(w.Target)
		if work > 0 {
			w.Capacity = float64(slots[w.Target]) / work
		}
		if r, ok := s.pacedResponses[w.Target]; ok {
			w.Responses = &r
		}
	}
	clear(s.pacedResponses)
	return wants
}

// dumpPaces returns the paces of targets for the state dump.
func (e *Edge) dumpPaces() any {
	out := map[string]ratelimit.Pace{}
	for target, p := range e.rateLimits.Paces() {
		out[target.Name] = p
	}
	return out
}
