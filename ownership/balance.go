package ownership

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// balance moves the busiest keys of the busiest targets to the least busy ones,
// and some keys to targets that have none. A target that has nothing to move,
// as the owner of a single hot key, does not keep others from moving theirs.
func (s *service) balance(now time.Time, candidates []*candidate) []Move {
	var moves []Move
	limit := max(minMoves, len(candidates)/targetsPerMove)
	for len(moves) < limit {
		from, to := s.pair(now, candidates)
		if from == nil {
			return moves
		}
		amount := (from.use - to.use) / (1/from.slots + 1/to.slots) / s.workTime()
		span, rate, ok := s.busiest(from, amount, moves)
		if !ok {
			from.stuck = true
			continue
		}
		moves = append(moves, Move{
			Service: s.name, Span: span, From: from.life, To: to.life, Reason: "load",
			Rate: rate, FromUse: from.use, ToUse: to.use,
		})
		from.use -= rate * s.workTime() / from.slots
		to.use += rate * s.workTime() / to.slots
		to.fresh = false
	}
	return moves
}

// pair returns the targets between which keys should move, or nil.
func (s *service) pair(now time.Time, candidates []*candidate) (from, to *candidate) {
	for _, k := range candidates {
		if !k.stuck && (from == nil || k.use > from.use) {
			from = k
		}
		joined := k.fresh && now.Sub(s.joined[k.life.Name]) >= joinTime
		if joined && (to == nil || !to.fresh) || (to == nil || !to.fresh && k.use < to.use) {
			to = k
		}
	}
	if from == nil || from == to || from.use <= 0 {
		return nil, nil
	}
	if to.fresh {
		return from, to
	}
	if from.use < highUse || from.use-to.use < minGain {
		return nil, nil
	}
	return from, to
}

// busiest returns the narrowest span of an owner's keys whose rate is about
// amount, among those that no planned move touches. Where hot keys leave no such
// span it returns the one between them with the highest rate.
func (s *service) busiest(owner *candidate, amount float64, planned []Move) (platform.KeyRange, float64, bool) {
	best, fullest := piece{width: math.MaxInt}, piece{}
	for _, st := range s.ranges {
		if !st.Owner.Is(owner.life) || st.busy || st.moving || !st.granted || len(st.previous) > 0 {
			continue
		}
		keys, _ := s.load.within(st.KeyRange)
		for p := range pieces(keys, amount*minPiece, amount*maxPiece) {
			switch {
			case touched(planned, p.KeyRange):
			case p.rate >= amount*minPiece && p.width < best.width:
				best = p
			case p.rate > fullest.rate:
				fullest = p
			}
		}
	}
	if best.rate > 0 {
		return best.KeyRange, best.rate, true
	}
	return fullest.KeyRange, fullest.rate, fullest.rate*s.workTime()/owner.slots >= minShift
}

// A piece is a part of a range that may move.
type piece struct {
	platform.KeyRange
	rate  float64
	width int
}

// pieces yields, for each key, the narrowest piece that ends with it and has the
// rate least, or the widest whose rate is at most most.
func pieces(keys []keyRate, least, most float64) iter.Seq[piece] {
	return func(yield func(piece) bool) {
		low, sum := 0, 0.0
		for high, k := range keys {
			sum += k.rate
			for low < high && (sum-keys[low].rate >= least || sum > most) {
				sum -= keys[low].rate
				low++
			}
			if sum > most { // the key alone is too much
				low, sum = high+1, 0
				continue
			}
			span := platform.KeyRange{First: keys[low].key, Last: k.key}
			if !yield(piece{KeyRange: span, rate: sum, width: width(span)}) {
				return
			}
		}
	}
}

const (
	// minPiece and maxPiece bound the rate of a moved span in parts of the rate that would even two targets out.
	minPiece = 0.5
	maxPiece = 1.4
	// minShift is the least part of a target's slots that a move takes off it; a move interrupts its keys for about 200 ms.
	minShift = 0.05
)

func touched(moves []Move, span platform.KeyRange) bool {
	return slices.ContainsFunc(moves, func(m Move) bool { return m.Span.First <= span.Last && span.First <= m.Span.Last })
}
