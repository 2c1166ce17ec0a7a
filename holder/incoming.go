package holder

import (
	"bytes"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/policy"
)

// SmallBody is the greatest request body in bytes that is read before it is
// sent, so that it can be sent again. Greater bodies are streamed.
const SmallBody = 16 * 1024

// noLength is the length that hertz gives a request that has neither a length nor chunks.
const noLength = -2

// A Body is a request's body, which is streamed to the target.
type Body struct {
	stream io.Reader
	size   int
	small  []byte
	read   bool
}

// NewBody takes the body of a request; small ones of known size are read at once.
func NewBody(c *app.RequestContext) (*Body, error) {
	size := c.Request.Header.ContentLength()
	b := &Body{size: size}
	if size == 0 || size == noLength {
		b.size = 0
		b.small = []byte{}
		return b, nil
	}
	b.stream = c.RequestBodyStream()
	if size < 0 || size > SmallBody {
		return b, nil
	}
	b.small = make([]byte, size)
	_, err := io.ReadFull(b.stream, b.small)
	return b, err
}

// Replayable reports whether the body can be sent from its beginning.
func (b *Body) Replayable() bool { return b.small != nil || !b.read }

// Open returns the body from its beginning and its size, -1 when unknown.
func (b *Body) Open() (io.Reader, int) {
	if b.small != nil {
		return bytes.NewReader(b.small), len(b.small)
	}
	return b, b.size
}

// Read reads from a body that is streamed.
func (b *Body) Read(p []byte) (int, error) {
	b.read = true
	return b.stream.Read(p)
}

// An Incoming is a request that is to be dispatched.
type Incoming struct {
	Method string
	// Path is the path below the service's name, with the query.
	Path string
	// Key is the request's key; empty when it has none.
	Key string
	// RequestID is the caller's request id; empty when it has none.
	RequestID string
	// Arrived is when the daemon got the request.
	Arrived time.Time
	// Budget is the time that the caller gives; 0 means that of the class.
	Budget time.Duration
	Body   *Body
}

// fingerprint identifies equal requests, so that one that crashes targets is known again.
func (in *Incoming) fingerprint(service string) uint64 {
	d := xxhash.New()
	for _, part := range []string{service, in.Method, in.Path, in.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(in.Body.small)
	return d.Sum64()
}

// A job is a request on its way through a group.
type job struct {
	in       Incoming
	req      dispatch.Request
	route    policy.Route
	class    string
	assigned chan int
	refused  chan dispatch.Refusal
	answer   *once.Response
	// mayHaveRun says that an earlier attempt has an unknown outcome.
	mayHaveRun bool
}
