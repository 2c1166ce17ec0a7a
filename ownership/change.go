package ownership

import (
	"time"
)

// ConfirmWrite applies the proposed document once the store has confirmed the write.
// While the outcome of the write is unknown, the document stays proposed and the
// caller must write it again.
func (c *Core) ConfirmWrite(now time.Time) {
	d := c.proposed
	if d == nil {
		return
	}
	c.document, c.proposed = d, nil
	for name, ranges := range d.Services {
		c.service(name).setRanges(now, c, ranges)
	}
	for name := range c.services {
		if _, ok := d.Services[name]; !ok {
			delete(c.services, name)
		}
	}
	c.version++
}

// setRanges replaces the ranges with those of the written document. Each new
// range inherits the state of the old ranges that it overlaps.
func (s *service) setRanges(now time.Time, c *Core, ranges []Range) {
	old := s.ranges
	s.ranges = nil
	for _, r := range ranges {
		s.ranges = append(s.ranges, c.inheritState(now, old, r))
	}
}

// inheritState derives the state of a written range from the old ranges that it overlaps.
func (c *Core) inheritState(now time.Time, old []*rangeState, r Range) *rangeState {
	st := &rangeState{Range: r}
	sameOwner, fenced := true, true
	for _, o := range old {
		if o.Last < r.First || o.First > r.Last {
			continue
		}
		for _, f := range o.formers {
			if !c.cleared(now, f) {
				st.addFormer(*f, r.Fence)
			}
		}
		if !o.Owner.SameAs(r.Owner) {
			sameOwner = false
			if o.Owner.Name != "" {
				st.addFormer(c.formerStateOf(now, o), r.Fence)
			}
			continue
		}
		st.possiblyHeldUntil = later(st.possiblyHeldUntil, o.possiblyHeldUntil)
		st.unansweredUntil = later(st.unansweredUntil, o.unansweredUntil)
		st.staleGrantUntil = later(st.staleGrantUntil, o.staleGrantUntil)
		fenced = fenced && o.fenced
		if o.KeyRange == r.KeyRange && o.Fence == r.Fence {
			// orderPending is kept: the order sent for the old range is still unanswered.
			st.granted, st.surelyHeldUntil, st.grantSentAt, st.nextGrant, st.orderPending = o.granted, o.surelyHeldUntil, o.grantSentAt, o.nextGrant, o.orderPending
			st.handoverToken = o.handoverToken
			continue
		}
		if st.surelyHeldUntil.IsZero() || o.surelyHeldUntil.Before(st.surelyHeldUntil) {
			st.surelyHeldUntil = o.surelyHeldUntil
		}
	}
	if !sameOwner {
		st.surelyHeldUntil = time.Time{}
	}
	st.fenced = sameOwner && fenced && len(old) > 0
	// If the owner stays the same, the earlier grant covers the keys until the new one is answered.
	st.granted = st.granted || sameOwner && now.Before(st.surelyHeldUntil)
	return st
}

// formerStateOf returns the state of the owner that a range is taken from. An
// unanswered grant extends the time for which the owner may hold the keys.
func (c *Core) formerStateOf(now time.Time, st *rangeState) formerState {
	f := formerState{Incarnation: st.Owner, fenced: st.fenced, possiblyHeldUntil: st.possiblyHeldUntil, unansweredUntil: later(st.unansweredUntil, st.staleGrantUntil)}
	if st.orderPending {
		until := c.holdEnd(now.Add(GrantTimeout))
		f.possiblyHeldUntil, f.unansweredUntil = later(f.possiblyHeldUntil, until), later(f.unansweredUntil, until)
	}
	return f
}

// addFormer adds a former owner to a range. fence is the token of its releases. If
// it is already listed, the later times are kept, and it counts as fenced only if
// both entries do.
func (st *rangeState) addFormer(f formerState, fence uint64) {
	f.released, f.orderPending, f.nextRelease = false, false, time.Time{}
	f.fence = fence
	for _, existing := range st.formers {
		if existing.SameAs(f.Incarnation) {
			existing.possiblyHeldUntil = later(existing.possiblyHeldUntil, f.possiblyHeldUntil)
			existing.unansweredUntil = later(existing.unansweredUntil, f.unansweredUntil)
			existing.fenced = existing.fenced && f.fenced
			return
		}
	}
	st.formers = append(st.formers, &f)
}
