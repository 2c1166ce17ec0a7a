package edge

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/platform"
)

// deliver passes a target's answer on unchanged. It reports whether the answer was complete.
func deliver(w http.ResponseWriter, a *exchange.Response) error {
	defer a.Close()
	h := w.Header()
	exchange.CopyEndToEndHeaders(h, a.Header)
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		return err
	}
	if a.Rest == nil {
		return nil
	}
	_, err := io.Copy(w, a.Rest)
	return err
}

// reject answers a request that has not run.
func reject(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration) {
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
	_, _ = io.WriteString(w, reason+"\n") // a caller that left is noticed by its context
}
