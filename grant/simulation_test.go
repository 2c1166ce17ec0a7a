package grant

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// A discrete-event simulation of daemons, servers that check grants, and a store.
// They run on virtual time and exchange messages over a network that delays,
// drops, duplicates and partitions. After every order, an oracle checks that at
// most one server would accept requests for each shard.

// maxDrift is the maximum deviation of a clock's rate from 1. The resulting
// difference is well below Timing.ClockMargin.
const maxDrift = 0.015

// event is a function to run at a point of virtual time.
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

// process is a process with a clock of its own. It can be paused and restarted.
type process struct {
	rate   float64
	offset time.Duration
	paused bool
	// deferred holds the messages that arrived during a pause.
	deferred []func()
	// generation counts restarts.
	generation int
}

func (p *process) clock(t time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(p.offset + time.Duration(float64(t)*p.rate))
}

// deliver runs f now, or at the end of a pause. It drops f if the process
// restarts in the meantime.
func (p *process) deliver(f func()) {
	generation := p.generation
	g := func() {
		if p.generation == generation {
			f()
		}
	}
	if p.paused {
		p.deferred = append(p.deferred, g)
		return
	}
	g()
}

// voterSet is a set of voters, as recorded in the store.
type voterSet struct {
	epoch uint64
	names []string
}

// simulatedDaemon is a daemon that may hold the group.
type simulatedDaemon struct {
	process
	holder      *Holder
	incarnation uint32
}

// simulatedServer is a server that checks grants.
type simulatedServer struct {
	process
	voter     *Voter
	startedAt time.Duration
}

// reading returns the server's clock reading at a point of virtual time.
func (s *simulatedServer) reading(t time.Duration) time.Duration {
	return time.Duration(float64(t-s.startedAt) * s.rate)
}

// simulation is the state of a simulated group.
type simulation struct {
	now     time.Duration
	seq     int
	queue   events
	random  *rand.Rand
	variant variant
	timing  Timing
	shards  int
	daemons []*simulatedDaemon
	servers []*simulatedServer
	names   []string
	// partitioned holds the blocked directions of links, by linkKey.
	partitioned map[string]bool
	// lossRate, delayRate and duplicateRate are probabilities per message, in
	// thousandths.
	lossRate, delayRate, duplicateRate int
	store                              struct {
		down          bool
		slow          time.Duration
		loseNextReply bool
		term          Term
		voters        voterSet
	}
	// voterSets holds all sets of voters so far.
	voterSets []voterSet
	trace     []string
	violation string
	// served is the time for which shards could be served, summed over the shards.
	served       time.Duration
	writes       int
	reads        int
	incarnations uint64
	// changeVoterSets reports whether random faults include changes of the set of voters.
	changeVoterSets bool
}

// spareServers is the number of servers that are not voters at the start.
const spareServers = 2

func newSimulation(seed uint64, servers int, v variant) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 7)), variant: v, timing: DefaultTiming(), shards: 4, partitioned: map[string]bool{}}
	for i := range servers + spareServers {
		s := &simulatedServer{process: sim.process()}
		sim.servers = append(sim.servers, s)
		sim.names = append(sim.names, fmt.Sprintf("s%d", i))
		// The initial servers have been up long enough to vote.
		s.startedAt = -time.Hour
		s.voter = sim.newVoter()
	}
	sim.recordVoters(voterSet{epoch: 1, names: sim.names[:servers]})
	for range 3 {
		d := &simulatedDaemon{process: sim.process()}
		sim.daemons = append(sim.daemons, d)
		sim.startDaemon(d)
		sim.scheduleTicks(d)
	}
	return sim
}

func (sim *simulation) recordVoters(v voterSet) {
	sim.store.voters = v
	sim.voterSets = append(sim.voterSets, v)
}

func (sim *simulation) newVoter() *Voter {
	sim.incarnations++
	return NewVoter(sim.incarnations)
}

