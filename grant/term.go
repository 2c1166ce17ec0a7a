package grant

import "fmt"

// A Term is a fence: a holder's orders count only while no voter has seen a
// higher one. The high half counts, the low half is the incarnation of the
// daemon, so that no two holders ever use the same term.
type Term uint64

// incarnationBits is the size of the low half.
const incarnationBits = 32

// NewTerm returns the term with a counter and an incarnation.
func NewTerm(counter, incarnation uint32) Term {
	return Term(counter)<<incarnationBits | Term(incarnation)
}

// Counter returns the high half.
func (t Term) Counter() uint32 { return uint32(t >> incarnationBits) }

// Incarnation returns the low half.
func (t Term) Incarnation() uint32 { return uint32(t) }

// After returns a term of incarnation that is higher than t.
func (t Term) After(incarnation uint32) Term { return NewTerm(t.Counter()+1, incarnation) }

// String returns the term as counter.incarnation.
func (t Term) String() string { return fmt.Sprintf("%d.%08x", t.Counter(), t.Incarnation()) }
