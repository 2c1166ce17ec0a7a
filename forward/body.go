package forward

import (
	"io"
	"sync"
)

// A Body streams the body of an answer from one connection to another. A body
// that is cut short is an error, never an end: hertz ends a chunked body in good
// order whatever its reader says, so the connection is closed first.
type Body struct {
	stream io.Reader
	want   int
	got    int
	err    error
	once   sync.Once
	abort  func()
	finish func(error)
}

// NewBody returns a Body of want bytes, -1 when unknown. abort closes the
// connection that the body goes to; it is called when the body is cut short.
// finish is called once, with nil when the whole body was read.
func NewBody(stream io.Reader, want int, abort func(), finish func(error)) *Body {
	return &Body{stream: stream, want: want, abort: abort, finish: finish}
}

// Read reads from the answer. It returns io.ErrUnexpectedEOF when the answer is cut short.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.stream.Read(p)
	b.got += n
	if err == io.EOF && b.want >= 0 && b.got < b.want {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && err != io.EOF && b.err == nil {
		b.abort()
	}
	b.err = err
	return n, err
}

// Close ends the body; it is whole when it was read to its end.
func (b *Body) Close() error {
	b.once.Do(func() {
		switch {
		case b.err == io.EOF || b.want >= 0 && b.got == b.want:
			b.finish(nil)
		case b.err == nil:
			b.abort()
			b.finish(io.ErrUnexpectedEOF)
		default:
			b.finish(b.err)
		}
	})
	return nil
}
