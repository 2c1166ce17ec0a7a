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
	seeds.SetFlags(map[string]string{"rapid.checks": "400", "rapid.steps": "80"})
	os.Exit(m.Run())
}

const (
	randomSeeds    = 60
	randomDuration = 20 * time.Second
)

func TestOneOwnerUnderRandomFaults(t *testing.T) {
	c := qt.New(t)
	for _, servers := range []int{1, 2, 3, 4, 5} {
		for seed := range uint64(randomSeeds) {
			sim := runRandomFaults(seed, servers, variant{}, randomDuration)
			c.Assert(sim.violation, qt.Equals, "", qt.Commentf("servers %d seed %d\n%s", servers, seed, strings.Join(sim.trace, "\n")))
		}
	}
}

func TestOneOwnerStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "servers"), variant{})
		sim.lossRate = rapid.IntRange(0, 50).Draw(t, "lossRate")
		sim.delayRate = rapid.IntRange(0, 100).Draw(t, "delayRate")
		sim.duplicateRate = rapid.IntRange(0, 100).Draw(t, "duplicateRate")
		daemon := func(t *rapid.T) int { return rapid.IntRange(0, len(sim.daemons)-1).Draw(t, "daemon") }
		server := func(t *rapid.T) int { return rapid.IntRange(0, len(sim.servers)-1).Draw(t, "server") }
		pass := func(t *rapid.T) {
			sim.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"campaign":       func(t *rapid.T) { sim.campaign(daemon(t)) },
			"set assignment": func(t *rapid.T) { sim.randomizeAssignment(daemon(t)) },
			"pause daemon":   func(t *rapid.T) { sim.pause(&sim.daemons[daemon(t)].process, "daemon") },
			"resume daemon":  func(t *rapid.T) { sim.resume(&sim.daemons[daemon(t)].process, "daemon") },
			"pause server":   func(t *rapid.T) { sim.pause(&sim.servers[server(t)].process, "server") },
			"resume server":  func(t *rapid.T) { sim.resume(&sim.servers[server(t)].process, "server") },
			"restart server": func(t *rapid.T) { sim.restartServer(server(t)) },
			"restart daemon": func(t *rapid.T) { sim.restartDaemon(daemon(t)) },
			"change voters":  func(t *rapid.T) { sim.changeVoters(daemon(t)) },
			"cut": func(t *rapid.T) {
				sim.partitioned[linkKey(fmt.Sprintf("d%d", daemon(t)), fmt.Sprintf("s%d", server(t)))] = true
			},
			"cut reverse": func(t *rapid.T) {
				sim.partitioned[linkKey(fmt.Sprintf("s%d", server(t)), fmt.Sprintf("d%d", daemon(t)))] = true
			},
			"heal":       func(*rapid.T) { clear(sim.partitioned) },
			"store down": func(*rapid.T) { sim.store.down = true },
			"store up":   func(*rapid.T) { sim.store.down = false },
			"store slow": func(*rapid.T) { sim.store.slow = 300 * time.Millisecond },
			"store fast": func(*rapid.T) { sim.store.slow = 0 },
			"lose reply": func(*rapid.T) { sim.store.loseNextReply = true },
			"pass":       pass,
			"pass more":  pass,
			"": func(t *rapid.T) {
				if sim.violation != "" {
					t.Fatalf("%s\n%s", sim.violation, strings.Join(sim.trace, "\n"))
				}
			},
		})
	})
}