func (sim *simulation) process() process {
	return process{rate: 1 + (sim.random.Float64()*2-1)*maxDrift, offset: time.Duration(sim.random.IntN(1000)) * time.Second}
}

// startDaemon starts or restarts a daemon with a new incarnation.
func (sim *simulation) startDaemon(d *simulatedDaemon) {
	sim.incarnations++
	d.incarnation = uint32(sim.incarnations)
	d.generation++
	d.deferred = nil
	voters := sim.store.voters
	if sim.store.down {
		// Without the store, the daemon gets the set from a peer, which may have an older one.
		voters = sim.voterSets[sim.random.IntN(len(sim.voterSets))]
	}
	d.holder = New(Config{Group: "g", Servers: voters.names, Epoch: voters.epoch, ChecksGrants: true, Shards: sim.shards, Timing: sim.timing, Incarnation: d.incarnation})
	d.holder.variant = sim.variant
	d.holder.SetAssignment(sim.assignment())
}

// assignment returns a random assignment of shards to servers.
func (sim *simulation) assignment() []string {
	a := make([]string, sim.shards)
	for i := range a {
		a[i] = sim.names[sim.random.IntN(len(sim.names))]
	}
	return a
}

// schedule runs f after d of virtual time.
func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now + d, seq: sim.seq, run: f})
}

// tracef adds a line to the trace, which keeps the last 60.
func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%8s ", sim.now.Round(time.Millisecond))+fmt.Sprintf(format, args...))
	if len(sim.trace) > 60 {
		sim.trace = sim.trace[1:]
	}
}

// scheduleTicks schedules a daemon's rounds without end. Rounds are skipped
// during a pause.
func (sim *simulation) scheduleTicks(d *simulatedDaemon) {
	sim.schedule(time.Duration(float64(sim.timing.Tick)/d.rate), func() {
		if !d.paused {
			sim.tick(d)
		}
		sim.scheduleTicks(d)
	})
}

func (sim *simulation) tick(d *simulatedDaemon) {
	out := d.holder.Tick(d.clock(sim.now))
	for _, o := range out.Orders {
		sim.send(d, serverIndex(o.Server), o.Order)
	}
	if out.FenceStore || out.ReadStore {
		sim.callStore(d, out)
	}
	if d.holder.StaleEpoch() && !sim.store.down {
		sim.reconfigure(d, sim.store.voters)
	}
}

// reconfigure delivers a set of voters to a daemon after a delay.
func (sim *simulation) reconfigure(d *simulatedDaemon, v voterSet) {
	generation := d.generation
	sim.schedule(sim.delay(), func() {
		if d.generation != generation {
			return
		}
		d.deliver(func() {
			if _, epoch := d.holder.Servers(); v.epoch > epoch {
				d.holder.Reconfigure(d.clock(sim.now), v.epoch, v.names)
			}
		})
	})
}

// changeVoters makes a holder add or remove one voter. The store records the
// change unless it is down, contains a higher term or has another epoch.
func (sim *simulation) changeVoters(i int) {
	d := sim.daemons[i]
	if d.paused || d.holder.Phase() != PhaseHolding {
		return
	}
	term := d.holder.Term()
	names, epoch := d.holder.Servers()
	next := sim.names[sim.random.IntN(len(sim.names))]
	if at := slices.Index(names, next); at >= 0 && len(names) > 1 {
		names = slices.Delete(names, at, at+1)
	} else if at < 0 {
		names = append(names, next)
	}
	sim.schedule(sim.delay(), func() {
		if sim.store.down || sim.store.term > term || sim.store.voters.epoch != epoch {
			return
		}
		sim.store.term = term
		sim.writes++
		v := voterSet{epoch: epoch + 1, names: names}
		sim.recordVoters(v)
		sim.tracef("voters are %v at epoch %d", names, v.epoch)
		if sim.store.loseNextReply {
			sim.store.loseNextReply = false
			return
		}
		sim.reconfigure(d, v)
	})
}

