package cell

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/peer"
)

// heartbeatLink is the heartbeat sender for one daemon. It sends one heartbeat at a time.
type heartbeatLink struct {
	// nextSend is the earliest time of the next heartbeat.
	nextSend time.Time
	// fastInterval reports whether the last heartbeat announced the fast interval.
	fastInterval bool
	// pending holds the latest heartbeat that has not been sent yet.
	pending chan peer.Heartbeat
}

// sendHeartbeats queues a heartbeat for each peer whose heartbeat is due, or
// for every peer if all is set. It then tries to acquire groups without a
// holder.
func (c *Membership) sendHeartbeats(all bool) {
	holdings := c.deps.Holdings()
	versions := c.versions()
	preferred := make([][]string, len(holdings))
	for i, h := range holdings {
		preferred[i] = c.deps.PreferredDataCentres(h.Group)
	}
	c.mu.Lock()
	now := time.Now()
	c.quarantined = slices.DeleteFunc(c.quarantined, func(s peer.Quarantine) bool { return now.After(s.Until) })
	b := peer.Heartbeat{Sender: c.view.Self(), Holdings: holdings, Versions: versions, Quarantined: slices.Clone(c.quarantined)}
	fast := c.successorAddresses(now, holdings, preferred)
	for _, a := range c.heartbeatAddresses() {
		c.queueHeartbeat(now, a, b, fast[a], all)
	}
	c.mu.Unlock()
	c.deps.AcquireGroups(now)
}

// heartbeatAddresses returns the control addresses that receive heartbeats: the
// known daemons, or the seeds while none is known. The caller holds c.mu.
func (c *Membership) heartbeatAddresses() []netip.AddrPort {
	known := c.view.Members()
	out := make([]netip.AddrPort, 0, len(known)+len(c.deps.Seeds))
	for _, h := range known {
		out = append(out, h.ControlAddress)
	}
	if len(known) == 0 {
		out = append(out, c.deps.Seeds...)
	}
	return slices.DeleteFunc(out, func(a netip.AddrPort) bool { return a == c.deps.Self.ControlAddress })
}

// successorAddresses returns the control addresses of the daemons next in line
// to take over a group held by this daemon. They receive heartbeats at the fast
// interval. preferred lists the preferred data centres of each holding. The
// caller holds c.mu.
func (c *Membership) successorAddresses(now time.Time, holdings []host.Holding, preferred [][]string) map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	for i, h := range holdings {
		n := 0
		for _, candidate := range c.view.Candidates(now, h.Group, preferred[i]) {
			if candidate.Name == c.deps.Self.Name {
				continue
			}
			out[candidate.ControlAddress] = true
			if n++; n == successorsPerGroup {
				break
			}
		}
	}
	return out
}

// queueHeartbeat queues a heartbeat on the link to address a if one is due or
// all is set, and starts the link's sender on first use. The caller holds c.mu.
func (c *Membership) queueHeartbeat(now time.Time, a netip.AddrPort, b peer.Heartbeat, fast, all bool) {
	l, ok := c.links[a]
	if !ok {
		l = &heartbeatLink{pending: make(chan peer.Heartbeat, 1)}
		c.links[a] = l
		c.wg.Go(func() { c.runLink(c.ctx, a, l) })
	}
	// Announce the slow interval immediately to a peer that is no longer a
	// successor. Otherwise it would expect the fast interval and consider this
	// daemon lost.
	if !all && !fast && !l.fastInterval && now.Before(l.nextSend) {
		return
	}
	l.fastInterval = fast
	b.Interval = c.deps.Timing.SlowInterval
	if fast {
		b.Interval = c.deps.Timing.FastInterval
	}
	l.nextSend = now.Add(c.deps.Timing.SlowInterval - c.deps.Timing.FastInterval/2)
	// Replace a queued heartbeat that has not been sent.
	select {
	case <-l.pending:
	default:
	}
	l.pending <- b
}

// runLink sends the heartbeats queued on a link until ctx ends. It keeps using one
// stream for as long as the stream works.
func (c *Membership) runLink(ctx context.Context, a netip.AddrPort, l *heartbeatLink) {
	var stream *peer.HeartbeatStream
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-l.pending:
			stream = c.sendOrReopen(ctx, a, stream, b)
			c.deps.Metrics.ControlHeartbeats.WithLabelValues("out").Inc()
		}
	}
}

// sendOrReopen sends a heartbeat and returns the stream for the next one. If the
// stream has ended, it sends the heartbeat again on a new stream: the heartbeat
// can announce a takeover, and the next one can be a second away.
func (c *Membership) sendOrReopen(ctx context.Context, a netip.AddrPort, stream *peer.HeartbeatStream, b peer.Heartbeat) *peer.HeartbeatStream {
	if stream != nil {
		if stream.Send(b) == nil {
			return stream
		}
		stream.Close()
	}
	stream = c.deps.Clients.HeartbeatStream(ctx, a)
	if stream.Send(b) != nil {
		stream.Close()
		return nil
	}
	return stream
}

// ReceiveHeartbeat processes a heartbeat from a peer: it updates the view, applies the
// quarantined requests, and pulls records that are newer at the peer.
func (c *Membership) ReceiveHeartbeat(b peer.Heartbeat) {
	c.mu.Lock()
	appeared := c.view.ReceiveHeartbeat(time.Now(), b.Sender, b.Holdings, b.Interval)
	if appeared {
		// Make the heartbeat to the new daemon due immediately, so that it adds
		// this one to its view.
		if l, ok := c.links[b.Sender.ControlAddress]; ok {
			l.nextSend = time.Time{}
		}
	}
	c.mu.Unlock()
	c.deps.Metrics.ControlHeartbeats.WithLabelValues("in").Inc()
	if appeared {
		c.deps.Log.Info("Daemon is alive.", "host", b.Sender.Name)
	}
	for _, s := range b.Quarantined {
		c.deps.Quarantine(s)
	}
	c.pullNewer(b.Sender, b.Versions)
}
