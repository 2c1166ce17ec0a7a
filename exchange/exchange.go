// Package exchange sends a request to a target and reads the response.
//
// An exchange sends its request once and never returns the response to another
// request. A response must carry the ID of its request; only a response other
// than 2xx on a new connection may lack it. A connection is reused only after a
// complete request and a complete response with no bytes left over, and only for
// IDs that it has not carried: a target may send the response to an earlier request
// again, which the ID of a retry would not tell from the response to the retry.
// MayHaveRun reports for each error whether the target may have run the request.
//
// # Usage
//
//	client := exchange.New(address, exchange.Options{MaxIdle: 4, Spawn: pool.Submit})
//	response, err := client.Do(ctx, request)
//	if err != nil {
//		return exchange.MayHaveRun(err), err
//	}
//	defer response.Close()
package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/idle"
	"github.com/redwingtally/redwingtally/platform"
)

// Errors of exchanges.
var (
	// ErrUnreachable reports that no connection could be opened; nothing was sent.
	ErrUnreachable = eris.New("exchange: target cannot be reached")
	// ErrNoListener reports that no process listens at the address; nothing was sent.
	ErrNoListener = eris.New("exchange: nothing listens at the target's address")
	// ErrClosedAtOnce reports that the target, or a host between, accepted a connection and closed it before a request was sent.
	ErrClosedAtOnce = eris.New("exchange: connection was closed at once")
	// ErrNotSent reports that the exchange ended before any byte of the request was sent.
	ErrNotSent = eris.New("exchange: request was not sent")
	// ErrConnectionFailed reports that the connection failed; the request may have run.
	ErrConnectionFailed = eris.New("exchange: connection failed")
	// ErrInvalidResponse reports a response that is malformed, unsigned, encoded or does not belong to the request;
	// the request may have run.
	ErrInvalidResponse = eris.New("exchange: invalid response")
	// ErrTimeout reports that the deadline passed before the response was complete; the request may have run.
	ErrTimeout = eris.New("exchange: deadline passed")
	// ErrCancelled reports that the context was cancelled; the request may have run.
	ErrCancelled = eris.New("exchange: canceled")
	// ErrRequestBody reports that the body of the caller's request could not be read to its end; the request may have run.
	ErrRequestBody = eris.New("exchange: incomplete request body")
)

// MayHaveRun reports whether the target may have run a request for which Do
// returned err.
func MayHaveRun(err error) bool {
	return !eris.Is(err, ErrUnreachable) && !eris.Is(err, ErrNoListener) && !eris.Is(err, ErrClosedAtOnce) &&
		!eris.Is(err, ErrNotSent)
}

const (
	// dialTimeout bounds the opening of a connection; the network delay between hosts and targets is a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// probeSettleTime is the time within which a reset of a new connection arrives.
	probeSettleTime = 20 * time.Millisecond
	// maxInlineBody is the size in bytes up to which a body is written before reading the response;
	// it fits a socket's send buffer, so the write does not block.
	maxInlineBody = 16 << 10
	// MaxBufferedBody is the size in bytes up to which the body of a response is buffered completely.
	MaxBufferedBody = 256 << 10
	// maxHeadBytes bounds the status line and headers of a response, including 1xx responses before it.
	maxHeadBytes = 256 << 10
	// maxStrayResponses is the number of responses to other requests after which the exchange fails.
	maxStrayResponses = 3
	// defaultIdleTimeout applies when the target sends no Keep-Alive timeout; targets close idle connections after 10 s.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is subtracted from the Keep-Alive timeout of a target, so that the host stops using a
	// connection before the target closes it.
	idleTimeoutMargin = time.Second
	// readBufferSize is the size in bytes of a connection's read buffer; most responses fit.
	readBufferSize = 4 << 10
)

