package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// applyTime is how long a change of the configuration, or of a target, may take to be in force.
const applyTime = 2 * time.Second

// advance writes n objects that nothing reads, so that the store's versions grow.
func (h *harness) advance(n int) {
	for i := range n {
		_, err := h.store.Put(context.Background(), "notes", fmt.Sprint("note-", i), []byte(`{}`), platform.Unconditional())
		qt.Assert(h.tb, err, qt.IsNil)
	}
}

// inForce reports whether all hosts serve the first path and reject the second one.
func (h *harness) inForce(served, dropped string) bool {
	for host := range h.edges {
		if h.do(call{host: host, path: served}).status != http.StatusOK || h.do(call{host: host, path: dropped}).status != http.StatusNotFound {
			return false
		}
	}
	return true
}

// A configuration, and a target that leaves, that come after the store was restored from a copy take effect in
// time, although the versions of the store are lower than before. No host falls back to an earlier configuration.
func TestChangesAfterARestoredStoreTakeEffect(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 2)
	leaving := h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.server(standin.ServerOptions{Name: "b", Service: "stock"})
	routes := func(prefix string) []platform.Route {
		return []platform.Route{route("stock", prefix, platform.Idempotent)}
	}
	h.configure(routes("/first/"), plain("stock"))
	h.eventually("first configuration", func() bool { return h.inForce("/first/1", "/second/1") })
	kept := h.platform.Copy()
	h.advance(60)
	h.configure(routes("/second/"), plain("stock"))
	h.eventually("second configuration", func() bool { return h.inForce("/second/1", "/first/1") })

	h.platform.Restore(kept)
	for end := time.Now().Add(applyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // samples running hosts
		for host := range h.edges {
			c.Assert(h.do(call{host: host, path: "/first/1"}).status, qt.Equals, http.StatusNotFound)
		}
	}
	h.configure(routes("/third/"), plain("stock"))
	leaving.Drain()
	changed := time.Now()
	h.eventually("third configuration", func() bool { return h.inForce("/third/1", "/second/1") })
	c.Check(time.Since(changed) <= applyTime, qt.IsTrue, qt.Commentf("in force after %s", time.Since(changed)))
	time.Sleep(time.Until(changed.Add(applyTime))) // a draining target may receive requests until then
	before := len(leaving.Arrivals())
	for i := range 40 {
		h.do(call{host: i % 2, path: "/third/1"})
	}
	c.Check(leaving.Arrivals(), qt.HasLen, before)
}

// A target whose entry the copy lacks keeps its requests for the time in which targets register again, and is gone
// after it if its entry does not come back.
func TestTargetsMissingFromACopyAreKeptForATime(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 2)
	h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, plain("stock"))
	h.waitServing(0, "/holders/1")
	h.waitServing(1, "/holders/1")
	kept := h.platform.Copy()
	entry, err := platform.EncodeTarget(platform.Target{
		Name: "late", StartedAt: time.Now(), Service: "stock", Address: ports.Free(t), DataCentre: "leicester", Slots: 2,
	}, 1)
	c.Assert(err, qt.IsNil)
	_, err = h.store.Put(context.Background(), platform.KindTargets, "late", entry, platform.Unconditional())
	c.Assert(err, qt.IsNil)
	counts := func(n int) bool { return h.edges[0].TargetCount("stock") == n && h.edges[1].TargetCount("stock") == n }
	h.eventually("both targets on both hosts", func() bool { return counts(2) })
	h.platform.Restore(kept)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) { // samples running hosts
		c.Assert(counts(2), qt.IsTrue)
	}
	h.eventually("one target on both hosts", func() bool { return counts(1) })
}

// ownerWatch samples which servers hold keys, and fails the test if two hold the same key or a key
// gets a lower fencing token than before.
type ownerWatch struct {
	servers []*standin.Server
	keys    []uint16
	tokens  map[uint16]uint64
	owners  map[uint16]string
}

// check takes one sample and returns an error text, or "" if there is none.
func (w *ownerWatch) check() string {
	for _, k := range w.keys {
		holder := ""
		for i, s := range w.servers {
			token, held := s.Holds(k)
			if !held {
				continue
			}
			name := fmt.Sprint("server ", i)
			switch {
			case holder != "":
				return fmt.Sprintf("key %d: held by %s and %s", k, holder, name)
			case token < w.tokens[k], token == w.tokens[k] && w.owners[k] != name:
				return fmt.Sprintf("key %d: %s holds it with token %d after %s with %d", k, name, token, w.owners[k], w.tokens[k])
			}
			holder, w.tokens[k], w.owners[k] = name, token, name
		}
	}
	return ""
}

// After the store is restored from a copy older than the latest moves, each key still has at most one owner and its
// fencing token never decreases, whether or not the coordinator survives.
func TestKeysKeepOneOwnerAfterARestoredStore(t *testing.T) {
	tests := []struct {
		name string
		// lose makes hosts lose what they know at the moment of the restore.
		lose func(h *harness)
		// served is how long all keys may be without an owner afterwards.
		served time.Duration
	}{
		{"the coordinator goes on", func(*harness) {}, 2 * time.Second},
		{"the coordinator stops", func(h *harness) { h.stopCoordinator() }, 6 * time.Second},
		{"all hosts are replaced", func(h *harness) { h.replaceHosts() }, 18 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newHarness(t, 3)
			w := &ownerWatch{keys: []uint16{0, 700, 21845, 40000, 65535}, tokens: map[uint16]uint64{}, owners: map[uint16]string{}}
			for _, name := range []string{"a", "b", "d", "e"} {
				w.servers = append(w.servers, h.server(standin.ServerOptions{Name: name, Service: "orders", Keyed: true, Slots: 4}))
			}
			h.configure([]platform.Route{route("orders", "/holders/", platform.Idempotent)}, keyed("orders"))
			owned := func() bool {
				c.Assert(w.check(), qt.Equals, "")
				for _, k := range w.keys {
					held := false
					for _, s := range w.servers {
						_, holds := s.Holds(k)
						held = held || holds
					}
					if !held {
						return false
					}
				}
				return true
			}
			h.eventually("all keys owned", owned)
			kept := h.platform.Copy()
			for _, leaving := range w.servers[:2] {
				leaving.Drain()
				h.eventually("keys moved", func() bool {
					owned()
					return !holdsAny(leaving, w.keys)
				})
			}
			h.eventually("all keys owned after the moves", owned)
			h.platform.Restore(kept)
			test.lose(h)
			restored := time.Now()
			for time.Since(restored) < test.served {
				owned()
				time.Sleep(2 * time.Millisecond) // samples running servers
			}
			c.Check(owned(), qt.IsTrue)
			w.servers[2].Drain()
			h.eventually("keys moved after the restore", func() bool { return owned() && !holdsAny(w.servers[2], w.keys) })
		})
	}
}

// holdsAny reports whether a server holds one of the keys.
func holdsAny(s *standin.Server, keys []uint16) bool {
	for _, k := range keys {
		if _, held := s.Holds(k); held {
			return true
		}
	}
	return false
}
