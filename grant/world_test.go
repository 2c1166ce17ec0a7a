package grant

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The model: daemons, checking servers and a store on virtual time, joined by a
// network that delays, drops, repeats and cuts. The oracle asks after every
// event which servers would accept work for a shard.

// drift is the greatest deviation of a clock's rate, well inside the margin.
const drift = 0.015

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// process is a process with a clock of its own that can be paused.
type process struct {
	rate   float64
	offset time.Duration
	paused bool
	held   []func()
	life   int
}

func (p *process) clock(t time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(p.offset + time.Duration(float64(t)*p.rate))
}

// deliver runs f now, or at the end of a pause; a message of an earlier life is lost.
func (p *process) deliver(f func()) {
	life := p.life
	g := func() {
		if p.life == life {
			f()
		}
	}
	if p.paused {
		p.held = append(p.held, g)
		return
	}
	g()
}

// voterSet is a set of voters as the store records it.
type voterSet struct {
	epoch uint64
	names []string
}

type daemon struct {
	process
	h           *Holder
	incarnation uint32
}

type fakeServer struct {
	process
	voter *Voter
	began time.Duration
}

func (s *fakeServer) reading(t time.Duration) time.Duration {
	return time.Duration(float64(t-s.began) * s.rate)
}

type world struct {
	t       time.Duration
	seq     int
	queue   events
	random  *rand.Rand
	rules   rules
	timing  Timing
	shards  int
	daemons []*daemon
	servers []*fakeServer
	names   []string
	cut     map[string]bool
	// lossy, slow and repeat are the chances of a message in a thousand.
	lossy, slow, repeat int
	store               struct {
		down    bool
		slow    time.Duration
		loseOne bool
		term    Term
		config  voterSet
	}
	// configs are all sets of voters so far.
	configs   []voterSet
	trace     []string
	violation string
	// served sums over shards the time for which a holder could serve them.
	served time.Duration
	writes int
	reads  int
	lives  uint64
	// changing says that random faults change the set of voters too.
	changing bool
}

// spares is how many servers are not voters at first.
const spares = 2

func newWorld(seed uint64, servers int, r rules) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), rules: r, timing: DefaultTiming(), shards: 4, cut: map[string]bool{}}
	for i := range servers + spares {
		s := &fakeServer{process: w.process()}
		w.servers = append(w.servers, s)
		w.names = append(w.names, fmt.Sprintf("s%d", i))
		// Servers of the start have been up for a while.
		s.began = -time.Hour
		s.voter = w.newVoter()
	}
	w.record(voterSet{epoch: 1, names: w.names[:servers]})
	for range 3 {
		d := &daemon{process: w.process()}
		w.daemons = append(w.daemons, d)
		w.boot(d)
		w.tickLater(d)
	}
	return w
}

func (w *world) record(v voterSet) {
	w.store.config = v
	w.configs = append(w.configs, v)
}

func (w *world) newVoter() *Voter {
	w.lives++
	return NewVoter(w.lives)
}

func (w *world) process() process {
	return process{rate: 1 + (w.random.Float64()*2-1)*drift, offset: time.Duration(w.random.IntN(1000)) * time.Second}
}

func (w *world) boot(d *daemon) {
	w.lives++
	d.incarnation = uint32(w.lives)
	d.life++
	d.held = nil
	known := w.store.config
	if w.store.down {
		// A peer may know an older set.
		known = w.configs[w.random.IntN(len(w.configs))]
	}
	d.h = New(Config{Group: "g", Servers: known.names, Epoch: known.epoch, Checks: true, Shards: w.shards, Timing: w.timing, Incarnation: d.incarnation})
	d.h.rules = w.rules
	d.h.Want(w.assignment())
}

func (w *world) assignment() []string {
	a := make([]string, w.shards)
	for i := range a {
		a[i] = w.names[w.random.IntN(len(w.names))]
	}
	return a
}

func (w *world) at(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.t + d, seq: w.seq, run: f})
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8s ", w.t.Round(time.Millisecond))+fmt.Sprintf(format, args...))
	if len(w.trace) > 60 {
		w.trace = w.trace[1:]
	}
}

// tickLater runs a daemon's rounds for good; a pause delays them.
func (w *world) tickLater(d *daemon) {
	w.at(time.Duration(float64(w.timing.Tick)/d.rate), func() {
		if !d.paused {
			w.tick(d)
		}
		w.tickLater(d)
	})
}

