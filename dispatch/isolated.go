package dispatch

import "time"

// enqueueIsolated queues a suspect request, which must be the only request on
// its target. A target is reserved for it and gets no other request until it
// has become idle and finished this one.
func (c *Dispatcher) enqueueIsolated(r *Request) {
	r.reserved = -1
	c.isolated = append(c.isolated, r)
}

// dequeueIsolated removes r from the queue and releases its reservation.
func (c *Dispatcher) dequeueIsolated(r *Request) {
	c.releaseReservation(r)
	for i, have := range c.isolated {
		if have == r {
			c.isolated = append(c.isolated[:i], c.isolated[i+1:]...)
			return
		}
	}
}

// releaseReservation makes the target reserved for r available again.
func (c *Dispatcher) releaseReservation(r *Request) {
	if r.reserved >= 0 {
		c.targets[r.reserved].reserved = false
		r.reserved = -1
	}
}

// nextIsolated starts the first suspect request whose reserved target is idle.
// It returns nil if there is none.
func (c *Dispatcher) nextIsolated(now time.Time) *Request {
	for _, r := range c.isolated {
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

// reserve reserves the usable target with the fewest running requests for r
// and reports whether r has a reservation. A reservation of a target that is no
// longer usable is released first.
func (c *Dispatcher) reserve(now time.Time, r *Request) bool {
	if r.reserved >= 0 {
		if c.targets[r.reserved].usable(now) && c.eligible(r, r.reserved) {
			return true
		}
		c.releaseReservation(r)
	}
	best := -1
	for i := range c.targets {
		t := &c.targets[i]
		if t.reserved || !t.usable(now) || !c.eligible(r, i) {
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

// eligible reports whether the target with index i may run r.
func (c *Dispatcher) eligible(r *Request, i int) bool {
	return r.Owner == AnyTarget || r.Owner == i
}
