package holder

import (
	"time"

	"github.com/redwingtally/redwingtally/catalogue"
)

// unsettled remembers until when work of unknown fate may run on a target that
// does not check grants: a request that was given up there may run on until its
// deadline. Shards leave such a target only after that, unless its process is
// known to be gone.
type unsettled struct {
	until map[string]time.Time
}

// note adds a request that was given up on a target.
func (u *unsettled) note(target string, deadline time.Time) {
	if u.until == nil {
		u.until = map[string]time.Time{}
	}
	if deadline.After(u.until[target]) {
		u.until[target] = deadline
	}
}

// clear notes that the target's process is gone, with all that ran there.
func (u *unsettled) clear(target string) {
	delete(u.until, target)
}

// longestDeadline returns the longest time that a request of the service may take.
func longestDeadline(b *catalogue.Bundle) time.Duration {
	longest := time.Duration(0)
	for _, c := range b.Policy.Classes {
		longest = max(longest, c.Deadline.Duration)
	}
	return longest
}

// mayLeave reports whether shards may go from a target that does not check
// grants to another. After a takeover the earlier holder may have sent until its
// evidence ran out, and what it sent may run for the longest deadline.
func (g *Group) mayLeave(now time.Time, from string) bool {
	margin := g.d.Timing.ClockMargin
	taken := g.holder.FencedAt().Add(g.d.Timing.DeadlineLimit + margin)
	if now.Before(taken) {
		return false
	}
	h, known := g.health[from]
	if known && h.gone {
		return true
	}
	if g.object.Term != 0 && g.tookOver && now.Before(taken.Add(longestDeadline(g.bundle))) {
		return false
	}
	return !now.Before(g.unsettled.until[from].Add(margin))
}
