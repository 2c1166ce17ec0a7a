package holder

import (
	"context"
	"log/slog"
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

// Dependencies are the services and callbacks that a daemon provides to its groups.
type Dependencies struct {
	Log     *slog.Logger
	Store   *platform.Store
	Metrics *metric.Set
	// Workers runs control calls, health checks and calls of the store.
	Workers *ants.Pool
	// Self returns the record of this daemon.
	Self func() host.Host
	// AliveHosts returns the daemons that this daemon considers alive.
	AliveHosts func() []host.Host
	// HoldingsChanged announces to peers, without delay, that this daemon acquired or
	// gave up a group.
	HoldingsChanged func()
	// ReplicateIDs asks a keeper to store request ids and returns whether it did.
	ReplicateIDs func(ctx context.Context, k Keeper, update once.Update) (bool, error)
	// FetchIDs asks a keeper for the request ids of a group that it stored under
	// storedTerm, and returns whether they are complete. From then on, the keeper
	// rejects request ids under terms below term.
	FetchIDs func(ctx context.Context, k Keeper, group string, term, storedTerm grant.Term) (once.Snapshot, bool, error)
	// ReportQuarantine reports to peers a request that is quarantined because it crashes
	// targets.
	ReportQuarantine func(group string, q dispatch.Quarantine)
	// HotKeyWindow is the period over which requests per key are counted.
	HotKeyWindow time.Duration
	// Timing holds the periods of the ownership protocol.
	Timing grant.Timing
}

// A Group is the state of one service's group in this daemon, whether the daemon
// holds the group or not. It is safe for concurrent use.
type Group struct {
	deps Dependencies
	name string
	log  *slog.Logger

	mu           sync.Mutex
	config       *catalogue.ServiceConfig
	holder       *grant.Holder
	dispatcher   *dispatch.Dispatcher
	targets      map[string]*target.Client
	health       map[string]*healthState
	object       GroupObject
	shuttingDown bool
	// unownedCountedAt is when the time of shards without an owner was last counted.
	unownedCountedAt time.Time
	// acquireAfter is the earliest time to acquire the group again.
	acquireAfter time.Time
	// recentLosses is the number of consecutive losses of the group. It determines
	// the delay before the next attempt to acquire it.
	recentLosses int
	// expiryScheduled reports whether the deadlines of queued requests are checked
	// periodically.
	expiryScheduled bool
	// recordedAt is the time of the last update of the group's object.
	recordedAt time.Time
	// movingShards are the shards whose requests are held back until they have moved.
	movingShards map[int]bool
	watches      map[*attemptWatch]struct{}

	unknownOutcomes unknownOutcomes
	// hadPreviousHolder reports whether another daemon, or another incarnation of this
	// one, held the group before.
	hadPreviousHolder bool

	ids idReplicator
	hot hotKeys
	// wake makes the loop run a round.
	wake chan struct{}
	// startExpiry makes the loop check deadlines periodically.
	startExpiry chan struct{}
	cancel      context.CancelFunc
	loopDone    chan struct{}

	// storeBusy reports whether a call of the store is in progress.
	storeBusy atomic.Bool
	inFlight  atomic.Int64
}

func newGroup(d Dependencies, config *catalogue.ServiceConfig) *Group {
	g := &Group{
		deps:        d,
		name:        config.Name,
		log:         d.Log.With("service", config.Name),
		targets:     map[string]*target.Client{},
		health:      map[string]*healthState{},
		watches:     map[*attemptWatch]struct{}{},
		wake:        make(chan struct{}, 1),
		startExpiry: make(chan struct{}, 1),
		loopDone:    make(chan struct{}),
	}
	g.ids.init()
	g.hot.init()
	g.applyConfig(config)
	return g
}

// start runs the group's loop until stop.
func (g *Group) start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go g.loop(ctx)
}

func (g *Group) stop() {
	g.cancel()
	<-g.loopDone
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Stop()
	g.dispatcher.RejectAll()
	g.deliverRejections()
	for _, t := range g.targets {
		t.Close()
	}
}

func (g *Group) loop(ctx context.Context) {
	defer close(g.loopDone)
	rounds := time.NewTicker(g.deps.Timing.Tick)
	defer rounds.Stop()
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			if !g.expireQueued() {
				expiry.Stop()
			}
			continue
		case <-g.startExpiry:
			expiry.Reset(expiryInterval)
			continue
		case <-rounds.C:
		case <-g.wake:
			rounds.Reset(g.deps.Timing.Tick)
		}
		if g.quiescent() {
			rounds.Stop()
			continue
		}
		g.runRound(ctx)
		g.startHealthChecks(ctx)
		g.ids.maintain(ctx, g)
	}
}

// quiescent reports whether the daemon neither holds nor is acquiring the group
// and has no requests in it. The loop then stops its ticker until wakeLoop.
func (g *Group) quiescent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Phase() == grant.PhaseIdle && g.inFlight.Load() == 0
}

// expiryInterval is how often the deadlines of queued requests are checked.
const expiryInterval = 10 * time.Millisecond

// expireQueued rejects queued requests whose deadlines have passed. It returns
// false when no request is queued or running.
func (g *Group) expireQueued() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.dispatcher.Queued() == 0 && g.dispatcher.Running() == 0 {
		g.expiryScheduled = false
		return false
	}
	g.dispatcher.Tick(now)
	g.dispatchReady(now)
	return true
}

// scheduleExpiry starts the periodic check of deadlines. The caller holds the lock.
func (g *Group) scheduleExpiry() {
	if g.expiryScheduled {
		return
	}
	g.expiryScheduled = true
	select {
	case g.startExpiry <- struct{}{}:
	default:
	}
}

// wakeLoop makes the loop run a round without waiting for the next tick.
func (g *Group) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// HeldTerm returns the holder's term and whether the daemon holds the group.
func (g *Group) HeldTerm() (grant.Term, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Term(), g.holder.Phase() == grant.PhaseHolding
}

// Healthy reports whether the daemon holds the group and has recent evidence of
// it.
func (g *Group) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Healthy(time.Now())
}

// Acquire starts to acquire the group under a term above seen. It does nothing if
// the daemon holds the group, is acquiring it or is shutting down, or if the delay
// after the last loss has not passed.
func (g *Group) Acquire(now time.Time, seen grant.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shuttingDown || g.holder.Phase() != grant.PhaseIdle || now.Before(g.acquireAfter) {
		return
	}
	g.holder.ObserveTerm(max(seen, g.object.Term))
	g.holder.Campaign(now)
	g.log.Info("Acquiring the group.", "term", g.holder.Term().String())
	g.wakeLoop()
}

// Quarantine rejects requests with a fingerprint that another daemon has
// quarantined because they crash targets.
func (g *Group) Quarantine(q dispatch.Quarantine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Quarantine(q)
}

// InFlight returns the number of requests in the group, queued or running.
func (g *Group) InFlight() int64 { return g.inFlight.Load() }

// BeginShutdown prepares the group for shutdown: the group accepts no new requests
// and rejects the queued ones. It returns the holder's term and whether the daemon
// held the group.
func (g *Group) BeginShutdown() (grant.Term, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shuttingDown = true
	held := g.holder.Phase() == grant.PhaseHolding
	term := g.holder.Term()
	g.dispatcher.RejectAll()
	g.deliverRejections()
	return term, held
}

// Release makes the holder idle after its successor has taken over. The
// successor extends the leases.
func (g *Group) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Stop()
}
