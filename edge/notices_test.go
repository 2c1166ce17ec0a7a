package edge_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

const (
	// drainTime is the time after a statement from which a target that leaves must get no requests; it is the harness's Drain.
	drainTime = 2 * time.Second
	// rejectTime bounds a rejection of a request that no target can serve.
	rejectTime = 200 * time.Millisecond
)

// cutStore makes the store reject every call.
func (h *harness) cutStore() { h.platform.SetFaults(standin.PlatformFaults{Unavailable: true}) }

// leavingHarness starts hosts with one service and stand-in targets with these names.
func leavingHarness(t *testing.T, hosts int, service platform.Service, names ...string) (*harness, []*standin.Server) {
	h := newHarness(t, hosts)
	servers := make([]*standin.Server, 0, len(names))
	for _, name := range names {
		servers = append(servers, h.server(standin.ServerOptions{Name: name, Service: service.Name, Keyed: service.Keyed}))
	}
	h.configure([]platform.Route{
		route(service.Name, "/read/", platform.Idempotent), route(service.Name, "/write/", platform.AtMostOnce),
	}, service)
	for host := range h.edges {
		h.eventually("served", func() bool { return h.do(call{host: host, path: "/read/0", key: key(0)}).status == http.StatusOK })
		h.eventually("all targets", func() bool { return h.edges[host].TargetCount(service.Name) == len(names) })
	}
	return h, servers
}

// exchanged is a request of leavingCallers and what the caller knows of it.
type exchanged struct {
	response
	host             int
	sentAt, answered time.Time
}

// leavingCallers sends requests to each host at an interval for a time, and returns them once all have ended.
func (h *harness) leavingCallers(d, interval time.Duration, request call) []exchanged {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []exchanged
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) { // sets the rate of the callers
		for host := range h.edges {
			wg.Go(func() {
				c := request
				c.host = host
				x := exchanged{host: host, sentAt: time.Now()}
				x.response, x.answered = h.do(c), time.Now()
				mu.Lock()
				defer mu.Unlock()
				out = append(out, x)
			})
		}
	}
	wg.Wait()
	return out
}

// lateArrivals returns the IDs of requests that callers sent to a host more than drainTime after it had passed on the statement
// of a target that it leaves, and that reached that target all the same.
func lateArrivals(requests []exchanged, servers ...*standin.Server) []string {
	type pair struct {
		host   int
		target string
	}
	told, sent := map[pair]time.Time{}, map[string]exchanged{}
	for _, x := range requests {
		sent[x.id] = x
		if x.err != nil || !platform.ReadResponseMeta(x.status, x.header).Leaving {
			continue
		}
		name, _, _ := strings.Cut(x.body, " ") // the stand-in's name
		if p := (pair{x.host, name}); told[p].IsZero() || x.answered.Before(told[p]) {
			told[p] = x.answered
		}
	}
	var late []string
	for _, s := range servers {
		for _, run := range s.Runs() {
			x := sent[run.ID]
			if at := told[pair{x.host, s.Name()}]; !at.IsZero() && x.sentAt.After(at.Add(drainTime)) {
				late = append(late, run.ID)
			}
		}
	}
	return late
}

