package edge_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// serving waits until a host serves a path.
func (r *rig) serving(host int, path string) {
	r.eventually("served", func() bool { return r.do(call{host: host, path: path}).status == http.StatusOK })
}

// runOf returns the runs of a request.
func runOf(id string, servers ...*standin.Server) []standin.Run {
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

// A target is told what is left of the caller's time, or of the route's when that is less.
func TestTargetsAreToldTheTimeThatIsLeft(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 1)
	a := r.server(standin.ServerOptions{Name: "a", Service: "stock"})
	r.configure([]platform.Route{
		route("stock", "/long/", platform.Idempotent),
		route("stock", "/short/", platform.Idempotent, func(r *platform.Route) { r.Timeout = 700 * time.Millisecond }),
		route("stock", "/patient/", platform.Idempotent, func(r *platform.Route) { r.Timeout = time.Minute }),
	}, plain("stock"))
	r.serving(0, "/long/1")
	tests := []struct {
		path string
		most time.Duration
	}{
		{"/long/1", patience}, {"/short/1", 700 * time.Millisecond}, {"/patient/1", patience},
	}
	for _, test := range tests {
		runs := runOf(r.do(call{path: test.path}).id, a)
		c.Assert(runs, qt.HasLen, 1)
		c.Check(runs[0].Patience > test.most/2 && runs[0].Patience <= test.most, qt.IsTrue, qt.Commentf("%s: %s", test.path, runs[0].Patience))
	}
}

// A request that its target still works on has its final answer at the route's timeout.
func TestFinalAnswerAtTheTimeout(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 1)
	r.server(standin.ServerOptions{Name: "a", Service: "stock"}).SetFaults(standin.ServerFaults{})
	r.configure([]platform.Route{
		route("stock", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout = 300 * time.Millisecond }),
	}, plain("stock"))
	r.serving(0, "/holders/1")
	lost := r.server(standin.ServerOptions{Name: "b", Service: "lost"})
	lost.SetFaults(standin.ServerFaults{Lose: 1})
	r.configure([]platform.Route{
		route("lost", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout = 300 * time.Millisecond }),
	}, plain("lost"))
	r.eventually("sent to the target that loses answers", func() bool { return len(runOf(r.do(call{path: "/holders/1"}).id, lost)) == 1 })
	began := time.Now()
	got := r.do(call{path: "/holders/1"})
	took := time.Since(began)
	c.Check(got.status, qt.Equals, http.StatusGatewayTimeout)
	c.Check(took >= 250*time.Millisecond && took < 800*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
}

// A request runs on no more targets than its route allows.
func TestAttemptsAreBounded(t *testing.T) {
	for _, attempts := range []int{1, 2, 3} {
		c := qt.New(t)
		r := newRig(t, 1)
		servers := make([]*standin.Server, 0, 4)
		for _, name := range []string{"a", "b", "d", "e"} {
			servers = append(servers, r.server(standin.ServerOptions{Name: name, Service: "stock"}))
		}
		r.configure([]platform.Route{
			route("stock", "/holders/", platform.Idempotent, func(r *platform.Route) { r.Attempts = attempts }),
		}, plain("stock"))
		r.serving(0, "/holders/1")
		for _, s := range servers {
			s.SetFaults(standin.ServerFaults{Fail: 1})
		}
		got := r.do(call{path: "/holders/1"})
		c.Check(got.status, qt.Equals, http.StatusInternalServerError, qt.Commentf("the target's own failure is passed on"))
		c.Check(runOf(got.id, servers...), qt.HasLen, attempts)
	}
}

const (
	// crashWindow is the time after the third crash in which the rules still let a request reach targets.
	crashWindow = 3 * time.Second
	// maxCrashesAHost is how many targets a request crashes through a host that has not heard of others.
	maxCrashesAHost = 2
)

