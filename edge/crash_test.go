package edge

import (
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
	"github.com/redwingtally/redwingtally/scheduler"
)

// The connections of a host that loses its targets break as if the targets had crashed. Such
// crashes are recorded only if the host is not found to be cut off.
func TestCrashesDuringALossOfAllTargets(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	open, refused := netip.MustParseAddrPort(ln.Addr().String()), ports.Free(t)
	tests := []struct {
		name        string
		other       netip.AddrPort // of another target; the zero value if there is none
		cutOff      bool           // before the crash
		found       bool           // after it
		atOnce, end bool           // recorded
	}{
		{"only target", netip.AddrPort{}, false, false, true, true},
		{"another can be reached", open, false, false, true, true},
		{"another refuses", refused, false, false, false, true},
		{"another refuses, and the host is found to be cut off", refused, false, true, false, false},
		{"the host is cut off", open, true, false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, _ := newRequest(t, func(q *request) { q.fingerprint = 7 })
			e, now := q.edge, time.Now()
			target := targetOf("a", now)
			target.Address = refused
			targets := []platform.Target{target}
			if test.other.IsValid() {
				other := targetOf("b", now)
				other.Address = test.other
				targets = append(targets, other)
			}
			for _, each := range targets {
				e.targets.Set(now, each)
			}
			s := e.service("stock")
			s.setTargets(now, platform.Service{Name: "stock"}, targets, 1)
			recorded := func() bool {
				e.mu.Lock()
				defer e.mu.Unlock()
				return e.crashTable.Suspected(quarantine.Fingerprint(7))
			}
			if test.cutOff {
				findCut(e)
			}
			q.checkCrash(schedulerDecision{dispatch: scheduler.Dispatch{Target: target}, client: s.clientsByName["a"]})
			c.Check(recorded(), qt.Equals, test.atOnce)
			if test.found {
				findCut(e)
			}
			time.Sleep(cutVerdictTime + 100*time.Millisecond) // the verdict is awaited
			c.Check(recorded(), qt.Equals, test.end)
		})
	}
}
