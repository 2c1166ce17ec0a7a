package ownership

import (
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// keyCount is the number of keys of a divided service.
	keyCount = 1 << 16
	// loadPlanInterval is the minimum time from a plan with moves for load to the next check of the load of the
	// service. A move takes about 200 ms.
	loadPlanInterval = 400 * time.Millisecond
	// loadCheckInterval is the minimum time between two checks of the load of a service. A check takes up to a
	// millisecond, and the coordinator plans many times a second while owners answer.
	loadCheckInterval = 100 * time.Millisecond
	// highUtilisation is the utilisation of a target above which keys are moved off it.
	highUtilisation = 0.7
	// minUtilisationGap is the minimum difference in utilisation between two targets for a move.
	minUtilisationGap = 0.25
	// minMoves and targetsPerMove limit the moves for load in one plan to one for each
	// targetsPerMove targets of the service, but not below minMoves.
	minMoves       = 3
	targetsPerMove = 8
	// largeServiceTargets is the number of targets from which a service is large. Some range of a large service
	// almost always waits for an order, so keys may move for load while at most one range in rangesPerPending waits.
	largeServiceTargets = 24
	rangesPerPending    = 8
	// maxEvacuationPieces is the maximum number of pieces into which a range is divided when its owner leaves.
	maxEvacuationPieces = 3
	// settleTime is the time without joining targets that is required before the first assignment. Targets report
	// for the first time within one heartbeat of 0.9 to 1.5 seconds of each other.
	settleTime = 1200 * time.Millisecond
	// maxSettleTime bounds the wait for the first assignment to three heartbeats. If requests are reported, the
	// bound is settleTime.
	maxSettleTime = 4500 * time.Millisecond
	// maxRangesPerTarget is the mean number of ranges per target above which neighbouring ranges are merged.
	maxRangesPerTarget = 4
	// joinDelay is the minimum time from the appearance of a target's entry to the first move of keys to it.
	joinDelay = 300 * time.Millisecond
)

// A Move is one planned change of the owner of a span of keys.
type Move struct {
	Service string
	Span    platform.KeyRange
	From    Incarnation
	To      Incarnation
	Reason  string
	// Rate is the load of the span in requests per second. FromUtilisation and ToUtilisation are the
	// utilisation of both targets before the move, as a share of their slots.
	Rate            float64
	FromUtilisation float64
	ToUtilisation   float64
}

// Plan returns the document to write and its moves if a change is due. It returns
// nil if none is due or an earlier document still waits for ConfirmWrite.
func (c *Core) Plan(now time.Time) (*Document, []Move) {
	if c.document == nil || c.proposed != nil {
		return nil, nil
	}
	var moves []Move
	newFence := false
	for _, name := range c.serviceNames() {
		s := c.services[name]
		moves = append(moves, c.planService(now, s)...)
		for _, st := range s.ranges {
			newFence = newFence || st.needsNewFence && !st.orderPending
		}
	}
	nowFenced := !c.document.OwnersFenced && !c.document.Incomplete && c.allFenced(now)
	if len(moves) == 0 && !newFence && !nowFenced && !c.formersChanged && !c.nowComplete(now) {
		return nil, nil
	}
	c.proposed = c.propose(now, moves)
	return c.proposed, moves
}

// nowComplete reports whether the document is marked as incomplete and no longer is.
func (c *Core) nowComplete(now time.Time) bool {
	return c.document.Incomplete && !now.Before(c.unknownOwnersUntil)
}

// allFenced reports whether there are ranges, all of their owners are fenced and no
// former owner is left. While an earlier coordinator runs, an owner may restart and lose its protection.
func (c *Core) allFenced(now time.Time) bool {
	if now.Before(c.predecessorsEnd) {
		return false
	}
	n := 0
	for _, s := range c.services {
		for _, st := range s.ranges {
			if !st.fenced || len(st.formers) > 0 {
				return false
			}
			n++
		}
	}
	return n > 0
}

// candidate is a target that can be assigned keys.
type candidate struct {
	incarnation Incarnation
	slots       float64 // divided by the target's slowness
	utilisation float64 // load as a share of the slots
	keys        int     // number of keys that it owns
	empty       bool    // owns no keys
	exhausted   bool    // has no further span that can move
}

