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
	"github.com/redwingtally/redwingtally/ratelimit"
)

const (
	// stepInterval is the time between two checks for due orders and changes. A successful order or write triggers one
	// immediately.
	stepInterval = 40 * time.Millisecond
	// releaseTimeout limits a release, which a target answers after its requests for the keys have ended.
	releaseTimeout = HoldTime
	// extraWatchers is how many hosts watch the store besides the coordinator; there is one more for every
	// hostsPerWatcher hosts, up to maxExtraWatchers, as each change costs a call of each. An outage can silently cut off a third of the hosts from the store, including the
	// coordinator. With two extra watchers, up to 12 of 100 such outages left no watcher that reached the store.
	extraWatchers    = 4
	hostsPerWatcher  = 32
	maxExtraWatchers = 6
	// hostExpiry is how long a host is counted after its last report.
	hostExpiry = 2500 * time.Millisecond
	// handOverDelay is how long a low-priority candidate coordinates at least before it hands over to a larger host,
	// and handOverBackoff how long it does not take over afterwards.
	handOverDelay   = time.Second
	handOverBackoff = 3 * time.Second
	// writeRetryInterval is the time between attempts to write a change whose outcome is unknown.
	writeRetryInterval = 200 * time.Millisecond
	// hostCountGrace is how long a new coordinator assumes at least as many hosts as reported to its predecessor.
	// Each host reports to it within about a second.
	hostCountGrace = 2 * time.Second
)

// leader is the coordinator's state for one term, from the takeover of the
// document until another process takes it over.
type leader struct {
	member  *Member
	process string
	wake    chan struct{} // makes run take its next step

	mu             sync.Mutex
	core           *ownership.Core
	version        platform.Version // of the document in the store
	confirmedAt    time.Time        // send time of the last store call that confirmed this leader
	confirmed      chan struct{}    // closed and replaced when confirmedAt changes
	confirmAfter   time.Time        // a grant waits for a confirmation that is sent after this time
	ended          bool
	cancel         context.CancelFunc     // ends run; nil before run starts
	targetsVersion TargetsVersion         // of the targets last passed to core
	hosts          map[string]*hostReport // by process
	summary        *fleetSummary          // of hosts, for replies; nil or up to summaryMaxAge old
	expectedHosts  int                    // number of hosts that reported to the predecessor
	hostsBefore    int                    // number of hosts that this one knew when the term started
	startedAt      time.Time              // when the term began
	crashes        *quarantine.Table
	rejectedCount  uint64 // grows with every refused fingerprint
	views          views
	replies        replyCache
	permits        *ratelimit.Allocator
	paces          paces
	afterRestore
	confirmNow          chan struct{}  // makes confirmLoop ask the store at once
	limitsVersion       uint64         // of the rate limits last passed to core
	limitedTargets      TargetsVersion // of the targets whose limits were passed
	publishedAt         time.Time      // when the last view was published
	publishScheduled    bool           // whether a timer will publish the next view
	relaysNotifiedAt    time.Time      // when the waiting reports were last woken by a change of the relays
	relaysScheduled     bool           // whether a timer will wake them for the next change
	candidates          *candidates    // hosts whose processes may coordinate
	candidatesCheckedAt time.Time      // when lost ones were last removed
	givingWay           bool           // giveWay is running
	cutOffAt            time.Time      // when the host was last cut off
	changed             chan struct{}  // closed and replaced when waiting reports must check for changes
}

// hostReport is the latest report of one host.
type hostReport struct {
	host             string
	receivedAt       time.Time
	rates            map[string]float64
	watching         bool
	storeUnreachable bool
	lowPriority      bool
	relayState
}

