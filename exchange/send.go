package exchange

import (
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/platform"
)

// send writes the request. A long or streamed body is written in the background.
func (x *exchange) send() error {
	r := x.request
	head := appendHead(nil, r)
	if x.deadlinePassed() {
		return eris.Wrap(ErrNotSent, "deadline passed before the request was written")
	}
	if r.Allowed != nil && !r.Allowed() {
		return eris.Wrap(ErrNotSent, "no longer allowed at this target")
	}
	if len(r.Body) <= maxInlineBody && len(r.More) == 0 && r.Rest == nil {
		n, err := x.conn.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return eris.Wrapf(ErrNotSent, "%v", err)
		}
		// After a partial write the target may still have responded, so the
		// response is read nevertheless.
		x.noReuse, x.writeErr = err != nil, err
		return nil
	}
	// A target may read a long body late. The request's deadline bounds the wait.
	if err := platform.SetUnackedTimeout(x.conn.TCPConn, 0); err != nil {
		return eris.Wrapf(ErrNotSent, "%v", err)
	}
	x.noUnackedTimeout = true
	if n, err := x.conn.Write(head); err != nil && n == 0 {
		return eris.Wrapf(ErrNotSent, "%v", err)
	}
	x.writing = true
	err := x.client.spawn(func() {
		err := x.writeBody()
		x.mu.Lock()
		x.writing, x.writeErr = false, err
		done := x.afterWrite
		x.mu.Unlock()
		if eris.Is(err, ErrRequestBody) {
			x.conn.close()
		}
		if done != nil {
			done()
		}
	})
	if err != nil {
		x.writing = false
		return eris.Wrapf(ErrConnectionFailed, "head sent, body not: %v", err)
	}
	return nil
}

// deadlinePassed reports whether the deadline has passed. It reads the clock, because
// the deadline's timer may fire seconds late on a host short of CPU time.
func (x *exchange) deadlinePassed() bool {
	return !x.deadline.IsZero() && !x.client.now().Before(x.deadline)
}

// writeBody writes the complete body, chunked if its length is unknown.
func (x *exchange) writeBody() error {
	r := x.request
	if r.Length >= 0 {
		buffered, err := writeBuffered(r, x.conn.Write)
		if err != nil || r.Rest == nil {
			return err
		}
		n, err := io.Copy(x.conn, bodyReader{r.Rest})
		if err == nil && n != r.Length-buffered {
			err = eris.Wrap(ErrRequestBody, "length differs from Content-Length")
		}
		return err
	}
	return writeChunks(x.conn, r)
}

// writeBuffered passes the buffered parts of a body to write and returns their length. If a Rest follows, it drops them.
func writeBuffered(r *Request, write func([]byte) (int, error)) (int64, error) {
	n := int64(len(r.Body))
	if _, err := write(r.Body); err != nil {
		return 0, err
	}
	for _, part := range r.More {
		if _, err := write(part); err != nil {
			return 0, err
		}
		n += int64(len(part))
	}
	if r.Rest != nil {
		r.Body, r.More = nil, nil
		if r.BufferedSent != nil {
			r.BufferedSent()
		}
	}
	return n, nil
}

// writeChunks writes a body of unknown length in the chunked transfer coding.
func writeChunks(w io.Writer, r *Request) error {
	chunk := func(b []byte) (int, error) {
		if len(b) == 0 {
			return 0, nil
		}
		head := append(strconv.AppendInt(nil, int64(len(b)), 16), "\r\n"...)
		parts := net.Buffers{head, b, []byte("\r\n")} // not copied into one, which would take the memory twice
		n, err := parts.WriteTo(w)
		return int(n), err
	}
	if _, err := writeBuffered(r, chunk); err != nil {
		return err
	}
	buf := make([]byte, maxInlineBody)
	for r.Rest != nil {
		n, err := bodyReader{r.Rest}.Read(buf)
		if _, werr := chunk(buf[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// bodyReader wraps read errors of the caller's body in ErrRequestBody.
type bodyReader struct{ r io.Reader }

func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err != nil && err != io.EOF {
		err = eris.Wrapf(ErrRequestBody, "%v", err)
	}
	return n, err
}

// appendHead appends the request line and the headers of a request.
func appendHead(b []byte, r *Request) []byte {
	b = append(append(append(b, r.Method...), ' '), r.URI...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), r.Host...), "\r\n"...)
	for name, values := range r.Header {
		if hopByHop[name] {
			continue
		}
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	switch {
	case r.Length > 0 || r.Length == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead:
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), r.Length, 10), "\r\n"...)
	case r.Length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return append(b, "\r\n"...)
}
