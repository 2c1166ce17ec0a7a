package cell

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
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
func serve(t *testing.T, got chan peer.Beat) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(peer.Handler(peer.Service{Heartbeat: func(b peer.Beat) { got <- b }}))
	srv := &http.Server{Handler: mux, Protocols: p, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

// TestHeartbeatSurvivesABrokenStream ends the stream to a peer: the very next
// heartbeat must arrive, not the one after it.
func TestHeartbeatSurvivesABrokenStream(t *testing.T) {
	got := make(chan peer.Beat, 1000)
	a := serve(t, got)
	c := New(Dependencies{
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Clients: peer.NewClients(func(int, int) {}),
		Metrics: metric.New(),
	})
	beat := peer.Beat{Sender: host.Host{Name: "a", Control: a, Forward: a}, Interval: time.Second}
	short, end := context.WithCancel(context.Background())
	stream := c.d.Clients.Beats(short, a)
	qt.Assert(t, stream.Send(beat), qt.IsNil)
	<-got
	end()
	for stream.Send(beat) == nil {
		runtime.Gosched() // until the stream has seen its end
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	news := beat
	news.Versions.Records = 7
	c.sendOne(ctx, a, stream, news)
	for {
		select {
		case b := <-got:
			if b.Versions == news.Versions {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the heartbeat after the end of the stream was lost")
		}
	}
}
