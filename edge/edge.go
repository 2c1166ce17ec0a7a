// Package edge implements the daemon on an entry host. It accepts callers'
// requests and sends each to a target that may run it.
//
// Every host selects targets itself. It receives the configuration and the
// targets from the platform's store, and the owners of keys and the load of the
// other hosts from the coordinator. A host that cannot reach the store or the
// coordinator continues with the last state that it received.
//
// # Usage
//
//	e, err := edge.New(settings, log)
//	err = e.Start(ctx)
//	...
//	err = e.Shutdown(ctx)
package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/coordination"
	"github.com/redwingtally/redwingtally/directory"
	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/kernel"
	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
	"github.com/redwingtally/redwingtally/ratelimit"
	"github.com/redwingtally/redwingtally/reachability"
	"github.com/redwingtally/redwingtally/routing"
	"github.com/redwingtally/redwingtally/settings"
)

// Errors of the daemon.
var (
	// ErrListen reports that the daemon cannot listen on a configured address. Edge.Start returns ErrStart with its
	// message.
	ErrListen = eris.New("edge: cannot listen")
	// ErrStart is returned by New and Edge.Start when a part of the daemon fails to start.
	ErrStart = eris.New("edge: daemon did not start")
)

const (
	// smallHostCPUShare is the share of a CPU core below which a host is a low-priority candidate for coordinator.
	// Serving the coordination calls of a hundred hosts takes 0.1 core.
	smallHostCPUShare = 0.3
	// smallHostTakeoverDelay is how long such a host waits for other candidates. A takeover takes a few milliseconds.
	smallHostTakeoverDelay = 300 * time.Millisecond
)

// backgroundWorkers is the size of the goroutine pool for background work, such
// as sending grants, releases and long bodies.
const backgroundWorkers = 512

// An Edge is the daemon of one entry host. Its methods are safe for concurrent use.
type Edge struct {
	settings        settings.Edge
	log             *slog.Logger
	metrics         *metric.Set
	kernel          *kernel.Registry
	pool            *ants.Pool
	processStart    time.Time // retry budgets withhold their fixed part for one window after it
	store           atomic.Pointer[platform.Client]
	member          *coordination.Member
	table           atomic.Pointer[routing.Table]
	draining        atomic.Bool
	stop            stopSchedule // valid while draining
	activeRequests  atomic.Int64 // callers' requests in progress
	entryServer     *connServer
	feed            *feed.Feed
	rateLimits      *ratelimit.Table
	notices         *directory.Notices   // of targets that leave
	dialTarget      platform.DialFunc    // opens the connections to targets
	permitsWanted   chan struct{}        // a service lacks permits for limited targets
	path            *pathToTargets       // whether this host is cut off from the targets
	ownPermits      *ratelimit.Allocator // used by getPermits while no coordinator gives out permits
	relays          *relayPool           // other hosts that take requests while this one is cut off
	requests        *requestBudget       // memory of callers' requests
	responses       *responseBudget      // memory of responses
	relayServer     *relayServer         // nil if this host takes no requests from other hosts
	initialised     chan struct{}        // closed once the configuration and the targets have been received
	initialisedOnce sync.Once            // guards the closing of initialised

	mu               sync.Mutex
	services         map[string]*service
	targets          *directory.Directory
	storeEra         uint64 // newest era of the store's objects
	storeUnreachable bool   // calls of this host to the store fail
	evacuations      evacuations
	paces            paceWatch
	pacedShown       bool // the metric of paced targets may be above 0
	passedTargets    targetsState
	usableTargets    int // number of usable targets at the last check of expireTargets
	crashTable       *quarantine.Table
	restarts         restarts
	pendingCrashes   []quarantine.Crash       // crashes since the last report
	pendingCleared   []quarantine.Fingerprint // suspected requests that targets responded to since the last report
}

