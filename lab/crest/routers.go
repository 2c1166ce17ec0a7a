package crest

import (
	"time"

	"github.com/redwingtally/redwingtally/dispatch"
)

// baselineAttempts is the maximum number of attempts per request under the
// policies with independent routers.
const baselineAttempts = 3

func (g *simulation) newRouter(p Policy) routeFunc {
	switch p {
	case PolicyFIFO:
		return g.newFIFO()
	case PolicyDispatcher:
		return g.newDispatcher()
	}
	return g.newIndependent(p)
}

// newIndependent returns routers that each know only their own outstanding requests.
func (g *simulation) newIndependent(p Policy) routeFunc {
	outstanding := make([][]int, routerCount)
	next := make([]int, routerCount)
	for i := range outstanding {
		outstanding[i] = make([]int, len(g.targets))
	}
	var route func(j *job)
	route = func(j *job) {
		r := g.random.IntN(routerCount)
		i := g.chooseTarget(p, outstanding[r], &next[r])
		if g.workload.Keyed {
			i = j.key
		}
		outstanding[r][i]++
		g.send(i, j, func(o outcome) {
			outstanding[r][i]--
			switch o {
			case outcomeOK:
				g.recordStart(j)
				g.recordResponse(j, 0)
			case outcomeDeadlinePassed:
				g.recordRefusal(j, true)
			case outcomeUnreachable, outcomeOverloaded:
				if j.attempts < baselineAttempts && g.now < j.deadline() {
					g.scheduleAfter(time.Millisecond, func() { route(j) })
					return
				}
				g.recordRefusal(j, true)
			case outcomeConnectionFailed:
				g.recordRefusal(j, false)
			}
		})
	}
	return route
}

func (g *simulation) chooseTarget(p Policy, outstanding []int, next *int) int {
	n := len(outstanding)
	switch p {
	case PolicyRoundRobin:
		*next = (*next + 1) % n
		return *next
	case PolicyLeastOutstanding:
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

// newFIFO returns a router with one central queue. It has no classes and no queue
// limits, and refuses requests only when their deadline has passed.
func (g *simulation) newFIFO() routeFunc {
	var queue []*job
	var dispatchQueued func()
	dispatchQueued = func() {
		for i := 0; i < len(queue); {
			j := queue[i]
			if g.now > j.deadline() {
				queue = append(queue[:i], queue[i+1:]...)
				g.recordRefusal(j, true)
				continue
			}
			t := g.freeTarget(j)
			if t < 0 {
				if g.workload.Keyed {
					i++
					continue
				}
				return
			}
			queue = append(queue[:i], queue[i+1:]...)
			g.send(t, j, func(o outcome) {
				switch o {
				case outcomeOK:
					g.recordResponse(j, 2*g.workload.HopDelay)
				case outcomeUnreachable:
					queue = append([]*job{j}, queue...)
				default:
					g.recordRefusal(j, false)
				}
				g.scheduleAfter(0, dispatchQueued)
			})
		}
	}
	return func(j *job) {
		queue = append(queue, j)
		dispatchQueued()
	}
}

// freeTarget returns the target with the fewest busy slots that can start j, or -1.
func (g *simulation) freeTarget(j *job) int {
	if g.workload.Keyed {
		if t := g.targets[j.key]; !t.failed && t.busySlots < slotsPerTarget {
			return j.key
		}
		return -1
	}
	best := -1
	for i, t := range g.targets {
		if !t.failed && t.busySlots < slotsPerTarget && (best < 0 || t.busySlots < g.targets[best].busySlots) {
			best = i
		}
	}
	return best
}

// newDispatcher returns a router that uses the dispatch core, one hop away from
// the callers' entry.
func (g *simulation) newDispatcher() routeFunc {
	cfg := dispatch.Config{LongRoutes: make([]bool, routeCount), RetryRatio: 0.1, MaxAttempts: 3, QueueLimit: 4000}
	for i := range classCount {
		cfg.Classes = append(cfg.Classes, dispatch.ClassConfig{Rank: i, QueueLimit: 2000, Ageing: classAgeing[i]})
	}
	c := dispatch.New(cfg)
	for _, t := range g.targets {
		c.SetTarget(dispatch.TargetSpec{Name: targetName(t.index), Slots: slotsPerTarget})
	}
	base := time.Unix(0, 0)
	now := func() time.Time { return base.Add(g.now) }
	var dispatchQueued func()
	dispatchQueued = func() {
		for r, ok := c.Next(now()); ok; r, ok = c.Next(now()) {
			g.send(r.Target(), r.Value.(*job), func(o outcome) {
				g.finishAttempt(c, r, o, now())
				g.scheduleAfter(0, dispatchQueued)
			})
		}
		for _, r := range c.TakeRejected() {
			g.recordRefusal(r.Request.Value.(*job), r.Request.Attempts() == 0)
		}
	}
	var tick func()
	tick = func() {
		c.Tick(now())
		dispatchQueued()
		if g.now < totalTime+10*time.Second {
			g.scheduleAfter(10*time.Millisecond, tick)
		}
	}
	g.schedule(0, tick)
	return func(j *job) {
		g.scheduleAfter(g.workload.HopDelay, func() {
			r := &dispatch.Request{Class: j.class, Route: j.route, Shard: -1, Owner: dispatch.AnyTarget, Deadline: base.Add(j.deadline() - g.workload.HopDelay), Idempotent: j.class != ClassDeposits, Value: j}
			if g.workload.Keyed {
				r.Owner = j.key
			}
			if refusal := c.Add(now(), r); refusal != nil {
				g.recordRefusal(j, true)
				return
			}
			dispatchQueued()
		})
	}
}

func (g *simulation) finishAttempt(c *dispatch.Dispatcher, r *dispatch.Request, o outcome, now time.Time) {
	j := r.Value.(*job)
	switch o {
	case outcomeOK:
		c.Finish(now, r, dispatch.ResultOK)
		g.recordResponse(j, g.workload.HopDelay)
		return
	case outcomeUnreachable:
		if c.Finish(now, r, dispatch.ResultNotStarted) == dispatch.OutcomeFinished {
			g.recordRefusal(j, !g.started[j.id])
		}
	case outcomeOverloaded:
		if c.Finish(now, r, dispatch.ResultOverloaded) == dispatch.OutcomeFinished {
			g.recordRefusal(j, !g.started[j.id])
		}
	case outcomeConnectionFailed, outcomeDeadlinePassed:
		if c.Finish(now, r, dispatch.ResultConnectionFailed) == dispatch.OutcomeFinished {
			g.recordRefusal(j, false)
		}
	}
}

func targetName(i int) string { return string(rune('a' + i)) }
