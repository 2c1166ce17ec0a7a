package cell

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/metric"
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

// serve runs a peer's control server that hands over the heartbeats it gets.
func serve(t *testing.T, address string, got chan peer.Beat) (string, *http.Server) {
	ln, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(peer.Handler(peer.Service{Heartbeat: func(b peer.Beat) { got <- b }}))
	srv := &http.Server{Handler: mux, Protocols: p, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String(), srv
}

// TestHeartbeatSurvivesABrokenStream cuts the stream to a peer: the very next
// heartbeat must arrive, not the one after it.
func TestHeartbeatSurvivesABrokenStream(t *testing.T) {
	got := make(chan peer.Beat, 10)
	address, first := serve(t, "127.0.0.1:0", got)
	c := New(Dependencies{
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Clients: peer.NewClients(func(int, int) {}),
		Metrics: metric.New(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &link{next: make(chan peer.Beat, 1)}
	a := netip.MustParseAddrPort(address)
	go c.send(ctx, a, l)
	beat := peer.Beat{Sender: host.Host{Name: "a", Control: a, Forward: a}, Interval: time.Second}
	l.next <- beat
	<-got
	_ = first.Close()
	serve(t, address, got)
	time.Sleep(50 * time.Millisecond) // lets the client see the end of its connection
	l.next <- beat
	select {
	case <-got:
	case <-time.After(10 * time.Second):
		t.Fatal("the heartbeat after the cut was lost")
	}
}