// New returns a daemon with the given settings, which Start starts.
func New(s settings.Edge, log *slog.Logger) (*Edge, error) {
	pool, err := ants.NewPool(backgroundWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	e := &Edge{
		settings:      s,
		log:           log.With("host", s.Host),
		metrics:       metric.New(),
		kernel:        kernel.New(log),
		pool:          pool,
		processStart:  time.Now(),
		services:      map[string]*service{},
		targets:       directory.New(s.Drain),
		crashTable:    quarantine.New(),
		feed:          feed.New(),
		rateLimits:    ratelimit.NewTable(),
		notices:       directory.NewNotices(),
		dialTarget:    platform.Dial,
		permitsWanted: make(chan struct{}, 1),
		path:          newPathToTargets(),
		ownPermits:    ratelimit.NewAllocator(),
		initialised:   make(chan struct{}),
		stop:          stopSchedule{ending: make(chan struct{})},
	}
	plan := planMemory(s)
	e.requests = newRequestBudget(plan.requests, plan.largeRequests, e.log, e.metrics)
	e.responses = newResponseBudget(plan.responses, e.metrics)
	e.relays = newRelayPool(e)
	e.store.Store(e.newStoreClient(s.StoreAddress))
	e.member = coordination.New(coordination.Options{
		Host:          s.Host,
		Process:       s.Host + "/" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Address:       s.ControlAddress,
		Store:         e.store.Load,
		TargetClient:  platform.NewTargetClient(e.dial),
		Log:           e.log,
		Submit:        e.submit,
		CollectReport: e.loadReport,
		Targets:       e.coordinationTargets,
		StateUpdated:  e.applyView,
		OrderResult:   e.path.orderResult,
		Random:        e.random,

		TakeoverDelay: takeoverDelay(s.CPUShare),
		FirstStart:    s.FirstStart,

		Feed:                e.feed,
		ObjectsChanged:      e.applyObjects,
		FurtherKinds:        furtherKinds(s),
		RateLimits:          e.rateLimits,
		RateLimitsChanged:   e.applyRateLimits,
		Notices:             e.notices,
		NoticesAdded:        e.applyNotices,
		TargetLeaves:        func(n directory.Notice) { e.recordNotice(n, "order", "") },
		StoreUnreachable:    e.ownStoreUnreachable,
		SetStoreUnavailable: e.setStoreUnavailable,

		DataCentre:     s.DataCentre,
		RelayAddress:   s.RelayAddress,
		CutOff:         e.cutOff,
		AcceptsRelayed: e.acceptsRelayed,
	})
	e.metrics.RegisterGauge("coordination_state_age_seconds", "Time since a coordinator's reply last updated this host's state.",
		func() float64 { return e.member.StateAge().Seconds() })
	return e, e.registerServices()
}

// registerServices registers the daemon's parts with the kernel, in start order.
func (e *Edge) registerServices() error {
	services := []kernel.Service{
		{Name: "control", Priority: 0, Start: e.startControl},
		{Name: "configuration", Priority: 1, Start: e.background(e.watchConfiguration), Dump: e.dumpConfiguration},
		{Name: "directory", Priority: 1, Start: e.background(e.watchTargets), Dump: e.dumpTargets},
		{Name: "evacuation", Priority: 1, Start: e.background(e.watchEvacuations), Dump: e.dumpEvacuations},
		{Name: "coordination", Priority: 2, Start: e.background(e.member.Run), Dump: func() any { return e.member.State() }},
		{Name: "reachability", Priority: 2, Start: e.background(e.probeTargets), Dump: e.dumpReachability},
		{Name: "limits", Priority: 2, Start: e.background(e.getPermits), Dump: e.dumpRateLimits},
		{Name: "pace", Priority: 2, Start: func(context.Context) error { return nil }, Dump: e.dumpPaces},
		{Name: "relay", Priority: 3, Start: e.startRelay},
		{Name: "entry", Priority: 3, Start: e.startEntry},
		{Name: "readiness", Priority: 4, Start: e.startReadiness},
	}
	for _, s := range services {
		if err := e.kernel.Register(s); err != nil {
			return eris.Wrapf(ErrStart, "%v", err)
		}
	}
	return nil
}

// background returns a start function that runs f in a goroutine.
func (e *Edge) background(f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		go f(ctx)
		return nil
	}
}

// Start starts the daemon's parts. Their background work ends when ctx is
// cancelled.
func (e *Edge) Start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		return eris.Wrapf(ErrStart, "%v", err)
	}
	plan := planMemory(e.settings)
	if !plan.fits(e.settings) {
		e.log.Warn("edge: Callers may take more memory than the process has to spare; lower max_connections or body_memory_mb.",
			"callers_mb", plan.sum()>>20, "memory_mb", e.settings.MemoryMB)
	}
	e.log.Info("edge: Started.", "entry", e.settings.EntryAddress.String(), "store", e.settings.StoreAddress.String(),
		"data_centre", e.settings.DataCentre, "memory_mb", e.settings.MemoryMB, "callers_mb", plan.sum()>>20)
	return nil
}

// takeoverDelay returns how long a host with the given share of a CPU core waits
// for other candidates before it becomes the coordinator.
func takeoverDelay(share float64) time.Duration {
	if share < smallHostCPUShare {
		return smallHostTakeoverDelay
	}
	return 0
}

// dial opens a connection to a target.
func (e *Edge) dial(ctx context.Context, address netip.AddrPort, timeout time.Duration) (*net.TCPConn, error) {
	return e.dialTarget(ctx, address, timeout)
}

func (e *Edge) random() float64 { return rand.Float64() }