// Targets that stated that they leave got requests until they ended while the store was unavailable.
func TestTargetsThatLeaveWithoutTheStore(t *testing.T) {
	tests := []struct {
		name, path string
		work       time.Duration
	}{
		{name: "idempotent", path: "/read/1", work: 60 * time.Millisecond},
		{name: "at most once", path: "/write/1", work: 60 * time.Millisecond},
		{name: "long work", path: "/read/1", work: 900 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h, servers := leavingHarness(t, 2, plain("stock"), "a", "b", "d", "e")
			h.cutStore()
			for _, s := range servers[:2] {
				s.Leave()
			}
			requests := h.leavingCallers(2*drainTime, 20*time.Millisecond, call{ // all targets are needed
				path: test.path, headers: map[string]string{standin.ServiceTimeHeader: test.work.String()},
			})
			c.Check(lateArrivals(requests, servers...), qt.HasLen, 0)
			told := 0
			for _, x := range requests {
				told += count(x.err == nil && platform.ReadResponseMeta(x.status, x.header).Leaving)
			}
			c.Check(told > 0, qt.IsTrue)
		})
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A response states that its target leaves, or its rate limit, whatever its status is and whether or not its body arrives, but only
// the response of that target to that request does.
func TestStatementsInResponses(t *testing.T) {
	signed := func(id string) platform.ResponseMeta {
		return platform.ResponseMeta{ID: id, Signed: true}
	}
	respond := func(status int, meta func(id string) platform.ResponseMeta) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			clear(w.Header()) // of the harness
			stated := meta(platform.ReadRequestMeta(r.Header).ID)
			stated.Leaving, stated.RateLimit = true, platform.RateLimit{PerSecond: 5, Stated: true}
			platform.SetResponseMeta(w.Header(), "a", stated)
			w.WriteHeader(status)
		}
	}
	// begin sends a head without an end of the body, waits for end and breaks off.
	begin := func(end func(r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			respond(http.StatusOK, signed)(w, r)
			_ = http.NewResponseController(w).Flush() // the caller may have disconnected
			end(r)
			panic(http.ErrAbortHandler)
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    bool
	}{
		{"answered", respond(http.StatusOK, signed), true},
		{"failed", respond(http.StatusInternalServerError, signed), true},
		{"not found", respond(http.StatusNotFound, signed), true},
		{"rejected", respond(http.StatusServiceUnavailable, func(id string) platform.ResponseMeta {
			return platform.ResponseMeta{ID: id, NotExecuted: true}
		}), true},
		{"not the owner", respond(http.StatusMisdirectedRequest, func(id string) platform.ResponseMeta {
			return platform.ResponseMeta{ID: id, NotExecuted: true}
		}), true},
		{"body breaks off", begin(func(*http.Request) {}), true},
		{"caller leaves during the body", begin(func(r *http.Request) { <-r.Context().Done() }), true},
		{"another target at the address", respond(http.StatusMisdirectedRequest, func(id string) platform.ResponseMeta {
			return platform.ResponseMeta{ID: id, TargetReplaced: true}
		}), false},
		{"success without a signature", respond(http.StatusOK, func(id string) platform.ResponseMeta {
			return platform.ResponseMeta{ID: id}
		}), false},
		{"no target's response", respond(http.StatusBadGateway, func(string) platform.ResponseMeta { return platform.ResponseMeta{} }), false},
		{"response to another request first", func(w http.ResponseWriter, r *http.Request) {
			conn, buffer, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			for _, meta := range []platform.ResponseMeta{signed("another"), {ID: platform.ReadRequestMeta(r.Header).ID, Signed: true}} {
				meta.Leaving = meta.ID == "another"
				head := http.Header{"Content-Length": {"0"}}
				platform.SetResponseMeta(head, "a", meta)
				_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n") // errors of the buffer remain, and Flush ends the attempt
				_ = head.Write(buffer)
				_, _ = buffer.WriteString("\r\n")
			}
			_ = buffer.Flush()
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 1)
			h.handlerTarget("a", "stock", test.handler)
			h.configure([]platform.Route{route("stock", "/write/", platform.AtMostOnce)}, plain("stock"))
			h.eventually("target", func() bool { return h.edges[0].TargetCount("stock") == 1 })
			got := h.do(call{path: "/write/1", timeout: 500 * time.Millisecond})
			h.eventually("request has ended", func() bool { return h.edges[0].ActiveRequests() == 0 })
			qt.Check(t, h.edges[0].Drains("stock", "a"), qt.Equals, test.want, qt.Commentf("status %d, %v", got.status, got.err))
			qt.Check(t, h.edges[0].LimitedTargets("stock") == 1, qt.Equals, test.want)
		})
	}
}

// If all targets of a service leave, requests are rejected at once, and a new target is used as soon as it is listed. Neither the
// removal of all entries nor one that says "ready" brings those back that leave; a new process under the name of one is used.
func TestAllTargetsLeave(t *testing.T) {
	c := qt.New(t)
	h, servers := leavingHarness(t, 1, plain("stock"), "a", "b", "d")
	h.cutStore()
	for _, s := range servers {
		s.Leave()
	}
	h.eventually("all drain", func() bool {
		h.do(call{path: "/write/1"})
		return h.edges[0].Drains("stock", "a") && h.edges[0].Drains("stock", "b") && h.edges[0].Drains("stock", "d")
	})
	left := time.Now()
	rejected := func() {
		began := time.Now()
		got := h.do(call{path: "/write/2"})
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(time.Since(began) < rejectTime, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
		_, stated := platform.ReadRetryAfter(got.header)
		c.Check(stated, qt.IsTrue)
	}
	rejected()
	for _, s := range servers {
		s.Stop()
	}
	h.platform.SetFaults(standin.PlatformFaults{})
	ready, err := platform.EncodeTarget(platform.Target{
		Name: "a", StartedAt: h.edges[0].TargetStartedAt("stock", "a"), Service: "stock", Address: servers[0].Address(), DataCentre: "leicester", Slots: 2,
	}, 100)
	c.Assert(err, qt.IsNil)
	h.put("a", ready)
	for _, s := range servers[1:] {
		c.Check(s.Deregister(t.Context()), qt.IsNil)
	}
	h.eventually("entries are removed", func() bool { return h.edges[0].TargetCount("stock") == 1 })
	rejected()
	fresh := h.server(standin.ServerOptions{Name: "f", Service: "stock"})
	h.eventually("new target is used", func() bool { return h.do(call{path: "/write/3"}).status == http.StatusOK })
	again := h.server(standin.ServerOptions{Name: "a", Service: "stock"})
	h.eventually("new process is used", func() bool {
		h.do(call{path: "/write/4"})
		return len(again.Arrivals()) > 0
	})
	c.Check(len(fresh.Arrivals()) > 0, qt.IsTrue)
	c.Check(arrivalsSince(left, servers...), qt.Equals, 0)
	c.Check(strings.Join(h.edges[0].Draining("stock"), " "), qt.Equals, "")
}

// What one host was told by a target reaches the other hosts while the store is unavailable. A host that is cut off from the
// targets learns of it from the host that passed its request on, by way of the coordinator.
func TestOtherHostsLearnThatATargetLeaves(t *testing.T) {
	tests := []struct {
		name   string
		cutOff bool // the host with callers is cut off
	}{
		{"from a target", false},
		{"through a relay", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h, servers := leavingHarness(t, 3, plain("stock"), "a", "b")
			h.awaitRelays()
			host := 0
			if h.edges[host].Coordinates() {
				host = 1 // the report of another host has to bring the notice
			}
			h.edges[host].SetCutOff(test.cutOff)
			h.cutStore()
			servers[0].Leave()
			stop := h.load(host, 8, "/write/1") // both targets are needed
			known := func() (n int) {
				for _, e := range h.edges {
					n += count(e.Drains("stock", "a"))
				}
				return n
			}
			h.eventually("one host is told", func() bool { return known() > 0 })
			told := time.Now()
			h.eventually("all hosts know", func() bool { return known() == len(h.edges) })
			stop()
			c.Check(time.Since(told) < drainTime, qt.IsTrue, qt.Commentf("after %s", time.Since(told)))
		})
	}
}

