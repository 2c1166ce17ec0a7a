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

// TestHeartbeatsKeepTheAnnouncedInterval checks that each heartbeat follows within
// the interval announced by the previous one, also when a peer stops being a
// successor.
func TestHeartbeatsKeepTheAnnouncedInterval(t *testing.T) {
	timing := host.DefaultTiming()
	c := New(Dependencies{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Timing: timing})
	a := netip.MustParseAddrPort("127.0.0.1:1")
	l := &heartbeatLink{pending: make(chan peer.Heartbeat, 1)}
	c.links[a] = l
	start := time.Unix(1000, 0)
	last, announced := start, timing.SlowInterval
	for i := range 100 {
		now := start.Add(time.Duration(i) * timing.FastInterval)
		fast := i/10%2 == 1
		c.queueHeartbeat(now, a, peer.Heartbeat{}, fast, false)
		select {
		case heartbeat := <-l.pending:
			qt.Assert(t, now.Sub(last) <= announced, qt.IsTrue, qt.Commentf("heartbeat %d followed %s after the previous one, which announced an interval of %s", i, now.Sub(last), announced))
			last, announced = now, heartbeat.Interval
		default:
		}
	}
}

// serveHeartbeats runs a control server that sends received heartbeats to got, and
// returns its address.
func serveHeartbeats(t *testing.T, got chan peer.Heartbeat) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(peer.Handler(peer.Handlers{Heartbeat: func(heartbeat peer.Heartbeat) { got <- heartbeat }}))
	srv := &http.Server{Handler: mux, Protocols: p, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

// TestHeartbeatIsResentAfterStreamEnds checks that the first heartbeat after the
// end of a stream is sent again on a new stream and not lost.
func TestHeartbeatIsResentAfterStreamEnds(t *testing.T) {
	got := make(chan peer.Heartbeat, 1000)
	a := serveHeartbeats(t, got)
	c := New(Dependencies{
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Clients: peer.NewClients(func(int, int) {}),
		Metrics: metric.New(),
	})
	heartbeat := peer.Heartbeat{Sender: host.Host{Name: "a", ControlAddress: a, ForwardAddress: a}, Interval: time.Second}
	streamCtx, end := context.WithCancel(context.Background())
	stream := c.deps.Clients.HeartbeatStream(streamCtx, a)
	qt.Assert(t, stream.Send(heartbeat), qt.IsNil)
	<-got
	end()
	for stream.Send(heartbeat) == nil {
		runtime.Gosched() // repeat until the stream reports its end
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changed := heartbeat
	changed.Versions.Records = 7
	c.sendOrReopen(ctx, a, stream, changed)
	for {
		select {
		case received := <-got:
			if received.Versions == changed.Versions {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the heartbeat after the end of the stream was lost")
		}
	}
}
