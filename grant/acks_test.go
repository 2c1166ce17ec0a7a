package grant

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLateReplyKeepsLaterOrderPending checks that a late reply to an earlier round
// does not end the wait for the reply to a later order that is still in transit.
func TestLateReplyKeepsLaterOrderPending(t *testing.T) {
	c := qt.New(t)
	n, h := newSettledNetwork(variant{})
	earlier, _ := n.round(h, 0, 1, 2, 3)
	n.deliver(h, earlier)
	n.now += 50 * ms
	_, orders := n.round(h) // not delivered to any server yet
	c.Assert(orders, qt.HasLen, 4)
	pending := h.servers["s0"].pendingRound
	c.Assert(pending, qt.Not(qt.Equals), uint64(0))
	n.deliver(h, earlier)
	c.Check(h.servers["s0"].pendingRound, qt.Equals, pending)
	n.deliver(h, map[int]Ack{0: n.handle(0, orders[0], variant{})})
	c.Check(h.servers["s0"].pendingRound, qt.Not(qt.Equals), pending)
}
