package ownership

import (
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// allKeys is the number of keys of a service.
	allKeys = 1 << 16
	// planInterval is the least time between two plans for the load of a service; a move takes about 200 ms.
	planInterval = 400 * time.Millisecond
	// lookInterval is the time between two looks at the load of a service; one takes a coordinator up to a
	// millisecond, and it has to act many times a second while owners answer.
	lookInterval = 100 * time.Millisecond
	// highUse is the part of a target's slots in use above which keys are moved off it.
	highUse = 0.7
	// minGain is the least difference of use between two targets for a move.
	minGain = 0.25
	// minMoves is how many moves for load one plan may have on a small service, and
	// targetsPerMove how many targets allow one more on a large one.
	minMoves       = 3
	targetsPerMove = 8
	// largeService is the number of targets from which some range almost always waits for an order;
	// others may move for load as long as no more than one in unsettledPart does.
	largeService  = 24
	unsettledPart = 8
	// leavingPieces bounds the targets among which the keys of a leaving target are divided.
	leavingPieces = 3
	// settleTime is how long no target must have joined before the first assignment; they report for the first
	// time within a heartbeat of 0.9 to 1.5 seconds of each other.
	settleTime = 1200 * time.Millisecond
	// maxSettleTime is how long the first assignment waits at most, three heartbeats; requests end the wait.
	maxSettleTime = 4500 * time.Millisecond
	// maxFragments is the number of ranges a target above which neighbours are merged.
	maxFragments = 4
	// joinTime is how long after its entry a target without keys gets some.
	joinTime = 300 * time.Millisecond
)

// A Move is one planned change of owner.
type Move struct {
	Service string
	Span    platform.KeyRange
	From    Life
	To      Life
	Reason  string
	// Rate is the load of the span in requests a second, and FromUse and ToUse
	// are the uses of both targets before the move, in parts of their slots.
	Rate    float64
	FromUse float64
	ToUse   float64
}

// Plan starts a change when one is due: the document to write and the moves in
// it. Until Written, Proposed returns the document again.
func (c *Core) Plan(now time.Time) (*Document, []Move) {
	if c.document == nil || c.proposed != nil {
		return nil, nil
	}
	var moves []Move
	refence := false
	for _, name := range c.names() {
		s := c.services[name]
		moves = append(moves, c.planService(now, s)...)
		for _, st := range s.ranges {
			refence = refence || st.refence && !st.busy
		}
	}
	settles := !c.document.Settled && c.allFenced()
	if len(moves) == 0 && !refence && !settles {
		return nil, nil
	}
	c.proposed = c.propose(now, moves)
	return c.proposed, moves
}

// allFenced reports whether every owner refuses the tokens of earlier coordinators.
func (c *Core) allFenced() bool {
	n := 0
	for _, s := range c.services {
		for _, st := range s.ranges {
			if !st.fenced || len(st.previous) > 0 {
				return false
			}
			n++
		}
	}
	return n > 0
}

// candidate is a target that may get keys, with its use.
type candidate struct {
	life  Life
	slots float64
	use   float64 // load in parts of the slots
	keys  int
	fresh bool // has no keys
	stuck bool // has no keys that can move
}

func (c *Core) planService(now time.Time, s *service) []Move {
	able := c.able(now, s)
	if len(able) == 0 || c.tooManySilent(now, s) {
		return nil
	}
	if len(s.ranges) == 0 {
		return c.first(now, s)
	}
	if orphans := c.orphans(now, s, able); len(orphans) > 0 {
		s.load.decay(now)
		return s.evacuate(orphans, s.candidates(able))
	}
	if now.Before(s.next) || !s.settled() {
		return nil
	}
	s.load.decay(now)
	moves := s.balance(now, s.candidates(able))
	s.next = now.Add(lookInterval)
	if len(moves) > 0 {
		s.next = now.Add(planInterval)
	}
	return moves
}

// able returns the targets that may get keys, by name.
func (c *Core) able(now time.Time, s *service) []platform.Target {
	var out []platform.Target
	for _, t := range s.targets {
		if !t.Draining && !c.gone(now, LifeOf(t)) {
			out = append(out, t)
		}
	}
	return out
}

// candidates returns targets with their use, in their order.
func (s *service) candidates(able []platform.Target) []*candidate {
	out := make([]*candidate, 0, len(able))
	byLife := make(map[lifeKey]*candidate, len(able))
	for _, t := range able {
		k := &candidate{life: LifeOf(t), slots: float64(max(1, t.Slots)) / s.slowness(t.Name), fresh: true}
		out = append(out, k)
		byLife[k.life.key()] = k
	}
	for _, st := range s.ranges {
		if k := byLife[st.Owner.key()]; k != nil {
			k.keys += width(st.KeyRange)
			k.fresh = false
			k.use += s.load.of(st.KeyRange) * s.workTime() / k.slots
		}
	}
	return out
}

