package edge

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/settings"
)

// All shares together must leave room for the program and the garbage, and small requests must fit on all connections at once.
func TestMemoryPlan(t *testing.T) {
	for _, memory := range []int{16, 64, 144, 284, 536} {
		t.Run(fmt.Sprint(memory, " MB"), func(t *testing.T) {
			c := qt.New(t)
			s := settings.Edge{MemoryMB: memory}
			p := planMemory(s)
			c.Check(p.fits(s), qt.IsTrue, qt.Commentf("%d bytes together", p.sum()))
			conns := int64(maxCallerConns(s, 1<<20))
			c.Check(conns*connMemory <= p.conns, qt.IsTrue)
			c.Check(conns*smallRequest <= p.requests-p.largeRequests, qt.IsTrue, qt.Commentf("%d connections", conns))
		})
	}
}

// Settings that let callers take more memory than there is must be noticed at the start.
func TestMemoryPlanOfSettings(t *testing.T) {
	tests := []struct {
		name string
		s    settings.Edge
		fits bool
	}{
		{"defaults", settings.Edge{MemoryMB: 144}, true},
		{"connections", settings.Edge{MemoryMB: 144, MaxConnections: 1300}, false},
		{"few connections", settings.Edge{MemoryMB: 144, MaxConnections: 100}, true},
		{"bodies", settings.Edge{MemoryMB: 144, BodyMemoryMB: 72}, false},
		{"bodies in place of connections", settings.Edge{MemoryMB: 144, BodyMemoryMB: 60, MaxConnections: 500}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, planMemory(test.s).fits(test.s), qt.Equals, test.fits)
		})
	}
}

// headServer serves requests with a budget for 64 kB, of which large ones may use 48 kB.
func headServer(c *qt.C, timeout time.Duration) (*connServer, *requestBudget) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	log, metrics := slog.New(slog.DiscardHandler), metric.New()
	budget := newRequestBudget(4*smallRequest, 3*smallRequest, log, metrics)
	handler := func(w http.ResponseWriter, r *http.Request) {
		markHandled(r)
		_, done, err := budget.requestMemory(r)
		defer done()
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	s := newConnServer("test", ln, &http.Server{ReadHeaderTimeout: maxHeaderTimeout, Handler: http.HandlerFunc(handler)}, log, metrics)
	s.requests = budget
	s.headerLimits = func() headerLimits { return headerLimits{defaultHeaderBytes, timeout} }
	go s.serve()
	c.Cleanup(func() { _ = s.server.Close() })
	return s, budget
}

// send sends text on a new connection. receive returns the status and the body of the response.
func (s *connServer) send(c *qt.C, text string) (conn net.Conn, receive func() string) {
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	return conn, func() string {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		return fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(body)))
	}
}

const (
	smallHead = "GET /small HTTP/1.1\r\nHost: a\r\n\r\n"
	headStart = "GET /large HTTP/1.1\r\nHost: a\r\n"
)

// largeHead returns a head without its end that takes over half of the memory for large requests.
func largeHead() string { return headStart + strings.Repeat("a: b\r\n", 120) }

// Headers count from their first bytes on, and those of ordinary requests fit however many long ones there are.
func TestHeadersWaitForMemory(t *testing.T) {
	c := qt.New(t)
	s, budget := headServer(c, 50*time.Millisecond)
	holder := budget.open(func() {})
	c.Assert(holder.reserve(3*smallRequest, time.Now()), qt.IsNil)
	c.Assert(holder.received(), qt.IsNil)
	_, receive := s.send(c, largeHead()+"\r\n")
	c.Check(receive(), qt.Equals, "503 header_memory")
	_, receive = s.send(c, smallHead)
	c.Check(receive(), qt.Equals, "200 ")
	holder.close()
	_, receive = s.send(c, largeHead()+"\r\n")
	c.Check(receive(), qt.Equals, "200 ")
	c.Check(s.heldInTheEnd(), qt.Equals, int64(0))
}

// held returns the reserved memory.
func (s *connServer) held() int64 {
	s.requests.mu.Lock()
	defer s.requests.mu.Unlock()
	return s.requests.held
}

// heldInTheEnd returns the reserved memory when it is 0, or what it is after a while.
func (s *connServer) heldInTheEnd() int64 {
	for end := time.Now().Add(5 * time.Second); s.held() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // polls
	}
	return s.held()
}

// A header that stops gives way to another one, and its caller learns that the request has not run.
func TestStalledHeaderIsRefused(t *testing.T) {
	c := qt.New(t)
	s, _ := headServer(c, 10*time.Second)
	_, stalled := s.send(c, largeHead())
	for end := time.Now().Add(5 * time.Second); s.held() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // polls
	}
	_, receive := s.send(c, largeHead()+"\r\n")
	c.Check(receive(), qt.Equals, "200 ")
	c.Check(stalled(), qt.Equals, "408 header_stalled")
	c.Check(s.heldInTheEnd(), qt.Equals, int64(0))
}

// A header for which there can never be enough memory is refused at once.
func TestHeaderThatCannotFitIsRefused(t *testing.T) {
	c := qt.New(t)
	s, _ := headServer(c, time.Minute) // longer than the test waits
	_, receive := s.send(c, headStart+strings.Repeat("a: b\r\n", 500)+"\r\n")
	c.Check(receive(), qt.Equals, "503 header_memory")
}

// Headers that net/http has read together with the request before count too.
func TestHeadersBehindAChunkedBody(t *testing.T) {
	c := qt.New(t)
	s, budget := headServer(c, 10*time.Second)
	holder := budget.open(func() {})
	c.Assert(holder.reserve(3*smallRequest, time.Now()), qt.IsNil)
	c.Assert(holder.received(), qt.IsNil)
	conn, _ := s.send(c, "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+largeHead()+"\r\n")
	reader := bufio.NewReader(conn)
	for _, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		resp, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		c.Check(resp.Body.Close(), qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, want)
	}
}
