package dispatch

import (
	"sort"
	"time"
)

const (
	// agedInterval is the number of dispatches of which at most one may go to a
	// request that has exceeded its class's ageing time.
	agedInterval = 10
	// maxRetryTokens bounds the retry tokens that successful requests earn.
	maxRetryTokens = 20
	// maxNotStartedAttempts bounds the attempts of a request that no target started.
	maxNotStartedAttempts = 5
	// deadlineFactor is the number of expected running times that must fit
	// before a request's deadline.
	deadlineFactor = 2
	// waitMarginDivisor sets the safety margin on the estimated wait, as wait/8.
	waitMarginDivisor = 8
)

// A ClassConfig describes a priority class of a Dispatcher.
type ClassConfig struct {
	// Rank orders the classes; lower ranks are dispatched first.
	Rank int
	// QueueLimit bounds the waiting requests of the class.
	QueueLimit int
	// Ageing is the waiting time after which a request may overtake better ranks.
	Ageing time.Duration
}

// A Config holds the settings of a Dispatcher.
type Config struct {
	Classes []ClassConfig
	// LongRoutes reports, by route index, whether the route is configured as long-running.
	LongRoutes []bool
	// QueueLimit bounds the waiting requests of all classes together; 0 means no bound.
	QueueLimit int
	// RetryRatio is the number of retry tokens earned by each successful request.
	RetryRatio float64
	// MaxAttempts bounds the attempts of a request that may have run or that a
	// target rejected for overload.
	MaxAttempts int
}

// A Dispatcher queues requests and assigns them to targets.
type Dispatcher struct {
	cfg      Config
	classes  []class
	order    []int // class indexes sorted by rank
	targets  []target
	indexes  map[string]int // target indexes by name
	runTimes *runTimes
	suspects *suspects
	running  map[*Request]struct{}
	// refusals holds the refusals that TakeRefused has not returned yet.
	refusals []Refusal
	queued   int
	// sinceAged counts dispatches by rank since the last aged request, while
	// aged requests wait.
	sinceAged   int
	retryTokens float64
	// isolated holds the waiting suspect requests.
	isolated []*Request
}

