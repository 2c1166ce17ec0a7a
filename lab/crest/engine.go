package crest

import (
	"container/heap"
	"time"
)

// engine runs events in order of their virtual time.
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

// Push adds an event, for package heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event, for package heap.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (e *engine) at(t time.Duration, run func()) {
	e.seq++
	heap.Push(&e.queue, event{at: max(t, e.now), seq: e.seq, run: run})
}

func (e *engine) after(d time.Duration, run func()) { e.at(e.now+d, run) }

func (e *engine) run() {
	for len(e.queue) > 0 {
		ev := heap.Pop(&e.queue).(event)
		e.now = ev.at
		ev.run()
	}
}

// target is a target with slots and a backlog of its own.
type target struct {
	e       *engine
	index   int
	busy    int
	backlog []*attempt
	running map[*attempt]bool
	lost    bool
	cold    int
	worked  time.Duration
}

// attempt is a request at a target; end is called once with how it ended.
type attempt struct {
	j   *job
	end func(outcome)
}

// outcome says how an attempt ended.
type outcome int

const (
	outcomeOK outcome = iota
	outcomeUnreachable
	outcomeShed
	outcomeLost
	outcomeExpired
)

// take gives the target an attempt.
func (t *target) take(a *attempt) {
	switch {
	case t.lost:
		a.end(outcomeUnreachable)
	case t.busy < slots:
		t.start(a)
	case len(t.backlog) >= targetBacklog:
		a.end(outcomeShed)
	default:
		t.backlog = append(t.backlog, a)
	}
}

func (t *target) start(a *attempt) {
	t.busy++
	t.running[a] = true
	work := a.j.service
	if t.cold > 0 {
		t.cold--
		work *= coldFactor
	}
	t.e.after(work, func() {
		if !t.running[a] {
			return
		}
		delete(t.running, a)
		t.busy--
		t.worked += work
		a.end(outcomeOK)
		t.next()
	})
}

// next starts waiting attempts; those whose deadline passed are refused.
func (t *target) next() {
	for t.busy < slots && len(t.backlog) > 0 && !t.lost {
		a := t.backlog[0]
		t.backlog = t.backlog[1:]
		if t.e.now > a.j.deadline() {
			a.end(outcomeExpired)
			continue
		}
		t.start(a)
	}
}

// lose takes the target away with all that it has.
func (t *target) lose() {
	t.lost = true
	t.busy = 0
	for a := range t.running {
		delete(t.running, a)
		a.end(outcomeLost)
	}
	for _, a := range t.backlog {
		a.end(outcomeUnreachable)
	}
	t.backlog = nil
}
