package holder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/placement"
	"github.com/redwingtally/redwingtally/target"
)

const (
	// orderTimeoutRounds is the timeout of an order to a target, in rounds.
	orderTimeoutRounds = 3
	// maxMissedRounds is how many rounds a target can miss before its shards move.
	maxMissedRounds = 3
	// readmitDelay is how long a target that was unreachable must be reachable
	// before it gets shards again.
	readmitDelay = time.Second
	// acquireDelay is the minimum time between losing a group and acquiring it
	// again.
	acquireDelay = 300 * time.Millisecond
	// maxDelayDoublings is the maximum number of times that consecutive losses
	// double acquireDelay.
	maxDelayDoublings = 4
	// delayResetTime is the time without a loss after which the delay returns to
	// acquireDelay.
	delayResetTime = 10 * time.Second
)

// runRound runs one round of the ownership state machine: it submits orders to
// targets and at most one call of the store.
func (g *Group) runRound(ctx context.Context) {
	g.mu.Lock()
	now := time.Now()
	before := g.holder.Phase()
	g.updateAssignment(now)
	out := g.holder.Tick(now)
	g.afterEvent(now, before)
	targets := make([]*target.Client, 0, len(out.Orders))
	orders := make([]grant.Order, 0, len(out.Orders))
	for _, o := range out.Orders {
		if t, ok := g.targets[o.Server]; ok {
			targets = append(targets, t)
			orders = append(orders, o.Order)
		}
	}
	bootstrap := g.holder.Phase() == grant.PhaseFencing && g.needsVoters()
	g.mu.Unlock()
	for i, t := range targets {
		g.submit(func() { g.sendOrder(ctx, t, orders[i]) })
	}
	switch {
	case bootstrap, out.FenceStore:
		g.storeCall(func() { g.fenceStore(ctx, out.Term) })
	case out.ReadStore:
		g.storeCall(func() {
			g.readStore(ctx)
			g.recordState(ctx)
		})
	default:
		g.storeCall(func() { g.recordState(ctx) })
	}
}

// needsVoters reports whether the store has no voters for the group yet, or a
// voter has reported a newer set.
func (g *Group) needsVoters() bool {
	d := g.config.Service.Division
	return d != nil && d.ChecksGrants && (g.object.Epoch == 0 || g.holder.StaleEpoch())
}

// submit runs f in the worker pool, or drops it when the pool rejects it.
func (g *Group) submit(f func()) {
	if g.deps.Workers.Submit(f) != nil {
		g.log.Warn("Control call dropped: the worker pool rejected it.")
	}
}

// storeCall runs f in the worker pool unless another store call is in progress.
func (g *Group) storeCall(f func()) {
	if !g.storeBusy.CompareAndSwap(false, true) {
		return
	}
	g.submit(func() {
		defer g.storeBusy.Store(false)
		f()
	})
}

// sendOrder sends an order to a target and passes the acknowledgement to the
// holder. A failed order is not retried here; the next round sends another.
func (g *Group) sendOrder(ctx context.Context, t *target.Client, o grant.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeoutRounds*g.deps.Timing.Tick)
	defer cancel()
	ack, err := t.Order(ctx, o)
	if err != nil {
		return
	}
	g.applyEvent(func(now time.Time) { g.holder.ServerAck(now, t.Name, ack) })
}

// applyEvent applies an event to the holder and handles the resulting changes.
func (g *Group) applyEvent(event func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	before := g.holder.Phase()
	event(now)
	g.afterEvent(now, before)
}

// afterEvent handles changes of phase and ownership.
func (g *Group) afterEvent(now time.Time, before grant.Phase) {
	after := g.holder.Phase()
	if before != after {
		g.phaseChanged(now, after)
	}
	g.countUnownedTime(now)
	g.dispatcher.UpdateOwners(g.updateOwner)
	g.abortLostAttempts()
	g.dispatchReady(now)
}

