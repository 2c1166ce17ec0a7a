package crest

import (
	"time"

	"github.com/redwingtally/redwingtally/dispatch"
)

// baselineAttempts is the maximum number of attempts per request under the
// policies with independent routers.
const baselineAttempts = 3

func (s *simulation) newRouter(p Policy) routeFunc {
	switch p {
	case PolicyFIFO:
		return s.newFIFO()
	case PolicyDispatcher:
		return s.newDispatcher()
	}
	return s.newIndependent(p)
}

// newIndependent returns routers that each know only their own outstanding requests.
func (s *simulation) newIndependent(p Policy) routeFunc {
	outstanding := make([][]int, routerCount)
	next := make([]int, routerCount)
	for i := range outstanding {
		outstanding[i] = make([]int, len(s.targets))
	}
	var route func(j *job)
	route = func(j *job) {
		r := s.random.IntN(routerCount)
		i := s.chooseTarget(p, outstanding[r], &next[r])
		if s.workload.Keyed {
			i = j.key
		}
		outstanding[r][i]++
		s.send(i, j, func(o outcome) {
			outstanding[r][i]--
			switch o {
			case outcomeOK:
				s.recordStart(j)
				s.recordResponse(j, 0)
			case outcomeDeadlinePassed:
				s.recordFailure(j, true)
			case outcomeUnreachable, outcomeOverloaded:
				if j.attempts < baselineAttempts && s.now < j.deadline() {
					s.scheduleAfter(time.Millisecond, func() { route(j) })
					return
				}
				s.recordFailure(j, true)
			case outcomeConnectionFailed:
				s.recordFailure(j, false)
			}
		})
	}
	return route
}

func (s *simulation) chooseTarget(p Policy, outstanding []int, next *int) int {
	n := len(outstanding)
	switch p {
	case PolicyRoundRobin:
		*next = (*next + 1) % n
		return *next
	case PolicyLeastOutstanding:
		best := s.random.IntN(n)
		for i := range n {
			if outstanding[i] < outstanding[best] {
				best = i
			}
		}
		return best
	case PolicyTwoChoices:
		a, b := s.random.IntN(n), s.random.IntN(n)
		if outstanding[b] < outstanding[a] {
			return b
		}
		return a
	}
	return s.random.IntN(n)
}

// newFIFO returns a router with one central queue. It has no classes and no queue
// limits, and rejects requests only when their deadline has passed.
func (s *simulation) newFIFO() routeFunc {
	var queue []*job
	var dispatchQueued func()
	dispatchQueued = func() {
		for i := 0; i < len(queue); {
			j := queue[i]
			if s.now > j.deadline() {
				queue = append(queue[:i], queue[i+1:]...)
				s.recordFailure(j, true)
				continue
			}
			t := s.freeTarget(j)
			if t < 0 {
				if s.workload.Keyed {
					i++
					continue
				}
				return
			}
			queue = append(queue[:i], queue[i+1:]...)
			s.send(t, j, func(o outcome) {
				switch o {
				case outcomeOK:
					s.recordResponse(j, 2*s.workload.HopDelay)
				case outcomeUnreachable:
					queue = append([]*job{j}, queue...)
				default:
					s.recordFailure(j, false)
				}
				s.scheduleAfter(0, dispatchQueued)
			})
		}
	}
	return func(j *job) {
		queue = append(queue, j)
		dispatchQueued()
	}
}

// freeTarget returns the target with the fewest busy slots that can start j, or -1.
func (s *simulation) freeTarget(j *job) int {
	if s.workload.Keyed {
		if t := s.targets[j.key]; !t.failed && t.busySlots < slotsPerTarget {
			return j.key
		}
		return -1
	}
	best := -1
	for i, t := range s.targets {
		if !t.failed && t.busySlots < slotsPerTarget && (best < 0 || t.busySlots < s.targets[best].busySlots) {
			best = i
		}
	}
	return best
}

// newDispatcher returns a router that uses dispatch.Dispatcher, one hop away from
// the callers' entry.
func (s *simulation) newDispatcher() routeFunc {
	cfg := dispatch.Config{LongRoutes: make([]bool, routeCount), RetryRatio: 0.1, MaxAttempts: 3, QueueLimit: 4000}
	for i := range classCount {
		cfg.Classes = append(cfg.Classes, dispatch.ClassConfig{Rank: i, QueueLimit: 2000, Ageing: classAgeing[i]})
	}
	c := dispatch.New(cfg)
	for _, t := range s.targets {
		c.SetTarget(dispatch.TargetSpec{Name: targetName(t.index), Slots: slotsPerTarget})
	}
	base := time.Unix(0, 0)
	now := func() time.Time { return base.Add(s.now) }
	var dispatchQueued func()
	dispatchQueued = func() {
		for r, ok := c.Next(now()); ok; r, ok = c.Next(now()) {
			s.send(r.Target(), r.Value.(*job), func(o outcome) {
				s.finishAttempt(c, r, o, now())
				s.scheduleAfter(0, dispatchQueued)
			})
		}
		for _, r := range c.TakeRejected() {
			s.recordFailure(r.Request.Value.(*job), r.Request.Attempts() == 0)
		}
	}
	var tick func()
	tick = func() {
		c.Tick(now())
		dispatchQueued()
		if s.now < totalTime+10*time.Second {
			s.scheduleAfter(10*time.Millisecond, tick)
		}
	}
	s.schedule(0, tick)
	return func(j *job) {
		s.scheduleAfter(s.workload.HopDelay, func() {
			r := &dispatch.Request{Class: j.class, Route: j.route, Shard: -1, Owner: dispatch.AnyTarget, Deadline: base.Add(j.deadline() - s.workload.HopDelay), Idempotent: j.class != ClassDeposits, Value: j}
			if s.workload.Keyed {
				r.Owner = j.key
			}
			if rejection := c.Add(now(), r); rejection != nil {
				s.recordFailure(j, true)
				return
			}
			dispatchQueued()
		})
	}
}

func (s *simulation) finishAttempt(c *dispatch.Dispatcher, r *dispatch.Request, o outcome, now time.Time) {
	j := r.Value.(*job)
	switch o {
	case outcomeOK:
		c.Finish(now, r, dispatch.ResultOK)
		s.recordResponse(j, s.workload.HopDelay)
		return
	case outcomeUnreachable:
		if c.Finish(now, r, dispatch.ResultNotStarted) == dispatch.OutcomeFinished {
			s.recordFailure(j, !s.started[j.id])
		}
	case outcomeOverloaded:
		if c.Finish(now, r, dispatch.ResultOverloaded) == dispatch.OutcomeFinished {
			s.recordFailure(j, !s.started[j.id])
		}
	case outcomeConnectionFailed, outcomeDeadlinePassed:
		if c.Finish(now, r, dispatch.ResultConnectionFailed) == dispatch.OutcomeFinished {
			s.recordFailure(j, false)
		}
	}
}

func targetName(i int) string { return string(rune('a' + i)) }