// serverIndex returns the index in a server's name.
func serverIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "s%d", &i)
	return i
}

// linkKey returns the key in simulation.partitioned of one direction of a link.
func linkKey(from, to string) string { return from + ">" + to }

func (sim *simulation) delay() time.Duration {
	if sim.random.IntN(1000) < sim.delayRate {
		return time.Duration(sim.random.IntN(1500)) * time.Millisecond
	}
	return time.Duration(1+sim.random.IntN(20)) * time.Millisecond
}

// transmit sends a message over a link, which may lose, delay or duplicate it.
func (sim *simulation) transmit(link string, f func()) {
	n := 1
	if sim.random.IntN(1000) < sim.duplicateRate {
		n = 2
	}
	for range n {
		if sim.partitioned[link] || sim.random.IntN(1000) < sim.lossRate {
			continue
		}
		sim.schedule(sim.delay(), f)
	}
}

// send delivers an order to a server and its reply to the daemon.
func (sim *simulation) send(d *simulatedDaemon, i int, o Order) {
	s := sim.servers[i]
	generation := d.generation
	name := sim.daemonName(d)
	sim.transmit(linkKey(name, sim.names[i]), func() {
		s.deliver(func() {
			if sim.variant.ignoreRounds {
				s.voter.round = 0
			}
			if sim.variant.ignoreEpochs {
				s.voter.epoch = 0
			}
			a := s.voter.Handle(s.reading(sim.now), o)
			if a.Applied && len(o.Shards) > 0 {
				sim.tracef("%s applied shards %v from %s under term %s", sim.names[i], o.Shards, name, o.Term)
			}
			sim.checkOwners()
			sim.transmit(linkKey(sim.names[i], name), func() {
				if d.generation == generation {
					d.deliver(func() { d.holder.ServerAck(d.clock(sim.now), sim.names[i], a) })
				}
			})
		})
	})
}

func (sim *simulation) daemonName(d *simulatedDaemon) string {
	for i := range sim.daemons {
		if sim.daemons[i] == d {
			return fmt.Sprintf("d%d", i)
		}
	}
	return "d?"
}

// callStore reads or conditionally updates the group's object in the store.
func (sim *simulation) callStore(d *simulatedDaemon, out Output) {
	requestedAt := d.clock(sim.now)
	generation := d.generation
	if sim.partitioned[linkKey(sim.daemonName(d), "store")] {
		return
	}
	sim.schedule(sim.delay()+sim.store.slow, func() {
		if sim.store.down {
			return
		}
		sim.reads++
		if out.FenceStore && sim.store.term < out.Term {
			sim.store.term = out.Term
			sim.writes++
		}
		ack := StoreAck{RequestedAt: requestedAt, Term: sim.store.term, Epoch: sim.store.voters.epoch}
		if sim.store.loseNextReply {
			sim.store.loseNextReply = false
			return
		}
		sim.schedule(sim.delay(), func() {
			if d.generation == generation {
				d.deliver(func() { d.holder.StoreAck(d.clock(sim.now), ack) })
			}
		})
	})
}

// checkOwners is the oracle. It records a violation if two servers would accept
// requests for the same shard.
func (sim *simulation) checkOwners() {
	for shard := range sim.shards {
		var owners []string
		for i, s := range sim.servers {
			if s.voter.Owns(s.reading(sim.now), shard) {
				owners = append(owners, sim.names[i])
			}
		}
		if len(owners) > 1 && sim.violation == "" {
			sim.violation = fmt.Sprintf("at %s shard %d has owners %v", sim.now, shard, owners)
			sim.tracef("VIOLATION shard %d has owners %v", shard, owners)
		}
	}
}

// run runs the events of the next d of virtual time, up to the first violation.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end && sim.violation == "" {
		e := heap.Pop(&sim.queue).(event)
		sim.addServedTime(e.at)
		sim.now = e.at
		e.run()
	}
	sim.addServedTime(end)
	sim.now = end
}

