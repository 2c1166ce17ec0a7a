package ownership

import (
	"github.com/redwingtally/redwingtally/platform"
)

// Document returns the document that is in the store.
func (c *Core) Document() *Document { return c.document }

// Proposed returns the document that is being written, or nil.
func (c *Core) Proposed() *Document { return c.proposed }

// Version returns a number that grows with every change of the result of Holdings.
func (c *Core) Version() uint64 { return c.version }

// A Holding is a span of keys and its owner, as published to hosts.
type Holding struct {
	platform.KeyRange
	// Target is the name of the owner. Requests may be sent to it if Held is true.
	Target string `json:"target"`
	// Held reports whether the owner has answered its grant and has not ended.
	Held bool `json:"held"`
}

// Holdings returns the holdings of a service, ordered by first key.
func (c *Core) Holdings(name string) []Holding {
	s, ok := c.services[name]
	if !ok {
		return nil
	}
	out := make([]Holding, 0, len(s.ranges))
	for _, st := range s.ranges {
		out = appendHolding(out, Holding{KeyRange: st.KeyRange, Target: st.Owner.Name, Held: st.granted && !c.incarnation(st.Owner).over()})
	}
	return out
}

// appendHolding appends a holding, or extends the last one if h continues it with the same owner and state.
func appendHolding(out []Holding, h Holding) []Holding {
	if n := len(out); n > 0 && out[n-1].sameState(h) && int(out[n-1].Last)+1 == int(h.First) {
		out[n-1].Last = h.Last
		return out
	}
	return append(out, h)
}

// sameState reports whether two holdings differ only in their spans.
func (h Holding) sameState(o Holding) bool { return h.Target == o.Target && h.Held == o.Held }

// Diff returns the holdings of current for those keys whose holding differs from
// old. The target is empty for keys that are in no holding of current.
func Diff(old, current []Holding) []Holding {
	return overlay(old, current, func(before, after Holding, _ bool) (Holding, bool) { return after, !before.sameState(after) })
}

// Patch applies the changes returned by Diff to old.
func Patch(old, changes []Holding) []Holding {
	return overlay(old, changes, func(before, after Holding, changed bool) (Holding, bool) {
		if !changed {
			after = before
		}
		return after, after.Target != ""
	})
}

// Merge returns changes that have the same effect as applying changes and then next.
func Merge(changes, next []Holding) []Holding {
	var out []Holding
	first, second := cursor{list: changes}, cursor{list: next}
	for key := 0; key < keyCount; {
		x, endOfX, changed := first.at(key)
		y, endOfY, again := second.at(key)
		if again {
			x = y
		}
		end := min(endOfX, endOfY)
		if changed || again {
			x.KeyRange = platform.KeyRange{First: uint16(key), Last: uint16(end)}
			out = appendHolding(out, x)
		}
		key = end + 1
	}
	return out
}

// overlay walks all keys of a and b in order and collects the holdings that pick
// returns. present reports whether b has a holding for the keys.
func overlay(a, b []Holding, pick func(x, y Holding, present bool) (Holding, bool)) []Holding {
	var out []Holding
	first, second := cursor{list: a}, cursor{list: b}
	for key := 0; key < keyCount; {
		x, endOfX, _ := first.at(key)
		y, endOfY, present := second.at(key)
		end := min(endOfX, endOfY)
		if h, ok := pick(x, y, present); ok {
			h.KeyRange = platform.KeyRange{First: uint16(key), Last: uint16(end)}
			out = appendHolding(out, h)
		}
		key = end + 1
	}
	return out
}

// A cursor reads holdings in the order of their keys.
type cursor struct{ list []Holding }

// at returns the holding of a key, if there is one, and the last key for which the
// result is the same. Keys must be read in ascending order.
func (c *cursor) at(key int) (h Holding, end int, ok bool) {
	for len(c.list) > 0 && int(c.list[0].Last) < key {
		c.list = c.list[1:]
	}
	switch {
	case len(c.list) == 0:
		return Holding{}, keyCount - 1, false
	case int(c.list[0].First) > key:
		return Holding{}, int(c.list[0].First) - 1, false
	}
	return c.list[0], int(c.list[0].Last), true
}

// Services returns the names of all services in sorted order.
func (c *Core) Services() []string { return c.serviceNames() }
