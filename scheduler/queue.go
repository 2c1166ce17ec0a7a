package scheduler

import (
	"sort"
	"time"
)

// class identifies requests of one rank that compete for the same slots: those
// with keys of one owner, or all without a key. Requests that give way to others are a class of their own.
type class struct {
	rank     int
	owner    string
	deferred bool
}

// classState records whether a class is starved. A class is starved while its
// requests that miss their objective are queued and none of them is sent.
type classState struct {
	lastProgress time.Time // when such a request was last sent, or none was queued
	starvedUntil time.Time // end of the starved period
}

// classStateOf returns the state of r's class and creates it on first use.
func (s *Scheduler) classStateOf(now time.Time, r *Request) *classState {
	id := class{rank: r.Rank, deferred: s.deferred(now, r)}
	if r.Keyed {
		id.owner, _ = s.options.Owner(r.Key)
	}
	state, ok := s.classes[id]
	if !ok {
		state = &classState{}
		s.classes[id] = state
	}
	return state
}

// precedes reports whether a is queued before b. Requests are ordered by rank, then by whether they give way
// to others, then by whether they can still meet their objective, then by arrival.
func (s *Scheduler) precedes(now time.Time, a, b *Request) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if deferredB := s.deferred(now, b); s.deferred(now, a) != deferredB {
		return deferredB
	}
	inTimeA, inTimeB := s.meetsObjective(now, a), s.meetsObjective(now, b)
	if inTimeA != inTimeB {
		return inTimeA
	}
	return a.sequence < b.sequence
}

// queuedDeferred returns the number of queued requests that give way to others.
func (s *Scheduler) queuedDeferred(now time.Time) int {
	n := 0
	for _, r := range s.queue {
		if s.deferred(now, r) {
			n++
		}
	}
	return n
}

// meetsObjective reports whether r would meet its objective if it were sent at now.
func (s *Scheduler) meetsObjective(now time.Time, r *Request) bool {
	return now.Add(s.expectedResponseTime(r)).Before(r.Objective)
}

// missesDeadline reports whether r cannot meet its deadline if it is sent after
// wait. Without a wait, the processing time decides instead of the mean response
// time. A mean that grew while requests queued at targets would reject every
// request of the route, and without responses it would never fall again.
func (s *Scheduler) missesDeadline(now time.Time, wait time.Duration, r *Request) bool {
	expected := s.expectedResponseTime(r)
	if wait == 0 {
		expected = s.expectedProcessingTime(now, r)
	}
	need := time.Duration(float64(expected) * (1 + deadlineMargin))
	return now.Add(wait + need).After(r.Deadline)
}

// expectedProcessingTime returns the expected time of a request of r's route that does
// not queue. An estimate older than responseTimeMaxAge is bounded by
// defaultResponseTime, so that it cannot cause rejections indefinitely.
func (s *Scheduler) expectedProcessingTime(now time.Time, r *Request) time.Duration {
	a, ok := s.responseTimes[r.Route]
	if !ok || !a.initialised {
		return defaultResponseTime
	}
	baseline := time.Duration(a.baseline * float64(time.Second))
	if now.Sub(a.updatedAt) > responseTimeMaxAge {
		return min(baseline, defaultResponseTime)
	}
	return baseline
}

// expectedResponseTime returns the mean response time of r's route. It falls back to the
// mean over all routes, then to defaultResponseTime.
func (s *Scheduler) expectedResponseTime(r *Request) time.Duration {
	a, ok := s.responseTimes[r.Route]
	if !ok {
		a = &s.overallResponseTime
	}
	if !a.initialised {
		return defaultResponseTime
	}
	return time.Duration(a.value * float64(time.Second))
}

// estimateWait returns the expected time until a request behind the first ahead requests of the queue is sent.
func (s *Scheduler) estimateWait(now time.Time, r *Request, ahead int) time.Duration {
	return s.WithheldFor(now, r) + s.estimateQueueing(now, r, ahead)
}

