package ownership

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// balance plans moves from the targets with the highest utilisation to those
// with the lowest, and to targets without keys. A target without a movable span,
// such as the owner of a single hot key, is marked exhausted and skipped, so that
// it does not block moves from other targets.
func (s *service) balance(now time.Time, candidates []*candidate) []Move {
	var moves []Move
	limit := max(minMoves, len(candidates)/targetsPerMove)
	for len(moves) < limit {
		from, to := s.selectPair(now, candidates)
		if from == nil {
			return moves
		}
		amount := (from.utilisation - to.utilisation) / (1/from.slots + 1/to.slots) / s.processingTime()
		span, rate, ok := s.selectSpan(from, amount, moves)
		if !ok {
			from.exhausted = true
			continue
		}
		moves = append(moves, Move{
			Service: s.name, Span: span, From: from.incarnation, To: to.incarnation, Reason: "load",
			Rate: rate, FromUtilisation: from.utilisation, ToUtilisation: to.utilisation,
		})
		from.utilisation -= rate * s.processingTime() / from.slots
		to.utilisation += rate * s.processingTime() / to.slots
		to.empty = false
	}
	return moves
}

// selectPair returns the source and destination of the next move, or nil if no
// move is needed. Targets without keys that joined at least joinDelay ago are
// preferred as destinations, whatever the utilisation of the source.
func (s *service) selectPair(now time.Time, candidates []*candidate) (from, to *candidate) {
	for _, c := range candidates {
		if !c.exhausted && (from == nil || c.utilisation > from.utilisation) {
			from = c
		}
		joined := c.empty && now.Sub(s.joinedAt[c.incarnation.Name]) >= joinDelay
		if joined && (to == nil || !to.empty) || (to == nil || !to.empty && c.utilisation < to.utilisation) {
			to = c
		}
	}
	if from == nil || from == to || from.utilisation <= 0 {
		return nil, nil
	}
	if to.empty {
		return from, to
	}
	if from.utilisation < highUtilisation || from.utilisation-to.utilisation < minUtilisationGap {
		return nil, nil
	}
	return from, to
}

// selectSpan returns the narrowest span of an owner's keys whose rate is about
// amount requests per second and that overlaps no planned move. If hot keys leave
// no such span, it returns the span between them with the highest rate, and
// reports false if moving that one would free less than minMoveUtilisation.
func (s *service) selectSpan(owner *candidate, amount float64, planned []Move) (platform.KeyRange, float64, bool) {
	narrowest, highest := piece{width: math.MaxInt}, piece{}
	for _, st := range s.ranges {
		if !st.Owner.SameAs(owner.incarnation) || st.orderPending || st.moving || !st.granted || len(st.formers) > 0 {
			continue
		}
		keys, _ := s.load.keysIn(st.KeyRange)
		for p := range pieces(keys, amount*minPieceRatio, amount*maxPieceRatio) {
			switch {
			case overlapsMove(planned, p.KeyRange):
			case p.rate >= amount*minPieceRatio && p.width < narrowest.width:
				narrowest = p
			case p.rate > highest.rate:
				highest = p
			}
		}
	}
	if narrowest.rate > 0 {
		return narrowest.KeyRange, narrowest.rate, true
	}
	return highest.KeyRange, highest.rate, highest.rate*s.processingTime()/owner.slots >= minMoveUtilisation
}

// A piece is a part of a range that can be moved.
type piece struct {
	platform.KeyRange
	rate  float64
	width int
}

// pieces yields, for each key, the narrowest piece that ends with the key and
// has at least minimum requests per second. If there is none, it yields the widest
// piece with at most maximum. Keys with a rate above maximum are left out.
func pieces(keys []keyLoad, minimum, maximum float64) iter.Seq[piece] {
	return func(yield func(piece) bool) {
		low, sum := 0, 0.0
		for high, k := range keys {
			sum += k.rate
			for low < high && (sum-keys[low].rate >= minimum || sum > maximum) {
				sum -= keys[low].rate
				low++
			}
			if sum > maximum { // the key alone exceeds the maximum
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
	// minPieceRatio and maxPieceRatio bound the rate of a moved span, as a share of
	// the rate that would give both targets the same utilisation.
	minPieceRatio = 0.5
	maxPieceRatio = 1.4
	// minMoveUtilisation is the least share of the source's slots that a move must
	// free. A move interrupts requests for its keys for about 200 ms.
	minMoveUtilisation = 0.05
)

// overlapsMove reports whether a span shares keys with one of the moves.
func overlapsMove(moves []Move, span platform.KeyRange) bool {
	return slices.ContainsFunc(moves, func(m Move) bool { return m.Span.First <= span.Last && span.First <= m.Span.Last })
}
