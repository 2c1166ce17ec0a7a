package edge_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// A callerConn is a caller's connection whose requests are written piece by piece.
type callerConn struct {
	net.Conn
	c       *qt.C
	reader  *bufio.Reader
	timeout time.Duration // stated in the requests
	work    time.Duration // asked of the target
}

// connect opens a connection to the first host.
func (h *harness) connect(c *qt.C) *callerConn {
	conn, err := net.Dial("tcp4", h.settings[0].EntryAddress.String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return &callerConn{Conn: conn, c: c, reader: bufio.NewReader(conn), timeout: callerTimeout}
}

// accepts reports whether the first host accepts connections.
func (h *harness) accepts() bool {
	conn, err := net.Dial("tcp4", h.settings[0].EntryAddress.String())
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

// write writes the bytes of a request from first to last. Negative numbers count from the end, as does a last of 0.
func (conn *callerConn) write(id string, first, last int) {
	req, err := http.NewRequest(http.MethodGet, "http://quotes.example/holders/1", http.NoBody)
	conn.c.Assert(err, qt.IsNil)
	platform.SetRequestMeta(req.Header, platform.RequestMeta{ID: id, Timeout: conn.timeout})
	if conn.work > 0 {
		req.Header.Set(standin.ServiceTimeHeader, conn.work.String())
	}
	var b bytes.Buffer
	conn.c.Assert(req.Write(&b), qt.IsNil)
	if first < 0 {
		first += b.Len()
	}
	if last <= 0 {
		last += b.Len()
	}
	_, err = conn.Write(b.Bytes()[first:last])
	conn.c.Check(err, qt.IsNil, qt.Commentf(id))
}

// read reads a response and returns its status and whether the host closes the connection, or 0 if there is none.
func (conn *callerConn) read(id string) (status int, closed bool) {
	conn.c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		conn.c.Logf("%s: %v", id, err)
		return 0, true
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Close
}

// A host that stops answers requests of which it has read a part when it stops accepting connections.
func TestStoppingHostDropsNoRequestThatItReads(t *testing.T) {
	tests := []struct {
		name string
		kept bool // the connection has carried a request before
		part int  // bytes of the request that arrive before
	}{
		{"new connection", false, 40},
		{"new connection, all but the last byte", false, -1},
		{"kept connection", true, 40},
		{"kept connection, all but the last byte", true, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newHarness(t, 1)
			h.server(standin.ServerOptions{Name: "a", Service: "stock"})
			h.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, plain("stock"))
			h.waitServing(0, "/holders/1")
			conn := h.connect(c)
			if test.kept {
				conn.write("before", 0, 0)
				status, closed := conn.read("before")
				c.Assert(status, qt.Equals, http.StatusOK)
				c.Assert(closed, qt.IsFalse)
			}
			began := time.Now()
			conn.write("split", 0, test.part)
			stopped := make(chan error, 1)
			go func() { stopped <- h.edges[0].Shutdown(context.Background()) }()
			h.eventually("connections are refused", func() bool { return !h.accepts() })
			time.Sleep(50 * time.Millisecond) // the host closes idle connections at the same time
			conn.write("split", test.part, 0)
			status, closed := conn.read("split")
			c.Check(status, qt.Equals, http.StatusOK)
			c.Check(closed, qt.IsTrue)
			c.Check(<-stopped, qt.IsNil)
			c.Check(time.Since(began) < 6*time.Second, qt.IsTrue)
		})
	}
}

// A host does not take a connection as idle that has received the first bytes of a request.
func TestIdleConnectionsAreClosedUnlessARequestArrives(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, plain("stock"))
	h.waitServing(0, "/holders/1")
	idle, used := h.connect(c), h.connect(c)
	for _, conn := range []*callerConn{idle, used} {
		conn.write("first", 0, 0)
		status, _ := conn.read("first")
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	used.write("second", 0, 40)
	time.Sleep(50 * time.Millisecond) // the host reads the first bytes
	closed := make(chan error, 1)
	go func() {
		_, err := idle.reader.ReadByte()
		closed <- err
	}()
	h.eventually("the idle connection is closed", func() bool {
		h.edges[0].CloseIdle()
		return len(closed) > 0
	})
	c.Check(<-closed, qt.Equals, io.EOF)
	used.write("second", 40, 0)
	status, _ := used.read("second")
	c.Check(status, qt.Equals, http.StatusOK)
}

// A host that stops accepts a late request only if it can finish it before its process ends.
func TestStoppingHostRejectsLateRequestsThatMayOutliveIt(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	a := h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.Idempotent, func(r *platform.Route) { r.Timeout = time.Minute }),
	}, plain("stock"))
	h.waitServing(0, "/holders/1")
	tests := []struct {
		id      string
		timeout time.Duration
		status  int
		runs    int
	}{
		{"short", time.Second, http.StatusOK, 1},
		{"long", 20 * time.Second, http.StatusServiceUnavailable, 0},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- h.edges[0].Shutdown(ctx) }()
	conns := make([]*callerConn, len(tests))
	for i, test := range tests {
		conns[i] = h.connect(c)
		conns[i].timeout = test.timeout
		conns[i].write(test.id, 0, 40)
	}
	h.eventually("connections are refused", func() bool { return !h.accepts() })
	for i, test := range tests {
		conns[i].write(test.id, 40, 0)
		status, _ := conns[i].read(test.id)
		c.Check(status, qt.Equals, test.status, qt.Commentf(test.id))
		c.Check(requestRuns(test.id, a), qt.HasLen, test.runs, qt.Commentf(test.id))
	}
	c.Check(<-stopped, qt.IsNil)
}

// Requests that no target has got are rejected before the process ends.
func TestStoppingHostRejectsWaitingRequests(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	a := h.server(standin.ServerOptions{Name: "a", Service: "stock", Slots: 1, QueueLimit: 1})
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout, r.Objective = time.Minute, time.Minute }),
	}, plain("stock"))
	h.waitServing(0, "/holders/1")
	conns := make([]*callerConn, 8)
	for i := range conns {
		conns[i] = h.connect(c)
		conns[i].timeout, conns[i].work = 20*time.Second, 20*time.Second
		conns[i].write(fmt.Sprint("waiting-", i), 0, 0)
	}
	h.eventually("all requests have arrived", func() bool { return h.edges[0].ActiveRequests() == int64(len(conns)) })
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	c.Check(h.edges[0].Shutdown(ctx), qt.IsNil)
	rejected, waiting := 0, 0
	for i, conn := range conns {
		id := fmt.Sprint("waiting-", i)
		if len(requestRuns(id, a)) > 0 {
			continue
		}
		c.Assert(conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
		resp, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			waiting++
			continue
		}
		_ = resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf(id))
		rejected++
	}
	c.Check(rejected > 0, qt.IsTrue)
	c.Check(waiting <= 1, qt.IsTrue, qt.Commentf("%d requests without an answer; only one fits the target's queue", waiting))
}
