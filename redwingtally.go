// Package redwingtally implements a request router for services whose keys each
// have a single owner among the targets.
//
// A Daemon accepts callers' requests, forwards each to the daemon that holds the
// group of its service, and sends it from there to the target that owns its key.
// Operators write versioned records of the kinds service, placement and policy
// to the platform's object API. Daemons put them in force and report their
// status.
//
// # Usage
//
//	s, err := settings.Load("daemon.yaml")
//	d, err := redwingtally.New(s, redwingtally.WithLogger(log))
//	err = d.Start(ctx)
//	...
//	err = d.Shutdown(ctx) // completes requests in flight
package redwingtally

import (
	"context"
	"log/slog"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/cell"
	"github.com/redwingtally/redwingtally/entry"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/holder"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/internal/httpd"
	"github.com/redwingtally/redwingtally/kernel"
	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/peer"
	"github.com/redwingtally/redwingtally/placement"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/policy"
	"github.com/redwingtally/redwingtally/record"
	"github.com/redwingtally/redwingtally/service"
	"github.com/redwingtally/redwingtally/settings"
)

// Version is the version of the daemon and its tools.
const Version = "0.1.0"

// ErrStart reports that a daemon could not be created or started.
var ErrStart = eris.New("redwingtally: daemon did not start")

// Priorities of the daemon's services in the kernel. Services start in ascending
// order; services added with WithService can use values in between.
const (
	PriorityControl = 100
	PriorityHolder  = 200
	PriorityCell    = 300
	PriorityForward = 400
	PriorityEntry   = 500
)

// maxControlWorkers is the maximum number of concurrent background tasks: outgoing
// control calls, health checks and calls of the store.
const maxControlWorkers = 4096

// NewRegistry returns a registry with the record kinds service, placement and policy.
func NewRegistry() *record.Registry {
	reg, err := record.New(service.Kind(), placement.Kind(), policy.Kind())
	if err != nil {
		panic(err) // New fails only for duplicate kinds
	}
	return reg
}

// A Daemon is a redwingtally daemon.
type Daemon struct {
	settings   settings.Settings
	options    options
	log        *slog.Logger
	kernel     *kernel.Registry
	workers    *ants.Pool
	components components
}

// components holds the daemon's components.
type components struct {
	metrics   *metric.Set
	catalogue *catalogue.Catalogue
	store     *platform.Store
	clients   *peer.Clients
	replicas  *once.Replicas
	manager   *holder.Manager
	cell      *cell.Membership
	entry     *entry.Entry
	callers   *httpd.Server
	peers     *httpd.Server
	control   *controlServer
}

