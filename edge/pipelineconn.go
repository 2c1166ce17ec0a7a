package edge

import (
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// An aheadConn is a connection in memory on which net/http serves a request that was read ahead on a caller's connection.
// It is used again for further requests of that connection while some are in progress. The fields are guarded by
// caller.mu.
type aheadConn struct {
	caller  *trackedConn
	changed sync.Cond
	in      []byte // the rest of the head that net/http has not read
	out     []byte // output that waits for the turn
	charged int64  // bytes and requests of the bounds that the request uses
	expired bool   // the read deadline has passed
	failed  bool   // the caller's connection has ended, or no further request follows

	writeDeadline time.Time // zero if there is none

	passedOn time.Time // when the request was passed on; zero while there is none
	handled  bool      // a handler was called for it
	answered bool      // something was written for it
	turn     bool      // all earlier responses were written, and so was out
	done     bool      // the response is complete
	closed   bool      // net/http has closed this connection
}

func (m *aheadConn) Read(p []byte) (int, error) {
	m.caller.mu.Lock()
	defer m.caller.mu.Unlock()
	for {
		switch {
		case m.failed || m.closed:
			return 0, io.EOF
		case m.expired:
			return 0, os.ErrDeadlineExceeded
		case len(m.in) > 0:
			n := copy(p, m.in)
			m.in = m.in[n:]
			return n, nil
		}
		m.changed.Wait()
	}
}

// Write writes to the caller if all earlier responses have been written. Before that it holds the bytes as far as the
// bounds allow, and then waits.
func (m *aheadConn) Write(p []byte) (int, error) {
	c := m.caller
	c.mu.Lock()
	defer c.mu.Unlock()
	m.answered = true
	written := 0
	for !m.failed && !m.closed {
		if m.turn {
			c.mu.Unlock()
			n, err := c.Write(p)
			c.mu.Lock()
			if err != nil {
				c.fail()
			}
			return written + n, err
		}
		n := c.server.reserveBytes(c.pipe, int64(len(p)))
		m.out = append(m.out, p[:n]...)
		m.charged += n
		written += int(n)
		p = p[n:]
		if len(p) == 0 {
			return written, nil
		}
		m.changed.Wait()
	}
	return written, net.ErrClosed
}

func (m *aheadConn) Close() error {
	m.caller.mu.Lock()
	defer m.caller.mu.Unlock()
	m.closed = true
	m.changed.Broadcast()
	return nil
}

func (m *aheadConn) LocalAddr() net.Addr  { return m.caller.LocalAddr() }
func (m *aheadConn) RemoteAddr() net.Addr { return m.caller.RemoteAddr() }

// SetReadDeadline only has to end a read: the whole head is there when net/http begins to read.
func (m *aheadConn) SetReadDeadline(t time.Time) error {
	m.caller.mu.Lock()
	defer m.caller.mu.Unlock()
	m.expired = hasPassed(t)
	m.changed.Broadcast()
	return nil
}

// SetWriteDeadline sets the deadline of the writes on the caller's connection while the request has the turn.
func (m *aheadConn) SetWriteDeadline(t time.Time) error {
	m.caller.mu.Lock()
	defer m.caller.mu.Unlock()
	m.writeDeadline = t
	if m.turn {
		m.applyWriteDeadline()
	}
	return nil
}

// applyWriteDeadline sets the deadline of the request on the caller's connection, in place of that of the one before. The
// caller holds caller.mu.
func (m *aheadConn) applyWriteDeadline() {
	_ = m.caller.SetWriteDeadline(m.writeDeadline) // fails only on a closed connection; the write reports it
}

func (m *aheadConn) SetDeadline(t time.Time) error { return m.SetReadDeadline(t) }

func (m *aheadConn) setHandled() {
	m.caller.mu.Lock()
	defer m.caller.mu.Unlock()
	m.handled = true
}

// trackState follows the request of the connection.
func (m *aheadConn) trackState(state http.ConnState) {
	c := m.caller
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		m.done = true
	case http.StateClosed, http.StateHijacked:
		m.closed = true
		if !m.passedOn.IsZero() && !m.done && !m.handled && !m.answered && !m.failed && !c.left {
			c.reportUnhandled(m.passedOn)
		}
		c.cancelBehind(m)
	default:
		return
	}
	switch {
	case m.failed:
		c.release(m)
	case m.turn:
		c.advance()
	}
}

// aheadListener passes connections in memory to http.Server.Serve.
type aheadListener struct {
	conns  chan *aheadConn
	closed chan struct{}
	once   sync.Once
}

func newAheadListener() *aheadListener {
	return &aheadListener{conns: make(chan *aheadConn), closed: make(chan struct{})}
}

func (l *aheadListener) Accept() (net.Conn, error) {
	select {
	case m := <-l.conns:
		return m, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *aheadListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *aheadListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipeline", Net: "memory"} }

// start has m served. It reports false if the server has been closed.
func (l *aheadListener) start(m *aheadConn) bool {
	select {
	case l.conns <- m:
		return true
	case <-l.closed:
		return false
	}
}

// cancelBehind cancels the requests behind that of m, whose response closes the connection, and passes on no
// others. The caller holds c.mu.
func (c *trackedConn) cancelBehind(m *aheadConn) {
	if i := slices.Index(c.pipe.queue, m); i >= 0 {
		c.lastResponse = true
		c.cancel(c.pipe.queue[i+1:])
	}
}

// reserveRequest reserves a request whose head takes n bytes that is read ahead on a connection, or returns false if a bound is
// reached. The caller holds the connection's mu.
func (s *connServer) reserveRequest(p *pipeline, n int64) bool {
	if p != nil && p.bytes+n > s.limits.bytes {
		return false
	}
	if s.aheadRequests.Add(1) > s.limits.allRequests {
		s.aheadRequests.Add(-1)
		return false
	}
	if s.aheadBytes.Add(n) > s.limits.allBytes {
		s.aheadBytes.Add(-n)
		s.aheadRequests.Add(-1)
		return false
	}
	s.metrics.RequestsAhead.WithLabelValues().Inc()
	return true
}

// reserveBytes reserves up to n bytes of output and returns how many. The caller holds the connection's mu.
func (s *connServer) reserveBytes(p *pipeline, n int64) int64 {
	n = min(n, s.limits.bytes-p.bytes)
	if n <= 0 {
		return 0
	}
	if over := s.aheadBytes.Add(n) - s.limits.allBytes; over > 0 {
		over = min(over, n)
		s.aheadBytes.Add(-over)
		n -= over
	}
	p.bytes += n
	return n
}

// releaseBytes frees n bytes that a request has reserved. The caller holds the connection's mu.
func (s *connServer) releaseBytes(p *pipeline, m *aheadConn, n int64) {
	n = min(n, m.charged) // a cancelled request may have released them
	m.charged -= n
	p.bytes -= n
	s.aheadBytes.Add(-n)
}
