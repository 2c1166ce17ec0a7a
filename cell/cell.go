// Package cell implements group membership and the distribution of records. It
// exchanges heartbeats with the other daemons, reads the platform's list of
// hosts and replicates records.
//
// A cell is a set of daemons that all send heartbeats to each other. Two
// daemons of a cell watch the store. The others compare record versions in
// heartbeats and pull newer records from their peers. A daemon that starts while
// the store is unavailable loads the records from any peer.
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
	// watcherCount is the number of daemons of a cell that watch the store.
	watcherCount = 2
	// watchTimeout is the time that a watch request waits for a change.
	watchTimeout = 20 * time.Second
	// watchRetryDelay is the delay after a failed list or watch, and between two
	// checks by a daemon that is not a watcher.
	watchRetryDelay = time.Second
	// hostsInterval is the time between two reads of the list of hosts by a watcher.
	hostsInterval = 5 * time.Second
	// soloHostsInterval replaces hostsInterval while no other daemon is alive.
	soloHostsInterval = 500 * time.Millisecond
	// listInterval is the time between two full reads of the records and group
	// objects, and between two reads of the list of hosts by a daemon that is not
	// a watcher.
	listInterval = time.Minute
	// successorsPerGroup is the number of daemons that receive fast heartbeats for
	// each held group.
	successorsPerGroup = 2
	// recordsTimeout limits a transfer of records from a peer.
	recordsTimeout = 2 * time.Second
)

// Dependencies holds the components and callbacks that a Membership uses.
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
	// Holdings returns the groups held by the daemon.
	Holdings func() []host.Holding
	// PreferredDataCentres returns the data centres that a service prefers for its
	// holder, in order of preference.
	PreferredDataCentres func(service string) []string
	// GroupsChanged processes updated group objects.
	GroupsChanged func(objects []platform.Object)
	// AcquireGroups is called after each round of heartbeats to acquire groups
	// without a holder.
	AcquireGroups func(now time.Time)
	// Quarantine processes a quarantined request reported by a peer.
	Quarantine func(q peer.Quarantine)
}

// A Membership maintains a daemon's view of its cell and replicates records. It is
// safe for concurrent use.
type Membership struct {
	deps Dependencies
	mu   sync.Mutex
	view *host.View
	// pulling contains the object kinds with a pull in progress.
	pulling map[string]bool
	// quarantined are the quarantined requests announced in heartbeats.
	quarantined []peer.Quarantine
	links       map[netip.AddrPort]*heartbeatLink
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// New returns a Membership that has not been started.
func New(d Dependencies) *Membership {
	d.Log = d.Log.With("part", "cell")
	return &Membership{deps: d, view: host.NewView(d.Self, d.Timing, time.Now()), pulling: map[string]bool{}, links: map[netip.AddrPort]*heartbeatLink{}}
}

// Start starts heartbeats, reads of the list of hosts and record replication.
func (m *Membership) Start(context.Context) error {
	m.ctx, m.cancel = context.WithCancel(context.Background())
	ctx := m.ctx
	m.wg.Go(func() { m.runEvery(ctx, m.deps.Timing.FastInterval, func(context.Context) { m.sendHeartbeats(false) }) })
	m.wg.Go(func() { m.pollHosts(ctx) })
	m.wg.Go(func() { m.syncFromStore(ctx, catalogue.ObjectKind) })
	m.wg.Go(func() { m.syncFromStore(ctx, holder.ObjectKind) })
	return nil
}

// Stop ends all background work of the Membership and waits for it.
func (m *Membership) Stop(context.Context) error {
	m.cancel()
	m.wg.Wait()
	return nil
}

// runEvery calls f immediately and then at each interval until ctx ends.
func (m *Membership) runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
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

// Self returns the local daemon.
func (m *Membership) Self() host.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Self()
}

// Alive returns the daemons considered alive, including the local one.
func (m *Membership) Alive() []host.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Alive(time.Now())
}

// IsAlive reports whether a daemon is considered alive.
func (m *Membership) IsAlive(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.IsAlive(time.Now(), name)
}

