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

// controlHeaderTimeout bounds the head of a request to the side servers.
const controlHeaderTimeout = 5 * time.Second

// startControl listens for other hosts, and for metrics and dumps.
func (e *Edge) startControl(context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(e.member.Handler())
	mux.Handle(e.member.YieldHandler())
	if err := e.serveSide("control", e.settings.ControlAddress, mux); err != nil {
		return err
	}
	side := http.NewServeMux()
	side.Handle("/metrics", e.metrics.Handler())
	side.HandleFunc("/dump", e.serveDump)
	return e.serveSide("metrics", e.settings.MetricsAddress, side)
}

// startReadiness listens for the platform's question whether the host takes callers.
func (e *Edge) startReadiness(context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := e.unready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	return e.serveSide("readiness", e.settings.ReadyAddress, mux)
}

// unready returns why the host takes no callers, or nothing when it does.
func (e *Edge) unready() string {
	switch {
	case e.draining.Load():
		return "stopping"
	case e.table.Load() == nil:
		return "no configuration"
	case !e.feed.Loaded(platform.KindTargets):
		return "no targets"
	}
	return ""
}

func (e *Edge) serveSide(name string, address netip.AddrPort, h http.Handler) error {
	ln, err := listen(address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: controlHeaderTimeout, ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelDebug)}
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) {
			e.log.Error("edge: Side server ended.", "server", name, "error", err.Error())
		}
	}()
	return nil
}

func (e *Edge) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.State()); err != nil {
		e.log.Warn("edge: Dump failed.", "error", err.Error())
	}
}
