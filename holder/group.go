package holder

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/target"
)

// Dependencies are what groups need from the daemon.
type Dependencies struct {
	Log     *slog.Logger
	Store   *platform.Store
	Metrics *metric.Set
	// Workers runs control calls.
	Workers *ants.Pool
	// Self returns the daemon itself.
	Self func() host.Host
	// Alive returns the daemons that are believed alive.
	Alive func() []host.Host
	// Changed tells peers at once that a holding began or ended.
	Changed func()
	// Note asks a keeper to keep request ids.
	Note func(ctx context.Context, k Keeper, n once.Update) (bool, error)
	// Recall asks a keeper for request ids.
	Recall func(ctx context.Context, k Keeper, group string, term, noted grant.Term) (once.Snapshot, bool, error)
	// SetAside tells peers of a request that is set aside.
	SetAside func(group string, s dispatch.Quarantine)
	// HotWindow is the time over which the traffic of keys is counted.
	HotWindow time.Duration
	// Timing holds the periods of ownership.
	Timing grant.Timing
}

// A Group is the daemon's part in one service.
type Group struct {
	d    Dependencies
	name string
	log  *slog.Logger

	mu         sync.Mutex
	bundle     *catalogue.Bundle
	holder     *grant.Holder
	core       *dispatch.Dispatcher
	targets    map[string]*target.Target
	health     map[string]*healthState
	object     GroupObject
	leaving    bool
	unserved   time.Time
	seekAt     time.Time
	losses     int
	expiring   bool
	recordedAt time.Time
	moving     map[int]bool
	watches    map[*attemptWatch]struct{}

	unsettled unsettled
	// tookOver says that another daemon or life held the group before.
	tookOver bool

	ids    idKeeper
	hot    hotKeys
	wake   chan struct{}
	work   chan struct{}
	cancel context.CancelFunc
	ended  chan struct{}

	storeBusy atomic.Bool
	inFlight  atomic.Int64
}

func newGroup(d Dependencies, b *catalogue.Bundle) *Group {
	g := &Group{
		d:       d,
		name:    b.Name,
		log:     d.Log.With("service", b.Name),
		targets: map[string]*target.Target{},
		health:  map[string]*healthState{},
		watches: map[*attemptWatch]struct{}{},
		wake:    make(chan struct{}, 1),
		work:    make(chan struct{}, 1),
		ended:   make(chan struct{}),
	}
	g.ids.init()
	g.hot.init()
	g.apply(b)
	return g
}

// start runs the group's rounds until stop.
func (g *Group) start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go g.loop(ctx)
}

func (g *Group) stop() {
	g.cancel()
	<-g.ended
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Stop()
	g.core.RefuseAll()
	g.deliverRefused()
	for _, t := range g.targets {
		t.Close()
	}
}

func (g *Group) loop(ctx context.Context) {
	defer close(g.ended)
	rounds := time.NewTicker(g.d.Timing.Tick)
	defer rounds.Stop()
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			if !g.expire() {
				expiry.Stop()
			}
			continue
		case <-g.work:
			expiry.Reset(expiryInterval)
			continue
		case <-rounds.C:
		case <-g.wake:
			rounds.Reset(g.d.Timing.Tick)
		}
		if g.idle() {
			rounds.Stop()
			continue
		}
		g.round(ctx)
		g.checkHealth(ctx)
		g.ids.maintain(ctx, g)
	}
}

// idle reports whether the group is neither sought nor held nor used here; then
// it costs nothing until it is poked.
func (g *Group) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Phase() == grant.PhaseIdle && g.inFlight.Load() == 0
}

// expiryInterval is how often waiting requests are checked against their deadlines.
const expiryInterval = 10 * time.Millisecond

// expire refuses waiting requests whose deadlines passed. It returns false when
// there is nothing to look after.
func (g *Group) expire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.core.Queued() == 0 && g.core.Running() == 0 {
		g.expiring = false
		return false
	}
	g.core.Tick(now)
	g.pump(now)
	return true
}

// expireLater has waiting requests checked from now on. The caller holds the lock.
func (g *Group) expireLater() {
	if g.expiring {
		return
	}
	g.expiring = true
	select {
	case g.work <- struct{}{}:
	default:
	}
}

// poke starts a round without waiting for the next tick.
func (g *Group) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// apply puts records in force.
func (g *Group) apply(b *catalogue.Bundle) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.bundle
	g.bundle = b
	g.applyTargets(b)
	if g.holder == nil || old == nil || !sameDivision(old, b) {
		g.newHolder(b)
	}
	if g.core == nil {
		g.core = dispatch.New(coreConfig(b))
	} else if old.Version != b.Version {
		g.core.Reconfigure(coreConfig(b), g.remap)
	}
	for _, t := range b.Service.Targets {
		g.core.SetTarget(dispatch.TargetSpec{Name: t.Name, Slots: b.Service.SlotsPerTarget, Draining: t.Leaving})
	}
	g.pump(time.Now())
}

