package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// load sends requests to a host until the returned function is called, a number of them at a time.
func (h *harness) load(host, concurrency int, paths ...string) (stop func()) {
	var ended atomic.Bool
	var callers sync.WaitGroup
	for i := range concurrency {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := i; !ended.Load(); n++ {
				h.do(call{host: host, path: paths[n%len(paths)], headers: map[string]string{standin.ServiceTimeHeader: "20ms"}})
				time.Sleep(20 * time.Millisecond) // paces the load
			}
		}()
	}
	return func() {
		ended.Store(true)
		callers.Wait()
	}
}

// twoServices starts targets of two services, and routes to them.
func (h *harness) twoServices(stock, prices int) (first, second []*standin.Server) {
	for i := range stock {
		first = append(first, h.server(standin.ServerOptions{Name: fmt.Sprint("stock-", i), Service: "stock", Slots: 4}))
	}
	for i := range prices {
		second = append(second, h.server(standin.ServerOptions{Name: fmt.Sprint("prices-", i), Service: "prices", Slots: 4}))
	}
	// Few idle connections are kept, so that the hosts open new ones.
	few := func(s platform.Service) platform.Service {
		s.MaxConnections = 4
		return s
	}
	h.configure([]platform.Route{
		route("stock", "/stock/", platform.Idempotent), route("prices", "/prices/", platform.AtMostOnce),
	}, few(plain("stock")), few(plain("prices")))
	for host := range h.edges {
		h.waitServing(host, "/stock/1")
		h.waitServing(host, "/prices/1")
	}
	return first, second
}

// neverCutOff checks for a time that a host is not found to be cut off.
func (h *harness) neverCutOff(host int, d time.Duration) {
	h.tb.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		qt.Assert(h.tb, h.edges[host].CutOff(), qt.IsFalse, qt.Commentf("host %d", host))
		time.Sleep(5 * time.Millisecond) // polls the state
	}
}

// awaitCutOff waits until a host is found to be cut off, or no longer, and returns how long it took.
func (h *harness) awaitCutOff(host int, want bool) time.Duration {
	h.tb.Helper()
	began := time.Now()
	h.eventually(fmt.Sprint("cut off: ", want), func() bool { return h.edges[host].CutOff() == want })
	return time.Since(began)
}

// A host finds within 2 s that it has lost all targets, however they are lost, and within
// 2 s that it has them back. The end of a third of the targets makes no host believe so.
func TestCutOffHostNotices(t *testing.T) {
	checkCutIsNoticed(t, hang, 0)
	checkCutIsNoticed(t, reset, 1)
	checkCutIsNoticed(t, refuse, 1)
}

// As TestCutOffHostNotices, for a host whose open connections live on.
func TestHostNoticesThatNewConnectionsAreRefused(t *testing.T) { checkCutIsNoticed(t, refuseNew, 0) }

// checkCutIsNoticed cuts one of two hosts off, of which one coordinates.
func checkCutIsNoticed(t *testing.T, mode cutMode, lost int) {
	other := 1 - lost
	t.Run(mode.String(), func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		h := newHarness(t, 2, withTargetNetworks)
		stock, prices := h.twoServices(3, 3)
		for host := range h.edges {
			defer h.load(host, 20, "/stock/1", "/prices/1", "/stock/2")()
		}
		began := time.Now()
		stock[0].Stop()
		prices[0].Stop()
		h.neverCutOff(0, time.Second)
		h.neverCutOff(1, time.Second)

		h.cutOffTargets(lost, mode)
		found := h.awaitCutOff(lost, true)
		cut := time.Now()
		h.neverCutOff(other, 2*time.Second)
		c.Check(h.edges[lost].CutOff(), qt.IsTrue)
		// A probe each half second, and some connections that were being opened when the cut was found.
		dials := h.networks[lost].dialsSince(cut.Add(500 * time.Millisecond))
		c.Check(dials <= 4, qt.IsTrue, qt.Commentf("%d connections asked for", dials))

		h.restoreTargets(lost)
		ended := h.awaitCutOff(lost, false)
		h.waitServing(lost, "/stock/1")
		served := time.Since(cut) - 2*time.Second
		h.neverCutOff(other, 100*time.Millisecond)
		t.Logf("found after %s, ended after %s, served about %s after the cut, run of %s", found, ended, served, time.Since(began))
		c.Check(found < 2*time.Second, qt.IsTrue, qt.Commentf("found after %s", found))
		c.Check(ended < 2*time.Second, qt.IsTrue, qt.Commentf("ended after %s", ended))
	})
}

