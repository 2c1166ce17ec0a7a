package grant

import (
	"slices"
	"time"
)

// ServerAck handles a server's reply to an order.
func (h *Holder) ServerAck(now time.Time, name string, a Ack) {
	s, ok := h.servers[name]
	if !ok {
		return
	}
	h.ObserveTerm(a.Term)
	h.observeEpoch(a.Epoch)
	if h.phase == PhaseIdle || !a.Accepted || a.Term != h.term || a.Epoch != h.cfg.Epoch {
		return
	}
	started, ok := h.roundStart(a.Round)
	if !ok {
		return
	}
	if h.variant.dateByArrival {
		started = now
	}
	h.recordAck(now, s, a)
	if a.Clock < h.cfg.Timing.VoteDelay() && !h.variant.voteAfterRestart {
		s.voted = false
	} else {
		s.voted = true
		if started.After(s.evidenceAt) {
			s.evidenceAt = started
		}
	}
	h.checkMajority(now)
	afterMajority := h.phase == PhaseHolding && started.After(h.fencedAt)
	if afterMajority || h.variant.adoptEarlyReports {
		h.adoptLeases(now, s, a)
	}
}

// observeEpoch stops the holder if a voter reports a newer set of voters.
func (h *Holder) observeEpoch(epoch uint64) {
	if epoch <= h.cfg.Epoch {
		return
	}
	h.staleEpoch = true
	h.Stop()
}

// recordAck updates the server's clock reading and, if the reply shows that the
// pending order can no longer take effect, the state of the server's leases.
func (h *Holder) recordAck(now time.Time, s *server, a Ack) {
	if s.incarnation != a.Incarnation {
		h.changeIncarnation(now, s, a.Incarnation)
	}
	if s.clockAt.IsZero() || a.Clock > s.clock {
		s.clock = a.Clock
		s.clockAt = now
	}
	if s.pendingRound == 0 || a.Round < s.pendingRound {
		return
	}
	// The server has handled the pending order's round or a later one, so the
	// order can no longer take effect.
	s.pendingRound = 0
	end := now.Add(h.cfg.Timing.TTL + h.cfg.Timing.ClockMargin)
	if end.Before(s.leasesEnd) {
		s.leasesEnd = end
	}
	h.updateShards(now, s, a)
}

// updateShards confirms the shards whose leases the server reports and frees
// those that it has released.
func (h *Holder) updateShards(now time.Time, s *server, a Ack) {
	for i := range h.shards {
		sh := &h.shards[i]
		if sh.owner != s.name || sh.incarnation != a.Incarnation {
			continue
		}
		_, held := slices.BinarySearch(a.HeldShards, i)
		switch {
		case !sh.releasing:
			sh.confirmed = held
		case a.Round >= sh.releaseRound && !held:
			sh.markFree(now)
		}
	}
}

// changeIncarnation handles a reply from another incarnation of a server. The
// reply may be a late one from an earlier incarnation, so the server's shards
// become free only when their leases expire.
func (h *Holder) changeIncarnation(now time.Time, s *server, incarnation uint64) {
	for i := range h.shards {
		if sh := &h.shards[i]; sh.owner == s.name && !sh.releasing {
			sh.release(h.round, h.leaseEnd(now, s.name))
		}
	}
	s.incarnation = incarnation
	s.reported = false
	s.pendingRound = 0
	s.clockAt = time.Time{}
}

// adoptLeases takes over the leases that a server holds from earlier terms, on
// its first report in this term.
func (h *Holder) adoptLeases(now time.Time, s *server, a Ack) {
	if s.reported {
		return
	}
	s.reported = true
	// The adopted leases expire unless an order of this term renews them.
	if end := now.Add(h.cfg.Timing.TTL + h.cfg.Timing.ClockMargin); end.After(s.leasesEnd) {
		s.leasesEnd = end
	}
	for _, i := range a.HeldShards {
		if i < len(h.shards) && h.shards[i].owner == "" {
			h.shards[i].assign(s, true)
		}
	}
}

// StoreAck handles the result of reading or updating the group's object in the
// store.
func (h *Holder) StoreAck(now time.Time, a StoreAck) {
	h.ObserveTerm(a.Term)
	h.observeEpoch(a.Epoch)
	if h.phase == PhaseIdle || a.Term != h.term || a.Epoch != h.cfg.Epoch {
		return
	}
	h.store.voted = true
	if a.RequestedAt.After(h.store.evidenceAt) {
		h.store.evidenceAt = a.RequestedAt
	}
	h.checkMajority(now)
}

// checkMajority enters PhaseHolding once a majority has accepted the term.
// Shards become free when all leases of older terms have expired.
func (h *Holder) checkMajority(now time.Time) {
	if h.phase != PhaseFencing || h.votes() < h.majority() {
		return
	}
	h.phase = PhaseHolding
	h.fencedAt = now
	freeAt := now.Add(h.cfg.Timing.TakeoverWait())
	if h.variant.noWait {
		freeAt = now
	}
	for i := range h.shards {
		if h.variant.adoptEarlyReports && h.shards[i].owner != "" {
			continue
		}
		h.shards[i].markFree(freeAt)
	}
}

// roundStart returns when a round was started, and false if the round is unknown
// or too old.
func (h *Holder) roundStart(round uint64) (time.Time, bool) {
	if round == 0 || round > h.round || h.round-round >= roundHistory {
		return time.Time{}, false
	}
	return h.roundStarts[round%roundHistory], true
}
