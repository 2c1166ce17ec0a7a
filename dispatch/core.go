package dispatch

import (
	"sort"
	"time"
)

const (
	// agedShare is the number of dispatches of which one may go to an aged request.
	agedShare = 10
	// retryTokens bounds the retries that successes have paid for.
	retryTokens = 20
	// notStartedAttempts bounds the attempts of a request that never started.
	notStartedAttempts = 5
	// doomedFactor is how many expected running times must fit before the deadline.
	doomedFactor = 2
	// waitSlack is the part by which the expected wait may be exceeded.
	waitSlack = 8
)

// A ClassConfig describes one class of a Core.
type ClassConfig struct {
	Rank       int
	QueueLimit int
	Ageing     time.Duration
}

// A Config describes a Core.
type Config struct {
	Classes []ClassConfig
	// LongRoutes has an element for each route that says whether it is known to be long.
	LongRoutes []bool
	// QueueLimit bounds the waiting requests of all classes; 0 means no bound.
	QueueLimit int
	// RetryRatio is the greatest number of retries for each success.
	RetryRatio float64
	// Attempts bounds the attempts of a request whose outcome was unknown.
	Attempts int
}

// A Core decides which waiting request goes to which target.
type Core struct {
	cfg      Config
	classes  []class
	order    []int // classes by rank
	targets  []target
	names    map[string]int
	lengths  *lengths
	suspects *suspects
	running  map[*Request]struct{}
	refused  []Refusal
	queued   int
	sinceAge int
	tokens   float64
	alone    []*Request
}

// New returns a Core without targets.
func New(cfg Config) *Core {
	c := &Core{
		cfg:      cfg,
		names:    map[string]int{},
		lengths:  newLengths(len(cfg.LongRoutes)),
		suspects: newSuspects(),
		running:  map[*Request]struct{}{},
		tokens:   retryTokens,
	}
	for i, cc := range cfg.Classes {
		c.classes = append(c.classes, class{rank: cc.Rank, limit: cc.QueueLimit, ageing: cc.Ageing})
		c.order = append(c.order, i)
	}
	sort.SliceStable(c.order, func(i, j int) bool {
		return c.classes[c.order[i]].rank < c.classes[c.order[j]].rank
	})
	return c
}

// Reconfigure changes classes, routes and limits. remap sets the class and the
// route of a request to those of the new policy. Waiting requests stay queued.
func (c *Core) Reconfigure(cfg Config, remap func(*Request)) {
	var waiting []*Request
	c.eachQueued(func(r *Request) {
		c.dequeue(r)
		waiting = append(waiting, r)
	})
	fresh := New(cfg)
	c.cfg, c.classes, c.order, c.lengths = fresh.cfg, fresh.classes, fresh.order, fresh.lengths
	for k := range c.classes {
		c.classes[k].grow(len(c.targets))
	}
	for r := range c.running {
		remap(r)
	}
	for _, r := range waiting {
		remap(r)
		r.long = c.cfg.LongRoutes[r.Route]
		r.expected = 0
		c.enqueue(r)
	}
}

// SetTarget adds a target or changes it, and returns its index.
func (c *Core) SetTarget(spec TargetSpec) int {
	if i, ok := c.names[spec.Name]; ok {
		t := &c.targets[i]
		if t.removed {
			running, long, exclusive := t.running, t.long, t.exclusive
			*t = newTarget(spec)
			t.running, t.long, t.exclusive = running, long, exclusive
			return i
		}
		t.draining = spec.Draining
		t.slots = spec.Slots
		t.limit = min(t.limit, spec.Slots)
		return i
	}
	c.targets = append(c.targets, newTarget(spec))
	i := len(c.targets) - 1
	c.names[spec.Name] = i
	for k := range c.classes {
		c.classes[k].grow(len(c.targets))
	}
	return i
}

// RemoveTarget takes a target away; what runs there goes on.
func (c *Core) RemoveTarget(name string) {
	if i, ok := c.names[name]; ok {
		c.targets[i].removed = true
	}
}

// TargetFailed notes that a target cannot be reached, from other evidence than a request.
func (c *Core) TargetFailed(now time.Time, name string) {
	if i, ok := c.names[name]; ok {
		c.targets[i].failed(now)
	}
}

// TargetBack ends the suspension of a target that answers again; it starts cold.
func (c *Core) TargetBack(name string) {
	if i, ok := c.names[name]; ok {
		c.targets[i].suspended = time.Time{}
	}
}

// Name returns the name of the target with index i.
func (c *Core) Name(i int) string { return c.targets[i].name }

// Index returns the index of the target called name.
func (c *Core) Index(name string) (int, bool) {
	i, ok := c.names[name]
	return i, ok
}

// Add accepts r for dispatch or returns why it is refused; then it has not run.
func (c *Core) Add(now time.Time, r *Request) *Refusal {
	r.arrived = now
	r.long = c.cfg.LongRoutes[r.Route] || c.lengths.isLong(r.Route)
	r.expected = c.lengths.expect(r.Route)
	if s, ok := c.suspects.lookup(now, r.Fingerprint); ok {
		if s.setAside {
			return &Refusal{Request: r, Reason: ReasonSetAside}
		}
		r.alone = true
	}
	wait := c.wait(now, r)
	if now.Add(wait + wait/waitSlack + doomedFactor*r.expected).After(r.Deadline) {
		return &Refusal{Request: r, Reason: ReasonDoomed, RetryAfter: wait}
	}
	cl := &c.classes[r.Class]
	if cl.size >= cl.limit {
		return &Refusal{Request: r, Reason: ReasonQueueFull, RetryAfter: wait}
	}
	if c.cfg.QueueLimit > 0 && c.queued >= c.cfg.QueueLimit && !c.evictBelow(cl.rank) {
		return &Refusal{Request: r, Reason: ReasonShed, RetryAfter: wait}
	}
	c.enqueue(r)
	return nil
}

