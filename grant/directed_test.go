package grant

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The schedules in this file show violations that need an interleaving too short
// for random faults to hit.

const ms = time.Millisecond

// network delivers messages between holders and servers, under control of the
// test. The servers are named s0, s1 and so on.
type network struct {
	now          time.Duration
	voters       []*Voter
	startedAt    []time.Duration
	incarnations uint64
}

func newNetwork(servers int) *network {
	n := &network{voters: make([]*Voter, servers), startedAt: make([]time.Duration, servers)}
	for i := range n.voters {
		n.restart(i)
		n.startedAt[i] = -time.Hour
	}
	return n
}

// restart replaces a server by a new incarnation.
func (n *network) restart(i int) {
	n.incarnations++
	n.voters[i] = NewVoter(n.incarnations)
	n.startedAt[i] = n.now
}

func (n *network) time() time.Time { return time.Unix(1_000_000, 0).Add(n.now) }

func (n *network) holder(incarnation uint32, v variant) *Holder {
	return n.holderWithServers(incarnation, v, "s0", "s1", "s2", "s3")
}

func (n *network) holderWithServers(incarnation uint32, v variant, servers ...string) *Holder {
	h := New(Config{Group: "g", Servers: servers, Epoch: 1, ChecksGrants: true, Shards: 1, Timing: DefaultTiming(), Incarnation: incarnation})
	h.variant = v
	return h
}

func (n *network) handle(i int, o Order, v variant) Ack {
	if v.ignoreRounds {
		n.voters[i].round = 0
	}
	if v.ignoreEpochs {
		n.voters[i].epoch = 0
	}
	return n.voters[i].Handle(n.now-n.startedAt[i], o)
}

// round starts a round of h and delivers its orders to the servers in reach. It
// returns the replies, which are not delivered, and all orders, by server index.
func (n *network) round(h *Holder, reach ...int) (map[int]Ack, map[int]Order) {
	acks, orders := map[int]Ack{}, map[int]Order{}
	out := h.Tick(n.time())
	for _, o := range out.Orders {
		orders[serverIndex(o.Server)] = o.Order
	}
	for _, i := range reach {
		if o, ok := orders[i]; ok {
			acks[i] = n.handle(i, o, h.variant)
		}
	}
	return acks, orders
}

func (n *network) deliver(h *Holder, acks map[int]Ack) {
	for i := range n.voters {
		if a, ok := acks[i]; ok {
			h.ServerAck(n.time(), fmt.Sprintf("s%d", i), a)
		}
	}
}

// runRounds runs a round every 50 ms until a time and delivers all replies.
func (n *network) runRounds(h *Holder, until time.Duration, reach ...int) {
	for ; n.now < until; n.now += 50 * ms {
		acks, _ := n.round(h, reach...)
		n.deliver(h, acks)
	}
}

// owners returns the servers that have a lease on shard 0.
func (n *network) owners() []int {
	var out []int
	for i, v := range n.voters {
		if v.Owns(n.now-n.startedAt[i], 0) {
			out = append(out, i)
		}
	}
	return out
}

// newSettledNetwork returns a network at a time of two seconds, and a holder of
// the group under which s0 owns the shard.
func newSettledNetwork(v variant) (*network, *Holder) {
	n := newNetwork(4)
	h := n.holder(1, v)
	h.SetAssignment([]string{"s0"})
	h.Campaign(n.time())
	n.runRounds(h, 2000*ms, 0, 1, 2, 3)
	return n, h
}

// delayedOrder delays an order to s0 while s0 is partitioned from the holder. The
// lease expires and the shard is assigned to s1; then the order arrives.
func delayedOrder(v variant) []int {
	n, h := newSettledNetwork(v)
	_, delayed := n.round(h, 1, 2, 3)
	n.now += 50 * ms
	h.SetAssignment([]string{"s1"})
	n.runRounds(h, 3500*ms, 1, 2, 3)
	n.handle(0, delayed[0], v)
	return n.owners()
}

// overtakenOrder delays an order that assigns the shard to s0. In later rounds,
// s0 reports no lease and the holder assigns the shard to s1; then the order
// arrives.
func overtakenOrder(v variant) []int {
	n, h := newSettledNetwork(v)
	h.SetAssignment([]string{""})
	n.runRounds(h, 3000*ms, 0, 1, 2, 3)
	h.SetAssignment([]string{"s0"})
	_, delayed := n.round(h)
	h.SetAssignment([]string{"s1"})
	for range 4 {
		n.now += 20 * ms
		acks, _ := n.round(h, 0, 1, 2, 3)
		n.deliver(h, acks)
	}
	n.handle(0, delayed[0], v)
	return n.owners()
}

