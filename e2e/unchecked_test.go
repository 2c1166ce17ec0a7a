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

// TestUncheckedKeyWaitsForWorkOfUnknownFate has a target that checks nothing
// run a request on after it seemed lost. Its keys may go to another target only
// when that request's deadline has passed.
func TestUncheckedKeyWaitsForWorkOfUnknownFate(t *testing.T) {
	s := newSystem(t, 2)
	o := newOwners()
	targets := map[string]*standin.Target{}
	addresses := make([]netip.AddrPort, 0, 3)
	for i := range 3 {
		tg := s.target(standin.TargetOptions{Name: fmt.Sprint(i), Stubborn: true, Began: o.began})
		targets[fmt.Sprint(i)] = tg
		addresses = append(addresses, tg.Address())
	}
	s.apply(serviceRecord("desk", unchecked, addresses) + policyRecord("desk"))
	s.daemon(0)
	s.daemon(1)
	s.awaitHolder("desk")
	ask := func(work, budget string) {
		_, _ = call(s.entries[0], "GET", "/desk/pages", settleTime, [2]string{entry.KeyHeader, "road-7"}, [2]string{standin.WorkHeader, work}, [2]string{target.BudgetHeader, budget})
	}
	ask("1ms", "5s")
	was := o.of("road-7")
	go ask("10s", "3s")
	eventually(t, "the long request runs", func() bool { return o.runs("road-7") })
	targets[was].SetFaults(standin.TargetFaults{HealthHangs: true})
	eventually(t, "another target serves the key", func() bool {
		ask("1ms", "5s")
		return o.of("road-7") != was
	})
	qt.Assert(t, o.both, qt.HasLen, 0)
	time.Sleep(10 * time.Millisecond) // lets the last request end
}
