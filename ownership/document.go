package ownership

import (
	"net/netip"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// An Incarnation identifies one start of a target. A target that restarts keeps
// its name but has a new start time.
type Incarnation struct {
	Name      string         `json:"name"`
	StartedAt time.Time      `json:"born"`
	Address   netip.AddrPort `json:"address"`
}

// IncarnationOf returns the incarnation that a target's entry describes.
func IncarnationOf(t platform.Target) Incarnation {
	return Incarnation{Name: t.Name, StartedAt: t.StartedAt.UTC(), Address: t.Address}
}

// incarnationKey identifies an incarnation in maps.
type incarnationKey struct {
	name      string
	startedAt int64 // Unix time in nanoseconds
}

func (i Incarnation) key() incarnationKey {
	return incarnationKey{name: i.Name, startedAt: i.StartedAt.UnixNano()}
}

// SameAs reports whether i and o are the same incarnation.
func (i Incarnation) SameAs(o Incarnation) bool {
	return i.Name == o.Name && i.StartedAt.Equal(o.StartedAt)
}

// samePlace reports whether i and o have the same name and address, so that the process that runs there accepts the orders to both.
func (i Incarnation) samePlace(o Incarnation) bool {
	return i.Name == o.Name && i.Address == o.Address
}

// A Range is a span of keys and the target that owns it.
type Range struct {
	platform.KeyRange
	Owner Incarnation `json:"owner"`
	// Fence is the fencing token of the owner's grants.
	Fence uint64 `json:"fence"`
	// FormerOwners lists former owners that may still hold the keys. The owner is
	// granted the keys only after all of them have lost them.
	FormerOwners []FormerOwner `json:"previous,omitempty"`
}

// A FormerOwner is a former owner of a range.
type FormerOwner struct {
	Incarnation
	// Fenced reports whether the coordinators before the one that took the range from
	// the target cannot renew its grant: it refuses their fencing tokens, or they have
	// stopped.
	Fenced bool `json:"fenced"`
	// Unanswered reports whether a recent grant to the target got no answer. Such a
	// grant may still take effect.
	Unanswered bool `json:"unanswered,omitempty"`
}

// A Document is the persistent state of key ownership. It is kept in the
// platform's store. The process that it names is the coordinator.
type Document struct {
	// Coordinator is the process that may change the document and send orders.
	Coordinator string `json:"coordinator"`
	// Address is where the coordinator serves control calls.
	Address netip.AddrPort `json:"address"`
	// Term is incremented by every new coordinator.
	Term uint64 `json:"term"`
	// OwnersFenced reports whether earlier coordinators can renew no grant: each owner
	// that they know has answered a grant of this term, or they have stopped, and no
	// former owner is left.
	OwnersFenced bool `json:"settled"`
	// HostCount is the number of hosts that reported when the document was written. Hosts
	// divide the targets' capacity by it until they receive a newer number.
	HostCount int `json:"hosts,omitempty"`
	// Candidates names the hosts whose processes might coordinate when the document was written, sorted. It is empty if they are
	// too many, and in documents of earlier builds.
	Candidates []string `json:"candidates,omitempty"`
	// Fence is the highest fencing token reserved so far.
	Fence uint64 `json:"fence"`
	// Era is the era of the store in which the document was written. A document of an earlier era than the store's may
	// lack changes that a later one had: the store has come back from a copy.
	Era uint64 `json:"era,omitempty"`
	// Incomplete reports whether targets may hold keys that the document does not list: it was taken over from a restored
	// copy, and grants that the copy lacks may still be valid.
	Incomplete bool `json:"incomplete,omitempty"`
	// Services maps each divided service to its ranges, ordered by first key.
	Services map[string][]Range `json:"services"`
}

// eraBits is the number of low bits of a term or a fencing token that count within an era of the store; the bits above hold
// the number of eras before. Whatever a copy lacks, the terms and tokens of a later era are above it.
const eraBits = 32

// raise returns the first term or fencing token of an era, or value if that is of the era already.
func raise(value, era uint64) uint64 {
	if era == 0 {
		return value
	}
	return max(value, (era-1)<<eraBits)
}

// FirstTerm returns the first term of an era of the store. Terms of earlier eras are below it.
func FirstTerm(era uint64) uint64 { return raise(0, era) }

// AfterRestore returns a copy of a document, which may be nil, for a store that has come back from a copy and is in a later era. Its
// terms and fencing tokens are above all that coordinators may have used in earlier eras, and it is incomplete.
func AfterRestore(d *Document, era uint64) *Document {
	out := &Document{Services: map[string][]Range{}}
	if d != nil {
		out = d.clone()
	}
	out.Term, out.Fence = raise(out.Term, era), raise(out.Fence, era)
	out.Era = era
	out.Incomplete = true
	return out
}

// clone returns a deep copy of d.
func (d *Document) clone() *Document {
	out := *d
	out.Services = make(map[string][]Range, len(d.Services))
	for name, ranges := range d.Services {
		copied := append([]Range(nil), ranges...)
		for i := range copied {
			copied[i].FormerOwners = append([]FormerOwner(nil), copied[i].FormerOwners...)
		}
		out.Services[name] = copied
	}
	return &out
}

// width returns the number of keys of a span.
func width(s platform.KeyRange) int { return int(s.Last) - int(s.First) + 1 }
