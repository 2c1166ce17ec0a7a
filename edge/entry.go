package edge

import (
	"context"
	"errors"
	"net/http"
	"time"
)

const (
	// minIdleTimeout is a lower bound on the configured idle timeout of callers' connections.
	minIdleTimeout = 5 * time.Second
	// idleSweepInterval is the time between two sweeps of idle connections.
	idleSweepInterval = time.Second
	// acceptAfterShutdown is how long new connections are accepted after SIGTERM. The platform
	// detects within two seconds that a host is not ready.
	acceptAfterShutdown = 2500 * time.Millisecond
)

// startEntry starts the server for callers.
func (e *Edge) startEntry(ctx context.Context) error {
	ln, err := listen(e.settings.EntryAddress, receiveBuffer)
	if err != nil {
		return err
	}
	e.entryServer = newConnServer("entry", ln, &http.Server{
		Handler:           e,
		ReadHeaderTimeout: maxHeaderTimeout, // connServer applies the configured limits
		MaxHeaderBytes:    maxHeaderBytes,
	}, e.log, e.metrics)
	e.entryServer.limits, e.entryServer.stopping = newAheadLimits(planMemory(e.settings).ahead), e.draining.Load
	e.entryServer.headerLimits, e.entryServer.requests = e.headerLimits, e.requests
	e.entryServer.bound.limit = maxCallerConns(e.settings, descriptorLimit())
	go e.entryServer.serve()
	go e.sweepIdle(ctx)
	return nil
}

// sweepIdle ends callers' connections that have been idle for the configured timeout.
// It runs until ctx ends.
func (e *Edge) sweepIdle(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, idleSweepInterval)
		table := e.table.Load()
		if table == nil || table.Configuration.Limits.IdleTimeout <= 0 {
			continue
		}
		timeout := max(minIdleTimeout, table.Configuration.Limits.IdleTimeout)
		e.entryServer.endIdle(timeout)
		e.entryServer.endUnused(timeout)
	}
}

// drainEntry accepts callers' connections for acceptAfterShutdown and closes each after its
// next response. It then stops accepting, and returns when all are closed or
// ctx ends. An expired deadline is logged and not returned as an error.
func (e *Edge) drainEntry(ctx context.Context) error {
	sleep(ctx, acceptAfterShutdown)
	err := e.entryServer.drain(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		e.log.Warn("entry: Shutdown deadline passed with requests in progress.", "active", e.activeRequests.Load())
		return nil
	}
	return err
}
