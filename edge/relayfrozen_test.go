package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/coordination"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// A relay that accepts connections and then does nothing is found within the deadline of a request: another relay serves the
// request if it may be repeated, and it does not run twice otherwise. Further requests go to the other relay.
func TestFrozenRelay(t *testing.T) {
	tests := []struct {
		name     string
		when     string
		path     string
		attempts int
		body     string
		status   int
	}{
		{"before it has read the request", "at once", idempotentPath, 2, "", http.StatusOK},
		{"before it has read the request, with a body", "at once", idempotentPath, 2, "x", http.StatusOK},
		{"while it serves the request", "later", idempotentPath, 2, "", http.StatusOK},
		{"before it has read the request, one attempt", "at once", idempotentPath, 1, "", http.StatusGatewayTimeout},
		{"while it serves the request, one attempt", "later", idempotentPath, 1, "", http.StatusGatewayTimeout},
		{"before it has read the request, once only", "at once", oncePath, 2, "x", http.StatusGatewayTimeout},
		{"while it serves the request, once only", "later", oncePath, 2, "x", http.StatusGatewayTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newRelayHarness(t, 3, func(r *platform.Route) { r.Attempts, r.Timeout = test.attempts, 1500*time.Millisecond })
			h.isolate(0)
			proxy := newCountingProxy(t, h.settings[1].RelayAddress)
			frozen := coordination.Relay{Host: h.settings[1].Host, DataCentre: h.settings[0].DataCentre, Address: proxy.address}
			other := coordination.Relay{Host: h.settings[2].Host, DataCentre: "elsewhere", Address: h.settings[2].RelayAddress}
			h.edges[0].SetRelays([]coordination.Relay{frozen, other})
			h.edges[0].SetCutOff(true)
			c.Assert(h.do(call{path: test.path, method: http.MethodPost}).status, qt.Equals, http.StatusOK)
			c.Assert(h.relayedCount(1, "served"), qt.Equals, 1, qt.Commentf("the relay of the own data centre is preferred"))
			proxy.frozen.Store(test.when == "at once")
			served, began, took := make(chan response, 1), time.Now(), time.Duration(0)
			go func() {
				got := h.do(call{path: test.path, method: http.MethodPost, body: test.body, headers: map[string]string{standin.ServiceTimeHeader: "300ms"}})
				took = time.Since(began)
				served <- got
			}()
			if test.when == "later" {
				h.eventually("the request runs", func() bool { return len(h.running()) == 1 })
				proxy.frozen.Store(true)
			}
			time.Sleep(600 * time.Millisecond) // the sender finds out
			var wg sync.WaitGroup
			for range 5 {
				wg.Go(func() {
					got := h.do(call{path: oncePath, method: http.MethodPost, body: "y"})
					c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("later request: %s", got.body))
					c.Check(h.runs(got), qt.Equals, 1)
				})
			}
			wg.Wait()
			got := <-served
			c.Check(got.status, qt.Equals, test.status, qt.Commentf("%s after %s", fmt.Sprint(got.body, got.err), took))
			c.Check(took < 1700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
			proxy.frozen.Store(false)
			time.Sleep(300 * time.Millisecond) // the relay goes on with what it has received
			h.eventually("the relay gets requests again", func() bool {
				before := h.relayedCount(1, "served")
				c.Check(h.do(call{path: oncePath}).status, qt.Equals, http.StatusOK)
				return h.relayedCount(1, "served") > before
			})
			runs := h.runs(got)
			c.Check(runs <= test.attempts && (runs <= 1 || test.path == idempotentPath), qt.IsTrue, qt.Commentf("%d runs", runs))
		})
	}
}

// A relay whose targets are slow answers checks, and its requests stay with it.
func TestSlowTargetIsNoFrozenRelay(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newRelayHarness(t, 3)
	h.edges[0].SetCutOff(true)
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			got := h.do(call{path: idempotentPath, headers: map[string]string{standin.ServiceTimeHeader: "1400ms"}})
			c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
			c.Check(h.runs(got), qt.Equals, 1)
		})
	}
	wg.Wait()
	c.Check(h.relayedCount(0, "sent"), qt.Equals, 6)
}