func sameDivision(a, b *catalogue.Bundle) bool {
	x, y := a.Service.Division, b.Service.Division
	if x == nil || y == nil {
		return x == y
	}
	return *shape(a) == *shape(b)
}

// shape is what a holder's tables depend on.
func shape(b *catalogue.Bundle) *groupShape {
	d := b.Service.Division
	return &groupShape{shards: d.Shards, checks: d.ChecksGrants, hot: b.Placement.HotKeys}
}

type groupShape struct {
	shards, hot int
	checks      bool
}

// newHolder starts over with an idle holder; a changed division leaves old leases to lapse.
func (g *Group) newHolder(b *catalogue.Bundle) {
	cfg := grant.Config{Group: b.Name, Timing: g.d.Timing, Incarnation: g.d.Self().Incarnation}
	if d := b.Service.Division; d != nil {
		cfg.Shards = d.Shards + g.hotLimit()
		cfg.ChecksGrants = d.ChecksGrants
	}
	seen := grant.Term(0)
	if g.holder != nil {
		seen = g.holder.Term()
		g.holder.Stop()
	}
	cfg.Epoch = g.object.Epoch
	cfg.Servers = g.object.voterNames()
	g.holder = grant.New(cfg)
	g.holder.ObserveTerm(seen)
}

func (o GroupObject) voterNames() []string {
	names := make([]string, 0, len(o.Voters))
	for _, v := range o.Voters {
		names = append(names, v.Name)
	}
	return names
}

func (g *Group) applyTargets(b *catalogue.Bundle) {
	keep := map[string]bool{}
	for _, t := range b.Service.Targets {
		keep[t.Name] = true
		have, ok := g.targets[t.Name]
		if ok && have.Address == t.Address {
			continue
		}
		if ok {
			have.Close()
		}
		g.targets[t.Name] = target.New(t.Name, t.Address, b.Service.ConnectionsPerTarget)
		g.health[t.Name] = &healthState{}
	}
	for n := range g.targets {
		if keep[n] {
			continue
		}
		if g.core != nil {
			g.core.RemoveTarget(n)
		}
		if !slices.Contains(g.object.voterNames(), n) {
			g.targets[n].Close()
			delete(g.targets, n)
			delete(g.health, n)
		}
	}
	for _, v := range g.object.Voters {
		if _, ok := g.targets[v.Name]; !ok {
			g.targets[v.Name] = target.New(v.Name, v.Address, 1)
			g.health[v.Name] = &healthState{}
		}
	}
}

func coreConfig(b *catalogue.Bundle) dispatch.Config {
	cfg := dispatch.Config{RetryRatio: b.Policy.Retry.Ratio, MaxAttempts: b.Policy.Retry.Attempts}
	for _, c := range b.Policy.Classes {
		cfg.Classes = append(cfg.Classes, dispatch.ClassConfig{Rank: c.Rank, QueueLimit: c.QueueLimit, Ageing: c.Ageing.Duration})
		cfg.QueueLimit += c.QueueLimit
	}
	for _, r := range b.Policy.Routes {
		cfg.LongRoutes = append(cfg.LongRoutes, r.Long)
	}
	return cfg
}

// remap gives a request the class and route of the present policy.
func (g *Group) remap(r *dispatch.Request) {
	j := r.Value.(*job)
	m, ok := g.bundle.Policy.Match(j.in.Method, j.in.Path)
	if !ok {
		m.Class, m.Route = 0, 0
	}
	r.Class, r.Route = m.Class, m.Route
}

// Holding returns the term under which the daemon holds the group, and whether it does.
func (g *Group) Holding() (grant.Term, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Term(), g.holder.Phase() == grant.PhaseHolding
}

// Healthy reports whether the daemon holds the group and can act on it.
func (g *Group) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Healthy(time.Now())
}

// Seek tries to take the group unless it is held or was lost a moment ago.
func (g *Group) Seek(now time.Time, seen grant.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving || g.holder.Phase() != grant.PhaseIdle || now.Before(g.seekAt) {
		return
	}
	g.holder.ObserveTerm(max(seen, g.object.Term))
	g.holder.Campaign(now)
	g.log.Info("Seeking the group.", "term", g.holder.Term().String())
	g.poke()
}

// SetAside refuses requests with a fingerprint that another daemon found to crash targets.
func (g *Group) SetAside(s dispatch.Quarantine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Quarantine(s)
}

// InFlight returns the number of requests that are in the group.
func (g *Group) InFlight() int64 { return g.inFlight.Load() }

// Leave gives the group up: it takes no new requests and refuses those that wait.
// It returns the term that it had and whether it held the group.
func (g *Group) Leave() (grant.Term, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	held := g.holder.Phase() == grant.PhaseHolding
	term := g.holder.Term()
	g.core.RefuseAll()
	g.deliverRefused()
	return term, held
}

// Release ends the group's rounds after its successor has begun; leases are the successor's to extend.
func (g *Group) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Stop()
}
