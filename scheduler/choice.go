package scheduler

import (
	"math"
	"time"
)

// canServe reports whether any target can run r. A keyed request needs no known
// owner: its key may be assigned while it is queued, unless no keys can move.
func (s *Scheduler) canServe(now time.Time, r *Request) bool {
	if r.Keyed {
		return len(s.ordered) > 0 && (!s.movesHalted || !s.ownerHasLeft(now, r))
	}
	for _, t := range s.ordered {
		if t.usable(now) || !t.Draining && t.withheld(now) { // estimateWait counts the time until it accepts requests
			return true
		}
	}
	return false
}

// ownerHasLeft reports whether the owner of r's key gets no further requests, or is no longer listed.
func (s *Scheduler) ownerHasLeft(now time.Time, r *Request) bool {
	name, ok := s.options.Owner(r.Key)
	t := s.targets[name]
	return ok && (t == nil || t.hasLeft(now, s.options.OwnerGrace))
}

// runningLimit returns the number of requests running without a permit up to which this
// host sends further requests without a key. It is at least minRunning.
func (s *Scheduler) runningLimit(now time.Time) int { return slotLimit(s.slots(now), 0) }

// keyedLimit returns the number of requests that this host may have running at a
// target that owns keys. It is the adaptive limit of the target, but at least the
// host's share of the target's slots and of keyedQueueDepth, and at least the slots
// that are free on average. Processing times vary so much that the adaptive limit alone
// falls to one at owners that are idle most of the time.
func (s *Scheduler) keyedLimit(now time.Time, t *target) int {
	shared := int(math.Round(s.slotShare * (s.capacityOf(now, t) + keyedQueueDepth)))
	return max(int(t.concurrencyLimit), shared, s.freeSlots(now, t))
}

// freeSlots returns the number of slots of an owner of keys that the load of all hosts
// leaves free on average. A request that waits here while its owner is idle gains nothing.
func (s *Scheduler) freeSlots(now time.Time, t *target) int {
	return int(s.capacityOf(now, t) * max(0, 1-s.utilisation(now, t)))
}

// utilisation estimates the load that all hosts offer to an owner of keys, as a
// multiple of its capacity, from the requests that this host got for it.
func (s *Scheduler) utilisation(now time.Time, t *target) float64 {
	work := s.MeanProcessingTime().Seconds() * max(minSlowness, t.relativeBaseline)
	return t.offered.perSecond(now) / max(s.slotShare, minSlotShare) * work / s.capacityOf(now, t)
}

// Next removes the first request from the queue that can be sent now, and returns
// it with its target. It returns false if there is none.
func (s *Scheduler) Next(now time.Time) (Dispatch, bool) {
	if len(s.queue) == 0 {
		return Dispatch{}, false
	}
	slots := s.slots(now)
	checked, rank, hasCapacity := false, 0, false // whether requests of rank may start
	for i, r := range s.queue {
		if !r.Keyed && (!checked || r.Rank != rank) {
			checked, rank, hasCapacity = true, r.Rank, s.mayStart(now, r.Rank, slots)
		}
		var t *target
		switch {
		case r.Keyed:
			t = s.availableOwner(now, r)
		case !s.leavesRoom(now, r, s.runningStreamed, s.runningLimit(now)):
		case hasCapacity || s.limitedTargets > 0:
			t = s.cheapestTarget(now, r, hasCapacity)
		}
		if t == nil {
			continue
		}
		s.queue = append(s.queue[:i], s.queue[i+1:]...)
		until := t.nextPermit()
		s.start(now, r, t)
		return Dispatch{Request: r, Target: t.Target, TimeSinceArrival: now.Sub(r.arrived), PermitUntil: until}, true
	}
	return Dispatch{}, false
}

