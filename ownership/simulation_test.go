package ownership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	testHold  = 3 * time.Second
	testLease = 10 * time.Second
	testTick  = 20 * time.Millisecond
	// abandonedOrderAge is the age up to which deliversAbandoned delivers orders; a kernel retransmits for many seconds.
	abandonedOrderAge = 13 * time.Second
	testService       = "stockroom"
)

// simulation runs several coordinating processes against a simulated store and
// simulated targets, with faults. It tracks which target holds which keys and
// records the first violation of the rules.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	events     []simulatedEvent
	document   *Document // in the store
	version    int       // of the document in the store
	targets    []*fakeTarget
	processes  []*process
	probedKeys []uint16                     // keys that are checked
	fences     map[uint16]map[string]uint64 // highest token with which a target held a key, by key and name
	violation  string                       // description of the first violation; empty if there is none
	heldChecks int                          // checks in which the key had a holder
	checks     int
	era        uint64          // of the store
	copies     []simulatedCopy // of the store, every copyInterval
	restores   int
	restoredAt time.Time // when the store last came back from a copy
	joined     int       // processes that have joined
	// restoresStore makes the store come back from a copy now and then.
	restoresStore bool
	// changesHosts makes hosts join, leave and restart, and coordinators be cut off, now and then.
	changesHosts bool
	// deliversAbandoned makes orders that were given up during a partition arrive after it, at any age.
	deliversAbandoned bool
}

// copyInterval is the time between two copies of the store, of which the last copyCount are kept.
const (
	copyInterval = time.Second
	copyCount    = 12
)

// simulatedCopy is a copy of the store.
type simulatedCopy struct {
	document *Document
	version  int
}

// simulatedEvent is a function to call at a simulated time.
type simulatedEvent struct {
	at time.Time
	do func()
}

// fakeTarget implements the target's side of grants as the platform specifies it:
// it refuses tokens below the highest one that it has received.
type fakeTarget struct {
	incarnation        Incarnation
	up                 bool
	draining           bool
	listed             bool
	clockDrift         float64                // how much longer a hold lasts by its clock, as a share of the hold
	answersLate        bool                   // leaves some orders unanswered and carries them out later
	refusesConnections bool                   // a partition refuses connections instead of dropping packets
	holds              map[uint16]fakeHolding // by key
	seenFences         map[uint16]uint64      // highest token received, by key
}

// fakeHolding is a granted key of a fakeTarget.
type fakeHolding struct {
	fence uint64
	until time.Time
}

// process is a host process that can become coordinator.
type process struct {
	name             string
	core             *Core     // nil while it does not coordinate
	version          int       // of the last document that it read or wrote
	leaseConfirmedAt time.Time // when the store last confirmed that it coordinates
	paused           bool
	partitionedFrom  map[*fakeTarget]bool
	connectedAt      map[*fakeTarget]time.Time // when the connections for grants were opened
	storeUnavailable bool
	term             uint64
	era              uint64               // of the store at version
	lastLed          *Document            // of its last term
	followed         uint64               // highest term of another process that it has followed
	followedBefore   uint64               // the same before that
	census           *Census              // of the processes before it; nil unless it took over from a copy and has not settled
	takenOverTerm    uint64               // term of the process whose own document it took over from; 0 if it was a copy's
	cutOff           bool                 // from the store and the other processes, but not from the targets
	ended            bool                 // it has left, or another process of the host has replaced it
	withdrawn        bool                 // it does not coordinate any more
	candidates       []string             // listed by the process that it follows, or by itself while it coordinates
	candidatesBefore []string             // the same before it followed this one
	reportedAt       map[string]time.Time // when the other processes have reported to it, while it coordinates
}

// reaches reports whether two processes can call each other.
func (p *process) reaches(other *process) bool {
	return !p.paused && !p.cutOff && !p.ended && !other.paused && !other.cutOff && !other.ended
}

// newProcess returns a process that knows of no other one.
func newProcess(name string) *process {
	return &process{name: name, partitionedFrom: map[*fakeTarget]bool{}, connectedAt: map[*fakeTarget]time.Time{}}
}

// knownTerm returns the highest term that a process has led or followed.
func (p *process) knownTerm() uint64 {
	if p.lastLed != nil {
		return max(p.followed, p.lastLed.Term)
	}
	return p.followed
}

// termBefore returns the highest term that a process has led or followed before it followed another one with the given term.
func (p *process) termBefore(term uint64) uint64 {
	out := p.followedBefore
	if p.followed != term {
		out = max(out, p.followed)
	}
	if p.lastLed != nil {
		out = max(out, p.lastLed.Term)
	}
	return out
}

