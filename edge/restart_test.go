package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// restartDelay is the time from a crash of a restartingTarget to its new entry.
const restartDelay = 50 * time.Millisecond

// A restartingTarget is a target whose process is replaced under the same name so soon after a crash that its address is
// never refused.
type restartingTarget struct {
	h       *harness
	name    string
	address net.Addr
	crashes atomic.Int32
	// startedAt is the Unix time in milliseconds in the last entry.
	startedAt atomic.Int64
}

// restartingTarget starts a target that crashes on each request.
func (h *harness) restartingTarget(name string) *restartingTarget {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(h.tb, err, qt.IsNil)
	s := &restartingTarget{h: h, name: name, address: ln.Addr()}
	srv := &http.Server{Handler: http.HandlerFunc(s.crash), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }() // ends with Close
	h.tb.Cleanup(func() { _ = srv.Close() })
	s.register(time.Now())
	return s
}

// crash breaks the connection of a request. The next process registers itself soon after.
func (s *restartingTarget) crash(w http.ResponseWriter, _ *http.Request) {
	s.crashes.Add(1)
	time.AfterFunc(restartDelay, func() { s.register(time.Now()) })
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// register writes the entry of a process that has started at startedAt.
func (s *restartingTarget) register(startedAt time.Time) {
	entry, err := platform.EncodeTarget(platform.Target{
		Name: s.name, StartedAt: startedAt, Service: "stock", Address: s.address.(*net.TCPAddr).AddrPort(), Slots: 2,
	}, 1)
	if err == nil {
		_, _ = s.h.store.Put(context.Background(), platform.KindTargets, s.name, entry, platform.Unconditional()) // the test waits for it
		s.startedAt.Store(startedAt.UnixMilli())
	}
}

// A request that crashes targets is quarantined even if they restart under their names and addresses so soon that a
// connection is never refused. Each incarnation of a target counts.
func TestCrashesOfTargetsThatRestartInPlace(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b", "d"}} {
		t.Run(fmt.Sprint(len(names), " targets"), func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, 1)
			targets := make([]*restartingTarget, 0, len(names))
			for _, name := range names {
				targets = append(targets, h.restartingTarget(name))
			}
			h.configure([]platform.Route{
				route("stock", "/holders/", platform.AtMostOnce, func(r *platform.Route) { r.Attempts = 1 }),
			}, plain("stock"))
			h.eventually("all targets are received", func() bool { return h.edges[0].TargetCount("stock") == len(targets) })
			crashes := func() (n int32) {
				for _, s := range targets {
					n += s.crashes.Load()
				}
				return n
			}
			rejected := func() bool {
				got := h.do(call{method: http.MethodPost, path: "/holders/poison"})
				return got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "crashes_targets")
			}
			for crashes() < 6 && !rejected() {
				time.Sleep(2 * restartDelay) // the entry is written after restartDelay
				h.eventually("the entries are received", func() bool {
					for _, s := range targets {
						if h.edges[0].TargetStartedAt("stock", s.name).UnixMilli() != s.startedAt.Load() {
							return false
						}
					}
					return true
				})
			}
			c.Check(rejected(), qt.IsTrue)
			c.Check(crashes() <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes()))
		})
	}
}
