package coordination

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
)

const (
	// stepInterval is the time between two looks at what is due; results of orders wake the leader at once.
	stepInterval = 40 * time.Millisecond
	// releaseTimeout bounds the wait for a release, which is answered when the work on the keys has ended.
	releaseTimeout = Hold
	// extraWatchers is how many hosts of a small fleet watch the store besides the coordinator, and
	// hostsPerWatcher how many hosts add one more. An outage may cut a third of the hosts off from the store in
	// silence, the coordinator among them; with two, up to 12 in 100 such outages left no watcher.
	extraWatchers   = 4
	hostsPerWatcher = 32
	// hostMemory is how long a host counts that no longer reports.
	hostMemory = 2500 * time.Millisecond
	// writeRetry is the time between attempts to write a change whose outcome is not known.
	writeRetry = 200 * time.Millisecond
	// gathering is how long a new coordinator counts on the hosts that reported to the one before; each reports
	// within a second or so.
	gathering = 2 * time.Second
)

// leader is the coordinating part of a process, from taking the document over
// until another process does so.
type leader struct {
	m       *Member
	process string
	wake    chan struct{}

	mu        sync.Mutex
	core      *ownership.Core
	version   platform.Version // of the document in the store
	confirmed time.Time        // when the last call was sent that the store answered for this leader
	ended     bool
	stop      context.CancelFunc // ends run; nil before it
	targets   TargetsVersion     // of those that the core knows
	hosts     map[string]*reporter
	expected  int       // hosts that reported to the coordinator before
	began     time.Time // when the term began
	crashes   *quarantine.Table
	refusals  uint64 // grows with every refused fingerprint
	views     views
	published time.Time     // when the view was published last
	later     bool          // it will be published soon
	changed   chan struct{} // closed when the view changes
}

type reporter struct {
	at        time.Time
	rates     map[string]float64
	watching  bool
	storeLost bool
	reluctant bool
}

// lead takes the document over and coordinates until another process does. It
// reports whether the document was taken over or has changed.
func (m *Member) lead(ctx context.Context, old *ownership.Document, version platform.Version) bool {
	resigned := earlierEnded(old, m.o.Address)
	d := ownership.TakeOver(old)
	d.Coordinator, d.Address = m.o.Process, m.o.Address
	sent := now()
	obj, err := m.write(ctx, d, version)
	if eris.Is(err, platform.ErrConflict) {
		return true
	}
	if err != nil {
		m.o.Log.Warn("coordination: Taking over has no known outcome.", "error", err.Error())
		return false
	}
	l := &leader{
		m: m, process: m.o.Process, wake: make(chan struct{}, 1),
		core: ownership.New(ownership.Options{Hold: Hold, Lease: Lease}), version: obj.Version, confirmed: sent,
		hosts: map[string]*reporter{}, crashes: quarantine.New(), changed: make(chan struct{}),
		expected: d.Hosts, began: now(),
	}
	m.expect(d)
	l.core.Begin(now(), d, resigned)
	for _, f := range m.State().Refused {
		l.crashes.Refuse(now(), f)
	}
	m.o.Log.Info("coordination: Coordinating.", "term", d.Term, "fence", d.Fence, "resigned_before", resigned, "version", uint64(obj.Version))
	if !m.setLeader(l, d.Term) {
		m.o.Log.Info("coordination: Succeeded before it began.", "term", d.Term)
		return true
	}
	m.watchStore(true, "coordinating")
	l.run(ctx, old)
	m.mu.Lock()
	m.leader = nil
	m.mu.Unlock()
	m.o.Log.Info("coordination: No longer coordinating.", "term", d.Term)
	return true
}

// earlierEnded reports whether no earlier coordinator can still give orders: the
// last one had settled, so that none before it could, and has resigned or had
// the address that this process has now.
func earlierEnded(old *ownership.Document, own netip.AddrPort) bool {
	return old == nil || old.Settled && (old.Coordinator == "" || old.Address == own)
}

// setLeader makes l this process's leader unless a later coordinator has asked
// for the end of its term.
func (m *Member) setLeader(l *leader, term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.yields {
		return false
	}
	m.leader = l
	return true
}

// run coordinates until ctx ends or another process has taken over.
func (l *leader) run(ctx context.Context, old *ownership.Document) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.stop = cancel
	ended := l.ended
	l.mu.Unlock()
	if ended { // it yielded before it ran
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.stopEarlier(ctx, old) })
	wg.Go(func() { l.confirmLoop(ctx) })
	wg.Go(func() { l.reportLoop(ctx) })
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		l.step(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-l.wake:
		}
	}
	l.mu.Lock()
	l.ended = true
	l.notifyLocked()
	l.mu.Unlock()
	wg.Wait()
}

// yield ends the coordination if it is of an earlier term than the caller's.
func (l *leader) yield(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core.Document().Term < term {
		l.endLocked()
	}
}

// endLocked ends the coordination: no more orders are sent.
func (l *leader) endLocked() {
	l.ended = true
	l.notifyLocked()
	if l.stop != nil {
		l.stop()
	}
}

// stopEarlier asks the coordinator before this one to give no more orders, so
// that hosts leave it and its lease need not be waited for. The lease of one
// that had not settled is waited for all the same: another one before it may
// still give orders.
func (l *leader) stopEarlier(ctx context.Context, old *ownership.Document) {
	if old == nil || old.Coordinator == "" {
		return
	}
	client := connect.NewClient[Yield, Yielded](l.m.httpClient(), "http://"+old.Address.String()+yieldProcedure, connect.WithCodec(codec{}))
	for end := now().Add(Lease); ctx.Err() == nil && now().Before(end); pause(ctx, yieldInterval) {
		call, cancel := context.WithTimeout(ctx, syncMargin)
		_, err := client.CallUnary(call, connect.NewRequest(&Yield{Term: old.Term + 1}))
		cancel()
		if err == nil {
			if old.Settled {
				l.mu.Lock()
				l.core.EarlierStopped(now())
				l.mu.Unlock()
			}
			l.m.o.Log.Info("coordination: Earlier coordinator has stopped.", "coordinator", old.Coordinator, "term", old.Term, "settled", old.Settled)
			l.poke()
			return
		}
	}
}

// leased reports whether no successor can count this leader's lease as over.
func (l *leader) leased() bool { return !l.ended && now().Before(l.confirmed.Add(Lease)) }

// step sends the orders that are due and starts a change when one is.
func (l *leader) step(ctx context.Context) {
	targets := l.m.o.Targets()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := now()
	if !l.leased() {
		return
	}
	if targets.Version != l.targets {
		l.targets = targets.Version
		for name, ts := range targets.Keyed {
			l.core.SetTargets(t, name, ts)
		}
		l.core.SetEntries(targets.All)
	}
	if l.core.Isolated(t) {
		l.m.o.Log.Warn("coordination: Most targets do not answer. Resigning.")
		l.m.standAside(asideTime)
		go l.resign()
		return
	}
	if d, moves := l.core.Plan(t); d != nil {
		d.Hosts = l.count(t)
		for _, mv := range moves {
			l.m.o.Log.Info("coordination: Keys move.", "service", mv.Service, "first", mv.Span.First, "last", mv.Span.Last,
				"from", mv.From.Name, "to", mv.To.Name, "reason", mv.Reason, "fence", d.Fence,
				"rate", mv.Rate, "from_use", mv.FromUse, "to_use", mv.ToUse)
		}
		l.submit(func() { l.propose(ctx, d) })
	}
	for _, batch := range batches(l.core.Orders(t)) {
		l.submit(func() { l.orders(ctx, batch) })
	}
	l.publish()
}

func (l *leader) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
