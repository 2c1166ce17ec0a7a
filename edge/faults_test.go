package edge_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// waitServing waits until a host serves requests for a path.
func (h *harness) waitServing(host int, path string) {
	h.eventually("served", func() bool { return h.do(call{host: host, path: path}).status == http.StatusOK })
}

// requestRuns returns the runs of the request with the given ID.
func requestRuns(id string, servers ...*standin.Server) []standin.Run {
	var out []standin.Run
	for _, s := range servers {
		for _, run := range s.Runs() {
			if run.ID == id {
				out = append(out, run)
			}
		}
	}
	return out
}

// A target receives the remaining time of the caller or of the route, whichever is
// less.
func TestTargetsReceiveRemainingTime(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	a := h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{
		route("stock", "/long/", platform.Idempotent),
		route("stock", "/short/", platform.Idempotent, func(r *platform.Route) { r.Timeout = 700 * time.Millisecond }),
		route("stock", "/patient/", platform.Idempotent, func(r *platform.Route) { r.Timeout = time.Minute }),
	}, plain("stock"))
	h.waitServing(0, "/long/1")
	tests := []struct {
		path string
		most time.Duration
	}{
		{"/long/1", callerTimeout}, {"/short/1", 700 * time.Millisecond}, {"/patient/1", callerTimeout},
	}
	for _, test := range tests {
		runs := requestRuns(h.do(call{path: test.path}).id, a)
		c.Assert(runs, qt.HasLen, 1)
		c.Check(runs[0].Timeout > test.most/2 && runs[0].Timeout <= test.most, qt.IsTrue, qt.Commentf("%s: %s", test.path, runs[0].Timeout))
	}
}

// The host responds at the route's timeout to a request whose target does not respond.
func TestHostRespondsAtRouteTimeout(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	h.server(standin.ServerOptions{Name: "a", Service: "stock"}).SetFaults(standin.ServerFaults{})
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout = 300 * time.Millisecond }),
	}, plain("stock"))
	h.waitServing(0, "/holders/1")
	lost := h.server(standin.ServerOptions{Name: "b", Service: "lost"})
	lost.SetFaults(standin.ServerFaults{UnansweredShare: 1})
	h.configure([]platform.Route{
		route("lost", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout = 300 * time.Millisecond }),
	}, plain("lost"))
	h.eventually("sent to the target that loses responses", func() bool { return len(requestRuns(h.do(call{path: "/holders/1"}).id, lost)) == 1 })
	began := time.Now()
	got := h.do(call{path: "/holders/1"})
	took := time.Since(began)
	c.Check(got.status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", got.body))
	c.Check(took >= 250*time.Millisecond && took < 800*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
}

// The number of attempts is limited by the route. The last error response of a
// target is passed on.
func TestAttemptsAreBounded(t *testing.T) {
	for _, attempts := range []int{1, 2, 3} {
		c := qt.New(t)
		h := newHarness(t, 1)
		servers := make([]*standin.Server, 0, 4)
		for _, name := range []string{"a", "b", "d", "e"} {
			servers = append(servers, h.server(standin.ServerOptions{Name: name, Service: "stock"}))
		}
		h.configure([]platform.Route{
			route("stock", "/holders/", platform.Idempotent, func(r *platform.Route) { r.Attempts = attempts }),
		}, plain("stock"))
		h.waitServing(0, "/holders/1")
		for _, s := range servers {
			s.SetFaults(standin.ServerFaults{ErrorShare: 1})
		}
		got := h.do(call{path: "/holders/1"})
		c.Check(got.status, qt.Equals, http.StatusInternalServerError, qt.Commentf("the error response of the target is passed on"))
		c.Check(requestRuns(got.id, servers...), qt.HasLen, attempts)
	}
}

const (
	// crashWindow is the time after the third crash in which the rules still allow the request to reach targets. Then
	// all hosts must reject it.
	crashWindow = 3 * time.Second
	// maxCrashesPerHost is the number of targets that a request can crash through a host that has received no
	// reports of other crashes.
	maxCrashesPerHost = 2
)

// After a request has crashed two targets with no response in between, no host that
// has received the reports sends it to another target.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 2)
	servers := make([]*standin.Server, 0, 6)
	for _, name := range []string{"a", "b", "d", "e", "f", "g"} {
		servers = append(servers, h.server(standin.ServerOptions{Name: name, Service: "stock"}))
	}
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.Idempotent, func(r *platform.Route) { r.Attempts = 1 }),
	}, plain("stock"))
	h.waitServing(0, "/holders/1")
	h.waitServing(1, "/holders/1")
	// A host that has only the crashed target would reject the request because it has no other.
	h.eventually("all targets are received", func() bool {
		return h.edges[0].TargetCount("stock") == len(servers) && h.edges[1].TargetCount("stock") == len(servers)
	})
	crashes := func() int {
		n := 0
		for _, s := range servers {
			for _, run := range s.Runs() {
				if run.EndedAt.IsZero() {
					n++
				}
			}
		}
		return n
	}
	poison := func(host int) response {
		return h.do(call{host: host, path: "/holders/poison", headers: map[string]string{standin.CrashHeader: "1"}})
	}
	c.Assert(poison(0).status, qt.Equals, http.StatusBadGateway)
	got := h.do(call{path: "/holders/poison"})
	c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("response clears the suspicion: %s", got.body))
	for crashes() < 3 {
		c.Assert(poison(0).status, qt.Equals, http.StatusBadGateway)
	}
	third := time.Now()
	h.eventually("rejected by the other host", func() bool { return poison(1).status == http.StatusServiceUnavailable })
	c.Check(time.Since(third) < crashWindow, qt.IsTrue)
	after := crashes()
	for range 5 {
		c.Check(poison(0).status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(poison(1).status, qt.Equals, http.StatusServiceUnavailable)
	}
	c.Check(crashes(), qt.Equals, after)
	c.Check(after <= 3+maxCrashesPerHost, qt.IsTrue, qt.Commentf("%d targets crashed", after))
	c.Check(h.do(call{path: "/holders/other"}).status, qt.Equals, http.StatusOK)
}