// follow records that a process follows another one.
func (p *process) follow(term uint64) {
	if term > p.followed {
		p.followedBefore, p.followed = p.followed, term
		p.candidatesBefore = p.candidates
	}
}

// end ends the term of a process.
func (p *process) end() {
	if p.core == nil {
		return
	}
	p.lastLed = p.core.Document().clone()
	if d := p.core.Proposed(); d != nil {
		p.lastLed.Fence = max(p.lastLed.Fence, d.Fence)
	}
	p.core = nil
}

// newSimulation returns a simulation of four targets and three processes, none of which coordinates.
func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1_000_000, 0),
		fences: map[uint16]map[string]uint64{},
		era:    1,
	}
	for i := range 4 {
		s.addTarget(fmt.Sprint("t", i))
	}
	for i := range 3 {
		s.processes = append(s.processes, newProcess(fmt.Sprint("p", i)))
	}
	for range 24 {
		s.probedKeys = append(s.probedKeys, uint16(s.random.IntN(1<<16)))
	}
	return s
}

// addTarget starts a target with an address of its own.
func (s *simulation) addTarget(name string) *fakeTarget {
	port := uint16(8000 + len(s.targets))
	t := &fakeTarget{
		incarnation: Incarnation{Name: name, StartedAt: s.now, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)},
		up:          true, listed: true, clockDrift: s.random.Float64() * maxClockDrift,
		holds: map[uint16]fakeHolding{}, seenFences: map[uint16]uint64{},
	}
	s.targets = append(s.targets, t)
	return t
}

// after schedules a call of do in d.
func (s *simulation) after(d time.Duration, do func()) {
	s.events = append(s.events, simulatedEvent{s.now.Add(d), do})
}

// run advances the simulation by d or until a violation.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end) && s.violation == ""; {
		s.now = s.now.Add(testTick)
		s.copyStore()
		s.runDueEvents()
		for _, p := range s.processes {
			if !p.paused {
				s.step(p)
			}
		}
		s.check()
	}
}

// copyStore copies the store when a copy is due.
func (s *simulation) copyStore() {
	if s.document == nil || s.now.UnixNano()%int64(copyInterval) != 0 {
		return
	}
	s.copies = append(s.copies, simulatedCopy{s.document.clone(), s.version})
	s.copies = s.copies[max(0, len(s.copies)-copyCount):]
}

// restore makes the store come back from one of its copies.
func (s *simulation) restore() {
	if len(s.copies) == 0 {
		return
	}
	kept := s.copies[s.random.IntN(len(s.copies))]
	s.document, s.version = kept.document.clone(), kept.version
	s.era++
	s.restores++
	s.restoredAt = s.now
}

// adoptCopy is what a coordinator does that finds another document in the store than it wrote. It reports whether
// the coordinator continues with the version of the copy.
func (s *simulation) adoptCopy(p *process) bool {
	if s.era == p.era || s.document.Era >= s.era || !s.now.Before(p.leaseConfirmedAt.Add(testLease)) {
		p.end()
		return false
	}
	for _, other := range s.processes {
		if slices.Contains(p.candidates, other.name) && other != p && p.reportedAt[other.name].Before(s.restoredAt) {
			return false
		}
		if p.reaches(other) && other.knownTerm() > p.core.Document().Term {
			return false
		}
	}
	p.version, p.era = s.version, s.era
	return true
}

// exchange makes all processes that do not coordinate report to the coordinator with the highest term that they reach.
func (s *simulation) exchange() {
	for _, p := range s.processes {
		if p.core != nil {
			continue
		}
		var to *process
		for _, other := range s.processes {
			if other.core != nil && p.reaches(other) && s.now.Before(other.leaseConfirmedAt.Add(testLease)) && (to == nil || other.term > to.term) {
				to = other
			}
		}
		if to == nil || to.term < p.knownTerm() {
			continue
		}
		p.follow(to.term)
		to.handleReport(s.now, p)
		p.candidates = slices.Clone(to.candidates)
	}
}

// handleReport updates the candidates and the census of a coordinator with the report of another process.
func (p *process) handleReport(now time.Time, from *process) {
	p.reportedAt[from.name] = now
	p.setCandidate(from.name, !from.withdrawn)
	for _, name := range slices.Clone(p.candidates) {
		if name != p.name && p.leaseConfirmedAt.Sub(p.reportedAt[name]) > testLease {
			p.setCandidate(name, false)
		}
	}
	if p.census != nil {
		p.census.AddList(0, from.candidatesBefore)
		p.census.Account(from.name, from.termBefore(p.term))
	}
}

