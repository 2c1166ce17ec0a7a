// Package ownership decides which target owns which keys of a divided service,
// and which orders bring that about, so that no two targets hold a key at once.
//
// A Core is a plain state machine of the coordinator: results, reports and the
// time come in as arguments, orders and documents to write come out. It has no
// clock, no sockets and no goroutines, and is not safe for concurrent use.
//
// The rules:
//
//   - A target gets keys only after the document that names it as their owner,
//     with a fencing token above all earlier ones, stands in the store.
//   - The grants of a range that is to move are not renewed from the moment at
//     which the move is sent to the store, so that no successor of the
//     coordinator can find the old owner renewed afterwards.
//   - The new owner gets its grant when each earlier owner has answered a release
//     and no unanswered grant to it can still take effect, or its longest
//     possible hold has run out, or another process has its id or address. A
//     refused connection shows nothing: partitions refuse connections too.
//   - A new coordinator gives each range to the owner that it has, with a higher
//     fencing token, and only then moves it: a release alone need not keep the
//     owner from a later grant of an earlier coordinator. An owner that does not
//     answer may be renewed by that one for its lease, and holds the keys for a
//     hold after that.
//
// # Usage
//
//	core := ownership.New(ownership.Options{Hold: 3 * time.Second, Lease: 10 * time.Second})
//	core.Begin(now, document, resigned)
//	core.SetTargets(now, "stockroom", targets)
//	for _, order := range core.Orders(now) { send(order) }
//	core.Ordered(now, order, result)
//	if document, moves := core.Plan(now); document != nil { write(document) }
//	core.Written(now)
package ownership

import (
	"net/netip"
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// OrderTimeout bounds the wait for the answer to a grant; targets answer within a few milliseconds.
	OrderTimeout = 400 * time.Millisecond
	// clockSlack is how much longer a hold may last on a target whose clock is slow, as a part of the hold.
	clockSlack = 0.02
	// holdMargin covers the time that a grant is under way.
	holdMargin = 150 * time.Millisecond
	// renewals is how often a grant is renewed within its hold.
	renewals = 3
	// retryDelay is the time between an unanswered order and the next one.
	retryDelay = 60 * time.Millisecond
	// lostAfter is how long a target whose entry stands may leave orders unanswered before its keys go elsewhere.
	lostAfter = 1200 * time.Millisecond
	// trialAfter is how long after its last unanswered order a target may get keys again; a failed trial leaves
	// its keys without an owner for lostAfter and a hold, about as long.
	trialAfter = 4 * time.Second
)

// Options configure a Core.
type Options struct {
	// Hold is how long a grant lasts.
	Hold time.Duration
	// Lease is how long a coordinator may give orders after the store last confirmed it.
	Lease time.Duration
}

// A Core is the coordinator's view of all divided services. Its methods take
// the time of a clock that goes on while the host is suspended.
type Core struct {
	options  Options
	document *Document // as it stands in the store
	proposed *Document // sent to the store, not yet answered
	services map[string]*service
	lives    map[lifeKey]*life
	version  uint64
}

type service struct {
	name    string
	ranges  []*state
	targets []platform.Target
	load    *load
	next    time.Time // when load is looked at next
	joined  map[string]time.Time
}

// state is what the coordinator knows of one range beyond the document.
type state struct {
	Range
	granted    bool      // the owner answered a grant with this fence
	fenced     bool      // the owner refuses the tokens of earlier coordinators
	sound      time.Time // until when the owner surely holds the keys
	sent       time.Time // when the last grant was sent
	next       time.Time // when the next order is due
	busy       bool      // an order is under way
	moving     bool      // a change of this range is being written
	refence    bool      // the owner has seen a higher token
	mayHold    time.Time // until when the owner may hold the keys
	unanswered time.Time // until when an unanswered grant may give the owner the keys
	outdated   time.Time // until when a grant of an earlier coordinator may, unless the owner sees a higher token
	handover   string
	previous   []*holder
}

// holder is an earlier owner that may still hold the keys of a range.
type holder struct {
	Life
	fence      uint64
	fenced     bool
	released   bool
	busy       bool
	next       time.Time
	mayHold    time.Time
	unanswered time.Time
}

// life is what is known of one incarnation of a target.
type life struct {
	dead        bool
	silentSince time.Time // first of the unanswered orders in a row
	silentAt    time.Time // last of them
}

// New returns a Core that coordinates nothing yet.
func New(o Options) *Core {
	return &Core{options: o, services: map[string]*service{}, lives: map[lifeKey]*life{}}
}