// The end of all targets of one service does not make a host believe that it is cut off.
func TestLossOfOneServiceIsNoCut(t *testing.T) {
	h := newHarness(t, 1, withTargetNetworks)
	stock, _ := h.twoServices(6, 1)
	defer h.load(0, 8, "/stock/1")()
	began := time.Now()
	for _, s := range stock {
		s.Stop()
	}
	h.neverCutOff(0, 4*time.Second)
	// Rounds of probes back off; requests try targets again too.
	t.Logf("%d connections asked for", h.networks[0].dialsSince(began))
}

// When a host finds that it is cut off, requests that may run again and those that wait for
// a slot are not kept until their deadlines; requests that must not run again are kept, as
// they may still be answered.
func TestRequestsAtBeginOfCut(t *testing.T) {
	tests := []struct {
		path   string
		atMost time.Duration // from the begin of the cut
		status map[int]bool
	}{
		{"/stock/1", 1500 * time.Millisecond, map[int]bool{http.StatusBadGateway: true, http.StatusServiceUnavailable: true}},
		{"/prices/1", callerTimeout + 500*time.Millisecond, map[int]bool{http.StatusGatewayTimeout: true, http.StatusServiceUnavailable: true}},
	}
	h := newHarness(t, 1, withTargetNetworks)
	h.twoServices(2, 2)
	var callers sync.WaitGroup
	defer callers.Wait()
	for _, test := range tests {
		for range 40 { // more than the slots of two targets, so that some wait
			callers.Add(1)
			go func() {
				defer callers.Done()
				began := time.Now()
				got := h.do(call{path: test.path, headers: map[string]string{standin.ServiceTimeHeader: "1900ms"}})
				took := time.Since(began)
				qt.Check(t, test.status[got.status], qt.IsTrue, qt.Commentf("%s: status %d %s after %s", test.path, got.status, got.body, took))
				qt.Check(t, took < test.atMost, qt.IsTrue, qt.Commentf("%s: status %d after %s", test.path, got.status, took))
			}()
		}
	}
	time.Sleep(100 * time.Millisecond) // the requests reach the targets
	h.cutOffTargets(0, hang)
	h.awaitCutOff(0, true)
}

// A coordinator without callers notices by its orders that it has lost all targets.
func TestCoordinatorWithoutCallersNotices(t *testing.T) {
	for _, mode := range []cutMode{hang, refuse} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 1, withTargetNetworks)
			for i := range 3 {
				h.server(standin.ServerOptions{Name: fmt.Sprint("stock-", i), Service: "stock", Keyed: true})
			}
			h.configure([]platform.Route{route("stock", "/stock/", platform.Idempotent)}, keyed("stock"))
			h.eventually("served", func() bool { return h.do(call{path: "/stock/1", key: key(1)}).status == http.StatusOK })
			h.cutOffTargets(0, mode)
			found := h.awaitCutOff(0, true)
			h.restoreTargets(0)
			ended := h.awaitCutOff(0, false)
			t.Logf("found after %s, ended after %s", found, ended)
			qt.Check(t, found < 3*time.Second, qt.IsTrue, qt.Commentf("found after %s", found))
			qt.Check(t, ended < 2*time.Second, qt.IsTrue, qt.Commentf("ended after %s", ended))
		})
	}
}
