package ownership

import (
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// propose returns the document with the moves carried out.
func (c *Core) propose(now time.Time, moves []Move) *Document {
	d := c.document.clone()
	// Owners of later on are unknown to earlier coordinators, so that it stays so for the term.
	d.Settled = d.Settled || c.allFenced()
	d.Fence++
	for _, name := range c.names() {
		s := c.services[name]
		for _, m := range moves {
			if m.Service == name {
				s.split(m.Span)
			}
		}
		var ranges []Range
		for _, st := range s.ranges {
			r := st.Range
			r.Previous = c.uncleared(now, st)
			if to, ok := destination(moves, name, st.KeyRange); ok {
				st.moving = true
				r.Previous = appendFormer(r.Previous, Former{
					Life: st.Owner, Fenced: st.fenced, Unanswered: st.busy || now.Before(later(st.unanswered, st.outdated)),
				})
				r.Owner, r.Fence = to, d.Fence
			}
			if st.refence && !st.busy {
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
			d.Services[name] = c.merge(s, ranges, d.Fence)
		}
	}
	return d
}

// uncleared returns the earlier owners that may still hold a range.
func (c *Core) uncleared(now time.Time, st *state) []Former {
	var out []Former
	for _, p := range st.previous {
		if !c.cleared(now, p) {
			out = append(out, Former{Life: p.Life, Fenced: p.fenced, Unanswered: now.Before(p.unanswered)})
		}
	}
	return out
}

func appendFormer(formers []Former, f Former) []Former {
	if f.Name == "" || slices.ContainsFunc(formers, func(have Former) bool { return have.Is(f.Life) }) {
		return formers
	}
	return append(formers, f)
}

func destination(moves []Move, service string, span platform.KeyRange) (Life, bool) {
	for _, m := range moves {
		if m.Service == service && m.Span.First <= span.First && span.Last <= m.Span.Last {
			return m.To, true
		}
	}
	return Life{}, false
}

// split cuts the ranges at both ends of a span. The parts keep owner and token.
func (s *service) split(span platform.KeyRange) {
	cut := func(first uint16) {
		i := slices.IndexFunc(s.ranges, func(st *state) bool { return st.First < first && first <= st.Last })
		if i < 0 {
			return
		}
		left := *s.ranges[i]
		left.previous = nil
		for _, p := range s.ranges[i].previous {
			copied := *p
			left.previous = append(left.previous, &copied)
		}
		left.Last = first - 1
		s.ranges[i].First = first
		s.ranges = slices.Insert(s.ranges, i, &left)
	}
	cut(span.First)
	if span.Last < allKeys-1 {
		cut(span.Last + 1)
	}
}

// merge joins neighbours of one owner when a service has too many ranges. A
// joined range has a new token, above those of its parts.
func (c *Core) merge(s *service, ranges []Range, fence uint64) []Range {
	if len(ranges) <= maxFragments*max(1, len(s.targets)) {
		return ranges
	}
	calm := func(r Range) bool {
		i := slices.IndexFunc(s.ranges, func(st *state) bool { return st.KeyRange == r.KeyRange })
		return i >= 0 && len(r.Previous) == 0 && !s.ranges[i].busy && !s.ranges[i].moving && s.ranges[i].granted
	}
	out := ranges[:1]
	mergeable := calm(ranges[0])
	for _, r := range ranges[1:] {
		last := &out[len(out)-1]
		ok := calm(r)
		if ok && mergeable && last.Owner.Is(r.Owner) && last.Last+1 == r.First {
			last.Last, last.Fence = r.Last, fence
			continue
		}
		out = append(out, r)
		mergeable = ok
	}
	return out
}
