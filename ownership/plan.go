package ownership

import (
	"slices"
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// allKeys is the number of keys of a service.
	allKeys = 1 << 16
	// planInterval is the least time between two plans for the load of a service; a move takes about 200 ms.
	planInterval = 400 * time.Millisecond
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
	Span    platform.Span
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
	candidates := c.candidates(now, s)
	if len(candidates) == 0 || c.tooManySilent(now, s) {
		return nil
	}
	s.load.decay(now)
	if len(s.ranges) == 0 {
		return c.first(now, s, candidates)
	}
	if moves := c.evacuate(now, s, candidates); len(moves) > 0 {
		return moves
	}
	if now.Sub(s.moved) < planInterval {
		return nil
	}
	moves := c.balance(now, s, candidates)
	if len(moves) > 0 {
		s.moved = now
	}
	return moves
}

// candidates returns the targets that may get keys, by name.
func (c *Core) candidates(now time.Time, s *service) []*candidate {
	var out []*candidate
	for _, t := range s.targets {
		l := LifeOf(t)
		if t.Draining || c.gone(now, l) {
			continue
		}
		k := &candidate{life: l, slots: float64(max(1, t.Slots)) / s.slowness(t.Name), fresh: true}
		for _, st := range s.ranges {
			if st.Owner.Is(l) {
				k.keys += width(st.Span)
				k.fresh = false
				k.use += s.load.of(st.Span)
			}
		}
		k.use *= s.workTime() / k.slots
		out = append(out, k)
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

// of returns the rate of a span in requests a second.
func (l *load) of(span platform.Span) float64 {
	sum := 0.0
	for key, rate := range l.rates {
		if key >= span.First && key <= span.Last {
			sum += rate
		}
	}
	return sum * l.scale()
}

// first divides all keys evenly once the targets had time to report. Those that
// report later get keys only as load shows which, so few owners would meet the first callers.
func (c *Core) first(now time.Time, s *service, candidates []*candidate) []Move {
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
	n := len(candidates)
	for i, k := range candidates {
		moves = append(moves, Move{
			Service: s.name, To: k.life, Reason: "first",
			Span: platform.Span{First: uint16(i * allKeys / n), Last: uint16((i+1)*allKeys/n - 1)},
		})
	}
	return moves
}

// evacuate moves the keys of targets that leave, died or fell silent.
func (c *Core) evacuate(now time.Time, s *service, candidates []*candidate) []Move {
	able := map[string]bool{}
	for _, k := range candidates {
		able[k.life.Name+k.life.Born.String()] = true
	}
	var moves []Move
	for _, st := range s.ranges {
		if able[st.Owner.Name+st.Owner.Born.String()] || st.moving {
			continue
		}
		if (st.busy || !st.fenced) && !c.gone(now, st.Owner) {
			continue
		}
		for _, piece := range s.divide(st.Span, min(leavingPieces, len(candidates))) {
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
func (s *service) divide(span platform.Span, n int) []platform.Span {
	if n < 2 || width(span) < 64*n {
		return []platform.Span{span}
	}
	keys, total := s.load.within(span)
	if len(keys) < 2*n {
		return evenly(span, n)
	}
	var out []platform.Span
	first, sum := span.First, 0.0
	for _, k := range keys {
		sum += k.rate
		if len(out) < n-1 && sum >= total*float64(len(out)+1)/float64(n) && k.key < span.Last && k.key >= first {
			out = append(out, platform.Span{First: first, Last: k.key})
			first = k.key + 1
		}
	}
	return append(out, platform.Span{First: first, Last: span.Last})
}

func evenly(span platform.Span, n int) []platform.Span {
	out := make([]platform.Span, 0, n)
	w := width(span)
	for i := range n {
		out = append(out, platform.Span{
			First: span.First + uint16(i*w/n), Last: uint16(int(span.First) + (i+1)*w/n - 1),
		})
	}
	return out
}

type keyRate struct {
	key  uint16
	rate float64
}

// within returns the keys of a span that have requests, in order, and their rate together.
func (l *load) within(span platform.Span) ([]keyRate, float64) {
	var out []keyRate
	total, scale := 0.0, l.scale()
	for key, rate := range l.rates {
		if key >= span.First && key <= span.Last {
			rate *= scale
			out = append(out, keyRate{key, rate})
			total += rate
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out, total
}
