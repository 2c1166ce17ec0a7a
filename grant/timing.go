package grant

import "time"

// A Timing holds the periods that ownership depends on.
type Timing struct {
	// Tick is the time between two rounds.
	Tick time.Duration
	// TTL is how long a lease lives after a server took the order.
	TTL time.Duration
	// EvidenceAge is how old the evidence may be under which a holder acts.
	EvidenceAge time.Duration
	// Limit bounds the deadline of orders and requests, counted from the evidence.
	Limit time.Duration
	// OrderWindow bounds the deadline of an order, counted from its sending.
	OrderWindow time.Duration
	// Margin covers the difference of clocks over any of the other periods.
	Margin time.Duration
}

// DefaultTiming returns the timing that serves a shard again within a second of a single loss.
func DefaultTiming() Timing {
	return Timing{
		Tick:        75 * time.Millisecond,
		TTL:         500 * time.Millisecond,
		EvidenceAge: 250 * time.Millisecond,
		Limit:       300 * time.Millisecond,
		OrderWindow: 120 * time.Millisecond,
		Margin:      40 * time.Millisecond,
	}
}

// Wait returns how long after a term stands a lease of an older term can live.
func (t Timing) Wait() time.Duration { return t.Limit + t.TTL + t.Margin }

// Quarantine returns how long a restarted server must not vote.
func (t Timing) Quarantine() time.Duration { return t.EvidenceAge + t.Limit + t.TTL + t.Margin }
