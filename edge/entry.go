package edge

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/metric"
)

const (
	// maxHeaderBytes bounds the size of a request header. Configured limits are smaller.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time from the first byte of a request to the end of its header.
	headerTimeout = 10 * time.Second
	// minIdleTimeout is a lower bound on the configured idle timeout of callers' connections.
	minIdleTimeout = 5 * time.Second
	// idleSweepInterval is the time between two sweeps of idle connections.
	idleSweepInterval = time.Second
	// acceptAfterShutdown is how long new connections are accepted after SIGTERM. The platform
	// detects within two seconds that a host is not ready.
	acceptAfterShutdown = 2500 * time.Millisecond
)

// entryServer is the HTTP server for callers. It closes idle connections itself to
// detect requests that arrive on a connection while it is being closed.
type entryServer struct {
	server   *http.Server
	listener net.Listener
	log      *slog.Logger
	metrics  *metric.Set
	mu       sync.Mutex
	conns    map[net.Conn]*callerConn
}

// callerConn is the state of a caller's connection.
type callerConn struct {
	idleSince    time.Time // start of the idle period; zero while a request is in progress
	closedByHost bool      // the host closed the connection while it was idle
	readAt       time.Time // when the header of the last request was read
	handled      bool      // a handler was called for that request
}

// connContextKey is the context key of the callerConn of a request.
type connContextKey struct{}

// startEntry starts the server for callers.
func (e *Edge) startEntry(ctx context.Context) error {
	ln, err := listen(e.settings.EntryAddress)
	if err != nil {
		return err
	}
	en := &entryServer{listener: ln, log: e.log, metrics: e.metrics, conns: map[net.Conn]*callerConn{}}
	en.server = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         en.trackState,
		ConnContext:       en.attachConn,
		ErrorLog:          slog.NewLogLogger(e.log.Handler(), slog.LevelWarn), // a panic closes the caller's connection
	}
	e.entryServer = en
	go func() {
		if err := en.server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("entry: Server failed.", "error", err.Error())
		}
	}()
	go en.sweepIdle(ctx, e)
	return nil
}

// attachConn registers a new connection and stores its callerConn in the context
// of its requests.
func (en *entryServer) attachConn(ctx context.Context, c net.Conn) context.Context {
	info := &callerConn{}
	en.mu.Lock()
	en.conns[c] = info
	en.mu.Unlock()
	return context.WithValue(ctx, connContextKey{}, info)
}

// trackState records since when a connection is idle. The server reports the
// active state before it handles the next request of the connection.
func (en *entryServer) trackState(c net.Conn, s http.ConnState) {
	en.mu.Lock()
	defer en.mu.Unlock()
	info := en.conns[c]
	switch {
	case info == nil:
	case s == http.StateIdle:
		info.idleSince = time.Now()
	case s == http.StateActive:
		info.idleSince = time.Time{}
		info.readAt, info.handled = time.Now(), false
	case s == http.StateClosed || s == http.StateHijacked:
		delete(en.conns, c)
		en.logUnhandled(c, info)
	}
}

// logUnhandled counts and logs a connection that ends after a request was read from it and before a handler was called.
func (en *entryServer) logUnhandled(c net.Conn, info *callerConn) {
	if info.readAt.IsZero() || info.handled {
		return
	}
	en.metrics.UnhandledRequests.WithLabelValues().Inc()
	en.log.Warn("entry: Connection ended with a request that was not handled.", "caller", c.RemoteAddr().String(),
		"read_ms_ago", time.Since(info.readAt).Milliseconds(), "closed_by_host", info.closedByHost)
}

// connClosed reports whether the host has closed the connection of a request.
// Such a request must not run, because its caller receives no response.
func (en *entryServer) connClosed(r *http.Request) bool {
	info, ok := r.Context().Value(connContextKey{}).(*callerConn)
	if !ok {
		return false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	info.handled = !info.closedByHost
	return info.closedByHost
}

// sweepIdle closes connections that have been idle for the configured timeout.
// It runs until ctx ends.
func (en *entryServer) sweepIdle(ctx context.Context, e *Edge) {
	for ctx.Err() == nil {
		sleep(ctx, idleSweepInterval)
		table := e.table.Load()
		if table == nil || table.Configuration.Limits.IdleTimeout <= 0 {
			continue
		}
		en.closeIdle(max(minIdleTimeout, table.Configuration.Limits.IdleTimeout))
	}
}

// closeIdle closes connections that have been idle for at least after.
func (en *entryServer) closeIdle(after time.Duration) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	for c, info := range en.conns {
		if !info.closedByHost && !info.idleSince.IsZero() && now.Sub(info.idleSince) >= after {
			info.closedByHost = true
			_ = c.Close() // the server detects the closed connection
		}
	}
}

// logConnections logs how many connections are in which state.
func (en *entryServer) logConnections(message string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	unused, idle, active := 0, 0, 0
	for _, info := range en.conns {
		switch {
		case info.readAt.IsZero():
			unused++
		case !info.idleSince.IsZero():
			idle++
		default:
			active++
		}
	}
	en.log.Info(message, "unused", unused, "idle", idle, "active", active)
}

// drain accepts connections for acceptAfterShutdown and closes each after its
// next response. It then stops accepting, and returns when no request is in
// progress or ctx ends. An expired deadline is logged and not returned as an error.
func (en *entryServer) drain(ctx context.Context, e *Edge) error {
	sleep(ctx, acceptAfterShutdown)
	en.logConnections("entry: No longer accepting connections.")
	en.closeIdle(0)
	err := en.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		e.log.Warn("entry: Shutdown deadline passed with requests in progress.", "active", e.activeRequests.Load())
		return nil
	}
	return err
}
