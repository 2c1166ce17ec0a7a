package coordination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/directory"
	"github.com/redwingtally/redwingtally/platform"
)

// A notice that one host has received reaches all others, survives the loss of the coordinator, and reaches hosts that start later.
func TestNoticeReachesAllHostsAndSurvivesTakeovers(t *testing.T) {
	hosts := startHosts(t, 3)
	leader := leaders(hosts)[0]
	var others []*testHost
	for _, h := range hosts {
		if h != leader {
			others = append(others, h)
		}
	}
	target := platform.Target{Name: "a", Service: "stock", StartedAt: limitedTarget.StartedAt}
	knows := func(hosts ...*testHost) func() bool {
		return func() bool {
			for _, h := range hosts {
				if !h.options.Notices.Has(target) {
					return false
				}
			}
			return true
		}
	}
	others[0].options.Notices.Add(time.Now(), directory.NoticeOf(target))
	waitFor(t, "notice on all hosts", knows(hosts...))
	leader.stop()
	waitFor(t, "another coordinator", func() bool { return len(leaders(others)) == 1 })
	waitFor(t, "notice on a host that started later", knows(startHost(t, "late", leader.storeAddress)))
	restarted := target
	restarted.StartedAt = restarted.StartedAt.Add(time.Second)
	qt.Check(t, others[1].options.Notices.Has(restarted), qt.IsFalse)
}

// A host of an earlier build, which knows no notices, is neither sent any nor replied to at once because of them.
func TestNoticesAreNotSentToEarlierBuilds(t *testing.T) {
	c := qt.New(t)
	l := newTestLeader()
	l.member.options.Notices = directory.NewNotices()
	l.member.options.Notices.Add(time.Now(), directory.Notice{Target: "a"})
	known := uint64(0)
	tests := []struct {
		name   string
		report Report
		want   int
	}{
		{"earlier build", Report{KnownRateLimits: l.rateLimitsVersion()}, 0},
		{"lacks the notice", Report{KnownRateLimits: l.rateLimitsVersion(), KnownNotices: &known}, 1},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			notices, _ := l.noticesSince(&test.report)
			c.Check(notices, qt.HasLen, test.want)
			c.Check(l.hasNoticesFor(&test.report), qt.Equals, test.want > 0)
		})
	}
}
