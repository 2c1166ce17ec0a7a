package coordination

import (
	"context"
	"time"

	"github.com/redwingtally/redwingtally/ownership"
)

// This file keeps hosts that have lost all targets from coordinating while another host reaches the targets. A
// coordinator that is cut off cannot renew the grants of keys.

const (
	// gaveWayBackoff is how long a host that has given way does not take over while it is cut off.
	gaveWayBackoff = 3 * time.Second
	// deferTime is how long after the last reply of a coordinator a cut-off host leaves the takeover to others. These notice
	// a frozen coordinator after 2.6 s.
	deferTime = 3 * time.Second
	// deferTimeRefused is the same after the coordinator has answered that it no longer coordinates. Others then take over
	// within 0.5 s.
	deferTimeRefused = time.Second
	// deferPollInterval is the time between two reads of the document by a host that leaves the takeover to others.
	deferPollInterval = 300 * time.Millisecond
	// recoveryTime is how long after the end of a cut targets may still seem not to answer: orders that were sent before
	// have to time out.
	recoveryTime = time.Second
)

// cutOff reports whether this host has lost all targets.
func (m *Member) cutOff() bool { return m.options.CutOff != nil && m.options.CutOff() }

// defersToOthers reports whether this host leaves the coordination to others: it is cut off, and another host reaches the
// targets according to the last list of relays. It does so for a limited time, as all hosts may be cut off since.
func (m *Member) defersToOthers() bool {
	if !m.cutOff() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t := now()
	if t.Before(m.gaveWayUntil) {
		return true
	}
	if len(m.State().Relays) == 0 || t.Sub(m.lastReply) >= deferTime {
		return false
	}
	return m.refusedAt.IsZero() || t.Sub(m.refusedAt) < deferTimeRefused
}

// awaitSuccessor waits a moment while this host leaves the takeover from a failed coordinator to others. It reports whether
// one of them has taken over. The read may lag; many hosts may be cut off at once.
func (m *Member) awaitSuccessor(ctx context.Context, failed *ownership.Document) bool {
	sleep(ctx, m.jitter(deferPollInterval))
	return m.supersededByStaleRead(ctx, failed)
}

// recordRefusal records that the coordinator answered that it does not coordinate.
func (m *Member) recordRefusal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refusedAt.IsZero() {
		m.refusedAt = now()
	}
}

// reachesTargets reports whether the host may coordinate as far as it has reported: it is not cut off and, if it is a relay,
// not stopping.
func (h *hostReport) reachesTargets() bool {
	return !h.cutOff && !h.replaced && !h.storeUnreachable && (h.accepts || !h.self.Address.IsValid())
}

// shouldGiveWay reports whether this process, whose host is cut off, should let another host coordinate that reaches the
// targets. The caller holds l.mu.
func (l *leader) shouldGiveWay(t time.Time) bool {
	if l.givingWay || l.member.options.StoreUnreachable() {
		return false
	}
	for process, h := range l.hosts {
		if process != l.process && h.reachesTargets() && t.Sub(h.receivedAt) < handOverDelay {
			return true
		}
	}
	return false
}

// giveWay resigns if the store answers. While it does not, no other host can take over, and this one continues to pass on
// the configuration, the targets and the view.
func (l *leader) giveWay(ctx context.Context) {
	m := l.member
	if !m.storeAnswers(ctx) || l.hasEnded() || !m.cutOff() {
		sleep(ctx, resignRetryInterval)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.givingWay = false
		return
	}
	m.options.Log.Warn("coordination: This host has lost all targets, another one reaches them. Resigning.")
	m.mu.Lock()
	m.gaveWayUntil = now().Add(gaveWayBackoff)
	m.mu.Unlock()
	l.resign()
}

// plan returns the change that is due, as Core.Plan. While the host is cut off and shortly after, owners seem not to answer and
// would lose their keys. The caller holds l.mu.
func (l *leader) plan(t time.Time) (*ownership.Document, []ownership.Move) {
	if t.Sub(l.cutOffAt) < recoveryTime {
		return nil, nil
	}
	return l.core.Plan(t)
}
