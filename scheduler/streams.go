package scheduler

import "time"

// A request whose body is streamed occupies a slot until its caller has sent the rest. Callers that stop sending would take all
// slots of a service. After one did, requests with streamed bodies are queued behind the others of their rank for a while, and
// use at most half of the slots.

// DeferStreamed makes requests with streamed bodies give way to others until a time.
func (s *Scheduler) DeferStreamed(until time.Time) { s.streamedDeferredUntil = until }

// streamedDeferred reports whether r gives way to others because its body is streamed.
func (s *Scheduler) streamedDeferred(now time.Time, r *Request) bool {
	return r.Streamed && now.Before(s.streamedDeferredUntil)
}

// deferred reports whether r is queued behind the requests of its rank that are not deferred.
func (s *Scheduler) deferred(now time.Time, r *Request) bool {
	return r.Backlog || s.streamedDeferred(now, r)
}

// leavesRoom reports whether r leaves half of so many slots to other requests if running streamed ones hold slots already.
func (s *Scheduler) leavesRoom(now time.Time, r *Request, running, slots int) bool {
	return !s.streamedDeferred(now, r) || running < max(1, slots/2)
}

// WaitsFor reports whether a request is queued that may be sent to a target when a slot becomes free there.
func (s *Scheduler) WaitsFor(target string) bool {
	for _, r := range s.queue {
		if s.MayUse(r, target) {
			return true
		}
	}
	return false
}

// MayUse reports whether a target is one that r may be sent to.
func (s *Scheduler) MayUse(r *Request, target string) bool {
	if !r.Keyed {
		return true
	}
	owner, ok := s.options.Owner(r.Key)
	return ok && owner == target
}
