package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// pauseSlack is the time after a rejection with Retry-After from which requests count as sent in spite of it, and pauseExtra how
// many the platform allows until its end.
const (
	pauseSlack = 500 * time.Millisecond
	pauseExtra = 2
)

// A target that rejected requests with status 503 and Retry-After got further ones from the same host before the time was over.
func TestTargetsThatAskForNoRequests(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 2500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := newHarness(t, 1)
			var mu sync.Mutex
			var arrivals []time.Time
			h.handlerTarget("a", "stock", func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				clear(w.Header()) // of the harness
				platform.SetResponseMeta(w.Header(), "a", platform.ResponseMeta{ID: platform.ReadRequestMeta(r.Header).ID, NotExecuted: true, RetryAfter: pause})
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			for _, name := range []string{"b", "d", "e"} {
				h.server(standin.ServerOptions{Name: name, Service: "stock"})
			}
			h.configure([]platform.Route{route("stock", "/read/", platform.Idempotent)}, plain("stock"))
			h.eventually("all targets", func() bool { return h.edges[0].TargetCount("stock") == 4 })
			stop := h.callers(12500*time.Microsecond, func(i int) call { // 80 requests a second
				return call{path: fmt.Sprint("/read/", i), headers: map[string]string{standin.ServiceTimeHeader: "60ms"}}
			})
			time.Sleep(2 * pause) // callers go on meanwhile
			statuses := stop()
			mu.Lock()
			defer mu.Unlock()
			c.Assert(len(arrivals) > 0, qt.IsTrue)
			for _, answered := range arrivals { // at once
				n := 0
				for _, at := range arrivals {
					n += count(at.After(answered.Add(pauseSlack)) && at.Before(answered.Add(pause)))
				}
				c.Check(n <= pauseExtra, qt.IsTrue, qt.Commentf("%d of %d requests before the end of the time", n, len(arrivals)))
			}
			t.Logf("%d requests at the target, responses by status: %v", len(arrivals), statuses)
		})
	}
}
