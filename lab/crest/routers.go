package crest

import (
	"time"

	"github.com/redwingtally/redwingtally/dispatch"
)

// baselineTries bounds the attempts of the baselines' requests.
const baselineTries = 3

func (g *rig) router(p Policy) router {
	switch p {
	case PolicyFIFO:
		return g.fifo()
	case PolicyCore:
		return g.core()
	}
	return g.independent(p)
}

// independent are routers that each see only what they sent themselves.
func (g *rig) independent(p Policy) router {
	outstanding := make([][]int, routers)
	next := make([]int, routers)
	for i := range outstanding {
		outstanding[i] = make([]int, len(g.targets))
	}
	var route func(j *job)
	route = func(j *job) {
		r := g.random.IntN(routers)
		i := g.choose(p, outstanding[r], &next[r])
		if g.w.Divided {
			i = j.key
		}
		outstanding[r][i]++
		g.send(i, j, func(o outcome) {
			outstanding[r][i]--
			switch o {
			case outcomeOK:
				g.start(j)
				g.answered(j, 0)
			case outcomeExpired:
				g.refused(j, true)
			case outcomeUnreachable, outcomeShed:
				if j.tries < baselineTries && g.now < j.deadline() {
					g.after(time.Millisecond, func() { route(j) })
					return
				}
				g.refused(j, true)
			case outcomeLost:
				g.refused(j, false)
			}
		})
	}
	return route
}

func (g *rig) choose(p Policy, outstanding []int, next *int) int {
	n := len(outstanding)
	switch p {
	case PolicyRoundRobin:
		*next = (*next + 1) % n
		return *next
	case PolicyLeast:
		best := g.random.IntN(n)
		for i := range n {
			if outstanding[i] < outstanding[best] {
				best = i
			}
		}
		return best
	case PolicyTwoChoices:
		a, b := g.random.IntN(n), g.random.IntN(n)
		if outstanding[b] < outstanding[a] {
			return b
		}
		return a
	}
	return g.random.IntN(n)
}

// fifo is one queue at the holder without classes, limits or refusals but the deadline.
func (g *rig) fifo() router {
	var queue []*job
	var pump func()
	pump = func() {
		for i := 0; i < len(queue); {
			j := queue[i]
			if g.now > j.deadline() {
				queue = append(queue[:i], queue[i+1:]...)
				g.refused(j, true)
				continue
			}
			t := g.freeTarget(j)
			if t < 0 {
				if g.w.Divided {
					i++
					continue
				}
				return
			}
			queue = append(queue[:i], queue[i+1:]...)
			g.send(t, j, func(o outcome) {
				switch o {
				case outcomeOK:
					g.answered(j, 2*g.w.Hop)
				case outcomeUnreachable:
					queue = append([]*job{j}, queue...)
				default:
					g.refused(j, false)
				}
				g.after(0, pump)
			})
		}
	}
	return func(j *job) {
		queue = append(queue, j)
		pump()
	}
}

func (g *rig) freeTarget(j *job) int {
	if g.w.Divided {
		if t := g.targets[j.key]; !t.lost && t.busy < slots {
			return j.key
		}
		return -1
	}
	best := -1
	for i, t := range g.targets {
		if !t.lost && t.busy < slots && (best < 0 || t.busy < g.targets[best].busy) {
			best = i
		}
	}
	return best
}

// core is the dispatch core at the holder, one hop away from the callers' entry.
func (g *rig) core() router {
	cfg := dispatch.Config{LongRoutes: make([]bool, routes), RetryRatio: 0.1, MaxAttempts: 3, QueueLimit: 4000}
	for i := range classes {
		cfg.Classes = append(cfg.Classes, dispatch.ClassConfig{Rank: i, QueueLimit: 2000, Ageing: ageing[i]})
	}
	c := dispatch.New(cfg)
	for _, t := range g.targets {
		c.SetTarget(dispatch.TargetSpec{Name: targetName(t.index), Slots: slots})
	}
	base := time.Unix(0, 0)
	now := func() time.Time { return base.Add(g.now) }
	var pump func()
	pump = func() {
		for r, ok := c.Next(now()); ok; r, ok = c.Next(now()) {
			g.send(r.Target(), r.Value.(*job), func(o outcome) {
				g.coreEnded(c, r, o, now())
				g.after(0, pump)
			})
		}
		for _, r := range c.TakeRefused() {
			g.refused(r.Request.Value.(*job), r.Request.Attempts() == 0)
		}
	}
	var tick func()
	tick = func() {
		c.Tick(now())
		pump()
		if g.now < duration+10*time.Second {
			g.after(10*time.Millisecond, tick)
		}
	}
	g.at(0, tick)
	return func(j *job) {
		g.after(g.w.Hop, func() {
			r := &dispatch.Request{Class: j.class, Route: j.route, Shard: -1, Owner: dispatch.AnyTarget, Deadline: base.Add(j.deadline() - g.w.Hop), Repeatable: j.class != ClassDeposits, Value: j}
			if g.w.Divided {
				r.Owner = j.key
			}
			if refusal := c.Add(now(), r); refusal != nil {
				g.refused(j, true)
				return
			}
			pump()
		})
	}
}

func (g *rig) coreEnded(c *dispatch.Dispatcher, r *dispatch.Request, o outcome, now time.Time) {
	j := r.Value.(*job)
	switch o {
	case outcomeOK:
		c.Finish(now, r, dispatch.ResultOK)
		g.answered(j, g.w.Hop)
		return
	case outcomeUnreachable:
		if c.Finish(now, r, dispatch.ResultNotStarted) == dispatch.OutcomeFinished {
			g.refused(j, !g.began[j.id])
		}
	case outcomeShed:
		if c.Finish(now, r, dispatch.ResultOverloaded) == dispatch.OutcomeFinished {
			g.refused(j, !g.began[j.id])
		}
	case outcomeLost, outcomeExpired:
		if c.Finish(now, r, dispatch.ResultConnectionFailed) == dispatch.OutcomeFinished {
			g.refused(j, false)
		}
	}
}

func targetName(i int) string { return string(rune('a' + i)) }