// wait estimates how long r has to wait for a slot.
func (c *Core) wait(now time.Time, r *Request) time.Duration {
	slots := 0
	for i := range c.targets {
		t := &c.targets[i]
		if t.removed || t.draining || r.Owner >= 0 && r.Owner != i {
			continue
		}
		if t.open(now) && c.queued == 0 {
			return 0
		}
		slots += t.limit
	}
	if slots == 0 {
		return 0
	}
	var work time.Duration
	rank := c.classes[r.Class].rank
	for _, k := range c.order {
		cl := &c.classes[k]
		if cl.rank > rank {
			break
		}
		if r.Owner >= 0 {
			work += cl.lists(r.Owner).work()
		} else {
			work += cl.shared.work()
		}
	}
	return work / time.Duration(slots)
}

// evictBelow refuses the youngest waiting request of the worst rank below rank.
func (c *Core) evictBelow(rank int) bool {
	for i := len(c.order) - 1; i >= 0; i-- {
		cl := &c.classes[c.order[i]]
		if cl.rank <= rank {
			return false
		}
		if cl.size == 0 {
			continue
		}
		var youngest *Request
		cl.each(func(r *Request) {
			if youngest == nil || r.arrived.After(youngest.arrived) {
				youngest = r
			}
		})
		if youngest != nil {
			c.refuse(youngest, ReasonShed)
			return true
		}
	}
	return false
}

func (c *Core) enqueue(r *Request) {
	cl := &c.classes[r.Class]
	r.state = stateQueued
	if r.alone {
		c.enqueueAlone(r)
	} else {
		cl.lists(r.Owner).of(r).insert(r)
	}
	cl.size++
	c.queued++
}

func (c *Core) dequeue(r *Request) {
	if r.alone {
		c.dequeueAlone(r)
	} else {
		r.list.remove(r)
	}
	c.classes[r.Class].size--
	c.queued--
}

func (c *Core) refuse(r *Request, reason Reason) {
	c.dequeue(r)
	r.state = stateEnded
	c.refused = append(c.refused, Refusal{Request: r, Reason: reason})
}

// TakeRefused returns the requests that were refused while they waited.
func (c *Core) TakeRefused() []Refusal {
	out := c.refused
	c.refused = nil
	return out
}

// TakeSetAside returns the fingerprints that were set aside since the last call.
func (c *Core) TakeSetAside() []SetAside {
	out := c.suspects.news
	c.suspects.news = nil
	return out
}

// SetAside refuses requests with a fingerprint from now on; peers tell of them.
func (c *Core) SetAside(s SetAside) {
	c.suspects.entries[s.Fingerprint] = suspect{setAside: true, until: s.Until}
}

// Reassign asks owner for the owner of every waiting request of a divided
// service: the index of a target or NoOwner. owner may change the request's shard.
func (c *Core) Reassign(owner func(r *Request) int) {
	for _, r := range c.alone {
		if r.Shard >= 0 {
			r.Owner = owner(r)
		}
	}
	for k := range c.classes {
		cl := &c.classes[k]
		cl.each(func(r *Request) {
			if r.Shard < 0 {
				return
			}
			o := owner(r)
			if o == r.Owner {
				return
			}
			r.list.remove(r)
			r.Owner = o
			cl.lists(o).of(r).insert(r)
		})
	}
}

// Cancel takes a waiting request out and reports whether it was waiting.
func (c *Core) Cancel(r *Request) bool {
	if r.state != stateQueued {
		return false
	}
	c.dequeue(r)
	r.state = stateEnded
	return true
}

// Withdraw refuses all waiting requests; used when the holder gives its group up.
func (c *Core) Withdraw() {
	c.eachQueued(func(r *Request) { c.refuse(r, ReasonWithdrawn) })
}

// Tick refuses waiting requests whose deadline passed and counts running
// requests as long once they have shown it.
func (c *Core) Tick(now time.Time) {
	c.eachQueued(func(r *Request) {
		if !now.Before(r.Deadline) {
			c.refuse(r, ReasonExpired)
		}
	})
	for r := range c.running {
		if !r.long && c.lengths.overdue(now.Sub(r.started)) {
			r.long = true
			c.targets[r.target].long++
		}
	}
}

// eachQueued calls f for every waiting request; f may remove the request.
func (c *Core) eachQueued(f func(*Request)) {
	for _, r := range append([]*Request(nil), c.alone...) {
		f(r)
	}
	for k := range c.classes {
		c.classes[k].each(f)
	}
}

// Queued returns the number of waiting requests.
func (c *Core) Queued() int { return c.queued }

// Running returns the number of running requests.
func (c *Core) Running() int { return len(c.running) }

// RunningWhere returns how many running requests f holds for.
func (c *Core) RunningWhere(f func(*Request) bool) int {
	n := 0
	for r := range c.running {
		if f(r) {
			n++
		}
	}
	return n
}
