package crest

import (
	"container/heap"
	"time"
)

// engine executes events in order of their virtual time, and events of the same
// time in the order in which they were scheduled.
type engine struct {
	now   time.Duration
	seq   int
	queue eventHeap
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (e *engine) schedule(t time.Duration, run func()) {
	e.seq++
	heap.Push(&e.queue, event{at: max(t, e.now), seq: e.seq, run: run})
}

func (e *engine) scheduleAfter(d time.Duration, run func()) { e.schedule(e.now+d, run) }

func (e *engine) run() {
	for len(e.queue) > 0 {
		ev := heap.Pop(&e.queue).(event)
		e.now = ev.at
		ev.run()
	}
}

// target simulates a target with slots and a backlog of its own.
type target struct {
	engine           *engine
	index            int
	busySlots        int
	backlog          []*attempt
	running          map[*attempt]bool
	failed           bool
	coldRequestsLeft int
	busyTime         time.Duration
}

// attempt is a request at a target. done is called once with the outcome.
type attempt struct {
	job  *job
	done func(outcome)
}

// outcome is the result of an attempt.
type outcome int

const (
	outcomeOK outcome = iota
	outcomeUnreachable
	outcomeOverloaded
	outcomeConnectionFailed
	outcomeDeadlinePassed
)

// submit starts an attempt if a slot is free, and otherwise queues or rejects it.
func (t *target) submit(a *attempt) {
	switch {
	case t.failed:
		a.done(outcomeUnreachable)
	case t.busySlots < slotsPerTarget:
		t.start(a)
	case len(t.backlog) >= targetBacklog:
		a.done(outcomeOverloaded)
	default:
		t.backlog = append(t.backlog, a)
	}
}

func (t *target) start(a *attempt) {
	t.busySlots++
	t.running[a] = true
	work := a.job.serviceTime
	if t.coldRequestsLeft > 0 {
		t.coldRequestsLeft--
		work *= coldFactor
	}
	t.engine.scheduleAfter(work, func() {
		if !t.running[a] {
			return
		}
		delete(t.running, a)
		t.busySlots--
		t.busyTime += work
		a.done(outcomeOK)
		t.startQueued()
	})
}

// startQueued starts queued attempts while slots are free. Attempts whose
// deadline has passed are rejected.
func (t *target) startQueued() {
	for t.busySlots < slotsPerTarget && len(t.backlog) > 0 && !t.failed {
		a := t.backlog[0]
		t.backlog = t.backlog[1:]
		if t.engine.now > a.job.deadline() {
			a.done(outcomeDeadlinePassed)
			continue
		}
		t.start(a)
	}
}

// fail makes the target unreachable. The connections of running attempts fail;
// queued attempts are reported as not started.
func (t *target) fail() {
	t.failed = true
	t.busySlots = 0
	for a := range t.running {
		delete(t.running, a)
		a.done(outcomeConnectionFailed)
	}
	for _, a := range t.backlog {
		a.done(outcomeUnreachable)
	}
	t.backlog = nil
}