// lead takes the document over from old and coordinates until another process
// takes it over in turn. It reports whether the document was taken over, had
// changed since old was read, or is about to be replaced by a coordinator that this process has found.
func (m *Member) lead(ctx context.Context, old *ownership.Document, version platform.Version) bool {
	start := takeover{document: old, stopped: predecessorsStopped(old, m.options.Address) && (old == nil || !old.Incomplete)}
	if era := m.restoredEra(old, version); era > 0 {
		start = m.takeOverRestored(ctx, old, era)
		if start.coordinator != nil {
			m.found = &reading{start.coordinator, version}
			sleep(ctx, m.jitter(retryInterval))
			return true
		}
	}
	d := ownership.TakeOver(start.document)
	d.Coordinator, d.Address, d.Era = m.options.Process, m.options.Address, m.writeEra(version)
	census, candidates := m.predecessors(old, start)
	d.Candidates = candidates.forDocument()
	d.Term = max(d.Term, ownership.FirstTerm(d.Era)+1) // a first start may be in a later era, in which hosts accept no earlier term
	sent := now()
	obj, err := m.writeDocument(ctx, d, version)
	if eris.Is(err, platform.ErrConflict) || eris.Is(err, platform.ErrRestored) {
		m.found = m.conflicting(obj)
		return true
	}
	if err != nil {
		m.options.Log.Warn("coordination: Takeover has an unknown outcome.", "error", err.Error())
		return false
	}
	l := &leader{
		member: m, process: m.options.Process, wake: make(chan struct{}, 1), confirmNow: make(chan struct{}, 1), confirmed: make(chan struct{}),
		core: ownership.New(ownership.Options{HoldTime: HoldTime, LeaseTime: LeaseTime}), version: obj.Version, confirmedAt: sent,
		hosts: map[string]*hostReport{}, crashes: quarantine.New(), changed: make(chan struct{}), permits: ratelimit.NewAllocator(),
		expectedHosts: d.HostCount, hostsBefore: m.State().Hosts, startedAt: now(), candidates: candidates,
		afterRestore: afterRestore{takenOverTerm: start.term, reporters: map[string]reporter{}},
	}
	if d.Incomplete {
		l.census = census
	}
	m.assumeHosts(d)
	l.core.Begin(now(), d, start.stopped)
	for _, f := range m.State().RejectedFingerprints {
		l.crashes.Reject(now(), f)
	}
	m.options.Log.Info("coordination: Coordinating.", "term", d.Term, "fence", d.Fence, "resigned_before", start.stopped,
		"incomplete", d.Incomplete, "version", obj.Version.String())
	if !m.setLeader(l, d.Term) {
		m.options.Log.Info("coordination: Superseded before the term started.", "term", d.Term)
		return true
	}
	m.setWatching(true, "coordinating")
	l.run(ctx, start.document)
	m.mu.Lock()
	m.leader = nil
	m.lastLed = l.lastDocument()
	m.mu.Unlock()
	m.options.Log.Info("coordination: No longer coordinating.", "term", d.Term)
	return true
}

// predecessorsStopped reports whether no earlier coordinator can still send orders
// that targets accept. This is the case if the last one had fenced all owners
// against those before it, and has either resigned or had the address own, now used
// by this process.
func predecessorsStopped(old *ownership.Document, own netip.AddrPort) bool {
	return old == nil || old.OwnersFenced && (old.Coordinator == "" || old.Address == own)
}

// setLeader makes l this process's leader unless a later coordinator has already
// asked to end the term.
func (m *Member) setLeader(l *leader, term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.yieldTerm {
		return false
	}
	m.leader = l
	m.candidates.begin(m.options.Host)
	return true
}

// run coordinates until ctx ends or the coordination is ended.
func (l *leader) run(ctx context.Context, old *ownership.Document) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.cancel = cancel
	ended := l.ended
	l.mu.Unlock()
	if ended { // asked to stop before run started
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.stopPredecessor(ctx, old) })
	wg.Go(func() { l.confirmLoop(ctx) })
	wg.Go(func() { l.ownReportLoop(ctx) })
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

// yieldTo ends the coordination if its term is earlier than term.
func (l *leader) yieldTo(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core.Document().Term < term {
		l.endLocked()
	}
}

// endLocked is end for callers that hold l.mu.
func (l *leader) endLocked() {
	l.ended = true
	l.notifyLocked()
	if l.cancel != nil {
		l.cancel()
	}
}