// New returns a Daemon for the settings, with its listeners open. It serves no
// requests before Start. On failure it returns ErrStart.
func New(s settings.Settings, opts ...Option) (*Daemon, error) {
	o := defaultOptions(s)
	for _, opt := range opts {
		opt(&o)
	}
	workers, err := ants.NewPool(maxControlWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	d := &Daemon{settings: s, options: o, log: o.log.With("host", s.Host), workers: workers}
	d.kernel = kernel.New(d.log)
	d.createComponents()
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, d.register()
}

// createComponents creates the components and connects them.
func (d *Daemon) createComponents() {
	p := &d.components
	p.metrics = metric.New()
	p.catalogue = catalogue.New(NewRegistry())
	p.store = d.options.store
	p.clients = peer.NewClients(d.countControl)
	p.replicas = once.NewReplicas()
	p.cell = cell.New(cell.Dependencies{
		Log:                  d.log,
		Self:                 d.selfHost(),
		Timing:               d.options.hostTiming,
		Seeds:                d.settings.Peers,
		Store:                p.store,
		Clients:              p.clients,
		Catalogue:            p.catalogue,
		Metrics:              p.metrics,
		Workers:              d.workers,
		Holdings:             func() []host.Holding { return p.manager.Holdings() },
		PreferredDataCentres: func(service string) []string { return p.manager.PreferredDataCentres(service) },
		GroupsChanged:        func(objects []platform.Object) { p.manager.ObjectsChanged(objects) },
		AcquireGroups:        d.acquireGroups,
		Quarantine:           d.applyQuarantine,
	})
	p.manager = holder.New(holder.Dependencies{
		Log:              d.log,
		Store:            p.store,
		Metrics:          p.metrics,
		Workers:          d.workers,
		Self:             p.cell.Self,
		AliveHosts:       p.cell.Alive,
		HoldingsChanged:  p.cell.Announce,
		ReplicateIDs:     d.replicateIDs,
		FetchIDs:         d.fetchIDs,
		ReportQuarantine: d.announceQuarantine,
		Timing:           d.options.grantTiming,
		HotKeyWindow:     d.options.hotKeyWindow,
	})
	p.entry = entry.New(entry.Dependencies{
		Log:             d.log,
		Catalogue:       p.catalogue,
		Metrics:         p.metrics,
		Self:            p.cell.Self,
		Holder:          p.cell.Holder,
		IsAlive:         p.cell.IsAlive,
		MarkUnreachable: p.cell.MarkUnreachable,
		Group:           p.manager.Group,
	})
	p.catalogue.Subscribe(func() {
		p.manager.Update(p.catalogue.Services())
		p.manager.ObjectsChanged(p.catalogue.ChangesSince(holder.ObjectKind, 0))
	})
}

// countControl counts the bytes of control calls in the metrics.
func (d *Daemon) countControl(received, sent int) {
	d.components.metrics.ControlBytes.WithLabelValues("in").Add(float64(received))
	d.components.metrics.ControlBytes.WithLabelValues("out").Add(float64(sent))
}

// selfHost returns the local daemon as a host.
func (d *Daemon) selfHost() host.Host {
	return host.Host{
		Name:           d.settings.Host,
		DataCentre:     d.settings.DataCentre,
		ControlAddress: d.settings.ControlAddress,
		ForwardAddress: d.settings.ForwardAddress,
		Incarnation:    d.options.incarnation,
	}
}

// listen opens the daemon's listeners and registers their handlers.
func (d *Daemon) listen() (err error) {
	p := &d.components
	if p.callers, err = httpd.New(d.settings.EntryAddress); err != nil {
		return eris.Wrapf(ErrStart, "entry_address: %v", err)
	}
	if p.peers, err = httpd.New(d.settings.ForwardAddress); err != nil {
		return eris.Wrapf(ErrStart, "forward_address: %v", err)
	}
	if p.control, err = newControlServer(d.settings.ControlAddress); err != nil {
		return eris.Wrapf(ErrStart, "control_address: %v", err)
	}
	p.callers.Handle(p.entry.ServeCaller)
	p.peers.Handle(p.entry.ServePeer)
	p.control.handle(d)
	return nil
}

// register registers the components and the additional services with the kernel.
func (d *Daemon) register() error {
	p := &d.components
	services := []kernel.Service{
		{Name: "catalogue", Priority: PriorityControl, Value: p.catalogue, Dump: func() any { return p.catalogue.Dump() }},
		{Name: "metric", Priority: PriorityControl, Value: p.metrics},
		{Name: "control", Priority: PriorityControl, Value: p.control, Start: p.control.start, Stop: p.control.stop},
		{Name: "holder", Priority: PriorityHolder, Value: p.manager, Stop: p.manager.Stop, Dump: func() any { return p.manager.Dump() }},
		{Name: "cell", Priority: PriorityCell, Value: p.cell, Start: p.cell.Start, Stop: p.cell.Stop, Dump: func() any { return p.cell.Dump() }},
		{Name: "forward", Priority: PriorityForward, Value: p.peers, Start: startFunc(p.peers), Stop: p.peers.Stop},
		{Name: "entry", Priority: PriorityEntry, Value: p.entry, Start: startFunc(p.callers)},
	}
	for _, s := range append(services, d.options.services...) {
		if err := d.kernel.Register(s); err != nil {
			return eris.Wrapf(ErrStart, "%v", err)
		}
	}
	return nil
}

// startFunc adapts s.Start to the signature of a kernel service.
func startFunc(s *httpd.Server) func(context.Context) error {
	return func(context.Context) error {
		s.Start()
		return nil
	}
}

// Kernel returns the registry of the daemon's services.
func (d *Daemon) Kernel() *kernel.Registry { return d.kernel }

// Start starts the daemon. On failure it returns ErrStart.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.kernel.Start(ctx); err != nil {
		return eris.Wrapf(ErrStart, "%v", err)
	}
	d.log.Info("Daemon started.", "part", "daemon", "version", Version, "entry", d.settings.EntryAddress.String())
	return nil
}

// acquireGroups acquires the groups without a holder that this daemon should hold.
func (d *Daemon) acquireGroups(now time.Time) {
	d.components.manager.AcquireGroups(now, func(name string, dataCentres []string) (grant.Term, bool) {
		return d.components.cell.ShouldAcquire(now, name, dataCentres)
	})
}
