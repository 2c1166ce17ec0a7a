package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/edge"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// A relay answers before the deadline of the sender, so that the caller gets its reason. The request is not sent again
// in the time that is left.
func TestRelaysAnswerBeforeTheDeadline(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	const timeout = 700 * time.Millisecond
	h := newRelayHarness(t, 3, func(r *platform.Route) { r.Timeout, r.Attempts = timeout, 3 })
	h.edges[0].SetCutOff(true)
	for _, s := range h.servers {
		s.SetFaults(standin.ServerFaults{UnansweredShare: 1})
	}
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			began := time.Now()
			got := h.do(call{path: []string{idempotentPath, oncePath}[i%2]})
			c.Check(got.err, qt.IsNil)
			c.Check(got.status, qt.Equals, http.StatusGatewayTimeout)
			c.Check(got.body, qt.Equals, "deadline_passed\n")
			c.Check(time.Since(began) > timeout-100*time.Millisecond && time.Since(began) < timeout+200*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
			c.Check(h.runs(got), qt.Equals, 1)
		})
	}
	wg.Wait()
	c.Check(h.relayedCount(0, "sent"), qt.Equals, 10)
	c.Check(h.relayedCount(0, "sent", "failed") > 0, qt.IsTrue)
	t.Logf("%d of 10 responses came in time", h.relayedCount(0, "sent", "failed")) // not all on a busy machine
}

// The target of a relayed request gets the time that is left of the caller's.
func TestRelayedRequestsKeepTheDeadline(t *testing.T) {
	c := qt.New(t)
	h := newRelayHarness(t, 2, func(r *platform.Route) { r.Timeout = 1500 * time.Millisecond })
	h.edges[0].SetCutOff(true)
	began := time.Now()
	got := h.do(call{path: idempotentPath})
	runs := requestRuns(got.id, h.servers...)
	c.Assert(runs, qt.HasLen, 1)
	most := 1500*time.Millisecond - runs[0].StartedAt.Sub(began)
	c.Check(runs[0].Timeout > 0 && runs[0].Timeout <= 1500*time.Millisecond, qt.IsTrue)
	c.Check(runs[0].Timeout-most < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%s of %s", runs[0].Timeout, most))
	for _, s := range h.servers {
		s.SetFaults(standin.ServerFaults{UnansweredShare: 1})
	}
	began = time.Now()
	got = h.do(call{path: oncePath})
	c.Check(got.status, qt.Equals, http.StatusGatewayTimeout)
	c.Check(time.Since(began) > 1400*time.Millisecond && time.Since(began) < 1900*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	c.Check(h.runs(got), qt.Equals, 1)
}

// The target stops working on a relayed request when the caller of the sender leaves.
func TestRelayedWorkEndsWhenCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	h := newRelayHarness(t, 2)
	h.edges[0].SetCutOff(true)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		got := h.do(call{path: idempotentPath, method: method, body: "x", timeout: 200 * time.Millisecond, headers: map[string]string{standin.ServiceTimeHeader: "1500ms"}})
		c.Assert(got.err, qt.IsNotNil)
		h.eventually("the run ends", func() bool { return h.runs(got) == 1 && !requestRuns(got.id, h.servers...)[0].EndedAt.IsZero() })
		run := requestRuns(got.id, h.servers...)[0]
		c.Check(run.SenderDisconnected, qt.IsTrue)
		c.Check(run.EndedAt.Sub(run.StartedAt) < 700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", run.EndedAt.Sub(run.StartedAt)))
	}
	h.eventually("no request is in progress", func() bool { return h.edges[0].ActiveRequests() == 0 && h.edges[1].ActiveRequests() == 0 })
}

// All hosts together run a request no more often than its route allows.
func TestAttemptsOfRelayedRequestsAreBounded(t *testing.T) {
	for _, attempts := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newRelayHarness(t, 4, func(r *platform.Route) { r.Attempts = attempts })
			h.edges[0].SetCutOff(true)
			for _, s := range h.servers {
				s.SetFaults(standin.ServerFaults{ErrorShare: 1})
			}
			for i := range 5 {
				got := h.do(call{path: idempotentPath})
				c.Check(got.status, qt.Equals, http.StatusInternalServerError, qt.Commentf("the response of the target is passed on"))
				c.Check(h.runs(got) <= attempts, qt.IsTrue)
				if i == 0 { // the retry budget is not used up yet
					c.Check(h.runs(got), qt.Equals, attempts)
				}
				got = h.do(call{path: oncePath})
				c.Check(got.status, qt.Equals, http.StatusInternalServerError)
				c.Check(h.runs(got), qt.Equals, 1)
			}
		})
	}
}

