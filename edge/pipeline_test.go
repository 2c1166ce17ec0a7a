package edge

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/metric"
)

// testAhead are limits that a test reaches with few requests.
var testAhead = aheadLimits{requests: 4, bytes: 16 << 10, allRequests: 64, allBytes: 1 << 20, responseEnd: time.Millisecond}

// A pipelineServer is a connServer whose handler follows the query of each request: wait for gate NAME with ?wait=NAME, abort after a part of
// the response with ?abort=1, send a body of N bytes with ?size=N, send the header first with ?flush=1, close with ?close=1.
type pipelineServer struct {
	*connServer
	c       *qt.C
	stopped atomic.Bool
	mu      sync.Mutex
	gates   map[string]chan struct{}
	started []string // paths in the order of their handlers' begin
	cut     []string // paths whose context ended before the response
}

func newPipelineServer(tb testing.TB, limits aheadLimits, change ...func(*http.Server)) *pipelineServer {
	c := qt.New(tb)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &pipelineServer{c: c, gates: map[string]chan struct{}{}}
	s.connServer = newConnServer("test", ln, &http.Server{Handler: s, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: defaultHeaderBytes},
		slog.New(slog.DiscardHandler), metric.New())
	s.limits, s.stopping = limits, s.stopped.Load
	for _, f := range change {
		f(s.server)
	}
	go s.serve()
	c.Cleanup(func() { _ = s.server.Close() })
	return s
}

func (s *pipelineServer) gate(name string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[name] == nil {
		s.gates[name] = make(chan struct{})
	}
	return s.gates[name]
}

func (s *pipelineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	markHandled(r)
	s.mu.Lock()
	s.started = append(s.started, r.URL.Path)
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Query().Has("flush") {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.URL.Path)+5))
		_ = http.NewResponseController(w).Flush() // the test reads it
	}
	if name := r.URL.Query().Get("wait"); name != "" {
		select {
		case <-s.gate(name):
		case <-r.Context().Done():
			s.mu.Lock()
			s.cut = append(s.cut, r.URL.Path)
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	w.Header()["Date"] = nil
	if (s.stopped.Load() || r.URL.Query().Has("close")) && mayCloseAfter(r) {
		w.Header().Set("Connection", "close")
	}
	text := r.Method + " " + r.URL.Path + " " + string(body)
	if size, _ := strconv.Atoi(r.URL.Query().Get("size")); size > 0 {
		text = strings.Repeat("x", size)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if r.URL.Query().Has("abort") {
		_, _ = io.WriteString(w, text[:1]) // the caller sees the connection end
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text) // the test reads it
}

func (s *pipelineServer) startedPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.started...)
}

func (s *pipelineServer) cutPaths() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cut)
}

