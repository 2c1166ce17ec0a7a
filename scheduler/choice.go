package scheduler

import (
	"math"
	"time"
)

// servable reports whether some target could run r. A key without a known owner may get one soon.
func (c *Core) servable(now time.Time, r *Request) bool {
	if r.Keyed {
		return len(c.ordered) > 0
	}
	for _, t := range c.ordered {
		if t.usable(now) {
			return true
		}
	}
	return false
}

// allowance returns how many requests of the service this host may have running.
func (c *Core) allowance(now time.Time) int {
	slots := 0.0
	for _, t := range c.ordered {
		if t.usable(now) {
			slots += t.capacity(now)
		}
	}
	return max(2, int(math.Ceil(c.share*slots*overcommit)))
}

// keyedCap returns how many requests this host may have running at a target
// that owns keys: what its answers allow, and at least its share of the slots
// and of a short queue.
func (c *Core) keyedCap(now time.Time, t *target) int {
	return max(int(t.limit), int(math.Round(c.share*(t.capacity(now)+keyedDepth))))
}

// Next takes the next request that can be sent now.
func (c *Core) Next(now time.Time) (Dispatch, bool) {
	if len(c.queue) == 0 {
		return Dispatch{}, false
	}
	room := c.running < c.allowance(now)
	for i, r := range c.queue {
		var t *target
		switch {
		case r.Keyed:
			t = c.ownerWithRoom(now, r)
		case room:
			t = c.best(now, r)
		}
		if t == nil {
			continue
		}
		c.queue = append(c.queue[:i], c.queue[i+1:]...)
		c.start(now, r, t)
		return Dispatch{Request: r, Target: t.Target, Waited: now.Sub(r.arrived)}, true
	}
	return Dispatch{}, false
}

func (c *Core) start(now time.Time, r *Request, t *target) {
	if !c.fresh(now, r) {
		c.line(r).progress = now
	}
	r.target = t
	r.tried = append(r.tried, t.Name)
	t.start(now)
	c.running++
}

// ownerWithRoom returns the owner of r's key if it may get a request now.
func (c *Core) ownerWithRoom(now time.Time, r *Request) *target {
	name, ok := c.options.Owner(r.Key)
	if !ok {
		return nil
	}
	t := c.targets[name]
	if t == nil || !t.open(now) || t.running >= c.keyedCap(now, t) {
		return nil
	}
	return t
}

// best returns the open target with the least expected time for r, or nil.
// Targets that r was sent to before come last, one that this host adopted first;
// equal ones take turns.
func (c *Core) best(now time.Time, r *Request) *target {
	var best *target
	least := math.Inf(1)
	c.rotation++
	for i := range c.ordered {
		t := c.ordered[(i+c.rotation)%len(c.ordered)]
		if !t.open(now) {
			continue
		}
		cost := t.cost(now) + c.distance(t, r)
		switch {
		case r.has(t.Name):
			cost += triedCost
		case t.adopted:
			cost = 0
		}
		if cost < least {
			best, least = t, cost
		}
	}
	return best
}

// distance returns what reaching a target costs besides its work, in parts of the expected time.
func (c *Core) distance(t *target, r *Request) float64 {
	cost := 0.0
	if t.DataCentre != c.options.DataCentre {
		cost += remoteCost + remoteBodyCost*float64(r.Bytes)/bodyUnit
	}
	if !c.options.Connected(t.Name) {
		cost += connectCost
	}
	return cost
}

func (r *Request) has(name string) bool {
	for _, t := range r.tried {
		if t == name {
			return true
		}
	}
	return false
}
