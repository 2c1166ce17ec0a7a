// Package httpd runs an HTTP server on a listener, with bodies streamed and
// departing callers noticed.
package httpd

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/rotisserie/eris"
)

// ErrListen reports that an address cannot be listened on.
var ErrListen = eris.New("httpd: cannot listen")

// Limits of requests.
const (
	// MaxHeader is the greatest size of a request's head in bytes.
	MaxHeader = 64 * 1024
	// MaxBody is the greatest size of a request's body in bytes.
	MaxBody = 1 << 30
	// idleTimeout closes connections that carry no request.
	idleTimeout = time.Minute
	// exitWait bounds the wait for open connections at the end; the context of Stop is usually shorter.
	exitWait = time.Hour
)

var quiet sync.Once

// A Server is one HTTP server.
type Server struct {
	// Engine registers handlers before Start.
	Engine *server.Hertz

	listener net.Listener
	done     chan struct{}
}

// New listens on address and returns a server, or ErrListen.
func New(address netip.AddrPort) (*Server, error) {
	quiet.Do(func() { hlog.SetLevel(hlog.LevelFatal) })
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	engine := server.New(
		server.WithListener(ln),
		server.WithStreamBody(true),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithMaxHeaderBytes(MaxHeader),
		server.WithMaxRequestBodySize(MaxBody),
		server.WithRedirectTrailingSlash(false),
		server.WithDisablePreParseMultipartForm(true),
	)
	return &Server{Engine: engine, listener: ln, done: make(chan struct{})}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort {
	a, _ := netip.ParseAddrPort(s.listener.Addr().String())
	return a
}

// Handle sends every request to h.
func (s *Server) Handle(h app.HandlerFunc) {
	s.Engine.NoRoute(h)
	s.Engine.NoMethod(h)
}

// Start serves in the background.
func (s *Server) Start() {
	go func() {
		defer close(s.done)
		_ = s.Engine.Run()
	}()
}

// Stop stops accepting connections and waits for open ones within ctx.
func (s *Server) Stop(ctx context.Context) error {
	err := s.Engine.Shutdown(ctx)
	select {
	case <-s.done:
	case <-ctx.Done():
	}
	return err
}