// New returns a Dispatcher without targets.
func New(cfg Config) *Dispatcher {
	c := &Dispatcher{
		cfg:         cfg,
		indexes:     map[string]int{},
		runTimes:    newRunTimes(len(cfg.LongRoutes)),
		suspects:    newSuspects(),
		running:     map[*Request]struct{}{},
		retryTokens: maxRetryTokens,
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

// Reconfigure replaces classes, routes and limits. It calls remap for every
// queued and running request to set its class and route under the new policy.
// Waiting requests stay queued.
func (c *Dispatcher) Reconfigure(cfg Config, remap func(*Request)) {
	var waiting []*Request
	c.eachQueued(func(r *Request) {
		c.dequeue(r)
		waiting = append(waiting, r)
	})
	next := New(cfg)
	c.cfg, c.classes, c.order, c.runTimes = next.cfg, next.classes, next.order, next.runTimes
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

// SetTarget adds or updates a target and returns its index. An update keeps the
// target's learned state; a removed target that returns starts cold.
func (c *Dispatcher) SetTarget(spec TargetSpec) int {
	if i, ok := c.indexes[spec.Name]; ok {
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
	c.indexes[spec.Name] = i
	for k := range c.classes {
		c.classes[k].grow(len(c.targets))
	}
	return i
}

// RemoveTarget stops dispatch to a target. Requests that run there continue.
func (c *Dispatcher) RemoveTarget(name string) {
	if i, ok := c.indexes[name]; ok {
		c.targets[i].removed = true
	}
}

// MarkUnreachable records that a target is unreachable, as found by other means
// than a request, such as a health check.
func (c *Dispatcher) MarkUnreachable(now time.Time, name string) {
	if i, ok := c.indexes[name]; ok {
		c.targets[i].recordFailure(now)
	}
}

// MarkReachable ends the suspension of a target that responds again. The target
// starts cold.
func (c *Dispatcher) MarkReachable(name string) {
	if i, ok := c.indexes[name]; ok {
		c.targets[i].suspendedUntil = time.Time{}
	}
}

// TargetName returns the name of the target with index i.
func (c *Dispatcher) TargetName(i int) string { return c.targets[i].name }

// TargetIndex returns the index of the named target and whether it exists.
func (c *Dispatcher) TargetIndex(name string) (int, bool) {
	i, ok := c.indexes[name]
	return i, ok
}

// Add queues r for dispatch, or returns a Refusal if r cannot be accepted. A
// refused request has not run.
func (c *Dispatcher) Add(now time.Time, r *Request) *Refusal {
	r.arrived = now
	r.long = c.cfg.LongRoutes[r.Route] || c.runTimes.isLong(r.Route)
	r.expected = c.runTimes.expected(r.Route)
	if s, ok := c.suspects.lookup(now, r.Fingerprint); ok {
		if s.quarantined {
			return &Refusal{Request: r, Reason: ReasonQuarantined}
		}
		r.isolated = true
	}
	wait := c.estimateWait(now, r)
	if now.Add(wait + wait/waitMarginDivisor + deadlineFactor*r.expected).After(r.Deadline) {
		return &Refusal{Request: r, Reason: ReasonDeadlineUnreachable, RetryAfter: wait}
	}
	cl := &c.classes[r.Class]
	if cl.size >= cl.limit {
		return &Refusal{Request: r, Reason: ReasonQueueFull, RetryAfter: wait}
	}
	if c.cfg.QueueLimit > 0 && c.queued >= c.cfg.QueueLimit && !c.shedBelow(cl.rank) {
		return &Refusal{Request: r, Reason: ReasonShed, RetryAfter: wait}
	}
	c.enqueue(r)
	return nil
}

// estimateWait estimates how long r waits for a slot: the expected running time
// of the requests queued at its rank or better, divided by the usable slots.
func (c *Dispatcher) estimateWait(now time.Time, r *Request) time.Duration {
	slots := 0
	for i := range c.targets {
		t := &c.targets[i]
		if t.removed || t.draining || r.Owner >= 0 && r.Owner != i {
			continue
		}
		if t.hasFreeSlot(now) && c.queued == 0 {
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
			work += cl.queues(r.Owner).work()
		} else {
			work += cl.anyTarget.work()
		}
	}
	return work / time.Duration(slots)
}

// shedBelow refuses the youngest waiting request of the lowest-priority class
// that ranks below rank, and reports whether there was one.
func (c *Dispatcher) shedBelow(rank int) bool {
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

// enqueue adds r to the queue of its class.
func (c *Dispatcher) enqueue(r *Request) {
	cl := &c.classes[r.Class]
	r.state = stateQueued
	if r.isolated {
		c.enqueueIsolated(r)
	} else {
		cl.queues(r.Owner).listFor(r).insert(r)
	}
	cl.size++
	c.queued++
}

// dequeue removes r from the queue of its class.
func (c *Dispatcher) dequeue(r *Request) {
	if r.isolated {
		c.dequeueIsolated(r)
	} else {
		r.list.remove(r)
	}
	c.classes[r.Class].size--
	c.queued--
}

// refuse removes a waiting request from its queue and records the refusal.
func (c *Dispatcher) refuse(r *Request, reason Reason) {
	c.dequeue(r)
	r.state = stateEnded
	c.refusals = append(c.refusals, Refusal{Request: r, Reason: reason})
}

// TakeRefused returns and clears the requests that were refused while queued.
func (c *Dispatcher) TakeRefused() []Refusal {
	out := c.refusals
	c.refusals = nil
	return out
}

// TakeQuarantined returns the fingerprints that were quarantined since the last call.
func (c *Dispatcher) TakeQuarantined() []Quarantine {
	out := c.suspects.unreported
	c.suspects.unreported = nil
	return out
}

// Quarantine refuses requests with the fingerprint s.Fingerprint until s.Until. It
// applies quarantines that peers report.
func (c *Dispatcher) Quarantine(s Quarantine) {
	c.suspects.entries[s.Fingerprint] = suspect{quarantined: true, until: s.Until}
}

// UpdateOwners updates the owner of every waiting request of a sharded service.
// owner returns the index of a target or NoOwner; it may change the request's shard.
func (c *Dispatcher) UpdateOwners(owner func(r *Request) int) {
	for _, r := range c.isolated {
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
			cl.queues(o).listFor(r).insert(r)
		})
	}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (c *Dispatcher) Cancel(r *Request) bool {
	if r.state != stateQueued {
		return false
	}
	c.dequeue(r)
	r.state = stateEnded
	return true
}

// RefuseAll refuses all waiting requests. It is called when the holder gives up
// its group.
func (c *Dispatcher) RefuseAll() {
	c.eachQueued(func(r *Request) { c.refuse(r, ReasonWithdrawn) })
}

// Tick refuses waiting requests whose deadline has passed and marks running
// requests as long once they exceed longFactor times the typical running time.
func (c *Dispatcher) Tick(now time.Time) {
	c.eachQueued(func(r *Request) {
		if !now.Before(r.Deadline) {
			c.refuse(r, ReasonDeadlinePassed)
		}
	})
	for r := range c.running {
		if !r.long && c.runTimes.overdue(now.Sub(r.started)) {
			r.long = true
			c.targets[r.target].long++
		}
	}
}

// eachQueued calls f for every waiting request; f may remove the request.
func (c *Dispatcher) eachQueued(f func(*Request)) {
	for _, r := range append([]*Request(nil), c.isolated...) {
		f(r)
	}
	for k := range c.classes {
		c.classes[k].each(f)
	}
}

// Queued returns the number of waiting requests.
func (c *Dispatcher) Queued() int { return c.queued }

// Running returns the number of running requests.
func (c *Dispatcher) Running() int { return len(c.running) }

// CountRunning returns the number of running requests for which f returns true.
func (c *Dispatcher) CountRunning(f func(*Request) bool) int {
	n := 0
	for r := range c.running {
		if f(r) {
			n++
		}
	}
	return n
}
