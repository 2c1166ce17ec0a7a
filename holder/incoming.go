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

// MaxBufferedBody is the maximum size, in bytes, of a body that is buffered. A
// buffered request body can be sent again. Larger bodies and those of unknown size
// are streamed.
const MaxBufferedBody = 16 * 1024

// noLength is the content length that hertz reports for a request with neither
// a Content-Length nor a chunked body.
const noLength = -2

// A Body is the body of a request, buffered or streamed.
type Body struct {
	stream   io.Reader
	size     int
	buffered []byte
	started  bool
}

// NewBody returns the body of a request. A body of known size up to MaxBufferedBody is
// read into memory.
func NewBody(c *app.RequestContext) (*Body, error) {
	size := c.Request.Header.ContentLength()
	b := &Body{size: size}
	if size == 0 || size == noLength {
		b.size = 0
		b.buffered = []byte{}
		return b, nil
	}
	b.stream = c.RequestBodyStream()
	if size < 0 || size > MaxBufferedBody {
		return b, nil
	}
	b.buffered = make([]byte, size)
	_, err := io.ReadFull(b.stream, b.buffered)
	return b, err
}

// Replayable reports whether the body can still be sent from its beginning.
func (b *Body) Replayable() bool { return b.buffered != nil || !b.started }

// Open returns a reader of the body from its beginning, and the body's size in
// bytes, -1 when unknown.
func (b *Body) Open() (io.Reader, int) {
	if b.buffered != nil {
		return bytes.NewReader(b.buffered), len(b.buffered)
	}
	return b, b.size
}

// Read reads from a streamed body. After that the body is not replayable.
func (b *Body) Read(p []byte) (int, error) {
	b.started = true
	return b.stream.Read(p)
}

// An IncomingRequest is a request to be dispatched.
type IncomingRequest struct {
	Method string
	// Path is the path after the service's name, with the query.
	Path string
	// Key is the request's key, or empty.
	Key string
	// RequestID is the request id that the caller sent, or empty.
	RequestID string
	// ReceivedAt is when the daemon received the request. The deadline counts from
	// then.
	ReceivedAt time.Time
	// Timeout is the caller's time limit; 0 means the deadline of the class. The
	// smaller of the two applies.
	Timeout time.Duration
	Body    *Body
}

// fingerprint returns a hash that is the same for equal requests, so that a
// request that crashes targets is recognised when it is sent again.
func (in *IncomingRequest) fingerprint(service string) uint64 {
	d := xxhash.New()
	for _, part := range []string{service, in.Method, in.Path, in.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(in.Body.buffered)
	return d.Sum64()
}

// A job is a request that a group is processing.
type job struct {
	incoming IncomingRequest
	req      dispatch.Request
	route    policy.Route
	class    string
	// assigned receives the index of the target to send the request to.
	assigned chan int
	// rejected receives the rejection of the queued request.
	rejected chan dispatch.Rejection
	// response is the response to store for duplicates of a once-only request.
	response *once.Response
	// mayHaveRun reports whether an earlier attempt has an unknown outcome.
	mayHaveRun bool
}
