package scheduler

import (
	"sort"
	"time"
)

// A line is the requests of one rank that compete for the same slots: those of
// one owner of keys, or all without a key.
type line struct {
	rank  int
	owner string
}

// lineState tells whether requests of a line that are past their objective have a chance.
type lineState struct {
	progress time.Time // when one was sent last, or none waited
	starved  time.Time // until when they have none
}

func (c *Core) line(r *Request) *lineState {
	l := line{rank: r.Rank}
	if r.Keyed {
		l.owner, _ = c.options.Owner(r.Key)
	}
	s, ok := c.lines[l]
	if !ok {
		s = &lineState{}
		c.lines[l] = s
	}
	return s
}

// before reports whether a goes before b: by rank, then those that can still
// meet their objective, then by age.
func (c *Core) before(now time.Time, a, b *Request) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	fa, fb := c.fresh(now, a), c.fresh(now, b)
	if fa != fb {
		return fa
	}
	return a.sequence < b.sequence
}

// fresh reports whether r can still meet its objective when it starts now.
func (c *Core) fresh(now time.Time, r *Request) bool {
	return now.Add(c.expected(r)).Before(r.Objective)
}

// tooLate reports whether r cannot meet its deadline when it starts after wait.
// One that need not wait is refused only when its work alone would be too long:
// a mean that grew while requests waited at targets would refuse all requests of
// the route, and nothing would show that they are quick again.
func (c *Core) tooLate(now time.Time, wait time.Duration, r *Request) bool {
	work := c.expected(r)
	if wait == 0 {
		work = c.quickest(now, r)
	}
	need := time.Duration(float64(work) * (1 + deadlineMargin))
	return now.Add(wait + need).After(r.Deadline)
}

// quickest returns the time that a request of r's route takes when it waits
// nowhere. What was learned long ago keeps no request away.
func (c *Core) quickest(now time.Time, r *Request) time.Duration {
	a, ok := c.work[r.Route]
	if !ok || !a.known {
		return defaultWork
	}
	base := time.Duration(a.base * float64(time.Second))
	if now.Sub(a.at) > workMemory {
		return min(base, defaultWork)
	}
	return base
}

// expected returns the time that a request of r's route usually takes.
func (c *Core) expected(r *Request) time.Duration {
	a, ok := c.work[r.Route]
	if !ok {
		a = &c.anyWork
	}
	if !a.known {
		return defaultWork
	}
	return time.Duration(a.value * float64(time.Second))
}

// wait estimates how long a request waits behind the first ahead requests of the queue.
func (c *Core) wait(now time.Time, r *Request, ahead int) time.Duration {
	if r.Keyed {
		return c.keyedWait(now, r, ahead)
	}
	var work time.Duration
	for _, q := range c.queue[:ahead] {
		work += c.expected(q)
	}
	allowance := c.allowance(now)
	if ahead == 0 && c.running < allowance {
		return 0
	}
	return work / time.Duration(max(1, allowance))
}

// keyedWait is wait for a request that only the owner of its key can run.
func (c *Core) keyedWait(now time.Time, r *Request, ahead int) time.Duration {
	owner, ok := c.options.Owner(r.Key)
	t := c.targets[owner]
	if !ok || t == nil {
		return 0
	}
	var work time.Duration
	for _, q := range c.queue[:ahead] {
		if name, _ := c.options.Owner(q.Key); name == owner {
			work += c.expected(q)
		}
	}
	work = time.Duration(float64(work) * t.slowness(now))
	return work / time.Duration(max(1, c.keyedCap(now, t)))
}

// Remove takes a waiting request out and reports whether it was waiting.
func (c *Core) Remove(r *Request) bool {
	for i, q := range c.queue {
		if q == r {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Expire orders the queue anew and takes out the requests that can no longer be answered in time.
func (c *Core) Expire(now time.Time) []Refusal {
	if len(c.queue) == 0 {
		return nil
	}
	sort.SliceStable(c.queue, func(i, j int) bool { return c.before(now, c.queue[i], c.queue[j]) })
	c.findStarved(now)
	var refused []Refusal
	kept := c.queue[:0]
	for _, r := range c.queue {
		if reason, wait := c.hopeless(now, r, len(kept)); reason != "" {
			refused = append(refused, Refusal{Request: r, Reason: reason, RetryAfter: c.spread(wait)})
		} else {
			kept = append(kept, r)
		}
	}
	for i := len(kept); i < len(c.queue); i++ {
		c.queue[i] = nil
	}
	c.queue = kept
	return refused
}

// findStarved looks for lines whose requests past their objective have waited
// for long without one of them being sent.
func (c *Core) findStarved(now time.Time) {
	waiting := map[*lineState]bool{}
	for _, r := range c.queue {
		if !c.fresh(now, r) {
			waiting[c.line(r)] = true
		}
	}
	for _, s := range c.lines {
		switch {
		case !waiting[s], s.progress.IsZero():
			s.progress = now
		case now.Sub(s.progress) > starvation:
			s.starved = now.Add(starvedFor)
		}
	}
}

// hopeless returns why a waiting request is refused, and what its caller is
// told to wait, or no reason. ahead is how many requests go before it.
func (c *Core) hopeless(now time.Time, r *Request, ahead int) (Reason, time.Duration) {
	wait := c.wait(now, r, ahead)
	switch {
	case !c.servable(now, r):
		return NoTarget, outageRetryAfter
	case c.tooLate(now, wait, r):
		return NoTime, wait
	case now.Before(c.line(r).starved) && !c.fresh(now, r):
		return Starved, maxRetryAfter
	}
	return "", 0
}

// spread turns an expected wait into what a caller is told, so that the returns do not come together.
func (c *Core) spread(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(wait) * (0.75 + 0.5*c.options.Random()))
}
