package grant

import (
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// ruleSeeds is the number of seeds within which a disabled rule must cause a
// violation.
const ruleSeeds = 400

// randomFaultVariants disables the rules whose absence random faults detect. The
// interleavings for the others are too short for that; TestDirectedSchedules
// covers them.
var randomFaultVariants = []struct {
	name    string
	variant variant
}{
	{"R2 reports only from after the majority", variant{adoptEarlyReports: true}},
	{"R2 wait", variant{noWait: true}},
	{"R7 pending orders count", variant{ignorePending: true}},
}

// findViolation returns the first seed whose simulation shows a violation.
func findViolation(v variant, seeds uint64) (uint64, *simulation, bool) {
	for seed := range seeds {
		servers := 3 + int(seed%3)
		if sim := runRandomFaults(seed, servers, v, randomDuration); sim.violation != "" {
			return seed, sim, true
		}
	}
	return 0, nil, false
}

func TestRandomFaultsDetectDisabledRules(t *testing.T) {
	for _, r := range randomFaultVariants {
		t.Run(r.name, func(t *testing.T) {
			seed, sim, ok := findViolation(r.variant, ruleSeeds)
			if ok {
				t.Logf("seed %d: %s", seed, sim.violation)
			}
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("no seed shows a violation without rule %s", r.name))
		})
	}
}

// TestManyRandomFaults runs the simulation with many seeds. The environment
// variable GRANT_SEEDS sets their number; the default is 100.
func TestManyRandomFaults(t *testing.T) {
	n, err := strconv.ParseUint(os.Getenv("GRANT_SEEDS"), 10, 64)
	if err != nil {
		n = 100
	}
	for seed := range n {
		servers := 1 + int(seed%6)
		sim := runRandomFaults(1_000_000+seed, servers, variant{}, randomDuration)
		qt.Assert(t, sim.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}
