package edge

import (
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingtally/redwingtally/quarantine"
)

const (
	// maxBufferedBody is the size in bytes up to which a body is buffered before the
	// request is sent. Only buffered bodies can be sent again.
	maxBufferedBody = 1 << 20
	// firstBodyBlock and maxBodyBlock are the sizes in bytes of the first and the largest buffers for a body. Each
	// is twice as large as the one before, so that a body takes at most twice the memory of the bytes that have arrived.
	firstBodyBlock = 4 << 10
	maxBodyBlock   = 32 << 10
	// maxJoinedBody is the size in bytes up to which the blocks of a body are joined. Such a body is written with the head of its request.
	maxJoinedBody = 16 << 10
	// streamBuffer is the memory that a streamed body holds.
	streamBuffer = 32 << 10
	// streamGrace is how long after the deadline the rest of a streamed body may be read. Without a bound, a caller that stops
	// would keep its connection for ever.
	streamGrace = time.Second
	// discardTime bounds how long the server reads on after it refused a body. It discards some of it, so that a
	// caller that is sending gets the response before the connection ends.
	discardTime = 500 * time.Millisecond
)

// A body is a caller's request body. Bytes beyond maxBufferedBody are streamed.
// The length is in bytes, or -1 for a streamed body of unknown length.
type body struct {
	head   []byte    // the first buffered bytes
	more   [][]byte  // the other buffered bytes
	rest   io.Reader // the bytes after them; nil if the whole body is buffered
	length int64

	buffered int64        // number of buffered bytes
	held     *heldRequest // the memory of the request
	header   int64        // the part of it for the header
}

// bufferedBytes returns how many bytes of the body readBody buffers at most.
func bufferedBytes(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return maxBufferedBody + 1
	}
	return r.ContentLength
}

// readBody buffers up to maxBufferedBody bytes of the caller's body in memory of its request. The bytes
// must arrive by the deadline. A limit of zero allows any length.
func readBody(w http.ResponseWriter, r *http.Request, memory *heldRequest, limit int64, deadline time.Time) (body, error) {
	b := body{length: r.ContentLength, held: memory, header: memory.memory()}
	if r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return b, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline) // on failure a slow caller blocks only its own connection
	b.held.receive(func() { _ = control.SetReadDeadline(expired) })
	source := io.Reader(r.Body)
	if limit > 0 {
		source = http.MaxBytesReader(w, r.Body, limit)
	}
	complete, err := b.buffer(source, deadline)
	r.Trailer = nil // not passed on
	if refusal := b.held.received(); refusal != nil {
		_ = control.SetReadDeadline(time.Now().Add(discardTime))
		return b, refusal
	}
	if err != nil {
		return b, err
	}
	if complete {
		b.length = b.buffered
		_ = control.SetReadDeadline(time.Time{})
		return b, nil
	}
	_ = control.SetReadDeadline(deadline.Add(streamGrace))
	b.rest = &streamedRest{source: source, ended: func() {
		r.Trailer = nil
		_ = control.SetReadDeadline(time.Time{})
	}}
	return b, nil
}

// buffer reads up to maxBufferedBody bytes, and one more if the length is unknown. It reports whether that is the whole body.
func (b *body) buffer(source io.Reader, deadline time.Time) (complete bool, err error) {
	for size := int64(firstBodyBlock); ; size = min(2*size, maxBodyBlock) {
		n := min(size, maxBufferedBody-b.buffered)
		switch {
		case b.length > maxBufferedBody && n == 0:
			b.join()
			return false, nil
		case b.length >= 0 && b.length <= maxBufferedBody:
			n = min(n, b.length-b.buffered)
		}
		if n == 0 {
			n = 1 // reads the end; the server detects a disconnected caller only after it
		} else if err := b.held.reserve(n, deadline); err != nil {
			return false, err
		}
		block, err := fill(source, make([]byte, n))
		if len(block) > 0 {
			b.buffered += int64(len(block))
			b.more = append(b.more, block)
		}
		switch {
		case err != nil && err != io.EOF:
			return false, err
		case b.buffered > maxBufferedBody:
			b.join()
			return false, nil
		case err == io.EOF:
			b.join()
			return true, nil
		}
	}
}

// fill reads into block until it is full or source ends, and returns the part that was read. Unlike io.ReadFull, it returns the
// error of source as it is, so that a body that breaks off is not taken for a complete one.
func fill(source io.Reader, block []byte) ([]byte, error) {
	n := 0
	for n < len(block) {
		got, err := source.Read(block[n:])
		n += got
		if err != nil {
			return block[:n], err
		}
	}
	return block, nil
}

// join sets the head: the whole body if it is small, otherwise the first block.
func (b *body) join() {
	switch {
	case len(b.more) == 0:
	case len(b.more) > 1 && b.buffered <= maxJoinedBody:
		b.head = make([]byte, 0, b.buffered)
		for _, block := range b.more {
			b.head = append(b.head, block...)
		}
		b.more = nil
	default:
		b.head, b.more = b.more[0], b.more[1:]
	}
}

// drop gives the buffered bytes of a streamed body back, which have been sent.
func (b *body) drop() {
	b.head, b.more = nil, nil
	b.held.shrinkTo(b.header + streamBuffer)
}

// fingerprint returns a hash of the method, host, URI and buffered body, which is
// equal for identical requests.
func fingerprint(r *http.Request, b *body) quarantine.Fingerprint {
	d := xxhash.New()
	for _, s := range []string{r.Method, "\n", r.Host, "\n", r.RequestURI, "\n"} {
		_, _ = d.WriteString(s) // a hash never returns an error
	}
	_, _ = d.Write(b.head)
	for _, block := range b.more {
		_, _ = d.Write(block)
	}
	return quarantine.Fingerprint(d.Sum64())
}
