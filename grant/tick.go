package grant

import "time"

// Tick starts a round and returns the orders of it. It is called once per Timing.Tick.
func (h *Holder) Tick(now time.Time) Output {
	if h.phase == PhaseIdle {
		return Output{}
	}
	if h.rules.newTerms && h.phase == PhaseHolding && h.lapsed(now) {
		h.Campaign(now)
	}
	h.round++
	h.starts[h.round%roundsKept] = now
	out := Output{Term: h.term}
	h.askStore(now, &out)
	if !h.cfg.Checks {
		h.decideUnchecked()
		return out
	}
	if h.phase == PhaseHolding {
		h.decide(now)
	}
	for _, n := range h.names {
		out.Orders = append(out.Orders, ServerOrder{Server: n, Order: h.order(now, h.servers[n])})
	}
	return out
}

// lapsed reports whether the evidence is too old to act.
func (h *Holder) lapsed(now time.Time) bool {
	if !h.cfg.Checks && h.cfg.Shards == 0 {
		return false
	}
	evidence, ok := h.Evidence()
	return !ok || now.Sub(evidence) > h.cfg.Timing.EvidenceAge
}

// askStore asks for the store's vote where the servers' do not suffice.
func (h *Holder) askStore(now time.Time, out *Output) {
	if h.serversVote() && !h.serversShort(now) {
		return
	}
	if h.phase == PhaseFencing {
		out.FenceStore = !h.store.voted
		out.ReadStore = h.store.voted
		return
	}
	if h.cfg.Checks && !h.store.voted {
		out.FenceStore = true
		return
	}
	out.ReadStore = h.cfg.Checks || h.cfg.Shards > 0 || h.demand
	h.demand = false
}

// serversShort reports whether too few servers answered of late.
func (h *Holder) serversShort(now time.Time) bool {
	if h.majority() > len(h.names) {
		return true
	}
	age := storeAfter * h.cfg.Timing.Tick
	if h.phase == PhaseFencing && now.Sub(h.fenceStart) < age {
		return false
	}
	n := 0
	for _, s := range h.servers {
		if s.voted && now.Sub(s.asked) <= age+h.cfg.Timing.Tick {
			n++
		}
	}
	return n < h.majority()
}

// decide moves shards towards the wanted assignment.
func (h *Holder) decide(now time.Time) {
	evidence, ok := h.Evidence()
	if !ok {
		return
	}
	for i := range h.shards {
		h.decideShard(now, i, evidence)
	}
}

func (h *Holder) decideShard(now time.Time, i int, evidence time.Time) {
	sh := &h.shards[i]
	want := h.wanted[i]
	if sh.releasing && !now.Before(sh.free) {
		sh.freed(sh.free)
	}
	switch {
	case sh.owner != "" && !sh.releasing && sh.owner != want:
		sh.release(h.round, h.lapseOf(now, sh.owner))
	case sh.owner == "" && want != "":
		s, ok := h.servers[want]
		if !ok || !s.reported || now.Before(sh.free) {
			return
		}
		if evidence.Before(sh.free) && !h.rules.staleMove {
			return
		}
		sh.give(s, false)
		h.moved++
	}
}

// lapseOf returns when no lease of a server can live unless it is extended.
func (h *Holder) lapseOf(now time.Time, name string) time.Time {
	s := h.servers[name]
	if h.rules.forgetPending && s.pending != 0 {
		return now
	}
	if s.lapse.Before(now) {
		return now
	}
	return s.lapse
}

// decideUnchecked follows the wanted assignment at once: the shell changes it
// only after the old owner has finished and the store has recorded it.
func (h *Holder) decideUnchecked() {
	if h.phase != PhaseHolding {
		return
	}
	for i, want := range h.wanted {
		if h.shards[i].owner != want {
			h.shards[i] = shard{owner: want, confirmed: true}
			h.moved++
		}
	}
}

// order returns the order of this round for a server.
func (h *Holder) order(now time.Time, s *server) Order {
	o := Order{Group: h.cfg.Group, Term: h.term, Epoch: h.cfg.Epoch, Round: h.round}
	before, ok := h.Valid(now)
	if !ok || !s.reported {
		return o
	}
	if s.pending != 0 && !h.rules.forgetPending {
		return o
	}
	for i := range h.shards {
		if h.shards[i].owner == s.name && !h.shards[i].releasing {
			o.Shards = append(o.Shards, i)
		}
	}
	if window := now.Add(h.cfg.Timing.OrderWindow); window.Before(before) {
		before = window
	}
	o.Set = true
	o.Incarnation = s.incarnation
	o.Before = s.before(before)
	if h.rules.noDeadline {
		o.Before = 1 << 62
	}
	o.TTL = h.cfg.Timing.TTL
	s.pending = h.round
	lapse := before.Add(h.cfg.Timing.TTL + h.cfg.Timing.Margin)
	if lapse.After(s.lapse) {
		s.lapse = lapse
	}
	return o
}