// planService returns the moves that are due for one service.
func (c *Core) planService(now time.Time, s *service) []Move {
	eligible := c.eligibleTargets(now, s)
	if len(eligible) == 0 || c.mostUnresponsive(now, s) {
		return nil
	}
	if len(s.ranges) == 0 {
		return c.assignInitial(now, s)
	}
	if evacuated := c.rangesToEvacuate(now, s, eligible); len(evacuated) > 0 {
		s.load.decay(now)
		return s.evacuate(evacuated, s.candidates(eligible))
	}
	if now.Before(s.nextLoadCheck) || !s.quiescent() {
		return nil
	}
	s.load.decay(now)
	moves := s.balance(now, s.candidates(eligible))
	s.nextLoadCheck = now.Add(loadCheckInterval)
	if len(moves) > 0 {
		s.nextLoadCheck = now.Add(loadPlanInterval)
	}
	return moves
}

// eligibleTargets returns the targets that can be assigned keys, in the order of SetTargets.
func (c *Core) eligibleTargets(now time.Time, s *service) []platform.Target {
	var out []platform.Target
	for _, t := range s.targets {
		if !t.Draining && !c.unavailable(now, IncarnationOf(t)) {
			out = append(out, t)
		}
	}
	return out
}

// candidates returns the eligible targets with their utilisation, in the same order.
func (s *service) candidates(eligible []platform.Target) []*candidate {
	out := make([]*candidate, 0, len(eligible))
	byIncarnation := make(map[incarnationKey]*candidate, len(eligible))
	for _, t := range eligible {
		c := &candidate{incarnation: IncarnationOf(t), slots: s.effectiveSlots(t), empty: true}
		out = append(out, c)
		byIncarnation[c.incarnation.key()] = c
	}
	for _, st := range s.ranges {
		if c := byIncarnation[st.Owner.key()]; c != nil {
			c.keys += width(st.KeyRange)
			c.empty = false
			c.utilisation += s.load.rateOf(st.KeyRange) * s.processingTime() / c.slots
		}
	}
	return out
}

// minLimitedSlots bounds the effective slots of a target that accepts hardly any requests.
const minLimitedSlots = 0.05

// effectiveSlots returns the slots of a target, divided by its slowness. A target that states
// how many requests per second it accepts has no more than these occupy.
func (s *service) effectiveSlots(t platform.Target) float64 {
	slots := float64(max(1, t.Slots)) / s.slowness(t.Name)
	if perSecond, ok := s.rateLimits[t.Name]; ok {
		return min(slots, max(minLimitedSlots, perSecond*s.processingTime()))
	}
	return slots
}

// unavailable reports whether a target has ended or has left all orders
// unanswered for unresponsiveAfter. A target without keys receives no orders that
// could show its recovery, so it becomes available again targetRetryDelay after
// the last unanswered order.
func (c *Core) unavailable(now time.Time, i Incarnation) bool {
	v := c.incarnation(i)
	unresponsive := !v.unansweredSince.IsZero() && now.Sub(v.unansweredSince) >= unresponsiveAfter
	return v.over() || unresponsive && now.Sub(v.lastUnanswered) < targetRetryDelay
}

// mostUnresponsive reports whether most targets of a service leave orders
// unanswered. The likely cause is then this host's own network.
func (c *Core) mostUnresponsive(now time.Time, s *service) bool {
	unresponsive := 0
	for _, t := range s.targets {
		if v := c.incarnation(IncarnationOf(t)); !v.over() && c.unavailable(now, IncarnationOf(t)) {
			unresponsive++
		}
	}
	return unresponsive > 1 && 2*unresponsive > len(s.targets)
}

// Isolated reports whether most targets of some service leave orders unanswered,
// in which case another host should coordinate.
func (c *Core) Isolated(now time.Time) bool {
	for _, s := range c.services {
		if c.mostUnresponsive(now, s) {
			return true
		}
	}
	return false
}

// slowness returns the slowness of a target, limited to the range from 0.3 to 4, or 1 if it is unknown.
func (s *service) slowness(name string) float64 {
	if v, ok := s.load.slowness[name]; ok {
		return min(4, max(0.3, v))
	}
	return 1
}

// processingTime returns the mean processing time of a request in seconds, without
// queueing, or 0.1 if it is unknown.
func (s *service) processingTime() float64 {
	if s.load.processingTime == 0 {
		return 0.1
	}
	return s.load.processingTime.Seconds()
}

