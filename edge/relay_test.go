package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/coordination"
	"github.com/redwingtally/redwingtally/edge"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// A host that is cut off serves its callers through another host. Every request runs
// once, and the whole response arrives.
func TestCutOffHostServesThroughRelay(t *testing.T) {
	t.Parallel()
	h := newRelayHarness(t, 3)
	h.addKeyed()
	h.edges[0].SetCutOff(true)
	tests := []struct {
		name string
		call call
		size int
	}{
		{"idempotent", call{path: idempotentPath + "?q=1"}, 0},
		{"once only", call{path: oncePath, method: http.MethodPost, body: "deposit"}, 0},
		{"keyed", call{path: keyedPath, method: http.MethodPost, body: "x", key: key(7)}, 0},
		{"body of 900 kB", call{path: oncePath, method: http.MethodPost, body: strings.Repeat("x", 900<<10)}, 0},
		{"streamed body", call{path: oncePath, method: http.MethodPost, body: strings.Repeat("x", 3<<20)}, 0},
		{"chunked body", call{path: idempotentPath, method: http.MethodPost, body: strings.Repeat("x", 3<<20), chunked: true}, 0},
		{"long response", call{path: idempotentPath}, 2000000},
		{"body over the limit", call{path: idempotentPath, method: http.MethodPost, body: strings.Repeat("x", 5<<20)}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			if test.size > 0 {
				test.call.headers = map[string]string{standin.ResponseSizeHeader: strconv.Itoa(test.size)}
			}
			got := h.do(test.call)
			c.Assert(got.err, qt.IsNil)
			if test.size < 0 {
				c.Check(got.status, qt.Equals, http.StatusRequestEntityTooLarge)
				c.Check(h.runs(got), qt.Equals, 0)
				return
			}
			c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
			meta := platform.ReadResponseMeta(got.status, got.header)
			c.Check(meta.Signed, qt.IsTrue)
			c.Check(meta.ID, qt.Equals, got.id)
			c.Check(strings.HasSuffix(got.body, "took "+strconv.Itoa(len(test.call.body))+" bytes from "+got.id+"\n"), qt.IsTrue)
			c.Check(len(got.body) >= test.size, qt.IsTrue)
			c.Check(h.runs(got), qt.Equals, 1)
			for name := range got.header {
				c.Check(strings.HasPrefix(name, "Relay-") || name == "Keep-Alive", qt.IsFalse, qt.Commentf("%s reached the caller", name))
			}
		})
	}
	qt.Check(t, h.relayedCount(0, "sent", "response"), qt.Equals, len(tests)-1)
	h.edges[0].SetCutOff(false)
	before := h.relayedCount(0, "sent")
	qt.Check(t, h.do(call{path: idempotentPath}).status, qt.Equals, http.StatusOK)
	qt.Check(t, h.relayedCount(0, "sent"), qt.Equals, before, qt.Commentf("the host uses its own path again"))
}

// Requests that wait for a slot when the cut begins are passed on at once.
func TestQueuedRequestsArePassedOn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(t, 2)
	a := h.server(standin.ServerOptions{Name: "a", Service: "stock", Slots: 1})
	h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	h.waitServing(0, "/holders/1")
	h.waitServing(1, "/holders/1")
	h.awaitRelays()
	var wg sync.WaitGroup
	defer wg.Wait()
	for range 6 {
		wg.Go(func() { h.do(call{path: "/holders/1", headers: map[string]string{standin.ServiceTimeHeader: "300ms"}}) })
	}
	h.eventually("requests are in progress", func() bool { return h.edges[0].ActiveRequests() == 6 })
	time.Sleep(50 * time.Millisecond) // the requests reach the queue
	h.edges[0].SetCutOff(true)
	h.eventually("passed on", func() bool { return h.relayedCount(1, "served") > 0 || h.edges[1].ActiveRequests() > 0 })
	wg.Wait()
	for id, n := range runCounts(a) {
		c.Check(n, qt.Equals, 1, qt.Commentf(id))
	}
}

