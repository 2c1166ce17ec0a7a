package edge

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// peerCheckInterval is the time between two checks whether the caller has disconnected while nothing is read from it. At 50 ms
	// the checks of 500 connections would take some 20% of the processor time of the smallest hosts (estimated).
	peerCheckInterval = 250 * time.Millisecond
	// minHead is the number of bytes without which net/http does not begin to read a further request.
	minHead = 4
)

// A readMode tells what the bytes are that a connection reads next.
type readMode int

const (
	// modePlain passes all bytes on to net/http as they come. It lasts until the connection ends.
	modePlain readMode = iota
	// modeStart is before the first byte of a request.
	modeStart
	// modePart is after a part of a head.
	modePart
	// modeBody is in a body of known length.
	modeBody
	// modeNext is after a request. What follows is not for net/http while that request is in progress.
	modeNext
)

// A splitter finds the ends of requests in the bytes that a connection passes on to net/http. Only the goroutine that reads
// uses it; net/http has one at a time.
type splitter struct {
	mode     readMode
	part     []byte // the part of a head that was passed on
	bodyless bool   // the request in progress is a GET or HEAD request without a body
	bodyLeft int64
}

// take returns how many of the bytes in p belong to the current request.
func (s *splitter) take(p []byte) int {
	switch s.mode {
	case modePlain:
		return len(p)
	case modeBody:
		return s.body(len(p))
	}
	b := p
	if s.mode == modePart {
		s.part = append(s.part, p...)
		b = s.part
	}
	f, head, body := frameHead(b)
	if f == incomplete && len(b) < maxAheadHead {
		if s.mode == modeStart {
			s.mode, s.part = modePart, append([]byte(nil), p...)
		}
		return len(p)
	}
	s.part = nil
	if f == incomplete || f == unknown {
		s.mode = modePlain
		return len(p)
	}
	n := head - (len(b) - len(p))
	s.bodyless = f == bodyless
	s.passBody(body)
	n += s.body(len(p) - n)
	return n
}

// passBody begins a body of the given length.
func (s *splitter) passBody(length int64) {
	s.mode, s.bodyLeft = modeBody, length
	if length == 0 {
		s.mode = modeNext
	}
}

// body returns how many of n bytes belong to the body.
func (s *splitter) body(n int) int {
	n = int(min(int64(n), s.bodyLeft))
	s.passBody(s.bodyLeft - int64(n))
	return n
}

// finish ends the request in progress. If net/http has not taken its end where the splitter did, it alone reads
// the rest of the connection.
func (s *splitter) finish() {
	if s.mode == modeNext {
		s.mode = modeStart
	} else {
		s.mode = modePlain
	}
}

// A waitKind tells in which way the goroutine that reads is blocked.
type waitKind int

const (
	notBlocked    waitKind = iota
	blockedRead            // in a read from the caller
	blockedChange          // until c.changed
)

// hasPassed reports whether a deadline is one that net/http sets to end a read.
func hasPassed(t time.Time) bool { return !t.IsZero() && t.Unix() <= expired.Unix() }

// SetReadDeadline ends reads also while nothing is read from the caller.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	past := hasPassed(t)
	c.aborted.Store(past)
	if !past && !t.IsZero() {
		c.mu.Lock()
		if c.receiving && c.awaitsRequest() {
			t = c.headDeadline() // in place of ReadHeaderTimeout
		}
		c.mu.Unlock()
	}
	err := c.TCPConn.SetReadDeadline(t)
	if past {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.blocked == blockedChange {
			c.notify()
		}
	}
	return err
}

// notify ends a wait for c.changed. The caller holds c.mu.
func (c *trackedConn) notify() {
	select {
	case c.changed <- struct{}{}:
	default: // it has been notified
	}
}

// wake makes the goroutine that reads look at the state again. The caller holds c.mu.
func (c *trackedConn) wake() {
	switch c.blocked {
	case blockedChange:
		c.notify()
	case blockedRead:
		c.woken = true
		_ = c.TCPConn.SetReadDeadline(expired) // fails only on a closed connection; the next read reports it
	}
}

// Read passes on to net/http what belongs to its request, and holds what follows.
func (c *trackedConn) Read(p []byte) (int, error) {
	switch {
	case c.mode == modeNext:
		return 0, c.readAhead(p, true)
	case c.mode == modeStart && c.pipe != nil:
		if err := c.readAhead(nil, false); err != nil {
			return 0, err
		}
	}
	n, err := c.readSome(p)
	switch {
	case n > 0 && !c.acceptHead(p[:n]):
		return 0, os.ErrDeadlineExceeded // net/http answers other errors
	case n == 0 && errors.Is(err, os.ErrDeadlineExceeded):
		c.headRefused()
	}
	return n, err
}