// setCandidate adds a process to the candidates or removes it.
func (p *process) setCandidate(name string, candidate bool) {
	p.candidates = slices.DeleteFunc(slices.Clone(p.candidates), func(have string) bool { return have == name })
	if candidate {
		p.candidates = append(p.candidates, name)
	}
}

// runDueEvents runs the events that are due, in the order of their times.
func (s *simulation) runDueEvents() {
	sort.SliceStable(s.events, func(i, j int) bool { return s.events[i].at.Before(s.events[j].at) })
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		e := s.events[0]
		s.events = s.events[1:]
		e.do()
	}
}

// listedTargets returns the entries of all listed targets.
func (s *simulation) listedTargets() []platform.Target {
	var out []platform.Target
	for _, t := range s.targets {
		if t.listed {
			out = append(out, platform.Target{Name: t.incarnation.Name, StartedAt: t.incarnation.StartedAt, Address: t.incarnation.Address, Service: testService, Slots: 2, Draining: t.draining})
		}
	}
	return out
}

// step runs one step of a process: it plans a change and sends the orders that are due.
func (s *simulation) step(p *process) {
	if p.core == nil {
		return
	}
	if !s.now.Before(p.leaseConfirmedAt.Add(testLease - platform.UnackedTimeout)) {
		return
	}
	p.core.SetTargets(s.now, testService, s.listedTargets())
	p.core.UpdateLiveness(s.now, s.listedTargets())
	if d, _ := p.core.Plan(s.now); d != nil {
		s.propose(p, p.core, d)
	}
	for _, o := range p.core.Orders(s.now) {
		s.send(p, p.core, o)
	}
}

// propose writes a document and repeats the write until its outcome is known.
func (s *simulation) propose(p *process, core *Core, d *Document) {
	if p.core != core {
		return
	}
	d = core.Proposed() // another one since the store was restored
	again := func() { s.propose(p, core, d) }
	if p.paused || p.storeUnavailable || p.cutOff {
		s.after(200*time.Millisecond, again)
		return
	}
	sent, condition, era := s.now, p.version, p.era
	write := func() bool {
		if s.version != condition || s.era != era {
			return s.document.Coordinator == p.name && s.document.Term == d.Term && s.document.Fence == d.Fence && s.document.Era == s.era
		}
		d.Era = s.era
		s.document, s.version = d.clone(), s.version+1
		return true
	}
	if s.random.IntN(8) == 0 { // the answer is lost; the write takes effect immediately, late or never
		switch s.random.IntN(3) {
		case 0:
			write()
		case 1:
			s.after(time.Duration(s.random.IntN(3000))*time.Millisecond, func() { write() })
		}
		s.after(200*time.Millisecond, again)
		return
	}
	ok, version := write(), s.version
	s.after(4*time.Millisecond, func() {
		if p.core != core {
			return
		}
		if core.Proposed() != d {
			again()
			return
		}
		switch {
		case !ok && s.adoptCopy(p):
			core.Restored(s.era)
			s.propose(p, core, core.Proposed())
			return
		case !ok:
			s.after(200*time.Millisecond, again)
			return
		}
		p.version, p.leaseConfirmedAt, p.term = version, sent, d.Term
		core.ConfirmWrite(s.now)
	})
}

