package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The retries of all hosts together stay within the limits in every window, at any
// rate of requests.
func TestHostsShareAllowance(t *testing.T) {
	limits := Limits{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	tests := []struct {
		name  string
		hosts int
		rate  int // requests a second on each host
	}{
		{"idle", 80, 0}, {"low load", 8, 5}, {"peak load", 10, 40}, {"many hosts", 80, 2}, {"one host", 1, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1_000_000, 0)
			budgets := make([]*Budget, test.hosts)
			for i := range budgets {
				budgets[i] = New(start.Add(-time.Minute), limits)
			}
			retries := make([]int, 0, 40)
			for second := range 40 {
				now := start.Add(time.Duration(second) * time.Second)
				n := 0
				for _, b := range budgets {
					for range test.rate {
						b.RecordRequest(now)
					}
					for b.AllowRetry(now, test.hosts, true) {
						n++
					}
				}
				retries = append(retries, n)
			}
			allowed := limits.Ratio*float64(test.rate*test.hosts*10) + limits.Extra
			for i := 10; i <= len(retries); i++ {
				sum := 0
				for _, n := range retries[i-10 : i] {
					sum += n
				}
				c.Check(float64(sum) <= allowed, qt.IsTrue, qt.Commentf("window %d: %d retries of %v allowed", i, sum, allowed))
			}
			total := 0
			for _, n := range retries {
				total += n
			}
			c.Check(total > 0, qt.Equals, test.rate > 0)
		})
	}
}

// Retries leave the window when they are older than it, with and without requests in
// between.
func TestWindowSlides(t *testing.T) {
	c := qt.New(t)
	limits := Limits{Extra: 20, Window: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	countAllowed := func(b *Budget, now time.Time) (n int) {
		for b.AllowRetry(now, 1, true) {
			n++
		}
		return n
	}
	for _, busy := range []bool{false, true} {
		b := New(start.Add(-time.Minute), limits)
		c.Check(countAllowed(b, start.Add(900*time.Millisecond)), qt.Equals, 17)
		for second := 1; second < 10 && busy; second++ {
			now := start.Add(time.Duration(second) * time.Second)
			b.RecordRequest(now)
			c.Check(countAllowed(b, now), qt.Equals, 0)
		}
		c.Check(countAllowed(b, start.Add(10*time.Second)), qt.Equals, 0, qt.Commentf("the retries are 9.1 s old"))
		c.Check(countAllowed(b, start.Add(11*time.Second)), qt.Equals, 17)
		c.Check(countAllowed(b, start.Add(time.Hour)), qt.Equals, 17)
	}
}

// A change of the limits does not reset the count of retries.
func TestSetLimitsKeepsCounts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	b := New(now.Add(-time.Minute), Limits{Extra: 20, Window: 10 * time.Second})
	for b.AllowRetry(now, 1, true) {
		continue
	}
	b.SetLimits(Limits{Extra: 20, Window: 10 * time.Second, Ratio: 0.1})
	c.Check(b.AllowRetry(now, 1, true), qt.IsFalse)
	b.SetLimits(Limits{Extra: 40, Window: 10 * time.Second})
	c.Check(b.AllowRetry(now, 1, true), qt.IsTrue)
}

// No window exceeds the limits, wherever in a bucket the retries occur.
func TestEveryWindowStaysWithinAllowance(t *testing.T) {
	limits := Limits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	const step = 50 * time.Millisecond
	for offset := range 20 {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			b := New(start.Add(-time.Minute), limits)
			random := rand.New(rand.NewPCG(uint64(offset), 1))
			const steps = int(60 * time.Second / step)
			requests, retries := make([]int, 0, steps), make([]int, 0, steps)
			for i := range steps {
				now := start.Add(time.Duration(i) * step)
				n := 0
				// Bursts start at any point of a bucket, with pauses almost as long as a window.
				wanted := (i+offset)%190 < 1+random.IntN(30)
				b.RecordRequest(now)
				for wanted && b.AllowRetry(now, 1, true) {
					n++
				}
				requests, retries = append(requests, 1), append(retries, n)
			}
			span := int(limits.Window / step)
			for i := span; i <= len(retries); i++ {
				r, n := 0, 0
				for j := i - span; j < i; j++ {
					r, n = r+requests[j], n+retries[j]
				}
				qt.Assert(t, float64(n) <= limits.Ratio*float64(r)+limits.Extra, qt.IsTrue, qt.Commentf("window %d: %d retries", i, n))
			}
		})
	}
}