// readSome reads held bytes, or else from the caller. It returns those of the current request and holds the others.
func (c *trackedConn) readSome(p []byte) (int, error) {
	if n := len(c.held); n > 0 && n < minHead && c.mode == modeStart {
		c.mu.Lock()
		c.received()
		c.mu.Unlock()
		m, err := c.receive(p[copy(p, c.held):])
		if m == 0 {
			return 0, err
		}
		c.mu.Lock()
		c.held = nil
		c.mu.Unlock()
		return c.keep(p[:n+m]), nil
	}
	if len(c.held) > 0 {
		n := c.take(p[:copy(p, c.held)])
		c.mu.Lock()
		defer c.mu.Unlock()
		c.drop(n)
		c.received()
		return n, nil
	}
	n, err := c.receive(p)
	if n == 0 {
		return 0, err
	}
	return c.keep(p[:n]), err
}

// keep returns how many of the bytes in p belong to the current request, and holds the others.
func (c *trackedConn) keep(p []byte) int {
	n := c.take(p)
	if n < len(p) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.held = append(c.held, p[n:]...)
	}
	return n
}

// drop removes n held bytes. The caller holds c.mu.
func (c *trackedConn) drop(n int) {
	if n == len(c.held) && (c.pipe == nil || len(c.pipe.queue) == 0) {
		c.held = nil
		return
	}
	c.held = c.held[:copy(c.held, c.held[n:])]
}

// readAhead reads further requests and passes them on within the bounds. In the background of a request of net/http it returns
// when that has ended or the caller has disconnected. Otherwise it returns nil when no request that was passed on ahead is in
// progress. It uses one for the first byte, so that callers that send one request at a time need no buffer.
func (c *trackedConn) readAhead(one []byte, background bool) error {
	for {
		started, next, err := c.passOn(background)
		for _, m := range started {
			if !c.server.aheadConns.start(m) {
				return net.ErrClosed // net/http closes this connection, which cancels m
			}
		}
		switch {
		case err != nil:
			return err
		case next == notBlocked:
			return nil
		case next == blockedRead:
			err = c.readHeld(one)
		default:
			err = c.awaitChange()
		}
		if err != nil {
			return err
		}
	}
}

// passOn passes on held requests within the bounds. It returns the connections that have to be started for them, and how
// readAhead continues.
func (c *trackedConn) passOn(background bool) (started []*aheadConn, next waitKind, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.aborted.Load() {
			return started, notBlocked, os.ErrDeadlineExceeded
		}
		if c.pipe != nil && c.pipe.failed {
			return started, notBlocked, io.EOF
		}
		if !background && c.ahead() == 0 {
			return started, notBlocked, nil
		}
		var head int
		if head, next = c.nextHead(background); head == 0 {
			c.blocked = next
			return started, next, nil
		}
		m, fresh := c.enqueue(head)
		if fresh {
			started = append(started, m)
		}
	}
}

// readHeld reads further bytes and holds them.
func (c *trackedConn) readHeld(one []byte) error {
	into := one
	if len(c.held) > 0 || one == nil {
		if len(c.held) == cap(c.held) {
			c.mu.Lock()
			c.held = append(make([]byte, 0, min(maxAheadHead, max(4<<10, 2*len(c.held)))), c.held...)
			c.mu.Unlock()
		}
		into = c.held[len(c.held):cap(c.held)]
	}
	n, err := c.TCPConn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = notBlocked
	woken := c.woken
	if woken {
		c.woken = false
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // fails only on a closed connection; the next read reports it
	}
	if n > 0 {
		c.held = append(c.held, into[:n]...)
		c.received()
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if !c.aborted.Load() && (woken || c.resumes()) {
			return nil
		}
		return err
	}
	c.left = true
	c.fail()
	return err
}

// awaitChange waits until something may have changed that keeps requests from being passed on.
func (c *trackedConn) awaitChange() error {
	wait := peerCheckInterval
	if c.afterResponse {
		wait = c.server.limits.responseEnd
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	gone, timedOut := false, false
	select {
	case <-c.changed:
	case <-timer.C:
		gone, timedOut = platform.PeerClosed(c.TCPConn), true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = notBlocked
	c.unfinished = c.unfinished || c.afterResponse && timedOut
	if !gone {
		return nil
	}
	c.left = true
	c.fail()
	return io.EOF
}
