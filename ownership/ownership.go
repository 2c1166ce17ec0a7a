// Package ownership assigns the keys of services divided by key, called divided
// services, to targets. It issues the orders that grant and revoke keys, so that
// no two targets hold a key at the same time.
//
// A grant lets its target hold the keys for a limited time, the hold, and is
// renewed several times within it.
//
// A Core is the state machine of the coordinator. Results, reports and the time
// are its inputs; orders and documents to write are its outputs. It has no clock,
// sockets or goroutines, and is not safe for concurrent use.
//
// The rules:
//
//   - A target is granted keys only after the store holds a document that names
//     it as their owner with a fencing token above all earlier ones.
//   - The grants of a range that is about to move are not renewed once the move
//     has been sent to the store. Otherwise a successor of the coordinator could
//     read the move while the old owner is still being renewed.
//   - The new owner is granted the keys once each former owner meets one of these
//     conditions: it has answered a release and no unanswered grant to it can
//     still take effect; its longest possible hold has run out; or its process
//     has ended, as another target has its address, or it has started again at
//     another one. A refused connection proves nothing, because partitions refuse
//     connections too.
//   - A target that has started again under its name and address proves nothing
//     either: the new process accepts the grants that are addressed to the earlier
//     one, and has received no fencing token. Its answer to a release proves
//     nothing either while an earlier coordinator may send grants. An order that is
//     not answered therefore withdraws the protection that an answered grant gave.
//     A restart after the keys have gone to another target is not covered: until the
//     earlier coordinator has stopped, it may grant them to the restarted one again.
//   - A new coordinator first grants each range to its present owner with a higher
//     fencing token, and moves it only afterwards. A release alone does not prevent
//     the owner from accepting a later grant of an earlier coordinator. An owner
//     that does not answer may be renewed by the earlier coordinator until the lease
//     of that coordinator ends, and may keep the keys for one hold after that.
//
// # Usage
//
//	core := ownership.New(ownership.Options{HoldTime: 3 * time.Second, LeaseTime: 10 * time.Second})
//	core.Begin(now, document, predecessorsStopped)
//	core.SetTargets(now, "stockroom", targets)
//	for _, order := range core.Orders(now) { send(order) }
//	core.RecordResult(now, order, result, token)
//	if document, moves := core.Plan(now); document != nil { write(document) }
//	core.ConfirmWrite(now)
package ownership

import (
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// GrantTimeout limits the wait for the answer to a grant. Targets normally answer within a few milliseconds.
	GrantTimeout = 400 * time.Millisecond
	// maxClockDrift is how much longer a hold can last on a target with a slow clock, as a share of the hold.
	maxClockDrift = 0.02
	// holdMargin covers the time for a grant to reach its target.
	holdMargin = 150 * time.Millisecond
	// renewalsPerHold is the number of times that a grant is renewed within its hold.
	renewalsPerHold = 3
	// orderRetryDelay is the time between a failed order and the next attempt.
	orderRetryDelay = 60 * time.Millisecond
	// unresponsiveAfter is how long a listed target may leave orders unanswered before its keys are moved.
	unresponsiveAfter = 1200 * time.Millisecond
	// targetRetryDelay is how long after its last unanswered order a target may be assigned keys again. A failed
	// attempt leaves the keys without an owner for about as long: for unresponsiveAfter and one hold.
	targetRetryDelay = 4 * time.Second
)

// Options configures a Core.
type Options struct {
	// HoldTime is how long a grant lasts.
	HoldTime time.Duration
	// LeaseTime is how long a coordinator may send orders after the store last confirmed it.
	LeaseTime time.Duration
}

// A Core holds the coordinator's state of all divided services. The time passed
// to its methods must come from a clock that advances while the host is suspended.
type Core struct {
	options      Options
	document     *Document // the version in the store
	proposed     *Document // sent to the store and not yet confirmed
	services     map[string]*service
	incarnations map[incarnationKey]*incarnationState
	version      uint64
	// unknownOwnersUntil is when the last grant that an incomplete document may be missing has expired. Nothing is granted
	// before.
	unknownOwnersUntil time.Time
	// restoredIn is the newest era for which Restored was called.
	restoredIn uint64
	// predecessorsEnd is when earlier coordinators have sent their last orders.
	predecessorsEnd time.Time
	// formersChanged reports whether the document says of a former owner that it is fenced, and it no longer is.
	formersChanged bool
}