// A burst of requests allows retries only within its window.
func TestOldRequestsExpire(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	b := New(start.Add(-time.Minute), Limits{Ratio: 0.2, Window: 10 * time.Second})
	for range 1000 {
		b.RecordRequest(start)
	}
	qt.Check(t, b.AllowRetry(start.Add(9*time.Second), 1, true), qt.IsTrue)
	qt.Check(t, b.AllowRetry(start.Add(10*time.Second), 1, true), qt.IsFalse)
}

// Hosts that are killed and restart within a window do not use Limits.Extra twice.
func TestRestartGivesNoSecondAllowance(t *testing.T) {
	limits := Limits{Extra: 60, Window: 10 * time.Second}
	start := time.Unix(1_000_000, 0)
	const hosts = 10
	for _, killedAfter := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second} {
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = New(start.Add(-time.Minute), limits)
		}
		n := 0
		for at := time.Duration(0); at < limits.Window; at += 100 * time.Millisecond {
			if at == killedAfter {
				for i := range budgets {
					budgets[i] = New(start.Add(at), limits)
				}
			}
			for _, b := range budgets {
				for b.AllowRetry(start.Add(at), hosts, true) {
					n++
				}
			}
		}
		qt.Check(t, float64(n) <= limits.Extra, qt.IsTrue, qt.Commentf("killed after %v: %d retries", killedAfter, n))
	}
}

// Targets reject 55 % of the requests, as for eight seconds in the scale-1 run of
// jalons-arree-grown, and callers repeat a rejected request once. Priority for these
// caller retries increases the number of callers served.
func TestCallerRetriesHavePriority(t *testing.T) {
	const rate, rejectionRate, callers = 100, 0.55, 1000
	limits := Limits{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}
	served := func(priority bool) int {
		random := rand.New(rand.NewPCG(1, 2))
		start := time.Unix(1_000_000, 0)
		b := New(start.Add(-time.Minute), limits)
		n := 0
		var returns []time.Time
		attempt := func(now time.Time, callerRetry bool) bool {
			b.RecordRequest(now)
			for random.Float64() < rejectionRate {
				if !b.AllowRetry(now, 1, callerRetry || !priority) {
					return false
				}
			}
			return true
		}
		for i := range callers {
			now := start.Add(time.Duration(i) * time.Second / rate)
			for len(returns) > 0 && !returns[0].After(now) {
				returns = returns[1:]
				if attempt(now, true) {
					n++
				}
			}
			if attempt(now, false) {
				n++
			} else {
				returns = append(returns, now.Add(150*time.Millisecond))
			}
		}
		return n
	}
	with, without := served(true), served(false)
	t.Logf("%d of %d served, %d without priority", with, callers, without)
	qt.Check(t, with >= without+callers*2/100, qt.IsTrue, qt.Commentf("%d served, %d without priority", with, without))
}

// First attempts have timeouts between 0.85 and 1 of the longest one; caller retries
// have the remaining time.
func TestCallerRetriesAreDetected(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		want    bool
	}{
		{"longest timeout", 1500 * time.Millisecond, false},
		{"first attempt", 1280 * time.Millisecond, false},
		{"caller retry", 1100 * time.Millisecond, true},
		{"no timeout", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var detector CallerRetryDetector
			qt.Check(t, detector.Observe("pages", test.timeout), qt.IsFalse, qt.Commentf("no timeouts recorded"))
			detector.Observe("pages", 1500*time.Millisecond)
			detector.Observe("archive", 4*time.Second)
			qt.Check(t, detector.Observe("pages", test.timeout), qt.Equals, test.want)
			for i := range maxRoutes {
				detector.Observe(fmt.Sprint(i), time.Second)
			}
			qt.Check(t, len(detector.longestTimeout) <= maxRoutes, qt.IsTrue)
		})
	}
}