// assignInitial divides all keys evenly among the targets once they have had time
// to report. Targets that report later receive keys only when the load shows which
// to move. Without the wait, a few owners would serve all first requests.
func (c *Core) assignInitial(now time.Time, s *service) []Move {
	oldest, newest := now, time.Time{}
	for _, t := range s.targets {
		oldest, newest = earlier(oldest, s.joinedAt[t.Name]), later(newest, s.joinedAt[t.Name])
	}
	wait := maxSettleTime
	if len(s.load.rates) > 0 {
		wait = settleTime
	}
	if now.Sub(newest) < settleTime && now.Sub(oldest) < wait {
		return nil
	}
	var moves []Move
	eligible := c.eligibleTargets(now, s)
	n := len(eligible)
	for i, t := range eligible {
		moves = append(moves, Move{
			Service: s.name, To: IncarnationOf(t), Reason: "first",
			Span: platform.KeyRange{First: uint16(i * keyCount / n), Last: uint16((i+1)*keyCount/n - 1)},
		})
	}
	return moves
}

// rangesToEvacuate returns the ranges whose owners drain, have ended, are no longer
// listed or do not answer. An owner that answers keeps a range until it is fenced
// and no order for the range is pending.
func (c *Core) rangesToEvacuate(now time.Time, s *service, eligible []platform.Target) []*rangeState {
	owners := make(map[incarnationKey]bool, len(eligible))
	for _, t := range eligible {
		owners[IncarnationOf(t).key()] = true
	}
	var out []*rangeState
	for _, st := range s.ranges {
		if owners[st.Owner.key()] || st.moving || (st.orderPending || !st.fenced) && !c.unavailable(now, st.Owner) {
			continue
		}
		out = append(out, st)
	}
	return out
}

// evacuate plans the moves of ranges, in pieces, to the targets with the lowest utilisation.
func (s *service) evacuate(ranges []*rangeState, candidates []*candidate) []Move {
	var moves []Move
	for _, st := range ranges {
		if c := restartedOwner(st, candidates); c != nil {
			// It need not wait for a release, nor for unanswered grants to its earlier start.
			c.utilisation += s.load.rateOf(st.KeyRange) * s.processingTime() / c.slots
			moves = append(moves, Move{Service: s.name, Span: st.KeyRange, From: st.Owner, To: c.incarnation, Reason: "owner_restarted"})
			continue
		}
		for _, piece := range s.splitByLoad(st.KeyRange, min(maxEvacuationPieces, len(candidates))) {
			c := leastUtilised(candidates)
			c.utilisation += max(s.load.rateOf(piece), float64(width(piece))*idleKeyRate) * s.processingTime() / c.slots
			moves = append(moves, Move{Service: s.name, Span: piece, From: st.Owner, To: c.incarnation, Reason: "owner_leaves"})
		}
	}
	return moves
}

// restartedOwner returns the candidate that is the owner of a range after a restart in place, or nil if there is none.
func restartedOwner(st *rangeState, candidates []*candidate) *candidate {
	for _, c := range candidates {
		if c.incarnation.samePlace(st.Owner) && !c.incarnation.SameAs(st.Owner) {
			return c
		}
	}
	return nil
}

// idleKeyRate is the minimum rate, in requests per second, that evacuate assumes for
// each key, so that ranges without requests are spread among targets.
const idleKeyRate = 1e-5

// leastUtilised returns the candidate with the lowest utilisation.
func leastUtilised(candidates []*candidate) *candidate {
	return slices.MinFunc(candidates, func(a, b *candidate) int {
		switch {
		case a.utilisation < b.utilisation:
			return -1
		case a.utilisation > b.utilisation:
			return 1
		}
		return 0
	})
}

// splitByLoad divides a span into at most n pieces of similar load. Spans with
// fewer than 64 keys for each piece stay whole.
func (s *service) splitByLoad(span platform.KeyRange, n int) []platform.KeyRange {
	if n < 2 || width(span) < 64*n {
		return []platform.KeyRange{span}
	}
	keys, total := s.load.keysIn(span)
	if len(keys) < 2*n {
		return splitEvenly(span, n)
	}
	var out []platform.KeyRange
	first, sum := span.First, 0.0
	for _, k := range keys {
		sum += k.rate
		if len(out) < n-1 && sum >= total*float64(len(out)+1)/float64(n) && k.key < span.Last && k.key >= first {
			out = append(out, platform.KeyRange{First: first, Last: k.key})
			first = k.key + 1
		}
	}
	return append(out, platform.KeyRange{First: first, Last: span.Last})
}

// splitEvenly divides a span into n pieces with equal numbers of keys.
func splitEvenly(span platform.KeyRange, n int) []platform.KeyRange {
	out := make([]platform.KeyRange, 0, n)
	w := width(span)
	for i := range n {
		out = append(out, platform.KeyRange{
			First: span.First + uint16(i*w/n), Last: uint16(int(span.First) + (i+1)*w/n - 1),
		})
	}
	return out
}