// A target stops working on a request when the caller disconnects.
func TestTargetWorkEndsWhenCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	a := h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.Idempotent, func(r *platform.Route) { r.Timeout = time.Minute }),
	}, plain("stock"))
	h.waitServing(0, "/holders/1")
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		got := h.do(call{path: "/holders/1", method: method, body: "x", timeout: 200 * time.Millisecond, headers: map[string]string{standin.ServiceTimeHeader: "1500ms"}})
		c.Assert(got.err, qt.IsNotNil)
		h.eventually("the run ends", func() bool { return len(requestRuns(got.id, a)) == 1 && !requestRuns(got.id, a)[0].EndedAt.IsZero() })
		run := requestRuns(got.id, a)[0]
		c.Check(run.SenderDisconnected, qt.IsTrue)
		c.Check(run.EndedAt.Sub(run.StartedAt) < 700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", run.EndedAt.Sub(run.StartedAt)))
	}
}

// A request must not run at a target of another service that reuses the address of
// a removed target.
func TestReusedAddressRunsNoRequest(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	other := h.server(standin.ServerOptions{Name: "other", Service: "deposits"})
	entry, err := platform.EncodeTarget(platform.Target{Name: "gone", StartedAt: time.Now(), Service: "stock", Address: other.Address(), Slots: 2}, 1)
	c.Assert(err, qt.IsNil)
	_, err = h.store.Put(context.Background(), platform.KindTargets, "gone", entry, platform.Unconditional())
	c.Assert(err, qt.IsNil)
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.Idempotent), route("deposits", "/deposits/", platform.Idempotent),
	}, plain("stock"), plain("deposits"))
	h.waitServing(0, "/deposits/1")
	for range 5 {
		got := h.do(call{path: "/holders/1"})
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(requestRuns(got.id, other), qt.HasLen, 0)
	}
}

// A long response that is truncated after its first part was passed on must not
// look complete.
func TestTruncatedLongResponseIsIncomplete(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	a := h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	h.waitServing(0, "/holders/1")
	long := call{path: "/holders/1", headers: map[string]string{standin.ResponseSizeHeader: "2000000"}}
	complete := h.do(long)
	c.Check(complete.err, qt.IsNil)
	c.Check(complete.body, qt.HasLen, 2000000)
	a.SetFaults(standin.ServerFaults{TruncatedShare: 1})
	c.Check(h.do(long).err, qt.IsNotNil)
}

// A request that runs at a target whose entry lapses is neither given up nor run again: the
// target may only be slow to report.
func TestRunningRequestsSurviveALapsedEntry(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, 1)
			a, b := h.server(standin.ServerOptions{Name: "a", Service: "stock"}), h.server(standin.ServerOptions{Name: "b", Service: "stock"})
			h.configure([]platform.Route{
				route("stock", "/holders/", platform.Idempotent, func(r *platform.Route) { r.Timeout = time.Minute }),
			}, plain("stock"))
			h.waitServing(0, "/holders/1")
			responses, before := make(chan response, 1), len(a.Runs())+len(b.Runs())
			go func() {
				responses <- h.do(call{path: "/holders/1", method: method, body: "x", headers: map[string]string{standin.ServiceTimeHeader: "1s"}})
			}()
			h.eventually("the request runs", func() bool { return len(a.Runs())+len(b.Runs()) > before })
			for _, name := range []string{"a", "b"} {
				c.Assert(h.store.Delete(context.Background(), platform.KindTargets, name, platform.Unconditional()), qt.IsNil)
			}
			got := <-responses
			c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
			c.Check(requestRuns(got.id, a, b), qt.HasLen, 1)
		})
	}
}

