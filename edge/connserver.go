package edge

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/platform"
)

const (
	// drainInterval is the time between two checks of the connections of a server that no longer accepts any.
	drainInterval = 50 * time.Millisecond
	// firstRequestWait is how long a new connection may send nothing before such a server closes it.
	firstRequestWait = time.Second
)

// expired is a read deadline that has passed.
var expired = time.Unix(1, 0)

// A connServer is an HTTP server that handles the requests it has begun to read, also while it closes idle connections or
// stops. http.Server.Shutdown does not: it takes a connection as idle until a whole header is read, and drops
// requests that are read after its start.
//
// It ends connections by a read deadline in the past. Unlike a close, that cannot hit a request that has
// been read already. Requests that callers send before the response to the one before are held, and passed on ahead
// within limits (see pipeline).
type connServer struct {
	server    *http.Server
	listener  net.Listener
	log       *slog.Logger
	metrics   *metric.Set
	part      string        // prefix of log lines
	served    chan struct{} // closed when no further connection is accepted
	mu        sync.Mutex
	conns     map[*trackedConn]struct{}
	givingWay int // of conns, those that make room for others

	limits        aheadLimits // set before serve, as is stopping
	stopping      func() bool // reports whether no further request is passed on ahead
	aheadConns    *aheadListener
	aheadRequests atomic.Int64
	aheadBytes    atomic.Int64
	bound         connBound

	headerLimits      func() headerLimits // set before serve; nil means no limits besides those of server
	requests          *requestBudget      // set before serve; nil means no limit
	refusedHeads      int                 // since the last log line
	refusedHeadLogged time.Time
}

// newConnServer returns a server that serves connections of ln with server's settings.
func newConnServer(part string, ln net.Listener, server *http.Server, log *slog.Logger, metrics *metric.Set) *connServer {
	s := &connServer{server: server, listener: ln, log: log, metrics: metrics, part: part, served: make(chan struct{}), conns: map[*trackedConn]struct{}{}}
	s.stopping, s.aheadConns = func() bool { return false }, newAheadListener()
	server.ConnState = s.trackState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connContextKey{}, c)
	}
	server.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelWarn) // net/http logs panics of handlers there
	return s
}

// serve accepts connections until drain.
func (s *connServer) serve() {
	defer close(s.served)
	if s.limits.requests > 0 {
		go func() { _ = s.server.Serve(s.aheadConns) }() // returns only when the server is closed
	}
	if err := s.server.Serve(trackingListener{lastingListener{s.listener}, s}); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Error(s.part+": Server failed.", "error", err.Error())
	}
}

// A trackedConn is a connection of a connServer.
type trackedConn struct {
	*net.TCPConn
	server   *connServer
	accepted time.Time
	givesWay bool // makes room for others; the server's mu guards it

	mu        sync.Mutex
	used      bool      // a request was read
	idleSince time.Time // start of the idle period; zero before the first request and while one is in progress
	receiving bool      // bytes of the next request were read; valid while idle or unused
	ending    bool      // the read deadline is in the past
	left      bool      // reading failed, other than by a deadline
	answered  bool      // something was written since the last request was read
	handled   bool      // a handler was called for the last request
	readAt    time.Time // when the header of the last request was read

	inHead bool         // the bytes that are passed on belong to a head; the goroutine that serves the connection uses it
	head   headScanner  // of that head
	memory *heldRequest // of the request in progress; nil if nothing is reserved. That goroutine changes it and holds mu

	splitter
	held           []byte        // bytes that were read and not passed on; only the goroutine that reads changes them
	pipe           *pipeline     // nil until a request was passed on ahead
	afterResponse  bool          // the goroutine that reads ahead waits for the end of a request that has written to the caller
	unfinished     bool          // that request did not end in time; valid until the next one
	lastResponse   bool          // a response closes the connection, so that no further request is passed on ahead
	blocked        waitKind      // how the goroutine that reads ahead is blocked
	woken          bool          // its read was ended to make it look at the state again
	changed        chan struct{} // ends its wait
	aborted        atomic.Bool   // net/http has ended the read
	receivingSince time.Time     // when the first bytes of the next request were read; valid while receiving
	progressed     time.Time     // when the request began, or minBodyProgress further bytes of it had been received
	progress       int           // bytes that were received since then
	writingSince   time.Time     // start of the write in progress; zero if there is none
	evicted        bool          // the connection is closed for another one
	refused        bool          // the header of the last request was refused
}

// connContextKey is the context key of the trackedConn of a request.
type connContextKey struct{}

// trackingListener tracks the connections that it accepts.
type trackingListener struct {
	net.Listener
	server *connServer
}

func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for ; err == nil && !l.server.makeRoom(); conn, err = l.Listener.Accept() {
		_ = conn.Close() // nothing of it was read
	}
	if err != nil {
		return nil, err
	}
	c := &trackedConn{TCPConn: conn.(*net.TCPConn), server: l.server, accepted: time.Now(), inHead: true}
	if l.server.limits.requests > 0 {
		c.mode, c.changed = modeStart, make(chan struct{}, 1)
	}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// receive reads from the caller. It keeps a connection from being ended once it has received bytes of a request.
func (c *trackedConn) receive(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.resume() {
		n, err = c.TCPConn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.recordProgress(n)
		c.received()
	}
	c.left = c.left || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// Write records that the connection carries an answer.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answered, c.writingSince = true, time.Now()
	c.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	c.writingSince = time.Time{}
	c.mu.Unlock()
	return n, err
}

// resume reports whether bytes arrived just when the connection was ended, which then goes on.
func (c *trackedConn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resumes()
}

