package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/redwingtally/redwingtally/platform"
)

// slowReader is a target that reads a body late, with a small receive buffer.
type slowReader struct {
	wait  time.Duration // from the head to the body
	early bool          // responds before it reads the body
}

// serve serves the requests on a connection.
func (s slowReader) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if conn.(*net.TCPConn).SetReadBuffer(64<<10) != nil {
		return
	}
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		header := http.Header{}
		platform.SetResponseMeta(header, "a", platform.ResponseMeta{ID: platform.ReadRequestMeta(req.Header).ID, Signed: true})
		response := &http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: header}
		if s.early && response.Write(conn) != nil {
			return
		}
		if req.ContentLength > 0 {
			time.Sleep(s.wait)
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !s.early && response.Write(conn) != nil {
			return
		}
	}
}

// client returns a client of the target.
func (s slowReader) client(c *qt.C) *Client {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	client := New(netip.MustParseAddrPort(ln.Addr().String()), Options{MaxIdle: 1, Spawn: func(f func()) error { go f(); return nil }})
	c.Cleanup(client.Close)
	return client
}

// send sends a request with a body of the given size, and returns the response.
func send(ctx context.Context, c *qt.C, client *Client, id string, size int) *Response {
	header := http.Header{}
	platform.SetRequestMeta(header, platform.RequestMeta{ID: id})
	resp, err := client.Do(ctx, &Request{
		Method: http.MethodPut, URI: "/", Host: "quotes.example", Header: header, Body: bytes.Repeat([]byte("x"), size), Length: int64(size), ID: id,
	})
	c.Assert(err, qt.IsNil, qt.Commentf(id))
	c.Check(resp.Status, qt.Equals, http.StatusOK)
	resp.Close()
	return resp
}

// idleConnection returns the connection in the pool, once there is one.
func idleConnection(ctx context.Context, c *qt.C, client *Client) *conn {
	for !client.HasIdle() {
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(10 * time.Millisecond) // polls the pool
	}
	idle, reused, err := client.pool.Take(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(reused, qt.IsTrue)
	client.pool.Put(idle)
	return idle
}

// A target may read the body of a request long after its head. Until then the kernel of the host has unacknowledged bytes.
func TestTargetMayReadALongBodyLate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const wait = platform.UnackedTimeout + 1500*time.Millisecond
	client := slowReader{wait: wait}.client(c)
	ctx, cancel := context.WithTimeout(context.Background(), wait+5*time.Second)
	defer cancel()
	send(ctx, c, client, "long", 1<<20)
	raw, err := idleConnection(ctx, c, client).SyscallConn()
	c.Assert(err, qt.IsNil)
	timeout := 0
	c.Assert(raw.Control(func(fd uintptr) { timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }), qt.IsNil)
	c.Assert(err, qt.IsNil)
	c.Check(timeout, qt.Equals, int(platform.UnackedTimeout.Milliseconds()), qt.Commentf("of the idle connection"))
	c.Check(send(ctx, c, client, "next", 0).Reused, qt.IsTrue)
}

// A connection on which a target has responded before it read the body carries no request until it has read it.
func TestNoRequestWaitsBehindAnUnreadBody(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const wait = platform.UnackedTimeout + 1500*time.Millisecond
	client := slowReader{wait: wait, early: true}.client(c)
	ctx, cancel := context.WithTimeout(context.Background(), wait+5*time.Second)
	defer cancel()
	send(ctx, c, client, "long", 1<<20)
	began := time.Now()
	c.Check(send(ctx, c, client, "other", 0).Reused, qt.IsFalse)
	c.Check(time.Since(began) < wait/2, qt.IsTrue)
}
