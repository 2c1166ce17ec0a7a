package edge

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// defaultHeaderBytes and defaultHeaderTimeout apply while no configuration states a limit.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	// maxHeaderBytes and maxHeaderTimeout bound the configured limits.
	maxHeaderBytes   = 1 << 20
	maxHeaderTimeout = time.Minute
	// headerByteMemory and headerLineMemory are what a byte and a line of a header take at most, parsed and copied.
	headerByteMemory = 4
	headerLineMemory = 256
	// refusalWriteTime bounds the writing of a refusal to a caller whose header is not read on.
	refusalWriteTime = time.Second
	// headerLogInterval is the least time between two log lines about refused headers.
	headerLogInterval = time.Second
)

// headerLimits bound the header of a caller's request.
type headerLimits struct {
	bytes   int64
	timeout time.Duration // from the first byte of the header to its end
}

// headerLimits returns the limits of the configuration.
func (e *Edge) headerLimits() headerLimits {
	l := headerLimits{defaultHeaderBytes, defaultHeaderTimeout}
	table := e.table.Load()
	if table == nil {
		return l
	}
	if configured := table.Configuration.Limits; configured.HeaderBytes > 0 {
		l.bytes = min(configured.HeaderBytes, maxHeaderBytes)
	}
	if configured := table.Configuration.Limits; configured.HeaderTimeout > 0 {
		l.timeout = min(configured.HeaderTimeout, maxHeaderTimeout)
	}
	return l
}

// A headScanner counts the bytes and lines of a head that arrives in pieces, and finds its end.
type headScanner struct {
	bytes int64 // with those of blank lines before the request line
	lines int64
	text  bool // the line so far is not blank
	ended bool // the blank line after the head has arrived
}

// scan counts the bytes in p that belong to the head.
func (h *headScanner) scan(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.bytes++
		switch {
		case b == '\n' && h.text:
			h.lines++
			h.text = false
		case b == '\n':
			h.ended = h.lines > 0
		case b != '\r':
			h.text = true
		}
	}
}

// headerMemory returns the bytes that a header takes with the copy that is sent to a target.
func headerMemory(size, lines int64) int64 { return headerByteMemory*size + headerLineMemory*lines }

// acceptHead checks bytes of a head before net/http gets them, and reserves memory for them. It refuses the request and returns
// false if they exceed a limit.
func (c *trackedConn) acceptHead(p []byte) bool {
	if !c.inHead {
		return true
	}
	c.head.scan(p)
	if !c.server.acceptsHead(c.head.bytes) {
		c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0)
		return false
	}
	return c.reserveHead()
}

// reserveHead reserves memory for the head so far. It waits until there is enough, but not longer than a head may take.
func (c *trackedConn) reserveHead() bool {
	if c.server.requests == nil {
		return true
	}
	if c.memory == nil {
		c.setMemory(c.server.requests.open(c.interruptRead))
	}
	further := headerMemory(c.head.bytes, c.head.lines) - c.memory.memory()
	if further <= 0 {
		return true
	}
	c.mu.Lock()
	deadline := c.headDeadline()
	c.mu.Unlock()
	if err := c.memory.reserve(further, deadline); err != nil {
		c.refuseStalledHead(err)
		return false
	}
	return true
}

// setMemory sets the memory of the request in progress.
func (c *trackedConn) setMemory(m *heldRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory = m
}

// interruptRead ends a read of a head.
func (c *trackedConn) interruptRead() {
	_ = c.TCPConn.SetReadDeadline(expired) // fails only on a closed connection
}

// headRefused answers a request if its head was refused while it was read.
func (c *trackedConn) headRefused() {
	if !c.inHead || c.memory == nil {
		return
	}
	if err := c.memory.received(); err != nil {
		c.refuseStalledHead(err)
	}
}

// refuseStalledHead answers a request whose head was refused for lack of memory.
func (c *trackedConn) refuseStalledHead(err error) {
	if errors.Is(err, errStalled) {
		c.refuseHead(http.StatusRequestTimeout, "header_stalled", 0)
		return
	}
	c.refuseHead(http.StatusServiceUnavailable, "header_memory", rejectedRetryAfter)
}

// trackMemory follows the memory of the requests of a connection. It is not called with c.mu, since the budget may interrupt
// reads.
func (c *trackedConn) trackMemory(state http.ConnState) {
	if c.memory == nil {
		return
	}
	switch state {
	case http.StateActive:
		_ = c.memory.received() // the handler asks again
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		c.memory.close()
		c.setMemory(nil)
	}
}

// requestMemory returns the memory of a request with what its header takes, and a function that ends the use by its handler.
func (b *requestBudget) requestMemory(r *http.Request) (memory *heldRequest, done func(), err error) {
	c, ahead := callerConn(r)
	switch {
	case ahead != nil, c == nil, c.server.requests == nil:
		memory = b.open(func() {})
		return memory, memory.close, nil
	case c.memory == nil:
		c.setMemory(b.open(func() {}))
	}
	lines, size := int64(0), int64(len(r.RequestURI))
	for name, values := range r.Header {
		lines += int64(len(values))
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	memory = c.memory
	// Less was counted if net/http had read the header, or a part of it, together with the request before.
	if further := headerMemory(size, lines) - memory.memory(); further > 0 {
		if err := memory.reserve(further, b.now()); err != nil {
			return memory, func() {}, err
		}
	}
	header := memory.memory()
	return memory, func() { memory.shrinkTo(header) }, memory.received()
}

// acceptsHead reports whether a head of n bytes is within the limit.
func (s *connServer) acceptsHead(n int64) bool {
	return s.headerLimits == nil || n <= s.headerLimits().bytes
}

// refuseHead answers a request whose header is not read on. net/http then closes the connection without an answer of its own.
func (c *trackedConn) refuseHead(status int, reason string, retryAfter time.Duration) {
	h := http.Header{}
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	if retryAfter > 0 {
		platform.SetRetryAfter(h, retryAfter)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b) // a buffer returns no error
	b.WriteString("\r\n" + reason + "\n")
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime)) // fails only on a closed connection
	_, _ = c.TCPConn.Write(b.Bytes())                        // the connection is closed in any case
	c.mu.Lock()
	c.refused = true
	c.mu.Unlock()
	c.server.recordRefusedHead(reason, c.head)
}

// recordRefusedHead counts a refused header and logs it at a bounded rate.
func (s *connServer) recordRefusedHead(reason string, head headScanner) {
	s.metrics.HeadersRefused.WithLabelValues(reason).Inc()
	s.mu.Lock()
	s.refusedHeads++
	count, due := s.refusedHeads, time.Since(s.refusedHeadLogged) >= headerLogInterval
	if due {
		s.refusedHeads, s.refusedHeadLogged = 0, time.Now()
	}
	s.mu.Unlock()
	if due {
		limits := s.headerLimits()
		s.log.Warn(s.part+": Headers were refused.", "reason", reason, "refused", count, "bytes", head.bytes, "lines", head.lines,
			"limit", limits.bytes, "timeout", limits.timeout)
	}
}
