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
)

// idleConn returns an idle connection of a server without a handler, and its peer.
func idleConn(c *qt.C) (*connServer, *trackedConn, net.Conn) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	s := newConnServer("test", ln, &http.Server{}, slog.New(slog.DiscardHandler), metric.New())
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
		{"unread bytes", 0, func(_ *trackedConn, peer net.Conn) {
			_, _ = peer.Write([]byte("G"))    // the assertion fails without it
			time.Sleep(20 * time.Millisecond) // loopback
		}, false},
		{"bytes were read", 0, func(conn *trackedConn, peer net.Conn) {
			_, _ = peer.Write([]byte("G")) // the assertion fails without it
			_, _ = conn.Read(make([]byte, 1))
		}, false},
		{"active", 0, func(conn *trackedConn, _ net.Conn) { conn.server.trackState(conn, http.StateActive) }, false},
	}
	for _, test := range tests {
		c := qt.New(t)
		s, conn, peer := idleConn(c)
		test.before(conn, peer)
		s.endIdle(test.after)
		_, err := peer.Write([]byte("E"))
		c.Assert(err, qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		c.Check(os.IsTimeout(err), qt.Equals, test.ended, qt.Commentf("%s: %v", test.name, err))
	}
}

// A connection that is ended just when bytes were read from it goes on.
func TestConnectionEndedDuringARead(t *testing.T) {
	c := qt.New(t)
	s, conn, peer := idleConn(c)
	s.endIdle(0)
	conn.received()
	_, err := peer.Write([]byte("GET"))
	c.Assert(err, qt.IsNil)
	n, err := conn.Read(make([]byte, 3))
	c.Check(err, qt.IsNil)
	c.Check(n, qt.Equals, 3)
}

// A connection that closes with a request that no handler got is logged.
func TestUnhandledRequestsAreLogged(t *testing.T) {
	tests := []struct {
		name   string
		state  http.ConnState // before the connection closes
		logged bool
	}{
		{"idle", http.StateIdle, false},
		{"a request was read", http.StateActive, true},
	}
	for _, test := range tests {
		c := qt.New(t)
		var log bytes.Buffer
		s, conn, _ := idleConn(c)
		s.log = slog.New(slog.NewTextHandler(&log, nil))
		s.trackState(conn, test.state)
		s.trackState(conn, http.StateClosed)
		c.Check(strings.Contains(log.String(), "not handled"), qt.Equals, test.logged, qt.Commentf(test.name))
	}
}
