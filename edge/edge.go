// Package edge is the daemon on an entry host: it takes callers' requests and
// sends each to a target that may run it.
//
// Every host sends to targets itself, with what it knows: the configuration and
// the targets from the platform's store, the owners of keys and the load of the
// other hosts from the coordinator. A host that loses the store or the
// coordinator goes on with what it knew.
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

	"github.com/redwingtally/redwingtally/budget"
	"github.com/redwingtally/redwingtally/coordination"
	"github.com/redwingtally/redwingtally/directory"
	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/kernel"
	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
	"github.com/redwingtally/redwingtally/routing"
	"github.com/redwingtally/redwingtally/settings"
)

// Errors of the daemon.
var (
	// ErrListen reports that an address cannot be listened on.
	ErrListen = eris.New("edge: cannot listen")
	// ErrStart reports that the daemon did not start.
	ErrStart = eris.New("edge: daemon did not start")
)

const (
	// smallHost is the part of a core below which a host leaves the coordination to others, if one is
	// quick enough; answers to a hundred hosts take a tenth of a core.
	smallHost = 0.3
	// smallHostReluctance is how long it waits for them; a takeover takes a few milliseconds.
	smallHostReluctance = 300 * time.Millisecond
)

// workers bounds the work in the background: orders to targets and long bodies.
const workers = 512

// An Edge is the daemon. Its methods are safe for concurrent use.
type Edge struct {
	settings settings.Edge
	log      *slog.Logger
	metrics  *metric.Set
	kernel   *kernel.Kernel
	pool     *ants.Pool
	began    time.Time // when the process began
	store    atomic.Pointer[platform.Client]
	member   *coordination.Member
	table    atomic.Pointer[routing.Table]
	draining atomic.Bool
	active   atomic.Int64 // requests of callers in progress
	entry    *entry
	feed     *feed.Feed
	knows    chan struct{} // closed when configuration and targets are known
	learned  sync.Once     // closes knows

	mu       sync.Mutex
	services map[string]*service
	targets  *directory.Directory
	away     bool // the store does not answer
	usable   int  // targets that could be used at the last look
	crashes  *quarantine.Table
	crashed  []quarantine.Crash // since the last report
	answered []quarantine.Fingerprint
}

// New returns a daemon that has not started.
func New(s settings.Edge, log *slog.Logger) (*Edge, error) {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	e := &Edge{
		settings: s,
		log:      log.With("host", s.Host),
		metrics:  metric.New(),
		kernel:   kernel.New(log),
		pool:     pool,
		began:    time.Now(),
		services: map[string]*service{},
		targets:  directory.New(s.Drain),
		crashes:  quarantine.New(),
		feed:     feed.New(),
		knows:    make(chan struct{}),
	}
	e.store.Store(platform.NewClient(s.StoreAddress))
	e.member = coordination.New(coordination.Options{
		Host:          s.Host,
		Process:       s.Host + "/" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Address:       s.ControlAddress,
		Store:         e.store.Load,
		Orders:        platform.NewTargetClient(),
		Log:           e.log,
		Submit:        e.submit,
		CollectReport: e.collect,
		Targets:       e.knownTargets,
		StateUpdated:  e.updated,
		Random:        e.random,

		TakeoverDelay: reluctance(s.CPUShare),

		Feed:                e.feed,
		ObjectsChanged:      e.takeObjects,
		StoreUnavailable:    e.storeAway,
		SetStoreUnavailable: e.setStoreAway,
	})
	return e, e.register()
}

// register names the daemon's services to the kernel, in the order of their start.
func (e *Edge) register() error {
	services := []kernel.Service{
		{Name: "control", Priority: 0, Start: e.startControl},
		{Name: "configuration", Priority: 1, Start: e.background(e.watchConfiguration), Dump: e.dumpConfiguration},
		{Name: "directory", Priority: 1, Start: e.background(e.watchTargets), Dump: e.dumpTargets},
		{Name: "coordination", Priority: 2, Start: e.background(e.member.Run), Dump: func() any { return e.member.State() }},
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

func (e *Edge) background(f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		go f(ctx)
		return nil
	}
}

// Start starts the daemon's services; they end with ctx.
func (e *Edge) Start(ctx context.Context) error {
	if err := e.kernel.Start(ctx); err != nil {
		return eris.Wrapf(ErrStart, "%v", err)
	}
	e.log.Info("edge: Started.", "entry", e.settings.EntryAddress.String(), "store", e.settings.StoreAddress.String(),
		"data_centre", e.settings.DataCentre, "memory_mb", e.settings.MemoryMB)
	return nil
}

// reluctance returns how long a host waits for others before it coordinates.
func reluctance(share float64) time.Duration {
	if share < smallHost {
		return smallHostReluctance
	}
	return 0
}

func (e *Edge) random() float64 { return rand.Float64() }

// submit runs f in the background; when all workers are busy f gets a goroutine of its own.
func (e *Edge) submit(f func()) error {
	if e.pool.Submit(f) != nil {
		go f()
	}
	return nil
}

func (e *Edge) limits() budget.Limits {
	return budget.Limits{Ratio: e.settings.RetryRatio, Extra: e.settings.RetryExtra, Window: e.settings.RetryWindow}
}

func listen(address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: platform.KeepAlive}
	ln, err := config.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	return ln, nil
}

