package redwingtally

import (
	"context"
	"errors"
	"time"

	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/peer"
)

const (
	// drainPollInterval is the interval at which a stopping daemon checks for
	// requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// leaveDelay is the time for which a leaving daemon still accepts
	// connections, so that the load balancer can stop sending to it.
	leaveDelay = 300 * time.Millisecond
	// handoverTimeout limits a handover call.
	handoverTimeout = 300 * time.Millisecond
	// stopTimeout limits the stopping of services after the requests have ended.
	stopTimeout = 5 * time.Second
)

// Shutdown hands over the daemon's groups and stops accepting connections. It
// serves requests on open connections until no request is in flight, and then
// stops all services. It returns an error if ctx ends first.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.log.Info("Shutting down.", "part", "daemon")
	d.components.cell.Leave()
	for _, h := range d.components.manager.BeginShutdown() {
		d.handOver(ctx, h)
	}
	d.components.cell.Announce()
	d.components.entry.DisableKeepAlives()
	sleep(ctx, leaveDelay)
	stopped := d.components.callers.Stop(ctx)
	for d.components.entry.InFlight()+d.components.manager.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	drained := ctx.Err()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := d.kernel.Stop(stop)
	d.components.entry.Close()
	d.components.clients.Close()
	d.workers.Release()
	d.log.Info("Daemon stopped.", "part", "daemon", "drained", drained == nil)
	return errors.Join(drained, stopped, err)
}

// handOver hands a group over to the first candidate that accepts it, and
// releases it locally.
func (d *Daemon) handOver(ctx context.Context, h host.Holding) {
	g, ok := d.components.manager.Group(h.Group)
	if !ok {
		return
	}
	defer g.Release()
	for _, c := range d.components.cell.Candidates(h.Group, g.PreferredDataCentres()) {
		if c.Name == d.settings.Host {
			continue
		}
		call, cancel := context.WithTimeout(ctx, handoverTimeout)
		accepted, err := d.components.clients.Handover(call, c.ControlAddress, peer.Handover{Group: h.Group, Term: h.Term})
		cancel()
		if err == nil && accepted {
			d.log.Info("Handed over a group.", "part", "daemon", "service", h.Group, "to", c.Name)
			return
		}
	}
	d.log.Warn("No daemon accepted the handover of a group.", "part", "daemon", "service", h.Group)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
