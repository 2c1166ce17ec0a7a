package cell

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/peer"
)

// TestEveryHeartbeatKeepsItsPromise checks that the next heartbeat follows
// within the interval that the last one promised, also when a peer is no
// successor any more.
func TestEveryHeartbeatKeepsItsPromise(t *testing.T) {
	timing := host.DefaultTiming()
	c := New(Dependencies{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Timing: timing})
	a := netip.MustParseAddrPort("127.0.0.1:1")
	l := &link{next: make(chan peer.Beat, 1)}
	c.links[a] = l
	start := time.Unix(1000, 0)
	last, promised := start, timing.Slow
	for i := range 100 {
		now := start.Add(time.Duration(i) * timing.Interval)
		fast := i/10%2 == 1
		c.beatOne(now, a, peer.Beat{}, fast, false)
		select {
		case b := <-l.next:
			qt.Assert(t, now.Sub(last) <= promised, qt.IsTrue, qt.Commentf("heartbeat %d came %s after the last, which promised %s", i, now.Sub(last), promised))
			last, promised = now, b.Interval
		default:
		}
	}
}
