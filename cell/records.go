package cell

import (
	"context"
	"net/netip"
	"time"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/holder"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/peer"
	"github.com/redwingtally/redwingtally/platform"
)

// apply applies objects to the catalogue and passes group objects to GroupsChanged.
func (m *Membership) apply(kind string, objects []platform.Object) {
	m.deps.Catalogue.Apply(kind, objects)
	if kind == holder.ObjectKind {
		m.deps.GroupsChanged(objects)
	}
}

// pullNewer pulls the objects that are newer at peer h, whose versions are v.
func (m *Membership) pullNewer(h host.Host, v peer.Versions) {
	mine := m.versions()
	if v.Records > mine.Records {
		m.pull(h.ControlAddress, catalogue.ObjectKind, mine.Records)
	}
	if v.Groups > mine.Groups {
		m.pull(h.ControlAddress, holder.ObjectKind, mine.Groups)
	}
}

// pull fetches the objects of a kind after a version from a peer in the
// background, unless a pull of that kind is in progress.
func (m *Membership) pull(a netip.AddrPort, kind string, after platform.Version) {
	m.mu.Lock()
	busy := m.pulling[kind]
	m.pulling[kind] = true
	m.mu.Unlock()
	if busy {
		return
	}
	submitted := m.deps.Workers.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordsTimeout)
		defer cancel()
		objects, loaded, err := m.deps.Clients.Records(ctx, a, kind, after)
		if err == nil && loaded {
			m.apply(kind, objects)
		}
		m.finishPull(kind)
	})
	if submitted != nil {
		m.finishPull(kind)
	}
}

// finishPull marks the pull of a kind as finished.
func (m *Membership) finishPull(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pulling[kind] = false
}

// RecordsSince returns the objects of a kind after a version, and reports whether
// this daemon has loaded any records.
func (m *Membership) RecordsSince(kind string, after platform.Version) ([]platform.Object, bool) {
	return m.deps.Catalogue.ChangesSince(kind, after), m.deps.Catalogue.Ready()
}

// syncFromStore keeps the objects of a kind up to date from the store. It lists
// them at the start and every listInterval; a watcher also watches for changes.
// If the list fails, it fetches the objects from a peer.
func (m *Membership) syncFromStore(ctx context.Context, kind string) {
	var listed time.Time
	for ctx.Err() == nil {
		switch {
		case !m.deps.Catalogue.Ready() || time.Since(listed) > listInterval:
			if m.reloadFromStore(ctx, kind) {
				listed = time.Now()
				continue
			}
			m.fetchFromPeers(ctx, kind)
		case m.isWatcher():
			objects, err := m.deps.Store.Watch(ctx, kind, m.deps.Catalogue.Version(kind), watchTimeout)
			m.countStoreCall("watch", err)
			if err == nil {
				if len(objects) > 0 {
					m.apply(kind, objects)
				}
				continue
			}
		}
		sleep(ctx, watchRetryDelay)
	}
}

// reloadFromStore replaces the objects of a kind with the store's list and reports
// whether the list could be read.
func (m *Membership) reloadFromStore(ctx context.Context, kind string) bool {
	objects, err := m.deps.Store.List(ctx, kind)
	m.countStoreCall("list", err)
	if err != nil {
		return false
	}
	m.deps.Catalogue.Replace(kind, objects)
	if kind == holder.ObjectKind {
		m.deps.GroupsChanged(objects)
	}
	return true
}

// fetchFromPeers fetches the objects of a kind from the first seed or live peer
// that has loaded any. It is used while the store is unavailable.
func (m *Membership) fetchFromPeers(ctx context.Context, kind string) {
	addresses := append([]netip.AddrPort(nil), m.deps.Seeds...)
	for _, h := range m.Alive() {
		addresses = append(addresses, h.ControlAddress)
	}
	for _, a := range addresses {
		if a == m.deps.Self.ControlAddress {
			continue
		}
		call, cancel := context.WithTimeout(ctx, recordsTimeout)
		objects, loaded, err := m.deps.Clients.Records(call, a, kind, m.deps.Catalogue.Version(kind))
		cancel()
		if err == nil && loaded {
			m.apply(kind, objects)
			return
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
