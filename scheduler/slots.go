package scheduler

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Requests of several ranks share a host's slots. They don't queue by rank at the targets, and a
// host of 75 has two slots of a service: while both run work of a low rank, urgent requests wait
// for longer than they can. So the share of each rank is an average over time, which is kept free
// for the ranks above whether or not they have requests queued at the moment.
const (
	// rankTimeConstant is the time constant of a rank's average number of running requests. The offered
	// rate that it is compared with has the same one. Bursts of traffic last for 3 to 6 s.
	rankTimeConstant = offeredTimeConstant
	// topOvercommit is the average number of requests per slot up to which the most urgent rank with
	// requests starts more. It is above overcommit, since a wait here costs it more than one at a target.
	topOvercommit = 2
	// topExtraSlots and lowerExtraSlots are the requests that a small share of the slots allows at once in
	// addition. Arrivals at a host vary more than those at all hosts, whose sum the slots must serve.
	topExtraSlots   = 2
	lowerExtraSlots = 1
	// lowerOvercommit is the average number of requests per slot, of all ranks together, up to which lower
	// ranks start requests. It falls by workPenalty for work that is as long as the time that more urgent
	// requests can wait, because these queue behind it at the targets, but not below minLowerOvercommit. It
	// falls only with the load: not at all up to calmLoad, the requests' need as a multiple of the slots, and in full from
	// fullLoad on. Below, hardly any request queues at a target.
	lowerOvercommit    = 1.7
	workPenalty        = 0.45
	minLowerOvercommit = 0.5
	calmLoad           = 0.9
	fullLoad           = 1.1
	// reservedDemand is the part of the demand of more urgent ranks that lower ranks leave free. Urgent requests
	// can also start while lower ones use all of theirs.
	reservedDemand = 0.8
	// minSlack bounds the time in seconds that requests are taken to be able to wait.
	minSlack = 0.01
	// minRankShare is the share of the slots that a rank and those below it may use in any case. No request
	// kind may be served less than a quarter as often as all.
	minRankShare = 0.1
	// minDemand is the number of slots that a rank must need for the ranks below to leave it room.
	minDemand = 0.02
)

// rankState is the load of one rank's requests without a key and without permits.
type rankState struct {
	rank    int
	running int
	offered offeredRate
	// occupancy is the average number of running requests.
	occupancy float64
	updatedAt time.Time
	// work and slack are averages of the time that a request needs and of the time that it can wait, in seconds.
	work, slack float64
}

// rankStateOf returns the state of r's rank and creates it on first use.
func (s *Scheduler) rankStateOf(r *Request) *rankState {
	at := sort.Search(len(s.ranks), func(i int) bool { return s.ranks[i].rank >= r.Rank })
	if at == len(s.ranks) || s.ranks[at].rank != r.Rank {
		s.ranks = slices.Insert(s.ranks, at, &rankState{rank: r.Rank})
	}
	return s.ranks[at]
}

// update advances the averages to now.
func (r *rankState) update(now time.Time) {
	if !r.updatedAt.IsZero() {
		keep := math.Exp(-now.Sub(r.updatedAt).Seconds() / rankTimeConstant.Seconds())
		r.occupancy = keep*r.occupancy + (1-keep)*float64(r.running)
	}
	r.updatedAt = now
}

// demand returns the number of slots that the rank's requests need on average.
func (r *rankState) demand(now time.Time) float64 { return r.offered.perSecond(now) * r.work }

// recordOffered counts a new request for the demand of its rank.
func (s *Scheduler) recordOffered(now time.Time, r *Request) {
	if r.Keyed {
		return
	}
	state := s.rankStateOf(r)
	state.offered.add(now)
	expected := s.expectedProcessingTime(now, r)
	work, slack := expected.Seconds()*meanToBaseline, r.Objective.Sub(now.Add(expected)).Seconds()
	if state.work == 0 {
		state.work, state.slack = work, slack
	}
	state.work += observationWeight * (work - state.work)
	state.slack += observationWeight * (slack - state.slack)
}

// recordRunning changes the number of running requests of r's rank by n.
func (s *Scheduler) recordRunning(now time.Time, r *Request, n int) {
	if r.Keyed || r.permitted {
		return
	}
	state := s.rankStateOf(r)
	state.update(now)
	state.running += n
}

// slots returns the host's share of the slots of all targets without a rate limit. If targets state their load, the slots
// that other hosts leave free are available to this one.
func (s *Scheduler) slots(now time.Time) float64 {
	sum := 0.0
	for _, t := range s.ordered {
		if t.usable(now) && !t.limited {
			sum += t.capacity(now)
		}
	}
	if s.statesLoad(now) {
		sum /= min(1, max(minUtilisation, s.load.utilisation.value))
	}
	return s.slotShare * sum
}

// mayStart reports whether a request of a rank without a key may be sent without a permit. slots
// is the host's share of the slots. Where the configuration gives all requests one rank, there is nothing to keep free.
func (s *Scheduler) mayStart(now time.Time, rank int, slots float64) bool {
	if s.singleRank {
		return s.running-s.runningPermitted < slotLimit(slots, 0)
	}
	above, all, slack, used, work := 0.0, 0.0, math.Inf(1), 0.0, 0.0
	for _, state := range s.ranks {
		demand := state.demand(now)
		all += demand
		if state.rank < rank {
			if demand >= minDemand {
				above += demand
				slack = min(slack, state.slack)
			}
			continue
		}
		state.update(now)
		used += state.occupancy
		if state.rank == rank {
			work = state.work
		}
	}
	running, extra := s.running-s.runningPermitted, 1-s.slotShare
	if math.IsInf(slack, 1) {
		return running < slotLimit(slots, topExtraSlots*extra) && (running < minRunning || used < topOvercommit*slots)
	}
	load := min(1, max(0, (all/max(slots, minDemand)-calmLoad)/(fullLoad-calmLoad)))
	average := lowerOvercommit - load*min(lowerOvercommit-minLowerOvercommit, workPenalty*work/max(slack, minSlack))
	return running < slotLimit(slots, lowerExtraSlots*extra) && used < max(minRankShare*slots, average*slots-reservedDemand*above)
}

// minRunning is the number of requests that a host may have running whatever its share of the slots.
const minRunning = 2

// slotLimit returns the number of requests that a host may have running at once.
func slotLimit(slots, extra float64) int {
	return max(minRunning, int(math.Ceil(slots*overcommit+extra)))
}