// After a request has crashed two targets no host that knows of them sends it to another one.
func TestRequestThatCrashesTargetsIsKeptFromOthers(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 2)
	servers := make([]*standin.Server, 0, 6)
	for _, name := range []string{"a", "b", "d", "e", "f", "g"} {
		servers = append(servers, r.server(standin.ServerOptions{Name: name, Service: "stock"}))
	}
	r.configure([]platform.Route{
		route("stock", "/holders/", platform.Idempotent, func(r *platform.Route) { r.Attempts = 1 }),
	}, plain("stock"))
	r.serving(0, "/holders/1")
	r.serving(1, "/holders/1")
	// A host that knows only the target that crashed would refuse for want of others.
	r.eventually("all targets are known", func() bool {
		return r.edges[0].Known("stock") == len(servers) && r.edges[1].Known("stock") == len(servers)
	})
	crashes := func() int {
		n := 0
		for _, s := range servers {
			for _, run := range s.Runs() {
				if run.Ended.IsZero() {
					n++
				}
			}
		}
		return n
	}
	poison := func(host int) answer {
		return r.do(call{host: host, path: "/holders/poison", headers: map[string]string{standin.CrashHeader: "1"}})
	}
	c.Assert(poison(0).status, qt.Equals, http.StatusBadGateway)
	got := r.do(call{path: "/holders/poison"})
	c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("an answer clears it: %s", got.body))
	for crashes() < 3 {
		c.Assert(poison(0).status, qt.Equals, http.StatusBadGateway)
	}
	third := time.Now()
	r.eventually("refused by the other host", func() bool { return poison(1).status == http.StatusServiceUnavailable })
	c.Check(time.Since(third) < crashWindow, qt.IsTrue)
	after := crashes()
	for range 5 {
		c.Check(poison(0).status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(poison(1).status, qt.Equals, http.StatusServiceUnavailable)
	}
	c.Check(crashes(), qt.Equals, after)
	c.Check(after <= 3+maxCrashesAHost, qt.IsTrue, qt.Commentf("%d targets crashed", after))
	c.Check(r.do(call{path: "/holders/innocent"}).status, qt.Equals, http.StatusOK)
}

// The target's work ends when its caller leaves.
func TestWorkEndsWhenItsCallerLeaves(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 1)
	a := r.server(standin.ServerOptions{Name: "a", Service: "stock"})
	r.configure([]platform.Route{
		route("stock", "/holders/", platform.Idempotent, func(r *platform.Route) { r.Timeout = time.Minute }),
	}, plain("stock"))
	r.serving(0, "/holders/1")
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		got := r.do(call{path: "/holders/1", method: method, body: "x", timeout: 200 * time.Millisecond, headers: map[string]string{standin.WorkHeader: "1500ms"}})
		c.Assert(got.err, qt.IsNotNil)
		r.eventually("the run ends", func() bool { return len(runOf(got.id, a)) == 1 && !runOf(got.id, a)[0].Ended.IsZero() })
		run := runOf(got.id, a)[0]
		c.Check(run.Left, qt.IsTrue)
		c.Check(run.Ended.Sub(run.Begun) < 700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", run.Ended.Sub(run.Begun)))
	}
}

// A request never runs at a target of another service that has taken an address.
func TestTakenAddressRunsNothing(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 1)
	other := r.server(standin.ServerOptions{Name: "other", Service: "deposits"})
	entry, err := platform.EncodeTarget(platform.Target{Name: "gone", StartedAt: time.Now(), Service: "stock", Address: other.Address(), Slots: 2}, 1)
	c.Assert(err, qt.IsNil)
	_, err = r.store.Put(context.Background(), platform.KindTargets, "gone", entry, platform.Unconditional())
	c.Assert(err, qt.IsNil)
	r.configure([]platform.Route{
		route("stock", "/holders/", platform.Idempotent), route("deposits", "/deposits/", platform.Idempotent),
	}, plain("stock"), plain("deposits"))
	r.serving(0, "/deposits/1")
	for range 5 {
		got := r.do(call{path: "/holders/1"})
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(runOf(got.id, other), qt.HasLen, 0)
	}
}

// A long answer that breaks off after its beginning was passed on never looks complete.
func TestLongAnswerThatIsCutIsNotComplete(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 1)
	a := r.server(standin.ServerOptions{Name: "a", Service: "stock"})
	r.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	r.serving(0, "/holders/1")
	long := call{path: "/holders/1", headers: map[string]string{standin.SizeHeader: "2000000"}}
	whole := r.do(long)
	c.Check(whole.err, qt.IsNil)
	c.Check(whole.body, qt.HasLen, 2000000)
	a.SetFaults(standin.ServerFaults{Cut: 1})
	c.Check(r.do(long).err, qt.IsNotNil)
}

