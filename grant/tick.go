package grant

import "time"

// Tick starts a round and returns its orders and store requests. It must be
// called once per Timing.Tick.
func (h *Holder) Tick(now time.Time) Output {
	if h.phase == PhaseIdle {
		return Output{}
	}
	if h.variant.campaignOnExpiry && h.phase == PhaseHolding && h.evidenceExpired(now) {
		h.Campaign(now)
	}
	h.round++
	h.roundStarts[h.round%roundHistory] = now
	out := Output{Term: h.term}
	h.requestStore(now, &out)
	if !h.cfg.ChecksGrants {
		h.assignUnchecked()
		return out
	}
	if h.phase == PhaseHolding {
		h.reassignShards(now)
	}
	for _, n := range h.serverNames {
		out.Orders = append(out.Orders, ServerOrder{Server: n, Order: h.orderFor(now, h.servers[n])})
	}
	return out
}

// evidenceExpired reports whether the evidence is too old to act.
func (h *Holder) evidenceExpired(now time.Time) bool {
	if !h.cfg.ChecksGrants && h.cfg.Shards == 0 {
		return false
	}
	evidence, ok := h.Evidence()
	return !ok || now.Sub(evidence) > h.cfg.Timing.MaxEvidenceAge
}

// requestStore requests the store's vote unless the servers' votes suffice.
func (h *Holder) requestStore(now time.Time, out *Output) {
	if h.serversVote() && !h.lacksServerVotes(now) {
		return
	}
	if h.phase == PhaseFencing {
		out.FenceStore = !h.store.voted
		out.ReadStore = h.store.voted
		return
	}
	if h.cfg.ChecksGrants && !h.store.voted {
		out.FenceStore = true
		return
	}
	out.ReadStore = h.cfg.ChecksGrants || h.cfg.Shards > 0 || h.evidenceRequested
	h.evidenceRequested = false
}

// lacksServerVotes reports whether the servers that replied recently are fewer
// than a majority.
func (h *Holder) lacksServerVotes(now time.Time) bool {
	if h.majority() > len(h.serverNames) {
		return true
	}
	age := storeFallbackRounds * h.cfg.Timing.Tick
	if h.phase == PhaseFencing && now.Sub(h.campaignStart) < age {
		return false
	}
	n := 0
	for _, s := range h.servers {
		if s.voted && now.Sub(s.evidenceAt) <= age+h.cfg.Timing.Tick {
			n++
		}
	}
	return n < h.majority()
}

// reassignShards releases and assigns shards to approach the wanted assignment.
func (h *Holder) reassignShards(now time.Time) {
	evidence, ok := h.Evidence()
	if !ok {
		return
	}
	for i := range h.shards {
		h.reassignShard(now, i, evidence)
	}
}

// reassignShard releases a shard from an owner that is no longer wanted, or
// assigns a free shard to its wanted owner.
func (h *Holder) reassignShard(now time.Time, i int, evidence time.Time) {
	sh := &h.shards[i]
	wanted := h.assignment[i]
	if sh.releasing && !now.Before(sh.freeAt) {
		sh.markFree(sh.freeAt)
	}
	switch {
	case sh.owner != "" && !sh.releasing && sh.owner != wanted:
		sh.release(h.round, h.leaseEnd(now, sh.owner))
	case sh.owner == "" && wanted != "":
		s, ok := h.servers[wanted]
		if !ok || !s.reported || now.Before(sh.freeAt) {
			return
		}
		if evidence.Before(sh.freeAt) && !h.variant.moveOnStaleEvidence {
			return
		}
		sh.assign(s, false)
		h.assigned++
	}
}

// leaseEnd returns the time by which all leases of a server expire unless they
// are renewed.
func (h *Holder) leaseEnd(now time.Time, name string) time.Time {
	s := h.servers[name]
	if h.variant.ignorePending && s.pendingRound != 0 {
		return now
	}
	if s.leasesEnd.Before(now) {
		return now
	}
	return s.leasesEnd
}

// assignUnchecked applies the wanted assignment immediately, for servers that do
// not check grants. Package holder changes that assignment only after the old
// owner has finished its requests and the store has recorded the change.
func (h *Holder) assignUnchecked() {
	if h.phase != PhaseHolding {
		return
	}
	for i, wanted := range h.assignment {
		if h.shards[i].owner != wanted {
			h.shards[i] = shard{owner: wanted, confirmed: true}
			h.assigned++
		}
	}
}

// orderFor returns the order of this round for a server. The order includes the
// server's shards only if the evidence is valid, the server has reported its
// leases, and no earlier order has an unknown outcome.
func (h *Holder) orderFor(now time.Time, s *server) Order {
	o := Order{Group: h.cfg.Group, Term: h.term, Epoch: h.cfg.Epoch, Round: h.round}
	deadline, ok := h.StartDeadline(now)
	if !ok || !s.reported {
		return o
	}
	if s.pendingRound != 0 && !h.variant.ignorePending {
		return o
	}
	for i := range h.shards {
		if h.shards[i].owner == s.name && !h.shards[i].releasing {
			o.Shards = append(o.Shards, i)
		}
	}
	if window := now.Add(h.cfg.Timing.OrderWindow); window.Before(deadline) {
		deadline = window
	}
	o.ReplaceShards = true
	o.Incarnation = s.incarnation
	o.Deadline = s.clockReading(deadline)
	if h.variant.noDeadline {
		o.Deadline = 1 << 62
	}
	o.TTL = h.cfg.Timing.TTL
	s.pendingRound = h.round
	end := deadline.Add(h.cfg.Timing.TTL + h.cfg.Timing.ClockMargin)
	if end.After(s.leasesEnd) {
		s.leasesEnd = end
	}
	return o
}
