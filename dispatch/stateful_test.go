package dispatch

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/redwingtally/redwingtally/internal/seeds"
)

func TestMain(m *testing.M) {
	seeds.SetFlags(map[string]string{"rapid.checks": "400", "rapid.steps": "80"})
	os.Exit(m.Run())
}

// trackedRequest is the state that the oracle expects a request to have.
type trackedRequest struct {
	r       *Request
	queued  bool
	running bool
	ended   bool
	// mayHaveRun is the number of attempts after which the request may have run.
	mayHaveRun int
	target     int
}

// oracle tracks the state of every request independently of the Dispatcher and
// compares the two.
type oracle struct {
	dispatcher *Dispatcher
	now        time.Time
	tracked    map[*Request]*trackedRequest
	order      []*trackedRequest
	running    []int
	draining   []bool
}

const (
	testTargets = 3
	testSlots   = 2
	testShards  = 4
)

func newOracle() *oracle {
	o := &oracle{
		dispatcher: New(Config{
			Classes:     []ClassConfig{{Rank: 0, QueueLimit: 6, Ageing: time.Second}, {Rank: 1, QueueLimit: 6, Ageing: time.Second}, {Rank: 2, QueueLimit: 6, Ageing: 2 * time.Second}},
			LongRoutes:  []bool{false, false, true},
			QueueLimit:  12,
			RetryRatio:  0.2,
			MaxAttempts: 3,
		}),
		now:      time.Unix(1000, 0),
		tracked:  map[*Request]*trackedRequest{},
		running:  make([]int, testTargets),
		draining: make([]bool, testTargets),
	}
	for i := range testTargets {
		o.dispatcher.SetTarget(TargetSpec{Name: string(rune('a' + i)), Slots: testSlots})
	}
	return o
}

// filter returns the requests for which f returns true, in order of creation.
func (o *oracle) filter(f func(*trackedRequest) bool) []*trackedRequest {
	var out []*trackedRequest
	for _, x := range o.order {
		if f(x) {
			out = append(out, x)
		}
	}
	return out
}

func (o *oracle) takeRejected(t *rapid.T) {
	for _, r := range o.dispatcher.TakeRejected() {
		tr := o.tracked[r.Request]
		if tr == nil || !tr.queued {
			t.Fatalf("rejected a request that was not queued: %s", r.Reason)
		}
		tr.queued, tr.ended = false, true
	}
}

func (o *oracle) add(t *rapid.T) {
	r := &Request{
		Class:       rapid.IntRange(0, 2).Draw(t, "class"),
		Route:       rapid.IntRange(0, 2).Draw(t, "route"),
		Shard:       -1,
		Owner:       AnyTarget,
		Deadline:    o.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond),
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
		Fingerprint: uint64(rapid.IntRange(0, 5).Draw(t, "fingerprint")),
	}
	if rapid.Bool().Draw(t, "divided by key") {
		r.Shard = rapid.IntRange(0, testShards-1).Draw(t, "shard")
		r.Owner = rapid.IntRange(-2, testTargets-1).Draw(t, "owner")
		if r.Owner == AnyTarget {
			r.Owner = NoOwner
		}
	}
	tr := &trackedRequest{r: r}
	o.tracked[r] = tr
	o.order = append(o.order, tr)
	if o.dispatcher.Add(o.now, r) != nil {
		tr.ended = true
	} else {
		tr.queued = true
	}
	o.takeRejected(t)
}

func (o *oracle) sendAll(t *rapid.T) {
	for r, ok := o.dispatcher.Next(o.now); ok; r, ok = o.dispatcher.Next(o.now) {
		tr := o.tracked[r]
		switch {
		case tr == nil || !tr.queued:
			t.Fatalf("sent a request that was not queued")
		case o.draining[r.Target()]:
			t.Fatalf("sent a request to a draining target")
		case r.Owner != AnyTarget && r.Owner != r.Target():
			t.Fatalf("sent a request to target %d, its owner is %d", r.Target(), r.Owner)
		case tr.mayHaveRun > 0 && !r.Idempotent:
			t.Fatalf("resent a non-idempotent request that may have run")
		}
		tr.queued, tr.running, tr.target = false, true, r.Target()
		o.running[tr.target]++
		if o.running[tr.target] > testSlots {
			t.Fatalf("target %d runs %d requests, more than its slots", tr.target, o.running[tr.target])
		}
	}
	o.takeRejected(t)
}