// addServedTime adds the time until the next event for each shard that is served.
func (sim *simulation) addServedTime(until time.Duration) {
	passed := until - sim.now
	if passed <= 0 {
		return
	}
	for shard := range sim.shards {
		for _, d := range sim.daemons {
			o, ok := d.holder.Owner(d.clock(sim.now), shard)
			if !ok || d.paused {
				continue
			}
			s := sim.servers[serverIndex(o.Server)]
			if !s.paused && s.voter.Owns(s.reading(sim.now), shard) {
				sim.served += passed
				break
			}
		}
	}
}

// Faults and operations.

func (sim *simulation) campaign(i int) {
	d := sim.daemons[i]
	d.deliver(func() {
		if d.holder.Phase() == PhaseIdle {
			d.holder.Campaign(d.clock(sim.now))
			sim.tracef("d%d campaigns under term %s", i, d.holder.Term())
		}
	})
}

func (sim *simulation) pause(p *process, name string) {
	if !p.paused {
		p.paused = true
		sim.tracef("%s is paused", name)
	}
}

func (sim *simulation) resume(p *process, name string) {
	if !p.paused {
		return
	}
	p.paused = false
	sim.tracef("%s is resumed", name)
	deferred := p.deferred
	p.deferred = nil
	for _, f := range deferred {
		f()
	}
}

func (sim *simulation) restartServer(i int) {
	s := sim.servers[i]
	s.generation++
	s.deferred = nil
	s.paused = false
	s.startedAt = sim.now
	s.voter = sim.newVoter()
	sim.tracef("s%d restarts", i)
}

func (sim *simulation) restartDaemon(i int) {
	sim.startDaemon(sim.daemons[i])
	sim.daemons[i].paused = false
	sim.tracef("d%d restarts", i)
}

func (sim *simulation) randomizeAssignment(i int) {
	sim.daemons[i].holder.SetAssignment(sim.assignment())
}

// randomFault injects one random fault or performs one random operation.
func (sim *simulation) randomFault() {
	d, s := sim.random.IntN(len(sim.daemons)), sim.random.IntN(len(sim.servers))
	dn, sn := fmt.Sprintf("d%d", d), fmt.Sprintf("s%d", s)
	switch sim.random.IntN(17) {
	case 0, 1, 2:
		sim.campaign(d)
	case 3, 4:
		sim.randomizeAssignment(d)
	case 5:
		sim.pause(&sim.daemons[d].process, dn)
	case 6, 7:
		sim.resume(&sim.daemons[d].process, dn)
	case 8:
		sim.pause(&sim.servers[s].process, sn)
	case 9, 10:
		sim.resume(&sim.servers[s].process, sn)
	case 11:
		sim.restartServer(s)
	case 12:
		if sim.random.IntN(2) == 0 {
			sim.restartDaemon(d)
		}
	case 13:
		sim.partitioned[linkKey(dn, sn)] = true
		sim.partitioned[linkKey(sn, dn)] = sim.random.IntN(2) == 0
	case 14:
		clear(sim.partitioned)
	case 16:
		if sim.changeVoterSets {
			sim.changeVoters(d)
		}
	case 15:
		sim.store.down = !sim.store.down
		sim.store.loseNextReply = sim.random.IntN(2) == 0
	}
}

// runRandomFaults runs a simulation of length d with random faults.
func runRandomFaults(seed uint64, servers int, v variant, d time.Duration) *simulation {
	sim := newSimulation(seed, servers, v)
	sim.lossRate, sim.delayRate, sim.duplicateRate = 20, 60, 50
	sim.changeVoterSets = seed%2 == 1
	for sim.now < d && sim.violation == "" {
		sim.randomFault()
		sim.run(time.Duration(5+sim.random.IntN(150)) * time.Millisecond)
	}
	return sim
}
