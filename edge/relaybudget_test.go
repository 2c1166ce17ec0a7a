package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// Every time that a request is sent to a target again is charged to the retry budget of one host, whichever
// hosts send it; without a budget it is not sent again.
func TestRelayedRetriesAreCharged(t *testing.T) {
	rejected := func(w http.ResponseWriter) {
		platform.SetResponseMeta(w.Header(), "a", platform.ResponseMeta{NotExecuted: true})
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	failed := func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }
	// A host rejects requests that wait after their objective has passed, which they reach on a busy machine.
	unhurried := func(r *platform.Route) { r.Objective = r.Timeout }
	type answers []func(w http.ResponseWriter) // of the first arrivals; nil does not answer, the others get 200
	tests := []struct {
		name     string
		path     string
		answers  answers
		cutOff   bool // the relay is cut off when its first attempt has arrived
		attempts int
	}{
		{"rejected", oncePath, answers{rejected}, false, 2},
		{"rejected twice", oncePath, answers{rejected, rejected}, false, 2},
		{"rejected at a relay that is cut off then", oncePath, answers{rejected}, true, 2},
		{"failed", idempotentPath, answers{failed}, false, 2},
		{"failed twice", idempotentPath, answers{failed, failed}, false, 3},
		{"failed at a relay that is cut off then", idempotentPath, answers{failed}, true, 2},
		{"failed at a relay that is cut off then, with an attempt left", idempotentPath, answers{failed}, true, 3},
		{"given up by a relay that is cut off then, with an attempt left", idempotentPath, answers{nil}, true, 3},
	}
	for _, test := range tests {
		for _, extra := range []float64{0, 40} {
			name := test.name
			if extra == 0 {
				name += ", without a budget"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				h := newHarness(t, 4, func(h *harness) { h.retryRatio, h.retryExtra = 0, extra })
				var mu sync.Mutex
				var armed bool
				arrivals := 0
				target := func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					arrival := -1
					if armed {
						arrival = arrivals
						arrivals++
					}
					mu.Unlock()
					if test.cutOff && arrival == 0 {
						for _, e := range h.edges[1:] {
							if e.ActiveRequests() > 0 {
								e.SetCutOff(true)
							}
						}
					}
					switch {
					case arrival < 0 || arrival >= len(test.answers):
					case test.answers[arrival] != nil:
						test.answers[arrival](w)
					default:
						select {
						case <-r.Context().Done():
						case <-time.After(time.Second):
						}
					}
				}
				h.handlerTarget("a", "stock", target)
				h.configure([]platform.Route{
					route("stock", "/holders/", platform.Idempotent, unhurried, func(r *platform.Route) { r.Attempts = test.attempts }),
					route("stock", "/confirm/", platform.AtMostOnce, unhurried),
				}, plain("stock"))
				for host := range h.edges {
					h.waitServing(host, test.path)
				}
				h.awaitRelays()
				h.edges[0].SetCutOff(true)
				left := func() (n int) {
					for _, e := range h.edges {
						n += e.RetriesLeft("stock", len(h.edges))
					}
					return n
				}
				before := left()
				mu.Lock()
				armed = true
				mu.Unlock()
				got := h.do(call{path: test.path})
				mu.Lock()
				defer mu.Unlock()
				want := len(test.answers) + 1
				if extra == 0 {
					want = 1
				}
				c.Check(arrivals, qt.Equals, want, qt.Commentf("%d %s", got.status, got.body))
				c.Check(before-left(), qt.Equals, arrivals-1)
				c.Check(got.status == http.StatusOK, qt.Equals, want > 1, qt.Commentf("%d %s", got.status, got.body))
			})
		}
	}
}
