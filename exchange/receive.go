package exchange

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/platform"
)

// read reads one response. It returns nil for a response to another request.
func (x *exchange) read() (*Response, error) {
	httpResp, err := x.readHead() //nolint:bodyclose // finish reads the body to its end or closes the connection
	if err != nil {
		return nil, err
	}
	resp := &Response{Status: httpResp.StatusCode, Header: httpResp.Header, Length: httpResp.ContentLength}
	resp.ResponseMeta = platform.ReadResponseMeta(httpResp.StatusCode, httpResp.Header)
	x.noReuse = x.noReuse || httpResp.Close
	if resp.ID != x.request.ID && (resp.ID != "" || x.reused) {
		x.noReuse = true
		_, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, MaxBufferedBody))
		return nil, err
	}
	if resp.Status < 300 && (!resp.Signed || resp.ID == "") || resp.Header.Get("Content-Encoding") != "" {
		return nil, eris.Wrapf(ErrInvalidResponse, "status %d: no signature or request ID, or an encoded body", resp.Status)
	}
	if x.request.Head != nil {
		x.request.Head(resp.ResponseMeta)
	}
	if endsWithConnection(httpResp) {
		httpResp.Body = &untilCloseBody{httpResp.Body, x}
	}
	complete, err := x.bufferBody(resp, httpResp.Body)
	if err != nil {
		resp.DropBody()
		return nil, err
	}
	if len(resp.Body) > MaxBufferedBody && resp.Status >= 300 && resp.Length < 0 {
		resp.DropBody()
		return nil, eris.Wrapf(ErrInvalidResponse, "status %d: body of unknown length is longer than %d bytes", resp.Status, MaxBufferedBody)
	}
	if complete {
		resp.Length = int64(len(resp.Body))
		x.finish(httpResp)
		return resp, nil
	}
	resp.Rest = httpResp.Body
	resp.finish = func() { x.finish(httpResp) }
	return resp, nil
}

// bufferBody reads a body of up to MaxBufferedBody bytes into resp. It stops before the end of a longer body, or if there is
// no memory for more: callers that do not read must not make a host buffer without bound. It reports whether the body is complete.
func (x *exchange) bufferBody(resp *Response, body io.Reader) (complete bool, err error) {
	held := int64(0)
	if x.client.memory != nil {
		resp.release = func() { x.client.memory.Release(held) }
	}
	first := int64(firstResponseBuffer)
	if resp.Length >= 0 {
		first = min(first, resp.Length+1)
	}
	buffer := make([]byte, 0, first) // not counted, as it takes no more than the connection's own
	for {
		if len(buffer) == cap(buffer) {
			size := min(2*cap(buffer), MaxBufferedBody+1)
			if size == cap(buffer) || x.client.memory != nil && !x.client.memory.Reserve(int64(size-cap(buffer))) {
				return false, nil
			}
			held += int64(size - cap(buffer))
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		resp.Body = buffer
		if err == io.EOF {
			return len(buffer) <= MaxBufferedBody, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// firstResponseBuffer is the size in bytes of the first buffer for a response.
const firstResponseBuffer = 4 << 10

// minStatus is the lowest status code of HTTP.
const minStatus = 100

// endsWithConnection reports whether the body of a response ends where the target closes the connection.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// untilCloseBody is the body of a response that ends with its connection. Such a body is complete only if the whole request was
// written: a reset is reported once, and if the write gets the error, the read sees an ordinary end.
type untilCloseBody struct {
	io.ReadCloser
	exchange *exchange
}

func (b *untilCloseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.exchange.written() {
		err = eris.Wrap(ErrConnectionFailed, "connection ended while the request was written")
	}
	return n, err
}

// written reports whether the whole request was written.
func (x *exchange) written() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.writing && x.writeErr == nil
}

// readHead reads the head of the next final response and skips 1xx responses. The
// limit applies to all of them together.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.limit.limitTo(maxHeadBytes)
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			if isConnectionError(err) || eris.Is(err, ErrInvalidResponse) {
				return nil, err
			}
			return nil, eris.Wrapf(ErrInvalidResponse, "%v", err)
		}
		if resp.StatusCode < minStatus {
			return nil, eris.Wrapf(ErrInvalidResponse, "status %03d", resp.StatusCode)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrInvalidResponse, "unexpected status 101 Switching Protocols")
		}
		if resp.StatusCode >= 200 {
			x.conn.limit.unlimit()
			return resp, nil
		}
	}
}

// finish returns the connection to the pool if request and response are
// complete, and closes it otherwise. While a buffered request body is still being
// written, it defers the return to the end of the write; a connection whose streamed
// request body is still being written is closed.
func (x *exchange) finish(httpResp *http.Response) {
	c := x.conn
	var one [1]byte
	if n, err := httpResp.Body.Read(one[:]); n > 0 || err != io.EOF {
		x.noReuse = true
	}
	if !x.stop() || x.noReuse {
		c.close()
		return
	}
	c.expires = time.Now().Add(idleTimeout(httpResp.Header))
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.writing {
		x.returnToPool()
		return
	}
	if x.request.Rest != nil {
		c.close() // the caller's body cannot be read after its request has ended
		return
	}
	x.afterWrite = x.returnToPool
}

// unreadBodyPoll is the time between two checks whether a target has read the rest of a long body.
const unreadBodyPoll = 50 * time.Millisecond

// returnToPool adds the connection to the pool, or closes it after a failed write. If the target responded before it has read
// a long body, the connection waits until it has, or expires: the next request would wait behind the rest of the body.
func (x *exchange) returnToPool() {
	if x.writeErr != nil || x.conn.SetDeadline(time.Time{}) != nil {
		x.conn.close()
		return
	}
	if x.noUnackedTimeout {
		switch unread := platform.HasUnacknowledged(x.conn.TCPConn); {
		case unread && time.Now().After(x.conn.expires):
			x.conn.close()
			return
		case unread:
			time.AfterFunc(unreadBodyPoll, x.returnToPool)
			return
		}
		if platform.SetUnackedTimeout(x.conn.TCPConn, platform.UnackedTimeout) != nil {
			x.conn.close()
			return
		}
	}
	x.client.pool.Put(x.conn)
}
