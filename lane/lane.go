// Package lane is an HTTP client over one connection at a time.
//
// A request that is canceled closes its connection, so the far side sees the
// cancellation, and an answer can never reach another request. A lane never
// sends a request twice: the connection is opened before the request is handed
// to the HTTP library, and the library cannot dial another.
//
// # Usage
//
//	l, err := lane.Dial(ctx, address)
//	err = l.Do(ctx, req, resp)    // resp.BodyStream() streams the body
//	usable := l.Finish(resp)      // after the body was read
//
//	p := lane.NewPool(address, 8)
//	reply, err := p.Call(ctx, lane.Call{Method: "GET", Path: "/status"})
package lane

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/client"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/rotisserie/eris"
)

// ErrDial reports that no connection could be opened; nothing was sent.
var ErrDial = eris.New("lane: cannot connect")

// ErrRefused reports that nothing listens at the address; nothing was sent.
var ErrRefused = eris.New("lane: connection refused")

// ErrUnsent reports that the connection failed before any byte was sent.
var ErrUnsent = eris.New("lane: connection failed before the request was sent")

// ErrBroken reports that the connection failed after the request was sent; it may have run.
var ErrBroken = eris.New("lane: connection failed after the request was sent")

// ErrTimeout reports that the deadline passed after the request was sent; it may have run.
var ErrTimeout = eris.New("lane: deadline passed after the request was sent")

// ErrCanceled reports that the caller gave up after the request was sent; it may have run.
var ErrCanceled = eris.New("lane: canceled after the request was sent")

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// probeAfter is the idle time after which a connection is probed before use.
	probeAfter = 20 * time.Millisecond
	// probeTimeout is how long the probe waits for a sign that the far side closed.
	probeTimeout = 50 * time.Microsecond
)

// A Lane is one connection with at most one request at a time.
type Lane struct {
	address string
	conn    *conn
	client  client.HostClient
	used    time.Time
	stop    func() bool
}

// conn counts what was written and remembers that it was closed.
type conn struct {
	network.Conn
	written atomic.Int64
	closed  atomic.Bool
	once    sync.Once
}

func (c *conn) Flush() error {
	err := c.Conn.Flush()
	if err == nil {
		c.written.Add(1)
	}
	return err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.written.Add(1)
	}
	return n, err
}

func (c *conn) Close() (err error) {
	c.once.Do(func() {
		c.closed.Store(true)
		err = c.Conn.Close()
	})
	return err
}

// single hands out one connection and refuses to dial another.
type single struct {
	network.Dialer
	conn *conn
	used atomic.Bool
}

func (s *single) DialConnection(string, string, time.Duration, *tls.Config) (network.Conn, error) {
	if s.used.Swap(true) {
		return nil, ErrBroken
	}
	return s.conn, nil
}

// Dial opens a lane to address, or returns ErrRefused or ErrDial.
func Dial(ctx context.Context, address netip.AddrPort) (*Lane, error) {
	timeout := dialTimeout
	if d, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(d))
	}
	if timeout <= 0 || ctx.Err() != nil {
		return nil, eris.Wrapf(ErrDial, "%s: deadline passed", address)
	}
	dialer := standard.NewDialer()
	raw, err := dialer.DialConnection("tcp", address.String(), timeout, nil)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, eris.Wrapf(ErrRefused, "%s", address)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrDial, "%s: %v", address, err)
	}
	c := &conn{Conn: raw}
	hc := http1.NewHostClient(&http1.ClientOptions{
		Dialer:                   &single{Dialer: dialer, conn: c},
		MaxConns:                 1,
		ResponseBodyStream:       true,
		DisablePathNormalizing:   true,
		NoDefaultUserAgentHeader: true,
	})
	return &Lane{address: address.String(), conn: c, client: hc, used: time.Now()}, nil
}

// Alive reports whether the connection still seems open.
func (l *Lane) Alive() bool {
	if l.conn.closed.Load() {
		return false
	}
	if time.Since(l.used) < probeAfter {
		return true
	}
	if l.conn.SetReadTimeout(probeTimeout) != nil {
		return false
	}
	_, err := l.conn.Peek(1)
	var ne net.Error
	return eris.As(err, &ne) && ne.Timeout()
}

// Do sends req and reads the head of the answer into resp; resp.BodyStream
// yields the body. The deadline and the cancellation of ctx hold until Finish.
// It returns ErrUnsent, ErrBroken, ErrTimeout or ErrCanceled.
func (l *Lane) Do(ctx context.Context, req *protocol.Request, resp *protocol.Response) error {
	before := l.conn.written.Load()
	if s, ok := req.BodyStream().(*Source); ok {
		s.conn = l.conn
	}
	l.stop = context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	if d, ok := ctx.Deadline(); ok {
		req.SetOptions(config.WithRequestTimeout(time.Until(d)))
	}
	err := l.client.Do(ctx, req, resp)
	if err == nil {
		return nil
	}
	l.Close()
	switch {
	case l.conn.written.Load() == before:
		return eris.Wrapf(ErrUnsent, "%s: %v", l.address, err)
	case eris.Is(ctx.Err(), context.Canceled):
		return eris.Wrap(ErrCanceled, l.address)
	case isTimeout(ctx, err):
		return eris.Wrapf(ErrTimeout, "%s: %v", l.address, err)
	}
	return eris.Wrapf(ErrBroken, "%s: %v", l.address, err)
}

func isTimeout(ctx context.Context, err error) bool {
	var ne net.Error
	if eris.As(err, &ne) && ne.Timeout() {
		return true
	}
	d, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(d) <= 0
}

// A Source is the body of a request that is streamed. hertz ends a chunked body
// in good order whatever its reader says; a Source that is cut short closes the
// connection first, so that the far side never takes it for whole.
type Source struct {
	stream io.Reader
	conn   *conn
}

// NewSource returns a Source that reads from stream.
func NewSource(stream io.Reader) *Source {
	return &Source{stream: stream}
}

// Read reads from the body.
func (s *Source) Read(p []byte) (int, error) {
	n, err := s.stream.Read(p)
	if err != nil && err != io.EOF && s.conn != nil {
		_ = s.conn.Close()
	}
	return n, err
}

// Finish ends the use of resp's body and reports whether the lane can be used again.
func (l *Lane) Finish(resp *protocol.Response) bool {
	_ = resp.CloseBodyStream()
	if l.stop != nil && !l.stop() {
		l.Close()
	}
	l.stop = nil
	l.used = time.Now()
	return !l.conn.closed.Load()
}

// Close closes the connection.
func (l *Lane) Close() {
	if l.stop != nil {
		l.stop()
		l.stop = nil
	}
	if !l.conn.closed.Load() {
		_ = l.conn.Close()
	}
	if c, ok := l.client.(io.Closer); ok && l.client != nil {
		_ = c.Close()
		l.client = nil
	}
}
