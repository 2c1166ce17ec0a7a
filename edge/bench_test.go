package edge

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/routing"
	"github.com/redwingtally/redwingtally/settings"
)

// BenchmarkUpdateServices measures what each reply of a coordinator costs a host that knows
// 809 targets, without and with a change of the targets.
func BenchmarkUpdateServices(b *testing.B) {
	e, err := New(settings.Edge{Host: "e1"}, slog.New(slog.DiscardHandler))
	qt.Assert(b, err, qt.IsNil)
	configuration := &platform.Configuration{}
	for s, n := range []int{297, 202, 53, 257} {
		name := fmt.Sprint("s", s)
		configuration.Services = append(configuration.Services, platform.Service{Name: name, Keyed: s == 0})
		for i := range n {
			e.targets.Set(time.Now(), platform.Target{
				Name: fmt.Sprintf("i-%d-%d", s, i), StartedAt: time.Unix(1, 0), Service: name, Slots: 2,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(s), byte(i >> 8), byte(i)}), 9000),
			})
		}
	}
	e.table.Store(routing.New(configuration))
	for _, changed := range []bool{false, true} {
		b.Run(fmt.Sprint("changed=", changed), func(b *testing.B) {
			for b.Loop() {
				if changed {
					e.passedTargets = targetsState{}
				}
				e.updateServices()
			}
		})
	}
}
