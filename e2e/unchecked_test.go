package e2e

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/entry"
	"github.com/redwingtally/redwingtally/holder"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/target"
)

// TestUncheckedKeyWaitsForRequestOfUnknownOutcome has a target that does not check
// grants continue a request after its health checks time out. Another target must
// serve the key only after the deadline of that request, also when another daemon
// takes over the group before the request, or while it runs: the next holder does not
// know of a request that it did not send.
func TestUncheckedKeyWaitsForRequestOfUnknownOutcome(t *testing.T) {
	tests := []struct {
		name           string
		method         string // of the long request; only a GET request is sent again
		takeOverBefore bool
		takeOverDuring bool
	}{
		{name: "one holder", method: "GET"},
		{name: "takeover before the request", method: "GET", takeOverBefore: true},
		{name: "takeover while the request runs", method: "POST", takeOverDuring: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			testUncheckedKeyWaits(t, test.method, test.takeOverBefore, test.takeOverDuring)
		})
	}
}

func testUncheckedKeyWaits(t *testing.T, method string, takeOverBefore, takeOverDuring bool) {
	s := newSystem(t, 2)
	tracker := newExecutionTracker()
	targets := map[string]*standin.Target{}
	addresses := make([]netip.AddrPort, 0, 3)
	for i := range 3 {
		tg := s.startTarget(standin.TargetOptions{Name: fmt.Sprint(i), IgnoreCancel: true, OnStart: tracker.start})
		targets[fmt.Sprint(i)] = tg
		addresses = append(addresses, tg.Address())
	}
	s.apply(serviceRecord("desk", keyedUnchecked, addresses) + pagesPolicy)
	s.startDaemon(0)
	s.startDaemon(1)
	s.awaitHolder("desk")
	request := func(method, work, budget string) {
		_, _ = call(s.entries[0], method, "/desk/pages", waitTimeout, [2]string{entry.KeyHeader, "road-7"}, [2]string{standin.ServiceTimeHeader, work}, [2]string{target.BudgetHeader, budget})
	}
	if takeOverBefore {
		s.takeOver()
	}
	request("GET", "1ms", "5s")
	initialTarget := tracker.lastTarget("road-7")
	go request(method, "10s", "3s")
	eventually(t, "the long request runs", func() bool { return tracker.isRunning("road-7") })
	if takeOverDuring {
		s.takeOver()
		qt.Assert(t, tracker.isRunning("road-7"), qt.IsTrue)
	}
	targets[initialTarget].SetFaults(standin.TargetFaults{HangHealthChecks: true})
	s.eventuallyHeld("another target serves the key", func(holder.Status) bool {
		request("GET", "1ms", "5s")
		return tracker.lastTarget("road-7") != initialTarget
	})
	qt.Assert(t, tracker.concurrent, qt.HasLen, 0)
	time.Sleep(10 * time.Millisecond) // the last request ends
}

// pagesPolicy is a policy whose longest deadline is shorter than waitTimeout: after a
// takeover, the keys of a target that does not check grants stay for that long.
const pagesPolicy = `---
kind: policy
name: desk
schema_version: 2
spec:
  retry: {ratio: 0.1, attempts: 3}
  classes:
    - {name: pages, rank: 1, queue_limit: 500, deadline: 5s, ageing: 1s}
  routes:
    - {method: GET, prefix: /pages, class: pages, repeatable: true}
    - {prefix: /, class: pages}
`
