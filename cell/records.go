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
func (c *Membership) apply(kind string, objects []platform.Object) {
	c.deps.Catalogue.Apply(kind, objects)
	if kind == holder.ObjectKind {
		c.deps.GroupsChanged(objects)
	}
}

// pullNewer pulls the objects that are newer at peer h, whose versions are v.
func (c *Membership) pullNewer(h host.Host, v peer.Versions) {
	mine := c.versions()
	if v.Records > mine.Records {
		c.pull(h.ControlAddress, catalogue.ObjectKind, mine.Records)
	}
	if v.Groups > mine.Groups {
		c.pull(h.ControlAddress, holder.ObjectKind, mine.Groups)
	}
}

// pull fetches the objects of a kind after a version from a peer in the
// background, unless a pull of that kind is in progress.
func (c *Membership) pull(a netip.AddrPort, kind string, after platform.Version) {
	c.mu.Lock()
	busy := c.pulling[kind]
	c.pulling[kind] = true
	c.mu.Unlock()
	if busy {
		return
	}
	submitted := c.deps.Workers.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordsTimeout)
		defer cancel()
		objects, known, err := c.deps.Clients.Records(ctx, a, kind, after)
		if err == nil && known {
			c.apply(kind, objects)
		}
		c.finishPull(kind)
	})
	if submitted != nil {
		c.finishPull(kind)
	}
}

// finishPull marks the pull of a kind as finished.
func (c *Membership) finishPull(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pulling[kind] = false
}

// RecordsSince returns the objects of a kind after a version, and reports whether
// this daemon has loaded any records.
func (c *Membership) RecordsSince(kind string, after platform.Version) ([]platform.Object, bool) {
	return c.deps.Catalogue.ChangesSince(kind, after), c.deps.Catalogue.Ready()
}

// syncFromStore keeps the objects of a kind up to date from the store. It lists
// them at the start and every listInterval; a watcher also watches for changes.
// If the list fails, it fetches the objects from a peer.
func (c *Membership) syncFromStore(ctx context.Context, kind string) {
	var listed time.Time
	for ctx.Err() == nil {
		switch {
		case !c.deps.Catalogue.Ready() || time.Since(listed) > listInterval:
			if c.reloadFromStore(ctx, kind) {
				listed = time.Now()
				continue
			}
			c.fetchFromPeers(ctx, kind)
		case c.isWatcher():
			objects, err := c.deps.Store.Watch(ctx, kind, c.deps.Catalogue.Version(kind), watchTimeout)
			c.countStoreCall("watch", err)
			if err == nil {
				if len(objects) > 0 {
					c.apply(kind, objects)
				}
				continue
			}
		}
		sleep(ctx, watchRetryDelay)
	}
}

// reloadFromStore replaces the objects of a kind with the store's list and reports
// whether the list could be read.
func (c *Membership) reloadFromStore(ctx context.Context, kind string) bool {
	objects, err := c.deps.Store.List(ctx, kind)
	c.countStoreCall("list", err)
	if err != nil {
		return false
	}
	c.deps.Catalogue.Replace(kind, objects)
	if kind == holder.ObjectKind {
		c.deps.GroupsChanged(objects)
	}
	return true
}

// fetchFromPeers fetches the objects of a kind from the first seed or live peer
// that has loaded any. It is used while the store is unavailable.
func (c *Membership) fetchFromPeers(ctx context.Context, kind string) {
	addresses := append([]netip.AddrPort(nil), c.deps.Seeds...)
	for _, h := range c.Alive() {
		addresses = append(addresses, h.ControlAddress)
	}
	for _, a := range addresses {
		if a == c.deps.Self.ControlAddress {
			continue
		}
		call, cancel := context.WithTimeout(ctx, recordsTimeout)
		objects, known, err := c.deps.Clients.Records(call, a, kind, c.deps.Catalogue.Version(kind))
		cancel()
		if err == nil && known {
			c.apply(kind, objects)
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