// service is the coordinator's state of one divided service.
type service struct {
	name          string
	ranges        []*rangeState
	targets       []platform.Target
	load          *load
	nextLoadCheck time.Time            // when the next check of the load is due
	joinedAt      map[string]time.Time // when the entry of each target appeared, by name
	rateLimits    map[string]float64   // requests per second that targets accept, by name
}

// rangeState is a range of the document with further state that only the
// coordinator keeps.
type rangeState struct {
	Range
	granted           bool           // the owner has answered a grant of the keys
	fenced            bool           // earlier coordinators cannot renew the owner's grant: it refuses their tokens, or they have stopped
	surelyHeldUntil   time.Time      // the owner holds the keys at least until then
	grantSentAt       time.Time      // when the last grant was sent
	nextGrant         time.Time      // when the next grant is due
	orderPending      bool           // an order has been sent and not answered
	moving            bool           // a change of this range is being written
	needsNewFence     bool           // the owner has received a higher token
	possiblyHeldUntil time.Time      // the owner may hold the keys until then
	unansweredUntil   time.Time      // until then, an unanswered grant may make the owner hold the keys
	staleGrantUntil   time.Time      // as unansweredUntil, for a grant of an earlier coordinator; a higher token prevents it
	handoverToken     string         // returned by the previous owner on release
	formers           []*formerState // former owners that may still hold the keys
}

// formerState is the state of a former owner that may still hold the keys of a range.
type formerState struct {
	Incarnation
	fence             uint64    // fencing token of the releases sent to it
	fenced            bool      // earlier coordinators cannot grant it the keys: it refuses their tokens, or they have stopped
	released          bool      // it has answered a release
	orderPending      bool      // a release has been sent and not answered
	nextRelease       time.Time // when the next release is due
	possiblyHeldUntil time.Time // it may hold the keys until then
	unansweredUntil   time.Time // until then, an unanswered grant may make it hold the keys
}

// incarnationState is the liveness of one incarnation of a target.
type incarnationState struct {
	ended           bool      // the process has ended, and no other accepts orders that are addressed to it
	restarted       bool      // the process has ended, and a later one accepts orders that are addressed to it
	unansweredSince time.Time // first of the consecutive unanswered orders; zero if the last one was answered
	lastUnanswered  time.Time // last of the consecutive unanswered orders
}

// New returns a Core without a document. Begin starts it.
func New(o Options) *Core {
	return &Core{options: o, services: map[string]*service{}, incarnations: map[incarnationKey]*incarnationState{}}
}

// TakeOver returns the document that a process must write to become coordinator:
// a copy of old with a new term and a new fencing token for all ranges. old may be nil.
func TakeOver(old *Document) *Document {
	if old == nil {
		return &Document{Term: 1, OwnersFenced: true, Services: map[string][]Range{}}
	}
	d := old.clone()
	d.Term++
	d.OwnersFenced = false
	d.Fence++
	for _, ranges := range d.Services {
		for i := range ranges {
			ranges[i].Fence = d.Fence
		}
	}
	return d
}

// Begin starts coordinating with a document that is in the store and names this
// process. predecessorsStopped reports whether no earlier coordinator can still send
// orders that targets accept.
func (c *Core) Begin(now time.Time, d *Document, predecessorsStopped bool) {
	*c = *New(c.options)
	c.document = d
	c.version = 1
	hold := c.holdEnd(now)
	c.predecessorsEnd = now
	if !predecessorsStopped {
		c.predecessorsEnd = now.Add(c.options.LeaseTime)
	}
	if d.Incomplete {
		c.unknownOwnersUntil = hold.Add(c.options.LeaseTime)
	}
	for name, ranges := range d.Services {
		s := c.service(name)
		for _, r := range ranges {
			st := &rangeState{Range: r, possiblyHeldUntil: hold}
			if !predecessorsStopped {
				// The earlier coordinator may renew the owner's grant until its lease ends.
				st.possiblyHeldUntil = hold.Add(c.options.LeaseTime)
			}
			for _, former := range r.FormerOwners {
				f := &formerState{Incarnation: former.Incarnation, fence: r.Fence, fenced: former.Fenced, possiblyHeldUntil: hold}
				if former.Unanswered {
					f.unansweredUntil = hold
				}
				if !former.Fenced && !predecessorsStopped {
					f.possiblyHeldUntil = hold.Add(c.options.LeaseTime)
				}
				st.formers = append(st.formers, f)
			}
			s.ranges = append(s.ranges, st)
		}
	}
}

