package grant

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Directed schedules for rules whose windows are too short for random search.

const ms = time.Millisecond

// bench carries messages by hand between holders and servers, s0 and on.
type bench struct {
	now    time.Duration
	voters []*Voter
	began  []time.Duration
	lives  uint64
}

func newBench(servers int) *bench {
	b := &bench{voters: make([]*Voter, servers), began: make([]time.Duration, servers)}
	for i := range b.voters {
		b.restart(i)
		b.began[i] = -time.Hour
	}
	return b
}

func (b *bench) restart(i int) {
	b.lives++
	b.voters[i] = NewVoter(b.lives)
	b.began[i] = b.now
}

func (b *bench) time() time.Time { return time.Unix(1_000_000, 0).Add(b.now) }

func (b *bench) holder(incarnation uint32, r rules) *Holder {
	return b.holderOf(incarnation, r, "s0", "s1", "s2", "s3")
}

func (b *bench) holderOf(incarnation uint32, r rules, servers ...string) *Holder {
	h := New(Config{Group: "g", Servers: servers, Epoch: 1, Checks: true, Shards: 1, Timing: DefaultTiming(), Incarnation: incarnation})
	h.rules = r
	return h
}

func (b *bench) handle(i int, o Order, r rules) Ack {
	if r.noRounds {
		b.voters[i].round = 0
	}
	if r.noEpochs {
		b.voters[i].epoch = 0
	}
	return b.voters[i].Handle(b.now-b.began[i], o)
}

// round runs a round of h that reaches only some servers, and returns the
// answers, which have not been delivered, and the orders by server.
func (b *bench) round(h *Holder, reach ...int) (map[int]Ack, map[int]Order) {
	acks, orders := map[int]Ack{}, map[int]Order{}
	out := h.Tick(b.time())
	for _, o := range out.Orders {
		orders[serverIndex(o.Server)] = o.Order
	}
	for _, i := range reach {
		if o, ok := orders[i]; ok {
			acks[i] = b.handle(i, o, h.rules)
		}
	}
	return acks, orders
}

func (b *bench) deliver(h *Holder, acks map[int]Ack) {
	for i := range b.voters {
		if a, ok := acks[i]; ok {
			h.ServerAck(b.time(), fmt.Sprintf("s%d", i), a)
		}
	}
}

// rounds runs whole rounds every 50 ms until a time.
func (b *bench) rounds(h *Holder, until time.Duration, reach ...int) {
	for ; b.now < until; b.now += 50 * ms {
		acks, _ := b.round(h, reach...)
		b.deliver(h, acks)
	}
}

func (b *bench) owners() []int {
	var out []int
	for i, v := range b.voters {
		if v.Owns(b.now-b.began[i], 0) {
			out = append(out, i)
		}
	}
	return out
}

// settled returns a bench at two seconds where h1 holds and s0 owns the shard.
func settled(r rules) (*bench, *Holder) {
	b := newBench(4)
	h := b.holder(1, r)
	h.Want([]string{"s0"})
	h.Campaign(b.time())
	b.rounds(h, 2000*ms, 0, 1, 2, 3)
	return b, h
}

// lateOrder: an order to s0 is held up by the network while s0 is cut off; the
// shard lapses and goes to s1; then the order arrives.
func lateOrder(r rules) []int {
	b, h := settled(r)
	_, held := b.round(h, 1, 2, 3)
	b.now += 50 * ms
	h.Want([]string{"s1"})
	b.rounds(h, 3500*ms, 1, 2, 3)
	b.handle(0, held[0], r)
	return b.owners()
}

// crossedOrder: an order that gives s0 the shard is overtaken by rounds in
// which the holder learns that s0 has nothing and gives the shard to s1.
func crossedOrder(r rules) []int {
	b, h := settled(r)
	h.Want([]string{""})
	b.rounds(h, 3000*ms, 0, 1, 2, 3)
	h.Want([]string{"s0"})
	_, held := b.round(h)
	h.Want([]string{"s1"})
	for range 4 {
		b.now += 20 * ms
		acks, _ := b.round(h, 0, 1, 2, 3)
		b.deliver(h, acks)
	}
	b.handle(0, held[0], r)
	return b.owners()
}