// takeover partitions h1 from s0, whose lease is about to expire. A second holder
// gets the votes of s0, s2 and s3, finds the lease unexpired and renews it. Then
// h1 tries to assign the shard to s1, which only h1 reaches. If restart is set, s2
// and s3 restart and forget the second term. If late is set, the replies to h1's
// last round are delayed.
func takeover(v variant, restart, late bool) []int {
	n, h1 := newSettledNetwork(v)
	base := n.now
	_, _ = n.round(h1, 1, 2, 3) // the order to s0 is lost; its outcome is unknown to h1
	h1.SetAssignment([]string{"s1"})
	n.now += 50 * ms
	n.runRounds(h1, base+350*ms, 1, 2, 3)
	n.now = base + 420*ms
	acks, _ := n.round(h1, 1, 2, 3)
	if !late {
		n.deliver(h1, acks)
	}
	h2 := n.holder(2, variant{})
	h2.ObserveTerm(h1.Term())
	h2.SetAssignment([]string{"s0"})
	n.now = base + 425*ms
	h2.Campaign(n.time())
	for range 3 {
		n.now += 5 * ms
		a, _ := n.round(h2, 0, 2, 3)
		n.deliver(h2, a)
	}
	if restart {
		n.restart(2)
		n.restart(3)
		n.now = base + 500*ms
		a, _ := n.round(h1, 1, 2, 3)
		n.deliver(h1, a)
	}
	for n.now < base+665*ms {
		n.now += 15 * ms
		a, _ := n.round(h2, 0)
		n.deliver(h2, a)
	}
	n.now = base + 666*ms
	if late {
		n.deliver(h1, acks)
		a, _ := n.round(h1, 1)
		n.deliver(h1, a)
	}
	if restart {
		a, _ := n.round(h1, 1, 2, 3)
		n.deliver(h1, a)
		n.now += 5 * ms
	}
	_, _ = n.round(h1, 1)
	return n.owners()
}

// splitVote runs two holders: h1 reaches three servers, the second only s3.
func splitVote(v variant) []int {
	n, h1 := newSettledNetwork(v)
	h2 := n.holder(2, v)
	h2.ObserveTerm(h1.Term())
	h2.SetAssignment([]string{"s3"})
	h2.Campaign(n.time())
	for end := n.now + 3000*ms; n.now < end; n.now += 50 * ms {
		a1, _ := n.round(h1, 0, 1, 2)
		n.deliver(h1, a1)
		a2, _ := n.round(h2, 3)
		n.deliver(h2, a2)
	}
	return n.owners()
}

// outdatedVoterSet changes the set of voters from s0, s1, s2 to s3, s4, s5, one
// server at a time. Then a daemon campaigns that has only seen the first set.
func outdatedVoterSet(v variant) []int {
	n := newNetwork(6)
	all := []int{0, 1, 2, 3, 4, 5}
	h1 := n.holderWithServers(1, variant{}, "s0", "s1", "s2")
	h1.SetAssignment([]string{"s2"})
	h1.Campaign(n.time())
	n.runRounds(h1, 2000*ms, all...)
	steps := [][]string{
		{"s0", "s1", "s2", "s3"}, {"s0", "s1", "s2", "s3", "s4"}, {"s0", "s1", "s2", "s3", "s4", "s5"},
		{"s1", "s2", "s3", "s4", "s5"}, {"s2", "s3", "s4", "s5"}, {"s3", "s4", "s5"},
	}
	h1.SetAssignment([]string{"s3"})
	for i, names := range steps {
		h1.Reconfigure(n.time(), uint64(i+2), names)
		n.runRounds(h1, n.now+2000*ms, all...)
	}
	h2 := n.holderWithServers(2, v, "s0", "s1", "s2")
	h2.ObserveTerm(h1.Term())
	h2.SetAssignment([]string{"s0"})
	h2.Campaign(n.time())
	for end := n.now + 3000*ms; n.now < end; n.now += 50 * ms {
		a1, _ := n.round(h1, 3, 4, 5)
		n.deliver(h1, a1)
		a2, _ := n.round(h2, 0, 1, 2)
		n.deliver(h2, a2)
	}
	return n.owners()
}

func TestDirectedSchedules(t *testing.T) {
	tests := []struct {
		name     string
		variant  variant
		schedule func(variant) []int
	}{
		{"R1 majority", variant{singleVote: true}, splitVote},
		{"epochs of voters", variant{ignoreEpochs: true}, outdatedVoterSet},
		{"R2 order of rounds", variant{ignoreRounds: true}, overtakenOrder},
		{"R3 new evidence for a move", variant{moveOnStaleEvidence: true}, func(v variant) []int { return takeover(v, false, false) }},
		{"R3 evidence dated by the start of the round", variant{dateByArrival: true}, func(v variant) []int { return takeover(v, false, true) }},
		{"R4 deadlines on orders", variant{noDeadline: true}, delayedOrder},
		{"R5 vote delay of restarted voters", variant{voteAfterRestart: true}, func(v variant) []int { return takeover(v, true, false) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(len(test.schedule(variant{})) <= 1, qt.IsTrue, qt.Commentf("owners with all rules enabled: %v", test.schedule(variant{})))
			c.Assert(test.schedule(test.variant), qt.HasLen, 2)
		})
	}
}