// UnknownCoordinatorsStopped records that coordinators that the document is missing send no more orders. Unless the document
// is known to be the newest, grants of theirs may remain valid for one hold.
func (c *Core) UnknownCoordinatorsStopped(now time.Time, newest bool) {
	until := now
	if !newest {
		until = c.holdEnd(now)
	}
	c.unknownOwnersUntil = earlier(c.unknownOwnersUntil, until)
}

// Restored proposes the document again, or replaces the one that is being written, after the store was restored from a copy
// in a new era. Its term and new tokens are above those of any coordinator that may have taken over in the meantime and
// whose document the copy lacks. It returns the document if none was being written, and nil otherwise.
func (c *Core) Restored(era uint64) *Document {
	if era <= c.restoredIn {
		return nil
	}
	c.restoredIn = era
	base, pending := c.document, c.proposed != nil
	if pending {
		base = c.proposed
	}
	d := base.clone()
	d.Term, d.Fence, d.Era = raise(d.Term, era), raise(d.Fence, era), era
	for _, ranges := range d.Services {
		for i := range ranges {
			if pending && ranges[i].Fence == base.Fence {
				ranges[i].Fence = d.Fence
			}
		}
	}
	c.proposed = d
	if pending {
		return nil
	}
	return d
}

// service returns the state of a service, which it creates if needed.
func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{name: name, load: newLoad(), joinedAt: map[string]time.Time{}}
		c.services[name] = s
	}
	return s
}

// holdEnd returns the time by which a hold that begins now has ended on every
// target, including clock drift and transit time.
func (c *Core) holdEnd(now time.Time) time.Time {
	return now.Add(time.Duration(float64(c.options.HoldTime)*(1+maxClockDrift)) + holdMargin)
}

// SetTargets sets the listed targets of a service. The keys of draining targets
// are moved. A target whose entry was missing in the last call counts as newly joined.
func (c *Core) SetTargets(now time.Time, name string, targets []platform.Target) {
	s := c.service(name)
	joined := make(map[string]time.Time, len(targets))
	for _, t := range targets {
		at, ok := s.joinedAt[t.Name]
		if !ok {
			at = now
			c.incarnation(IncarnationOf(t)).unansweredSince = time.Time{} // a new entry shows that the target runs again
		}
		joined[t.Name] = at
	}
	s.joinedAt = joined
	s.targets = append(s.targets[:0], targets...)
}

// SetRateLimits sets the requests per second that targets of a service accept, by name. Targets
// that are not in limits have no such limit.
func (c *Core) SetRateLimits(name string, limits map[string]float64) {
	c.service(name).rateLimits = limits
}

// incarnation returns the state of an incarnation, which it creates if needed.
func (c *Core) incarnation(i Incarnation) *incarnationState {
	v, ok := c.incarnations[i.key()]
	if !ok {
		v = &incarnationState{}
		c.incarnations[i.key()] = v
	}
	return v
}

// serviceNames returns the names of all services in sorted order.
func (c *Core) serviceNames() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// quiescent reports whether no range of a service waits for an order or a write.
// In a large service, up to one range in rangesPerPending may wait.
func (s *service) quiescent() bool {
	n := 0
	for _, st := range s.ranges {
		if !st.granted || st.moving || len(st.formers) > 0 {
			n++
		}
	}
	if len(s.targets) < largeServiceTargets {
		return n == 0
	}
	return n*rangesPerPending <= len(s.ranges)
}
