package edge_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// A cutMode is the way in which a host loses its targets.
type cutMode int

const (
	// intact means that the host reaches its targets.
	intact cutMode = iota
	// hang lets no byte pass, and new connections do not open.
	hang
	// reset resets the open connections and each new one.
	reset
	// refuseNew refuses new connections; the open ones live on.
	refuseNew
	// refuse resets the open connections and refuses new ones.
	refuse
)

func (m cutMode) String() string {
	return [...]string{"intact", "hang", "reset", "refuse new", "refuse"}[m]
}

// A targetNetwork is the path from one host to its targets. Each connection goes
// through a proxy of the test, which can hang or reset it.
type targetNetwork struct {
	tb testing.TB

	mu      sync.Mutex
	mode    cutMode
	changed chan struct{} // closed when mode changes
	links   map[*link]struct{}
	dials   []time.Time // when connections were asked for
}

// newTargetNetwork returns an intact network that ends with its test.
func newTargetNetwork(tb testing.TB) *targetNetwork {
	n := &targetNetwork{tb: tb, changed: make(chan struct{}), links: map[*link]struct{}{}}
	tb.Cleanup(func() {
		n.setMode(reset)
	})
	return n
}

// setMode changes the mode, and resets the open connections if that belongs to it.
func (n *targetNetwork) setMode(m cutMode) {
	n.mu.Lock()
	n.mode = m
	close(n.changed)
	n.changed = make(chan struct{})
	var cut []*link
	if m == reset || m == refuse {
		for l := range n.links {
			cut = append(cut, l)
		}
	}
	n.mu.Unlock()
	for _, l := range cut {
		l.reset()
	}
}

// state returns the mode, and a channel that is closed when it changes.
func (n *targetNetwork) state() (cutMode, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode, n.changed
}

// dialsSince returns how many connections the host has asked for since a time.
func (n *targetNetwork) dialsSince(start time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, at := range n.dials {
		if !at.Before(start) {
			count++
		}
	}
	return count
}

// dial opens a connection to a target. It is a platform.DialFunc.
func (n *targetNetwork) dial(ctx context.Context, address netip.AddrPort, timeout time.Duration) (*net.TCPConn, error) {
	n.mu.Lock()
	n.dials = append(n.dials, time.Now())
	n.mu.Unlock()
	failure := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp4", Addr: net.TCPAddrFromAddrPort(address), Err: err}
	}
	switch mode, _ := n.state(); mode {
	case hang:
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return nil, failure(os.ErrDeadlineExceeded)
	case reset:
		return nil, failure(syscall.ECONNRESET)
	case refuse, refuseNew:
		return nil, failure(syscall.ECONNREFUSED)
	}
	target, err := platform.Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	host, proxy, err := loopbackPair(ctx, timeout)
	if err != nil {
		_ = target.Close()
		return nil, err
	}
	l := &link{network: n, host: proxy, target: target}
	n.mu.Lock()
	n.links[l] = struct{}{}
	mode := n.mode
	n.mu.Unlock()
	if mode == reset || mode == refuse {
		l.reset()
		return host, nil
	}
	go l.pump(target, proxy)
	go l.pump(proxy, target)
	return host, nil
}

// loopbackPair returns the two ends of a connection.
func loopbackPair(ctx context.Context, timeout time.Duration) (*net.TCPConn, *net.TCPConn, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = ln.Close() }()
	near, err := platform.Dial(ctx, netip.MustParseAddrPort(ln.Addr().String()), timeout)
	if err != nil {
		return nil, nil, err
	}
	far, err := ln.Accept()
	if err != nil {
		_ = near.Close()
		return nil, nil, err
	}
	return near, far.(*net.TCPConn), nil
}

// A link is one connection between a host and a target.
type link struct {
	network      *targetNetwork
	host, target *net.TCPConn
	closed       sync.Once
}

// reset closes both ends with a reset.
func (l *link) reset() {
	l.closed.Do(func() {
		l.network.mu.Lock()
		delete(l.network.links, l)
		l.network.mu.Unlock()
		for _, c := range []*net.TCPConn{l.host, l.target} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})
}

