package lane

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/idle"
)

// idleRetention is how long an idle connection is kept. It is short because
// middleboxes drop idle connections without notice.
const idleRetention = 5 * time.Second

// MaxResponseBody is the greatest size of a response body that a Pool accepts, in bytes.
const MaxResponseBody = 8 * 1024 * 1024

// A Pool keeps idle connections to one address. It is safe for concurrent use.
type Pool struct {
	*idle.Pool[*Conn]
}

// NewPool returns a Pool that keeps at most limit idle connections to address.
func NewPool(address netip.AddrPort, limit int) *Pool {
	return &Pool{Pool: idle.New(idle.Options[*Conn]{
		Open:        func(ctx context.Context) (*Conn, error) { return Dial(ctx, address) },
		Usable:      (*Conn).Alive,
		Close:       (*Conn).Close,
		MaxIdle:     limit,
		IdleTimeout: idleRetention,
	})}
}

// A Request is a request whose body is in memory. A body that is not nil is sent as
// JSON.
type Request struct {
	Method string
	// Path is the path with an optional query string.
	Path string
	Body []byte
	// Headers lists pairs of names and values.
	Headers [][2]string
}

// A Response is a response whose body has been read.
type Response struct {
	Status int
	Body   []byte
}

// RoundTrip sends a request and reads the whole response. It returns the errors of
// Dial and Conn.Do, and ErrConnectionFailed if the body of the response is
// truncated or larger than MaxResponseBody.
func (p *Pool) RoundTrip(ctx context.Context, r Request) (Response, error) {
	conn, _, err := p.Take(ctx)
	if err != nil {
		return Response{}, err
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(r.Method)
	req.SetRequestURI("http://" + conn.address + r.Path)
	for _, h := range r.Headers {
		req.Header.Set(h[0], h[1])
	}
	if r.Body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(r.Body)
	}
	if err := conn.Do(ctx, req, resp); err != nil {
		return Response{}, err
	}
	out := Response{Status: resp.StatusCode()}
	out.Body, err = readBody(resp)
	if err != nil {
		conn.Close()
		return Response{}, eris.Wrapf(ErrConnectionFailed, "%s: %v", conn.address, err)
	}
	if conn.Finish(resp) {
		p.Put(conn)
	}
	return out, nil
}

// readBody reads the whole body of a response of at most MaxResponseBody bytes.
func readBody(resp *protocol.Response) ([]byte, error) {
	if !resp.IsBodyStream() {
		return append([]byte(nil), resp.Body()...), nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.BodyStream(), MaxResponseBody+1))
	if len(data) > MaxResponseBody {
		return nil, eris.New("response body is too large")
	}
	return data, err
}
