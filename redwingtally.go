// Package redwingtally is a router between callers and servers that each own
// their keys exclusively.
//
// A Daemon takes callers' requests, brings each to the daemon that holds its
// service, and sends it from there to the target that owns its key. Operators
// write versioned records of kinds service, placement and policy into the
// platform's object API; daemons put them in force and report status.
//
// # Usage
//
//	s, err := settings.Load("daemon.yaml")
//	d, err := redwingtally.New(s, redwingtally.WithLogger(log))
//	err = d.Start(ctx)
//	...
//	err = d.Shutdown(ctx) // finishes what is in flight
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

// Version is the version of the programs.
const Version = "0.1.0"

// ErrStart reports that a daemon could not be set up or started.
var ErrStart = eris.New("redwingtally: daemon did not start")

// Priorities of the daemon's services; extensions choose theirs between them.
const (
	PriorityControl = 100
	PriorityHolder  = 200
	PriorityCell    = 300
	PriorityForward = 400
	PriorityEntry   = 500
)

// controlWorkers bounds the control calls that run at a time.
const controlWorkers = 4096

// Records returns the registry of the kinds service, placement and policy.
func Records() *record.Registry {
	reg, err := record.New(service.Kind(), placement.Kind(), policy.Kind())
	if err != nil {
		panic(err) // the kinds above differ
	}
	return reg
}

// A Daemon is one redwingtally daemon.
type Daemon struct {
	settings settings.Settings
	options  options
	log      *slog.Logger
	kernel   *kernel.Registry
	workers  *ants.Pool
	parts    parts
}

// parts are the services that the daemon itself uses.
type parts struct {
	metrics   *metric.Set
	catalogue *catalogue.Catalogue
	store     *platform.Store
	clients   *peer.Clients
	notes     *once.Replicas
	manager   *holder.Manager
	cell      *cell.Cell
	entry     *entry.Entry
	callers   *httpd.Server
	peers     *httpd.Server
	control   *control
}