// pump passes bytes from src to dst. Bytes that hang are lost when their sender closes
// the connection, as platform.Dial discards them.
func (l *link) pump(dst, src *net.TCPConn) {
	chunks := make(chan []byte, 64)
	var broken atomic.Bool
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 16<<10)
			n, err := src.Read(buffer)
			if n > 0 {
				chunks <- buffer[:n]
			}
			if err != nil {
				broken.Store(!errors.Is(err, io.EOF))
				return
			}
		}
	}()
	for {
		chunk, ok := <-chunks
		timely := l.awaitPassage(ok)
		if !ok && !broken.Load() {
			_ = dst.CloseWrite()
			return
		}
		if ok && timely && !broken.Load() {
			if _, err := dst.Write(chunk); err == nil {
				continue
			}
		}
		l.reset()
		for range chunks {
			continue // until the reader ends
		}
		return
	}
}

// awaitPassage waits while the network hangs. Bytes wait for platform.UnackedTimeout at
// most, and then it returns false.
func (l *link) awaitPassage(bytes bool) bool {
	var expired <-chan time.Time
	if bytes {
		expired = time.After(platform.UnackedTimeout)
	}
	for {
		mode, changed := l.network.state()
		if mode != hang {
			return true
		}
		select {
		case <-changed:
		case <-expired:
			return false
		}
	}
}

// cutOffTargets cuts one host off from all targets. The harness needs withTargetNetworks.
func (h *harness) cutOffTargets(host int, mode cutMode) {
	qt.Assert(h.tb, h.networks, qt.HasLen, len(h.edges))
	h.networks[host].setMode(mode)
}

// restoreTargets ends the cut of a host.
func (h *harness) restoreTargets(host int) { h.cutOffTargets(host, intact) }

// withTargetNetworks lets the test cut hosts off from the targets.
func withTargetNetworks(h *harness) { h.networked = true }

// The network of the harness fails in each way as it is told, and works again after it.
func TestTargetNetwork(t *testing.T) {
	c := qt.New(t)
	echo, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	address := netip.MustParseAddrPort(echo.Addr().String())
	const wait = 200 * time.Millisecond
	exchange := func(conn *net.TCPConn) error {
		_ = conn.SetDeadline(time.Now().Add(wait))
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	tests := []struct {
		mode cutMode
		live error // of an exchange on an open connection; nil means that it works
		dial error
	}{
		{hang, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{reset, syscall.ECONNRESET, syscall.ECONNRESET},
		{refuseNew, nil, syscall.ECONNREFUSED},
		{refuse, syscall.ECONNRESET, syscall.ECONNREFUSED},
	}
	for _, test := range tests {
		comment := qt.Commentf("%s", test.mode)
		n := newTargetNetwork(t)
		live, err := n.dial(context.Background(), address, wait)
		c.Assert(err, qt.IsNil, comment)
		c.Assert(exchange(live), qt.IsNil, comment)
		n.setMode(test.mode)
		time.Sleep(10 * time.Millisecond) // a reset takes a moment to arrive
		err = exchange(live)
		if test.live == nil {
			c.Check(err, qt.IsNil, comment)
		} else {
			c.Check(errors.Is(err, test.live), qt.IsTrue, qt.Commentf("%s: %v", test.mode, err))
		}
		_, err = n.dial(context.Background(), address, wait)
		c.Check(errors.Is(err, test.dial), qt.IsTrue, qt.Commentf("%s: %v", test.mode, err))
		n.setMode(intact)
		again, err := n.dial(context.Background(), address, wait)
		c.Assert(err, qt.IsNil, comment)
		c.Check(exchange(again), qt.IsNil, comment)
	}
}

// The harness cuts one host off from the targets, and the other host goes on.
func TestHarnessCutsOneHostOff(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 2, withTargetNetworks, withoutRelays)
	h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{route("stock", "/items/", platform.Idempotent)}, plain("stock"))
	h.waitServing(0, "/items/1")
	h.waitServing(1, "/items/1")
	for _, mode := range []cutMode{hang, reset, refuse} {
		h.cutOffTargets(0, mode)
		began := time.Now()
		c.Check(h.do(call{host: 0, path: "/items/1"}).status, qt.Not(qt.Equals), http.StatusOK, qt.Commentf("%s", mode))
		c.Check(h.do(call{host: 1, path: "/items/1"}).status, qt.Equals, http.StatusOK, qt.Commentf("%s", mode))
		h.restoreTargets(0)
		h.waitServing(0, "/items/1")
		c.Check(h.networks[0].dialsSince(began) > 0, qt.IsTrue, qt.Commentf("%s", mode))
	}
}
