package cell

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/peer"
)

// link sends heartbeats to one daemon, one at a time.
type link struct {
	due time.Time
	// fast says that the last heartbeat promised the next soon.
	fast bool
	next chan peer.Beat
}

// beat sends the heartbeats that are due, or to everybody at once, and seeks
// groups without a holder.
func (c *Cell) beat(all bool) {
	holdings := c.d.Holdings()
	versions := c.versions()
	preferred := make([][]string, len(holdings))
	for i, h := range holdings {
		preferred[i] = c.d.Preferred(h.Group)
	}
	c.mu.Lock()
	now := time.Now()
	c.setAsides = slices.DeleteFunc(c.setAsides, func(s peer.SetAside) bool { return now.After(s.Until) })
	b := peer.Beat{Sender: c.view.Self(), Holdings: holdings, Versions: versions, SetAsides: slices.Clone(c.setAsides)}
	fast := c.fast(now, holdings, preferred)
	for _, a := range c.peers() {
		c.beatOne(now, a, b, fast[a], all)
	}
	c.mu.Unlock()
	c.d.Seek(now)
}

// peers returns the addresses that are worth a heartbeat. The caller holds the lock.
func (c *Cell) peers() []netip.AddrPort {
	known := c.view.Known()
	out := make([]netip.AddrPort, 0, len(known)+len(c.d.Seeds))
	for _, h := range known {
		out = append(out, h.Control)
	}
	if len(known) == 0 {
		out = append(out, c.d.Seeds...)
	}
	return slices.DeleteFunc(out, func(a netip.AddrPort) bool { return a == c.d.Self.Control })
}

// fast returns the daemons that would take over a group that this one holds,
// given the data centres that each group prefers. The caller holds the lock.
func (c *Cell) fast(now time.Time, holdings []host.Holding, preferred [][]string) map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	for i, h := range holdings {
		n := 0
		for _, candidate := range c.view.Candidates(now, h.Group, preferred[i]) {
			if candidate.Name == c.d.Self.Name {
				continue
			}
			out[candidate.Control] = true
			if n++; n == successors {
				break
			}
		}
	}
	return out
}

// beatOne hands a heartbeat to a daemon's link when one is due.
func (c *Cell) beatOne(now time.Time, a netip.AddrPort, b peer.Beat, fast, all bool) {
	l, ok := c.links[a]
	if !ok {
		l = &link{next: make(chan peer.Beat, 1)}
		c.links[a] = l
		c.wg.Go(func() { c.send(c.ctx, a, l) })
	}
	// A peer that is no successor any more is told of the slow interval at once;
	// it would take the silence for a loss otherwise.
	if !all && !fast && !l.fast && now.Before(l.due) {
		return
	}
	l.fast = fast
	b.Interval = c.d.Timing.Slow
	if fast {
		b.Interval = c.d.Timing.Interval
	}
	l.due = now.Add(c.d.Timing.Slow - c.d.Timing.Interval/2)
	// The newest heartbeat replaces one that has not been sent.
	select {
	case <-l.next:
	default:
	}
	l.next <- b
}

// send sends what a link is given, over one stream for as long as that lasts.
func (c *Cell) send(ctx context.Context, a netip.AddrPort, l *link) {
	var stream *peer.Beats
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-l.next:
			stream = c.sendOne(ctx, a, stream, b)
			c.d.Metrics.ControlHeartbeats.WithLabelValues("out").Inc()
		}
	}
}

// sendOne sends a heartbeat and returns the stream for the next. On a stream
// that has ended the heartbeat goes out once more on a new one: it may be the
// news of a takeover, and the next may be a second away.
func (c *Cell) sendOne(ctx context.Context, a netip.AddrPort, stream *peer.Beats, b peer.Beat) *peer.Beats {
	if stream != nil {
		if stream.Send(b) == nil {
			return stream
		}
		stream.Close()
	}
	stream = c.d.Clients.Beats(ctx, a)
	if stream.Send(b) != nil {
		stream.Close()
		return nil
	}
	return stream
}

// Heartbeat takes a peer's heartbeat.
func (c *Cell) Heartbeat(b peer.Beat) {
	c.mu.Lock()
	fresh := c.view.Heard(time.Now(), b.Sender, b.Holdings, b.Interval)
	if fresh {
		// Answer a new daemon at once, so that it knows this one too.
		if l, ok := c.links[b.Sender.Control]; ok {
			l.due = time.Time{}
		}
	}
	c.mu.Unlock()
	c.d.Metrics.ControlHeartbeats.WithLabelValues("in").Inc()
	if fresh {
		c.d.Log.Info("Daemon is alive.", "host", b.Sender.Name)
	}
	for _, s := range b.SetAsides {
		c.d.SetAside(s)
	}
	c.follow(b.Sender, b.Versions)
}