// A body that grows beyond the limit never arrives whole, also without a length.
func TestLongBodyWithoutALengthIsRefused(t *testing.T) {
	tests := []struct {
		size  int
		whole bool
	}{{3 << 20, true}, {5 << 20, false}}
	c := qt.New(t)
	r := newRig(t, 1)
	a := r.server(standin.ServerOptions{Name: "a", Service: "stock"})
	r.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	r.serving(0, "/holders/1")
	for _, test := range tests {
		got := r.do(call{path: "/holders/1", method: http.MethodPost, body: strings.Repeat("x", test.size), chunked: true})
		c.Check(got.status == http.StatusOK, qt.Equals, test.whole, qt.Commentf("%d, %v", got.status, got.err))
		for _, run := range runOf(got.id, a) {
			c.Check(run.Whole, qt.Equals, test.whole)
		}
	}
}

// A caller that stops in the middle of its body is answered at its deadline.
func TestStalledBodyIsAnsweredAtTheDeadline(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 1)
	r.server(standin.ServerOptions{Name: "a", Service: "stock"})
	r.configure([]platform.Route{
		route("stock", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Timeout = 300 * time.Millisecond }),
	}, plain("stock"))
	r.serving(0, "/holders/1")
	conn, err := net.Dial("tcp4", r.settings[0].EntryAddress.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	h := http.Header{"Content-Length": {"100"}}
	platform.SetRequestMeta(h, platform.RequestMeta{ID: "stalled", Timeout: patience})
	var head strings.Builder
	c.Assert(h.Write(&head), qt.IsNil)
	_, err = io.WriteString(conn, "POST /holders/1 HTTP/1.1\r\nHost: quotes.example\r\n"+head.String()+"\r\nbegin")
	c.Assert(err, qt.IsNil)
	began := time.Now()
	c.Assert(conn.SetReadDeadline(began.Add(5*time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	c.Check(resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
	c.Check(time.Since(began) < patience, qt.IsTrue)
}

// A configuration that cannot be read leaves the one before it in force.
func TestMalformedConfigurationChangesNothing(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 2)
	r.server(standin.ServerOptions{Name: "a", Service: "stock"})
	r.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, plain("stock"))
	for host := range 2 {
		r.serving(host, "/holders/1")
	}
	_, err := r.store.Put(context.Background(), platform.KindConfiguration, platform.NameConfiguration, json.RawMessage(`{"version":7}`), platform.Unconditional())
	c.Assert(err, qt.IsNil)
	time.Sleep(500 * time.Millisecond) // long enough for it to be taken, were it to be
	for host := range 2 {
		c.Check(r.do(call{host: host, path: "/holders/1"}).status, qt.Equals, http.StatusOK)
	}
}

// A host that is stopping asks callers to go elsewhere.
func TestStoppingHostClosesConnections(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 1)
	r.server(standin.ServerOptions{Name: "a", Service: "stock"})
	r.configure([]platform.Route{route("stock", "/holders/", platform.Idempotent)}, plain("stock"))
	r.serving(0, "/holders/1")
	c.Check(r.do(call{path: "/holders/1"}).close, qt.IsFalse)
	stopped := make(chan error, 1)
	began := time.Now()
	go func() { stopped <- r.edges[0].Shutdown(context.Background()) }()
	r.eventually("asked to go", func() bool { return r.do(call{path: "/holders/1"}).close })
	c.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("while it still takes connections"))
	c.Check(<-stopped, qt.IsNil)
}

// A target that breaks a connection and lives has not been crashed by the request.
func TestBrokenConnectionsAreNoCrashes(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, 1)
	r.server(standin.ServerOptions{Name: "a", Service: "stock"}).SetFaults(standin.ServerFaults{Cut: 1})
	r.server(standin.ServerOptions{Name: "b", Service: "stock"}).SetFaults(standin.ServerFaults{Cut: 1})
	r.configure([]platform.Route{route("stock", "/holders/", platform.AtMostOnce)}, plain("stock"))
	r.eventually("sent", func() bool { return r.do(call{path: "/holders/1"}).status == http.StatusBadGateway })
	for range 8 {
		c.Check(r.do(call{path: "/holders/1"}).body, qt.Not(qt.Contains), "crashes_targets")
	}
}
