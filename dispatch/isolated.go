package dispatch

import "time"

// enqueueIsolated queues a suspect request, which must be the only request on
// its target. A target is reserved for it and gets no other request until it
// has become idle and finished this one.
func (d *Dispatcher) enqueueIsolated(r *Request) {
	r.reserved = -1
	d.isolated = append(d.isolated, r)
}

// dequeueIsolated removes r from the queue and releases its reservation.
func (d *Dispatcher) dequeueIsolated(r *Request) {
	d.releaseReservation(r)
	for i, have := range d.isolated {
		if have == r {
			d.isolated = append(d.isolated[:i], d.isolated[i+1:]...)
			return
		}
	}
}

// releaseReservation makes the target reserved for r available again.
func (d *Dispatcher) releaseReservation(r *Request) {
	if r.reserved >= 0 {
		d.targets[r.reserved].reserved = false
		r.reserved = -1
	}
}

// nextIsolated starts the first suspect request whose reserved target is idle.
// It returns nil if there is none.
func (d *Dispatcher) nextIsolated(now time.Time) *Request {
	for _, r := range d.isolated {
		if !d.reserve(now, r) {
			continue
		}
		t := &d.targets[r.reserved]
		if t.running > 0 {
			continue
		}
		i := r.reserved
		d.dequeue(r)
		d.start(now, r, i)
		return r
	}
	return nil
}

// reserve reserves the usable target with the fewest running requests for r
// and reports whether r has a reservation. A reservation of a target that is no
// longer usable is released first.
func (d *Dispatcher) reserve(now time.Time, r *Request) bool {
	if r.reserved >= 0 {
		if d.targets[r.reserved].usable(now) && d.eligible(r, r.reserved) {
			return true
		}
		d.releaseReservation(r)
	}
	best := -1
	for i := range d.targets {
		t := &d.targets[i]
		if t.reserved || !t.usable(now) || !d.eligible(r, i) {
			continue
		}
		if best < 0 || t.running < d.targets[best].running {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r.reserved = best
	d.targets[best].reserved = true
	return true
}

// eligible reports whether the target with index i may run r.
func (d *Dispatcher) eligible(r *Request, i int) bool {
	return r.Owner == AnyTarget || r.Owner == i
}