// Options configure a Client.
type Options struct {
	// MaxIdle is the maximum number of idle connections that are kept.
	MaxIdle int
	// Spawn runs a function in the background, or returns an error if it cannot. It is used to write long bodies.
	Spawn func(func()) error
	// OnDial is called before a request opens a connection. It may be nil.
	OnDial func()
	// ReuseIDs lets a connection carry an ID again. It is for peers that send no response twice.
	ReuseIDs bool
	// Dial opens a connection; nil means platform.Dial.
	Dial platform.DialFunc
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Memory limits the bytes of responses that are buffered; nil means no limit besides MaxBufferedBody.
	Memory Memory
}

// Memory limits the bytes that are buffered for responses.
type Memory interface {
	// Reserve reserves n bytes, or returns false if they are not available.
	Reserve(n int64) bool
	// Release gives n reserved bytes back.
	Release(n int64)
}

// Client sends requests to one target over a pool of connections. It is safe for
// concurrent use.
type Client struct {
	// Address is the target's address.
	Address netip.AddrPort

	pool     *idle.Pool[*conn]
	spawn    func(func()) error
	reuseIDs bool
	dialFunc platform.DialFunc
	now      func() time.Time
	memory   Memory
}

// New returns a Client for address. It opens no connection.
func New(address netip.AddrPort, o Options) *Client {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Dial == nil {
		o.Dial = platform.Dial
	}
	return &Client{
		Address:  address,
		spawn:    o.Spawn,
		reuseIDs: o.ReuseIDs,
		dialFunc: o.Dial,
		now:      o.Now,
		memory:   o.Memory,
		pool: idle.New(idle.Options[*conn]{
			Open: func(ctx context.Context) (*conn, error) {
				if o.OnDial != nil {
					o.OnDial()
				}
				return dial(ctx, o.Dial, address)
			},
			Usable:      (*conn).reusable,
			Close:       (*conn).close,
			MaxIdle:     o.MaxIdle,
			IdleTimeout: time.Hour, // each connection has its own expiry time
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// CloseIdle closes the idle connections and returns their number. It is called after
// a timeout, as the other connections may be unresponsive too. The Client remains
// usable.
func (c *Client) CloseIdle() int { return c.pool.CloseIdle() }

// HasIdle reports whether the pool holds an idle connection.
func (c *Client) HasIdle() bool { return c.pool.Len() > 0 }

// Preconnect opens a connection in advance and adds it to the pool.
func (c *Client) Preconnect(ctx context.Context) error {
	conn, err := dial(ctx, c.dialFunc, c.Address)
	if err != nil {
		return err
	}
	c.pool.Put(conn)
	return nil
}

// Probe opens a connection, adds it to the pool if it is still open after probeSettleTime,
// and returns ErrClosedAtOnce if it is not.
func (c *Client) Probe(ctx context.Context) error {
	conn, err := dial(ctx, c.dialFunc, c.Address)
	if err != nil {
		return err
	}
	settled := time.NewTimer(probeSettleTime)
	defer settled.Stop()
	select {
	case <-settled.C:
	case <-ctx.Done():
	}
	if !conn.reusable() {
		conn.close()
		return eris.Wrapf(ErrClosedAtOnce, "%s", c.Address)
	}
	c.pool.Put(conn)
	return nil
}

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the path and query in the form that the caller sent.
	URI    string
	Host   string
	Header http.Header
	// Body is the complete body, or its beginning when More or Rest is set.
	Body []byte
	// More are further buffered parts of the body after Body.
	More [][]byte
	// Rest streams the remainder of a long body.
	Rest io.Reader
	// Length is the length of the whole body in bytes, or -1 when it is unknown.
	Length int64
	// BufferedSent is called when Body and More of a body with a Rest have been written and are no longer used, in the
	// goroutine that goes on to read Rest. It may be nil.
	BufferedSent func()
	// ID is the request ID that the response must carry.
	ID string
	// Allowed reports whether the request may still be sent. It is called once there is a connection, right before the first
	// byte is written, and makes Do return ErrNotSent if not. It may be nil.
	Allowed func() bool
	// Head is called with the head of the response, before its body is read, so that it is known also if the body is slow or
	// breaks off. It may be nil.
	Head func(platform.ResponseMeta)
}

// Response is a target's response.
type Response struct {
	Status int
	Header http.Header
	platform.ResponseMeta
	// Body is the complete body, or its beginning when Rest is set.
	Body []byte
	// Rest streams the remainder of a long body. An error other than io.EOF means that the body is truncated.
	Rest io.Reader
	// Length is the length of the whole body in bytes, or -1 when it is unknown.
	Length int64
	// Reused reports whether the connection was taken from the pool.
	Reused bool

	finish  func()
	release func() // gives the memory of Body back; nil if there is none
}

// Close releases the connection: it returns to the pool if request and response
// are complete, and is closed otherwise. Further calls have no effect.
func (r *Response) Close() {
	r.DropBody()
	if r.finish != nil {
		r.finish()
		r.finish = nil
	}
}

// DropBody gives the memory of Body back, which is nil afterwards. Further calls have no effect.
func (r *Response) DropBody() {
	r.Body = nil
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

// Do sends r and reads the response. The deadline and the cancellation of ctx
// apply until the response is closed. Without them, Do may wait without limit for a target that does not read a long body.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	conn, reused, err := c.pool.TakeIf(ctx, func(idle *conn) bool { return c.reuseIDs || !idle.carried.has(r.ID) })
	if err != nil {
		return nil, err
	}
	conn.carried.add(r.ID)
	x := &exchange{client: c, conn: conn, request: r, reused: reused}
	if d, ok := ctx.Deadline(); ok {
		x.deadline = d
		_ = conn.SetDeadline(d) // fails only on a closed connection; the write then reports it
	}
	x.stop = context.AfterFunc(ctx, conn.close)
	resp, err := x.run()
	if err != nil {
		x.stop()
		conn.close()
		return nil, classifyError(ctx, conn, err)
	}
	resp.Reused = reused
	return resp, nil
}

// classifyError maps a failure of an exchange to one of the package's errors.
func classifyError(ctx context.Context, c *conn, err error) error {
	switch {
	case eris.Is(err, ErrRequestBody), eris.Is(err, ErrNotSent):
		return err
	case errors.Is(ctx.Err(), context.Canceled):
		return eris.Wrapf(ErrCancelled, "%s", c.RemoteAddr())
	case errors.Is(err, os.ErrDeadlineExceeded), ctx.Err() != nil:
		return eris.Wrapf(ErrTimeout, "%s", c.RemoteAddr())
	case eris.Is(err, ErrInvalidResponse):
		return eris.Wrapf(err, "%s: %d bytes read on the connection", c.RemoteAddr(), c.limit.read)
	}
	return eris.Wrapf(ErrConnectionFailed, "%s: %v", c.RemoteAddr(), err)
}

// exchange is one request on one connection.
type exchange struct {
	client           *Client
	conn             *conn
	request          *Request
	deadline         time.Time // zero when there is none
	reused           bool
	noReuse          bool        // the connection must be closed after this request
	noUnackedTimeout bool        // the connection has no platform.UnackedTimeout
	stop             func() bool // detaches the connection from the request's context; false if the context has ended

	mu         sync.Mutex // guards the fields below while the request body is written
	writing    bool       // the request body is being written in the background
	writeErr   error      // result of that write
	afterWrite func()     // called when the write ends; may be nil
}

// run sends the request and reads responses until one belongs to it.
func (x *exchange) run() (*Response, error) {
	if err := x.send(); err != nil {
		return nil, err
	}
	for range maxStrayResponses {
		resp, err := x.read()
		if err != nil {
			return nil, x.preferBodyError(err)
		}
		if resp != nil {
			return resp, nil
		}
	}
	return nil, eris.Wrap(ErrInvalidResponse, "too many responses to other requests")
}

// preferBodyError returns the error of the caller's body, if there is one,
// instead of err: a broken body closes the connection, and reading then fails
// as a consequence.
func (x *exchange) preferBodyError(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if eris.Is(x.writeErr, ErrRequestBody) {
		return x.writeErr
	}
	return err
}
