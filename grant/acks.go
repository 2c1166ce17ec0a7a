package grant

import (
	"slices"
	"time"
)

// ServerAck takes a server's answer.
func (h *Holder) ServerAck(now time.Time, name string, a Ack) {
	s, ok := h.servers[name]
	if !ok {
		return
	}
	h.Seen(a.Term)
	h.seenEpoch(a.Epoch)
	if h.phase == PhaseIdle || !a.Accepted || a.Term != h.term || a.Epoch != h.cfg.Epoch {
		return
	}
	asked, ok := h.startOf(a.Round)
	if !ok {
		return
	}
	if h.rules.arrivalDates {
		asked = now
	}
	h.settle(now, s, a)
	if a.Clock < h.cfg.Timing.Quarantine() && !h.rules.youngVoters {
		s.voted = false
	} else {
		s.voted = true
		if asked.After(s.asked) {
			s.asked = asked
		}
	}
	h.checkMajority(now)
	afterMajority := h.phase == PhaseHolding && asked.After(h.fencedAt)
	if afterMajority || h.rules.earlyReports {
		h.report(now, s, a)
	}
}

// seenEpoch stops a holder whose set of voters is out of date.
func (h *Holder) seenEpoch(epoch uint64) {
	if epoch <= h.cfg.Epoch {
		return
	}
	h.staleEpoch = true
	h.Stop()
}

// settle learns the server's clock and the fate of the pending order.
func (h *Holder) settle(now time.Time, s *server, a Ack) {
	if s.incarnation != a.Incarnation {
		h.reincarnate(now, s, a.Incarnation)
	}
	if s.clockAt.IsZero() || a.Clock > s.clock {
		s.clock = a.Clock
		s.clockAt = now
	}
	if s.pending == 0 || a.Round < s.pending {
		return
	}
	// The server has seen this round or a later one: the order can take effect no more.
	s.pending = 0
	lapse := now.Add(h.cfg.Timing.TTL + h.cfg.Timing.Margin)
	if lapse.Before(s.lapse) {
		s.lapse = lapse
	}
	h.confirm(now, s, a)
}

// confirm notes the shards that the server holds and frees those that it has given up.
func (h *Holder) confirm(now time.Time, s *server, a Ack) {
	for i := range h.shards {
		sh := &h.shards[i]
		if sh.owner != s.name || sh.incarnation != a.Incarnation {
			continue
		}
		_, live := slices.BinarySearch(a.Live, i)
		switch {
		case !sh.releasing:
			sh.confirmed = live
		case a.Round >= sh.releaseRound && !live:
			sh.freed(now)
		}
	}
}

// reincarnate notes that an answer came from another life of a server. It may
// be a late answer from an earlier life, so leases are left to lapse by time.
func (h *Holder) reincarnate(now time.Time, s *server, incarnation uint64) {
	for i := range h.shards {
		if sh := &h.shards[i]; sh.owner == s.name && !sh.releasing {
			sh.release(h.round, h.lapseOf(now, s.name))
		}
	}
	s.incarnation = incarnation
	s.reported = false
	s.pending = 0
	s.clockAt = time.Time{}
}

// report takes over the leases that a server holds from earlier terms.
func (h *Holder) report(now time.Time, s *server, a Ack) {
	if s.reported {
		return
	}
	s.reported = true
	// These leases run out by themselves unless an order of this term extends them.
	if lapse := now.Add(h.cfg.Timing.TTL + h.cfg.Timing.Margin); lapse.After(s.lapse) {
		s.lapse = lapse
	}
	for _, i := range a.Live {
		if i < len(h.shards) && h.shards[i].owner == "" {
			h.shards[i].give(s, true)
		}
	}
}

// StoreAck takes what the store's object of the group said.
func (h *Holder) StoreAck(now time.Time, a StoreAck) {
	h.Seen(a.Term)
	h.seenEpoch(a.Epoch)
	if h.phase == PhaseIdle || a.Term != h.term || a.Epoch != h.cfg.Epoch {
		return
	}
	h.store.voted = true
	if a.Asked.After(h.store.asked) {
		h.store.asked = a.Asked
	}
	h.checkMajority(now)
}

// checkMajority begins to hold once a majority has accepted the term.
func (h *Holder) checkMajority(now time.Time) {
	if h.phase != PhaseFencing || h.voters() < h.majority() {
		return
	}
	h.phase = PhaseHolding
	h.fencedAt = now
	free := now.Add(h.cfg.Timing.Wait())
	if h.rules.noWait {
		free = now
	}
	for i := range h.shards {
		if h.rules.earlyReports && h.shards[i].owner != "" {
			continue
		}
		h.shards[i].freed(free)
	}
}

func (h *Holder) startOf(round uint64) (time.Time, bool) {
	if round == 0 || round > h.round || h.round-round >= roundsKept {
		return time.Time{}, false
	}
	return h.starts[round%roundsKept], true
}
