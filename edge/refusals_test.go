package edge_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// Operators see from the metrics of which route requests are refused, and why. The status alone doesn't
// tell a lack of targets from a lack of slots.
func TestRefusalsAreCountedByReasonAndRoute(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	h.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, plain("stock"))
	h.eventually("configured", func() bool { return h.do(call{path: "/other"}).status == http.StatusNotFound })
	c.Check(h.do(call{path: "/holders/1"}).status, qt.Equals, http.StatusServiceUnavailable)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.settings[0].MetricsAddress.String()+"/metrics", nil)
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(resp.Body.Close(), qt.IsNil) }()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Contains, `redwingtally_refusals_total{reason="no_target",route="/holders/",service="stock"} 1`)
	c.Check(string(body), qt.Not(qt.Contains), `reason="no_route"`)
}

// Requests that were rejected after a wait counted as if they had not waited, in the metrics and in the log.
func TestRejectedRequestsCountTheirWait(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	h.server(standin.ServerOptions{Name: "a", Service: "stock", Slots: 1})
	h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	h.waitServing(0, "/holders/1")
	waited := func() int { // requests that waited for more than 128 ms
		return h.metric(0, "redwingtally_queue_seconds_count") - h.metric(0, "redwingtally_queue_seconds_bucket", `le="0.128"`)
	}
	c.Assert(waited(), qt.Equals, 0)
	var wg sync.WaitGroup
	var rejected atomic.Int64
	for range 12 {
		wg.Go(func() {
			r := h.do(call{path: "/holders/1", method: http.MethodPost, headers: map[string]string{standin.ServiceTimeHeader: "5s"}})
			if r.status == http.StatusServiceUnavailable && r.body == "starved\n" {
				rejected.Add(1)
			}
		})
	}
	wg.Wait()
	c.Assert(rejected.Load() > 0, qt.IsTrue)
	c.Check(waited() > 0, qt.IsTrue)
}