// takeover: h1 is cut off from s0, whose lease runs out by itself. A second
// holder fences s0, s2 and s3, finds the lease alive and extends it. restart
// makes s2 and s3 forget the second term. late holds up the answers of h1's
// last round. Then h1 tries to give the shard to s1, which only it reaches.
func takeover(r rules, restart, late bool) []int {
	b, h1 := settled(r)
	began := b.now
	_, _ = b.round(h1, 1, 2, 3) // the order to s0 is lost, its fate unknown
	h1.Want([]string{"s1"})
	b.now += 50 * ms
	b.rounds(h1, began+350*ms, 1, 2, 3)
	b.now = began + 420*ms
	acks, _ := b.round(h1, 1, 2, 3)
	if !late {
		b.deliver(h1, acks)
	}
	h2 := b.holder(2, rules{})
	h2.Seen(h1.Term())
	h2.Want([]string{"s0"})
	b.now = began + 425*ms
	h2.Campaign(b.time())
	for range 3 {
		b.now += 5 * ms
		a, _ := b.round(h2, 0, 2, 3)
		b.deliver(h2, a)
	}
	if restart {
		b.restart(2)
		b.restart(3)
		b.now = began + 500*ms
		a, _ := b.round(h1, 1, 2, 3)
		b.deliver(h1, a)
	}
	for b.now < began+665*ms {
		b.now += 15 * ms
		a, _ := b.round(h2, 0)
		b.deliver(h2, a)
	}
	b.now = began + 666*ms
	if late {
		b.deliver(h1, acks)
		a, _ := b.round(h1, 1)
		b.deliver(h1, a)
	}
	if restart {
		a, _ := b.round(h1, 1, 2, 3)
		b.deliver(h1, a)
		b.now += 5 * ms
	}
	_, _ = b.round(h1, 1)
	return b.owners()
}

// splitVote: h1 holds with three servers; a second holder reaches only s3.
func splitVote(r rules) []int {
	b, h1 := settled(r)
	h2 := b.holder(2, r)
	h2.Seen(h1.Term())
	h2.Want([]string{"s3"})
	h2.Campaign(b.time())
	for end := b.now + 3000*ms; b.now < end; b.now += 50 * ms {
		a1, _ := b.round(h1, 0, 1, 2)
		b.deliver(h1, a1)
		a2, _ := b.round(h2, 3)
		b.deliver(h2, a2)
	}
	return b.owners()
}

// staleVoters: the set of voters changes step by step from s0, s1, s2 to s3, s4,
// s5; then a daemon that knows only the first set seeks the group.
func staleVoters(r rules) []int {
	b := newBench(6)
	all := []int{0, 1, 2, 3, 4, 5}
	h1 := b.holderOf(1, rules{}, "s0", "s1", "s2")
	h1.Want([]string{"s2"})
	h1.Campaign(b.time())
	b.rounds(h1, 2000*ms, all...)
	steps := [][]string{
		{"s0", "s1", "s2", "s3"}, {"s0", "s1", "s2", "s3", "s4"}, {"s0", "s1", "s2", "s3", "s4", "s5"},
		{"s1", "s2", "s3", "s4", "s5"}, {"s2", "s3", "s4", "s5"}, {"s3", "s4", "s5"},
	}
	h1.Want([]string{"s3"})
	for i, names := range steps {
		h1.Reconfigure(b.time(), uint64(i+2), names)
		b.rounds(h1, b.now+2000*ms, all...)
	}
	h2 := b.holderOf(2, r, "s0", "s1", "s2")
	h2.Seen(h1.Term())
	h2.Want([]string{"s0"})
	h2.Campaign(b.time())
	for end := b.now + 3000*ms; b.now < end; b.now += 50 * ms {
		a1, _ := b.round(h1, 3, 4, 5)
		b.deliver(h1, a1)
		a2, _ := b.round(h2, 0, 1, 2)
		b.deliver(h2, a2)
	}
	return b.owners()
}

func TestDirectedSchedules(t *testing.T) {
	tests := []struct {
		name     string
		rules    rules
		schedule func(rules) []int
	}{
		{"R1 majority", rules{anyMajority: true}, splitVote},
		{"epochs of voters", rules{noEpochs: true}, staleVoters},
		{"R2 order of rounds", rules{noRounds: true}, crossedOrder},
		{"R3 fresh evidence for a move", rules{staleMove: true}, func(r rules) []int { return takeover(r, false, false) }},
		{"R3 evidence dated by the asking", rules{arrivalDates: true}, func(r rules) []int { return takeover(r, false, true) }},
		{"R4 deadlines on orders", rules{noDeadline: true}, lateOrder},
		{"R5 quarantine of restarted voters", rules{youngVoters: true}, func(r rules) []int { return takeover(r, true, false) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(len(test.schedule(rules{})) <= 1, qt.IsTrue, qt.Commentf("with all rules: %v", test.schedule(rules{})))
			c.Assert(test.schedule(test.rules), qt.HasLen, 2)
		})
	}
}
