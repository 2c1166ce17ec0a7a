package edge_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// cutCall is a request during a cut, with its response.
type cutCall struct {
	call     call
	response response
	began    time.Time
}

// callDuring sends requests of each kind to a host every 20 ms while f runs.
func (h *relayHarness) callDuring(host int, f func()) []cutCall {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var out []cutCall
	stop := make(chan struct{})
	kinds := []call{
		{path: idempotentPath}, {path: oncePath, method: http.MethodPost, body: "x"}, {path: keyedPath, method: http.MethodPost, body: "x", key: key(7)},
	}
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			wg.Go(func() {
				c := cutCall{call: kinds[i%len(kinds)], began: time.Now()}
				c.call.host = host
				c.response = h.do(c.call)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, c)
			})
		}
	})
	f()
	close(stop)
	wg.Wait()
	return out
}

// A host whose path to the targets breaks, in whatever way, serves its callers through other hosts from when it
// finds out until the path is back. No request runs more often than it may, and none that was rejected runs.
func TestCutOffInEachMode(t *testing.T) {
	for _, mode := range []cutMode{hang, reset, refuse, refuseNew} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newNetworkedRelayHarness(t, 3)
			h.addKeyed()
			var found, restored time.Time
			calls := h.callDuring(0, func() {
				time.Sleep(300 * time.Millisecond) // traffic before the cut
				h.cutOffTargets(0, mode)
				h.eventually("found", func() bool { return mode == refuseNew || h.edges[0].CutOff() })
				found = time.Now()
				time.Sleep(1500 * time.Millisecond) // traffic during the cut
				restored = time.Now()
				h.restoreTargets(0)
				h.eventually("the end is found", func() bool { return !h.edges[0].CutOff() })
				time.Sleep(300 * time.Millisecond) // traffic after the cut
			})
			served, during, servedDuring := 0, 0, 0
			for _, k := range calls {
				got, runs := k.response, h.runs(k.response)
				comment := qt.Commentf("%s %s: %d %s%v", got.id, k.call.path, got.status, got.body, got.err)
				rejected := got.status == http.StatusServiceUnavailable || got.status == http.StatusRequestTimeout
				c.Check(rejected && runs > 0, qt.IsFalse, comment)
				c.Check(runs <= 1 || runs == 2 && k.call.path == idempotentPath, qt.IsTrue, comment)
				c.Check(got.status == http.StatusOK && runs == 0, qt.IsFalse, comment)
				ok := got.status == http.StatusOK
				if ok {
					served++
				}
				if k.began.After(found) && k.began.Before(restored) {
					during++
					if ok {
						servedDuring++
					}
				}
			}
			t.Logf("%d of %d served, %d of %d during the cut; passed on: %d", served, len(calls), servedDuring, during, h.relayedCount(0, "sent"))
			c.Check(servedDuring, qt.Equals, during)
			c.Check(h.relayedCount(0, "sent") > 0, qt.Equals, mode != refuseNew)
			c.Check(h.relayedCount(1, "sent")+h.relayedCount(2, "sent"), qt.Equals, 0)
			c.Check(h.do(call{path: oncePath}).status, qt.Equals, http.StatusOK)
		})
	}
}
