package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// However requests come, all hosts together stay within the allowance in every window.
func TestHostsTogetherStayWithinTheAllowance(t *testing.T) {
	limits := Limits{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	tests := []struct {
		name  string
		hosts int
		rate  int // requests a second on each host
	}{
		{"idle", 80, 0}, {"calm", 8, 5}, {"crest", 10, 40}, {"many hosts", 80, 2}, {"one host", 1, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1_000_000, 0)
			all := make([]*Budget, test.hosts)
			for i := range all {
				all[i] = New(start.Add(-time.Minute), limits)
			}
			repeats := make([]int, 0, 40)
			for second := range 40 {
				now := start.Add(time.Duration(second) * time.Second)
				n := 0
				for _, b := range all {
					for range test.rate {
						b.Request(now)
					}
					for b.Repeat(now, test.hosts, true) {
						n++
					}
				}
				repeats = append(repeats, n)
			}
			allowed := limits.Ratio*float64(test.rate*test.hosts*10) + limits.Extra
			for i := 10; i <= len(repeats); i++ {
				sum := 0
				for _, n := range repeats[i-10 : i] {
					sum += n
				}
				c.Check(float64(sum) <= allowed, qt.IsTrue, qt.Commentf("window %d: %d of %v", i, sum, allowed))
			}
			total := 0
			for _, n := range repeats {
				total += n
			}
			c.Check(total > 0, qt.Equals, test.rate > 0)
		})
	}
}

// What was counted leaves the window after its time, whether requests come in between or not.
func TestWindowSlides(t *testing.T) {
	c := qt.New(t)
	limits := Limits{Extra: 20, Window: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	all := func(b *Budget, now time.Time) (n int) {
		for b.Repeat(now, 1, true) {
			n++
		}
		return n
	}
	for _, busy := range []bool{false, true} {
		b := New(start.Add(-time.Minute), limits)
		c.Check(all(b, start.Add(900*time.Millisecond)), qt.Equals, 17)
		for second := 1; second < 10 && busy; second++ {
			now := start.Add(time.Duration(second) * time.Second)
			b.Request(now)
			c.Check(all(b, now), qt.Equals, 0)
		}
		c.Check(all(b, start.Add(10*time.Second)), qt.Equals, 0, qt.Commentf("9.1 s later"))
		c.Check(all(b, start.Add(11*time.Second)), qt.Equals, 17)
		c.Check(all(b, start.Add(time.Hour)), qt.Equals, 17)
	}
}

// A change of the limits gives nobody a second allowance.
func TestNewLimitsKeepTheCounts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	b := New(now.Add(-time.Minute), Limits{Extra: 20, Window: 10 * time.Second})
	for b.Repeat(now, 1, true) {
		continue
	}
	b.SetLimits(Limits{Extra: 20, Window: 10 * time.Second, Ratio: 0.1})
	c.Check(b.Repeat(now, 1, true), qt.IsFalse)
	b.SetLimits(Limits{Extra: 40, Window: 10 * time.Second})
	c.Check(b.Repeat(now, 1, true), qt.IsTrue)
}

// Whenever repeats come within the parts that are counted, no span of a window has more than is allowed.
func TestEverySpanStaysWithinTheAllowance(t *testing.T) {
	limits := Limits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	const step = 50 * time.Millisecond
	for offset := range 20 {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			b := New(start.Add(-time.Minute), limits)
			random := rand.New(rand.NewPCG(uint64(offset), 1))
			const steps = int(60 * time.Second / step)
			requests, repeats := make([]int, 0, steps), make([]int, 0, steps)
			for i := range steps {
				now := start.Add(time.Duration(i) * step)
				n := 0
				// Waves that begin anywhere within a part, with pauses as long as a window.
				wanted := (i+offset)%190 < 1+random.IntN(30)
				b.Request(now)
				for wanted && b.Repeat(now, 1, true) {
					n++
				}
				requests, repeats = append(requests, 1), append(repeats, n)
			}
			span := int(limits.Window / step)
			for i := span; i <= len(repeats); i++ {
				r, n := 0, 0
				for j := i - span; j < i; j++ {
					r, n = r+requests[j], n+repeats[j]
				}
				qt.Assert(t, float64(n) <= limits.Ratio*float64(r)+limits.Extra, qt.IsTrue, qt.Commentf("span %d: %d", i, n))
			}
		})
	}
}

