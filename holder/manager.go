package holder

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/platform"
)

// A Manager keeps a Group for each service. It is safe for concurrent use.
type Manager struct {
	deps   Dependencies
	mu     sync.Mutex
	groups map[string]*Group
}

// New returns a Manager without groups. Update adds them.
func New(d Dependencies) *Manager {
	d.Log = d.Log.With("part", "holder")
	return &Manager{deps: d, groups: map[string]*Group{}}
}

// Update puts the configurations of all services in force: it creates, changes and
// stops groups.
func (m *Manager) Update(configs []*catalogue.ServiceConfig) {
	m.mu.Lock()
	defer m.mu.Unlock()
	keep := map[string]bool{}
	for _, config := range configs {
		keep[config.Name] = true
		g, ok := m.groups[config.Name]
		if !ok {
			g = newGroup(m.deps, config)
			m.groups[config.Name] = g
			g.start()
			continue
		}
		if g.configVersion() != config.Version {
			g.applyConfig(config)
		}
	}
	for n, g := range m.groups {
		if !keep[n] {
			delete(m.groups, n)
			go g.stop()
		}
	}
}

func (g *Group) configVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config.Version
}

// ObjectsChanged passes group objects that a watch or a peer reported to their groups.
func (m *Manager) ObjectsChanged(objects []platform.Object) {
	for _, obj := range objects {
		if obj.Kind != ObjectKind || obj.Deleted {
			continue
		}
		g, ok := m.Group(obj.Name)
		if !ok {
			continue
		}
		var o GroupObject
		if json.Unmarshal(obj.Value, &o) == nil {
			g.ObjectChanged(o)
		}
	}
}

// Group returns the group of a service, and false when there is none.
func (m *Manager) Group(service string) (*Group, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.groups[service]
	return g, ok
}

// Groups returns all groups, sorted by name.
func (m *Manager) Groups() []*Group {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*Group, 0, len(m.groups))
	for _, g := range m.groups {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// Name returns the name of the group's service.
func (g *Group) Name() string { return g.name }

// Holdings returns the groups that the daemon holds and has recent evidence of
// holding.
func (m *Manager) Holdings() []host.Holding {
	var out []host.Holding
	for _, g := range m.Groups() {
		if term, ok := g.HeldTerm(); ok && g.Healthy() {
			out = append(out, host.Holding{Group: g.name, Term: term})
		}
	}
	return out
}

// PreferredDataCentres returns the data centres that the service's placement
// prefers for the holder, in order of preference.
func (g *Group) PreferredDataCentres() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.config.Placement.DataCentres
}

// PreferredDataCentres returns the data centres that a service prefers for its
// holder, in order of preference, or nil when the service is unknown.
func (m *Manager) PreferredDataCentres(service string) []string {
	if g, ok := m.Group(service); ok {
		return g.PreferredDataCentres()
	}
	return nil
}

// AcquireGroups starts to acquire the groups that this daemon does not hold and for
// which shouldAcquire returns true. The term that shouldAcquire returns is the
// highest known.
func (m *Manager) AcquireGroups(now time.Time, shouldAcquire func(service string, dataCentres []string) (grant.Term, bool)) {
	for _, g := range m.Groups() {
		if _, held := g.HeldTerm(); held {
			continue
		}
		if seen, ok := shouldAcquire(g.name, g.PreferredDataCentres()); ok {
			g.Acquire(now, seen)
		}
	}
}

// Quarantine applies a quarantine to a service's group.
func (m *Manager) Quarantine(service string, q dispatch.Quarantine) {
	if g, ok := m.Group(service); ok {
		g.Quarantine(q)
	}
}

// BeginShutdown prepares all groups for shutdown and returns those that were held.
func (m *Manager) BeginShutdown() []host.Holding {
	var out []host.Holding
	for _, g := range m.Groups() {
		if term, held := g.BeginShutdown(); held {
			out = append(out, host.Holding{Group: g.name, Term: term})
		}
	}
	return out
}

// InFlight returns the number of requests in all groups.
func (m *Manager) InFlight() int64 {
	var n int64
	for _, g := range m.Groups() {
		n += g.InFlight()
	}
	return n
}

// Stop stops all groups.
func (m *Manager) Stop(context.Context) error {
	for _, g := range m.Groups() {
		g.stop()
	}
	return nil
}

// Status returns the state of the groups that the daemon holds.
func (m *Manager) Status() []Status {
	out := []Status{}
	for _, g := range m.Groups() {
		if _, held := g.HeldTerm(); held {
			out = append(out, g.Status())
		}
	}
	return out
}

// Dump returns the state of all groups, held or not.
func (m *Manager) Dump() []Status {
	groups := m.Groups()
	out := make([]Status, 0, len(groups))
	for _, g := range groups {
		out = append(out, g.Status())
	}
	return out
}