// send delivers an order to its target and schedules the answer.
func (s *simulation) send(p *process, core *Core, o Order) {
	answer := func(d time.Duration, r OrderResult, token string) {
		s.after(d, func() { s.recordResult(p, core, o, r, token) })
	}
	t := s.targetAt(o.To.Address)
	connectedAt, connected := p.connectedAt[t]
	switch {
	case p.partitionedFrom[t] && t.refusesConnections, !t.up:
		answer(2*time.Millisecond, OrderNotSent, "")
		return
	case o.Kind == GrantKeys && !connected && p.partitionedFrom[t]:
		answer(GrantTimeout, OrderNotSent, "")
		return
	case o.Kind == GrantKeys && (!connected || !connectedAt.Before(p.leaseConfirmedAt)):
		if !connected {
			p.connectedAt[t] = s.now
		}
		s.after(time.Duration(s.random.IntN(100))*time.Millisecond, func() { s.confirmLease(p) })
		answer(2*time.Millisecond, OrderWithheld, "")
		return
	case p.partitionedFrom[t]:
		answer(GrantTimeout, OrderUnanswered, "")
		s.retransmit(p, t, o, s.now)
		return
	case t.incarnation.Name != o.To.Name:
		answer(2*time.Millisecond, OrderTargetReplaced, "")
		return
	}
	arrival, incarnation := s.now, t.incarnation
	if t.answersLate && s.random.IntN(3) == 0 {
		answer(GrantTimeout, OrderUnanswered, "")
		s.after(time.Duration(2+s.random.IntN(10))*time.Second, func() {
			if t.up && t.incarnation.SameAs(incarnation) {
				s.carryOut(t, o, arrival)
			}
		})
		return
	}
	accepted := s.carryOut(t, o, arrival)
	switch {
	case s.random.IntN(30) == 0:
		answer(GrantTimeout, OrderUnanswered, "") // the answer is lost
	case !accepted:
		answer(2*time.Millisecond, OrderFenced, "")
	case o.Kind == ReleaseKeys:
		answer(time.Duration(s.random.IntN(600))*time.Millisecond, OrderDone, "token")
	default:
		answer(2*time.Millisecond, OrderDone, "")
	}
}

// recordResult records the result of an order. A paused process learns of it when it resumes.
func (s *simulation) recordResult(p *process, core *Core, o Order, r OrderResult, token string) {
	if p.paused {
		s.after(testTick, func() { s.recordResult(p, core, o, r, token) })
		return
	}
	if r == OrderUnanswered && o.Kind == GrantKeys {
		delete(p.connectedAt, s.targetAt(o.To.Address))
	}
	core.RecordResult(s.now, o, r, token)
}

// retransmit delivers an order when the partition ends, unless its connection has been
// closed before: at the deadline of the order, or, while its process is paused, when the
// kernel gives up.
func (s *simulation) retransmit(p *process, t *fakeTarget, o Order, sent time.Time) {
	limit := GrantTimeout
	switch {
	case s.deliversAbandoned:
		limit = abandonedOrderAge
	case p.paused:
		limit = platform.UnackedTimeout
	}
	if s.now.Sub(sent) > limit || !t.up || t.incarnation.Name != o.To.Name {
		return
	}
	if !p.partitionedFrom[t] {
		s.carryOut(t, o, s.now)
		return
	}
	s.after(testTick, func() { s.retransmit(p, t, o, sent) })
}

// targetAt returns the newest target with an address.
func (s *simulation) targetAt(address netip.AddrPort) *fakeTarget {
	for i := len(s.targets) - 1; i >= 0; i-- {
		if s.targets[i].incarnation.Address == address {
			return s.targets[i]
		}
	}
	panic("no target at " + address.String())
}

// carryOut applies an order that arrived at a target and reports whether the
// target accepted it. It records a violation if a key gets a new holder without a
// higher token.
func (s *simulation) carryOut(t *fakeTarget, o Order, arrival time.Time) bool {
	for _, key := range s.probedKeys {
		if key < o.Span.First || key > o.Span.Last {
			continue
		}
		if o.Kind == ReleaseKeys {
			delete(t.holds, key)
			continue
		}
		if o.Fence < t.seenFences[key] {
			return false
		}
		until := arrival.Add(time.Duration(float64(o.HoldTime) * (1 + t.clockDrift)))
		if !until.After(s.now) {
			continue
		}
		// A target that starts again remembers no tokens, so that a renewal reaches it until its entry shows the start.
		for name, fence := range s.fences[key] {
			if name != t.incarnation.Name && o.Fence <= fence {
				s.violation = fmt.Sprintf("key %d goes to %s with token %d, %s had it with %d", key, t.id(), o.Fence, name, fence)
			}
		}
		t.seenFences[key] = o.Fence
		if s.fences[key] == nil {
			s.fences[key] = map[string]uint64{}
		}
		s.fences[key][t.incarnation.Name] = max(s.fences[key][t.incarnation.Name], o.Fence)
		if have := t.holds[key]; until.After(have.until) {
			t.holds[key] = fakeHolding{o.Fence, until}
		}
	}
	return true
}

// id identifies the incarnation of a target.
func (t *fakeTarget) id() string { return t.incarnation.Name + t.incarnation.StartedAt.Format(".000") }

