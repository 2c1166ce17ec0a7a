package coordination

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/ownership"
)

// startSilentTarget starts a target that reads orders and never answers. It sends on began for each connection on which an
// order has arrived, and on reset when the connection ends.
func startSilentTarget(t *testing.T, began, reset chan<- time.Time) netip.AddrPort {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				buffer := make([]byte, 4096)
				for n := 0; ; n++ {
					if _, err := conn.Read(buffer); err != nil {
						reset <- time.Now()
						_ = conn.Close()
						return
					}
					if n == 0 {
						began <- time.Now()
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// orderMargin is what a successor adds to the hold of a grant that may have been sent just before its predecessor stopped.
const orderMargin = 150 * time.Millisecond

// A coordinator that resigns resets the connections of its unanswered orders, so that none arrives after the end of a
// partition. A successor that does not wait for the lease adds orderMargin to their hold.
func TestResigningResetsUnansweredOrders(t *testing.T) {
	const orders = 20
	c := qt.New(t)
	l := newTestLeader()
	attachStore(t, l)
	began, reset := make(chan time.Time, 100), make(chan time.Time, 100)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.cancel = cancel
	for i := range orders {
		o := ownership.Order{To: ownership.Incarnation{Name: "a", Address: startSilentTarget(t, began, reset)}, Fence: uint64(i + 1), HoldTime: HoldTime}
		go l.sendBatch(ctx, []ownership.Order{o})
	}
	for range orders {
		<-began
	}
	start := time.Now()
	l.resign()
	vacated := time.Since(start)
	last := time.Duration(0)
	for range orders {
		last = max(last, (<-reset).Sub(start))
	}
	t.Logf("document vacated after %s, last order reset after %s", vacated, last)
	c.Check(last < ownership.GrantTimeout && last-vacated < orderMargin, qt.IsTrue, qt.Commentf("document vacated after %s, last order reset after %s", vacated, last))
}
