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
	// waitMarginDivisor sets the part of the estimated wait by which the actual
	// wait may exceed it: one in waitMarginDivisor.
	waitMarginDivisor = 8
)

// A ClassConfig describes a priority class of a Dispatcher.
type ClassConfig struct {
	// Rank orders the classes; lower ranks are dispatched first.
	Rank int
	// QueueLimit bounds the queued requests of the class.
	QueueLimit int
	// Ageing is the time in the queue after which a request may overtake lower ranks.
	Ageing time.Duration
}

// A Config holds the settings of a Dispatcher.
type Config struct {
	Classes []ClassConfig
	// LongRoutes reports, by route index, whether the route is configured as long-running.
	LongRoutes []bool
	// QueueLimit bounds the queued requests of all classes together; 0 means no bound.
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
	// rejections holds the rejections that TakeRejected has not returned yet.
	rejections []Rejection
	queued     int
	// sinceAged counts the dispatches by rank since the last aged request was
	// dispatched, while aged requests are queued.
	sinceAged   int
	retryTokens float64
	// isolated holds the queued suspect requests.
	isolated []*Request
}

// New returns a Dispatcher without targets.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:         cfg,
		indexes:     map[string]int{},
		runTimes:    newRunTimes(len(cfg.LongRoutes)),
		suspects:    newSuspects(),
		running:     map[*Request]struct{}{},
		retryTokens: maxRetryTokens,
	}
	for i, cc := range cfg.Classes {
		d.classes = append(d.classes, class{rank: cc.Rank, limit: cc.QueueLimit, ageing: cc.Ageing})
		d.order = append(d.order, i)
	}
	sort.SliceStable(d.order, func(i, j int) bool {
		return d.classes[d.order[i]].rank < d.classes[d.order[j]].rank
	})
	return d
}

// Reconfigure replaces classes, routes and limits. It calls remap for every
// queued and running request to set its class and route under the new policy.
func (d *Dispatcher) Reconfigure(cfg Config, remap func(*Request)) {
	var queued []*Request
	d.eachQueued(func(r *Request) {
		d.dequeue(r)
		queued = append(queued, r)
	})
	next := New(cfg)
	d.cfg, d.classes, d.order, d.runTimes = next.cfg, next.classes, next.order, next.runTimes
	for k := range d.classes {
		d.classes[k].grow(len(d.targets))
	}
	for r := range d.running {
		remap(r)
	}
	for _, r := range queued {
		remap(r)
		r.long = d.cfg.LongRoutes[r.Route]
		r.expected = 0
		d.enqueue(r)
	}
}

