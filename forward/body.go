package forward

import (
	"io"
	"sync"
)

// A Body streams a response body from one connection to another. A truncated body
// is an error: hertz writes the final chunk of a chunked body even when its reader
// fails, so Body first closes the connection to the caller.
type Body struct {
	stream   io.Reader
	size     int
	received int
	err      error
	once     sync.Once
	abort    func()
	finish   func(error)
}

// NewBody returns a Body of size bytes, -1 when unknown. abort closes the
// connection that the body is written to; it is called when the body is truncated.
// finish is called once by Close, with nil when the whole body was read.
func NewBody(stream io.Reader, size int, abort func(), finish func(error)) *Body {
	return &Body{stream: stream, size: size, abort: abort, finish: finish}
}

// Read reads from the response body. It returns io.ErrUnexpectedEOF when the body
// ends before its size.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.stream.Read(p)
	b.received += n
	if err == io.EOF && b.size >= 0 && b.received < b.size {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && err != io.EOF && b.err == nil {
		b.abort()
	}
	b.err = err
	return n, err
}

// Close calls finish on its first call. A body that was not read to its end is
// aborted and reported as io.ErrUnexpectedEOF; a read error is reported as it is.
func (b *Body) Close() error {
	b.once.Do(func() {
		switch {
		case b.err == io.EOF || b.size >= 0 && b.received == b.size:
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