// A relay that cannot serve a request leads to the next one at once.
func TestRelaysThatDoNotTakeRequests(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(h *relayHarness, host int)
		result  string // as counted by the sender
	}{
		{"cut off", func(h *relayHarness, host int) { h.edges[host].SetCutOff(true) }, "not_taken"},
		{"no configuration", func(h *relayHarness, host int) { h.edges[host].HideConfiguration() }, "not_taken"},
		{"older configuration", func(h *relayHarness, host int) { h.edges[host].BackdateConfiguration() }, "not_taken"},
		{"full", func(h *relayHarness, host int) { h.edges[host].AddRelayed(edge.MaxRelayedRequests) }, "not_taken"},
		{"bodies", func(h *relayHarness, host int) { h.edges[host].ReserveRelayed(edge.MaxRelayedBytes) }, "not_taken"},
		{"not listening", func(h *relayHarness, host int) { _ = h.edges[host].CloseRelayServer() }, "not_sent"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newRelayHarness(t, 4)
			h.isolate(0) // it does not learn which relays have left
			h.edges[0].SetCutOff(true)
			test.prepare(h, 1)
			test.prepare(h, 2)
			for i := range 20 {
				got := h.do(call{path: []string{idempotentPath, oncePath}[i%2], method: http.MethodPost, body: "x"})
				c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
				c.Check(h.runs(got), qt.Equals, 1)
			}
			c.Check(h.relayedCount(0, "sent", test.result) > 0, qt.IsTrue)
			test.prepare(h, 3)
			got := h.do(call{path: oncePath, method: http.MethodPost, body: "x"})
			c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
			_, ok := platform.ReadRetryAfter(got.header)
			c.Check(ok, qt.IsTrue)
			c.Check(h.runs(got), qt.Equals, 0)
		})
	}
}

// Hosts that are cut off at the same time do not pass requests to each other without end: each relay
// listener sees a request once at most, and it is rejected at once.
func TestCutOffHostsDoNotPassRequestsAround(t *testing.T) {
	c := qt.New(t)
	h := newRelayHarness(t, 3)
	for i, e := range h.edges {
		h.isolate(i) // it does not learn that the others are cut off
		e.SetCutOff(true)
	}
	for i := range 9 {
		began := time.Now()
		got := h.do(call{host: i % 3, path: oncePath})
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(got.body, qt.Equals, "cut_off\n")
		c.Check(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
		c.Check(h.runs(got), qt.Equals, 0)
	}
	seen := 0
	for host := range 3 {
		seen += h.relayedCount(host, "served")
	}
	c.Check(seen > 0 && seen <= 2*9, qt.IsTrue, qt.Commentf("%d", seen))
}

// A rejection by the relay because of load is passed on and not tried elsewhere.
func TestRejectionsOfRelaysArePassedOn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newRelayHarness(t, 3)
	h.addKeyed()
	h.configure([]platform.Route{route("none", "/holders/", platform.AtMostOnce), route("accounts", "/keyed/", platform.AtMostOnce)}, plain("none"), keyed("accounts"))
	h.eventually("in force", func() bool {
		return h.do(call{path: oncePath}).status == http.StatusNotFound && h.do(call{host: 1, path: oncePath}).status == http.StatusNotFound &&
			h.do(call{host: 2, path: oncePath}).status == http.StatusNotFound
	})
	h.edges[0].SetCutOff(true)
	got := h.do(call{path: idempotentPath})
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(h.relayedCount(0, "sent", "not_taken"), qt.Equals, 2, qt.Commentf("another host may have targets of the service"))
	got = h.do(call{path: keyedPath, key: key(7)})
	c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("a refusal for one service does not pause the relays"))
	h.servers[4].Drain()
	h.eventually("no target owns the key", func() bool {
		got = h.do(call{path: keyedPath, key: key(7)})
		return got.status == http.StatusServiceUnavailable
	})
	before := h.relayedCount(0, "sent")
	got = h.do(call{path: keyedPath, key: key(7)})
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(got.body, qt.Not(qt.Equals), "cut_off\n")
	_, ok := platform.ReadRetryAfter(got.header)
	c.Check(ok, qt.IsTrue)
	c.Check(h.relayedCount(0, "sent"), qt.Equals, before+1)
	c.Check(h.relayedCount(0, "sent", "rejected") > 0, qt.IsTrue)
}

