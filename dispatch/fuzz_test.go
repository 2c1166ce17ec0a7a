package dispatch

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/redwingtally/redwingtally/internal/seeds"
)

func TestMain(m *testing.M) {
	seeds.Fix(map[string]string{"rapid.checks": "400", "rapid.steps": "80"})
	os.Exit(m.Run())
}

// fate is what the oracle knows of a request.
type fate struct {
	r       *Request
	waiting bool
	running bool
	ended   bool
	// begun counts attempts after which the request may have run.
	begun  int
	target int
}

// oracle follows every request by itself and compares.
type oracle struct {
	core     *Core
	now      time.Time
	fates    map[*Request]*fate
	order    []*fate
	running  []int
	draining []bool
}

const (
	fuzzTargets = 3
	fuzzSlots   = 2
	fuzzShards  = 4
)

func newOracle() *oracle {
	o := &oracle{
		core: New(Config{
			Classes:    []ClassConfig{{Rank: 0, QueueLimit: 6, Ageing: time.Second}, {Rank: 1, QueueLimit: 6, Ageing: time.Second}, {Rank: 2, QueueLimit: 6, Ageing: 2 * time.Second}},
			LongRoutes: []bool{false, false, true},
			QueueLimit: 12,
			RetryRatio: 0.2,
			Attempts:   3,
		}),
		now:      time.Unix(1000, 0),
		fates:    map[*Request]*fate{},
		running:  make([]int, fuzzTargets),
		draining: make([]bool, fuzzTargets),
	}
	for i := range fuzzTargets {
		o.core.SetTarget(TargetSpec{Name: string(rune('a' + i)), Slots: fuzzSlots})
	}
	return o
}

// some returns the oldest requests for which f holds.
func (o *oracle) some(f func(*fate) bool) []*fate {
	var out []*fate
	for _, x := range o.order {
		if f(x) {
			out = append(out, x)
		}
	}
	return out
}

func (o *oracle) takeRefused(t *rapid.T) {
	for _, r := range o.core.TakeRefused() {
		f := o.fates[r.Request]
		if f == nil || !f.waiting {
			t.Fatalf("refused a request that was not waiting: %s", r.Reason)
		}
		f.waiting, f.ended = false, true
	}
}

func (o *oracle) add(t *rapid.T) {
	r := &Request{
		Class:       rapid.IntRange(0, 2).Draw(t, "class"),
		Route:       rapid.IntRange(0, 2).Draw(t, "route"),
		Shard:       -1,
		Owner:       AnyTarget,
		Deadline:    o.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond),
		Repeatable:  rapid.Bool().Draw(t, "repeatable"),
		Fingerprint: uint64(rapid.IntRange(0, 5).Draw(t, "fingerprint")),
	}
	if rapid.Bool().Draw(t, "divided") {
		r.Shard = rapid.IntRange(0, fuzzShards-1).Draw(t, "shard")
		r.Owner = rapid.IntRange(-2, fuzzTargets-1).Draw(t, "owner")
		if r.Owner == AnyTarget {
			r.Owner = NoOwner
		}
	}
	f := &fate{r: r}
	o.fates[r] = f
	o.order = append(o.order, f)
	if o.core.Add(o.now, r) != nil {
		f.ended = true
	} else {
		f.waiting = true
	}
	o.takeRefused(t)
}

func (o *oracle) next(t *rapid.T) {
	for r, ok := o.core.Next(o.now); ok; r, ok = o.core.Next(o.now) {
		f := o.fates[r]
		switch {
		case f == nil || !f.waiting:
			t.Fatalf("sent a request that was not waiting")
		case o.draining[r.Target()]:
			t.Fatalf("sent a request to a draining target")
		case r.Owner != AnyTarget && r.Owner != r.Target():
			t.Fatalf("sent a request to %d, its owner is %d", r.Target(), r.Owner)
		case f.begun > 0 && !r.Repeatable:
			t.Fatalf("sent a request again that must not be repeated")
		}
		f.waiting, f.running, f.target = false, true, r.Target()
		o.running[f.target]++
		if o.running[f.target] > fuzzSlots {
			t.Fatalf("target %d runs %d requests", f.target, o.running[f.target])
		}
	}
	o.takeRefused(t)
}

