// Package httpd runs an HTTP server that streams request bodies and cancels the
// context of a request when its caller disconnects.
//
// # Usage
//
//	s, err := httpd.New(address)
//	s.Handle(handler)
//	s.Start()
//	err = s.Stop(ctx)
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

// ErrListen reports that the server cannot listen on its address.
var ErrListen = eris.New("httpd: cannot listen")

// Limits of requests and connections.
const (
	// MaxHeaderBytes is the maximum size of a request header in bytes.
	MaxHeaderBytes = 64 * 1024
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes = 1 << 30
	// idleTimeout is the time after which a connection without a request is closed.
	idleTimeout = time.Minute
	// exitWait bounds the wait for open connections during shutdown; the context of
	// Stop usually ends earlier.
	exitWait = time.Hour
)

// silenceLog raises the level of hertz's log, which is global to the process.
var silenceLog sync.Once

// A Server is an HTTP server with its listener.
type Server struct {
	// Engine is the underlying hertz server. Handlers are registered before Start.
	Engine *server.Hertz

	listener net.Listener
	done     chan struct{}
}

// New listens on address and returns a server that is not started yet. It returns
// ErrListen if it cannot listen.
func New(address netip.AddrPort) (*Server, error) {
	silenceLog.Do(func() { hlog.SetLevel(hlog.LevelFatal) })
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
		server.WithMaxHeaderBytes(MaxHeaderBytes),
		server.WithMaxRequestBodySize(MaxBodyBytes),
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

// Handle registers h for all requests without a handler of their own.
func (s *Server) Handle(h app.HandlerFunc) {
	s.Engine.NoRoute(h)
	s.Engine.NoMethod(h)
}

// Start serves requests in a background goroutine.
func (s *Server) Start() {
	go func() {
		defer close(s.done)
		_ = s.Engine.Run()
	}()
}

// Stop stops accepting connections and waits until open ones are closed or ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.Engine.Shutdown(ctx)
	select {
	case <-s.done:
	case <-ctx.Done():
	}
	return err
}