// A host that starts later learns that a target leaves although its entry, which the host receives after the notice, does not say so.
func TestHostThatStartsLaterLearnsThatATargetLeaves(t *testing.T) {
	c := qt.New(t)
	h, servers := leavingHarness(t, 2, plain("stock"), "a", "b")
	servers[0].StateLeaving()
	stop := h.load(0, 8, "/write/1") // both targets are needed
	h.eventually("hosts know", func() bool { return h.edges[0].Drains("stock", "a") && h.edges[1].Drains("stock", "a") })
	stop()
	before := len(servers[0].Arrivals())
	h.addEdge("late")
	const late = 2
	h.eventually("all targets", func() bool { return h.edges[late].TargetCount("stock") == 2 })
	h.eventually("late host knows", func() bool { return h.edges[late].Drains("stock", "a") })
	for range 20 {
		c.Check(h.do(call{host: late, path: "/write/1"}).status, qt.Equals, http.StatusOK)
	}
	c.Check(servers[0].Arrivals(), qt.HasLen, before)
}

// Requests for keys of an owner that left while the store was unavailable waited, although no key could move.
func TestOwnerOfKeysLeavesWithoutTheStore(t *testing.T) {
	c := qt.New(t)
	h, servers := leavingHarness(t, 2, keyed("stock"), "a", "b")
	const k = 0
	owner := servers[0]
	if _, holds := owner.Holds(k); !holds {
		owner = servers[1]
	}
	request := call{path: "/write/1", key: key(k)}
	h.cutStore()
	owner.Leave()
	h.eventually("owner drains", func() bool { h.do(request); return h.edges[0].Drains("stock", owner.Name()) })
	c.Check(h.do(request).status, qt.Equals, http.StatusOK) // the owner still serves its keys for a time
	time.Sleep(drainTime / 2)                               // the owner serves its keys for no longer
	h.eventually("no keys can move", h.edges[0].MovesHalted)
	began, before := time.Now(), len(owner.Arrivals())
	got := h.do(request)
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(time.Since(began) < rejectTime, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
	c.Check(owner.Arrivals(), qt.HasLen, before)
	h.platform.SetFaults(standin.PlatformFaults{})
	h.eventually("key has moved", func() bool { return h.do(request).status == http.StatusOK })
	c.Check(owner.Arrivals(), qt.HasLen, before)
}

// Requests for the keys of an owner that states that it leaves, before its entry does, are served in time until the keys have moved.
func TestKeysOfATargetThatLeavesMove(t *testing.T) {
	c := qt.New(t)
	h, servers := leavingHarness(t, 2, keyed("stock"), "a", "b")
	const k = 0
	owner, other := servers[0], servers[1]
	if _, holds := owner.Holds(k); !holds {
		owner, other = other, owner
	}
	owner.StateLeaving()
	requests := h.leavingCallers(drainTime, 20*time.Millisecond, call{path: "/write/1", key: key(k)})
	for _, x := range requests {
		took := x.answered.Sub(x.sentAt)
		c.Check(x.status == http.StatusOK && took <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("status %d after %s: %s", x.status, took, x.body)) // the route's objective
	}
	c.Check(lateArrivals(requests, owner), qt.HasLen, 0)
	_, holds := other.Holds(k)
	c.Check(holds, qt.IsTrue)
}

// The response to an order states that its target leaves as one to a caller's request does, also on a host that gets no requests.
func TestResponsesToOrdersStateThatTheTargetLeaves(t *testing.T) {
	h, servers := leavingHarness(t, 2, keyed("stock"), "a", "b")
	h.cutStore()
	servers[0].Leave()
	for host := range h.edges {
		h.eventually("known on all hosts", func() bool { return h.edges[host].Drains("stock", "a") })
	}
	qt.Check(t, h.edges[0].Drains("stock", "b") || h.edges[1].Drains("stock", "b"), qt.IsFalse)
}