// metric returns the value of a metric, or an empty string if it was never set.
func (s *pipelineServer) metric(name string) string {
	w := httptest.NewRecorder()
	s.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for line := range strings.Lines(w.Body.String()) {
		if value, found := strings.CutPrefix(line, "redwingtally_"+name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// until polls f and fails the test after 10 s.
func (s *pipelineServer) until(what string, f func() bool) {
	s.c.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	s.c.Fatalf("%s: not within 10 s; started: %v", what, s.startedPaths())
}

// A pipelineCaller is a caller of a pipelineServer.
type pipelineCaller struct {
	net.Conn
	c      *qt.C
	reader *bufio.Reader
}

func (s *pipelineServer) connect() *pipelineCaller { return s.connectIn(s.c) }

// connectIn is connect for a part of the test.
func (s *pipelineServer) connectIn(c *qt.C) *pipelineCaller {
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return &pipelineCaller{conn, c, bufio.NewReader(conn)}
}

func get(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: quotes.example\r\n\r\n" }

func post(target, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: quotes.example\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
}

func (p *pipelineCaller) send(requests ...string) {
	p.c.Helper()
	_, err := io.WriteString(p, strings.Join(requests, ""))
	p.c.Assert(err, qt.IsNil)
}

// next reads a response and returns its body and whether it closes the connection; the body of an error status is the status.
func (p *pipelineCaller) next() (body string, closes bool, err error) {
	resp, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return "", false, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return strconv.Itoa(resp.StatusCode), resp.Close, err
	}
	return string(b), resp.Close, err
}

// expect reads responses with the given bodies, none of which closes the connection.
func (p *pipelineCaller) expect(bodies ...string) {
	p.c.Helper()
	for _, body := range bodies {
		got, closes, err := p.next()
		p.c.Assert(err, qt.IsNil, qt.Commentf(body))
		p.c.Assert(got, qt.Equals, body)
		p.c.Check(closes, qt.IsFalse, qt.Commentf(body))
	}
}

// expectEnd checks that the connection ends without another response.
func (p *pipelineCaller) expectEnd() {
	p.c.Helper()
	rest, err := io.ReadAll(p.reader)
	p.c.Check(err, qt.IsNil)
	p.c.Check(string(rest), qt.Equals, "")
}

// Responses come in the order of the requests, which are handled at the same time.
func TestPipelinedRequestsAreHandledConcurrently(t *testing.T) {
	s := newPipelineServer(t, testAhead)
	caller := s.connect()
	for round := range 3 {
		a, b, d := fmt.Sprint("/a", round), fmt.Sprint("/b", round), fmt.Sprint("/d", round)
		caller.send(get(a+"?wait="+a), get(b), get(d))
		s.until("the last handler has begun", func() bool { return len(s.startedPaths()) == 3*round+3 })
		close(s.gate(a))
		caller.expect("GET "+a+" ", "GET "+b+" ", "GET "+d+" ")
	}
	s.until("nothing is held", func() bool { return s.aheadRequests.Load() == 0 && s.aheadBytes.Load() == 0 })
	s.c.Check(s.metric("requests_ahead"), qt.Equals, "0")
	s.c.Check(s.metric("unhandled_requests_total"), qt.Equals, "")
}

// Requests ahead and their output are bounded; the others wait and are answered too.
func TestReadAheadIsBounded(t *testing.T) {
	twoHeads := 2 * aheadMemory([]byte(get("/00")))
	tests := []struct {
		name    string
		limits  aheadLimits
		query   string
		started int // handlers that begin while the first request is in progress
	}{
		{"requests of a connection", testAhead, "", 5},
		{"requests of all connections", aheadLimits{requests: 4, bytes: 16 << 10, allRequests: 2, allBytes: 1 << 20}, "", 3},
		{"heads of a connection", aheadLimits{requests: 4, bytes: twoHeads, allRequests: 64, allBytes: 1 << 20}, "", 3},
		{"heads of all connections", aheadLimits{requests: 4, bytes: 16 << 10, allRequests: 64, allBytes: twoHeads}, "", 3},
		{"output of a connection", testAhead, "?size=100000", 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newPipelineServer(t, test.limits)
			caller := s.connect()
			requests, bodies := make([]string, 1, 31), make([]string, 1, 31)
			requests[0], bodies[0] = get("/first?wait=first"), "GET /first "
			for i := range 30 {
				path := fmt.Sprintf("/%02d", i)
				requests = append(requests, get(path+test.query))
				if test.query == "" {
					bodies = append(bodies, "GET "+path+" ")
				} else {
					bodies = append(bodies, strings.Repeat("x", 100000))
				}
			}
			caller.send(requests...)
			s.until("the bound is reached", func() bool { return len(s.startedPaths()) == test.started })
			time.Sleep(150 * time.Millisecond) // would begin further ones
			s.c.Check(s.startedPaths(), qt.HasLen, test.started)
			s.c.Check(s.aheadBytes.Load() <= min(test.limits.bytes, test.limits.allBytes), qt.IsTrue)
			close(s.gate("first"))
			caller.expect(bodies...)
			s.until("nothing is held", func() bool { return s.aheadRequests.Load() == 0 && s.aheadBytes.Load() == 0 })
		})
	}
}

// A caller that disconnects ends all its requests, also while nothing is read from it.
func TestDisconnectEndsPipelinedRequests(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		cut      int
	}{
		{"all passed on", 3, 3},
		{"more than the bound", 200, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newPipelineServer(t, testAhead)
			caller := s.connect()
			for i := range test.requests {
				caller.send(get(fmt.Sprintf("/%d?wait=never", i)))
			}
			s.until("requests are in progress", func() bool { return len(s.startedPaths()) == test.cut })
			s.c.Assert(caller.Close(), qt.IsNil)
			s.until("all have ended", func() bool { return s.cutPaths() == test.cut && len(s.open()) == 0 && s.aheadRequests.Load() == 0 })
			s.c.Check(s.metric("unhandled_requests_total"), qt.Equals, "")
		})
	}
}

