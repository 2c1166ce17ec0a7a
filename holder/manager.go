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
	d      Dependencies
	mu     sync.Mutex
	groups map[string]*Group
}

// New returns a Manager without groups.
func New(d Dependencies) *Manager {
	d.Log = d.Log.With("part", "holder")
	return &Manager{d: d, groups: map[string]*Group{}}
}

// Update puts bundles in force: it makes, changes and ends groups.
func (m *Manager) Update(bundles []*catalogue.Bundle) {
	m.mu.Lock()
	defer m.mu.Unlock()
	keep := map[string]bool{}
	for _, b := range bundles {
		keep[b.Name] = true
		g, ok := m.groups[b.Name]
		if !ok {
			g = newGroup(m.d, b)
			m.groups[b.Name] = g
			g.start()
			continue
		}
		if g.bundleVersion() != b.Version {
			g.apply(b)
		}
	}
	for n, g := range m.groups {
		if !keep[n] {
			delete(m.groups, n)
			go g.stop()
		}
	}
}

func (g *Group) bundleVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bundle.Version
}

// Learn takes objects of groups as a watch or a peer told them.
func (m *Manager) Learn(objects []platform.Object) {
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
			g.Learn(o)
		}
	}
}

// Group returns the group of a service.
func (m *Manager) Group(service string) (*Group, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.groups[service]
	return g, ok
}

// All returns all groups, by name.
func (m *Manager) All() []*Group {
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

// Holdings returns the groups that the daemon holds and can act on.
func (m *Manager) Holdings() []host.Holding {
	var out []host.Holding
	for _, g := range m.All() {
		if term, ok := g.Holding(); ok && g.Healthy() {
			out = append(out, host.Holding{Group: g.name, Term: term})
		}
	}
	return out
}

// Preferred returns the data centres that a service's placement prefers for its holder.
func (g *Group) Preferred() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bundle.Placement.DataCentres
}

// Preferred returns the data centres that a service prefers for its holder.
func (m *Manager) Preferred(service string) []string {
	if g, ok := m.Group(service); ok {
		return g.Preferred()
	}
	return nil
}

// Seek takes the groups that shouldSeek names and nobody holds.
func (m *Manager) Seek(now time.Time, shouldSeek func(service string, dataCentres []string) (grant.Term, bool)) {
	for _, g := range m.All() {
		if _, held := g.Holding(); held {
			continue
		}
		if seen, ok := shouldSeek(g.name, g.Preferred()); ok {
			g.Seek(now, seen)
		}
	}
}

// SetAside refuses a request in a group.
func (m *Manager) SetAside(service string, s dispatch.Quarantine) {
	if g, ok := m.Group(service); ok {
		g.SetAside(s)
	}
}

// Leave gives all groups up and returns those that were held.
func (m *Manager) Leave() []host.Holding {
	var out []host.Holding
	for _, g := range m.All() {
		if term, held := g.Leave(); held {
			out = append(out, host.Holding{Group: g.name, Term: term})
		}
	}
	return out
}

// InFlight returns the number of requests in all groups.
func (m *Manager) InFlight() int64 {
	var n int64
	for _, g := range m.All() {
		n += g.InFlight()
	}
	return n
}

// Stop ends all groups.
func (m *Manager) Stop(context.Context) error {
	for _, g := range m.All() {
		g.stop()
	}
	return nil
}

// Status returns the state of the groups that the daemon holds.
func (m *Manager) Status() []Status {
	out := []Status{}
	for _, g := range m.All() {
		if _, held := g.Holding(); held {
			out = append(out, g.Status())
		}
	}
	return out
}

// Dump returns the state of all groups.
func (m *Manager) Dump() []Status {
	groups := m.All()
	out := make([]Status, 0, len(groups))
	for _, g := range groups {
		out = append(out, g.Status())
	}
	return out
}