// Attempts that hang when the cut begins are given up if their requests may run again, and the requests are passed on.
// One without an attempt left is answered at once, as its caller may repeat it; one that may run once stays with its target.
func TestHangingAttemptsArePassedOn(t *testing.T) {
	tests := []struct {
		path     string
		attempts int
		status   int
	}{{idempotentPath, 2, http.StatusOK}, {idempotentPath, 1, http.StatusBadGateway}, {oncePath, 2, http.StatusGatewayTimeout}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.path, test.attempts), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newNetworkedRelayHarness(t, 2, func(r *platform.Route) { r.Timeout, r.Attempts = 1200*time.Millisecond, test.attempts })
			h.openConnections(0, test.path)
			h.cutOffTargets(0, hang)
			responses, began := make(chan response, 1), time.Now()
			counted := h.edges[1].RequestRate("stock")
			go func() { responses <- h.do(call{path: test.path}) }()
			h.eventually("in progress", func() bool { return h.edges[0].ActiveRequests() > 0 })
			time.Sleep(300 * time.Millisecond) // the request is sent and waits
			h.edges[0].SetCutOff(true)
			got := <-responses
			if runs := requestRuns(got.id, h.servers...); test.status == http.StatusOK {
				c.Check(runs[len(runs)-1].Timeout <= 900*time.Millisecond, qt.IsTrue, qt.Commentf("the time at the first target is gone: %s", runs[len(runs)-1].Timeout))
				c.Check(h.edges[1].RequestRate("stock") <= counted, qt.IsTrue, qt.Commentf("the sender has counted the request"))
			}
			c.Check(got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
			c.Check(time.Since(began) < 800*time.Millisecond, qt.Equals, test.path == idempotentPath, qt.Commentf("%s", time.Since(began)))
			c.Check(h.runs(got) <= test.attempts, qt.IsTrue)
			if test.path == oncePath {
				c.Check(h.runs(got) <= 1, qt.IsTrue)
			}
		})
	}
}

// A response that a target truncates does not look complete to the caller of the sender.
func TestTruncatedRelayedResponseIsIncomplete(t *testing.T) {
	t.Parallel()
	h := newRelayHarness(t, 2)
	h.edges[0].SetCutOff(true)
	for _, s := range h.servers {
		s.SetFaults(standin.ServerFaults{TruncatedShare: 1})
	}
	for _, size := range []string{"100", "2000000"} {
		got := h.do(call{path: oncePath, headers: map[string]string{standin.ResponseSizeHeader: size}})
		qt.Check(t, got.err != nil || got.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("%s: %d", size, got.status))
		qt.Check(t, h.runs(got), qt.Equals, 1)
	}
}

// A relay that is lost while it serves a request may have run it: a request that may run once is answered 502
// and not sent again; another is served by the next relay.
func TestLostRelay(t *testing.T) {
	tests := []struct {
		path     string
		attempts int
		status   int
	}{{oncePath, 2, http.StatusBadGateway}, {idempotentPath, 2, http.StatusOK}, {idempotentPath, 1, http.StatusBadGateway}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.path, test.attempts), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newRelayHarness(t, 3, func(r *platform.Route) { r.Attempts = test.attempts })
			h.edges[0].SetCutOff(true)
			responses := make(chan response, 1)
			go func() {
				responses <- h.do(call{path: test.path, headers: map[string]string{standin.ServiceTimeHeader: "400ms"}})
			}()
			lost := 0
			h.eventually("a relay serves the request", func() bool {
				for host := 1; host <= 2; host++ {
					if h.edges[host].ActiveRequests() > 0 {
						lost = host
					}
				}
				return lost > 0
			})
			h.eventually("the request runs", func() bool { return len(h.running()) > 0 })
			c.Assert(h.edges[lost].CloseRelayServer(), qt.IsNil)
			got := <-responses
			c.Check(got.err, qt.IsNil)
			c.Check(got.status, qt.Equals, test.status, qt.Commentf("%s", got.body))
			c.Check(h.runs(got) <= test.attempts, qt.IsTrue)
			if test.status != http.StatusOK {
				c.Check(h.runs(got), qt.Equals, 1)
				c.Check(h.relayedCount(3-lost, "served"), qt.Equals, 0)
			}
		})
	}
}

// running returns the IDs of the requests that run.
func (h *relayHarness) running() []string {
	var out []string
	for _, s := range h.servers {
		for _, run := range s.Runs() {
			if run.EndedAt.IsZero() {
				out = append(out, run.ID)
			}
		}
	}
	return out
}

