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

	"github.com/redwingtally/redwingtally/platform"
)

// A target may read the body of a request long after its head. Until then the kernel of the host has unacknowledged bytes.
func TestTargetMayReadALongBodyLate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const wait = platform.UnackedTimeout + 1500*time.Millisecond
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if req.ContentLength > 0 {
						time.Sleep(wait)
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					header := http.Header{}
					platform.SetResponseMeta(header, "a", platform.ResponseMeta{ID: platform.ReadRequestMeta(req.Header).ID, Signed: true})
					if (&http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: header}).Write(conn) != nil {
						return
					}
				}
			}()
		}
	}()
	client := New(netip.MustParseAddrPort(ln.Addr().String()), Options{MaxIdle: 1, Spawn: func(f func()) error { go f(); return nil }})
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), wait+5*time.Second)
	defer cancel()
	const size = 8 << 20                                                  // more than the buffers of loopback take
	for _, body := range [][]byte{bytes.Repeat([]byte("x"), size), nil} { // the second request reuses the connection
		id := http.MethodPut
		if body == nil {
			id = http.MethodGet
		}
		header := http.Header{}
		platform.SetRequestMeta(header, platform.RequestMeta{ID: id})
		resp, err := client.Do(ctx, &Request{Method: id, URI: "/", Host: "quotes.example", Header: header, Body: body, Length: int64(len(body)), ID: id})
		c.Assert(err, qt.IsNil, qt.Commentf(id))
		c.Check(resp.Status, qt.Equals, http.StatusOK)
		resp.Close()
	}
}
