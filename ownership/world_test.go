package ownership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	testHold    = 3 * time.Second
	testLease   = 10 * time.Second
	testTick    = 20 * time.Millisecond
	testService = "stockroom"
)

// A world is a store, targets and processes that coordinate, with faults. Its
// oracle knows which target holds which keys at every moment.
type world struct {
	random    *rand.Rand
	now       time.Time
	events    []event
	document  *Document // in the store
	version   int
	targets   []*fakeTarget
	processes []*process
	probes    []uint16          // keys that are checked
	fences    map[uint16]uint64 // highest token with which a target had a key, by key
	holders   map[uint16]string
	violation string
	served    int // checks at which a probe had a holder
	checks    int
}

type event struct {
	at time.Time
	do func()
}

// fakeTarget holds keys as the platform describes: it refuses a lower token than one it has seen.
type fakeTarget struct {
	life     Life
	up       bool
	draining bool
	listed   bool
	slow     float64 // how much longer its clock measures a hold
	late     bool    // leaves orders unanswered and carries them out later
	refuses  bool    // a partition around it refuses connections
	holds    map[uint16]holding
	seen     map[uint16]uint64
}

type holding struct {
	fence uint64
	until time.Time
}

// process is one host that may coordinate.
type process struct {
	name      string
	core      *Core // nil while it does not coordinate
	version   int
	confirmed time.Time
	paused    bool
	cut       map[*fakeTarget]bool
	noStore   bool
	term      uint64
}

func newWorld(seed uint64) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1_000_000, 0),
		fences:  map[uint16]uint64{},
		holders: map[uint16]string{},
	}
	for i := range 4 {
		w.addTarget(fmt.Sprint("t", i))
	}
	for i := range 3 {
		w.processes = append(w.processes, &process{name: fmt.Sprint("p", i), cut: map[*fakeTarget]bool{}})
	}
	for range 24 {
		w.probes = append(w.probes, uint16(w.random.IntN(1<<16)))
	}
	return w
}

func (w *world) addTarget(name string) *fakeTarget {
	port := uint16(8000 + len(w.targets))
	t := &fakeTarget{
		life: Life{Name: name, Born: w.now, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)},
		up:   true, listed: true, slow: w.random.Float64() * clockSlack,
		holds: map[uint16]holding{}, seen: map[uint16]uint64{},
	}
	w.targets = append(w.targets, t)
	return t
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now.Add(d), do})
}

// run lets the world go on for d.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.violation == ""; {
		w.now = w.now.Add(testTick)
		w.fire()
		for _, p := range w.processes {
			if !p.paused {
				w.step(p)
			}
		}
		w.check()
	}
}

func (w *world) fire() {
	sort.SliceStable(w.events, func(i, j int) bool { return w.events[i].at.Before(w.events[j].at) })
	for len(w.events) > 0 && !w.events[0].at.After(w.now) {
		e := w.events[0]
		w.events = w.events[1:]
		e.do()
	}
}

// list returns the entries of the targets.
func (w *world) list() []platform.Target {
	var out []platform.Target
	for _, t := range w.targets {
		if t.listed {
			out = append(out, platform.Target{Name: t.life.Name, StartedAt: t.life.Born, Address: t.life.Address, Service: testService, Slots: 2, Draining: t.draining})
		}
	}
	return out
}

// step lets a process do what is due.
func (w *world) step(p *process) {
	if p.core == nil {
		return
	}
	if !w.now.Before(p.confirmed.Add(testLease)) {
		return
	}
	p.core.SetTargets(w.now, testService, w.list())
	p.core.SetEntries(w.list())
	if d, _ := p.core.Plan(w.now); d != nil {
		w.propose(p, p.core, d)
	}
	for _, o := range p.core.Orders(w.now) {
		w.send(p, p.core, o)
	}
}

// propose writes a change until its outcome is known.
func (w *world) propose(p *process, core *Core, d *Document) {
	if p.core != core {
		return
	}
	again := func() { w.propose(p, core, d) }
	if p.paused || p.noStore {
		w.after(200*time.Millisecond, again)
		return
	}
	sent, condition := w.now, p.version
	write := func() bool {
		if w.version != condition {
			return w.document.Coordinator == p.name && w.document.Term == d.Term && w.document.Fence == d.Fence
		}
		w.document, w.version = d.clone(), w.version+1
		return true
	}
	if w.random.IntN(8) == 0 { // the answer is lost; the write happens at once, late or never
		switch w.random.IntN(3) {
		case 0:
			write()
		case 1:
			w.after(time.Duration(w.random.IntN(3000))*time.Millisecond, func() { write() })
		}
		w.after(200*time.Millisecond, again)
		return
	}
	ok, version := write(), w.version
	w.after(4*time.Millisecond, func() {
		if p.core != core {
			return
		}
		if !ok {
			p.core = nil
			return
		}
		p.version, p.confirmed = version, sent
		core.Written(w.now)
	})
}

