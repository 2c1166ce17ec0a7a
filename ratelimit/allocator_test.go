package ratelimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/ratelimit"
)

// simulatedHost sends requests to one target with the permits that it gets.
type simulatedHost struct {
	pending int         // requests that wait for a permit
	permits []time.Time // expiry of each
	unused  int
	nextAsk time.Time
}

// expire moves expired permits to the unused ones.
func (h *simulatedHost) expire(now time.Time) {
	for len(h.permits) > 0 && !now.Before(h.permits[0]) {
		h.permits = h.permits[1:]
		h.unused++
	}
}

// The hosts together exceed no limit, however many they are and whenever they use their permits:
// in any 4 s they send at most one and a half times the limit and five requests more.
func TestPermitsOfAllHostsKeepTheLimit(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		duration = 40 * time.Second
		window   = 4 * time.Second
	)
	tests := []struct {
		name      string
		hosts     int
		perSecond float64
		demand    float64 // requests of all hosts, as a multiple of the limit
		bursts    bool    // requests come in one of four seconds
		late      bool    // requests that have a permit are sent when it is about to expire
		takeover  bool    // a new coordinator replaces the allocator every five seconds
	}{
		{name: "few hosts, little demand", hosts: 8, perSecond: 5, demand: 0.5},
		{name: "few hosts, much demand", hosts: 8, perSecond: 5, demand: 5},
		{name: "few hosts, a low limit", hosts: 10, perSecond: 1.2, demand: 10, bursts: true},
		{name: "many hosts, a low limit", hosts: 295, perSecond: 1.2, demand: 10, late: true},
		{name: "many hosts, bursts", hosts: 295, perSecond: 12, demand: 8, bursts: true, late: true},
		{name: "takeovers", hosts: 82, perSecond: 6, demand: 4, late: true, takeover: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			allocator := ratelimit.NewAllocator()
			hosts := make([]simulatedHost, test.hosts)
			askInterval := max(50*time.Millisecond, time.Duration(test.hosts)*3*time.Millisecond)
			arrivals := test.demand * test.perSecond * step.Seconds() / float64(test.hosts)
			var sent []time.Time
			for now := start; now.Before(start.Add(duration)); now = now.Add(step) {
				elapsed := now.Sub(start)
				if test.takeover && elapsed%(5*time.Second) == 0 {
					allocator = ratelimit.NewAllocator()
				}
				for i := range hosts {
					h := &hosts[i]
					if (!test.bursts || elapsed%(4*time.Second) < time.Second) && random.Float64() < arrivals {
						h.pending++
					}
					for h.pending > 0 && len(h.permits) > 0 && (!test.late || h.permits[0].Sub(now) <= step) {
						h.permits = h.permits[1:]
						h.pending--
						sent = append(sent, now)
					}
					h.expire(now)
					if lacks := h.pending - len(h.permits); !now.Before(h.nextAsk) && (lacks > 0 || h.unused > 0) {
						h.nextAsk = now.Add(askInterval)
						want := ratelimit.Want{Target: target, PerSecond: test.perSecond, Count: max(0, min(4, lacks)), Unused: h.unused}
						h.unused = 0
						for range allocator.Take(now, want, 1) {
							h.permits = append(h.permits, now.Add(ratelimit.PermitLifetime))
						}
					}
				}
			}
			most, first := 0, 0
			for i, at := range sent {
				for at.Sub(sent[first]) >= window {
					first++
				}
				most = max(most, i-first+1)
			}
			allowed := int(1.5*test.perSecond*window.Seconds()) + 5
			c.Check(most <= allowed, qt.IsTrue, qt.Commentf("%d in %s, %d allowed", most, window, allowed))
			used := float64(len(sent)) / duration.Seconds()
			c.Check(used >= 0.8*test.perSecond*min(1, test.demand), qt.IsTrue, qt.Commentf("%.2f requests a second", used))
			c.Logf("%.2f requests a second; most in %s: %d of %d", used, window, most, allowed)
		})
	}
}

// A target that accepts no request gets one now and then, as only a response ends the limit.
func TestLimitOfZeroLetsProbesPass(t *testing.T) {
	c := qt.New(t)
	allocator := ratelimit.NewAllocator()
	n := 0
	for second := range 10 {
		n += allocator.Take(at(float64(second)), ratelimit.Want{Target: target, Count: 4}, 1)
	}
	c.Check(n >= 3 && n <= 7, qt.IsTrue, qt.Commentf("%d", n))
}