// A long body whose relay refuses the request is not sent to another one, as its beginning is gone. The caller learns
// that the request has not run.
func TestRefusedStreamedBody(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newRelayHarness(t, 3)
	h.edges[0].SetCutOff(true)
	long := call{path: oncePath, method: http.MethodPost, body: strings.Repeat("x", 3<<20)}
	_ = h.edges[1].CloseRelayServer()
	for range 5 { // a relay that is not reached has read nothing of the body
		got := h.do(long)
		c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s %v", got.body, got.err))
		c.Check(h.runs(got), qt.Equals, 1)
	}
	h.edges[2].AddRelayed(edge.MaxRelayedRequests)
	refused := h.relayedCount(0, "sent", "not_taken")
	h.eventually("refused", func() bool {
		got := h.do(long)
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s %v", got.body, got.err))
		c.Check(h.runs(got), qt.Equals, 0)
		return h.relayedCount(0, "sent", "not_taken") > refused+2
	})
}

// A long body that one relay refuses does not reach the other one without its beginning.
func TestRefusedStreamedBodyIsNotSentOn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newRelayHarness(t, 3)
	h.edges[0].SetCutOff(true)
	h.edges[2].AddRelayed(edge.MaxRelayedRequests)
	h.eventually("refused", func() bool {
		got := h.do(call{path: oncePath, method: http.MethodPost, body: strings.Repeat("x", 3<<20)})
		c.Check(got.err, qt.IsNil)
		c.Check(got.status == http.StatusOK || got.status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d %s", got.status, got.body))
		c.Check(h.runs(got) == 1, qt.Equals, got.status == http.StatusOK)
		return h.relayedCount(0, "sent", "not_taken") > 2
	})
}

// A relay that is cut off while a request waits there gives it back, and another relay serves it.
func TestRelayIsCutOffMidway(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newHarness(t, 3)
	a := h.server(standin.ServerOptions{Name: "a", Service: "stock", Slots: 1})
	h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	for host := range h.edges {
		h.waitServing(host, idempotentPath)
	}
	h.awaitRelays()
	h.edges[0].SetCutOff(true)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var responses []response
	for range 8 {
		wg.Go(func() {
			got := h.do(call{path: idempotentPath, headers: map[string]string{standin.ServiceTimeHeader: "150ms"}})
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, got)
		})
	}
	h.eventually("relayed", func() bool { return h.edges[1].ActiveRequests() > 2 })
	time.Sleep(50 * time.Millisecond) // the requests reach the queue
	h.edges[1].SetCutOff(true)
	h.eventually("given back", func() bool { return h.relayedCount(1, "served", "not_taken") > 0 })
	wg.Wait()
	c.Check(h.relayedCount(1, "sent"), qt.Equals, 0, qt.Commentf("a relayed request is not relayed again"))
	runs := runCounts(a)
	for _, got := range responses {
		c.Check(runs[got.id] <= 1, qt.IsTrue)
		c.Check(runs[got.id] == 1, qt.Equals, got.status == http.StatusOK, qt.Commentf("%d %s", got.status, got.body))
	}
}