func (o *oracle) done(t *rapid.T) {
	running := o.some(func(f *fate) bool { return f.running })
	if len(running) == 0 {
		t.Skip("nothing runs") // leaves out this step of the run, not the test
	}
	f := running[rapid.IntRange(0, len(running)-1).Draw(t, "request")]
	result := Result(rapid.IntRange(int(ResultOK), int(ResultCanceled)).Draw(t, "result"))
	switch result {
	case ResultBroken, ResultCrashed, ResultTimeout, ResultCanceled, ResultOK:
		f.begun++
	}
	f.running = false
	o.running[f.target]--
	if o.core.Done(o.now, f.r, result) == VerdictRequeued {
		f.waiting = true
	} else {
		f.ended = true
	}
	o.takeRefused(t)
}

func (o *oracle) cancel(t *rapid.T) {
	waiting := o.some(func(f *fate) bool { return f.waiting })
	if len(waiting) == 0 {
		t.Skip("nothing waits") // leaves out this step of the run, not the test
	}
	f := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "request")]
	if !o.core.Cancel(f.r) {
		t.Fatalf("a waiting request could not be canceled")
	}
	f.waiting, f.ended = false, true
}

func (o *oracle) pass(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
	o.core.Tick(o.now)
	o.takeRefused(t)
	for _, f := range o.some(func(f *fate) bool { return f.waiting }) {
		if !o.now.Before(f.r.Deadline) {
			t.Fatalf("a request waits after its deadline")
		}
	}
}

// check compares the oracle's counts with the core's: nothing is lost in the queue.
func (o *oracle) check(t *rapid.T) {
	waiting := len(o.some(func(f *fate) bool { return f.waiting }))
	running := len(o.some(func(f *fate) bool { return f.running }))
	if waiting != o.core.Queued() || running != o.core.Running() {
		t.Fatalf("core has %d waiting and %d running, oracle %d and %d", o.core.Queued(), o.core.Running(), waiting, running)
	}
}

func (o *oracle) drain(t *rapid.T) {
	i := rapid.IntRange(0, fuzzTargets-1).Draw(t, "target")
	o.draining[i] = rapid.Bool().Draw(t, "draining")
	o.core.SetTarget(TargetSpec{Name: string(rune('a' + i)), Slots: fuzzSlots, Draining: o.draining[i]})
}

func TestDispatchStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"add":      o.add,
			"add more": o.add,
			"next":     o.next,
			"done":     o.done,
			"done too": o.done,
			"cancel":   o.cancel,
			"pass":     o.pass,
			"drain":    o.drain,
			"reassign": func(t *rapid.T) {
				owner := rapid.SliceOfN(rapid.SampledFrom([]int{NoOwner, 0, 1, 2}), fuzzShards, fuzzShards).Draw(t, "owners")
				o.core.Reassign(func(r *Request) int { return owner[r.Shard] })
			},
			"reconfigure": func(t *rapid.T) {
				cfg := o.core.cfg
				cfg.QueueLimit = rapid.IntRange(4, 20).Draw(t, "limit")
				o.core.Reconfigure(cfg, func(*Request) {})
			},
			"withdraw": func(t *rapid.T) {
				o.core.Withdraw()
				o.takeRefused(t)
			},
			"set aside": func(t *rapid.T) {
				o.core.SetAside(SetAside{Fingerprint: uint64(rapid.IntRange(1, 5).Draw(t, "fingerprint")), Until: o.now.Add(time.Second)})
			},
			"": o.check,
		})
	})
}
