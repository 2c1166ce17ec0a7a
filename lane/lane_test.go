package lane

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
)

// serveRequests listens on a local address and calls f for each request. n counts
// the requests of all connections from 1.
func serveRequests(t *testing.T, f func(n int32, c net.Conn)) (netip.AddrPort, *atomic.Int32) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	requests := &atomic.Int32{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if strings.TrimSpace(line) == "" {
						f(requests.Add(1), c)
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), requests
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestRoundTripReusesTheConnection(t *testing.T) {
	a, n := serveRequests(t, func(_ int32, c net.Conn) { _, _ = io.WriteString(c, okResponse) })
	p := NewPool(a, 1)
	for range 3 {
		r, err := p.RoundTrip(context.Background(), Request{Method: "GET", Path: "/"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(r.Body), qt.Equals, "ok")
	}
	qt.Assert(t, n.Load(), qt.Equals, int32(3))
	qt.Assert(t, p.CloseIdle(), qt.Equals, 1)
}

// TestNeverSendsTwice closes a reused connection instead of answering the second
// request. hertz by itself would send an idempotent request again on a new
// connection.
func TestNeverSendsTwice(t *testing.T) {
	a, n := serveRequests(t, func(n int32, c net.Conn) {
		if n == 1 {
			_, _ = io.WriteString(c, okResponse)
			return
		}
		_ = c.Close()
	})
	p := NewPool(a, 1)
	_, err := p.RoundTrip(context.Background(), Request{Method: "GET", Path: "/"})
	qt.Assert(t, err, qt.IsNil)
	_, err = p.RoundTrip(context.Background(), Request{Method: "GET", Path: "/"})
	qt.Assert(t, eris.Is(err, ErrConnectionFailed), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, n.Load(), qt.Equals, int32(2))
}

func TestCancelClosesTheConnection(t *testing.T) {
	seen := make(chan struct{})
	closed := make(chan struct{})
	a, _ := serveRequests(t, func(_ int32, c net.Conn) {
		close(seen)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-seen
		cancel()
	}()
	_, err := NewPool(a, 1).RoundTrip(ctx, Request{Method: "GET", Path: "/"})
	qt.Assert(t, eris.Is(err, ErrCanceled), qt.IsTrue, qt.Commentf("%v", err))
	<-closed
}

func TestDeadline(t *testing.T) {
	a, _ := serveRequests(t, func(int32, net.Conn) {})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := NewPool(a, 1).RoundTrip(ctx, Request{Method: "GET", Path: "/"})
	qt.Assert(t, eris.Is(err, ErrTimeout), qt.IsTrue, qt.Commentf("%v", err))
}

func TestShortAnswerIsAnError(t *testing.T) {
	sent := 0
	a, _ := serveRequests(t, func(_ int32, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("half", sent/4))
		_ = c.Close()
	})
	for _, sent = range []int{4, 500_000} {
		_, err := NewPool(a, 1).RoundTrip(context.Background(), Request{Method: "GET", Path: "/"})
		qt.Assert(t, eris.Is(err, ErrConnectionFailed), qt.IsTrue, qt.Commentf("%v", err))
	}
}

func TestConnectionRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	a := netip.MustParseAddrPort(ln.Addr().String())
	_ = ln.Close()
	_, err = NewPool(a, 1).RoundTrip(context.Background(), Request{Method: "GET", Path: "/"})
	qt.Assert(t, eris.Is(err, ErrConnectionRefused), qt.IsTrue)
}
