package scheduler

import (
	"math"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// maxPermits is the number of permits that a host holds for one target at most, so that none of them expire unused
	// while other hosts lack some.
	maxPermits = 4
	// permitWaitWeight is the weight of a new observation in the average wait for a permit.
	permitWaitWeight = 0.3
	// minLimitedCapacity bounds the number of slots that a limited target is counted as having.
	minLimitedCapacity = 0.05
	// wantLifetime is how long a want counts as waiting. Requests that wait want a permit at every check of the queue.
	wantLifetime = 300 * time.Millisecond
	// coldPermitCost is the factor of the cost of a cold target that is limited, if there is a permit or half of the host's slots are in
	// use. Permits of cold targets lapse soon, and their number keeps the target from being overloaded.
	coldPermitCost = 0.5
	// starvedPermits is the number of average waits for a permit without one, after which a class is starved.
	starvedPermits = 2
)

// A PermitWant is the number of permits that this host lacks for a limited target, and of those
// that expired unused since the last call of PermitWants.
type PermitWant struct {
	Target platform.Target
	Count  int
	Unused int
}

// rateLimit is the state of a target that states how many requests per second it accepts from
// all hosts together. A host sends to it only with permits.
type rateLimit struct {
	limited      bool
	perSecond    float64
	permits      []time.Time   // expiry of each permit, the earliest first
	unused       int           // permits that expired unused since the last call of PermitWants
	wanted       bool          // a request without a key would have been sent there with a permit
	waitingSince time.Time     // since when a permit is wanted and none has come; zero if none is wanted
	wantedAt     time.Time     // when a permit was last wanted
	averageWait  time.Duration // for a permit
}

// SetRateLimits sets the limits of targets in requests per second, by name. Targets that are not
// in limits have none.
func (s *Scheduler) SetRateLimits(limits map[string]float64) {
	s.limitedTargets = 0
	for _, t := range s.ordered {
		perSecond, ok := limits[t.Name]
		if ok {
			s.limitedTargets++
		}
		switch {
		case !ok:
			t.rateLimit = rateLimit{}
		case !t.limited:
			t.rateLimit = rateLimit{limited: true, perSecond: perSecond}
			t.averageWait = t.timePerRequest()
		default:
			t.perSecond = perSecond
		}
	}
}

// AddPermits allows this host to send count requests to a limited target before the time until.
func (s *Scheduler) AddPermits(now time.Time, target string, count int, until time.Time) {
	t, ok := s.targets[target]
	if !ok || !t.limited || count <= 0 {
		return
	}
	if waited := t.waiting(now); waited > 0 {
		wait := waited / time.Duration(count)
		t.averageWait += time.Duration(permitWaitWeight * float64(wait-t.averageWait))
	}
	t.waitingSince = time.Time{}
	for range count {
		t.permits = append(t.permits, until)
	}
}

// WantsPermits reports whether a request waits for a permit, or would have been sent elsewhere
// with one.
func (s *Scheduler) WantsPermits(now time.Time) bool {
	if s.limitedTargets == 0 {
		return false
	}
	for _, t := range s.ordered {
		if t.limited && t.wanted {
			return true
		}
	}
	return len(s.permitsForQueue(now)) > 0
}

// PermitWants returns the permits that this host lacks, by target in the order of names, and
// resets the wants of requests without a key.
func (s *Scheduler) PermitWants(now time.Time) []PermitWant {
	queued := s.permitsForQueue(now)
	var wants []PermitWant
	for _, t := range s.ordered {
		count := queued[t]
		if permitted := t.permitted(now); t.wanted && count == 0 && !permitted {
			count = 1
		}
		t.wanted = false
		if count > 0 || t.unused > 0 {
			wants = append(wants, PermitWant{Target: t.Target, Count: count, Unused: t.unused})
		}
		t.unused = 0
	}
	return wants
}

// permitsForQueue returns the number of permits that the queued requests with a key lack.
func (s *Scheduler) permitsForQueue(now time.Time) map[*target]int {
	out := map[*target]int{}
	for _, r := range s.queue {
		t := s.owner(r)
		if t == nil || !t.limited || !t.available(now) {
			continue
		}
		if held := len(t.unexpired(now)); out[t]+held < min(maxPermits, s.keyedLimit(now, t)-t.running) {
			out[t]++
		}
	}
	return out
}

// unexpired drops expired permits and returns the others.
func (l *rateLimit) unexpired(now time.Time) []time.Time {
	for len(l.permits) > 0 && !now.Before(l.permits[0]) {
		l.permits = l.permits[1:]
		l.unused++
	}
	return l.permits
}

// permitted reports whether a request may be sent to the target without exceeding its limit.
func (l *rateLimit) permitted(now time.Time) bool {
	return !l.limited || len(l.unexpired(now)) > 0
}

// nextPermit returns the expiry of the permit that usePermit uses; zero if there is none.
func (l *rateLimit) nextPermit() time.Time {
	if len(l.permits) > 0 {
		return l.permits[0]
	}
	return time.Time{}
}

