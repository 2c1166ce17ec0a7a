package edge_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// The host waited for ever for the rest of a streamed body, or for a caller to read, while it held the connection and the request.
func TestCallersThatStopLoseTheirConnections(t *testing.T) {
	tests := []struct {
		name string
		text string // the beginning of the request
		body string
	}{
		{"streamed body with a length", "POST /holders/1 HTTP/1.1\r\nHost: quotes.example\r\nContent-Length: 2000000\r\n", strings.Repeat("x", 3<<19)},
		{"streamed chunked body", "POST /holders/1 HTTP/1.1\r\nHost: quotes.example\r\nTransfer-Encoding: chunked\r\n", "200000\r\n" + strings.Repeat("x", 3<<19)},
		{"response that is not read", "GET /holders/1 HTTP/1.1\r\nHost: quotes.example\r\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newHarness(t, 1)
			large := make([]byte, 16<<20) // more than the kernel buffers
			h.handlerTarget("a", "stock", func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				if id := platform.ReadRequestMeta(r.Header).ID; err == nil && id == "stops" {
					_, _ = w.Write(large) // the host closes the connection
				}
			})
			h.configure([]platform.Route{
				route("stock", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout, r.Objective = time.Second, time.Second }),
			}, plain("stock"))
			h.waitServing(0, "/holders/1")
			conn, err := net.Dial("tcp4", h.settings[0].EntryAddress.String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			c.Assert(conn.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil)
			header := http.Header{}
			platform.SetRequestMeta(header, platform.RequestMeta{ID: "stops", Timeout: callerTimeout})
			var lines strings.Builder
			c.Assert(header.Write(&lines), qt.IsNil)
			_, err = io.WriteString(conn, test.text+lines.String()+"\r\n"+test.body)
			c.Assert(err, qt.IsNil)
			h.eventually("request is in progress", func() bool { return h.edges[0].ActiveRequests() > 0 })
			h.eventually("request has ended", func() bool { return h.edges[0].ActiveRequests() == 0 && h.edges[0].CallerConns() == 0 })
		})
	}
}

// Limits of the configuration on headers were not applied: callers got 64 kB and 10 s.
func TestConfiguredHeaderLimits(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	h.handlerTarget("a", "stock", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "stock") })
	h.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, plain("stock"))
	h.waitServing(0, "/holders/1")
	const (
		limit    = 16 << 10 // of the harness's configuration, as is a timeout of 3 s
		hangTime = 8 * time.Second
	)
	head := func(size int) string {
		header := http.Header{}
		platform.SetRequestMeta(header, platform.RequestMeta{ID: "limits", Timeout: callerTimeout})
		var b strings.Builder
		b.WriteString("GET /holders/1 HTTP/1.1\r\nHost: quotes.example\r\n")
		c.Assert(header.Write(&b), qt.IsNil)
		b.WriteString("a: ")
		return b.String() + strings.Repeat("x", size-b.Len()-len("\r\n\r\n")) + "\r\n\r\n"
	}
	tests := []struct {
		name string
		text string
		want int // status of the last response; 0 if the connection is closed without one
	}{
		{"largest", head(limit), http.StatusOK},
		{"too large", head(limit + 1), http.StatusRequestHeaderFieldsTooLarge},
		{"far too large and without an end", strings.TrimSpace(head(4 * limit)), http.StatusRequestHeaderFieldsTooLarge},
		{"too large behind another", head(1000) + head(limit+1), http.StatusRequestHeaderFieldsTooLarge},
		{"incomplete", strings.TrimSpace(head(1000)), 0},
		{"incomplete behind another", head(1000) + strings.TrimSpace(head(1000)), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp4", h.settings[0].EntryAddress.String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			c.Assert(conn.SetDeadline(time.Now().Add(hangTime)), qt.IsNil)
			_, err = io.WriteString(conn, test.text)
			c.Assert(err, qt.IsNil)
			status, reader := 0, bufio.NewReader(conn)
			for range max(1, strings.Count(test.text, "GET ")) {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the connection is still open"))
					status = 0
					break
				}
				_, err = io.Copy(io.Discard, resp.Body)
				c.Assert(err, qt.IsNil)
				c.Assert(resp.Body.Close(), qt.IsNil)
				status = resp.StatusCode
			}
			c.Check(status, qt.Equals, test.want)
		})
	}
}

// A streamed body that stops gives the slot of its target to a request that waits for it. Its target has begun to read it, so that
// the answer does not promise that it has not run.
func TestStalledStreamGivesItsSlotBack(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	h.server(standin.ServerOptions{Name: "a", Service: "stock", Slots: 2})
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout, r.Objective = 20*time.Second, 10*time.Second }),
	}, plain("stock"))
	h.waitServing(0, "/holders/1")
	conns := make([]net.Conn, 0, 8)
	for n := range cap(conns) { // more than the slots of the target with what the host sends beyond them
		conn, err := net.Dial("tcp4", h.settings[0].EntryAddress.String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
		header := http.Header{}
		platform.SetRequestMeta(header, platform.RequestMeta{ID: fmt.Sprint("stops-", n), Timeout: callerTimeout})
		var lines strings.Builder
		c.Assert(header.Write(&lines), qt.IsNil)
		_, err = io.WriteString(conn, "POST /holders/1 HTTP/1.1\r\nHost: quotes.example\r\nContent-Length: 2000000\r\n"+lines.String()+"\r\n"+strings.Repeat("x", 3<<19))
		c.Assert(err, qt.IsNil)
	}
	h.eventually("an ordinary request is served", func() bool {
		return h.do(call{path: "/holders/1", method: http.MethodPost, body: "small"}).status == http.StatusOK
	})
	stalled := 0
	for _, conn := range conns {
		c.Assert(conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue // still waiting
		}
		text, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		if resp.StatusCode == http.StatusBadGateway {
			c.Check(string(text), qt.Equals, "body_stalled\n")
			stalled++
		}
	}
	c.Check(stalled > 0, qt.IsTrue)
}