// Holder returns the presumed holder of a service's group.
func (m *Membership) Holder(service string, dataCentres []string) (host.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Holder(time.Now(), service, dataCentres)
}

// ShouldAcquire reports whether the local daemon should acquire a service's group,
// and returns the highest term under which another live daemon claims it.
func (m *Membership) ShouldAcquire(now time.Time, service string, dataCentres []string) (grant.Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ok := m.view.ShouldAcquire(now, service, dataCentres)
	return m.view.ClaimedTerm(now, service), ok
}

// MarkUnreachable marks a daemon as lost, for example after a refused connection.
func (m *Membership) MarkUnreachable(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.MarkUnreachable(name)
}

// Leave marks the local daemon as leaving and announces this to all peers.
func (m *Membership) Leave() {
	m.mu.Lock()
	m.view.MarkLeaving()
	m.mu.Unlock()
	m.Announce()
}

// Announce sends a heartbeat to all peers immediately.
func (m *Membership) Announce() {
	m.sendHeartbeats(true)
}

// AnnounceQuarantine announces a quarantined request to all peers.
func (m *Membership) AnnounceQuarantine(q peer.Quarantine) {
	m.mu.Lock()
	m.quarantined = append(m.quarantined, q)
	m.mu.Unlock()
	m.Announce()
}

// versions returns the highest store versions that the daemon has applied.
func (m *Membership) versions() peer.Versions {
	return peer.Versions{
		Records: m.deps.Catalogue.Version(catalogue.ObjectKind),
		Groups:  m.deps.Catalogue.Version(holder.ObjectKind),
	}
}

// isWatcher reports whether the daemon is one of the cell's watchers. All
// daemons rank the live hosts by rendezvous hashing, so they agree without
// coordination as long as they agree on the live hosts.
func (m *Membership) isWatcher() bool {
	alive := m.Alive()
	names := make([]string, 0, len(alive))
	for _, h := range alive {
		names = append(names, h.Name)
	}
	rank := slices.Index(placement.RankDaemons("records", names), m.Self().Name)
	return rank >= 0 && rank < watcherCount
}

// pollHosts polls the platform's list of hosts: every soloHostsInterval while no
// other daemon is alive, every hostsInterval as a watcher, and every
// listInterval otherwise, because new daemons announce themselves by heartbeat.
func (m *Membership) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		m.readHosts(ctx)
		switch {
		case len(m.Alive()) == 1:
			sleep(ctx, soloHostsInterval)
		case m.isWatcher():
			sleep(ctx, hostsInterval)
		default:
			sleep(ctx, listInterval)
		}
	}
}

// readHosts reads the platform's list of hosts. On failure the previous list
// stays in force.
func (m *Membership) readHosts(ctx context.Context) {
	hosts, err := m.deps.Store.Hosts(ctx)
	m.countStoreCall("hosts", err)
	if err != nil {
		return
	}
	var listed []host.Host
	for _, h := range hosts {
		if h.State == platform.HostLive {
			listed = append(listed, host.Host{Name: h.Name, DataCentre: h.DataCentre, ControlAddress: h.Control})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.UpdateListed(time.Now(), listed)
}

// countStoreCall counts a call of the store in the metrics.
func (m *Membership) countStoreCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.deps.Metrics.StoreCalls.WithLabelValues(call, result).Inc()
}

// A State is a snapshot of a Membership for the state dump.
type State struct {
	Self      host.Host        `json:"self"`
	IsWatcher bool             `json:"watcher"`
	Versions  peer.Versions    `json:"versions"`
	Peers     []host.PeerState `json:"peers"`
}

// Dump returns a snapshot of the Membership.
func (m *Membership) Dump() State {
	s := State{Self: m.Self(), IsWatcher: m.isWatcher(), Versions: m.versions()}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Peers = m.view.Dump(time.Now())
	return s
}

// Candidates returns the daemons eligible to hold a service's group, best first.
func (m *Membership) Candidates(service string, dataCentres []string) []host.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Candidates(time.Now(), service, dataCentres)
}
