// Package cell keeps a daemon in touch with the other daemons and with the
// platform: heartbeats, the list of hosts, and the spread of records.
//
// Two daemons of a cell watch the store; the others learn records from peers by
// version. A daemon that starts while the store is down takes the records from
// any peer.
//
// # Usage
//
//	c := cell.New(cell.Dependencies{...})
//	c.Start(ctx)
//	h, ok := c.Holder("stockroom", nil)
package cell

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/holder"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/peer"
	"github.com/redwingtally/redwingtally/placement"
	"github.com/redwingtally/redwingtally/platform"
)

const (
	// watchers is how many daemons of a cell watch the store.
	watchers = 2
	// watchWait is how long a watch waits for a change.
	watchWait = 20 * time.Second
	// watchRetry is the pause after a failed watch.
	watchRetry = time.Second
	// hostsInterval is the time between two reads of the list of hosts.
	hostsInterval = 5 * time.Second
	// aloneInterval is the same while no other daemon is known.
	aloneInterval = 500 * time.Millisecond
	// listInterval is the time between two full reads of the records by a daemon that does not watch.
	listInterval = time.Minute
	// successors is how many daemons get fast heartbeats for each group that the daemon holds.
	successors = 2
	// recordsTimeout bounds the transfer of records.
	recordsTimeout = 2 * time.Second
)

// Dependencies are what a Cell needs.
type Dependencies struct {
	Log       *slog.Logger
	Self      host.Host
	Timing    host.Timing
	Seeds     []netip.AddrPort
	Store     *platform.Store
	Clients   *peer.Clients
	Catalogue *catalogue.Catalogue
	Metrics   *metric.Set
	Workers   *ants.Pool
	// Holdings returns the groups that the daemon holds.
	Holdings func() []host.Holding
	// Preferred returns the data centres that a service prefers for its holder.
	Preferred func(service string) []string
	// Learn takes objects of groups.
	Learn func(objects []platform.Object)
	// Seek is called once per heartbeat to take groups that nobody holds.
	Seek func(now time.Time)
	// SetAside takes a set-aside request from a peer.
	SetAside func(s peer.SetAside)
}

// A Cell is a daemon's link to the others. It is safe for concurrent use.
type Cell struct {
	d         Dependencies
	mu        sync.Mutex
	view      *host.View
	pulling   map[string]bool
	setAsides []peer.SetAside
	links     map[netip.AddrPort]*link
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// New returns a Cell that is not started.
func New(d Dependencies) *Cell {
	d.Log = d.Log.With("part", "cell")
	return &Cell{d: d, view: host.New(d.Self, d.Timing, time.Now()), pulling: map[string]bool{}, links: map[netip.AddrPort]*link{}}
}

// Start begins heartbeats and the spread of records.
func (c *Cell) Start(context.Context) error {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	ctx := c.ctx
	c.wg.Go(func() { c.every(ctx, c.d.Timing.Interval, func(context.Context) { c.beat(false) }) })
	c.wg.Go(func() { c.watchHosts(ctx) })
	c.wg.Go(func() { c.watch(ctx, catalogue.ObjectKind) })
	c.wg.Go(func() { c.watch(ctx, holder.ObjectKind) })
	return nil
}

// Stop ends heartbeats and watches.
func (c *Cell) Stop(context.Context) error {
	c.cancel()
	c.wg.Wait()
	return nil
}

// every calls f at once and then at each interval.
func (c *Cell) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Self returns the daemon itself.
func (c *Cell) Self() host.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Self()
}

// Alive returns the daemons that are believed alive.
func (c *Cell) Alive() []host.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Alive(time.Now())
}

// IsAlive reports whether a daemon is believed alive.
func (c *Cell) IsAlive(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.IsAlive(time.Now(), name)
}

// Holder returns the daemon that is believed to hold a service's group.
func (c *Cell) Holder(service string, dataCentres []string) (host.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Holder(time.Now(), service, dataCentres)
}

// ShouldSeek reports whether the daemon shall take a group, and the highest term it knows of.
func (c *Cell) ShouldSeek(now time.Time, service string, dataCentres []string) (grant.Term, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := c.view.ShouldSeek(now, service, dataCentres)
	return c.view.ClaimedTerm(now, service), ok
}

// Lost notes that a daemon refused a connection.
func (c *Cell) Lost(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Lost(name)
}

// Leave marks the daemon as leaving and tells the others.
func (c *Cell) Leave() {
	c.mu.Lock()
	c.view.Leave()
	c.mu.Unlock()
	c.Announce()
}

// Announce sends a heartbeat to all peers at once.
func (c *Cell) Announce() {
	c.beat(true)
}

// TellSetAside tells all peers of a request that is set aside.
func (c *Cell) TellSetAside(s peer.SetAside) {
	c.mu.Lock()
	c.setAsides = append(c.setAsides, s)
	c.mu.Unlock()
	c.Announce()
}

// versions returns how far the daemon knows the store's objects.
func (c *Cell) versions() peer.Versions {
	return peer.Versions{
		Records: c.d.Catalogue.Version(catalogue.ObjectKind),
		Groups:  c.d.Catalogue.Version(holder.ObjectKind),
	}
}

// isWatcher reports whether the daemon is one of those that watch the store.
func (c *Cell) isWatcher() bool {
	alive := c.Alive()
	names := make([]string, 0, len(alive))
	for _, h := range alive {
		names = append(names, h.Name)
	}
	rank := slices.Index(placement.RankDaemons("records", names), c.Self().Name)
	return rank >= 0 && rank < watchers
}

// watchHosts reads the platform's list: often while no other daemon is known,
// now and then as a watcher, and rarely otherwise, since new daemons make
// themselves known by their heartbeats.
func (c *Cell) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		c.readHosts(ctx)
		switch {
		case len(c.Alive()) == 1:
			sleep(ctx, aloneInterval)
		case c.isWatcher():
			sleep(ctx, hostsInterval)
		default:
			sleep(ctx, listInterval)
		}
	}
}

// readHosts reads the platform's list; a failure leaves the last one in place.
func (c *Cell) readHosts(ctx context.Context) {
	hosts, err := c.d.Store.Hosts(ctx)
	c.count("hosts", err)
	if err != nil {
		return
	}
	var listed []host.Host
	for _, h := range hosts {
		if h.State == platform.HostLive {
			listed = append(listed, host.Host{Name: h.Name, DataCentre: h.DataCentre, Control: h.Control})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Listed(time.Now(), listed)
}

func (c *Cell) count(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	c.d.Metrics.StoreCalls.WithLabelValues(call, result).Inc()
}

// A State is the dump of a Cell.
type State struct {
	Self     host.Host        `json:"self"`
	Watcher  bool             `json:"watcher"`
	Versions peer.Versions    `json:"versions"`
	Peers    []host.PeerState `json:"peers"`
}

// Dump returns the state of the cell.
func (c *Cell) Dump() State {
	s := State{Self: c.Self(), Watcher: c.isWatcher(), Versions: c.versions()}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Peers = c.view.Dump(time.Now())
	return s
}

// Candidates returns the daemons that may hold a service's group, best first.
func (c *Cell) Candidates(service string, dataCentres []string) []host.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Candidates(time.Now(), service, dataCentres)
}