// A target that sends a body without end is cut off at the route's timeout, and the
// caller's response does not look complete. The body is not held in memory.
func TestEndlessBodyIsCutAtTheTimeout(t *testing.T) {
	const timeout = 500 * time.Millisecond
	c := qt.New(t)
	h := newHarness(t, 1)
	closed := make(chan int64, 1)
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platform.SetResponseMeta(w.Header(), "a", platform.ResponseMeta{ID: platform.ReadRequestMeta(r.Header).ID, Signed: true})
		block, sent := make([]byte, 64<<10), int64(0)
		for {
			n, err := w.Write(block)
			sent += int64(n)
			if err != nil {
				closed <- sent
				return
			}
			time.Sleep(2 * time.Millisecond) // bounds what the test's caller collects
		}
	}))
	defer endless.Close()
	entry, err := platform.EncodeTarget(platform.Target{
		Name: "a", StartedAt: time.Now(), Service: "stock", Address: netip.MustParseAddrPort(endless.Listener.Addr().String()), Slots: 2,
	}, 1)
	c.Assert(err, qt.IsNil)
	_, err = h.store.Put(context.Background(), platform.KindTargets, "a", entry, platform.Unconditional())
	c.Assert(err, qt.IsNil)
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout = timeout }),
	}, plain("stock"))
	h.eventually("the target gets a request", func() bool {
		began := time.Now()
		got := h.do(call{path: "/holders/1"})
		if got.err == nil {
			return false // not in force yet
		}
		c.Check(time.Since(began) < 4*timeout, qt.IsTrue)
		return true
	})
	select {
	case sent := <-closed:
		c.Check(sent > 0, qt.IsTrue)
	case <-time.After(5 * time.Second):
		c.Error("the connection to the target is still open")
	}
}

// A body over the limit never reaches a target completely, even without a length.
func TestChunkedBodyOverLimitIsRejected(t *testing.T) {
	tests := []struct {
		size     int
		complete bool // the body is within the limit and reaches the target completely
	}{{3 << 20, true}, {5 << 20, false}}
	c := qt.New(t)
	h := newHarness(t, 1)
	a := h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	h.waitServing(0, "/holders/1")
	for _, test := range tests {
		got := h.do(call{path: "/holders/1", method: http.MethodPost, body: strings.Repeat("x", test.size), chunked: true})
		c.Check(got.status == http.StatusOK, qt.Equals, test.complete, qt.Commentf("%d, %v", got.status, got.err))
		for _, run := range requestRuns(got.id, a) {
			c.Check(run.BodyComplete, qt.Equals, test.complete)
		}
	}
}

// A caller that stops sending its body receives a response at the deadline.
func TestStalledBodyTimesOut(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout = 300 * time.Millisecond }),
	}, plain("stock"))
	h.waitServing(0, "/holders/1")
	conn, err := net.Dial("tcp4", h.settings[0].EntryAddress.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	header := http.Header{"Content-Length": {"100"}}
	platform.SetRequestMeta(header, platform.RequestMeta{ID: "stalled", Timeout: callerTimeout})
	var head strings.Builder
	c.Assert(header.Write(&head), qt.IsNil)
	_, err = io.WriteString(conn, "POST /holders/1 HTTP/1.1\r\nHost: quotes.example\r\n"+head.String()+"\r\nbegin")
	c.Assert(err, qt.IsNil)
	began := time.Now()
	c.Assert(conn.SetReadDeadline(began.Add(5*time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	c.Check(resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
	c.Check(time.Since(began) < callerTimeout, qt.IsTrue)
}

// A malformed configuration leaves the previous one in force.
func TestMalformedConfigurationChangesNothing(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 2)
	h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, plain("stock"))
	for host := range 2 {
		h.waitServing(host, "/holders/1")
	}
	_, err := h.store.Put(context.Background(), platform.KindConfiguration, platform.NameConfiguration, json.RawMessage(`{"version":7}`), platform.Unconditional())
	c.Assert(err, qt.IsNil)
	time.Sleep(500 * time.Millisecond) // a host that accepted the configuration would apply it within this time
	for host := range 2 {
		c.Check(h.do(call{host: host, path: "/holders/1"}).status, qt.Equals, http.StatusOK)
	}
}

// A stopping host closes callers' connections while it still accepts new ones.
func TestStoppingHostClosesConnections(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, plain("stock"))
	h.waitServing(0, "/holders/1")
	c.Check(h.do(call{path: "/holders/1"}).close, qt.IsFalse)
	stopped := make(chan error, 1)
	began := time.Now()
	go func() { stopped <- h.edges[0].Shutdown(context.Background()) }()
	h.eventually("connection closed by the host", func() bool { return h.do(call{path: "/holders/1"}).close })
	c.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("response arrived after connections were no longer accepted"))
	c.Check(<-stopped, qt.IsNil)
}

// A broken connection to a target that still listens does not count as a crash.
func TestBrokenConnectionsAreNotCrashes(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, 1)
	h.server(standin.ServerOptions{Name: "a", Service: "stock"}).SetFaults(standin.ServerFaults{TruncatedShare: 1})
	h.server(standin.ServerOptions{Name: "b", Service: "stock"}).SetFaults(standin.ServerFaults{TruncatedShare: 1})
	h.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	h.eventually("sent", func() bool { return h.do(call{path: "/holders/1"}).status == http.StatusBadGateway })
	for range 8 {
		c.Check(h.do(call{path: "/holders/1"}).body, qt.Not(qt.Contains), "crashes_targets")
	}
}
