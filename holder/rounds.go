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
	// orderTimeout bounds an order, in rounds.
	orderTimeout = 3
	// reachableRounds is how many rounds a server may miss before its shards move.
	reachableRounds = 3
	// returnDelay is how long a server must have answered before it gets shards again.
	returnDelay = time.Second
	// seekPause is the least time between losing a group and seeking it again.
	seekPause = 300 * time.Millisecond
	// maxSeekDoublings bounds how often a loss doubles that time.
	maxSeekDoublings = 4
	// seekReset is the time without a loss after which the delay is short again.
	seekReset = 10 * time.Second
)

// round runs one round of the ownership state machine.
func (g *Group) round(ctx context.Context) {
	g.mu.Lock()
	now := time.Now()
	before := g.holder.Phase()
	g.wanted(now)
	out := g.holder.Tick(now)
	g.afterStep(now, before)
	targets := make([]*target.Target, 0, len(out.Orders))
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
			g.record(ctx)
		})
	default:
		g.storeCall(func() { g.record(ctx) })
	}
}

// needsVoters reports whether the group's servers are not recorded yet, or a voter knows newer ones.
func (g *Group) needsVoters() bool {
	d := g.bundle.Service.Division
	return d != nil && d.ChecksGrants && (g.object.Epoch == 0 || g.holder.StaleEpoch())
}

func (g *Group) submit(f func()) {
	if g.d.Workers.Submit(f) != nil {
		g.log.Warn("Control call dropped.")
	}
}

// storeCall runs f unless another call of the store is under way.
func (g *Group) storeCall(f func()) {
	if !g.storeBusy.CompareAndSwap(false, true) {
		return
	}
	g.submit(func() {
		defer g.storeBusy.Store(false)
		f()
	})
}

func (g *Group) sendOrder(ctx context.Context, t *target.Target, o grant.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout*g.d.Timing.Tick)
	defer cancel()
	ack, err := t.Order(ctx, o)
	if err != nil {
		return
	}
	g.step(func(now time.Time) { g.holder.ServerAck(now, t.Name, ack) })
}

// step applies an event to the holder and acts on what it changed.
func (g *Group) step(event func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	before := g.holder.Phase()
	event(now)
	g.afterStep(now, before)
}

// afterStep acts on changes of phase and ownership.
func (g *Group) afterStep(now time.Time, before grant.Phase) {
	after := g.holder.Phase()
	if before != after {
		g.phaseChanged(now, after)
	}
	g.countUnserved(now)
	g.core.UpdateOwners(g.owner)
	g.takeBackLost()
	g.pump(now)
}

func (g *Group) phaseChanged(now time.Time, after grant.Phase) {
	switch after {
	case grant.PhaseHolding:
		g.log.Info("Holding the group.", "term", g.holder.Term().String())
		g.ids.taken(now)
		g.poke()
		go g.d.Changed()
	case grant.PhaseIdle:
		g.log.Info("Gave the group up.", "term", g.holder.Term().String())
		g.backOff(now)
		g.core.RefuseAll()
		g.deliverRefused()
		go g.d.Changed()
	}
}

// backOff delays the next attempt to take the group; each loss in a row doubles the delay.
func (g *Group) backOff(now time.Time) {
	if now.Sub(g.seekAt) > seekReset {
		g.losses = 0
	}
	pause := seekPause << min(g.losses, maxSeekDoublings)
	g.losses++
	g.seekAt = now.Add(pause + rand.N(pause))
}

// countUnserved sums the time that shards spend without an owner.
func (g *Group) countUnserved(now time.Time) {
	d := g.bundle.Service.Division
	if d == nil || g.holder.Phase() == grant.PhaseIdle {
		g.unserved = now
		return
	}
	missing := 0
	for _, i := range g.usedShards() {
		if _, ok := g.holder.Owner(now, i); !ok {
			missing++
		}
	}
	if !g.unserved.IsZero() {
		g.d.Metrics.UnservedSeconds.WithLabelValues(g.name).Add(now.Sub(g.unserved).Seconds() * float64(missing))
	}
	g.unserved = now
	g.d.Metrics.UnservedShards.WithLabelValues(g.name).Set(float64(missing))
	g.d.Metrics.OwnershipChanges.WithLabelValues(g.name).Set(float64(g.holder.AssignmentCount()))
}

// ownerIndex returns the index of a shard's owner in the dispatch core, or dispatch.NoOwner.
func (g *Group) ownerIndex(shard int) int {
	if g.moving[shard] {
		return dispatch.NoOwner
	}
	o, ok := g.holder.Owner(time.Now(), shard)
	if !ok {
		return dispatch.NoOwner
	}
	i, ok := g.core.TargetIndex(o.Server)
	if !ok {
		return dispatch.NoOwner
	}
	return i
}