// An aborted response comes after the complete ones before it and ends the connection and the requests behind it.
func TestAbortEndsThePipelineInOrder(t *testing.T) {
	tests := []struct {
		name   string
		first  string
		before []string
		cut    int
	}{
		{"in the middle", "/a?wait=a", []string{"GET /a ", "GET /b "}, 1},
		{"first", "/a?wait=a&abort=1", nil, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newPipelineServer(t, testAhead)
			caller := s.connect()
			third := get("/abort?abort=1&wait=abort")
			if test.before == nil {
				third = get("/x?wait=never")
			}
			caller.send(get(test.first), get("/b"), third, get("/behind?wait=never"))
			s.until("all have begun", func() bool { return len(s.startedPaths()) == 4 })
			if test.before != nil {
				close(s.gate("abort"))
				s.until("the one behind has ended", func() bool { return s.cutPaths() == test.cut })
			}
			close(s.gate("a"))
			caller.expect(test.before...)
			_, _, err := caller.next()
			s.c.Check(err, qt.ErrorMatches, "unexpected EOF")
			s.until("all have ended", func() bool { return s.cutPaths() == test.cut && len(s.open()) == 0 && s.aheadRequests.Load() == 0 })
			s.c.Check(s.metric("unhandled_requests_total"), qt.Equals, "")
		})
	}
}

// A stopping host passes on no further request, closes the connection with the last response, and has answered all that it
// passed on.
func TestStoppingHostClosesAfterTheLastPipelinedResponse(t *testing.T) {
	tests := []struct {
		name  string
		order []string // gates in the order in which they open
	}{
		{"in order", []string{"a", "b", "d"}},
		{"last first", []string{"d", "b", "a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newPipelineServer(t, testAhead)
			caller := s.connect()
			caller.send(get("/a?wait=a"), get("/b?wait=b"), get("/d?wait=d"))
			s.until("all have begun", func() bool { return len(s.startedPaths()) == 3 })
			s.stopped.Store(true)
			caller.send(get("/late"), get("/later"))
			for _, gate := range test.order {
				close(s.gate(gate))
				time.Sleep(20 * time.Millisecond) // the response is written or held
			}
			caller.expect("GET /a ", "GET /b ")
			body, closes, err := caller.next()
			s.c.Assert(err, qt.IsNil)
			s.c.Check(body, qt.Equals, "GET /d ")
			s.c.Check(closes, qt.IsTrue)
			caller.expectEnd()
			s.c.Check(s.startedPaths(), qt.HasLen, 3)
		})
	}
}

// A connection with requests ahead is active for the idle sweep; it is idle once they are answered.
func TestIdleSweepBesidePipelinedRequests(t *testing.T) {
	s := newPipelineServer(t, testAhead)
	caller := s.connect()
	caller.send(get("/a"), get("/b?wait=b"), get("/d?wait=d"))
	caller.expect("GET /a ")
	s.until("all have begun", func() bool { return len(s.startedPaths()) == 3 })
	for range 20 {
		s.endIdle(0)
		_, idle, active := s.count()
		s.c.Assert([]int{idle, active}, qt.DeepEquals, []int{0, 1})
		time.Sleep(time.Millisecond) // sweeps beside the writes
	}
	close(s.gate("b"))
	caller.expect("GET /b ")
	s.endIdle(0)
	close(s.gate("d"))
	caller.expect("GET /d ")
	s.until("the connection is idle", func() bool { _, idle, _ := s.count(); return idle == 1 })
	caller.send(get("/e?wait=e"), get("/f"))
	s.until("all have begun", func() bool { return len(s.startedPaths()) == 5 })
	close(s.gate("e"))
	caller.expect("GET /e ", "GET /f ")
	s.until("the connection has ended", func() bool { s.endIdle(0); return len(s.open()) == 0 })
	caller.expectEnd()
}

// A head that was begun behind pipelined requests has the header timeout from their end on.
func TestIncompleteHeadBehindPipelinedRequests(t *testing.T) {
	s := newPipelineServer(t, testAhead, func(s *http.Server) { s.ReadHeaderTimeout = 200 * time.Millisecond })
	caller := s.connect()
	caller.send(get("/a?wait=a"), get("/b?wait=b"), "GET /part HTTP/1.1\r\nHo")
	s.until("both have begun", func() bool { return len(s.startedPaths()) == 2 })
	close(s.gate("a"))
	caller.expect("GET /a ")
	time.Sleep(300 * time.Millisecond) // longer than the timeout
	close(s.gate("b"))
	caller.expect("GET /b ")
	s.endIdle(0)
	caller.send("st: quotes.example\r\n\r\n")
	caller.expect("GET /part ")
	caller.send(get("/d?wait=d"), get("/e?wait=e"), "GET")
	s.until("both have begun", func() bool { return len(s.startedPaths()) == 5 })
	close(s.gate("d"))
	caller.expect("GET /d ")
	time.Sleep(20 * time.Millisecond) // the host waits for the rest of the head
	close(s.gate("e"))
	caller.expect("GET /e ")
	caller.expectEnd()
}