// TakeOver returns the document with which a process becomes coordinator. old may be nil.
func TakeOver(old *Document) *Document {
	if old == nil {
		return &Document{Term: 1, Settled: true, Services: map[string][]Range{}}
	}
	d := old.clone()
	d.Term++
	d.Settled = false
	d.Fence++
	for _, ranges := range d.Services {
		for i := range ranges {
			ranges[i].Fence = d.Fence
		}
	}
	return d
}

// Begin starts coordinating with a document that stands in the store and names
// this process. resigned says that no earlier coordinator can still give orders
// that targets obey.
func (c *Core) Begin(now time.Time, d *Document, resigned bool) {
	*c = *New(c.options)
	c.document = d
	c.version = 1
	hold := c.holdEnd(now)
	for name, ranges := range d.Services {
		s := c.service(name)
		for _, r := range ranges {
			st := &state{Range: r, mayHold: hold}
			if !resigned {
				// The earlier coordinator may renew the owner until its lease runs out.
				st.mayHold = hold.Add(c.options.Lease)
			}
			for _, p := range r.Previous {
				h := &holder{Life: p.Life, fence: r.Fence, fenced: p.Fenced, mayHold: hold}
				if p.Unanswered {
					h.unanswered = hold
				}
				if !p.Fenced && !resigned {
					h.mayHold = hold.Add(c.options.Lease)
				}
				st.previous = append(st.previous, h)
			}
			s.ranges = append(s.ranges, st)
		}
	}
}

func (c *Core) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{name: name, load: newLoad(), joined: map[string]time.Time{}}
		c.services[name] = s
	}
	return s
}

// holdEnd returns when a hold that begins now has surely ended.
func (c *Core) holdEnd(now time.Time) time.Time {
	return now.Add(time.Duration(float64(c.options.Hold)*(1+clockSlack)) + holdMargin)
}

// SetTargets takes the targets of a service that the directory knows; those
// that drain are to lose their keys. A target whose entry had vanished joins anew.
func (c *Core) SetTargets(now time.Time, name string, targets []platform.Target) {
	s := c.service(name)
	joined := make(map[string]time.Time, len(targets))
	for _, t := range targets {
		at, ok := s.joined[t.Name]
		if !ok {
			at = now
			c.life(LifeOf(t)).silentSince = time.Time{} // its entry shows that it is back
		}
		joined[t.Name] = at
	}
	s.joined = joined
	s.targets = append(s.targets[:0], targets...)
}

// SetEntries takes the targets of all services. An owner has ended when a later
// target has its id or its address.
func (c *Core) SetEntries(targets []platform.Target) {
	byName, byAddress := map[string]platform.Target{}, map[netip.AddrPort]platform.Target{}
	for _, t := range targets {
		byName[t.Name] = t
		if have, ok := byAddress[t.Address]; !ok || t.StartedAt.After(have.StartedAt) {
			byAddress[t.Address] = t
		}
	}
	bury := func(l Life) {
		if byName[l.Name].StartedAt.After(l.Born) || byAddress[l.Address].StartedAt.After(l.Born) {
			c.end(l)
		}
	}
	for _, s := range c.services {
		for _, st := range s.ranges {
			bury(st.Owner)
			for _, p := range st.previous {
				bury(p.Life)
			}
		}
	}
}

// end notes that a target's process has ended.
func (c *Core) end(l Life) {
	if v := c.life(l); !v.dead {
		v.dead = true
		c.version++
	}
}

// EarlierStopped notes that the coordinators before this one give no orders any
// more. Their last orders may still be under way.
func (c *Core) EarlierStopped(now time.Time) {
	hold := c.holdEnd(now)
	for _, s := range c.services {
		for _, st := range s.ranges {
			if !st.fenced {
				st.fenced = true
				st.mayHold, st.outdated = earlier(st.mayHold, hold), later(st.outdated, hold)
			}
			for _, p := range st.previous {
				if !p.fenced {
					p.fenced = true
					p.mayHold, p.unanswered = earlier(p.mayHold, hold), later(p.unanswered, hold)
				}
			}
		}
	}
}

func (c *Core) life(l Life) *life {
	v, ok := c.lives[l.key()]
	if !ok {
		v = &life{}
		c.lives[l.key()] = v
	}
	return v
}

func (c *Core) names() []string {
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// settled reports whether no range of a service waits for an order or a write,
// or few ranges of a large one.
func (s *service) settled() bool {
	n := 0
	for _, st := range s.ranges {
		if !st.granted || st.moving || len(st.previous) > 0 {
			n++
		}
	}
	if len(s.targets) < largeService {
		return n == 0
	}
	return n*unsettledPart <= len(s.ranges)
}