// Neither host that stops cuts a request: a relay finishes those it has taken and refuses others, and a
// stopping sender passes its remaining ones on.
func TestStoppingHostsCutNoRelayedRequest(t *testing.T) {
	for stopping, name := range []string{"sender", "relay"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newRelayHarness(t, 3)
			h.edges[0].SetCutOff(true)
			var wg sync.WaitGroup
			defer wg.Wait()
			var mu sync.Mutex
			var responses []response
			for i := range 24 {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 100 * time.Millisecond) // covers different phases of the shutdown
					got := h.do(call{path: oncePath, method: http.MethodPost, body: "x", headers: map[string]string{standin.ServiceTimeHeader: "900ms"}})
					mu.Lock()
					defer mu.Unlock()
					responses = append(responses, got)
				})
			}
			h.eventually("requests run", func() bool { return len(h.running()) > 2 })
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			c.Check(h.edges[stopping].Shutdown(ctx), qt.IsNil)
			c.Check(ctx.Err(), qt.IsNil)
			c.Check(h.edges[stopping].ActiveRequests(), qt.Equals, int64(0))
			wg.Wait()
			for _, got := range responses {
				c.Check(got.err, qt.IsNil)
				c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
				c.Check(h.runs(got), qt.Equals, 1)
			}
		})
	}
}

// Headers between hosts that a caller sends have no effect and reach no target.
func TestCallersCannotSendRelayHeaders(t *testing.T) {
	t.Parallel()
	forged := map[string]string{
		"Relay-Configuration": "999", "Relay-Attempts": "9", "Relay-Counted": "1", "Relay-Caller-Retry": "1", "Relay-Result": "response", "Relay-Elapsed-Ms": "5",
	}
	for _, cutOff := range []bool{false, true} {
		c := qt.New(t)
		h := newHarness(t, 2)
		received := h.recordingTarget("a", "stock")
		h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
		h.waitServing(0, idempotentPath)
		h.waitServing(1, idempotentPath)
		h.awaitRelays()
		h.edges[0].SetCutOff(cutOff)
		for len(received) > 0 {
			<-received
		}
		got := h.do(call{path: idempotentPath, headers: forged})
		c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
		header := <-received
		for name := range header {
			c.Check(strings.HasPrefix(name, "Relay-"), qt.IsFalse, qt.Commentf("%s reached the target", name))
		}
		c.Check(h.relayedCount(0, "served")+h.relayedCount(1, "served"), qt.Equals, map[bool]int{false: 0, true: 1}[cutOff])
	}
}

// A host that is cut off is ready as long as it knows relays.
func TestReadinessOfACutOffHost(t *testing.T) {
	c := qt.New(t)
	h := newRelayHarness(t, 2)
	h.isolate(0)
	h.edges[0].SetCutOff(true)
	c.Check(h.readyStatus(0), qt.Equals, http.StatusOK)
	h.edges[0].SetRelays(nil)
	c.Check(h.readyStatus(0), qt.Equals, http.StatusServiceUnavailable)
	began := time.Now()
	got := h.do(call{path: oncePath})
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(time.Since(began) < 300*time.Millisecond, qt.IsTrue)
	h.edges[0].SetCutOff(false)
	c.Check(h.readyStatus(0), qt.Equals, http.StatusOK)
}

// The connections between hosts are bounded, and are closed when their relay leaves the list.
func TestRelayConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newRelayHarness(t, 2)
	h.isolate(0)
	proxy := newCountingProxy(t, h.settings[1].RelayAddress)
	h.edges[0].SetRelays([]coordination.Relay{{Host: h.settings[1].Host, Address: proxy.address}})
	h.edges[0].SetCutOff(true)
	for range 5 {
		var wg sync.WaitGroup
		for range 30 {
			wg.Go(func() { h.do(call{path: idempotentPath}) })
		}
		wg.Wait()
		h.eventually("connections above the limit are closed", func() bool { return proxy.open.Load() <= edge.MaxIdleRelayConnections })
	}
	c.Check(proxy.open.Load() > 0, qt.IsTrue, qt.Commentf("connections are kept for further requests"))
	opened := proxy.opened.Load()
	c.Check(h.do(call{path: idempotentPath}).status, qt.Equals, http.StatusOK)
	c.Check(proxy.opened.Load(), qt.Equals, opened)
	h.edges[0].SetRelays(nil)
	h.eventually("closed", func() bool { return proxy.open.Load() == 0 })
}
