package e2e

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/entry"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/target"
)

// TestUncheckedKeyWaitsForRequestOfUnknownOutcome has a target that does not check
// grants continue a request after its health checks time out. Another target must
// serve the key only after the deadline of that request.
func TestUncheckedKeyWaitsForRequestOfUnknownOutcome(t *testing.T) {
	s := newSystem(t, 2)
	tracker := newExecutionTracker()
	targets := map[string]*standin.Target{}
	addresses := make([]netip.AddrPort, 0, 3)
	for i := range 3 {
		tg := s.startTarget(standin.TargetOptions{Name: fmt.Sprint(i), IgnoreCancel: true, OnStart: tracker.start})
		targets[fmt.Sprint(i)] = tg
		addresses = append(addresses, tg.Address())
	}
	s.apply(serviceRecord("desk", keyedUnchecked, addresses) + policyRecord("desk"))
	s.startDaemon(0)
	s.startDaemon(1)
	s.awaitHolder("desk")
	request := func(work, budget string) {
		_, _ = call(s.entries[0], "GET", "/desk/pages", waitTimeout, [2]string{entry.KeyHeader, "road-7"}, [2]string{standin.ServiceTimeHeader, work}, [2]string{target.BudgetHeader, budget})
	}
	request("1ms", "5s")
	initialTarget := tracker.lastTarget("road-7")
	go request("10s", "3s")
	eventually(t, "the long request runs", func() bool { return tracker.isRunning("road-7") })
	targets[initialTarget].SetFaults(standin.TargetFaults{HangHealthChecks: true})
	eventually(t, "another target serves the key", func() bool {
		request("1ms", "5s")
		return tracker.lastTarget("road-7") != initialTarget
	})
	qt.Assert(t, tracker.concurrent, qt.HasLen, 0)
	time.Sleep(10 * time.Millisecond) // the last request ends
}
