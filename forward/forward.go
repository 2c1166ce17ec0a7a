// Package forward copies requests and answers between connections.
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

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
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

// CopyRequestHeader copies the headers of a request that go end to end.
func CopyRequestHeader(from, to *protocol.RequestHeader) {
	from.VisitAll(func(name, value []byte) {
		if !hopHeaders[string(name)] {
			to.AddArgBytes(name, value, protocol.ArgsHasValue)
		}
	})
	to.SetHostBytes(from.Host())
	to.SetContentTypeBytes(from.ContentType())
}

// CopyResponseHead copies the status and the headers of an answer that go end to end.
func CopyResponseHead(from, to *protocol.Response) {
	to.SetStatusCode(from.StatusCode())
	from.Header.VisitAll(func(name, value []byte) {
		if !hopHeaders[string(name)] {
			to.Header.SetCanonical(name, value)
		}
	})
}

// Abort returns a function that closes the connection of a request's caller.
func Abort(c *app.RequestContext) func() {
	conn := c.GetConn()
	return func() {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// ReadBody returns a copy of a small answer's body, or an error when it was cut short.
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