// start records that r is sent to t. A request that misses its objective counts as
// progress of its class.
func (s *Scheduler) start(now time.Time, r *Request, t *target) {
	if !s.meetsObjective(now, r) {
		s.classStateOf(now, r).lastProgress = now
	}
	r.target = t
	r.tried = append(r.tried, t.Name)
	r.permitted = t.limited
	if r.permitted {
		s.runningPermitted++
	}
	if r.Streamed {
		s.runningStreamed++
		t.runningStreamed++
	}
	s.recordRunning(now, r, 1)
	r.expected = completion{}
	if s.statesLoad(now) {
		r.expected = s.expectedCompletion(now, t, r)
	}
	t.start(now)
	s.running++
}

// owner returns the target that owns the key of r, or nil if r has no key or no owner is known.
func (s *Scheduler) owner(r *Request) *target {
	if !r.Keyed {
		return nil
	}
	name, ok := s.options.Owner(r.Key)
	if !ok {
		return nil
	}
	return s.targets[name]
}

// availableOwner returns the owner of r's key if it can get a request now, or nil.
func (s *Scheduler) availableOwner(now time.Time, r *Request) *target {
	t := s.owner(r)
	if t == nil || t.hasLeft(now, s.options.OwnerGrace) || !t.availableForOwned(now) || t.running >= s.keyedLimit(now, t) {
		return nil
	}
	if !s.leavesRoom(now, r, t.runningStreamed, s.keyedLimit(now, t)) {
		return nil
	}
	if !t.permitted(now) {
		t.want(now)
		return nil
	}
	return t
}

// cheapestTarget returns the available target with the lowest cost for r, or nil. If targets state their load, the cost
// is the expected completion time, and otherwise a multiple of the mean response time.
// A target with a pending probe comes first; targets that r was already sent to
// come last. Targets of equal cost are chosen in rotation. A limited target that would
// be chosen with a permit is marked as wanting one. Without free capacity only limited
// targets are available, as their permits bound the requests there.
func (s *Scheduler) cheapestTarget(now time.Time, r *Request, hasCapacity bool) *target {
	var best, limited *target
	minCost, minLimitedCost := math.Inf(1), math.Inf(1)
	stated := s.statesLoad(now)
	yields := stated && s.yields(now, r)
	s.rotation++
	for i := range s.ordered {
		t := s.ordered[(i+s.rotation)%len(s.ordered)]
		if !t.available(now) || !t.limited && !hasCapacity {
			continue
		}
		var cost float64
		if stated {
			cost = s.completionCost(now, t, r, yields)
		} else {
			cost = t.cost(now) + s.accessCost(t, r)
		}
		switch {
		case r.wasSentTo(t.Name):
			cost += triedCost
		case t.probePending:
			cost = 0
		case t.limited && now.Before(t.warmAt) && (t.permitted(now) || s.halfUsed(now)):
			cost *= coldPermitCost
		}
		switch {
		case !t.permitted(now):
			if !t.wanted && cost < minLimitedCost {
				limited, minLimitedCost = t, cost
			}
		case cost < minCost:
			best, minCost = t, cost
		}
	}
	if limited != nil && minLimitedCost < minCost {
		limited.want(now)
	}
	return best
}

// halfUsed reports whether this host uses half of the slots that it may use or more.
func (s *Scheduler) halfUsed(now time.Time) bool { return 2*s.running >= s.runningLimit(now) }

// accessCost returns the cost of reaching a target, as a multiple of the mean
// response time: sending the body to another data centre, and a new connection.
func (s *Scheduler) accessCost(t *target, r *Request) float64 {
	cost := 0.0
	if t.DataCentre != s.options.DataCentre {
		cost += remoteCost + remoteBodyCost*float64(r.Bytes)/bodyCostUnit
	}
	if !s.options.Connected(t.Name) {
		cost += connectCost
	}
	return cost
}

func (r *Request) wasSentTo(name string) bool {
	for _, t := range r.tried {
		if t == name {
			return true
		}
	}
	return false
}
