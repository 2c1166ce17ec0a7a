package grant

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/redwingtally/redwingtally/internal/seeds"
)

func TestMain(m *testing.M) {
	seeds.Fix(map[string]string{"rapid.checks": "400", "rapid.steps": "80"})
	os.Exit(m.Run())
}

const (
	wildSeeds = 60
	wildTime  = 20 * time.Second
)

func TestOneOwnerUnderRandomFaults(t *testing.T) {
	c := qt.New(t)
	for _, servers := range []int{1, 2, 3, 4, 5} {
		for seed := range uint64(wildSeeds) {
			w := wild(seed, servers, rules{}, wildTime)
			c.Assert(w.violation, qt.Equals, "", qt.Commentf("servers %d seed %d\n%s", servers, seed, strings.Join(w.trace, "\n")))
		}
	}
}

func TestOneOwnerStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "servers"), rules{})
		w.lossy = rapid.IntRange(0, 50).Draw(t, "lossy")
		w.slow = rapid.IntRange(0, 100).Draw(t, "slow")
		w.repeat = rapid.IntRange(0, 100).Draw(t, "repeat")
		daemon := func(t *rapid.T) int { return rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon") }
		server := func(t *rapid.T) int { return rapid.IntRange(0, len(w.servers)-1).Draw(t, "server") }
		pass := func(t *rapid.T) {
			w.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"campaign":       func(t *rapid.T) { w.campaign(daemon(t)) },
			"rewant":         func(t *rapid.T) { w.rewant(daemon(t)) },
			"pause daemon":   func(t *rapid.T) { w.pause(&w.daemons[daemon(t)].process, "daemon") },
			"resume daemon":  func(t *rapid.T) { w.resume(&w.daemons[daemon(t)].process, "daemon") },
			"pause server":   func(t *rapid.T) { w.pause(&w.servers[server(t)].process, "server") },
			"resume server":  func(t *rapid.T) { w.resume(&w.servers[server(t)].process, "server") },
			"restart server": func(t *rapid.T) { w.restartServer(server(t)) },
			"restart daemon": func(t *rapid.T) { w.restartDaemon(daemon(t)) },
			"change voters":  func(t *rapid.T) { w.changeVoters(daemon(t)) },
			"cut": func(t *rapid.T) {
				w.cut[link(fmt.Sprintf("d%d", daemon(t)), fmt.Sprintf("s%d", server(t)))] = true
			},
			"cut back": func(t *rapid.T) {
				w.cut[link(fmt.Sprintf("s%d", server(t)), fmt.Sprintf("d%d", daemon(t)))] = true
			},
			"heal":        func(*rapid.T) { clear(w.cut) },
			"store down":  func(*rapid.T) { w.store.down = true },
			"store up":    func(*rapid.T) { w.store.down = false },
			"store slow":  func(*rapid.T) { w.store.slow = 300 * time.Millisecond },
			"store fast":  func(*rapid.T) { w.store.slow = 0 },
			"lose answer": func(*rapid.T) { w.store.loseOne = true },
			"pass":        pass,
			"pass more":   pass,
			"": func(t *rapid.T) {
				if w.violation != "" {
					t.Fatalf("%s\n%s", w.violation, strings.Join(w.trace, "\n"))
				}
			},
		})
	})
}