func (w *world) tick(d *daemon) {
	out := d.h.Tick(d.clock(w.t))
	for _, o := range out.Orders {
		w.send(d, serverIndex(o.Server), o.Order)
	}
	if out.FenceStore || out.ReadStore {
		w.callStore(d, out)
	}
	if d.h.StaleEpoch() && !w.store.down {
		w.reconfigure(d, w.store.config)
	}
}

// reconfigure tells a daemon of a set of voters after a delay.
func (w *world) reconfigure(d *daemon, v voterSet) {
	life := d.life
	w.at(w.delay(), func() {
		if d.life != life {
			return
		}
		d.deliver(func() {
			if _, epoch := d.h.Servers(); v.epoch > epoch {
				d.h.Reconfigure(d.clock(w.t), v.epoch, v.names)
			}
		})
	})
}

// changeVoters has a holder add or remove one voter, recorded under its term.
func (w *world) changeVoters(i int) {
	d := w.daemons[i]
	if d.paused || d.h.Phase() != PhaseHolding {
		return
	}
	term := d.h.Term()
	names, epoch := d.h.Servers()
	next := w.names[w.random.IntN(len(w.names))]
	if at := slices.Index(names, next); at >= 0 && len(names) > 1 {
		names = slices.Delete(names, at, at+1)
	} else if at < 0 {
		names = append(names, next)
	}
	w.at(w.delay(), func() {
		if w.store.down || w.store.term > term || w.store.config.epoch != epoch {
			return
		}
		w.store.term = term
		w.writes++
		v := voterSet{epoch: epoch + 1, names: names}
		w.record(v)
		w.note("voters are %v at epoch %d", names, v.epoch)
		if w.store.loseOne {
			w.store.loseOne = false
			return
		}
		w.reconfigure(d, v)
	})
}

// serverIndex returns the number in a server's name.
func serverIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "s%d", &i)
	return i
}

// link is one direction between a daemon and a server.
func link(from, to string) string { return from + ">" + to }

func (w *world) delay() time.Duration {
	if w.random.IntN(1000) < w.slow {
		return time.Duration(w.random.IntN(1500)) * time.Millisecond
	}
	return time.Duration(1+w.random.IntN(20)) * time.Millisecond
}

// carry takes a message over a link: it may be lost, late or repeated.
func (w *world) carry(l string, f func()) {
	n := 1
	if w.random.IntN(1000) < w.repeat {
		n = 2
	}
	for range n {
		if w.cut[l] || w.random.IntN(1000) < w.lossy {
			continue
		}
		w.at(w.delay(), f)
	}
}

func (w *world) send(d *daemon, i int, o Order) {
	s := w.servers[i]
	life := d.life
	name := w.daemonName(d)
	w.carry(link(name, w.names[i]), func() {
		s.deliver(func() {
			if w.rules.noRounds {
				s.voter.round = 0
			}
			if w.rules.noEpochs {
				s.voter.epoch = 0
			}
			a := s.voter.Handle(s.reading(w.t), o)
			if a.Applied && len(o.Shards) > 0 {
				w.note("%s took %v from %s under %s", w.names[i], o.Shards, name, o.Term)
			}
			w.check()
			w.carry(link(w.names[i], name), func() {
				if d.life == life {
					d.deliver(func() { d.h.ServerAck(d.clock(w.t), w.names[i], a) })
				}
			})
		})
	})
}

func (w *world) daemonName(d *daemon) string {
	for i := range w.daemons {
		if w.daemons[i] == d {
			return fmt.Sprintf("d%d", i)
		}
	}
	return "d?"
}

// callStore reads or conditionally updates the group's object.
func (w *world) callStore(d *daemon, out Output) {
	asked := d.clock(w.t)
	life := d.life
	if w.cut[link(w.daemonName(d), "store")] {
		return
	}
	w.at(w.delay()+w.store.slow, func() {
		if w.store.down {
			return
		}
		w.reads++
		if out.FenceStore && w.store.term < out.Term {
			w.store.term = out.Term
			w.writes++
		}
		ack := StoreAck{Asked: asked, Term: w.store.term, Epoch: w.store.config.epoch}
		if w.store.loseOne {
			w.store.loseOne = false
			return
		}
		w.at(w.delay(), func() {
			if d.life == life {
				d.deliver(func() { d.h.StoreAck(d.clock(w.t), ack) })
			}
		})
	})
}

