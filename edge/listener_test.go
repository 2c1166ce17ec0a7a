package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/metric"
)

// failingListener fails a number of times before it accepts connections.
type failingListener struct {
	net.Listener
	err  error
	left atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: l.err}
	}
	return l.Listener.Accept()
}

// A server goes on after errors of Accept that pass: it stopped accepting connections for the rest of the process's life.
func TestServersSurviveErrorsOfAccept(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENOBUFS, syscall.EPROTO, syscall.ENETDOWN} {
		c := qt.New(t)
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		failing := &failingListener{Listener: ln, err: errno}
		failing.left.Store(2)
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		s := newConnServer("entry", failing, &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}, slog.New(slog.DiscardHandler), metric.New())
		s.bound.limit = 10
		go s.serve()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ln.Addr().String()+"/", nil)
		c.Assert(err, qt.IsNil)
		resp, err := http.DefaultTransport.RoundTrip(req)
		c.Check(err, qt.IsNil, qt.Commentf("%s", errno))
		if err == nil {
			c.Check(resp.StatusCode, qt.Equals, http.StatusNoContent)
			_ = resp.Body.Close()
		}
		_ = s.server.Close()
		<-s.served // also returns after errors, once the listener is closed
		cancel()
	}
}
