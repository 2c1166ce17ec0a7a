package coordination

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/ratelimit"
)

var limitedTarget = ownership.Incarnation{Name: "a", StartedAt: time.UnixMilli(1700000000000).UTC()}

// observe records on a host that the target stated a limit, or none.
func (h *testHost) observe(perSecond float64, stated bool) {
	h.options.RateLimits.Observe(time.Now(), ratelimit.Limit{Target: limitedTarget, PerSecond: perSecond, Stated: stated})
	h.ReportNow()
}

// waitForLimit waits until all hosts know the limit, or that there is none.
func waitForLimit(t *testing.T, what string, hosts []*testHost, perSecond float64, stated bool) {
	waitFor(t, what, func() bool {
		for _, h := range hosts {
			if got, ok := h.options.RateLimits.PerSecond(limitedTarget); ok != stated || got != perSecond {
				return false
			}
		}
		return true
	})
}

// A limit that one host has seen reaches all others, survives the loss of the coordinator, reaches hosts that
// start later, and ends on all hosts.
func TestRateLimitReachesAllHostsAndSurvivesTakeovers(t *testing.T) {
	c := qt.New(t)
	hosts := startHosts(t, 3)
	leader := leaders(hosts)[0]
	var others []*testHost
	for _, h := range hosts {
		if h != leader {
			others = append(others, h)
		}
	}
	others[0].observe(4.2, true)
	waitForLimit(t, "limit on all hosts", hosts, 4.2, true)
	leader.stop()
	waitFor(t, "another coordinator", func() bool { return len(leaders(others)) == 1 })
	late := startHost(t, "late", leader.storeAddress)
	waitForLimit(t, "limit on a host that started later", []*testHost{late}, 4.2, true)
	permits, err := late.RequestPermits(context.Background(), []ratelimit.Want{{Target: limitedTarget, PerSecond: 4.2, Count: 1}})
	c.Assert(err, qt.IsNil)
	c.Check(permits, qt.HasLen, 1)
	others[1].observe(0, false)
	waitForLimit(t, "no limit on any host", append(others, late), 0, false)
}

// A host that follows no coordinator gets no permits from one.
func TestPermitsNeedACoordinator(t *testing.T) {
	m := New(Options{Log: newTestLeader().member.options.Log})
	_, err := m.RequestPermits(context.Background(), nil)
	qt.Check(t, err, qt.ErrorIs, ErrNoCoordinator)
}
