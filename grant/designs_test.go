package grant

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDesigns compares the designs discussed in docs/DESIGN.md by the share
// of time in which shards are served and by the number of store calls. In
// "voters", a majority of the servers and the store decides; in "store_only", the
// store alone. In "voters_new_terms", a holder campaigns for a new term whenever
// its evidence expires, instead of keeping its term. A violation fails the
// benchmark.
func BenchmarkDesigns(b *testing.B) {
	designs := []struct {
		name    string
		variant variant
	}{
		{"voters", variant{}},
		{"voters_new_terms", variant{campaignOnExpiry: true}},
		{"store_only", variant{storeOnly: true}},
	}
	for _, store := range []string{"up", "mostly_down"} {
		for _, design := range designs {
			b.Run(fmt.Sprintf("store_%s/%s", store, design.name), func(b *testing.B) {
				var served, total time.Duration
				writes, reads := 0, 0
				for i := range b.N {
					sim := runModerateFaults(uint64(i), 4, design.variant, store == "mostly_down", 30*time.Second)
					if sim.violation != "" {
						b.Fatal(sim.violation)
					}
					served += sim.served
					total += sim.now * time.Duration(sim.shards)
					writes += sim.writes
					reads += sim.reads
				}
				b.ReportMetric(100*float64(served)/float64(total), "%served")
				b.ReportMetric(float64(writes)/float64(b.N)/30, "writes/s")
				b.ReportMetric(float64(reads)/float64(b.N)/30, "reads/s")
			})
		}
	}
}

// runModerateFaults runs a simulation with about one fault per second. As in
// production, a daemon campaigns only while no healthy daemon holds the group.
func runModerateFaults(seed uint64, servers int, v variant, storeDown bool, d time.Duration) *simulation {
	sim := newSimulation(seed, servers, v)
	sim.lossRate, sim.delayRate, sim.duplicateRate = 2, 5, 5
	for sim.now < d && sim.violation == "" {
		sim.store.down = storeDown && sim.random.IntN(10) > 0
		if sim.random.IntN(10) == 0 {
			sim.moderateFault()
		}
		sim.elect()
		sim.run(100 * time.Millisecond)
	}
	return sim
}

// elect makes the first idle daemon campaign, unless another running daemon
// holds the group or campaigns. Paused daemons are left out.
func (sim *simulation) elect() {
	idle := -1
	for i, d := range sim.daemons {
		if d.paused {
			continue
		}
		if d.holder.Healthy(d.clock(sim.now)) || d.holder.Phase() == PhaseFencing {
			return
		}
		if idle < 0 && d.holder.Phase() == PhaseIdle {
			idle = i
		}
	}
	if idle >= 0 {
		sim.campaign(idle)
	}
}

// moderateFault pauses or restarts one process, or resumes all daemons or servers.
func (sim *simulation) moderateFault() {
	d, s := sim.random.IntN(len(sim.daemons)), sim.random.IntN(len(sim.servers))
	switch sim.random.IntN(8) {
	case 0:
		sim.pause(&sim.daemons[d].process, "d")
	case 1, 2:
		for i := range sim.daemons {
			sim.resume(&sim.daemons[i].process, "d")
		}
	case 3:
		sim.pause(&sim.servers[s].process, "s")
	case 4, 5:
		for i := range sim.servers {
			sim.resume(&sim.servers[i].process, "s")
		}
	case 6:
		sim.restartServer(s)
	case 7:
		sim.restartDaemon(d)
	}
}
