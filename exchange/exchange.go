// Package exchange sends one request to a target and reads its answer.
//
// An exchange never sends a request twice and never hands an answer to another
// request: the answer must carry the id of the request, and a connection is
// used again only after a request and an answer that were complete, with no
// byte left over. Every error says whether the target may have run the request.
//
// # Usage
//
//	t := exchange.New(address, exchange.Options{Connections: 4, Spawn: pool.Submit})
//	answer, err := t.Do(ctx, request)
//	defer answer.Close()
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
	// ErrUnsent reports that the connection failed before a byte of the request was sent.
	ErrUnsent = eris.New("exchange: request was not sent")
	// ErrBroken reports that the connection failed; the request may have run.
	ErrBroken = eris.New("exchange: connection failed")
	// ErrUntrusted reports bytes that are no answer to the request; the request may have run.
	ErrUntrusted = eris.New("exchange: answer cannot be trusted")
	// ErrTimeout reports that the deadline passed; the request may have run.
	ErrTimeout = eris.New("exchange: deadline passed")
	// ErrCanceled reports that the caller left; the request may have run.
	ErrCanceled = eris.New("exchange: canceled")
	// ErrBody reports that the caller's body could not be read to its end.
	ErrBody = eris.New("exchange: the caller's body broke off")
)

// MayHaveRun reports whether a target may have run the request that ended with err.
func MayHaveRun(err error) bool {
	return !eris.Is(err, ErrUnreachable) && !eris.Is(err, ErrNoListener) && !eris.Is(err, ErrUnsent)
}

const (
	// dialTimeout bounds the opening of a connection; hosts and targets are a few milliseconds apart.
	dialTimeout = 400 * time.Millisecond
	// inlineBody is the size in bytes up to which a body is written before the answer is awaited; it fits a socket's buffer.
	inlineBody = 16 << 10
	// MaxGathered is the size in bytes up to which an answer is gathered before it is passed on.
	MaxGathered = 256 << 10
	// maxHead bounds the head of an answer in bytes.
	maxHead = 256 << 10
	// maxStray is how many answers to earlier requests are skipped.
	maxStray = 3
	// idleTime is how long a connection is kept when the target says nothing else; targets close theirs after ten seconds.
	idleTime = 8 * time.Second
	// idleMargin is how long before the time that a target states a connection is given up.
	idleMargin = time.Second
	// readBuffer is the size in bytes of a connection's read buffer; most answers fit.
	readBuffer = 4 << 10
)

// Options configure a Target.
type Options struct {
	// Connections bounds the idle connections that are kept.
	Connections int
	// Spawn runs a function in the background.
	Spawn func(func()) error
	// Connecting is called before a connection is opened for a request. It may be nil.
	Connecting func()
	// Now returns the present time; nil means time.Now.
	Now func() time.Time
}

// A Target is the sending side of one target. It is safe for concurrent use.
type Target struct {
	Address netip.AddrPort

	pool  *idle.Pool[*conn]
	spawn func(func()) error
	now   func() time.Time
}

// New returns a Target without connections.
func New(address netip.AddrPort, o Options) *Target {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Target{
		Address: address,
		spawn:   o.Spawn,
		now:     o.Now,
		pool: idle.New(idle.Options[*conn]{
			Open: func(ctx context.Context) (*conn, error) {
				if o.Connecting != nil {
					o.Connecting()
				}
				return dial(ctx, address)
			},
			Alive:     (*conn).alive,
			Close:     (*conn).close,
			Limit:     o.Connections,
			Retention: time.Hour, // each connection knows its own time
		}),
	}
}

// Close closes the idle connections.
func (t *Target) Close() { t.pool.Close() }

// Drain closes the idle connections after one of them went silent.
func (t *Target) Drain() int { return t.pool.Drain() }

// Connected reports whether an idle connection is open.
func (t *Target) Connected() bool { return t.pool.Len() > 0 }

// Connect opens a connection and keeps it for a request.
func (t *Target) Connect(ctx context.Context) error {
	c, err := dial(ctx, t.Address)
	if err != nil {
		return err
	}
	t.pool.Put(c)
	return nil
}

// A Request is a request to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body is the whole body, or its beginning when Rest is set.
	Body []byte
	// Rest streams the remainder of a long body.
	Rest io.Reader
	// Length is the length of the whole body in bytes, or -1 when it is unknown.
	Length int64
	// ID identifies the request in answers.
	ID string
}

// An Answer is a target's answer.
type Answer struct {
	Status int
	Header http.Header
	platform.Answer
	// Body is the whole body, or its beginning when Rest is set.
	Body []byte
	// Rest streams the remainder of a long body; an error other than io.EOF means that it is cut short.
	Rest io.Reader
	// Length is the length of the whole body in bytes, or -1 when it is unknown.
	Length int64
	// Reused says that the connection had carried requests before.
	Reused bool

	finish func()
}

// Close ends the use of the answer.
func (a *Answer) Close() {
	if a.finish != nil {
		a.finish()
		a.finish = nil
	}
}

// Do sends r and reads the answer. The deadline and the cancellation of ctx
// hold until the answer is closed.
func (t *Target) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, reused, err := t.pool.Take(ctx)
	if err != nil {
		return nil, err
	}
	x := &exchange{target: t, conn: c, request: r, reused: reused}
	if d, ok := ctx.Deadline(); ok {
		x.deadline = d
		_ = c.SetDeadline(d) // fails only on a closed connection, which the write reports
	}
	x.stop = context.AfterFunc(ctx, c.close)
	a, err := x.run()
	if err != nil {
		x.stop()
		c.close()
		return nil, translate(ctx, c, err)
	}
	a.Reused = reused
	return a, nil
}

// translate adds why an exchange failed.
func translate(ctx context.Context, c *conn, err error) error {
	switch {
	case eris.Is(err, ErrBody), eris.Is(err, ErrUnsent):
		return err
	case errors.Is(ctx.Err(), context.Canceled):
		return eris.Wrapf(ErrCanceled, "%s", c.RemoteAddr())
	case errors.Is(err, os.ErrDeadlineExceeded), ctx.Err() != nil:
		return eris.Wrapf(ErrTimeout, "%s", c.RemoteAddr())
	case eris.Is(err, ErrUntrusted):
		return err
	}
	return eris.Wrapf(ErrBroken, "%s: %v", c.RemoteAddr(), err)
}

// An exchange is one request on one connection.
type exchange struct {
	target   *Target
	conn     *conn
	request  *Request
	deadline time.Time // zero when there is none
	reused   bool
	tainted  bool // the connection must not be used again
	stop     func() bool

	mu       sync.Mutex
	writing  bool
	writeErr error
	onWrite  func() // runs when the write ends
}

func (x *exchange) run() (*Answer, error) {
	if err := x.send(); err != nil {
		return nil, err
	}
	for range maxStray {
		a, err := x.read()
		if err != nil {
			return nil, x.readError(err)
		}
		if a != nil {
			return a, nil
		}
	}
	return nil, eris.Wrap(ErrUntrusted, "too many answers to other requests")
}

// readError prefers the reason why the caller's body ended.
func (x *exchange) readError(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if eris.Is(x.writeErr, ErrBody) {
		return x.writeErr
	}
	return err
}
