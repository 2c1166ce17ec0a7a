package scheduler

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// overloadSimulation configures a simulation of a service under load: several hosts, each
// with a Scheduler, send requests to the same targets. Targets have two slots, a queue
// and different speeds, as the users specify them.
type overloadSimulation struct {
	hosts   int
	targets int
	// load is the offered load as a multiple of the capacity of the targets.
	load float64
	// urgent is the fraction of requests of rank 1; the others are of rank 2.
	urgent float64
	// slowFactor is the additional slowdown of the first target if it is above 1.
	slowFactor float64
}

const (
	overloadWork        = 100 * time.Millisecond
	overloadObjective   = 400 * time.Millisecond
	overloadDeadline    = 2500 * time.Millisecond
	overloadQueueLength = 8
	overloadDuration    = 12 * time.Second
)

type overloadResult struct {
	sent, inTime, served, rejected, rejectedByTarget [3]int // by rank
	lateRejections                                   int
}

type simulationEvent struct {
	at time.Time
	do func()
}

type simulatedTarget struct {
	slowdown float64
	running  int
	waiting  []func()
}

// run runs the simulation in virtual time.
func (o overloadSimulation) run(seed uint64) overloadResult {
	random := rand.New(rand.NewPCG(seed, 2))
	now := start
	var events []simulationEvent
	after := func(d time.Duration, do func()) {
		e := simulationEvent{now.Add(d), do}
		i := sort.Search(len(events), func(i int) bool { return events[i].at.After(e.at) })
		events = append(events, simulationEvent{})
		copy(events[i+1:], events[i:])
		events[i] = e
	}
	var res overloadResult
	specs := targets(o.targets)
	simulated := map[string]*simulatedTarget{}
	capacity := 0.0
	for i, s := range specs {
		slowdown := []float64{0.6, 1, 1.4}[i%3]
		if i == 0 && o.slowFactor > 1 {
			slowdown *= o.slowFactor
		}
		simulated[s.Name] = &simulatedTarget{slowdown: slowdown}
		capacity += 2 / (overloadWork.Seconds() * slowdown)
	}
	schedulers := make([]*Scheduler, o.hosts)
	for h := range schedulers {
		schedulers[h] = New(Options{
			DataCentre: "leicester", Random: random.Float64,
			Owner:     func(uint16) (string, bool) { return "", false },
			Connected: func(string) bool { return true },
		})
		schedulers[h].SetTargets(now, specs)
		schedulers[h].SetShare(1 / float64(o.hosts))
	}
	var dispatch func(h int)
	run := func(h int, d Dispatch, st *simulatedTarget, sent time.Time) {
		st.running++
		work := time.Duration(float64(overloadWork) * st.slowdown * (0.7 + 0.6*random.Float64()))
		after(work, func() {
			st.running--
			if len(st.waiting) > 0 {
				next := st.waiting[0]
				st.waiting = st.waiting[1:]
				next()
			}
			r := d.Request
			schedulers[h].Finish(now, r, Result{Outcome: Answered, ResponseTime: now.Sub(sent)})
			if !now.After(r.Deadline) {
				res.served[r.Rank]++
			}
			if !now.After(r.Objective) {
				res.inTime[r.Rank]++
			}
			dispatch(h)
		})
	}
	dispatch = func(h int) {
		for d, ok := schedulers[h].Next(now); ok; d, ok = schedulers[h].Next(now) {
			st, sent := simulated[d.Target.Name], now
			switch {
			case st.running < 2:
				run(h, d, st, sent)
			case len(st.waiting) < overloadQueueLength:
				st.waiting = append(st.waiting, func() { run(h, d, st, sent) })
			default:
				res.rejectedByTarget[d.Request.Rank]++
				schedulers[h].Finish(now, d.Request, Result{Outcome: Rejected})
			}
		}
	}
	reject := func(rejection Rejection) {
		res.rejected[rejection.Request.Rank]++
		if queued := now.Sub(rejection.Request.arrived); queued > overloadObjective {
			res.lateRejections++
		}
	}
	var arrive func()
	arrive = func() {
		h := random.IntN(o.hosts)
		rank := 2
		if random.Float64() < o.urgent {
			rank = 1
		}
		r := newRequest(now, rank, overloadObjective, overloadDeadline)
		r.Route = "all"
		res.sent[rank]++
		if rejection, ok := schedulers[h].Add(now, r); !ok {
			reject(rejection)
		}
		dispatch(h)
		after(time.Duration(random.ExpFloat64()/(capacity*o.load)*float64(time.Second)), arrive)
	}
	after(0, arrive)
	var tick func()
	tick = func() {
		for h := range schedulers {
			for _, rejection := range schedulers[h].Expire(now) {
				reject(rejection)
			}
			dispatch(h)
		}
		after(20*time.Millisecond, tick)
	}
	after(0, tick)
	for len(events) > 0 && events[0].at.Before(start.Add(overloadDuration)) {
		e := events[0]
		events = events[1:]
		now = e.at
		e.do()
	}
	return res
}

func ratio(n, of [3]int, rank int) float64 { return float64(n[rank]) / float64(max(1, of[rank])) }

// In the worst periods that the users specify, the load is 1.5 times the capacity
// of the targets, one target is slow, and requests have two ranks. Most urgent
// requests must still meet their objective, and most rejections must come early.
func TestOverload(t *testing.T) {
	tests := []struct {
		name   string
		config overloadSimulation
		inTime float64 // minimum fraction of the urgent requests answered in time
		all    float64 // minimum fraction of the requests within capacity answered in time
	}{
		{"half load", overloadSimulation{hosts: 8, targets: 8, load: 0.5, urgent: 0.3}, 0.95, 0.45},
		{"full load", overloadSimulation{hosts: 8, targets: 8, load: 1, urgent: 0.3}, 0.9, 0.6},
		{"overload", overloadSimulation{hosts: 8, targets: 8, load: 1.5, urgent: 0.3}, 0.9, 0.6},
		{"slow target", overloadSimulation{hosts: 8, targets: 8, load: 1, urgent: 0.3, slowFactor: 5}, 0.85, 0.5},
		{"one host", overloadSimulation{hosts: 1, targets: 8, load: 1.5, urgent: 0.3}, 0.9, 0.6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(3) {
				r := test.config.run(seed)
				comment := qt.Commentf("seed %d: %+v", seed, r)
				c.Check(ratio(r.inTime, r.sent, 1) >= test.inTime, qt.IsTrue, comment)
				sent, inTime := r.sent[1]+r.sent[2], r.inTime[1]+r.inTime[2]
				c.Check(float64(inTime) >= test.all*float64(sent)/max(1, test.config.load), qt.IsTrue, comment)
				c.Check(ratio(r.served, r.sent, 1)+0.02 >= ratio(r.served, r.sent, 2), qt.IsTrue, comment)
				c.Check(float64(r.lateRejections) <= 0.1*float64(sent), qt.IsTrue, comment)
			}
		})
	}
}
