// Package forward copies requests and responses between the connections of a
// proxy.
//
// # Usage
//
//	forward.CopyRequestHeader(&c.Request.Header, &req.Header)
//	forward.CopyResponseHead(resp, &c.Response)
package forward

import (
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// hopByHopHeaders are the headers that apply to one connection and are not
// forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// CopyRequestHeader copies the end-to-end headers of a request.
func CopyRequestHeader(from, to *protocol.RequestHeader) {
	from.VisitAll(func(name, value []byte) {
		if !hopByHopHeaders[string(name)] {
			to.AddArgBytes(name, value, protocol.ArgsHasValue)
		}
	})
	to.SetHostBytes(from.Host())
	to.SetContentTypeBytes(from.ContentType())
}

// CopyResponseHead copies the status and the end-to-end headers of a response.
func CopyResponseHead(from, to *protocol.Response) {
	to.SetStatusCode(from.StatusCode())
	from.Header.VisitAll(func(name, value []byte) {
		if !hopByHopHeaders[string(name)] {
			to.Header.SetCanonical(name, value)
		}
	})
}

// CloseCallerConn returns a function that closes the connection to the caller of a request.
func CloseCallerConn(c *app.RequestContext) func() {
	conn := c.GetConn()
	return func() {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// ReadBody reads the whole body of a response. It returns io.ErrUnexpectedEOF when
// the body is shorter than its Content-Length.
func ReadBody(resp *protocol.Response) ([]byte, error) {
	if !resp.IsBodyStream() {
		return append([]byte(nil), resp.Body()...), nil
	}
	want := resp.Header.ContentLength()
	body, err := io.ReadAll(resp.BodyStream())
	if err == nil && want >= 0 && len(body) < want {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
