package grant

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkWays measures the share of time in which shards are served, and the
// calls of the store, for the ways of the design page: terms by a majority of
// servers and store, or by the store alone; and a new term after every lapse of
// evidence, or the same term. No way may ever show two owners.
func BenchmarkWays(b *testing.B) {
	ways := []struct {
		name  string
		rules rules
	}{
		{"voters", rules{}},
		{"voters_new_terms", rules{newTerms: true}},
		{"store_only", rules{storeOnly: true}},
	}
	for _, store := range []string{"up", "mostly_down"} {
		for _, way := range ways {
			b.Run(fmt.Sprintf("store_%s/%s", store, way.name), func(b *testing.B) {
				var served, total time.Duration
				writes, reads := 0, 0
				for i := range b.N {
					w := gentle(uint64(i), 4, way.rules, store == "mostly_down", 30*time.Second)
					if w.violation != "" {
						b.Fatal(w.violation)
					}
					served += w.served
					total += w.t * time.Duration(w.shards)
					writes += w.writes
					reads += w.reads
				}
				b.ReportMetric(100*float64(served)/float64(total), "%served")
				b.ReportMetric(float64(writes)/float64(b.N)/30, "writes/s")
				b.ReportMetric(float64(reads)/float64(b.N)/30, "reads/s")
			})
		}
	}
}

// gentle runs a world with a fault every second or so, and daemons that seek
// the group as membership would have them: when nobody holds it.
func gentle(seed uint64, servers int, r rules, storeDown bool, d time.Duration) *world {
	w := newWorld(seed, servers, r)
	w.lossy, w.slow, w.repeat = 2, 5, 5
	for w.t < d && w.violation == "" {
		w.store.down = storeDown && w.random.IntN(10) > 0
		if w.random.IntN(10) == 0 {
			w.mildFault()
		}
		w.elect()
		w.run(100 * time.Millisecond)
	}
	return w
}

// elect has the first awake daemon seek the group when none that is awake holds it.
func (w *world) elect() {
	idle := -1
	for i, d := range w.daemons {
		if d.paused {
			continue
		}
		if d.h.Healthy(d.clock(w.t)) || d.h.Phase() == PhaseFencing {
			return
		}
		if idle < 0 && d.h.Phase() == PhaseIdle {
			idle = i
		}
	}
	if idle >= 0 {
		w.campaign(idle)
	}
}

// mildFault pauses or wakes a process, restarts a server, or cuts or heals a link.
func (w *world) mildFault() {
	d, s := w.random.IntN(len(w.daemons)), w.random.IntN(len(w.servers))
	switch w.random.IntN(8) {
	case 0:
		w.pause(&w.daemons[d].process, "d")
	case 1, 2:
		for i := range w.daemons {
			w.resume(&w.daemons[i].process, "d")
		}
	case 3:
		w.pause(&w.servers[s].process, "s")
	case 4, 5:
		for i := range w.servers {
			w.resume(&w.servers[i].process, "s")
		}
	case 6:
		w.restartServer(s)
	case 7:
		w.restartDaemon(d)
	}
}
