package ownership

import (
	"net/netip"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// An EndedTarget is an owner or former owner of keys whose process has ended. Another process may run in its place.
type EndedTarget struct {
	Incarnation
	// Reason says how the end was noticed.
	Reason string
	// MayHoldUntil is the latest time at which the process that has started in its place may hold keys by grants that were
	// addressed to the ended one; zero if it accepts none.
	MayHoldUntil time.Time
}

// UpdateLiveness updates the liveness of owners and former owners from the listed
// targets of all services of the configuration, and returns those whose process is newly found to have ended. This is
// the case when a target that started later has its name or its address.
func (c *Core) UpdateLiveness(now time.Time, targets []platform.Target) []EndedTarget {
	byName, byAddress := map[string]platform.Target{}, map[netip.AddrPort]platform.Target{}
	for _, t := range targets {
		byName[t.Name] = t
		if have, ok := byAddress[t.Address]; !ok || t.StartedAt.After(have.StartedAt) {
			byAddress[t.Address] = t
		}
	}
	var out []EndedTarget
	update := func(i Incarnation) {
		v := c.incarnation(i)
		named, at := byName[i.Name], byAddress[i.Address]
		switch {
		case v.ended:
		case at.StartedAt.After(i.StartedAt) && at.Name != i.Name:
			c.markEnded(i)
			out = append(out, EndedTarget{Incarnation: i, Reason: "other name"})
		case named.StartedAt.After(i.StartedAt) && named.Address != i.Address:
			c.markEnded(i)
			out = append(out, EndedTarget{Incarnation: i, Reason: "other address"})
		case named.StartedAt.After(i.StartedAt) && !v.restarted:
			out = append(out, EndedTarget{Incarnation: i, Reason: "restarted", MayHoldUntil: c.markRestarted(now, i)})
		}
	}
	for _, name := range c.serviceNames() {
		for _, st := range c.services[name].ranges {
			update(st.Owner)
			for _, f := range st.formers {
				update(f.Incarnation)
			}
		}
	}
	return out
}

// markEnded records that the process of an incarnation has ended and that no other accepts orders that are addressed to it.
func (c *Core) markEnded(i Incarnation) {
	if v := c.incarnation(i); !v.ended {
		v.ended = true
		c.version++
	}
}

// markRestarted records that another process runs under the name and at the address of an incarnation. It may have accepted
// grants that were addressed to the incarnation. It returns the time until which the process may hold keys.
func (c *Core) markRestarted(now time.Time, i Incarnation) time.Time {
	c.incarnation(i).restarted = true
	c.version++
	c.withdrawFencing(now, i)
	var until time.Time
	for _, s := range c.services {
		for _, st := range s.ranges {
			if st.Owner.SameAs(i) {
				until = later(until, st.possiblyHeldUntil)
			}
			for _, f := range st.formers {
				if f.SameAs(i) {
					until = later(until, f.possiblyHeldUntil)
				}
			}
		}
	}
	return until
}

// withdrawFencing records that the process of an incarnation may have started again. A new process has received no fencing token,
// so that it accepts grants of earlier coordinators that still run, and those that are in transit when they stop.
func (c *Core) withdrawFencing(now time.Time, i Incarnation) {
	lastGrantEnds := c.holdEnd(c.predecessorsEnd)
	if !now.Before(lastGrantEnds) {
		return
	}
	predecessorsRun := now.Before(c.predecessorsEnd)
	for _, s := range c.services {
		for _, st := range s.ranges {
			if st.Owner.SameAs(i) {
				st.possiblyHeldUntil = later(st.possiblyHeldUntil, lastGrantEnds)
				if predecessorsRun {
					st.fenced = false
				} else {
					st.staleGrantUntil = later(st.staleGrantUntil, lastGrantEnds)
				}
			}
			for _, f := range st.formers {
				if !f.SameAs(i) {
					continue
				}
				f.possiblyHeldUntil = later(f.possiblyHeldUntil, lastGrantEnds)
				if predecessorsRun {
					c.formersChanged = c.formersChanged || f.fenced
					f.fenced = false
				} else {
					f.unansweredUntil = later(f.unansweredUntil, lastGrantEnds)
				}
			}
		}
	}
}

// PredecessorsStopped records that the earlier coordinators send no more orders that
// targets accept. Their last orders may still be in transit.
func (c *Core) PredecessorsStopped(now time.Time) {
	hold := c.holdEnd(now)
	c.predecessorsEnd = earlier(c.predecessorsEnd, now)
	for _, s := range c.services {
		for _, st := range s.ranges {
			if !st.fenced {
				st.fenced = true
				st.possiblyHeldUntil, st.staleGrantUntil = earlier(st.possiblyHeldUntil, hold), later(st.staleGrantUntil, hold)
			}
			for _, f := range st.formers {
				if !f.fenced {
					f.fenced = true
					f.possiblyHeldUntil, f.unansweredUntil = earlier(f.possiblyHeldUntil, hold), later(f.unansweredUntil, hold)
				}
			}
		}
	}
}