// SetTarget adds or updates a target and returns its index. An update keeps the
// target's learned state; a removed target that returns starts cold.
func (d *Dispatcher) SetTarget(spec TargetSpec) int {
	if i, ok := d.indexes[spec.Name]; ok {
		t := &d.targets[i]
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
	d.targets = append(d.targets, newTarget(spec))
	i := len(d.targets) - 1
	d.indexes[spec.Name] = i
	for k := range d.classes {
		d.classes[k].grow(len(d.targets))
	}
	return i
}

// RemoveTarget stops dispatch to a target. Requests that run there continue.
func (d *Dispatcher) RemoveTarget(name string) {
	if i, ok := d.indexes[name]; ok {
		d.targets[i].removed = true
	}
}

// MarkUnreachable records that a target is unreachable, as found by other means
// than a request, such as a health check.
func (d *Dispatcher) MarkUnreachable(now time.Time, name string) {
	if i, ok := d.indexes[name]; ok {
		d.targets[i].recordFailure(now)
	}
}

// MarkReachable ends the suspension of a target that responds again. The target
// starts cold.
func (d *Dispatcher) MarkReachable(name string) {
	if i, ok := d.indexes[name]; ok {
		d.targets[i].suspendedUntil = time.Time{}
	}
}

// TargetName returns the name of the target with index i.
func (d *Dispatcher) TargetName(i int) string { return d.targets[i].name }

// TargetIndex returns the index of the named target and whether it exists.
func (d *Dispatcher) TargetIndex(name string) (int, bool) {
	i, ok := d.indexes[name]
	return i, ok
}

// Add queues r for dispatch, or returns the reason for rejecting it. A request
// that Add rejects has not run.
func (d *Dispatcher) Add(now time.Time, r *Request) *Rejection {
	r.arrived = now
	r.long = d.cfg.LongRoutes[r.Route] || d.runTimes.isLong(r.Route)
	r.expected = d.runTimes.expected(r.Route)
	if s, ok := d.suspects.lookup(now, r.Fingerprint); ok {
		if s.quarantined {
			return &Rejection{Request: r, Reason: ReasonQuarantined}
		}
		r.isolated = true
	}
	wait := d.estimateWait(now, r)
	if now.Add(wait + wait/waitMarginDivisor + deadlineFactor*r.expected).After(r.Deadline) {
		return &Rejection{Request: r, Reason: ReasonDeadlineUnreachable, RetryAfter: wait}
	}
	cl := &d.classes[r.Class]
	if cl.size >= cl.limit {
		return &Rejection{Request: r, Reason: ReasonQueueFull, RetryAfter: wait}
	}
	if d.cfg.QueueLimit > 0 && d.queued >= d.cfg.QueueLimit && !d.shedBelow(cl.rank) {
		return &Rejection{Request: r, Reason: ReasonShed, RetryAfter: wait}
	}
	d.enqueue(r)
	return nil
}

// estimateWait estimates how long r waits for a slot: the expected running time
// of the requests queued at its rank or lower ranks, divided by the usable slots.
func (d *Dispatcher) estimateWait(now time.Time, r *Request) time.Duration {
	slots := 0
	for i := range d.targets {
		t := &d.targets[i]
		if t.removed || t.draining || r.Owner >= 0 && r.Owner != i {
			continue
		}
		if t.hasFreeSlot(now) && d.queued == 0 {
			return 0
		}
		slots += t.limit
	}
	if slots == 0 {
		return 0
	}
	var work time.Duration
	rank := d.classes[r.Class].rank
	for _, k := range d.order {
		cl := &d.classes[k]
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

// shedBelow rejects the youngest queued request of the lowest-priority class whose
// rank is greater than rank, and reports whether there was one.
func (d *Dispatcher) shedBelow(rank int) bool {
	for i := len(d.order) - 1; i >= 0; i-- {
		cl := &d.classes[d.order[i]]
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
			d.reject(youngest, ReasonShed)
			return true
		}
	}
	return false
}

// enqueue adds r to the queue of its class.
func (d *Dispatcher) enqueue(r *Request) {
	cl := &d.classes[r.Class]
	r.state = stateQueued
	if r.isolated {
		d.enqueueIsolated(r)
	} else {
		cl.queues(r.Owner).listFor(r).insert(r)
	}
	cl.size++
	d.queued++
}

// dequeue removes r from the queue of its class.
func (d *Dispatcher) dequeue(r *Request) {
	if r.isolated {
		d.dequeueIsolated(r)
	} else {
		r.list.remove(r)
	}
	d.classes[r.Class].size--
	d.queued--
}

// reject removes a queued request from its queue and records the rejection.
func (d *Dispatcher) reject(r *Request, reason Reason) {
	d.dequeue(r)
	r.state = stateEnded
	d.rejections = append(d.rejections, Rejection{Request: r, Reason: reason})
}

// TakeRejected returns and clears the rejections of requests that were queued.
func (d *Dispatcher) TakeRejected() []Rejection {
	out := d.rejections
	d.rejections = nil
	return out
}

// TakeQuarantined returns the fingerprints that were quarantined since the last call.
func (d *Dispatcher) TakeQuarantined() []Quarantine {
	out := d.suspects.unreported
	d.suspects.unreported = nil
	return out
}

// Quarantine rejects requests with the fingerprint q.Fingerprint until q.Until. It
// applies quarantines that peers report.
func (d *Dispatcher) Quarantine(q Quarantine) {
	d.suspects.entries[q.Fingerprint] = suspect{quarantined: true, until: q.Until}
}

// UpdateOwners updates the owner of every queued request of a service divided by
// key. owner returns the index of a target or NoOwner; it may change the request's
// shard.
func (d *Dispatcher) UpdateOwners(owner func(r *Request) int) {
	for _, r := range d.isolated {
		if r.Shard >= 0 {
			r.Owner = owner(r)
		}
	}
	for k := range d.classes {
		cl := &d.classes[k]
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

// Cancel removes a request from its queue and reports whether it was queued.
func (d *Dispatcher) Cancel(r *Request) bool {
	if r.state != stateQueued {
		return false
	}
	d.dequeue(r)
	r.state = stateEnded
	return true
}

// RejectAll rejects all queued requests. It is called when the daemon gives up the
// group or shuts down.
func (d *Dispatcher) RejectAll() {
	d.eachQueued(func(r *Request) { d.reject(r, ReasonWithdrawn) })
}

// Tick rejects queued requests whose deadline has passed and marks running
// requests as long once they exceed longFactor times the typical running time.
func (d *Dispatcher) Tick(now time.Time) {
	d.eachQueued(func(r *Request) {
		if !now.Before(r.Deadline) {
			d.reject(r, ReasonDeadlinePassed)
		}
	})
	for r := range d.running {
		if !r.long && d.runTimes.overdue(now.Sub(r.started)) {
			r.long = true
			d.targets[r.target].long++
		}
	}
}

// eachQueued calls f for every queued request; f may remove the request.
func (d *Dispatcher) eachQueued(f func(*Request)) {
	for _, r := range append([]*Request(nil), d.isolated...) {
		f(r)
	}
	for k := range d.classes {
		d.classes[k].each(f)
	}
}

// Queued returns the number of queued requests.
func (d *Dispatcher) Queued() int { return d.queued }

// Running returns the number of running requests.
func (d *Dispatcher) Running() int { return len(d.running) }

// CountRunning returns the number of running requests for which f returns true.
func (d *Dispatcher) CountRunning(f func(*Request) bool) int {
	n := 0
	for r := range d.running {
		if f(r) {
			n++
		}
	}
	return n
}
