package edge

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/platform"
)

// idleConn returns an idle connection of a server without a handler, and its peer.
func idleConn(c *qt.C) (*connServer, *trackedConn, net.Conn) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	s := newConnServer("test", ln, &http.Server{ReadHeaderTimeout: defaultHeaderTimeout}, slog.New(slog.DiscardHandler), metric.New())
	peer, err := net.Dial("tcp4", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = peer.Close() })
	accepted, err := trackingListener{ln, s}.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = accepted.Close() })
	conn := accepted.(*trackedConn)
	s.trackState(conn, http.StateActive)
	conn.setHandled()
	s.trackState(conn, http.StateIdle)
	return s, conn, peer
}

// An idle connection is ended unless a request has begun to arrive.
func TestEndIdle(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		before func(conn *trackedConn, peer net.Conn) // what happens before endIdle
		ended  bool
	}{
		{"idle", 0, func(*trackedConn, net.Conn) {}, true},
		{"idle for less", time.Minute, func(*trackedConn, net.Conn) {}, false},
		{"unread bytes", 0, func(conn *trackedConn, peer net.Conn) {
			_, _ = peer.Write([]byte("G")) // the assertion fails without it
			for end := time.Now().Add(5 * time.Second); !platform.HasUnread(conn.TCPConn) && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // polls loopback
			}
		}, false},
		{"bytes were read", 0, func(conn *trackedConn, peer net.Conn) {
			_, _ = peer.Write([]byte("G")) // the assertion fails without it
			_, _ = conn.Read(make([]byte, 1))
		}, false},
		{"bytes are held", 0, func(conn *trackedConn, _ net.Conn) { conn.held = []byte("G") }, false},
		{"active", 0, func(conn *trackedConn, _ net.Conn) { conn.server.trackState(conn, http.StateActive) }, false},
	}
	for _, test := range tests {
		c := qt.New(t)
		s, conn, peer := idleConn(c)
		test.before(conn, peer)
		s.endIdle(test.after)
		c.Check(conn.ending, qt.Equals, test.ended, qt.Commentf(test.name))
		if !test.ended {
			_, err := peer.Write([]byte("E"))
			c.Assert(err, qt.IsNil)
		}
		_, err := conn.Read(make([]byte, 1))
		c.Check(os.IsTimeout(err), qt.Equals, test.ended, qt.Commentf("%s: %v", test.name, err))
	}
}

// A connection that is ended just when bytes were read from it goes on.
func TestConnectionEndedDuringARead(t *testing.T) {
	c := qt.New(t)
	s, conn, peer := idleConn(c)
	s.endIdle(0)
	conn.mu.Lock()
	conn.received()
	conn.mu.Unlock()
	_, err := peer.Write([]byte("GET"))
	c.Assert(err, qt.IsNil)
	n, err := conn.Read(make([]byte, 3))
	c.Check(err, qt.IsNil)
	c.Check(n, qt.Equals, 3)
}

// A connection with only the first bytes of a request is closed after the header timeout.
func TestIncompleteHeaderEndsAKeptConnection(t *testing.T) {
	c := qt.New(t)
	s, conn, peer := idleConn(c)
	s.server.ReadHeaderTimeout = 50 * time.Millisecond
	bound := time.AfterFunc(5*time.Second, func() { _ = conn.Close() }) // ends a read without a deadline
	defer bound.Stop()
	for range 2 {
		_, err := peer.Write([]byte("\n")) // fewer bytes than net/http waits for
		c.Assert(err, qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		c.Assert(err, qt.IsNil)
	}
	_, err := conn.Read(make([]byte, 1))
	c.Check(os.IsTimeout(err), qt.IsTrue, qt.Commentf("%v", err))
}

// Bytes that arrive just after a connection was ended are read.
func TestBytesThatArriveWhileAConnectionEnds(t *testing.T) {
	c := qt.New(t)
	s, conn, peer := idleConn(c)
	s.endIdle(0)
	_, err := peer.Write([]byte("G"))
	c.Assert(err, qt.IsNil)
	for end := time.Now().Add(5 * time.Second); !platform.HasUnread(conn.TCPConn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // polls loopback
	}
	n, err := conn.Read(make([]byte, 1))
	c.Check(err, qt.IsNil)
	c.Check(n, qt.Equals, 1)
}

// A connection that closes with a request that no handler got is logged.
func TestUnhandledRequestsAreLogged(t *testing.T) {
	tests := []struct {
		name   string
		before func(conn *trackedConn, peer net.Conn) // what happens before the connection closes
		logged bool
	}{
		{"idle", func(conn *trackedConn, _ net.Conn) { conn.server.trackState(conn, http.StateIdle) }, false},
		{"a request was read", func(conn *trackedConn, _ net.Conn) { conn.server.trackState(conn, http.StateActive) }, true},
		{"a malformed request was answered", func(conn *trackedConn, _ net.Conn) {
			conn.server.trackState(conn, http.StateActive)
			_, _ = conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")) // only that it is called counts
		}, false},
		{"the caller left", func(conn *trackedConn, peer net.Conn) {
			conn.server.trackState(conn, http.StateActive)
			_ = peer.Close() // the read fails otherwise
			_, _ = conn.Read(make([]byte, 1))
		}, false},
	}
	for _, test := range tests {
		c := qt.New(t)
		var log bytes.Buffer
		s, conn, peer := idleConn(c)
		s.log = slog.New(slog.NewTextHandler(&log, nil))
		test.before(conn, peer)
		s.trackState(conn, http.StateClosed)
		c.Check(strings.Contains(log.String(), "not handled"), qt.Equals, test.logged, qt.Commentf(test.name))
	}
}
