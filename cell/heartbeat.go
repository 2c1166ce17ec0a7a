package cell

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/peer"
)

// heartbeatLink is the state of the heartbeat sender for one daemon, which sends one
// heartbeat at a time.
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
func (m *Membership) sendHeartbeats(all bool) {
	holdings := m.deps.Holdings()
	versions := m.versions()
	preferred := make([][]string, len(holdings))
	for i, h := range holdings {
		preferred[i] = m.deps.PreferredDataCentres(h.Group)
	}
	m.mu.Lock()
	now := time.Now()
	m.quarantined = slices.DeleteFunc(m.quarantined, func(q peer.Quarantine) bool { return now.After(q.Until) })
	heartbeat := peer.Heartbeat{Sender: m.view.Self(), Holdings: holdings, Versions: versions, Quarantined: slices.Clone(m.quarantined)}
	fast := m.successorAddresses(now, holdings, preferred)
	for _, a := range m.heartbeatAddresses() {
		m.queueHeartbeat(now, a, heartbeat, fast[a], all)
	}
	m.mu.Unlock()
	m.deps.AcquireGroups(now)
}

// heartbeatAddresses returns the control addresses that receive heartbeats: those
// of the view's members, or the seeds while there are no members. The caller holds m.mu.
func (m *Membership) heartbeatAddresses() []netip.AddrPort {
	members := m.view.Members()
	out := make([]netip.AddrPort, 0, len(members)+len(m.deps.Seeds))
	for _, h := range members {
		out = append(out, h.ControlAddress)
	}
	if len(members) == 0 {
		out = append(out, m.deps.Seeds...)
	}
	return slices.DeleteFunc(out, func(a netip.AddrPort) bool { return a == m.deps.Self.ControlAddress })
}

// successorAddresses returns the control addresses of the daemons next in line
// to take over a group held by this daemon. They receive heartbeats at the fast
// interval. preferred lists the preferred data centres of each holding. The
// caller holds m.mu.
func (m *Membership) successorAddresses(now time.Time, holdings []host.Holding, preferred [][]string) map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	for i, h := range holdings {
		n := 0
		for _, candidate := range m.view.Candidates(now, h.Group, preferred[i]) {
			if candidate.Name == m.deps.Self.Name {
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
// all is set, and starts the link's sender on first use. The caller holds m.mu.
func (m *Membership) queueHeartbeat(now time.Time, a netip.AddrPort, heartbeat peer.Heartbeat, fast, all bool) {
	l, ok := m.links[a]
	if !ok {
		l = &heartbeatLink{pending: make(chan peer.Heartbeat, 1)}
		m.links[a] = l
		m.wg.Go(func() { m.runLink(m.ctx, a, l) })
	}
	// Announce the slow interval immediately to a peer that is no longer a
	// successor. Otherwise it would expect the fast interval and consider this
	// daemon lost.
	if !all && !fast && !l.fastInterval && now.Before(l.nextSend) {
		return
	}
	l.fastInterval = fast
	heartbeat.Interval = m.deps.Timing.SlowInterval
	if fast {
		heartbeat.Interval = m.deps.Timing.FastInterval
	}
	l.nextSend = now.Add(m.deps.Timing.SlowInterval - m.deps.Timing.FastInterval/2)
	// Replace a queued heartbeat that has not been sent.
	select {
	case <-l.pending:
	default:
	}
	l.pending <- heartbeat
}

// runLink sends the heartbeats queued on a link until ctx ends. It keeps using one
// stream for as long as the stream works.
func (m *Membership) runLink(ctx context.Context, a netip.AddrPort, l *heartbeatLink) {
	var stream *peer.HeartbeatStream
	for {
		select {
		case <-ctx.Done():
			return
		case heartbeat := <-l.pending:
			stream = m.sendOrReopen(ctx, a, stream, heartbeat)
			m.deps.Metrics.ControlHeartbeats.WithLabelValues("out").Inc()
		}
	}
}

// sendOrReopen sends a heartbeat and returns the stream for the next one. If the
// stream has ended, it sends the heartbeat again on a new stream: the heartbeat
// can announce a takeover, and the next one can be a second away.
func (m *Membership) sendOrReopen(ctx context.Context, a netip.AddrPort, stream *peer.HeartbeatStream, heartbeat peer.Heartbeat) *peer.HeartbeatStream {
	if stream != nil {
		if stream.Send(heartbeat) == nil {
			return stream
		}
		stream.Close()
	}
	stream = m.deps.Clients.HeartbeatStream(ctx, a)
	if stream.Send(heartbeat) != nil {
		stream.Close()
		return nil
	}
	return stream
}

// ReceiveHeartbeat processes a heartbeat from a peer: it updates the view, applies
// the quarantines, and pulls objects that are newer at the peer.
func (m *Membership) ReceiveHeartbeat(heartbeat peer.Heartbeat) {
	m.mu.Lock()
	appeared := m.view.ReceiveHeartbeat(time.Now(), heartbeat.Sender, heartbeat.Holdings, heartbeat.Interval)
	if appeared {
		// Make the heartbeat to the new daemon due immediately, so that it adds
		// this one to its view.
		if l, ok := m.links[heartbeat.Sender.ControlAddress]; ok {
			l.nextSend = time.Time{}
		}
	}
	m.mu.Unlock()
	m.deps.Metrics.ControlHeartbeats.WithLabelValues("in").Inc()
	if appeared {
		m.deps.Log.Info("Daemon is alive.", "host", heartbeat.Sender.Name)
	}
	for _, q := range heartbeat.Quarantined {
		m.deps.Quarantine(q)
	}
	m.pullNewer(heartbeat.Sender, heartbeat.Versions)
}