// wanted sets the assignment that the holder works towards.
func (g *Group) wanted(now time.Time) {
	d := g.bundle.Service.Division
	if d == nil || g.holder.Phase() != grant.PhaseHolding {
		return
	}
	if !d.ChecksGrants {
		g.holder.SetAssignment(g.object.Owners)
		return
	}
	g.holder.SetAssignment(g.assignment(now, d.Shards))
}

// assignment returns where the shards shall go, given who can be reached.
func (g *Group) assignment(now time.Time, shards int) placement.Assignment {
	var available []string
	for _, t := range g.bundle.Service.Targets {
		if g.available(now, t.Name) && !t.Leaving {
			available = append(available, t.Name)
		}
	}
	next := placement.Assign(placement.Input{
		Shards:  shards,
		Targets: available,
		Current: g.current(shards),
		Pins:    g.bundle.Placement.Pins,
	})
	g.d.Metrics.ShardImbalance.WithLabelValues(g.name).Set(placement.Imbalance(next, len(available)))
	return g.placeHot(next, available)
}

// current returns the present owners; shards without one keep the recorded owner.
func (g *Group) current(shards int) placement.Assignment {
	out := placement.Assignment(g.holder.Owners()[:shards])
	for i := range min(shards, len(g.object.Owners)) {
		if out[i] == "" {
			out[i] = g.object.Owners[i]
		}
	}
	return out
}

// available reports whether a server may own shards. One that was away must
// have answered for a while, so that a flapping server moves nothing.
func (g *Group) available(now time.Time, name string) bool {
	h, ok := g.health[name]
	if !ok || h.draining {
		return false
	}
	if d := g.bundle.Service.Division; d.ChecksGrants {
		reachable := g.holder.Reachable(now, name, reachableRounds*g.d.Timing.Tick)
		return h.presence.update(now, reachable, g.holder.FencedAt())
	}
	return h.presence.update(now, !h.lost, g.holder.FencedAt())
}

// presence remembers since when a server has been reachable.
type presence struct {
	known bool
	since time.Time
	up    bool
}

func (p *presence) update(now time.Time, reachable bool, began time.Time) bool {
	if reachable && !p.up {
		p.since = now
		// A server that was never seen away is available at once.
		if !p.known || p.since.Sub(began) < returnDelay {
			p.since = now.Add(-returnDelay)
		}
		p.known = true
	}
	p.up = reachable
	return reachable && now.Sub(p.since) >= returnDelay
}

// fenceStore writes the term into the group's object and learns its voters.
func (g *Group) fenceStore(ctx context.Context, term grant.Term) {
	asked := time.Now()
	var before grant.Term
	obj, err := updateObject(ctx, g.d.Store, g.name, term, func(o *GroupObject) {
		before = o.Term
		o.Term = term
		o.Holder = g.d.Self().Name
		if o.Epoch == 0 {
			g.mu.Lock()
			g.firstVoters(o)
			g.mu.Unlock()
		}
	})
	g.countStore("fence", err)
	if err != nil && !eris.Is(err, ErrSuperseded) {
		return
	}
	g.step(func(now time.Time) {
		if before != 0 && before.Incarnation() != term.Incarnation() {
			g.tookOver = true
		}
		g.learn(now, obj)
		g.holder.StoreAck(now, grant.StoreAck{RequestedAt: asked, Term: obj.Term, Epoch: obj.Epoch})
	})
}

func (g *Group) firstVoters(o *GroupObject) {
	o.Epoch = 1
	if d := g.bundle.Service.Division; d == nil || !d.ChecksGrants {
		return
	}
	for _, t := range g.bundle.Service.Targets {
		o.Voters = append(o.Voters, Voter{Name: t.Name, Address: t.Address})
	}
}

func (g *Group) readStore(ctx context.Context) {
	asked := time.Now()
	obj, _, err := readObject(ctx, g.d.Store, g.name)
	g.countStore("read", err)
	if err != nil {
		return
	}
	g.step(func(now time.Time) {
		g.learn(now, obj)
		g.holder.StoreAck(now, grant.StoreAck{RequestedAt: asked, Term: obj.Term, Epoch: obj.Epoch})
	})
}

// learn takes the group's object; a newer set of voters is put in force.
func (g *Group) learn(now time.Time, obj GroupObject) {
	if obj.Epoch < g.object.Epoch || obj.Term < g.object.Term {
		return
	}
	g.adoptHot(obj)
	newer := obj.Epoch > g.object.Epoch
	g.object = obj
	if newer {
		g.applyTargets(g.bundle)
		g.holder.Reconfigure(now, obj.Epoch, obj.voterNames())
	}
}

// Learn takes the group's object as a peer or a watch told it.
func (g *Group) Learn(obj GroupObject) {
	g.step(func(now time.Time) {
		if g.holder.Phase() == grant.PhaseIdle {
			g.learn(now, obj)
		}
		g.holder.ObserveTerm(obj.Term)
	})
}

func (g *Group) countStore(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	g.d.Metrics.StoreCalls.WithLabelValues(call, result).Inc()
}
