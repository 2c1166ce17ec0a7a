package ownership

import (
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// propose returns a copy of the document with the moves, the current former owners
// and the new fencing tokens. It marks the moved ranges as moving.
func (c *Core) propose(now time.Time, moves []Move) *Document {
	d := c.document.clone()
	c.formersChanged = false
	// Earlier coordinators do not know owners assigned later, so OwnersFenced stays true for the rest of the term.
	d.Fence++
	d.Incomplete = d.Incomplete && !c.nowComplete(now)
	d.OwnersFenced = d.OwnersFenced || !d.Incomplete && c.allFenced(now)
	for _, name := range c.serviceNames() {
		s := c.services[name]
		for _, m := range moves {
			if m.Service == name {
				s.splitRangesAt(m.Span)
			}
		}
		var ranges []Range
		for _, st := range s.ranges {
			r := st.Range
			r.FormerOwners = c.unclearedFormers(now, st)
			if to, ok := newOwner(moves, name, st.KeyRange); ok {
				st.moving = true
				r.FormerOwners = appendFormer(r.FormerOwners, FormerOwner{
					Incarnation: st.Owner, Fenced: st.fenced, Unanswered: st.orderPending || now.Before(later(st.unansweredUntil, st.staleGrantUntil)),
				})
				r.Owner, r.Fence = to, d.Fence
			}
			if st.needsNewFence && !st.orderPending {
				r.Fence = d.Fence
			}
			ranges = append(ranges, r)
		}
		if len(s.ranges) == 0 {
			for _, m := range moves {
				if m.Service == name {
					ranges = append(ranges, Range{KeyRange: m.Span, Owner: m.To, Fence: d.Fence})
				}
			}
		}
		if len(ranges) > 0 {
			d.Services[name] = c.mergeNeighbours(s, ranges, d.Fence)
		}
	}
	return d
}

// unclearedFormers returns the former owners that may still hold the keys of a range.
func (c *Core) unclearedFormers(now time.Time, st *rangeState) []FormerOwner {
	var out []FormerOwner
	for _, f := range st.formers {
		if !c.cleared(now, f) {
			out = append(out, FormerOwner{Incarnation: f.Incarnation, Fenced: f.fenced, Unanswered: now.Before(f.unansweredUntil)})
		}
	}
	return out
}

// appendFormer appends a former owner that has a name and is not in the list yet.
func appendFormer(formers []FormerOwner, f FormerOwner) []FormerOwner {
	if f.Name == "" || slices.ContainsFunc(formers, func(have FormerOwner) bool { return have.SameAs(f.Incarnation) }) {
		return formers
	}
	return append(formers, f)
}

// newOwner returns the target of the move that contains a span, if there is one.
func newOwner(moves []Move, service string, span platform.KeyRange) (Incarnation, bool) {
	for _, m := range moves {
		if m.Service == service && m.Span.First <= span.First && span.Last <= m.Span.Last {
			return m.To, true
		}
	}
	return Incarnation{}, false
}

// splitRangesAt splits the ranges at both ends of a span. The parts keep their owner and fencing token.
func (s *service) splitRangesAt(span platform.KeyRange) {
	splitAt := func(first uint16) {
		i := slices.IndexFunc(s.ranges, func(st *rangeState) bool { return st.First < first && first <= st.Last })
		if i < 0 {
			return
		}
		left := *s.ranges[i]
		left.formers = nil
		for _, f := range s.ranges[i].formers {
			copied := *f
			left.formers = append(left.formers, &copied)
		}
		left.Last = first - 1
		s.ranges[i].First = first
		s.ranges = slices.Insert(s.ranges, i, &left)
	}
	splitAt(span.First)
	if span.Last < keyCount-1 {
		splitAt(span.Last + 1)
	}
}

// mergeNeighbours merges adjacent ranges of the same owner when a service has too
// many ranges. Only granted ranges without a pending order, move or former owner
// are merged. A merged range gets a new fencing token, above those of its parts.
func (c *Core) mergeNeighbours(s *service, ranges []Range, fence uint64) []Range {
	if len(ranges) <= maxRangesPerTarget*max(1, len(s.targets)) {
		return ranges
	}
	idle := func(r Range) bool {
		i := slices.IndexFunc(s.ranges, func(st *rangeState) bool { return st.KeyRange == r.KeyRange })
		return i >= 0 && len(r.FormerOwners) == 0 && !s.ranges[i].orderPending && !s.ranges[i].moving && s.ranges[i].granted
	}
	out := ranges[:1]
	mergeable := idle(ranges[0])
	for _, r := range ranges[1:] {
		last := &out[len(out)-1]
		ok := idle(r)
		if ok && mergeable && last.Owner.SameAs(r.Owner) && last.Last+1 == r.First {
			last.Last, last.Fence = r.Last, fence
			continue
		}
		out = append(out, r)
		mergeable = ok
	}
	return out
}
