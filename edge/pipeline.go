package edge

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// aheadLimits bounds what is read ahead on callers' connections.
type aheadLimits struct {
	requests    int   // of a connection; zero if requests are handled one after the other
	bytes       int64 // headers as they are held when parsed, and waiting output, of a connection
	allRequests int64 // of all connections
	allBytes    int64
	// responseEnd is how long a request in progress may take to end after it has written to the caller before further requests are
	// passed on beside it. A caller that waits for the response sends its next request in this time, which net/http
	// then reads as usual.
	responseEnd time.Duration
}

const (
	// aheadRequestMemory is what a request ahead takes apart from the counted bytes and what its handler needs.
	aheadRequestMemory = 20 << 10
	// maxAheadRequests bounds the requests ahead on all connections, however much memory there is.
	maxAheadRequests = 256
)

// newAheadLimits returns the limits on callers' connections, whose requests ahead take at most so many bytes: half of them for the
// requests, half for their headers and output.
func newAheadLimits(memory int64) aheadLimits {
	return aheadLimits{
		requests: 16, bytes: 256 << 10, responseEnd: time.Millisecond,
		allRequests: min(maxAheadRequests, memory/2/aheadRequestMemory), allBytes: memory / 2,
	}
}

// aheadMemory returns the bytes that a head takes when it is passed on ahead.
func aheadMemory(head []byte) int64 {
	return headerMemory(int64(len(head)), int64(bytes.Count(head, headEnd[:2])))
}

// lingerTime is how long a connection with unread requests is kept after its last response. A close with unread
// bytes resets the connection, and the caller may lose the response.
const lingerTime = 500 * time.Millisecond

// A pipeline holds the requests of a connection that were passed on before the responses to all earlier ones were written.
// The connection's mu guards it.
type pipeline struct {
	queue  []*aheadConn // in the order of arrival
	unused []*aheadConn // connections without a request
	bytes  int64        // of the heads and the output of the queue
	failed bool         // no further response is written
}

// ahead returns the number of requests that were passed on ahead and whose responses are not complete. The caller
// holds c.mu.
func (c *trackedConn) ahead() int {
	if c.pipe == nil {
		return 0
	}
	return len(c.pipe.queue)
}

// nextHead returns the length of the next head if it may be passed on now, and otherwise how to continue. The caller holds
// c.mu.
func (c *trackedConn) nextHead(background bool) (int, waitKind) {
	if len(c.held) == 0 && c.ahead() == 0 {
		return 0, blockedRead
	}
	if c.afterResponse = background && c.answered && !c.unfinished; c.afterResponse {
		return 0, blockedChange
	}
	if background && !c.bodyless || c.lastResponse || c.server.stopping() || c.ahead() >= c.server.limits.requests {
		return 0, blockedChange
	}
	f, head, _ := frameHead(c.held)
	switch {
	case f == incomplete && len(c.held) < maxAheadHead:
		return 0, blockedRead
	case f != bodyless || !c.server.acceptsHead(int64(head)) || !isPlainHead(c.held[:head]) || !c.server.reserveRequest(c.pipe, aheadMemory(c.held[:head])):
		return 0, blockedChange
	}
	return head, notBlocked
}

// enqueue passes on the request whose head is in the first n held bytes. It reports whether it needs a new connection. The
// caller holds c.mu and has reserved the request.
func (c *trackedConn) enqueue(n int) (m *aheadConn, fresh bool) {
	if c.pipe == nil {
		c.pipe = &pipeline{}
	}
	p := c.pipe
	if last := len(p.unused) - 1; last >= 0 {
		m, p.unused = p.unused[last], p.unused[:last]
	} else {
		m, fresh = &aheadConn{caller: c}, true
		m.changed.L = &c.mu
	}
	m.in = append([]byte(nil), c.held[:n]...)
	m.charged, m.passedOn = aheadMemory(m.in), time.Now()
	m.handled, m.answered, m.done, m.writeDeadline = false, false, false, time.Time{}
	p.bytes += m.charged
	p.queue = append(p.queue, m)
	m.changed.Broadcast()
	c.drop(n)
	return m, fresh
}

