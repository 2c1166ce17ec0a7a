package scheduler

import (
	"math"
	"time"
)

// Only the owner of a key serves it, so that a key that is asked for more often than its owner can
// serve is served in part, whatever the hosts do. What is in excess is refused when it arrives: it would
// wait only to be refused, and fill the owner's queue meanwhile, which turns away requests for other keys.
const (
	// ownerOverloadPeriod is how long a sign of overload of an owner counts: a rejection, or a response that
	// must have queued. One host of 75 sends to an owner with two slots about once in 9 s.
	ownerOverloadPeriod = 5 * time.Second
	// hotKeyDeviations is the number of standard deviations by which a key's requests must exceed the host's
	// share of what the owner can serve. That share is a fraction of a request in small shares.
	hotKeyDeviations = 2
	// hotKeyShare is the part of an owner's capacity that is used before a hot key's requests are refused. The
	// rest covers hosts that send at the same time.
	hotKeyShare = 0.8
	// minHotKeyShare is the part of an owner's capacity that a hot key may use if other keys need all.
	minHotKeyShare = 0.1
	// maxKeyLoads is the number of keys of a target above which those without requests are forgotten.
	maxKeyLoads = 64
	// minKeyRequests is the decayed number of requests below which a key counts as without requests.
	minKeyRequests = 0.05
)

// keyLoad is the load of one key on this host.
type keyLoad struct {
	offered  offeredRate
	tokens   float64   // requests of a hot key that may be sent
	filledAt time.Time // zero until the key is hot
}

// ownerLoad is what a host knows of the load of an owner of keys.
type ownerLoad struct {
	keys            map[uint16]*keyLoad // load of its keys on this host
	overloadedUntil time.Time           // end of the period after a sign of overload
}

// recordKey counts a request for a key of the owner.
func (o *ownerLoad) recordKey(now time.Time, key uint16) {
	if o.keys == nil {
		o.keys = map[uint16]*keyLoad{}
	}
	load, ok := o.keys[key]
	if !ok {
		o.forgetKeys(now)
		load = &keyLoad{}
		o.keys[key] = load
	}
	load.offered.add(now)
}

// forgetKeys bounds the number of keys that are kept.
func (o *ownerLoad) forgetKeys(now time.Time) {
	if len(o.keys) < maxKeyLoads {
		return
	}
	for key, load := range o.keys {
		if load.offered.decay(now); load.offered.sum < minKeyRequests {
			delete(o.keys, key)
		}
	}
}

// ownerRate returns the host's share of the requests per second that an owner of keys can serve.
func (s *Scheduler) ownerRate(now time.Time, t *target) float64 {
	work := s.MeanProcessingTime().Seconds() * max(minSlowness, t.relativeBaseline)
	return s.slotShare * s.capacityOf(now, t) / max(work, time.Millisecond.Seconds())
}

// exceedsKeyShare reports whether r is in excess of what the owner of its key can serve. A request
// that is not takes a token of its key if that is hot.
func (s *Scheduler) exceedsKeyShare(now time.Time, r *Request) bool {
	t := s.owner(r)
	if t == nil || t.limited || !now.Before(t.overloadedUntil) {
		return false
	}
	load, ok := t.keys[r.Key]
	if !ok || now.Sub(load.offered.first) < minOfferedAge {
		return false
	}
	rate := s.ownerRate(now, t)
	served := rate * offeredTimeConstant.Seconds()
	if load.offered.decay(now); load.offered.sum <= served+hotKeyDeviations*math.Sqrt(served)+1 {
		return false
	}
	others := max(0, t.offered.perSecond(now)-load.offered.perSecond(now))
	rate = max(minHotKeyShare*rate, hotKeyShare*rate-others)
	if load.filledAt.IsZero() {
		// Hosts notice at about the same time; each starts at another point of the interval between two tokens.
		load.tokens, load.filledAt = s.options.Random(), now
	}
	load.tokens = min(1, load.tokens+rate*now.Sub(load.filledAt).Seconds())
	load.filledAt = now
	if load.tokens < 1 {
		return true
	}
	load.tokens--
	return false
}

// recordOverload notes a sign that more requests come for the owner than it can serve.
func (o *ownerLoad) recordOverload(now time.Time) { o.overloadedUntil = now.Add(ownerOverloadPeriod) }
