package ownership

import (
	"net/netip"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// A Life is one incarnation of a target: an id may come back with another start.
type Life struct {
	Name    string         `json:"name"`
	Born    time.Time      `json:"born"`
	Address netip.AddrPort `json:"address"`
}

// LifeOf returns the life that a target's entry names.
func LifeOf(t platform.Target) Life {
	return Life{Name: t.Name, Born: t.StartedAt.UTC(), Address: t.Address}
}

// lifeKey identifies a Life in maps.
type lifeKey struct {
	name string
	born int64 // nanoseconds of the time of day
}

func (l Life) key() lifeKey { return lifeKey{name: l.Name, born: l.Born.UnixNano()} }

// Is reports whether l and o are the same incarnation.
func (l Life) Is(o Life) bool { return l.Name == o.Name && l.Born.Equal(o.Born) }

// A Range is a span of keys with the target that owns it.
type Range struct {
	platform.KeyRange
	Owner Life `json:"owner"`
	// Fence is the fencing token of the owner's grants.
	Fence uint64 `json:"fence"`
	// Previous are targets that may still hold the keys; they must have lost them before the owner gets them.
	Previous []Former `json:"previous,omitempty"`
}

// A Former is an earlier owner of a range.
type Former struct {
	Life
	// Fenced says that the target refuses the tokens of all coordinators before
	// the one that took the range from it.
	Fenced bool `json:"fenced"`
	// Unanswered says that a grant to the target got no answer shortly before; it may take effect late.
	Unanswered bool `json:"unanswered,omitempty"`
}

// A Document is what lasts of the ownership of keys. It is kept in the
// platform's store; whoever is named in it coordinates.
type Document struct {
	// Coordinator is the process that may change the document and give orders.
	Coordinator string `json:"coordinator"`
	// Address serves the coordinator's calls.
	Address netip.AddrPort `json:"address"`
	// Term grows with every new coordinator.
	Term uint64 `json:"term"`
	// Settled says that every owner that an earlier coordinator knows has answered
	// a grant of this term, so that they can renew none of them.
	Settled bool `json:"settled"`
	// Hosts is how many hosts reported when the document was written; others share targets by it until they hear more.
	Hosts int `json:"hosts,omitempty"`
	// Fence is the highest fencing token that was ever set aside for use.
	Fence uint64 `json:"fence"`
	// Services are the divided services with their ranges, by first key.
	Services map[string][]Range `json:"services"`
}

// clone returns a copy that shares nothing with d.
func (d *Document) clone() *Document {
	out := *d
	out.Services = make(map[string][]Range, len(d.Services))
	for name, ranges := range d.Services {
		copied := append([]Range(nil), ranges...)
		for i := range copied {
			copied[i].Previous = append([]Former(nil), copied[i].Previous...)
		}
		out.Services[name] = copied
	}
	return &out
}

// width returns the number of keys of a span.
func width(s platform.KeyRange) int { return int(s.Last) - int(s.First) + 1 }