// check is the oracle: no shard has two servers that would accept its work.
func (w *world) check() {
	for shard := range w.shards {
		var owners []string
		for i, s := range w.servers {
			if s.voter.Owns(s.reading(w.t), shard) {
				owners = append(owners, w.names[i])
			}
		}
		if len(owners) > 1 && w.violation == "" {
			w.violation = fmt.Sprintf("at %s shard %d has owners %v", w.t, shard, owners)
			w.note("VIOLATION shard %d has owners %v", shard, owners)
		}
	}
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.t + d
	for len(w.queue) > 0 && w.queue[0].at <= end && w.violation == "" {
		e := heap.Pop(&w.queue).(event)
		w.account(e.at)
		w.t = e.at
		e.run()
	}
	w.account(end)
	w.t = end
}

// account adds the time in which shards could be served until the next event.
func (w *world) account(until time.Duration) {
	passed := until - w.t
	if passed <= 0 {
		return
	}
	for shard := range w.shards {
		for _, d := range w.daemons {
			o, ok := d.h.Owner(d.clock(w.t), shard)
			if !ok || d.paused {
				continue
			}
			s := w.servers[serverIndex(o.Server)]
			if !s.paused && s.voter.Owns(s.reading(w.t), shard) {
				w.served += passed
				break
			}
		}
	}
}

// Faults and moves.

func (w *world) campaign(i int) {
	d := w.daemons[i]
	d.deliver(func() {
		if d.h.Phase() == PhaseIdle {
			d.h.Campaign(d.clock(w.t))
			w.note("d%d seeks under %s", i, d.h.Term())
		}
	})
}

func (w *world) pause(p *process, name string) {
	if !p.paused {
		p.paused = true
		w.note("%s pauses", name)
	}
}

func (w *world) resume(p *process, name string) {
	if !p.paused {
		return
	}
	p.paused = false
	w.note("%s wakes", name)
	held := p.held
	p.held = nil
	for _, f := range held {
		f()
	}
}

func (w *world) restartServer(i int) {
	s := w.servers[i]
	s.life++
	s.held = nil
	s.paused = false
	s.began = w.t
	s.voter = w.newVoter()
	w.note("s%d restarts", i)
}

func (w *world) restartDaemon(i int) {
	w.boot(w.daemons[i])
	w.daemons[i].paused = false
	w.note("d%d restarts", i)
}

func (w *world) rewant(i int) {
	w.daemons[i].h.Want(w.assignment())
}

// chaos does one random fault or move.
func (w *world) chaos() {
	d, s := w.random.IntN(len(w.daemons)), w.random.IntN(len(w.servers))
	dn, sn := fmt.Sprintf("d%d", d), fmt.Sprintf("s%d", s)
	switch w.random.IntN(17) {
	case 0, 1, 2:
		w.campaign(d)
	case 3, 4:
		w.rewant(d)
	case 5:
		w.pause(&w.daemons[d].process, dn)
	case 6, 7:
		w.resume(&w.daemons[d].process, dn)
	case 8:
		w.pause(&w.servers[s].process, sn)
	case 9, 10:
		w.resume(&w.servers[s].process, sn)
	case 11:
		w.restartServer(s)
	case 12:
		if w.random.IntN(2) == 0 {
			w.restartDaemon(d)
		}
	case 13:
		w.cut[link(dn, sn)] = true
		w.cut[link(sn, dn)] = w.random.IntN(2) == 0
	case 14:
		clear(w.cut)
	case 16:
		if w.changing {
			w.changeVoters(d)
		}
	case 15:
		w.store.down = !w.store.down
		w.store.loseOne = w.random.IntN(2) == 0
	}
}

// wild runs a world with random faults for d.
func wild(seed uint64, servers int, r rules, d time.Duration) *world {
	w := newWorld(seed, servers, r)
	w.lossy, w.slow, w.repeat = 20, 60, 50
	w.changing = seed%2 == 1
	for w.t < d && w.violation == "" {
		w.chaos()
		w.run(time.Duration(5+w.random.IntN(150)) * time.Millisecond)
	}
	return w
}