// phaseChanged handles the transition of the holder to a new phase.
func (g *Group) phaseChanged(now time.Time, after grant.Phase) {
	switch after {
	case grant.PhaseHolding:
		g.log.Info("Acquired the group.", "term", g.holder.Term().String())
		g.ids.reset(now)
		g.wakeLoop()
		go g.deps.HoldingsChanged()
	case grant.PhaseIdle:
		g.log.Info("Gave up the group.", "term", g.holder.Term().String())
		g.delayAcquire(now)
		g.dispatcher.RejectAll()
		g.deliverRejections()
		go g.deps.HoldingsChanged()
	}
}

// delayAcquire delays the next attempt to acquire the group. Each consecutive loss
// doubles the delay, up to maxDelayDoublings, and random jitter is added.
func (g *Group) delayAcquire(now time.Time) {
	if now.Sub(g.acquireAfter) > delayResetTime {
		g.recentLosses = 0
	}
	pause := acquireDelay << min(g.recentLosses, maxDelayDoublings)
	g.recentLosses++
	g.acquireAfter = now.Add(pause + rand.N(pause))
}

// countUnownedTime updates the metrics of shards without an owner, and adds the
// time since the last call for each of them.
func (g *Group) countUnownedTime(now time.Time) {
	d := g.config.Service.Division
	if d == nil || g.holder.Phase() == grant.PhaseIdle {
		g.unownedCountedAt = now
		return
	}
	missing := 0
	for _, i := range g.activeShards() {
		if _, ok := g.holder.Owner(now, i); !ok {
			missing++
		}
	}
	if !g.unownedCountedAt.IsZero() {
		g.deps.Metrics.UnownedSeconds.WithLabelValues(g.name).Add(now.Sub(g.unownedCountedAt).Seconds() * float64(missing))
	}
	g.unownedCountedAt = now
	g.deps.Metrics.UnownedShards.WithLabelValues(g.name).Set(float64(missing))
	g.deps.Metrics.OwnershipChanges.WithLabelValues(g.name).Set(float64(g.holder.AssignmentCount()))
}

// ownerIndex returns the index of a shard's owner in the dispatcher, or
// dispatch.NoOwner while the shard moves or has no owner.
func (g *Group) ownerIndex(shard int) int {
	if g.movingShards[shard] {
		return dispatch.NoOwner
	}
	o, ok := g.holder.Owner(time.Now(), shard)
	if !ok {
		return dispatch.NoOwner
	}
	i, ok := g.dispatcher.TargetIndex(o.Server)
	if !ok {
		return dispatch.NoOwner
	}
	return i
}

// updateAssignment sets the assignment that the holder works towards. Where targets
// do not check grants it is the one recorded in the store.
func (g *Group) updateAssignment(now time.Time) {
	d := g.config.Service.Division
	if d == nil || g.holder.Phase() != grant.PhaseHolding {
		return
	}
	if !d.ChecksGrants {
		g.holder.SetAssignment(g.object.Owners)
		return
	}
	g.holder.SetAssignment(g.computeAssignment(now, d.Shards))
}

// computeAssignment assigns the shards to the available targets.
func (g *Group) computeAssignment(now time.Time, shards int) placement.Assignment {
	var available []string
	for _, t := range g.config.Service.Targets {
		if g.isAvailable(now, t.Name) && !t.Leaving {
			available = append(available, t.Name)
		}
	}
	next := placement.Assign(placement.Input{
		Shards:  shards,
		Targets: available,
		Current: g.currentOwners(shards),
		Pins:    g.config.Placement.Pins,
	})
	g.deps.Metrics.ShardImbalance.WithLabelValues(g.name).Set(placement.Imbalance(next, len(available)))
	return g.placeHotKeys(next, available)
}

// currentOwners returns the owners of the shards. A shard without an owner has
// its last recorded one.
func (g *Group) currentOwners(shards int) placement.Assignment {
	out := placement.Assignment(g.holder.Owners()[:shards])
	for i := range min(shards, len(g.object.Owners)) {
		if out[i] == "" {
			out[i] = g.object.Owners[i]
		}
	}
	return out
}

// isAvailable reports whether a target can own shards. A target that was
// unreachable must have been reachable for readmitDelay, so that a flapping target
// does not move shards.
func (g *Group) isAvailable(now time.Time, name string) bool {
	h, ok := g.health[name]
	if !ok || h.draining {
		return false
	}
	if d := g.config.Service.Division; d.ChecksGrants {
		reachable := g.holder.Reachable(now, name, maxMissedRounds*g.deps.Timing.Tick)
		return h.reachability.update(now, reachable, g.holder.FencedAt())
	}
	return h.reachability.update(now, !h.lost, g.holder.FencedAt())
}

