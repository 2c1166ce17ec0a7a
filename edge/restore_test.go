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
	for end := time.Now().Add(applyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for host := range h.edges {
			c.Assert(h.do(call{host: host, path: "/first/1"}).status, qt.Equals, http.StatusNotFound)
		}
	}
	h.configure(routes("/third/"), plain("stock"))
	leaving.Drain()
	changed := time.Now()
	h.eventually("third configuration", func() bool { return h.inForce("/third/1", "/second/1") })
	c.Check(time.Since(changed) <= applyTime, qt.IsTrue, qt.Commentf("in force after %s", time.Since(changed)))
	time.Sleep(time.Until(changed.Add(applyTime)))
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
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.Assert(counts(2), qt.IsTrue)
	}
	h.eventually("one target on both hosts", func() bool { return counts(1) })
}
