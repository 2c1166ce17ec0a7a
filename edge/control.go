package edge

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// internalHeaderTimeout bounds the time to read the request header on the
// internal servers: control, metrics and readiness.
const internalHeaderTimeout = 5 * time.Second

// startControl starts the server for calls of other hosts and the server for
// metrics and state dumps.
func (e *Edge) startControl(context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(e.member.Handler())
	mux.Handle(e.member.YieldHandler())
	mux.Handle(e.member.PermitsHandler())
	mux.Handle(e.member.NewestHandler())
	if err := e.serveInternal("control", e.settings.ControlAddress, mux); err != nil {
		return err
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", e.metrics.Handler())
	metricsMux.HandleFunc("/dump", e.serveDump)
	return e.serveInternal("metrics", e.settings.MetricsAddress, metricsMux)
}

// startReadiness starts the server for the platform's readiness checks.
func (e *Edge) startReadiness(context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := e.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	return e.serveInternal("readiness", e.settings.ReadyAddress, mux)
}

// notReadyReason returns why the host does not accept callers, or an empty
// string if it does.
func (e *Edge) notReadyReason() string {
	switch {
	case e.draining.Load():
		return reasonStopping
	case e.table.Load() == nil:
		return "no configuration"
	case !e.targetsLoaded():
		return "no targets"
	case e.cutOff() && e.relays.count() == 0:
		return "cut off from targets"
	}
	return ""
}

// serveInternal listens on address and serves h in the background. The name
// identifies the server in the log.
func (e *Edge) serveInternal(name string, address netip.AddrPort, h http.Handler) error {
	ln, err := listen(address, 0)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: internalHeaderTimeout, ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelDebug)}
	go func() {
		if err := srv.Serve(lastingListener{ln}); err != nil && !errors.Is(err, net.ErrClosed) {
			e.log.Error("edge: Internal server failed.", "server", name, "error", err.Error())
		}
	}()
	return nil
}

// serveDump writes the state dump as JSON.
func (e *Edge) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.State()); err != nil {
		e.log.Warn("edge: Writing the state dump failed.", "error", err.Error())
	}
}
