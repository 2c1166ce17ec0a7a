package grant

import "fmt"

// A Term is a fencing token: a voter rejects the orders of a holder once it has
// seen a higher term. The high 32 bits are a counter. The low 32 bits are the
// incarnation of the daemon, so that no two holders use the same term.
type Term uint64

// incarnationBits is the number of low bits that hold the incarnation.
const incarnationBits = 32

// NewTerm returns the term with the given counter and incarnation.
func NewTerm(counter, incarnation uint32) Term {
	return Term(counter)<<incarnationBits | Term(incarnation)
}

// Counter returns the counter of the term.
func (t Term) Counter() uint32 { return uint32(t >> incarnationBits) }

// Incarnation returns the incarnation of the daemon that created the term.
func (t Term) Incarnation() uint32 { return uint32(t) }

// Next returns the next higher term for a daemon with the given incarnation.
func (t Term) Next(incarnation uint32) Term { return NewTerm(t.Counter()+1, incarnation) }

// String returns the term as "counter.incarnation", with the incarnation in
// hexadecimal.
func (t Term) String() string { return fmt.Sprintf("%d.%08x", t.Counter(), t.Incarnation()) }