// resumes is resume for callers that hold c.mu.
func (c *trackedConn) resumes() bool {
	if !c.ending || !c.awaitsRequest() || !platform.HasUnread(c.TCPConn) {
		return false
	}
	c.received()
	return true
}

// awaitsRequest reports whether no request is in progress. The caller holds c.mu.
func (c *trackedConn) awaitsRequest() bool { return !c.used || !c.idleSince.IsZero() }

// received records that bytes were read. The time for the rest of the header begins with the first of them; net/http
// begins with the fourth. The caller holds c.mu.
func (c *trackedConn) received() {
	if c.awaitsRequest() && (!c.receiving || c.ending) {
		c.receiving, c.receivingSince, c.ending = true, time.Now(), false
		_ = c.TCPConn.SetReadDeadline(c.headDeadline()) // fails only on a closed connection; the next read reports it
	}
}

// headDeadline returns when the header that is being received has to be complete. The caller holds c.mu.
func (c *trackedConn) headDeadline() time.Time {
	timeout := c.server.server.ReadHeaderTimeout
	if c.server.headerLimits != nil {
		timeout = c.server.headerLimits().timeout
	}
	return c.receivingSince.Add(timeout)
}

// trackState records since when a connection is idle. The server reports the
// active state before it handles the next request of the connection.
func (s *connServer) trackState(conn net.Conn, state http.ConnState) {
	if m, ok := conn.(*aheadConn); ok {
		m.trackState(state)
		return
	}
	c := conn.(*trackedConn)
	c.trackMemory(state)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.receiving = false
		c.inHead, c.head = true, headScanner{}
		c.finish()
		if c.ahead() > 0 {
			c.advance() // sets idleSince when all are answered
		} else {
			c.idleSince = time.Now()
		}
	case http.StateActive:
		if c.ending || c.evicted {
			c.ending, c.evicted = false, false
			_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection; the next read reports it
		}
		c.idleSince, c.used, c.inHead = time.Time{}, true, false
		c.progressed, c.progress = time.Now(), 0
		c.readAt, c.handled, c.answered, c.unfinished = time.Now(), false, false, false
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.conns, c)
		if c.givesWay {
			s.givingWay--
		}
		s.mu.Unlock()
		whole := c.head.ended || c.head.bytes == 0 // net/http may have read it with the request before
		if c.used && whole && !c.handled && !c.answered && !c.left && !c.refused {
			c.reportUnhandled(c.readAt)
		}
	}
}

// reportUnhandled logs and counts a request that was read at a time and that no handler got. The caller holds c.mu.
func (c *trackedConn) reportUnhandled(readAt time.Time) {
	c.server.metrics.UnhandledRequests.WithLabelValues().Inc()
	c.server.log.Warn(c.server.part+": Connection ended with a request that was not handled.", "caller", c.RemoteAddr().String(),
		"read_ms_ago", time.Since(readAt).Milliseconds(), "ending", c.ending)
}

// markHandled records that a handler was called for the request of a connection.
func markHandled(r *http.Request) {
	switch c := r.Context().Value(connContextKey{}).(type) {
	case *trackedConn:
		c.setHandled()
	case *aheadConn:
		c.setHandled()
	}
}

func (c *trackedConn) setHandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// endIdle ends the connections that have been idle for at least after and received nothing since.
func (s *connServer) endIdle(after time.Duration) {
	now := time.Now()
	for _, c := range s.open() {
		c.mu.Lock()
		if !c.idleSince.IsZero() && now.Sub(c.idleSince) >= after {
			c.end()
		}
		c.mu.Unlock()
	}
}

// endUnused ends the connections that have been open for at least after and received nothing.
func (s *connServer) endUnused(after time.Duration) {
	now := time.Now()
	for _, c := range s.open() {
		c.mu.Lock()
		if !c.used && now.Sub(c.accepted) >= after {
			c.end()
		}
		c.mu.Unlock()
	}
}

// end makes the server close the connection unless it has received bytes of a request. The server may reset the
// deadline at the begin of an idle period, so that end has to be repeated until the connection is closed. The caller
// holds c.mu.
func (c *trackedConn) end() {
	if !c.receiving && len(c.held) == 0 && !platform.HasUnread(c.TCPConn) {
		c.ending = true
		_ = c.TCPConn.SetReadDeadline(expired) // fails only on a closed connection
	}
}

// open returns the connections that are open.
func (s *connServer) open() []*trackedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*trackedConn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// drain stops accepting connections and returns when all are closed or ctx ends. Idle ones are ended; the others have to
// be closed by their responses.
func (s *connServer) drain(ctx context.Context) error {
	unused, idle, active := s.count()
	s.log.Info(s.part+": No longer accepting connections.", "unused", unused, "idle", idle, "active", active)
	if err := s.listener.Close(); err != nil {
		s.log.Warn(s.part+": Closing the listener failed.", "error", err.Error())
	}
	select {
	case <-s.served: // all accepted connections are tracked
	case <-ctx.Done():
	}
	defer func() { _ = s.aheadConns.Close() }() // never fails
	for len(s.open()) > 0 && ctx.Err() == nil {
		s.endIdle(0)
		s.endUnused(firstRequestWait)
		sleep(ctx, drainInterval)
	}
	return ctx.Err()
}

// count returns the numbers of connections without a request so far, of idle ones and of the others.
func (s *connServer) count() (unused, idle, active int) {
	for _, c := range s.open() {
		c.mu.Lock()
		switch {
		case !c.used:
			unused++
		case !c.idleSince.IsZero():
			idle++
		default:
			active++
		}
		c.mu.Unlock()
	}
	return unused, idle, active
}