func (o *oracle) finish(t *rapid.T) {
	running := o.filter(func(tr *trackedRequest) bool { return tr.running })
	if len(running) == 0 {
		t.Skip("no running request") // rapid skips this action, not the test
	}
	tr := running[rapid.IntRange(0, len(running)-1).Draw(t, "request")]
	result := Result(rapid.IntRange(int(ResultOK), int(ResultCanceled)).Draw(t, "result"))
	switch result {
	case ResultConnectionFailed, ResultCrashed, ResultTimeout, ResultCanceled, ResultOK:
		tr.mayHaveRun++
	}
	tr.running = false
	o.running[tr.target]--
	if o.dispatcher.Finish(o.now, tr.r, result) == OutcomeRequeued {
		tr.queued = true
	} else {
		tr.ended = true
	}
	o.takeRejected(t)
}

func (o *oracle) cancel(t *rapid.T) {
	queued := o.filter(func(tr *trackedRequest) bool { return tr.queued })
	if len(queued) == 0 {
		t.Skip("no queued request") // rapid skips this action, not the test
	}
	tr := queued[rapid.IntRange(0, len(queued)-1).Draw(t, "request")]
	if !o.dispatcher.Cancel(tr.r) {
		t.Fatalf("a queued request could not be cancelled")
	}
	tr.queued, tr.ended = false, true
}

func (o *oracle) advance(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
	o.dispatcher.Tick(o.now)
	o.takeRejected(t)
	for _, tr := range o.filter(func(tr *trackedRequest) bool { return tr.queued }) {
		if !o.now.Before(tr.r.Deadline) {
			t.Fatalf("a request is queued after its deadline")
		}
	}
}

// check compares the numbers of queued and running requests. A difference means
// that the Dispatcher lost a request.
func (o *oracle) check(t *rapid.T) {
	queued := len(o.filter(func(tr *trackedRequest) bool { return tr.queued }))
	running := len(o.filter(func(tr *trackedRequest) bool { return tr.running }))
	if queued != o.dispatcher.Queued() || running != o.dispatcher.Running() {
		t.Fatalf("dispatcher has %d queued and %d running requests, oracle %d and %d", o.dispatcher.Queued(), o.dispatcher.Running(), queued, running)
	}
}

func (o *oracle) drain(t *rapid.T) {
	i := rapid.IntRange(0, testTargets-1).Draw(t, "target")
	o.draining[i] = rapid.Bool().Draw(t, "draining")
	o.dispatcher.SetTarget(TargetSpec{Name: string(rune('a' + i)), Slots: testSlots, Draining: o.draining[i]})
}

func TestDispatchStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"add":       o.add,
			"add more":  o.add,
			"next":      o.sendAll,
			"done":      o.finish,
			"done more": o.finish,
			"cancel":    o.cancel,
			"pass":      o.advance,
			"drain":     o.drain,
			"reassign": func(t *rapid.T) {
				owner := rapid.SliceOfN(rapid.SampledFrom([]int{NoOwner, 0, 1, 2}), testShards, testShards).Draw(t, "owners")
				o.dispatcher.UpdateOwners(func(r *Request) int { return owner[r.Shard] })
			},
			"reconfigure": func(t *rapid.T) {
				cfg := o.dispatcher.cfg
				cfg.QueueLimit = rapid.IntRange(4, 20).Draw(t, "limit")
				o.dispatcher.Reconfigure(cfg, func(*Request) {})
			},
			"withdraw": func(t *rapid.T) {
				o.dispatcher.RejectAll()
				o.takeRejected(t)
			},
			"set quarantine": func(t *rapid.T) {
				o.dispatcher.Quarantine(Quarantine{Fingerprint: uint64(rapid.IntRange(1, 5).Draw(t, "fingerprint")), Until: o.now.Add(time.Second)})
			},
			"": o.check,
		})
	})
}