// New sets a daemon up from settings, or returns ErrStart. Nothing runs before Start.
func New(s settings.Settings, opts ...Option) (*Daemon, error) {
	o := defaultOptions(s)
	for _, opt := range opts {
		opt(&o)
	}
	workers, err := ants.NewPool(controlWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	d := &Daemon{settings: s, options: o, log: o.log.With("host", s.Host), workers: workers}
	d.kernel = kernel.New(d.log)
	d.makeParts()
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, d.register()
}

// makeParts makes the parts and joins them.
func (d *Daemon) makeParts() {
	p := &d.parts
	p.metrics = metric.New()
	p.catalogue = catalogue.New(Records())
	p.store = d.options.store
	p.clients = peer.NewClients(d.countControl)
	p.notes = once.NewReplicas()
	p.cell = cell.New(cell.Dependencies{
		Log:       d.log,
		Self:      d.self(),
		Timing:    d.options.hostTiming,
		Seeds:     d.settings.Peers,
		Store:     p.store,
		Clients:   p.clients,
		Catalogue: p.catalogue,
		Metrics:   p.metrics,
		Workers:   d.workers,
		Holdings:  func() []host.Holding { return p.manager.Holdings() },
		Preferred: func(service string) []string { return p.manager.PreferredDataCentres(service) },
		Learn:     func(objects []platform.Object) { p.manager.ObjectsChanged(objects) },
		Seek:      d.seek,
		SetAside:  d.takeSetAside,
	})
	p.manager = holder.New(holder.Dependencies{
		Log:              d.log,
		Store:            p.store,
		Metrics:          p.metrics,
		Workers:          d.workers,
		Self:             p.cell.Self,
		AliveHosts:       p.cell.Alive,
		HoldingsChanged:  p.cell.Announce,
		RecordIDs:        d.note,
		FetchIDs:         d.recall,
		ReportQuarantine: d.tellSetAside,
		Timing:           d.options.grantTiming,
		HotKeyWindow:     d.options.hotWindow,
	})
	p.entry = entry.New(entry.Dependencies{
		Log:       d.log,
		Catalogue: p.catalogue,
		Metrics:   p.metrics,
		Self:      p.cell.Self,
		Holder:    p.cell.Holder,
		Alive:     p.cell.IsAlive,
		Lost:      p.cell.Lost,
		Group:     p.manager.Group,
	})
	p.catalogue.Subscribe(func() {
		p.manager.Update(p.catalogue.Services())
		p.manager.ObjectsChanged(p.catalogue.Since(holder.ObjectKind, 0))
	})
}

// countControl counts bytes of control calls.
func (d *Daemon) countControl(received, sent int) {
	d.parts.metrics.ControlBytes.WithLabelValues("in").Add(float64(received))
	d.parts.metrics.ControlBytes.WithLabelValues("out").Add(float64(sent))
}

func (d *Daemon) self() host.Host {
	return host.Host{
		Name:        d.settings.Host,
		DataCentre:  d.settings.DataCentre,
		Control:     d.settings.ControlAddress,
		Forward:     d.settings.ForwardAddress,
		Incarnation: d.options.incarnation,
	}
}

// listen opens the daemon's addresses.
func (d *Daemon) listen() (err error) {
	p := &d.parts
	if p.callers, err = httpd.New(d.settings.EntryAddress); err != nil {
		return eris.Wrapf(ErrStart, "entry_address: %v", err)
	}
	if p.peers, err = httpd.New(d.settings.ForwardAddress); err != nil {
		return eris.Wrapf(ErrStart, "forward_address: %v", err)
	}
	if p.control, err = newControl(d.settings.ControlAddress); err != nil {
		return eris.Wrapf(ErrStart, "control_address: %v", err)
	}
	p.callers.Handle(p.entry.ServeCaller)
	p.peers.Handle(p.entry.ServePeer)
	p.control.handle(d)
	return nil
}

// register enters the parts into the kernel.
func (d *Daemon) register() error {
	p := &d.parts
	services := []kernel.Service{
		{Name: "catalogue", Priority: PriorityControl, Value: p.catalogue, Dump: func() any { return p.catalogue.Dump() }},
		{Name: "metric", Priority: PriorityControl, Value: p.metrics},
		{Name: "control", Priority: PriorityControl, Value: p.control, Start: p.control.start, Stop: p.control.stop},
		{Name: "holder", Priority: PriorityHolder, Value: p.manager, Stop: p.manager.Stop, Dump: func() any { return p.manager.Dump() }},
		{Name: "cell", Priority: PriorityCell, Value: p.cell, Start: p.cell.Start, Stop: p.cell.Stop, Dump: func() any { return p.cell.Dump() }},
		{Name: "forward", Priority: PriorityForward, Value: p.peers, Start: starter(p.peers), Stop: p.peers.Stop},
		{Name: "entry", Priority: PriorityEntry, Value: p.entry, Start: starter(p.callers)},
	}
	for _, s := range append(services, d.options.services...) {
		if err := d.kernel.Register(s); err != nil {
			return eris.Wrapf(ErrStart, "%v", err)
		}
	}
	return nil
}

func starter(s *httpd.Server) func(context.Context) error {
	return func(context.Context) error {
		s.Start()
		return nil
	}
}

// Kernel returns the daemon's services.
func (d *Daemon) Kernel() *kernel.Registry { return d.kernel }

// Start starts the daemon, or returns ErrStart.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.kernel.Start(ctx); err != nil {
		return eris.Wrapf(ErrStart, "%v", err)
	}
	d.log.Info("Daemon started.", "part", "daemon", "version", Version, "entry", d.settings.EntryAddress.String())
	return nil
}

// seek takes groups that nobody holds.
func (d *Daemon) seek(now time.Time) {
	d.parts.manager.AcquireGroups(now, func(name string, dataCentres []string) (grant.Term, bool) {
		return d.parts.cell.ShouldSeek(now, name, dataCentres)
	})
}
