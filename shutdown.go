package redwingtally

import (
	"context"
	"errors"
	"time"

	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/peer"
)

const (
	// drainPoll is how often a daemon that shuts down looks for requests in flight.
	drainPoll = 20 * time.Millisecond
	// leaveGrace is how long a leaving daemon goes on taking requests, so that
	// the balancer can notice.
	leaveGrace = 300 * time.Millisecond
)

// Shutdown passes the daemon's groups on, stops accepting connections, serves
// what comes on open ones, finishes what is in flight and stops. It returns an
// error when ctx ends first.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.log.Info("Shutting down.", "part", "daemon")
	d.parts.cell.Leave()
	for _, h := range d.parts.manager.BeginShutdown() {
		d.handOver(ctx, h)
	}
	d.parts.cell.Announce()
	d.parts.entry.Leave()
	wait(ctx, leaveGrace)
	stopped := d.parts.callers.Stop(ctx)
	for d.parts.entry.InFlight()+d.parts.manager.InFlight() > 0 && ctx.Err() == nil {
		wait(ctx, drainPoll)
	}
	drained := ctx.Err()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := d.kernel.Stop(stop)
	d.parts.entry.Close()
	d.parts.clients.Close()
	d.workers.Release()
	d.log.Info("Daemon stopped.", "part", "daemon", "drained", drained == nil)
	return errors.Join(drained, stopped, err)
}

// stopTimeout bounds the stopping of services after the requests have ended.
const stopTimeout = 5 * time.Second

// handOver passes a group to the first candidate that takes it.
func (d *Daemon) handOver(ctx context.Context, h host.Holding) {
	g, ok := d.parts.manager.Group(h.Group)
	if !ok {
		return
	}
	defer g.Release()
	for _, c := range d.parts.cell.Candidates(h.Group, g.PreferredDataCentres()) {
		if c.Name == d.settings.Host {
			continue
		}
		call, cancel := context.WithTimeout(ctx, handoverTimeout)
		accepted, err := d.parts.clients.Handover(call, c.Control, peer.Handover{Group: h.Group, Term: h.Term})
		cancel()
		if err == nil && accepted {
			d.log.Info("Passed a group on.", "part", "daemon", "service", h.Group, "to", c.Name)
			return
		}
	}
	d.log.Warn("No daemon took a group.", "part", "daemon", "service", h.Group)
}

// handoverTimeout bounds a handover call.
const handoverTimeout = 300 * time.Millisecond

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