// check records a violation if two targets hold the same key.
func (s *simulation) check() {
	for _, key := range s.probedKeys {
		var holders []string
		for _, t := range s.targets {
			if h, ok := t.holds[key]; ok && t.up && s.now.Before(h.until) {
				holders = append(holders, fmt.Sprintf("%s (%d)", t.id(), h.fence))
			}
		}
		s.checks++
		if len(holders) > 0 {
			s.heldChecks++
		}
		if len(holders) > 1 {
			s.violation = fmt.Sprintf("after %s: key %d is held by %v", s.now.Sub(time.Unix(1_000_000, 0)), key, holders)
		}
	}
}

// takeOver makes a process the coordinator.
func (s *simulation) takeOver(p *process) {
	if p.core != nil || p.storeUnavailable || p.paused || p.cutOff || p.ended || p.withdrawn {
		return
	}
	old, census := s.document, NewCensus()
	p.takenOverTerm = 0
	stopped := old == nil || old.OwnersFenced && old.Coordinator == "" && !old.Incomplete
	if old != nil && old.Era < s.era {
		var found bool
		if old, stopped, found = s.newestKnown(p, census); !found {
			return
		}
		if old != nil {
			p.takenOverTerm = old.Term
			old = AfterRestore(old, s.era)
		} else {
			old = AfterRestore(s.document, s.era)
		}
	} else {
		s.stopPredecessor(p)
	}
	d := TakeOver(old)
	d.Coordinator, d.Era = p.name, s.era
	s.document, s.version = d.clone(), s.version+1
	p.version, p.era, p.leaseConfirmedAt, p.term = s.version, s.era, s.now, d.Term
	p.core = New(Options{HoldTime: testHold, LeaseTime: testLease})
	p.core.Begin(s.now, d, stopped)
	p.candidatesBefore, p.reportedAt = p.candidates, map[string]time.Time{}
	p.setCandidate(p.name, true)
	for _, name := range p.candidates {
		p.reportedAt[name] = s.now
	}
	if p.census = nil; d.Incomplete {
		census.ExpectCandidates(p.candidatesBefore)
		census.Account(p.name, p.termBefore(d.Term))
		p.census = census
	}
}

// newestKnown asks the other processes, some of which do not answer, for the newest document, as a process does that takes over from
// a copy. The document is nil if none of the answers is surely the newest. found is false if another process coordinates.
func (s *simulation) newestKnown(p *process, census *Census) (d *Document, stopped, found bool) {
	term, best := p.knownTerm(), p.lastLed
	if best != nil && best.Incomplete {
		best = nil
	}
	for _, other := range s.processes {
		if other == p || !p.reaches(other) || s.random.IntN(3) == 0 {
			continue
		}
		if other.core != nil && s.now.Before(other.leaseConfirmedAt.Add(testLease)) {
			return nil, false, false
		}
		other.end()
		census.Account(other.name, other.knownTerm())
		term = max(term, other.knownTerm())
		if other.lastLed != nil && !other.lastLed.Incomplete && (best == nil || other.lastLed.Term > best.Term) {
			best = other.lastLed
		}
	}
	if best == nil || best.Term < term || best.Term < s.document.Term {
		return nil, false, true
	}
	return best, best.OwnersFenced, true
}

// settle ends the wait of a process that took over from a copy when all processes that may have coordinated before are accounted
// for.
func (s *simulation) settle(p *process) {
	if p.core == nil || p.census == nil || !p.census.Complete() {
		return
	}
	latest, sure := p.census.LatestTerm()
	p.census = nil
	p.core.UnknownCoordinatorsStopped(s.now, sure && p.takenOverTerm > 0 && latest <= p.takenOverTerm)
}

// stopPredecessor makes the coordinator before p stop within two seconds after p
// took over, in half of the cases. If that one had fenced all owners, no earlier one is left.
func (s *simulation) stopPredecessor(p *process) {
	if s.document == nil || s.random.IntN(2) == 0 {
		return
	}
	fenced := s.document.OwnersFenced
	for _, earlier := range s.processes {
		if earlier == p || earlier.name != s.document.Coordinator {
			continue
		}
		s.after(time.Duration(s.random.IntN(2000))*time.Millisecond, func() {
			if p.reaches(earlier) && p.core != nil {
				earlier.end()
				if fenced {
					p.core.PredecessorsStopped(s.now)
				}
			}
		})
	}
}

// confirmLease renews the lease of a process if the store still names it as coordinator.
func (s *simulation) confirmLease(p *process) {
	if p.core == nil || p.storeUnavailable || p.paused || p.cutOff {
		return
	}
	if s.era != p.era {
		if s.adoptCopy(p) {
			if d := p.core.Restored(s.era); d != nil {
				s.propose(p, p.core, d)
			}
		}
		return
	}
	if s.document.Coordinator != p.name || s.document.Term != p.term {
		p.end()
		return
	}
	p.leaseConfirmedAt = s.now
}