// Requests before one that net/http rejects are answered, and none behind it is handled.
func TestMalformedRequestInAPipeline(t *testing.T) {
	tests := []struct {
		name, request, status string
	}{
		{"header without a colon", "GET /x HTTP/1.1\r\nHost: h\r\nbad\r\n\r\n", "400"},
		{"no host", "GET /x HTTP/1.1\r\n\r\n", "400"},
		{"two hosts", "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
		{"escape", "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
		{"method", "G@T /x HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
		{"space before the colon", "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\n", "400"},
		{"control character", "GET /x HTTP/1.1\r\nHost: h\r\nA: \x01\r\n\r\n", "400"},
		{"two lengths", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "400"},
		{"unknown coding", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x\r\n\r\n", "501"},
		{"version", "GET /x HTTP/3.1\r\nHost: h\r\n\r\n", "505"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newPipelineServer(t, testAhead)
			caller := s.connect()
			caller.send(get("/a?wait=a"), get("/b"), test.request, get("/behind"))
			s.until("two have begun", func() bool { return len(s.startedPaths()) == 2 })
			time.Sleep(20 * time.Millisecond) // would begin the others
			s.c.Check(s.aheadRequests.Load(), qt.Equals, int64(1))
			close(s.gate("a"))
			caller.expect("GET /a ", "GET /b ")
			body, closes, err := caller.next()
			s.c.Assert(err, qt.IsNil)
			s.c.Check(body, qt.Equals, test.status)
			s.c.Check(closes, qt.IsTrue)
			caller.expectEnd()
			s.c.Check(s.startedPaths(), qt.HasLen, 2)
		})
	}
}

// Requests with a body or another method wait for all before them, and those behind wait for them.
func TestOtherRequestsInAPipelineWait(t *testing.T) {
	inner := get("/smuggled")
	tests := []struct {
		name, request, body string
		further             int // requests behind it that begin with it
	}{
		{"sized", post("/p?wait=p", "data"), "POST /p data", 0},
		{"body that looks like a request", post("/p?wait=p", inner), "POST /p " + inner, 0},
		{"no body", post("/p?wait=p", ""), "POST /p ", 0},
		{"chunked", "POST /p?wait=p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "POST /p abc", 0},
		{"continue", "POST /p?wait=p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", "", 0},
		{"body of a GET request", "GET /p?wait=p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "GET /p abc", 0},
		{"other method", "DELETE /p?wait=p HTTP/1.1\r\nHost: h\r\n\r\n", "DELETE /p ", 0},
		{"line ends without CR", "GET /p?wait=p HTTP/1.1\nHost: h\n\n", "GET /p ", 0},
		{"keeps alive", "GET /p?wait=p HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", "GET /p ", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newPipelineServer(t, testAhead)
			caller := s.connect()
			caller.send(get("/a?wait=a"), get("/b?wait=b"), test.request, get("/d"), get("/e"))
			begun := 2
			if test.further > 0 {
				begun = 5
			}
			s.until("those ahead have begun", func() bool { return len(s.startedPaths()) == begun })
			time.Sleep(20 * time.Millisecond) // would begin others
			s.c.Check(s.startedPaths(), qt.HasLen, begun)
			close(s.gate("a"))
			close(s.gate("b"))
			caller.expect("GET /a ", "GET /b ")
			s.until("it has begun", func() bool { return len(s.startedPaths()) >= 3 })
			time.Sleep(20 * time.Millisecond) // would begin those behind
			s.c.Check(s.startedPaths(), qt.HasLen, 3+test.further)
			close(s.gate("p"))
			if test.body == "" {
				body, _, err := caller.next()
				s.c.Assert(err, qt.IsNil)
				s.c.Check(body, qt.Equals, "100")
				test.body = "POST /p abc"
			}
			caller.expect(test.body, "GET /d ", "GET /e ")
		})
	}
}

// A caller that writes each byte by itself gets its responses in order.
func TestPipelineOfSingleBytes(t *testing.T) {
	s := newPipelineServer(t, testAhead)
	caller := s.connect()
	for _, b := range []byte(get("/a?wait=a") + get("/b") + post("/p", "GET / HTTP/1.1\r\n\r\n") + get("/d") + get("/e")) {
		caller.send(string(b))
		time.Sleep(200 * time.Microsecond) // separates the segments
	}
	s.until("the second has begun", func() bool { return len(s.startedPaths()) == 2 })
	close(s.gate("a"))
	caller.expect("GET /a ", "GET /b ", "POST /p GET / HTTP/1.1\r\n\r\n", "GET /d ", "GET /e ")
}

// A caller that does not read makes the host hold a bounded output, and gets all of it when it reads.
func TestCallerThatDoesNotReadItsPipeline(t *testing.T) {
	s := newPipelineServer(t, testAhead)
	caller := s.connect()
	const size = 3 << 20 // exceeds the socket buffers
	for range 40 {
		caller.send(get("/a?size=" + strconv.Itoa(size)))
	}
	s.until("output is held", func() bool { return s.aheadRequests.Load() > 0 && s.aheadBytes.Load() > 0 })
	time.Sleep(100 * time.Millisecond) // would hold more
	s.c.Check(s.aheadBytes.Load() <= testAhead.bytes, qt.IsTrue)
	s.c.Check(len(s.startedPaths()) <= 20, qt.IsTrue, qt.Commentf("%d", len(s.startedPaths())))
	for range 40 {
		body, _, err := caller.next()
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(len(body), qt.Equals, size)
	}
}

// Nothing is passed on behind a response that closes the connection and has not been written.
func TestNothingIsPassedOnBehindTheLastResponse(t *testing.T) {
	s := newPipelineServer(t, testAhead)
	caller := s.connect()
	caller.send(get("/a?wait=a"), get("/b?close=1"))
	s.until("both have begun", func() bool { return len(s.startedPaths()) == 2 })
	time.Sleep(20 * time.Millisecond) // the second response is held
	caller.send(get("/behind"))
	time.Sleep(20 * time.Millisecond) // would begin it
	close(s.gate("a"))
	caller.expect("GET /a ")
	body, closes, err := caller.next()
	s.c.Assert(err, qt.IsNil)
	s.c.Check(body, qt.Equals, "GET /b ")
	s.c.Check(closes, qt.IsTrue)
	caller.expectEnd()
	s.c.Check(s.startedPaths(), qt.HasLen, 2)
}

// A caller that sends its next request on the response takes nothing of the bounds.
func TestRequestOnTheResponseIsNotAhead(t *testing.T) {
	limits := testAhead
	limits.responseEnd = time.Minute
	s := newPipelineServer(t, limits)
	caller := s.connect()
	caller.send(get("/a?flush=1&wait=a"))
	_, err := caller.reader.Peek(1) // a part of the response
	s.c.Assert(err, qt.IsNil)
	caller.send(get("/b"))
	time.Sleep(20 * time.Millisecond) // would begin it
	close(s.gate("a"))
	caller.expect("GET /a ", "GET /b ")
	s.c.Check(s.metric("requests_ahead"), qt.Equals, "")
}

// Requests behind a response that takes long to write are handled meanwhile.
func TestPipelineBehindAStreamedResponse(t *testing.T) {
	s := newPipelineServer(t, testAhead)
	caller := s.connect()
	caller.send(get("/a?flush=1&wait=a"))
	_, err := caller.reader.Peek(1) // a part of the response
	s.c.Assert(err, qt.IsNil)
	caller.send(get("/b"))
	s.until("both have begun", func() bool { return len(s.startedPaths()) == 2 })
	close(s.gate("a"))
	caller.expect("GET /a ", "GET /b ")
}

// A last response behind which requests are unread must arrive whole: a close with unread bytes resets the connection, also
// where net/http alone reads it.
func TestLastResponseArrivesBeforeUnreadRequests(t *testing.T) {
	s := newPipelineServer(t, testAhead)
	for range 20 {
		caller := s.connect()
		caller.send("PUT /last?close=1&size=100000 HTTP/1.1\r\nHost: quotes.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", strings.Repeat(get("/behind"), 3000))
		body, closes, err := caller.next()
		s.c.Assert(err, qt.IsNil)
		s.c.Check(body, qt.HasLen, 100000)
		s.c.Check(closes, qt.IsTrue)
		caller.expectEnd()
	}
}
