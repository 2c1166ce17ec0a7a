package grant

import (
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// ruleSeeds is how many random worlds a rule that is taken out may need to be caught.
const ruleSeeds = 400

// withoutRule names rules that random faults catch when they are taken out; the
// others have windows too short for that and stand in TestDirectedSchedules.
var withoutRule = []struct {
	name  string
	rules rules
}{
	{"R2 reports only from after the majority", rules{earlyReports: true}},
	{"R2 wait", rules{noWait: true}},
	{"R7 pending orders count", rules{forgetPending: true}},
}

// caught returns the first seed whose random world breaks without a rule.
func caught(r rules, seeds uint64) (uint64, *world, bool) {
	for seed := range seeds {
		servers := 3 + int(seed%3)
		if w := wild(seed, servers, r, wildTime); w.violation != "" {
			return seed, w, true
		}
	}
	return 0, nil, false
}

func TestRandomFaultsCatchRulesTakenOut(t *testing.T) {
	for _, r := range withoutRule {
		t.Run(r.name, func(t *testing.T) {
			seed, w, ok := caught(r.rules, ruleSeeds)
			if ok {
				t.Logf("seed %d: %s", seed, w.violation)
			}
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s can be taken out unnoticed", r.name))
		})
	}
}

// TestManyRandomFaults is the long search; GRANT_SEEDS sets its length.
func TestManyRandomFaults(t *testing.T) {
	n, err := strconv.ParseUint(os.Getenv("GRANT_SEEDS"), 10, 64)
	if err != nil {
		n = 100
	}
	for seed := range n {
		servers := 1 + int(seed%6)
		w := wild(1_000_000+seed, servers, rules{}, wildTime)
		qt.Assert(t, w.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}
