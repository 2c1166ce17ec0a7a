package dispatch

import "time"

// enqueueAlone queues a suspect request that must run with nothing beside it.
// A target is reserved for it, which takes no other work until it is idle and
// has run the request.
func (c *Core) enqueueAlone(r *Request) {
	r.reserved = -1
	c.alone = append(c.alone, r)
}

func (c *Core) dequeueAlone(r *Request) {
	c.release(r)
	for i, have := range c.alone {
		if have == r {
			c.alone = append(c.alone[:i], c.alone[i+1:]...)
			return
		}
	}
}

func (c *Core) release(r *Request) {
	if r.reserved >= 0 {
		c.targets[r.reserved].reserved = false
		r.reserved = -1
	}
}

// nextAlone starts a suspect request whose target is idle.
func (c *Core) nextAlone(now time.Time) *Request {
	for _, r := range c.alone {
		if !c.reserve(now, r) {
			continue
		}
		t := &c.targets[r.reserved]
		if t.running > 0 {
			continue
		}
		i := r.reserved
		c.dequeue(r)
		c.start(now, r, i)
		return r
	}
	return nil
}

// reserve finds a target for r and reports whether it has one. A bad target is given back.
func (c *Core) reserve(now time.Time, r *Request) bool {
	if r.reserved >= 0 {
		if c.targets[r.reserved].usable(now) && c.mayRun(r, r.reserved) {
			return true
		}
		c.release(r)
	}
	best := -1
	for i := range c.targets {
		t := &c.targets[i]
		if t.reserved || !t.usable(now) || !c.mayRun(r, i) {
			continue
		}
		if best < 0 || t.running < c.targets[best].running {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r.reserved = best
	c.targets[best].reserved = true
	return true
}

func (c *Core) mayRun(r *Request, i int) bool {
	return r.Owner == AnyTarget || r.Owner == i
}
