package holder

import (
	"time"

	"github.com/redwingtally/redwingtally/catalogue"
)

// unknownOutcomes records, for targets that do not check grants, until when requests
// with an unknown outcome may still be running: an abandoned request can run until
// its deadline. Shards move from such a target only after that, unless its process
// is known to have ended.
type unknownOutcomes struct {
	runningUntil map[string]time.Time
}

// add records the deadline of a request that was abandoned on a target.
func (u *unknownOutcomes) add(target string, deadline time.Time) {
	if u.runningUntil == nil {
		u.runningUntil = map[string]time.Time{}
	}
	if deadline.After(u.runningUntil[target]) {
		u.runningUntil[target] = deadline
	}
}

// clear removes a target whose process has ended, and with it all its requests.
func (u *unknownOutcomes) clear(target string) {
	delete(u.runningUntil, target)
}

// longestDeadline returns the longest deadline of the service's classes.
func longestDeadline(config *catalogue.ServiceConfig) time.Duration {
	longest := time.Duration(0)
	for _, class := range config.Policy.Classes {
		longest = max(longest, class.Deadline.Duration)
	}
	return longest
}

// canMoveFrom reports whether shards can move from a target that does not check
// grants to another. After a takeover the previous holder may have sent requests
// until its evidence expired, and they may run for the longest deadline.
func (g *Group) canMoveFrom(now time.Time, from string) bool {
	margin := g.deps.Timing.ClockMargin
	evidenceEnd := g.holder.FencedAt().Add(g.deps.Timing.DeadlineLimit + margin)
	if now.Before(evidenceEnd) {
		return false
	}
	h, known := g.health[from]
	if known && h.notListening {
		return true
	}
	if g.object.Term != 0 && g.hadPreviousHolder && now.Before(evidenceEnd.Add(longestDeadline(g.config))) {
		return false
	}
	return !now.Before(g.unknownOutcomes.runningUntil[from].Add(margin))
}
