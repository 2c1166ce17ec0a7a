package grant

import "time"

// A Timing holds the periods of the ownership protocol.
type Timing struct {
	// Tick is the time between the starts of two rounds.
	Tick time.Duration
	// TTL is the duration of a lease from when the server applies the order.
	TTL time.Duration
	// MaxEvidenceAge is the maximum age of evidence on which a holder acts.
	MaxEvidenceAge time.Duration
	// DeadlineLimit is the maximum time from the evidence to the deadline of orders
	// and to the start of requests.
	DeadlineLimit time.Duration
	// OrderWindow is the maximum time from sending an order to its deadline.
	OrderWindow time.Duration
	// ClockMargin is an upper bound of the clock drift over any of the other periods.
	ClockMargin time.Duration
}

// DefaultTiming returns a timing with which a shard is served again within one
// second after a single failure.
func DefaultTiming() Timing {
	return Timing{
		Tick:           75 * time.Millisecond,
		TTL:            500 * time.Millisecond,
		MaxEvidenceAge: 250 * time.Millisecond,
		DeadlineLimit:  300 * time.Millisecond,
		OrderWindow:    120 * time.Millisecond,
		ClockMargin:    40 * time.Millisecond,
	}
}

// TakeoverWait returns how long leases of older terms can still exist after a
// majority has accepted a new term.
func (t Timing) TakeoverWait() time.Duration { return t.DeadlineLimit + t.TTL + t.ClockMargin }

// VoteDelay returns how long after a restart a server must not vote.
func (t Timing) VoteDelay() time.Duration {
	return t.MaxEvidenceAge + t.DeadlineLimit + t.TTL + t.ClockMargin
}