// stopPredecessor asks the previous coordinator to stop sending orders, so that
// hosts stop following it and this one need not wait for its lease to expire. If
// the previous coordinator had not fenced all owners, the wait remains, as a
// coordinator before it may still send orders.
func (l *leader) stopPredecessor(ctx context.Context, old *ownership.Document) {
	if old == nil || old.Coordinator == "" {
		return
	}
	client := connect.NewClient[YieldRequest, YieldResponse](l.member.httpClient(), "http://"+old.Address.String()+yieldProcedure, connect.WithCodec(codec{}))
	for end := now().Add(LeaseTime); ctx.Err() == nil && now().Before(end); sleep(ctx, yieldInterval) {
		call, cancel := context.WithTimeout(ctx, syncMargin)
		_, err := client.CallUnary(call, connect.NewRequest(&YieldRequest{Term: old.Term + 1}))
		cancel()
		if err == nil {
			if old.OwnersFenced {
				l.mu.Lock()
				l.core.PredecessorsStopped(now())
				l.mu.Unlock()
			}
			l.member.options.Log.Info("coordination: Earlier coordinator has stopped.", "coordinator", old.Coordinator, "term", old.Term, "settled", old.OwnersFenced)
			l.wakeUp()
			return
		}
	}
}

// holdsLeaseLocked reports whether orders may be sent: the coordination has not
// ended, and no successor can consider its lease expired. The caller holds l.mu.
func (l *leader) holdsLeaseLocked() bool {
	return !l.ended && now().Before(l.confirmedAt.Add(LeaseTime))
}

// step sends due orders, starts a due write of the document and publishes the view.
func (l *leader) step(ctx context.Context) {
	targets, cutOff := l.member.options.Targets(), l.member.cutOff()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := now()
	if !l.holdsLeaseLocked() {
		return
	}
	if targets.Version != l.targetsVersion {
		l.targetsVersion = targets.Version
		for name, ts := range targets.ByService {
			l.core.SetTargets(t, name, ts)
		}
		for _, ended := range l.core.UpdateLiveness(t, targets.All) {
			l.member.options.Log.Info("coordination: Process of a target has ended.", "target", ended.Name, "born", ended.StartedAt.UnixMilli(),
				"reason", ended.Reason, "may_hold_ms", max(0, ended.MayHoldUntil.Sub(t)).Milliseconds())
		}
	}
	l.updatePaces()
	l.updateRateLimits(targets)
	l.removeLostCandidates(t)
	l.settleOwners(t)
	if cutOff {
		l.cutOffAt = t
		if l.shouldGiveWay(t) {
			l.givingWay = true
			go l.giveWay(ctx)
		}
	} else if t.Sub(l.cutOffAt) >= recoveryTime && l.core.Isolated(t) {
		l.member.options.Log.Warn("coordination: Most targets do not answer. Resigning.")
		l.member.suspendCandidacy(isolationBackoff)
		go l.resign()
		return
	}
	if l.shouldHandOver(t) {
		l.member.options.Log.Info("coordination: A larger host is available. Resigning.", "hosts", len(l.hosts))
		l.member.suspendCandidacy(handOverBackoff)
		go l.resign()
		return
	}
	if d, moves := l.plan(t); d != nil {
		d.HostCount, d.Candidates = l.hostCount(t), l.candidates.forDocument()
		for _, mv := range moves {
			l.member.options.Log.Info("coordination: Keys move.", "service", mv.Service, "first", mv.Span.First, "last", mv.Span.Last,
				"from", mv.From.Name, "to", mv.To.Name, "reason", mv.Reason, "fence", d.Fence,
				"rate", mv.Rate, "from_use", mv.FromUtilisation, "to_use", mv.ToUtilisation)
		}
		l.submit(func() { l.writeChange(ctx, d) })
	}
	for _, batch := range batchOrders(l.core.Orders(t)) {
		l.submit(func() { l.sendBatch(ctx, batch) })
	}
	l.publish()
}

// shouldHandOver reports whether this process is a low-priority candidate and a host that
// is not can take over without a wait for this process's lease: no write is pending,
// no earlier coordinator can send orders and the document is complete. The caller holds l.mu.
func (l *leader) shouldHandOver(t time.Time) bool {
	if l.member.options.TakeoverDelay == 0 || t.Sub(l.startedAt) < handOverDelay || l.core.Proposed() != nil || !l.core.Document().OwnersFenced || l.core.Document().Incomplete {
		return false
	}
	for _, h := range l.hosts {
		if !h.lowPriority && h.reachesTargets() && t.Sub(h.receivedAt) < handOverDelay {
			return true
		}
	}
	return false
}

// wakeUp makes run take its next step immediately.
func (l *leader) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
