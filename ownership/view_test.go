package ownership

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/redwingtally/redwingtally/platform"
)

// holdings draws random holdings in the form returned by Holdings, with gaps.
func holdings(t *rapid.T, label string) []Holding {
	var out []Holding
	next := rapid.IntRange(0, 3000).Draw(t, label+" first")
	for n := rapid.IntRange(0, 12).Draw(t, label+" count"); n > 0 && next < keyCount; n-- {
		last := min(keyCount-1, next+rapid.IntRange(0, 20000).Draw(t, label+" width"))
		out = appendHolding(out, Holding{
			KeyRange: platform.KeyRange{First: uint16(next), Last: uint16(last)},
			Target:   fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, label+" target")), Held: rapid.Bool().Draw(t, label+" held"),
		})
		next = last + 1 + rapid.SampledFrom([]int{0, 0, 0, 7}).Draw(t, label+" gap")
	}
	return out
}

// TestPatchAppliesDiff checks that patching holdings with a diff yields the new
// holdings, also when two diffs were merged.
func TestPatchAppliesDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, now := holdings(t, "old"), holdings(t, "new")
		changes := Diff(old, now)
		if got := Patch(old, changes); fmt.Sprint(got) != fmt.Sprint(now) {
			t.Fatalf("have %v, want %v, by %v", got, now, changes)
		}
		third := holdings(t, "third")
		if got := Patch(old, Merge(changes, Diff(now, third))); fmt.Sprint(got) != fmt.Sprint(third) {
			t.Fatalf("have %v, want %v", got, third)
		}
		if len(Diff(now, now)) > 0 {
			t.Fatal("equal holdings differ")
		}
	})
}

// TestDiffIsSmall checks that the diff for one moved span has one holding.
func TestDiffIsSmall(t *testing.T) {
	tc := newTestCoordinator()
	before := tc.core.Holdings("stock")
	after := Patch(before, []Holding{{KeyRange: platform.KeyRange{First: 100, Last: 120}, Target: "t7", Held: true}})
	qt.Check(t, Diff(before, after), qt.HasLen, 1)
	qt.Check(t, after, qt.HasLen, len(before)+2)
}
