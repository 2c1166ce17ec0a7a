package ownership

import (
	"github.com/redwingtally/redwingtally/platform"
)

// Document returns the document that stands in the store.
func (c *Core) Document() *Document { return c.document }

// Proposed returns the document that is being written, or nil.
func (c *Core) Proposed() *Document { return c.proposed }

// Version grows with every change of what View returns.
func (c *Core) Version() uint64 { return c.version }

// A Holding is what hosts are told of one range.
type Holding struct {
	platform.KeyRange
	// Target is the owner; work may go there when Held.
	Target string `json:"target"`
	// Held says that the owner has answered its grant.
	Held bool `json:"held"`
}

// View returns the holdings of a service, by first key.
func (c *Core) View(name string) []Holding {
	s, ok := c.services[name]
	if !ok {
		return nil
	}
	out := make([]Holding, 0, len(s.ranges))
	for _, st := range s.ranges {
		out = join(out, Holding{KeyRange: st.KeyRange, Target: st.Owner.Name, Held: st.granted && !c.life(st.Owner).dead})
	}
	return out
}

// join appends a holding, or lengthens the last one if it only continues it.
func join(out []Holding, h Holding) []Holding {
	if n := len(out); n > 0 && out[n-1].same(h) && int(out[n-1].Last)+1 == int(h.First) {
		out[n-1].Last = h.Last
		return out
	}
	return append(out, h)
}

func (h Holding) same(o Holding) bool { return h.Target == o.Target && h.Held == o.Held }

// Diff returns the holdings of the keys that are held otherwise in now than in
// old; keys that nobody has any more have no target.
func Diff(old, now []Holding) []Holding {
	return overlay(old, now, func(before, after Holding, _ bool) (Holding, bool) { return after, !before.same(after) })
}

// Patch returns old with the changes that Diff found.
func Patch(old, changes []Holding) []Holding {
	return overlay(old, changes, func(before, after Holding, changed bool) (Holding, bool) {
		if !changed {
			after = before
		}
		return after, after.Target != ""
	})
}

// Merge returns the changes that have the effect of changes and then of later.
func Merge(changes, later []Holding) []Holding {
	var out []Holding
	first, second := cursor{list: changes}, cursor{list: later}
	for key := 0; key < allKeys; {
		x, endOfX, changed := first.at(key)
		y, endOfY, again := second.at(key)
		if again {
			x = y
		}
		end := min(endOfX, endOfY)
		if changed || again {
			x.KeyRange = platform.KeyRange{First: uint16(key), Last: uint16(end)}
			out = join(out, x)
		}
		key = end + 1
	}
	return out
}

// overlay walks over all keys and keeps what pick chooses from the holdings of a
// and b; present says that b has the keys.
func overlay(a, b []Holding, pick func(x, y Holding, present bool) (Holding, bool)) []Holding {
	var out []Holding
	first, second := cursor{list: a}, cursor{list: b}
	for key := 0; key < allKeys; {
		x, endOfX, _ := first.at(key)
		y, endOfY, present := second.at(key)
		end := min(endOfX, endOfY)
		if h, ok := pick(x, y, present); ok {
			h.KeyRange = platform.KeyRange{First: uint16(key), Last: uint16(end)}
			out = join(out, h)
		}
		key = end + 1
	}
	return out
}

// A cursor reads holdings in the order of their keys.
type cursor struct{ list []Holding }

// at returns the holding of a key, if it has one, and the last key up to which that is so.
func (c *cursor) at(key int) (h Holding, end int, ok bool) {
	for len(c.list) > 0 && int(c.list[0].Last) < key {
		c.list = c.list[1:]
	}
	switch {
	case len(c.list) == 0:
		return Holding{}, allKeys - 1, false
	case int(c.list[0].First) > key:
		return Holding{}, int(c.list[0].First) - 1, false
	}
	return c.list[0], int(c.list[0].Last), true
}

// Services returns the names of the services with ranges.
func (c *Core) Services() []string { return c.names() }
