// Package lane is an HTTP client that runs one request at a time on each
// connection.
//
// Cancelling a request closes its connection, so that the peer sees the
// cancellation and a late response cannot reach another request. A Conn never
// sends a request twice: the connection is opened before the request is passed to
// the HTTP library, and the library cannot dial another.
//
// # Usage
//
//	c, err := lane.Dial(ctx, address)
//	err = c.Do(ctx, req, resp)    // resp.BodyStream() streams the body
//	reusable := c.Finish(resp)    // after the body was read
//
//	p := lane.NewPool(address, 8)
//	resp, err := p.RoundTrip(ctx, request)
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

// ErrConnectionRefused reports that no process listens at the address; nothing was sent.
var ErrConnectionRefused = eris.New("lane: connection refused")

// ErrNotSent reports that the connection failed before any byte was sent.
var ErrNotSent = eris.New("lane: connection failed before the request was sent")

// ErrConnectionFailed reports that the connection failed after part of the request
// was sent; it may have run.
var ErrConnectionFailed = eris.New("lane: connection failed after the request was sent")

// ErrTimeout reports that the deadline passed after part of the request was sent;
// it may have run.
var ErrTimeout = eris.New("lane: deadline passed after the request was sent")

// ErrCanceled reports that the context was cancelled after part of the request was
// sent; it may have run.
var ErrCanceled = eris.New("lane: cancelled after the request was sent")

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// probeIdleTime is the idle time after which a connection is probed before use.
	probeIdleTime = 20 * time.Millisecond
	// probeTimeout is how long the probe waits for the peer's end of stream.
	probeTimeout = 50 * time.Microsecond
)

// A Conn is a connection that runs at most one request at a time. It is not safe
// for concurrent use.
type Conn struct {
	address    string
	conn       *trackedConn
	client     client.HostClient
	lastUsed   time.Time
	stopCancel func() bool
}

// trackedConn counts the successful writes and flushes, and records whether it was closed.
type trackedConn struct {
	network.Conn
	writes    atomic.Int64
	closed    atomic.Bool
	closeOnce sync.Once
}

func (c *trackedConn) Flush() error {
	err := c.Conn.Flush()
	if err == nil {
		c.writes.Add(1)
	}
	return err
}

func (c *trackedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.writes.Add(1)
	}
	return n, err
}

func (c *trackedConn) Close() (err error) {
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		err = c.Conn.Close()
	})
	return err
}

// singleDialer returns a given connection on the first dial and
// ErrConnectionFailed on later ones, so that the HTTP library cannot send a
// request again.
type singleDialer struct {
	network.Dialer
	conn      *trackedConn
	handedOut atomic.Bool
}

func (d *singleDialer) DialConnection(string, string, time.Duration, *tls.Config) (network.Conn, error) {
	if d.handedOut.Swap(true) {
		return nil, ErrConnectionFailed
	}
	return d.conn, nil
}

// Dial opens a connection to address. On failure it returns ErrConnectionRefused or
// ErrDial.
func Dial(ctx context.Context, address netip.AddrPort) (*Conn, error) {
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
		return nil, eris.Wrapf(ErrConnectionRefused, "%s", address)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrDial, "%s: %v", address, err)
	}
	tracked := &trackedConn{Conn: raw}
	hc := http1.NewHostClient(&http1.ClientOptions{
		Dialer:                   &singleDialer{Dialer: dialer, conn: tracked},
		MaxConns:                 1,
		ResponseBodyStream:       true,
		DisablePathNormalizing:   true,
		NoDefaultUserAgentHeader: true,
	})
	return &Conn{address: address.String(), conn: tracked, client: hc, lastUsed: time.Now()}, nil
}

// Alive reports whether the connection is open as far as this side can tell. It
// probes a connection that has been idle for probeIdleTime.
func (c *Conn) Alive() bool {
	if c.conn.closed.Load() {
		return false
	}
	if time.Since(c.lastUsed) < probeIdleTime {
		return true
	}
	if c.conn.SetReadTimeout(probeTimeout) != nil {
		return false
	}
	_, err := c.conn.Peek(1)
	var ne net.Error
	return eris.As(err, &ne) && ne.Timeout()
}

// Do sends req and reads the head of the response into resp; resp.BodyStream
// returns the body. The connection is closed when ctx ends before Finish.
// On failure Do closes the connection and returns ErrNotSent, ErrConnectionFailed,
// ErrTimeout or ErrCanceled.
func (c *Conn) Do(ctx context.Context, req *protocol.Request, resp *protocol.Response) error {
	before := c.conn.writes.Load()
	if body, ok := req.BodyStream().(*RequestBody); ok {
		body.conn = c.conn
	}
	c.stopCancel = context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	if d, ok := ctx.Deadline(); ok {
		req.SetOptions(config.WithRequestTimeout(time.Until(d)))
	}
	err := c.client.Do(ctx, req, resp)
	if err == nil {
		return nil
	}
	c.Close()
	switch {
	case c.conn.writes.Load() == before:
		return eris.Wrapf(ErrNotSent, "%s: %v", c.address, err)
	case eris.Is(ctx.Err(), context.Canceled):
		return eris.Wrap(ErrCanceled, c.address)
	case isTimeout(ctx, err):
		return eris.Wrapf(ErrTimeout, "%s: %v", c.address, err)
	}
	return eris.Wrapf(ErrConnectionFailed, "%s: %v", c.address, err)
}

// isTimeout reports whether err is a timeout or the deadline of ctx has passed.
func isTimeout(ctx context.Context, err error) bool {
	var ne net.Error
	if eris.As(err, &ne) && ne.Timeout() {
		return true
	}
	d, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(d) <= 0
}

// A RequestBody is a streamed request body. hertz writes the final chunk of a chunked
// body even when its reader fails. Therefore a RequestBody closes the connection when
// reading fails, so that the peer never takes a truncated body for a complete one.
type RequestBody struct {
	stream io.Reader
	conn   *trackedConn
}

// NewRequestBody returns a RequestBody that reads from stream.
func NewRequestBody(stream io.Reader) *RequestBody {
	return &RequestBody{stream: stream}
}

// Read reads from the body. It closes the connection on an error other than io.EOF.
func (b *RequestBody) Read(p []byte) (int, error) {
	n, err := b.stream.Read(p)
	if err != nil && err != io.EOF && b.conn != nil {
		_ = b.conn.Close()
	}
	return n, err
}

// Finish closes resp's body and reports whether the connection can be reused.
func (c *Conn) Finish(resp *protocol.Response) bool {
	_ = resp.CloseBodyStream()
	if c.stopCancel != nil && !c.stopCancel() {
		c.Close()
	}
	c.stopCancel = nil
	c.lastUsed = time.Now()
	return !c.conn.closed.Load()
}

// Close closes the connection.
func (c *Conn) Close() {
	if c.stopCancel != nil {
		c.stopCancel()
		c.stopCancel = nil
	}
	if !c.conn.closed.Load() {
		_ = c.conn.Close()
	}
	if closer, ok := c.client.(io.Closer); ok && c.client != nil {
		_ = closer.Close()
		c.client = nil
	}
}
