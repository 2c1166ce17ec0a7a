package ownership

import (
	"time"
)

// Written takes the answer to the proposal. A proposal without a known outcome
// stays proposed and is to be written again.
func (c *Core) Written(now time.Time) {
	d := c.proposed
	if d == nil {
		return
	}
	c.document, c.proposed = d, nil
	for name, ranges := range d.Services {
		c.service(name).adopt(now, c, ranges)
	}
	for name := range c.services {
		if _, ok := d.Services[name]; !ok {
			delete(c.services, name)
		}
	}
	c.version++
}

// adopt replaces the ranges by those that were written and keeps what is known of them.
func (s *service) adopt(now time.Time, c *Core, ranges []Range) {
	old := s.ranges
	s.ranges = nil
	for _, r := range ranges {
		s.ranges = append(s.ranges, c.inherit(now, old, r))
	}
}

// inherit returns the state of a written range from those of the ranges that it overlaps.
func (c *Core) inherit(now time.Time, old []*state, r Range) *state {
	st := &state{Range: r}
	same, fenced := true, true
	for _, o := range old {
		if o.Last < r.First || o.First > r.Last {
			continue
		}
		for _, p := range o.previous {
			if !c.cleared(now, p) {
				st.addPrevious(*p, r.Fence)
			}
		}
		if !o.Owner.Is(r.Owner) {
			same = false
			if o.Owner.Name != "" {
				st.addPrevious(c.formerOwner(now, o), r.Fence)
			}
			continue
		}
		st.mayHold = later(st.mayHold, o.mayHold)
		st.unanswered = later(st.unanswered, o.unanswered)
		st.outdated = later(st.outdated, o.outdated)
		fenced = fenced && o.fenced
		if o.KeyRange == r.KeyRange && o.Fence == r.Fence {
			// busy stays with the order that is under way.
			st.granted, st.sound, st.sent, st.next, st.busy = o.granted, o.sound, o.sent, o.next, o.busy
			st.handover = o.handover
			continue
		}
		if st.sound.IsZero() || o.sound.Before(st.sound) {
			st.sound = o.sound
		}
	}
	if !same {
		st.sound = time.Time{}
	}
	st.fenced = same && fenced && len(old) > 0
	// A part of a range that stays with its owner is held under the earlier grant meanwhile.
	st.granted = st.granted || same && now.Before(st.sound)
	return st
}

// formerOwner returns what is known of the owner that a range loses. A grant
// that is under way may still reach it.
func (c *Core) formerOwner(now time.Time, st *state) holder {
	h := holder{Life: st.Owner, fenced: st.fenced, mayHold: st.mayHold, unanswered: later(st.unanswered, st.outdated)}
	if st.busy {
		until := c.holdEnd(now.Add(OrderTimeout))
		h.mayHold, h.unanswered = later(h.mayHold, until), later(h.unanswered, until)
	}
	return h
}

func (st *state) addPrevious(p holder, fence uint64) {
	p.released, p.busy, p.next = false, false, time.Time{}
	p.fence = fence
	for _, have := range st.previous {
		if have.Is(p.Life) {
			have.mayHold = later(have.mayHold, p.mayHold)
			have.unanswered = later(have.unanswered, p.unanswered)
			have.fenced = have.fenced && p.fenced
			return
		}
	}
	st.previous = append(st.previous, &p)
}
