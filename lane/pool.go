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

// idleRetention is how long an idle connection is kept. Middle boxes forget
// connections silently, so idle ones are retired early.
const idleRetention = 5 * time.Second

// MaxReply is the greatest size of a gathered answer in bytes.
const MaxReply = 8 * 1024 * 1024

// A Pool keeps idle lanes to one address. It is safe for concurrent use.
type Pool struct {
	*idle.Pool[*Lane]
}

// NewPool returns a Pool that keeps at most limit idle lanes to address.
func NewPool(address netip.AddrPort, limit int) *Pool {
	return &Pool{Pool: idle.New(idle.Options[*Lane]{
		Open:      func(ctx context.Context) (*Lane, error) { return Dial(ctx, address) },
		Alive:     (*Lane).Alive,
		Close:     (*Lane).Close,
		Limit:     limit,
		Retention: idleRetention,
	})}
}

// A Call is a request with a small body.
type Call struct {
	Method string
	// Path is the path with an optional query.
	Path string
	Body []byte
	// Headers are pairs of names and values.
	Headers [][2]string
}

// A Reply is a gathered answer.
type Reply struct {
	Status int
	Body   []byte
}

// Call sends one request and gathers its answer. It returns the errors of Dial and Do.
func (p *Pool) Call(ctx context.Context, c Call) (Reply, error) {
	l, _, err := p.Take(ctx)
	if err != nil {
		return Reply{}, err
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(c.Method)
	req.SetRequestURI("http://" + l.address + c.Path)
	for _, h := range c.Headers {
		req.Header.Set(h[0], h[1])
	}
	if c.Body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(c.Body)
	}
	if err := l.Do(ctx, req, resp); err != nil {
		return Reply{}, err
	}
	reply := Reply{Status: resp.StatusCode()}
	reply.Body, err = gather(resp)
	if err != nil {
		l.Close()
		return Reply{}, eris.Wrapf(ErrBroken, "%s: %v", l.address, err)
	}
	if l.Finish(resp) {
		p.Put(l)
	}
	return reply, nil
}

func gather(resp *protocol.Response) ([]byte, error) {
	if !resp.IsBodyStream() {
		return append([]byte(nil), resp.Body()...), nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.BodyStream(), MaxReply+1))
	if len(data) > MaxReply {
		return nil, eris.New("answer is too large")
	}
	return data, err
}
