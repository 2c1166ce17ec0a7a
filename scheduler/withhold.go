package scheduler

import (
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// process identifies the process of a target.
type process struct {
	name      string
	startedAt int64 // nanoseconds since 1970
}

func processOf(t platform.Target) process { return process{t.Name, t.StartedAt.UnixNano()} }

// Withhold keeps requests from a target until a time, because it has asked this host for none before. A later end replaces an
// earlier one. It holds for the process of the target, also if that is not listed meanwhile.
func (s *Scheduler) Withhold(now time.Time, t platform.Target, until time.Time) {
	for id, end := range s.withheld {
		if !now.Before(end) {
			delete(s.withheld, id)
		}
	}
	id := processOf(t)
	if !until.After(s.withheld[id]) {
		return
	}
	s.withheld[id] = until
	if listed := s.targets[t.Name]; listed != nil && processOf(listed.Target) == id {
		listed.withheldUntil = until
	}
}

// withheld reports whether the target has asked this host for no requests yet.
func (t *target) withheld(now time.Time) bool { return now.Before(t.withheldUntil) }

// WithheldFor returns the time until the first target that could run r accepts requests of this host again, or 0 if one does now or
// none has asked for a pause.
func (s *Scheduler) WithheldFor(now time.Time, r *Request) time.Duration {
	if r.Keyed {
		if t := s.owner(r); t != nil && t.withheld(now) {
			return t.withheldUntil.Sub(now)
		}
		return 0
	}
	var first time.Duration
	for _, t := range s.ordered {
		if t.Draining {
			continue
		}
		if !t.withheld(now) {
			return 0
		}
		if left := t.withheldUntil.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}

// retryAfter returns the RetryAfter for a request that is rejected after an expected wait. It is not less than the time for which
// all targets that could run the request have asked for none.
func (s *Scheduler) retryAfter(now time.Time, r *Request, wait time.Duration) time.Duration {
	if left := s.WithheldFor(now, r); left > 0 {
		return left + s.jitter(0)
	}
	return s.jitter(wait)
}
