package edge_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// A target neither removes nor forges what a relay states with its response, and its response reaches the caller as without a relay.
func TestTargetsDoNotChangeRelayHeaders(t *testing.T) {
	h := newHarness(t, 2)
	var runs atomic.Int64
	var header atomic.Pointer[http.Header]
	h.handlerTarget("target", "deposits", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, oncePath) {
			runs.Add(1)
			for name, values := range *header.Load() {
				w.Header()[name] = values
			}
		}
		_, _ = io.WriteString(w, "whole response")
	})
	h.configure([]platform.Route{route("deposits", "/", platform.AtMostOnce)}, plain("deposits"))
	h.waitServing(0, "/")
	h.waitServing(1, "/")
	h.awaitRelays()
	tests := []struct {
		name   string
		header http.Header
	}{
		{"result removed", http.Header{"Connection": {"relay-result"}}},
		{"all removed", http.Header{"Connection": {"keep-alive, Relay-Result, RELAY-ATTEMPTS, relay-id-added, relay-counted"}}},
		{"request ID removed", http.Header{"Connection": {"x-redwingtally-request-id"}}},
		{"signature removed", http.Header{"Connection": {"x-redwingtally-server-stamp"}}},
		{"result forged", http.Header{"Relay-Result": {"not_taken"}, "Relay-Attempts": {"0"}}},
		{"removed and forged", http.Header{"Connection": {"relay-result"}, "Relay-Result": {"not_taken", "rejected"}, "Relay-Attempts": {"0"}}},
		{"unavailable forged", http.Header{"Relay-Unavailable": {"1"}, "Relay-Id-Added": {"1"}, "Relay-Counted": {"1"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			header.Store(&test.header)
			for _, cutOff := range []bool{false, true, true} { // the last one is sent on a reused connection
				h.edges[0].SetCutOff(cutOff)
				before, passed := runs.Load(), h.relayedCount(0, "sent", "response")
				got := h.do(call{path: oncePath})
				comment := qt.Commentf("cut off: %v: %s %v", cutOff, got.body, got.err)
				c.Check(got.err, qt.IsNil, comment)
				c.Check(got.status, qt.Equals, http.StatusOK, comment)
				c.Check(got.body, qt.Equals, "whole response", comment)
				c.Check(runs.Load()-before, qt.Equals, int64(1), comment)
				c.Check(h.relayedCount(0, "sent", "response")-passed, qt.Equals, map[bool]int{true: 1}[cutOff], comment)
				id := platform.ReadRequestMeta(got.header).ID
				c.Check(id == got.id, qt.Equals, test.name != "request ID removed", comment)
			}
		})
	}
}