// send carries an order to its target.
func (w *world) send(p *process, core *Core, o Order) {
	answer := func(d time.Duration, r OrderResult, token string) {
		w.after(d, func() { core.Ordered(w.now, o, r, token) })
	}
	t := w.at(o.To.Address)
	switch {
	case p.cut[t] && t.refuses, !t.up:
		answer(2*time.Millisecond, OrderUnsent, "")
		return
	case p.cut[t]:
		answer(OrderTimeout, OrderUnanswered, "")
		return
	case t.life.Name != o.To.Name:
		answer(2*time.Millisecond, OrderOtherTarget, "")
		return
	}
	arrival, life := w.now, t.life
	if t.late && w.random.IntN(3) == 0 {
		answer(OrderTimeout, OrderUnanswered, "")
		w.after(time.Duration(2+w.random.IntN(10))*time.Second, func() {
			if t.up && t.life.Is(life) {
				w.carryOut(t, o, arrival)
			}
		})
		return
	}
	accepted := w.carryOut(t, o, arrival)
	switch {
	case w.random.IntN(30) == 0:
		answer(OrderTimeout, OrderUnanswered, "") // the answer is lost
	case !accepted:
		answer(2*time.Millisecond, OrderFenced, "")
	case o.Kind == ReleaseKeys:
		answer(time.Duration(w.random.IntN(600))*time.Millisecond, OrderDone, "token")
	default:
		answer(2*time.Millisecond, OrderDone, "")
	}
}

func (w *world) at(address netip.AddrPort) *fakeTarget {
	for i := len(w.targets) - 1; i >= 0; i-- {
		if w.targets[i].life.Address == address {
			return w.targets[i]
		}
	}
	panic("no target at " + address.String())
}

func (w *world) carryOut(t *fakeTarget, o Order, arrival time.Time) bool {
	for _, key := range w.probes {
		if key < o.Span.First || key > o.Span.Last {
			continue
		}
		if o.Kind == ReleaseKeys {
			delete(t.holds, key)
			continue
		}
		if o.Fence < t.seen[key] {
			return false
		}
		until := arrival.Add(time.Duration(float64(o.Hold) * (1 + t.slow)))
		if !until.After(w.now) {
			continue
		}
		if w.holders[key] != t.id() && o.Fence <= w.fences[key] {
			w.violation = fmt.Sprintf("key %d goes to %s with token %d, %s had it with %d", key, t.id(), o.Fence, w.holders[key], w.fences[key])
		}
		t.seen[key] = o.Fence
		w.fences[key] = max(w.fences[key], o.Fence)
		w.holders[key] = t.id()
		if have := t.holds[key]; until.After(have.until) {
			t.holds[key] = holding{o.Fence, until}
		}
	}
	return true
}

func (t *fakeTarget) id() string { return t.life.Name + t.life.Born.Format(".000") }

// check looks for a key that two targets hold.
func (w *world) check() {
	for _, key := range w.probes {
		var holders []string
		for _, t := range w.targets {
			if h, ok := t.holds[key]; ok && t.up && w.now.Before(h.until) {
				holders = append(holders, fmt.Sprintf("%s (%d)", t.id(), h.fence))
			}
		}
		w.checks++
		if len(holders) > 0 {
			w.served++
		}
		if len(holders) > 1 {
			w.violation = fmt.Sprintf("after %s: key %d is held by %v", w.now.Sub(time.Unix(1_000_000, 0)), key, holders)
		}
	}
}

// takeOver lets a process take the document over.
func (w *world) takeOver(p *process) {
	if p.core != nil || p.noStore || p.paused {
		return
	}
	w.yield(p)
	d := TakeOver(w.document)
	resigned := w.document == nil || w.document.Settled && w.document.Coordinator == ""
	d.Coordinator = p.name
	w.document, w.version = d.clone(), w.version+1
	p.version, p.confirmed, p.term = w.version, w.now, d.Term
	p.core = New(Options{Hold: testHold, Lease: testLease})
	p.core.Begin(w.now, d, resigned)
}

// yield lets the coordinator before p stop some time after p took over, if it
// goes on and had settled.
func (w *world) yield(p *process) {
	if w.document == nil || !w.document.Settled || w.random.IntN(2) == 0 {
		return
	}
	for _, earlier := range w.processes {
		if earlier == p || earlier.name != w.document.Coordinator {
			continue
		}
		w.after(time.Duration(w.random.IntN(2000))*time.Millisecond, func() {
			if !earlier.paused && p.core != nil {
				earlier.core = nil
				p.core.EarlierStopped(w.now)
			}
		})
	}
}

// confirm lets a process ask the store whether it still coordinates.
func (w *world) confirm(p *process) {
	if p.core == nil || p.noStore || p.paused {
		return
	}
	if w.document.Coordinator != p.name || w.document.Term != p.term {
		p.core = nil
		return
	}
	p.confirmed = w.now
}

// crash ends a target; it or another one comes back, at its address or elsewhere.
func (w *world) crash(t *fakeTarget) {
	t.up = false
	t.holds = map[uint16]holding{}
	w.after(2600*time.Millisecond, func() { t.listed = false })
	w.after(time.Duration(1500+w.random.IntN(4000))*time.Millisecond, func() {
		t.listed = false
		fresh := w.addTarget(fmt.Sprint("t", len(w.targets)))
		switch w.random.IntN(3) {
		case 0: // the same id again
			fresh.life.Name = t.life.Name
		case 1: // its address goes to another target
			fresh.life.Address = t.life.Address
		}
	})
}

// report tells a coordinator of busy keys.
func (w *world) report(p *process) {
	if p.core == nil {
		return
	}
	keys := map[uint16]int{}
	hot := w.probes[w.random.IntN(len(w.probes))]
	for range 40 {
		keys[hot+uint16(w.random.IntN(50))]++
		keys[w.probes[w.random.IntN(len(w.probes))]]++
	}
	p.core.Report(w.now, testService, Report{Keys: keys, Work: 100 * time.Millisecond})
}