// usePermit uses one permit.
func (l *rateLimit) usePermit() {
	if len(l.permits) > 0 {
		l.permits = l.permits[1:]
	}
}

// want records that a request lacks a permit.
func (l *rateLimit) want(now time.Time) {
	if l.waiting(now) == 0 {
		l.waitingSince = now
	}
	l.wanted, l.wantedAt = true, now
}

// waiting returns the time for which a permit has been wanted, or 0 if none is wanted.
func (l *rateLimit) waiting(now time.Time) time.Duration {
	if l.waitingSince.IsZero() || now.Sub(l.wantedAt) > wantLifetime {
		return 0
	}
	return now.Sub(l.waitingSince)
}

// wantPermits records that r is rejected for lack of permits, so that later requests find some.
func (s *Scheduler) wantPermits(now time.Time, r *Request) {
	if t := s.owner(r); t != nil && t.limited {
		t.want(now)
	}
	if r.Keyed || s.limitedTargets == 0 {
		return
	}
	for _, t := range s.ordered {
		if t.limited && t.usable(now) && !t.permitted(now) {
			t.want(now)
		}
	}
}

// timePerRequest returns the mean time between two requests at the limit.
func (l *rateLimit) timePerRequest() time.Duration {
	if l.perSecond <= 0 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / l.perSecond)
}

// expectedWait returns the expected wait of a request for a permit when ahead requests wait
// for one before it.
func (l *rateLimit) expectedWait(now time.Time, ahead int) time.Duration {
	ahead -= len(l.unexpired(now))
	if ahead < 0 {
		return 0
	}
	first := max(l.averageWait, l.waiting(now))
	return first + time.Duration(ahead)*max(first, l.timePerRequest())
}

// permitRate returns the rate at which this host expects permits for a target, per second.
func (l *rateLimit) permitRate(now time.Time) float64 {
	return 1 / max(l.averageWait, l.waiting(now), l.timePerRequest()).Seconds()
}

// capacityOf returns the number of slots of a target, bounded for a limited target by the number
// of requests that run on average at its limit.
func (s *Scheduler) capacityOf(now time.Time, t *target) float64 {
	slots := t.capacity(now)
	if work := s.MeanProcessingTime(); t.limited && work > 0 {
		return min(slots, max(minLimitedCapacity, t.perSecond*work.Seconds()))
	}
	return slots
}

// estimatePermitWait returns the expected wait of a request without a key behind the first ahead
// requests of the queue while some usable targets are limited. It returns false if none is, or if
// the request need not wait for a permit.
func (s *Scheduler) estimatePermitWait(now time.Time, r *Request, ahead int) (time.Duration, bool) {
	if s.limitedTargets == 0 {
		return 0, false
	}
	slots, permits, limited := 0.0, 0.0, false
	first := time.Duration(math.MaxInt64)
	for _, t := range s.ordered {
		switch {
		case !t.usable(now):
		case t.limited:
			limited = true
			permits += t.permitRate(now)
			first = min(first, t.expectedWait(now, 0))
		default:
			slots += t.capacity(now)
		}
	}
	if !limited {
		return 0, false
	}
	if ahead == 0 && (first == 0 || slots > 0 && s.running-s.runningPermitted < s.runningLimit(now)) {
		return 0, true
	}
	perSecond := permits + s.slotShare*slots*overcommit/max(s.expectedResponseTime(r), time.Millisecond).Seconds()
	wait := time.Duration(float64(ahead) / perSecond * float64(time.Second))
	if slots == 0 {
		wait += first
	}
	return wait, true
}

// unreachableReason returns the reason to reject a request that cannot be answered before its deadline.
func (s *Scheduler) unreachableReason(now time.Time, r *Request) Reason {
	if s.WithheldFor(now, r) > 0 {
		return Withheld
	}
	if s.limitedTargets == 0 {
		return DeadlineUnreachable
	}
	for _, t := range s.ordered {
		if t.usable(now) && !t.limited && (!r.Keyed || t == s.owner(r)) {
			return DeadlineUnreachable
		}
	}
	return RateLimited
}

// starvationTimeoutOf returns how long the requests of a class may wait without one of them being
// sent before the class is starved. Requests that wait for permits are sent less often.
func (s *Scheduler) starvationTimeoutOf(now time.Time, id class) time.Duration {
	timeout := starvationTimeout
	if t := s.targets[id.owner]; t != nil && t.limited {
		return max(timeout, starvedPermits*t.averageWait)
	}
	if id.owner != "" {
		return timeout
	}
	if s.limitedTargets == 0 {
		return timeout
	}
	permits := 0.0
	for _, t := range s.ordered {
		switch {
		case !t.usable(now):
		case !t.limited:
			return timeout
		default:
			permits += t.permitRate(now)
		}
	}
	if permits > 0 {
		timeout = max(timeout, time.Duration(starvedPermits/permits*float64(time.Second)))
	}
	return timeout
}
