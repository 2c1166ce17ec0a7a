package dispatch

import "time"

// Next takes the next request that can be sent now; Request.Target tells where.
// It returns false when no waiting request can be sent.
func (c *Core) Next(now time.Time) (*Request, bool) {
	if c.queued == 0 {
		return nil, false
	}
	if r := c.nextAlone(now); r != nil {
		return r, true
	}
	best := c.best(now)
	if best < 0 {
		return nil, false
	}
	if r := c.take(now, best); r != nil {
		return r, true
	}
	for i := range c.targets {
		if i == best || !c.targets[i].open(now) {
			continue
		}
		if r := c.take(now, i); r != nil {
			return r, true
		}
	}
	return nil, false
}

// best returns the open target that suits the next request best, or -1.
func (c *Core) best(now time.Time) int {
	best := -1
	for i := range c.targets {
		if !c.targets[i].open(now) {
			continue
		}
		if best < 0 || c.targets[i].better(&c.targets[best]) {
			best = i
		}
	}
	return best
}

// take starts the best request for the target with index i, or returns nil.
func (c *Core) take(now time.Time, i int) *Request {
	for {
		r := c.pick(now, i)
		if r == nil {
			return nil
		}
		if now.Add(doomedFactor * r.expected).After(r.Deadline) {
			c.refuse(r, ReasonDoomed)
			continue
		}
		c.dequeue(r)
		c.start(now, r, i)
		return r
	}
}

// pick returns the request that shall run next on the target with index i.
// Ranks decide, but one dispatch in agedShare may go to an aged request.
func (c *Core) pick(now time.Time, i int) *Request {
	var first, aged *Request
	var overdue time.Duration
	for _, k := range c.order {
		cl := &c.classes[k]
		if cl.size == 0 {
			continue
		}
		head := c.head(cl, i)
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
	if c.sinceAge+1 >= agedShare {
		c.sinceAge = 0
		return aged
	}
	c.sinceAge++
	return first
}

// head returns the oldest request of cl that may start on the target with index i.
func (c *Core) head(cl *class, i int) *Request {
	best := older(cl.shared.short.head, cl.bound[i].short.head)
	if c.targets[i].opensLong() {
		best = older(best, older(cl.shared.long.head, cl.bound[i].long.head))
	}
	return best
}

func older(a, b *Request) *Request {
	if a == nil || b != nil && b.arrived.Before(a.arrived) {
		return b
	}
	return a
}

func (c *Core) start(now time.Time, r *Request, i int) {
	r.state = stateRunning
	r.target = i
	r.started = now
	r.attempts++
	c.running[r] = struct{}{}
	c.targets[i].start(r)
}

// Done ends an attempt and returns what becomes of the request. A request that
// waits for another attempt comes out of Next again.
func (c *Core) Done(now time.Time, r *Request, result Result) Verdict {
	t := &c.targets[r.target]
	t.finish(r)
	delete(c.running, r)
	r.state = stateEnded
	elapsed := now.Sub(r.started)
	switch result {
	case ResultOK:
		c.succeeded(t, r, elapsed)
		return VerdictFinished
	case ResultMoved:
		r.attempts--
		if now.Before(r.Deadline) {
			c.requeue(now, r)
			return VerdictRequeued
		}
		return VerdictFinished
	case ResultNotStarted:
		t.failed(now)
	case ResultShed:
		t.shed(now)
	case ResultCrashed:
		t.failed(now)
		c.suspects.crashed(now, r)
	case ResultTimeout, ResultCanceled:
		if elapsed > c.lengths.expect(r.Route) {
			c.lengths.observe(r.Route, elapsed)
		}
		return VerdictFinished
	}
	if !c.mayRetry(now, r, result) {
		return VerdictFinished
	}
	c.requeue(now, r)
	return VerdictRequeued
}

func (c *Core) succeeded(t *target, r *Request, elapsed time.Duration) {
	ratio := 1.0
	if expected := c.lengths.expect(r.Route); expected > 0 && !r.long {
		ratio = float64(elapsed) / float64(max(expected, floorTime))
	}
	t.succeeded(ratio)
	c.lengths.observe(r.Route, elapsed)
	c.suspects.cleared(r)
	c.tokens = min(retryTokens, c.tokens+c.cfg.RetryRatio)
}

// mayRetry reports whether r may be sent again, and pays for it.
func (c *Core) mayRetry(now time.Time, r *Request, result Result) bool {
	if !now.Before(r.Deadline) || r.Replayable != nil && !r.Replayable() {
		return false
	}
	if s, ok := c.suspects.lookup(now, r.Fingerprint); ok && s.setAside {
		return false
	}
	if result == ResultNotStarted {
		return r.attempts < notStartedAttempts
	}
	if result != ResultShed && !r.Repeatable {
		return false
	}
	if r.attempts >= c.cfg.Attempts || c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

func (c *Core) requeue(now time.Time, r *Request) {
	if _, ok := c.suspects.lookup(now, r.Fingerprint); ok {
		r.alone = true
	}
	r.long = r.long || c.lengths.isLong(r.Route)
	c.enqueue(r)
}