// service returns the sending side of a service.
func (e *Edge) service(name string) *service {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serviceLocked(name)
}

func (e *Edge) serviceLocked(name string) *service {
	s, ok := e.services[name]
	if !ok {
		s = newService(e, name)
		e.services[name] = s
	}
	return s
}

// refresh gives every service its targets and its share.
func (e *Edge) refresh() {
	table := e.table.Load()
	if table == nil {
		return
	}
	state := e.member.State()
	sh := shares{hosts: state.Hosts, rates: state.Rates}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, spec := range table.Configuration.Services {
		e.serviceLocked(spec.Name).update(now, spec, e.targets.ServiceTargets(now, spec.Name), sh)
	}
}

// updated takes a change of the coordinator's view.
func (e *Edge) updated() {
	e.noteKnowledge()
	state := e.member.State()
	now := time.Now()
	e.mu.Lock()
	for _, f := range state.Refused {
		if !e.crashes.Refused(now, f) {
			e.crashes.Refuse(now, f)
			e.log.Warn("edge: Request that crashes targets is refused from now on.", "fingerprint", uint64(f), "term", state.Version.Term)
		}
	}
	e.mu.Unlock()
	e.refresh()
}

// owner returns the target that holds a key, or false while none is known to.
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

// knownTargets returns the targets for the coordination.
func (e *Edge) knownTargets() coordination.Targets {
	out := coordination.Targets{ByService: map[string][]platform.Target{}}
	table := e.table.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	if table == nil || !e.feed.Loaded(platform.KindTargets) {
		return out
	}
	now := time.Now()
	out.Version = coordination.TargetsVersion{
		Directory: e.targets.Version(), Usable: e.usable, Configuration: table.Configuration.Version,
	}
	out.All = e.targets.AllTargets(now)
	for _, spec := range table.Configuration.Services {
		if spec.Keyed {
			out.ByService[spec.Name] = e.targets.ServiceTargets(now, spec.Name)
		}
	}
	return out
}

// collect returns the host's report for the coordinator.
func (e *Edge) collect() coordination.Report {
	now := time.Now()
	r := coordination.Report{Rates: map[string]float64{}, KeyedLoads: map[string]ownership.Report{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, s := range e.services {
		value, load, keyed := s.collect(now)
		r.Rates[name] = value
		if keyed {
			r.KeyedLoads[name] = load
		}
	}
	r.Crashed, r.Answered = e.crashed, e.answered
	e.crashed, e.answered = nil, nil
	return r
}

// State returns a dump of the daemon's state.
func (e *Edge) State() []kernel.State { return e.kernel.Dump() }

func (e *Edge) dumpConfiguration() any {
	if t := e.table.Load(); t != nil {
		return t.Configuration
	}
	return nil
}

func (e *Edge) dumpTargets() any {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	type serviceState struct {
		Service string `json:"service"`
		Waiting int    `json:"waiting"`
		Running int    `json:"running"`
		Targets any    `json:"targets"`
	}
	out := make([]serviceState, 0, len(e.services))
	for name, s := range e.services {
		s.mu.Lock()
		out = append(out, serviceState{Service: name, Waiting: s.core.Queued(), Running: s.core.Running(), Targets: s.core.TargetStates(now)})
		s.mu.Unlock()
	}
	return out
}

// Shutdown stops taking callers, lets requests in progress end, and returns when they have or ctx ended.
func (e *Edge) Shutdown(ctx context.Context) error {
	started := time.Now()
	e.draining.Store(true)
	e.log.Info("edge: Stopping.", "active", e.active.Load())
	e.member.Resign()
	err := e.entry.drain(ctx, e)
	e.log.Info("edge: Stopped.", "active", e.active.Load(), "took", time.Since(started))
	e.pool.Release()
	return err
}

var _ http.Handler = (*Edge)(nil)
