package exchange

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/platform"
)

// A probe that opens a connection adds it to the pool. One whose connection is closed at
// once, or refused, fails.
func TestProbe(t *testing.T) {
	accept := func(handle func(*net.TCPConn)) netip.AddrPort {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				handle(c.(*net.TCPConn))
			}
		}()
		return netip.MustParseAddrPort(ln.Addr().String())
	}
	var open []*net.TCPConn // keeps the connections from being collected
	resetWhileOpening := func(context.Context, netip.AddrPort, time.Duration) (*net.TCPConn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET}
	}
	tests := []struct {
		name    string
		address netip.AddrPort
		dial    platform.DialFunc
		want    error
	}{
		{"stays open", accept(func(c *net.TCPConn) { open = append(open, c) }), nil, nil},
		{"reset at once", accept(func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}), nil, ErrClosedAtOnce},
		{"reset before the dialer notices", ports.Free(t), resetWhileOpening, ErrClosedAtOnce},
		{"closed at once", accept(func(c *net.TCPConn) { _ = c.Close() }), nil, ErrClosedAtOnce},
		{"refused", ports.Free(t), nil, ErrNoListener},
	}
	for _, test := range tests {
		c := qt.New(t)
		client := New(test.address, Options{MaxIdle: 1, Dial: test.dial})
		err := client.Probe(context.Background())
		c.Check(eris.Is(err, test.want), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
		c.Check(MayHaveRun(err) && err != nil, qt.IsFalse, qt.Commentf("%s", test.name))
		c.Check(client.HasIdle(), qt.Equals, test.want == nil, qt.Commentf("%s", test.name))
		client.Close()
	}
}
