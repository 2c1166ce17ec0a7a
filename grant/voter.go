package grant

import (
	"sort"
	"time"
)

// A Voter is the rule that a checking server follows. Its clock counts from the
// start of the server, so that a restart is never mistaken for a longer life.
// It is not safe for concurrent use.
type Voter struct {
	incarnation uint64
	term        Term
	round       uint64
	epoch       uint64
	leases      map[int]time.Duration
}

// NewVoter returns the Voter of a server that has just started.
func NewVoter(incarnation uint64) *Voter {
	return &Voter{incarnation: incarnation, leases: map[int]time.Duration{}}
}

// Handle applies an order at a reading of the server's clock.
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
	ack.Live = v.live(clock)
	return ack
}

func (v *Voter) apply(clock time.Duration, o Order) bool {
	if !o.Set || o.Incarnation != v.incarnation || clock > o.Before {
		return false
	}
	clear(v.leases)
	for _, s := range o.Shards {
		v.leases[s] = clock + o.TTL
	}
	return true
}

// Owns reports whether the server holds the shard at a reading of its clock.
func (v *Voter) Owns(clock time.Duration, shard int) bool {
	until, ok := v.leases[shard]
	return ok && clock < until
}

// Term returns the highest term that the server has seen.
func (v *Voter) Term() Term { return v.term }

func (v *Voter) live(clock time.Duration) []int {
	var out []int
	for s, until := range v.leases {
		if clock < until {
			out = append(out, s)
		}
	}
	sort.Ints(out)
	return out
}