// advance writes what waits for its turn, as far as responses are complete, and gives the turn to the next
// request. The caller holds c.mu and has the turn; advance releases c.mu while it writes.
func (c *trackedConn) advance() {
	p := c.pipe
	for len(p.queue) > 0 && !p.failed {
		m := p.queue[0]
		for !m.turn && len(m.out) > 0 {
			b := m.out
			m.out = nil
			m.applyWriteDeadline()
			c.mu.Unlock()
			_, err := c.Write(b)
			c.mu.Lock()
			c.server.releaseBytes(p, m, int64(len(b)))
			if err != nil {
				c.fail()
			}
			if p.failed {
				return
			}
		}
		m.turn = true
		m.applyWriteDeadline()
		m.changed.Broadcast()
		if !m.done && !m.closed {
			return
		}
		m.turn = false
		p.queue = p.queue[:copy(p.queue, p.queue[1:])]
		c.release(m)
		if m.closed { // the response closes the connection or is incomplete
			c.fail()
			return
		}
		p.unused = append(p.unused, m)
	}
	if p.failed {
		return
	}
	c.cancel(p.unused)
	p.unused = nil
	c.idleSince = time.Now()
	if len(c.held) > 0 || c.blocked == blockedChange {
		c.wake()
	}
}

// cancel ends connections and what is in progress on them. The caller holds c.mu.
func (c *trackedConn) cancel(conns []*aheadConn) {
	for _, m := range conns {
		m.failed = true
		m.changed.Broadcast()
		if m.closed {
			c.release(m)
		}
	}
}

// fail cancels all requests that were passed on ahead and makes net/http close the connection. The caller holds c.mu.
func (c *trackedConn) fail() {
	if c.pipe == nil || c.pipe.failed {
		return
	}
	c.pipe.failed = true
	c.cancel(c.pipe.queue)
	c.cancel(c.pipe.unused)
	c.wake()
}

// release frees what a request uses of the bounds. The caller holds c.mu.
func (c *trackedConn) release(m *aheadConn) {
	if m.passedOn.IsZero() {
		return
	}
	m.passedOn, m.out = time.Time{}, nil
	c.server.releaseBytes(c.pipe, m, m.charged)
	c.server.aheadRequests.Add(-1)
	c.server.metrics.RequestsAhead.WithLabelValues().Dec()
	if c.blocked == blockedChange {
		c.notify()
	}
}

// Close lets the caller receive the last response if requests behind it were read or may be under way.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	linger := !c.left && (c.pipe != nil || len(c.held) > 0 || c.refused || c.lastResponse && platform.HasUnread(c.TCPConn))
	c.fail()
	c.mu.Unlock()
	if linger && c.CloseWrite() == nil {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) // on failure the read fails too
		_, _ = io.Copy(io.Discard, c.TCPConn)                     // ends with the caller's close or the deadline
	}
	return c.TCPConn.Close()
}

// callerConn returns the connection of the caller of r, or nil if it is not tracked, and the connection in memory of a
// request that was passed on ahead.
func callerConn(r *http.Request) (*trackedConn, *aheadConn) {
	switch conn := r.Context().Value(connContextKey{}).(type) {
	case *trackedConn:
		return conn, nil
	case *aheadConn:
		return conn.caller, conn
	}
	return nil, nil
}

// mayCloseAfter reports whether the response to r may close the connection: no request behind it was passed
// on. No further one will be; the last response of those that were closes the connection then.
func mayCloseAfter(r *http.Request) bool {
	c, m := callerConn(r)
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse = true
	n := c.ahead()
	return n == 0 || c.pipe.queue[n-1] == m
}

// backlogBytes is the number of held bytes from which a connection has a backlog; heads of callers take some 200 bytes.
const backlogBytes = 2 << 10

// hasBacklog reports whether the caller of r, whose body was read, has sent many further requests on its connection: half of what
// may be passed on ahead, or more than is held.
func hasBacklog(r *http.Request) bool {
	c, _ := callerConn(r)
	if c == nil || c.server.limits.requests == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ahead() >= c.server.limits.requests/2, len(c.held) >= backlogBytes:
		return true
	case c.pipe != nil, c.bodyless && len(c.held) > 0:
		return platform.HasUnread(c.TCPConn)
	case r.ContentLength != 0, c.mode == modePlain, len(c.held) > 0:
		return len(c.held)+platform.UnreadBytes(c.TCPConn) >= backlogBytes
	}
	return false
}
