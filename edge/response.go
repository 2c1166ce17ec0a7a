package edge

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/platform"
)

const (
	// copyBuffer is the size in bytes of the pieces in which the rest of a response is passed on, and minCopyBuffer that while there
	// is no memory.
	copyBuffer    = 32 << 10
	minCopyBuffer = 4 << 10
)

// writeResponse sends a target's response, whose headers are in w, to the caller. It
// returns an error if the response could not be passed on completely.
func writeResponse(w http.ResponseWriter, resp *exchange.Response, memory *responseBudget) error {
	defer resp.Close()
	if resp.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil {
		return err
	}
	resp.DropBody() // a caller may read the rest slowly
	if resp.Rest == nil {
		return nil
	}
	return copyRest(w, resp.Rest, memory)
}

// copyRest copies the rest of a response to the caller in counted memory. It does not use the ReadFrom of w, which writes past
// trackedConn.
func copyRest(w io.Writer, rest io.Reader, memory *responseBudget) error {
	size := minCopyBuffer
	if memory.Reserve(copyBuffer) {
		defer memory.Release(copyBuffer)
		size = copyBuffer
	}
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{rest}, make([]byte, size))
	return err
}

// writeRejection sends a plain-text response with the reason for the rejection.
// It sets the request ID and Retry-After headers unless id is empty or
// retryAfter is zero.
func writeRejection(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration) {
	h := w.Header()
	if id != "" {
		platform.SetRequestID(h, id)
	}
	if retryAfter > 0 {
		platform.SetRetryAfter(h, retryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n") // the context of the request reports a disconnected caller
}