// submit runs f on the worker pool, or in a new goroutine when all workers are
// busy. It always returns nil.
func (e *Edge) submit(f func()) error {
	if e.pool.Submit(f) != nil {
		go f()
	}
	return nil
}

// listen opens a TCP listener with the platform's keep-alive settings. Its connections have a receive buffer of so many bytes in the
// kernel; 0 leaves the size to the kernel.
func listen(address netip.AddrPort, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: platform.KeepAlive}
	if receiveBuffer > 0 {
		config.Control = platform.ReceiveBuffer(receiveBuffer)
	}
	ln, err := config.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	return ln, nil
}

// service returns the service called name and creates it on first use.
func (e *Edge) service(name string) *service {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serviceLocked(name)
}

// serviceLocked is service for callers that hold e.mu.
func (e *Edge) serviceLocked(name string) *service {
	s, ok := e.services[name]
	if !ok {
		s = newService(e, name)
		e.services[name] = s
	}
	return s
}

// targetsState identifies the targets that were last passed to the services.
type targetsState struct {
	table       *routing.Table
	version     uint64 // of the directory
	usable      int    // number of usable targets
	evacuations uint64 // version of the evacuations
}

// updateServices passes to every configured service the load of all hosts, and its
// targets if they have changed. Every reply of a coordinator brings a load; few bring targets.
func (e *Edge) updateServices() {
	table := e.table.Load()
	if table == nil || !e.evacuationsLoaded() {
		return
	}
	state := e.member.State()
	load := hostLoad{hosts: state.Hosts, rates: state.Rates, movesHalted: state.MovesHalted}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	current := targetsState{table, e.targets.Version(), e.targets.UsableCount(now), e.evacuations.version()}
	changed := current != e.passedTargets
	e.passedTargets = current
	if changed {
		e.updateEvacuations(now, table)
	}
	count := 0
	for _, spec := range table.Configuration.Services {
		s := e.serviceLocked(spec.Name)
		if changed {
			targets := e.serviceTargets(now, spec.Name)
			count += len(targets)
			e.beginPaces(now, spec, targets)
			s.setTargets(now, spec, targets, load.hosts)
			s.setSingleRank(table.SingleRank(spec.Name))
		}
		s.setLoad(now, load)
	}
	if changed {
		e.path.update(false, func(t *reachability.Tracker) { t.SetTargets(count) })
	}
}

// applyView applies a changed coordination view. It adopts the fingerprints that
// the coordinator rejects and updates the services.
func (e *Edge) applyView() {
	e.signalInitialState()
	state := e.member.State()
	now := time.Now()
	e.mu.Lock()
	for _, f := range state.RejectedFingerprints {
		if !e.crashTable.IsRejected(now, f) {
			e.crashTable.Reject(now, f)
			e.log.Warn("edge: Request that crashes targets is rejected from now on.", "fingerprint", uint64(f), "term", state.Version.Term)
		}
	}
	e.mu.Unlock()
	e.relays.setRelays(state.Relays)
	e.updateServices()
}

// owner returns the owner of a key of a service, or false if the view lists none.
func (e *Edge) owner(service string, key uint16) (string, bool) {
	holdings := e.member.State().Holdings[service]
	low, high := 0, len(holdings)
	for low < high {
		if mid := (low + high) / 2; holdings[mid].Last < key {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low < len(holdings) && holdings[low].First <= key && holdings[low].Held {
		return holdings[low].Target, true
	}
	return "", false
}

// Shutdown stops accepting callers and waits until the requests in progress have
// ended or ctx ends. Meanwhile the host hands the coordination over if it coordinates.
func (e *Edge) Shutdown(ctx context.Context) error {
	started := time.Now()
	defer e.stop.begin(ctx, started).Stop()
	e.draining.Store(true)
	e.log.Info("edge: Stopping.", "active", e.activeRequests.Load())
	if e.relaying() {
		e.member.ReportNow() // other hosts stop passing requests on to this one
	}
	resigned := make(chan struct{})
	go func() {
		defer close(resigned)
		e.resign(ctx)
	}()
	relayed := make(chan struct{})
	go func() {
		defer close(relayed)
		e.drainRelay(ctx)
	}()
	err := e.drainEntry(ctx)
	<-resigned
	<-relayed
	e.relays.close()
	e.log.Info("edge: Stopped.", "active", e.activeRequests.Load(), "took", time.Since(started))
	e.pool.Release()
	return err
}

// resign hands the coordination over before the deadline of ctx.
func (e *Edge) resign(ctx context.Context) {
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-coordination.ResignTimeout))
		defer cancel()
	}
	e.member.Resign(ctx)
}

var _ http.Handler = (*Edge)(nil)
