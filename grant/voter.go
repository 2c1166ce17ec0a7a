package grant

import (
	"sort"
	"time"
)

// A Voter implements the protocol for a server that checks grants. Its clock is
// the time since the server started, so that a restart cannot be mistaken for a
// long uptime. It is not safe for concurrent use.
type Voter struct {
	incarnation uint64
	term        Term
	round       uint64
	epoch       uint64
	// leases maps shards to the clock readings at which their leases expire.
	leases map[int]time.Duration
}

// NewVoter returns the Voter of a server that has just started.
func NewVoter(incarnation uint64) *Voter {
	return &Voter{incarnation: incarnation, leases: map[int]time.Duration{}}
}

// Handle processes an order at a reading of the server's clock and returns the
// reply.
func (v *Voter) Handle(clock time.Duration, o Order) Ack {
	ack := Ack{Term: v.term, Round: o.Round, Epoch: v.epoch, Incarnation: v.incarnation, Clock: clock}
	if o.Term < v.term || o.Epoch < v.epoch {
		return ack
	}
	v.epoch = o.Epoch
	if o.Term > v.term {
		v.term = o.Term
		v.round = 0
	}
	ack.Accepted = true
	ack.Term = v.term
	ack.Epoch = v.epoch
	if o.Round > v.round {
		v.round = o.Round
		ack.Applied = v.apply(clock, o)
	}
	ack.HeldShards = v.heldShards(clock)
	return ack
}

// apply replaces the leases with those of the order and reports whether it did.
func (v *Voter) apply(clock time.Duration, o Order) bool {
	if !o.ReplaceShards || o.Incarnation != v.incarnation || clock > o.Deadline {
		return false
	}
	clear(v.leases)
	for _, s := range o.Shards {
		v.leases[s] = clock + o.TTL
	}
	return true
}

// Owns reports whether the server has a lease on the shard at a reading of its clock.
func (v *Voter) Owns(clock time.Duration, shard int) bool {
	until, ok := v.leases[shard]
	return ok && clock < until
}

// Term returns the highest term that the server has seen.
func (v *Voter) Term() Term { return v.term }

// heldShards returns the sorted shards with unexpired leases.
func (v *Voter) heldShards(clock time.Duration) []int {
	var out []int
	for s, until := range v.leases {
		if clock < until {
			out = append(out, s)
		}
	}
	sort.Ints(out)
	return out
}