// Only the relay counts a relayed request for the load of its host.
func TestRelayedRequestsAreCountedOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newRelayHarness(t, 2)
	h.edges[0].SetCutOff(true)
	before0, before1 := h.edges[0].RequestRate("deposits"), h.edges[1].RequestRate("deposits")
	for range 50 {
		c.Check(h.do(call{path: oncePath}).status, qt.Equals, http.StatusOK)
	}
	c.Check(h.edges[0].RequestRate("deposits") < before0, qt.IsTrue)
	c.Check(h.edges[1].RequestRate("deposits") > before1+5, qt.IsTrue)
}

// A request counts once for the load and the retry budget of its host, however often it is sent.
func TestRetriedRequestsAreCountedOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	h := newRelayHarness(t, 1, func(r *platform.Route) { r.Attempts = 3 })
	for _, s := range h.servers {
		s.SetFaults(standin.ServerFaults{ErrorShare: 1})
	}
	before := h.edges[0].RequestRate("stock")
	got := h.do(call{path: idempotentPath})
	c.Check(h.runs(got), qt.Equals, 3)
	c.Check(h.edges[0].RequestRate("stock") < before+0.5, qt.IsTrue, qt.Commentf("one request adds a third"))
}

// The bodies of the relayed requests that a host holds at once are bounded in bytes. Further requests are refused
// at once and have not run; those without a body are served.
func TestRelayedBodiesAreBounded(t *testing.T) {
	t.Parallel()
	const bodies = 40
	tests := []struct {
		name string
		size int
	}{{"buffered", 1 << 20}, {"streamed", 3 << 19}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, 2)
			var armed atomic.Bool
			var runs atomic.Int64
			served := make(chan struct{})
			h.handlerTarget("a", "stock", func(_ http.ResponseWriter, r *http.Request) {
				if armed.Load() && r.Method == http.MethodPost {
					runs.Add(1)
					<-served
				}
			})
			h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
			h.waitServing(0, idempotentPath)
			h.waitServing(1, idempotentPath)
			h.awaitRelays()
			h.edges[0].SetCutOff(true)
			armed.Store(true)
			var wg sync.WaitGroup
			var ok, refused atomic.Int64
			for range bodies {
				wg.Go(func() {
					got := h.do(call{path: idempotentPath, method: http.MethodPost, body: strings.Repeat("x", test.size)})
					switch {
					case got.status == http.StatusOK:
						ok.Add(1)
					case got.status == http.StatusServiceUnavailable && got.body == "cut_off\n":
						refused.Add(1)
					default:
						c.Check(got.err, qt.IsNil)
						c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
					}
				})
			}
			h.eventually("all have arrived", func() bool { return int64(h.relayedCount(1, "served"))+h.edges[1].ActiveRequests() >= bodies })
			c.Check(h.do(call{path: idempotentPath}).status, qt.Equals, http.StatusOK)
			close(served)
			wg.Wait()
			c.Check(ok.Load(), qt.Equals, runs.Load())
			c.Check(ok.Load() <= edge.MaxRelayedBytes>>20, qt.IsTrue, qt.Commentf("%d bodies were held at once", ok.Load()))
			c.Check(ok.Load() >= edge.MaxRelayedBytes>>20-1, qt.IsTrue, qt.Commentf("%d served", ok.Load()))
			c.Check(ok.Load()+refused.Load(), qt.Equals, int64(bodies))
			got := h.do(call{path: idempotentPath, method: http.MethodPost, body: strings.Repeat("x", test.size)})
			c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("the memory is given back: %s", got.body))
		})
	}
}