// reachability records since when a target has been reachable.
type reachability struct {
	seen           bool
	reachableSince time.Time
	reachable      bool
}

// update records whether the target is reachable now, and reports whether it has
// been reachable for readmitDelay. termStart is when a majority accepted the
// holder's term.
func (r *reachability) update(now time.Time, reachable bool, termStart time.Time) bool {
	if reachable && !r.reachable {
		r.reachableSince = now
		// No delay for a target seen for the first time, or within
		// readmitDelay of the start of the term.
		if !r.seen || r.reachableSince.Sub(termStart) < readmitDelay {
			r.reachableSince = now.Add(-readmitDelay)
		}
		r.seen = true
	}
	r.reachable = reachable
	return reachable && now.Sub(r.reachableSince) >= readmitDelay
}

// fenceStore writes the term to the group's object and adopts the object's voters.
// It records the targets of the service as voters when there are none.
func (g *Group) fenceStore(ctx context.Context, term grant.Term) {
	sentAt := time.Now()
	var previousTerm grant.Term
	obj, err := updateObject(ctx, g.deps.Store, g.name, term, func(o *GroupObject) {
		previousTerm = o.Term
		o.Term = term
		o.Holder = g.deps.Self().Name
		if o.Epoch == 0 {
			g.mu.Lock()
			g.setInitialVoters(o)
			g.mu.Unlock()
		}
	})
	g.countStoreCall("fence", err)
	if err != nil && !eris.Is(err, ErrSuperseded) {
		return
	}
	g.applyEvent(func(now time.Time) {
		if previousTerm != 0 && previousTerm.Incarnation() != term.Incarnation() {
			g.hadPreviousHolder = true
		}
		g.adoptObject(now, obj)
		g.holder.StoreAck(now, grant.StoreAck{RequestedAt: sentAt, Term: obj.Term, Epoch: obj.Epoch})
	})
}

// setInitialVoters sets the first epoch and, where targets check grants, the
// targets of the service as voters.
func (g *Group) setInitialVoters(o *GroupObject) {
	o.Epoch = 1
	if d := g.config.Service.Division; d == nil || !d.ChecksGrants {
		return
	}
	for _, t := range g.config.Service.Targets {
		o.Voters = append(o.Voters, Voter{Name: t.Name, Address: t.Address})
	}
}

// readStore reads the group's object as evidence that no higher term exists.
func (g *Group) readStore(ctx context.Context) {
	sentAt := time.Now()
	obj, _, err := readObject(ctx, g.deps.Store, g.name)
	g.countStoreCall("read", err)
	if err != nil {
		return
	}
	g.applyEvent(func(now time.Time) {
		g.adoptObject(now, obj)
		g.holder.StoreAck(now, grant.StoreAck{RequestedAt: sentAt, Term: obj.Term, Epoch: obj.Epoch})
	})
}

// adoptObject replaces the group's object unless obj is older, and puts a newer
// set of voters in force.
func (g *Group) adoptObject(now time.Time, obj GroupObject) {
	if obj.Epoch < g.object.Epoch || obj.Term < g.object.Term {
		return
	}
	g.adoptHotKeys(obj)
	newer := obj.Epoch > g.object.Epoch
	g.object = obj
	if newer {
		g.updateTargets(g.config)
		g.holder.Reconfigure(now, obj.Epoch, obj.voterNames())
	}
}

// ObjectChanged processes the group's object as reported by a peer or a watch. If
// it has a higher term than the daemon's own, the daemon gives up the group.
func (g *Group) ObjectChanged(obj GroupObject) {
	g.applyEvent(func(now time.Time) {
		if g.holder.Phase() == grant.PhaseIdle {
			g.adoptObject(now, obj)
		}
		g.holder.ObserveTerm(obj.Term)
	})
}

// countStoreCall counts a call of the store by name and result.
func (g *Group) countStoreCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	g.deps.Metrics.StoreCalls.WithLabelValues(call, result).Inc()
}