// changeHosts makes a host join, leave or restart, or cuts the coordinator off for some seconds.
func (s *simulation) changeHosts(p *process) {
	switch s.random.IntN(5) {
	case 0:
		s.join()
	case 1: // a host leaves; it is lost before it can say so, or says so to the coordinator
		if s.running() > 2 && p.core == nil {
			p.withdrawn = s.random.IntN(2) == 0
			s.after(time.Second, func() { s.endProcess(p) })
		}
	case 2: // a host restarts under its name
		s.endProcess(p)
		s.processes = append(s.processes, newProcess(p.name))
	case 3, 4:
		s.cutOffCoordinators()
	}
}

// join adds a host.
func (s *simulation) join() {
	s.joined++
	s.processes = append(s.processes, newProcess(fmt.Sprint("j", s.joined)))
}

// cutOffCoordinators cuts the coordinators off from the store and the other processes for some seconds. The store may come back
// from a copy meanwhile, hosts may join, and another process takes over.
func (s *simulation) cutOffCoordinators() {
	for _, leader := range s.processes {
		if leader.core != nil && !leader.cutOff {
			leader.cutOff = true
			s.after(time.Duration(4+s.random.IntN(12))*time.Second, func() { leader.cutOff = false })
		}
	}
	soon := func() time.Duration { return time.Duration(s.random.IntN(2000)) * time.Millisecond }
	if s.random.IntN(2) == 0 {
		s.after(soon(), s.restore)
	}
	for range s.random.IntN(3) {
		s.after(soon(), s.join)
	}
	s.after(2*time.Second+soon(), func() {
		if other := s.processes[s.random.IntN(len(s.processes))]; !other.cutOff {
			s.takeOver(other)
		}
	})
}

// endProcess ends a process for good. Its orders that are on their way still arrive.
func (s *simulation) endProcess(p *process) {
	p.end()
	p.ended = true
	s.processes = slices.DeleteFunc(s.processes, func(have *process) bool { return have == p })
}

// running returns the number of processes that can coordinate.
func (s *simulation) running() int {
	n := 0
	for _, p := range s.processes {
		if !p.withdrawn {
			n++
		}
	}
	return n
}

// crash ends a target. It starts again at once in place, or a new target starts some seconds later, with the same name,
// with the same address, or with neither.
func (s *simulation) crash(t *fakeTarget) {
	t.up = false
	t.holds = map[uint16]fakeHolding{}
	s.after(2600*time.Millisecond, func() { t.listed = false })
	if s.random.IntN(2) == 0 {
		s.after(time.Duration(50+s.random.IntN(2000))*time.Millisecond, func() { s.restartInPlace(t) })
		return
	}
	s.after(time.Duration(1500+s.random.IntN(4000))*time.Millisecond, func() {
		t.listed = false
		successor := s.addTarget(fmt.Sprint("t", len(s.targets)))
		switch s.random.IntN(3) {
		case 0: // the same name again
			successor.incarnation.Name = t.incarnation.Name
		case 1: // its address goes to another target
			successor.incarnation.Address = t.incarnation.Address
		}
	})
}

// restartInPlace starts a target again with its name and address. Its entry shows the earlier start, or is missing, for
// up to three seconds, as when the target cannot reach the store.
func (s *simulation) restartInPlace(t *fakeTarget) {
	successor := s.addTarget(t.incarnation.Name)
	successor.incarnation.Address = t.incarnation.Address
	successor.listed = false
	delay := time.Duration(0)
	if s.random.IntN(3) > 0 {
		delay = time.Duration(s.random.IntN(3000)) * time.Millisecond
	}
	s.after(delay, func() { t.listed, successor.listed = false, true })
}

// report sends a load report with some hot keys to a coordinator.
func (s *simulation) report(p *process) {
	if p.core == nil {
		return
	}
	keys := map[uint16]int{}
	hot := s.probedKeys[s.random.IntN(len(s.probedKeys))]
	for range 40 {
		keys[hot+uint16(s.random.IntN(50))]++
		keys[s.probedKeys[s.random.IntN(len(s.probedKeys))]]++
	}
	p.core.Report(s.now, testService, Report{Keys: keys, ProcessingTime: 100 * time.Millisecond})
}
