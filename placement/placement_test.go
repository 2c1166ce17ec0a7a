package placement

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/redwingtally/redwingtally/internal/seeds"
)

func TestMain(m *testing.M) {
	seeds.SetFlags(nil)
	os.Exit(m.Run())
}

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("s%d", i)
	}
	return out
}

// TestAssignBalancesWithFewMoves checks that an unchanged input moves no shard,
// that an added target gets at most its share, and that a removed target loses
// only its own shards.
func TestAssignBalancesWithFewMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 200).Draw(t, "shards")
		n := rapid.IntRange(1, 20).Draw(t, "targets")
		all := names(n + 1)
		a := Assign(Input{Shards: shards, Targets: all[:n]})
		if Imbalance(a, n) >= 1 {
			t.Fatalf("imbalance %v", Imbalance(a, n))
		}
		if again := Assign(Input{Shards: shards, Targets: all[:n], Current: a}); CountMoves(a, again) != 0 {
			t.Fatalf("%d shards move although the input is unchanged", CountMoves(a, again))
		}
		more := Assign(Input{Shards: shards, Targets: all, Current: a})
		if moves := CountMoves(a, more); moves > shards/(n+1)+1 {
			t.Fatalf("%d of %d shards move when %d targets become %d", moves, shards, n, n+1)
		}
		less := Assign(Input{Shards: shards, Targets: all[:n], Current: more})
		held := 0
		for _, o := range more {
			if o == all[n] {
				held++
			}
		}
		if moves := CountMoves(more, less); moves != held {
			t.Fatalf("%d shards move when a target with %d shards is removed", moves, held)
		}
	})
}

func TestAssignHonoursPins(t *testing.T) {
	a := Assign(Input{Shards: 8, Targets: names(4), Pins: []Pin{{Shard: 3, Target: "s2"}, {Shard: 4, Target: "gone"}}})
	qt.Assert(t, a[3], qt.Equals, "s2")
	qt.Assert(t, a[4], qt.Not(qt.Equals), "gone")
	qt.Assert(t, Assign(Input{Shards: 2}), qt.DeepEquals, Assignment{"", ""})
}

func TestRankDaemonsMovesFewGroupsWhenADaemonIsAdded(t *testing.T) {
	moved := 0
	for i := range 1000 {
		g := fmt.Sprintf("group-%d", i)
		if RankDaemons(g, names(10))[0] != RankDaemons(g, names(11))[0] {
			moved++
		}
	}
	qt.Assert(t, moved > 50 && moved < 140, qt.IsTrue, qt.Commentf("%d of 1000 groups moved, expected about 1000/11", moved))
}

func TestSketchErrorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSketch(20)
		truth := map[string]uint64{}
		for range 2000 {
			k := fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "key"))
			if rapid.Bool().Draw(t, "hot") {
				k = "hot"
			}
			s.Add(k)
			truth[k]++
		}
		for _, c := range s.Top(20, 0) {
			if c.Count < truth[c.Key] || c.Count-c.Error > truth[c.Key] {
				t.Fatalf("key %s: count %d, error %d, true count %d", c.Key, c.Count, c.Error, truth[c.Key])
			}
		}
		for k, n := range truth {
			if n > s.Total()/20 && len(s.Top(20, 1)) == 0 {
				t.Fatalf("hot key %s is not in the sketch", k)
			}
		}
	})
}

func BenchmarkAssign(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			a := Assign(Input{Shards: 1024, Targets: names(n)})
			b.ReportAllocs()
			for b.Loop() {
				Assign(Input{Shards: 1024, Targets: names(n)[1:], Current: a})
			}
		})
	}
}

func BenchmarkSketch(b *testing.B) {
	s := NewSketch(1024)
	keys := names(100_000)
	for i := 0; b.Loop(); i++ {
		s.Add(keys[i%len(keys)])
	}
}
