package dispatch

import "time"

// Next starts the next request that can be sent now and returns it; its target
// is Request.Target. It returns false if no queued request can be sent.
func (d *Dispatcher) Next(now time.Time) (*Request, bool) {
	if d.queued == 0 {
		return nil, false
	}
	if r := d.nextIsolated(now); r != nil {
		return r, true
	}
	best := d.bestTarget(now)
	if best < 0 {
		return nil, false
	}
	if r := d.startNext(now, best); r != nil {
		return r, true
	}
	for i := range d.targets {
		if i == best || !d.targets[i].hasFreeSlot(now) {
			continue
		}
		if r := d.startNext(now, i); r != nil {
			return r, true
		}
	}
	return nil, false
}

// bestTarget returns the index of the preferred target with a free slot, or -1.
func (d *Dispatcher) bestTarget(now time.Time) int {
	best := -1
	for i := range d.targets {
		if !d.targets[i].hasFreeSlot(now) {
			continue
		}
		if best < 0 || d.targets[i].preferredTo(&d.targets[best]) {
			best = i
		}
	}
	return best
}

// startNext starts the next request for the target with index i and returns it,
// or nil if there is none. Requests that can no longer meet their deadline are
// rejected.
func (d *Dispatcher) startNext(now time.Time, i int) *Request {
	for {
		r := d.selectRequest(now, i)
		if r == nil {
			return nil
		}
		if now.Add(deadlineFactor * r.expected).After(r.Deadline) {
			d.reject(r, ReasonDeadlineUnreachable)
			continue
		}
		d.dequeue(r)
		d.start(now, r, i)
		return r
	}
}

// selectRequest returns the request to run next on the target with index i, or
// nil. Classes are served by rank, but one dispatch in agedInterval may go to the
// request that has exceeded its class's ageing time the most.
func (d *Dispatcher) selectRequest(now time.Time, i int) *Request {
	var first, aged *Request
	var overdue time.Duration
	for _, k := range d.order {
		cl := &d.classes[k]
		if cl.size == 0 {
			continue
		}
		head := d.oldest(cl, i)
		if head == nil {
			continue
		}
		if first == nil {
			first = head
			continue
		}
		if late := now.Sub(head.arrived) - cl.ageing; late > overdue {
			aged, overdue = head, late
		}
	}
	if aged == nil {
		return first
	}
	if d.sinceAged+1 >= agedInterval {
		d.sinceAged = 0
		return aged
	}
	d.sinceAged++
	return first
}

// oldest returns the oldest request of cl that may start on the target with
// index i, or nil.
func (d *Dispatcher) oldest(cl *class, i int) *Request {
	best := older(cl.anyTarget.short.head, cl.byTarget[i].short.head)
	if d.targets[i].acceptsLong() {
		best = older(best, older(cl.anyTarget.long.head, cl.byTarget[i].long.head))
	}
	return best
}

func older(a, b *Request) *Request {
	if a == nil || b != nil && b.arrived.Before(a.arrived) {
		return b
	}
	return a
}

// start records that r was sent to the target with index i.
func (d *Dispatcher) start(now time.Time, r *Request, i int) {
	r.state = stateRunning
	r.target = i
	r.started = now
	r.attempts++
	d.running[r] = struct{}{}
	d.targets[i].start(r)
}

// Finish records the result of an attempt and reports whether the request has
// finished or is queued for another attempt.
func (d *Dispatcher) Finish(now time.Time, r *Request, result Result) Outcome {
	t := &d.targets[r.target]
	t.finish(r)
	delete(d.running, r)
	r.state = stateEnded
	elapsed := now.Sub(r.started)
	switch result {
	case ResultOK:
		d.recordSuccess(t, r, elapsed)
		return OutcomeFinished
	case ResultOwnerChanged:
		r.attempts--
		if now.Before(r.Deadline) {
			d.requeue(now, r)
			return OutcomeRequeued
		}
		return OutcomeFinished
	case ResultNotStarted:
		t.recordFailure(now)
	case ResultOverloaded:
		t.recordOverload(now)
	case ResultCrashed:
		t.recordFailure(now)
		d.suspects.recordCrash(now, r)
	case ResultTimeout, ResultCanceled:
		if elapsed > d.runTimes.expected(r.Route) {
			d.runTimes.observe(r.Route, elapsed)
		}
		return OutcomeFinished
	}
	if !d.allowRetry(now, r, result) {
		return OutcomeFinished
	}
	d.requeue(now, r)
	return OutcomeRequeued
}

// recordSuccess updates the target, the running times, the suspects and the
// retry tokens after a successful request.
func (d *Dispatcher) recordSuccess(t *target, r *Request, elapsed time.Duration) {
	ratio := 1.0
	if expected := d.runTimes.expected(r.Route); expected > 0 && !r.long {
		ratio = float64(elapsed) / float64(max(expected, minTypical))
	}
	t.recordSuccess(ratio)
	d.runTimes.observe(r.Route, elapsed)
	d.suspects.recordSuccess(r)
	d.retryTokens = min(maxRetryTokens, d.retryTokens+d.cfg.RetryRatio)
}

// allowRetry reports whether r may be sent again, and takes a retry token for
// it. Retries of requests that no target started need no token.
func (d *Dispatcher) allowRetry(now time.Time, r *Request, result Result) bool {
	if !now.Before(r.Deadline) || r.Replayable != nil && !r.Replayable() {
		return false
	}
	if s, ok := d.suspects.lookup(now, r.Fingerprint); ok && s.quarantined {
		return false
	}
	if result == ResultNotStarted {
		return r.attempts < maxNotStartedAttempts
	}
	if result != ResultOverloaded && !r.Idempotent {
		return false
	}
	if r.attempts >= d.cfg.MaxAttempts || d.retryTokens < 1 {
		return false
	}
	d.retryTokens--
	return true
}

// requeue queues r for another attempt, isolated if its fingerprint is suspect.
func (d *Dispatcher) requeue(now time.Time, r *Request) {
	if _, ok := d.suspects.lookup(now, r.Fingerprint); ok {
		r.isolated = true
	}
	r.long = r.long || d.runTimes.isLong(r.Route)
	d.enqueue(r)
}