// gone reports whether a target is dead or has left all orders unanswered for
// long. One that lost its keys gets no orders that could show that it is back, so
// it is tried again after a time without any.
func (c *Core) gone(now time.Time, l Life) bool {
	v := c.life(l)
	silent := !v.silentSince.IsZero() && now.Sub(v.silentSince) >= lostAfter
	return v.dead || silent && now.Sub(v.silentAt) < trialAfter
}

// tooManySilent reports whether most targets leave orders unanswered, which
// points to this host's own links.
func (c *Core) tooManySilent(now time.Time, s *service) bool {
	silent := 0
	for _, t := range s.targets {
		if v := c.life(LifeOf(t)); !v.dead && c.gone(now, LifeOf(t)) {
			silent++
		}
	}
	return silent > 1 && 2*silent > len(s.targets)
}

// Isolated reports whether most targets of some service leave orders unanswered.
func (c *Core) Isolated(now time.Time) bool {
	for _, s := range c.services {
		if c.tooManySilent(now, s) {
			return true
		}
	}
	return false
}

func (s *service) slowness(name string) float64 {
	if v, ok := s.load.slowness[name]; ok {
		return min(4, max(0.3, v))
	}
	return 1
}

// workTime returns the mean time of a request in seconds.
func (s *service) workTime() float64 {
	if s.load.work == 0 {
		return 0.1
	}
	return s.load.work.Seconds()
}

// first divides all keys evenly once the targets had time to report. Those that
// report later get keys only as load shows which, so few owners would meet the first callers.
func (c *Core) first(now time.Time, s *service) []Move {
	oldest, newest := now, time.Time{}
	for _, t := range s.targets {
		oldest, newest = earlier(oldest, s.joined[t.Name]), later(newest, s.joined[t.Name])
	}
	wait := maxSettleTime
	if len(s.load.rates) > 0 {
		wait = settleTime
	}
	if now.Sub(newest) < settleTime && now.Sub(oldest) < wait {
		return nil
	}
	var moves []Move
	able := c.able(now, s)
	n := len(able)
	for i, t := range able {
		moves = append(moves, Move{
			Service: s.name, To: LifeOf(t), Reason: "first",
			Span: platform.KeyRange{First: uint16(i * allKeys / n), Last: uint16((i+1)*allKeys/n - 1)},
		})
	}
	return moves
}

// orphans returns the ranges whose owners drain, have ended or do not answer.
func (c *Core) orphans(now time.Time, s *service, able []platform.Target) []*state {
	owners := make(map[lifeKey]bool, len(able))
	for _, t := range able {
		owners[LifeOf(t).key()] = true
	}
	var out []*state
	for _, st := range s.ranges {
		if owners[st.Owner.key()] || st.moving || (st.busy || !st.fenced) && !c.gone(now, st.Owner) {
			continue
		}
		out = append(out, st)
	}
	return out
}

// evacuate moves ranges to the targets that are least busy.
func (s *service) evacuate(ranges []*state, candidates []*candidate) []Move {
	var moves []Move
	for _, st := range ranges {
		for _, piece := range s.divide(st.KeyRange, min(leavingPieces, len(candidates))) {
			k := least(candidates)
			k.use += max(s.load.of(piece), float64(width(piece))*tinyRate) * s.workTime() / k.slots
			moves = append(moves, Move{Service: s.name, Span: piece, From: st.Owner, To: k.life, Reason: "owner_leaves"})
		}
	}
	return moves
}

// tinyRate is the rate that a key without requests counts for, so that idle ranges spread too.
const tinyRate = 1e-5

func least(candidates []*candidate) *candidate {
	return slices.MinFunc(candidates, func(a, b *candidate) int {
		switch {
		case a.use < b.use:
			return -1
		case a.use > b.use:
			return 1
		}
		return 0
	})
}

// divide cuts a span into at most n pieces of similar load.
func (s *service) divide(span platform.KeyRange, n int) []platform.KeyRange {
	if n < 2 || width(span) < 64*n {
		return []platform.KeyRange{span}
	}
	keys, total := s.load.within(span)
	if len(keys) < 2*n {
		return evenly(span, n)
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

func evenly(span platform.KeyRange, n int) []platform.KeyRange {
	out := make([]platform.KeyRange, 0, n)
	w := width(span)
	for i := range n {
		out = append(out, platform.KeyRange{
			First: span.First + uint16(i*w/n), Last: uint16(int(span.First) + (i+1)*w/n - 1),
		})
	}
	return out
}
