package edge_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/edge"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/relay"
)

// TestResponseWithoutIDIsRelayed guards against a caller that waits until its deadline for a failure that a target sends
// without the ID of the request: on a reused connection between hosts such a response belonged to no request.
func TestResponseWithoutIDIsRelayed(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		meta := platform.ResponseMeta{ID: platform.ReadRequestMeta(r.Header).ID, Signed: true}
		if r.URL.RawQuery == "fail" {
			meta.ID = ""
		}
		platform.SetResponseMeta(w.Header(), "target", meta)
		w.Header().Set("Connection", "close") // each response is the first one on its connection
		if meta.ID == "" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	t.Cleanup(server.Close)
	entry, err := platform.EncodeTarget(platform.Target{
		Name: "target", StartedAt: time.Now(), Service: "stock", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 2,
	}, 1)
	c.Assert(err, qt.IsNil)
	_, err = h.store.Put(context.Background(), platform.KindTargets, "target", entry, platform.Unconditional())
	c.Assert(err, qt.IsNil)
	h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	h.waitServing(0, "/holders/1")
	h.waitServing(1, "/holders/1")
	h.awaitRelays()
	for _, cutOff := range []bool{false, true} {
		h.edges[0].SetCutOff(cutOff)
		for range 2 { // the second one is sent on a reused connection
			c.Check(h.do(call{host: 0, path: "/holders/1"}).status, qt.Equals, http.StatusOK)
		}
		got := h.do(call{host: 0, path: "/holders/1?fail"})
		c.Check(got.status, qt.Equals, http.StatusInternalServerError, qt.Commentf("cut off: %v", cutOff))
		c.Check(platform.ReadRequestMeta(got.header).ID, qt.Equals, "")
		c.Check(h.do(call{host: 0, path: "/holders/1"}).status, qt.Equals, http.StatusOK)
	}
}

// A relay says whether it takes no requests at all, or only not this one.
func TestRelaysStateWhetherTheyTakeRequests(t *testing.T) {
	t.Parallel()
	nothing := func(*harness) {}
	tests := []struct {
		name        string
		prepare     func(*harness)
		stated      relay.Request
		kind        relay.Kind
		unavailable bool
	}{
		{"served", nothing, relay.Request{Attempts: 1}, relay.Response, false},
		{"no targets of the service", func(h *harness) {
			h.configure([]platform.Route{route("none", "/holders/", platform.AtMostOnce)}, plain("none"))
			h.eventually("in force", func() bool { return h.do(call{path: idempotentPath}).status == http.StatusServiceUnavailable })
		}, relay.Request{Attempts: 1, Counted: true}, relay.NotTaken, false},
		{"older configuration", nothing, relay.Request{Configuration: 99, Attempts: 1}, relay.NotTaken, false},
		{"malformed headers", nothing, relay.Request{}, relay.NotTaken, false},
		{"full", func(h *harness) { h.edges[0].AddRelayed(edge.MaxRelayedRequests) }, relay.Request{Attempts: 1}, relay.NotTaken, false},
		{"targets ask for no requests", func(h *harness) { h.edges[0].Withhold("stock", time.Minute) }, relay.Request{Attempts: 1}, relay.NotTaken, false},
		{"cut off", func(h *harness) { h.edges[0].SetCutOff(true) }, relay.Request{Attempts: 1}, relay.NotTaken, true},
		{"no configuration", func(h *harness) { h.edges[0].HideConfiguration() }, relay.Request{Attempts: 1}, relay.NotTaken, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newHarness(t, 1)
			h.handlerTarget("a", "stock", func(http.ResponseWriter, *http.Request) {})
			h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
			h.waitServing(0, idempotentPath)
			test.prepare(h)
			got, err := relay.ReadResult(h.doRelayed(0, test.stated).header)
			c.Assert(err, qt.IsNil)
			c.Check(got.Kind, qt.Equals, test.kind)
			c.Check(got.Unavailable, qt.Equals, test.unavailable)
		})
	}
}