// A burst of requests counts for its window and no longer.
func TestOldRequestsAllowNothing(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	b := New(start.Add(-time.Minute), Limits{Ratio: 0.2, Window: 10 * time.Second})
	for range 1000 {
		b.Request(start)
	}
	qt.Check(t, b.Repeat(start.Add(9*time.Second), 1, true), qt.IsTrue)
	qt.Check(t, b.Repeat(start.Add(10*time.Second), 1, true), qt.IsFalse)
}

// Processes that are killed and start again, at any moment, use the fixed number once in a window.
func TestProcessesThatStartAgainHaveNoSecondAllowance(t *testing.T) {
	limits := Limits{Extra: 60, Window: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	const hosts = 10
	for _, killed := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second} {
		all := make([]*Budget, hosts)
		for i := range all {
			all[i] = New(start.Add(-time.Minute), limits)
		}
		n := 0
		for at := time.Duration(0); at < limits.Window; at += 100 * time.Millisecond {
			if at == killed {
				for i := range all {
					all[i] = New(start.Add(at), limits)
				}
			}
			for _, b := range all {
				for b.Repeat(start.Add(at), hosts, true) {
					n++
				}
			}
		}
		qt.Check(t, float64(n) <= limits.Extra, qt.IsTrue, qt.Commentf("killed after %v: %d", killed, n))
	}
}

// Targets turn away 55 in 100 of what they get for eight seconds, as on scale-1
// of jalons-arree-grown. Callers come back once. More of them are served when
// those that came back go first.
func TestCallersThatCameBackGoFirst(t *testing.T) {
	const rate, turnedAway, callers = 100, 0.55, 1000
	limits := Limits{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}
	served := func(known bool) int {
		random := rand.New(rand.NewPCG(1, 2))
		start := time.Unix(1_000_000, 0)
		b := New(start.Add(-time.Minute), limits)
		n := 0
		var back []time.Time
		attempt := func(now time.Time, returning bool) bool {
			b.Request(now)
			for random.Float64() < turnedAway {
				if !b.Repeat(now, 1, returning || !known) {
					return false
				}
			}
			return true
		}
		for i := range callers {
			now := start.Add(time.Duration(i) * time.Second / rate)
			for len(back) > 0 && !back[0].After(now) {
				back = back[1:]
				if attempt(now, true) {
					n++
				}
			}
			if attempt(now, false) {
				n++
			} else {
				back = append(back, now.Add(150*time.Millisecond))
			}
		}
		return n
	}
	with, without := served(true), served(false)
	t.Logf("%d of %d served, %d when all are alike", with, callers, without)
	qt.Check(t, with >= without+callers*2/100, qt.IsTrue, qt.Commentf("%d, %d when all are alike", with, without))
}

// First attempts give between 0.85 and 1 of the longest time, returns what is left.
func TestWhoHasComeBack(t *testing.T) {
	tests := []struct {
		name     string
		patience time.Duration
		want     bool
	}{
		{"longest", 1500 * time.Millisecond, false},
		{"first attempt", 1280 * time.Millisecond, false},
		{"return", 1100 * time.Millisecond, true},
		{"none given", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var callers Callers
			qt.Check(t, callers.Returning("pages", test.patience), qt.IsFalse, qt.Commentf("nothing is known yet"))
			callers.Returning("pages", 1500*time.Millisecond)
			callers.Returning("archive", 4*time.Second)
			qt.Check(t, callers.Returning("pages", test.patience), qt.Equals, test.want)
			for i := range maxRoutes {
				callers.Returning(fmt.Sprint(i), time.Second)
			}
			qt.Check(t, len(callers.longest) <= maxRoutes, qt.IsTrue)
		})
	}
}
