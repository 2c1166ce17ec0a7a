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

// take puts objects in force.
func (c *Cell) take(kind string, objects []platform.Object) {
	c.d.Catalogue.Apply(kind, objects)
	if kind == holder.ObjectKind {
		c.d.Learn(objects)
	}
}

// follow pulls what a peer knows and the daemon does not.
func (c *Cell) follow(h host.Host, v peer.Versions) {
	mine := c.versions()
	if v.Records > mine.Records {
		c.pull(h.Control, catalogue.ObjectKind, mine.Records)
	}
	if v.Groups > mine.Groups {
		c.pull(h.Control, holder.ObjectKind, mine.Groups)
	}
}

// pull takes the objects of a kind from a peer unless a pull is under way.
func (c *Cell) pull(a netip.AddrPort, kind string, after platform.Version) {
	c.mu.Lock()
	busy := c.pulling[kind]
	c.pulling[kind] = true
	c.mu.Unlock()
	if busy {
		return
	}
	submitted := c.d.Workers.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordsTimeout)
		defer cancel()
		objects, known, err := c.d.Clients.Records(ctx, a, kind, after)
		if err == nil && known {
			c.take(kind, objects)
		}
		c.pulled(kind)
	})
	if submitted != nil {
		c.pulled(kind)
	}
}

func (c *Cell) pulled(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pulling[kind] = false
}

// Records returns the objects of a kind after a version, for a peer.
func (c *Cell) Records(kind string, after platform.Version) ([]platform.Object, bool) {
	return c.d.Catalogue.Since(kind, after), c.d.Catalogue.Ready()
}

// watch learns the objects of a kind from the store: once at the start, by a
// watch while the daemon is one of the watchers, and now and then otherwise.
func (c *Cell) watch(ctx context.Context, kind string) {
	var listed time.Time
	for ctx.Err() == nil {
		switch {
		case !c.d.Catalogue.Ready() || time.Since(listed) > listInterval:
			if c.list(ctx, kind) {
				listed = time.Now()
				continue
			}
			c.askSeeds(ctx, kind)
		case c.isWatcher():
			objects, err := c.d.Store.Watch(ctx, kind, c.d.Catalogue.Version(kind), watchWait)
			c.count("watch", err)
			if err == nil {
				if len(objects) > 0 {
					c.take(kind, objects)
				}
				continue
			}
		}
		sleep(ctx, watchRetry)
	}
}

func (c *Cell) list(ctx context.Context, kind string) bool {
	objects, err := c.d.Store.List(ctx, kind)
	c.count("list", err)
	if err != nil {
		return false
	}
	c.d.Catalogue.Replace(kind, objects)
	if kind == holder.ObjectKind {
		c.d.Learn(objects)
	}
	return true
}

// askSeeds takes records from any peer while the store gives none.
func (c *Cell) askSeeds(ctx context.Context, kind string) {
	addresses := append([]netip.AddrPort(nil), c.d.Seeds...)
	for _, h := range c.Alive() {
		addresses = append(addresses, h.Control)
	}
	for _, a := range addresses {
		if a == c.d.Self.Control {
			continue
		}
		call, cancel := context.WithTimeout(ctx, recordsTimeout)
		objects, known, err := c.d.Clients.Records(call, a, kind, c.d.Catalogue.Version(kind))
		cancel()
		if err == nil && known {
			c.take(kind, objects)
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