// estimateQueueing returns the expected queueing time of a request behind the first
// ahead requests of the queue.
func (s *Scheduler) estimateQueueing(now time.Time, r *Request, ahead int) time.Duration {
	if r.Keyed {
		return s.estimateKeyedWait(now, r, ahead)
	}
	if wait, ok := s.estimatePermitWait(now, r, ahead); ok {
		return wait
	}
	var work time.Duration
	for _, q := range s.queue[:ahead] {
		work += s.expectedResponseTime(q)
	}
	limit := s.runningLimit(now)
	if ahead == 0 && s.running < limit {
		return 0
	}
	return work / time.Duration(max(1, limit))
}

// estimateKeyedWait is estimateQueueing for a keyed request, which only the owner of
// its key can run.
func (s *Scheduler) estimateKeyedWait(now time.Time, r *Request, ahead int) time.Duration {
	owner, ok := s.options.Owner(r.Key)
	t := s.targets[owner]
	if !ok || t == nil {
		return 0
	}
	var work time.Duration
	same := 0
	for _, q := range s.queue[:ahead] {
		if name, _ := s.options.Owner(q.Key); name == owner {
			work += s.expectedResponseTime(q)
			same++
		}
	}
	if t.limited {
		return t.expectedWait(now, same)
	}
	work = time.Duration(float64(work) * t.slowness(now))
	return work / time.Duration(max(1, s.keyedLimit(now, t)))
}

// Remove removes a request from the queue and reports whether it was queued.
func (s *Scheduler) Remove(r *Request) bool {
	for i, q := range s.queue {
		if q == r {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Expire reorders the queue, and removes and returns the requests that can no
// longer be answered in time or whose class is starved.
func (s *Scheduler) Expire(now time.Time) []Rejection {
	if len(s.queue) == 0 {
		return nil
	}
	sort.SliceStable(s.queue, func(i, j int) bool { return s.precedes(now, s.queue[i], s.queue[j]) })
	s.updateStarvation(now)
	var rejected []Rejection
	kept := s.queue[:0]
	for _, r := range s.queue {
		if reason, wait := s.rejectionReason(now, r, len(kept)); reason != "" {
			rejected = append(rejected, Rejection{Request: r, Reason: reason, RetryAfter: s.retryAfter(now, r, wait)})
		} else {
			kept = append(kept, r)
		}
	}
	for i := len(kept); i < len(s.queue); i++ {
		s.queue[i] = nil
	}
	s.queue = kept
	return rejected
}

// updateStarvation marks a class as starved if its requests that miss their
// objective have been queued for starvationTimeout without one of them being sent.
func (s *Scheduler) updateStarvation(now time.Time) {
	waiting := map[*classState]bool{}
	for _, r := range s.queue {
		if !s.meetsObjective(now, r) {
			waiting[s.classStateOf(now, r)] = true
		}
	}
	for id, state := range s.classes {
		switch {
		case !waiting[state], state.lastProgress.IsZero():
			state.lastProgress = now
		case now.Sub(state.lastProgress) > s.starvationTimeoutOf(now, id):
			state.starvedUntil = now.Add(starvedRejectionPeriod)
		}
	}
}

// rejectionReason returns the reason to reject a queued request and the wait from
// which its RetryAfter follows, or "" to keep the request. ahead is the number of requests
// queued before it.
func (s *Scheduler) rejectionReason(now time.Time, r *Request, ahead int) (Reason, time.Duration) {
	wait := s.estimateWait(now, r, ahead)
	switch {
	case !s.canServe(now, r):
		return NoTarget, noTargetRetryAfter
	case s.missesDeadline(now, wait, r):
		return s.unreachableReason(now, r), wait
	case now.Before(s.classStateOf(now, r).starvedUntil) && !s.meetsObjective(now, r):
		return Starved, maxRetryAfter
	}
	return "", 0
}

// jitter returns the RetryAfter for an expected wait. It bounds the wait and
// randomises it by 25 % in both directions, so that callers do not retry all at
// the same time.
func (s *Scheduler) jitter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(wait) * (0.75 + 0.5*s.options.Random()))
}
