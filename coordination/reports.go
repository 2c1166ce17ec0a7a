package coordination

import (
	"context"
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/ownership"
)

// ownReportLoop processes the reports of the leader's own host until ctx ends. They get no reply while the lease has expired, from
// which the store may still confirm the leader again.
func (l *leader) ownReportLoop(ctx context.Context) {
	replied := true
	for ctx.Err() == nil {
		r := l.member.ownReport(l.member.reportWait())
		r.KnownRateLimits = l.rateLimitsVersion()
		reply, err := l.sync(ctx, &r)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != replied {
			replied = err == nil
			l.logReplied(replied)
		}
		if err != nil {
			l.member.options.SetStoreUnavailable(l.member.options.StoreUnreachable())
			sleep(ctx, retryInterval)
			continue
		}
		l.mu.Lock()
		d := l.core.Document()
		l.mu.Unlock()
		l.member.applyReply(d, reply)
	}
}

// logReplied logs whether the reports of the leader's own host get replies.
func (l *leader) logReplied(replied bool) {
	log, age := l.member.options.Log, l.confirmationAge()
	if replied {
		log.Info("coordination: Store has confirmed this process again; its own reports are answered.", "age", age)
		return
	}
	log.Warn("coordination: Lease has expired; reports get no reply until the store confirms this process.", "age", age)
}

// reportNow processes a report of the leader's own host and wakes the waiting reports.
func (l *leader) reportNow(ctx context.Context) {
	r := l.member.ownReport(0)
	if _, err := l.sync(ctx, &r); err != nil {
		l.member.options.Log.Warn("coordination: Report came after the coordination ended.", "error", err.Error())
		return
	}
	l.notify()
}

// publish creates a new view if its content has changed. If the last view is more
// recent than viewInterval, it does so later. The caller holds l.mu.
func (l *leader) publish() {
	v := Version{Term: l.core.Document().Term, Number: l.core.Version() + l.rejectedCount}
	if !l.views.due(v) {
		return
	}
	t := now()
	if wait := l.publishedAt.Add(l.viewInterval(t)).Sub(t); wait > 0 {
		l.publishLater(wait)
		return
	}
	l.publishedAt = t
	holdings := map[string][]ownership.Holding{}
	for _, name := range l.core.Services() {
		holdings[name] = l.core.Holdings(name)
	}
	if !l.views.publish(v, holdings, l.crashes.RejectedFingerprints(t)) {
		return
	}
	l.notifyLocked()
}

// viewInterval returns the minimum time between two views. Every view wakes all
// hosts, and after a takeover all owners answer their grants within a short time.
func (l *leader) viewInterval(t time.Time) time.Duration {
	return time.Duration(l.hostCount(t)) * viewIntervalPerHost
}

// publishLater schedules publish after wait, unless it is already scheduled. The
// caller holds l.mu.
func (l *leader) publishLater(wait time.Duration) {
	if l.publishScheduled {
		return
	}
	l.publishScheduled = true
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.publishScheduled = false
		if !l.ended {
			l.publish()
		}
	})
}

// notify wakes the waiting reports, so that they check for changes.
func (l *leader) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyLocked()
}

func (l *leader) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// sync processes a report and answers it when the newest view is not the sender's,
// when the sender lacks objects of the store or needs other relays, or when r.Wait has passed. It returns
// ErrNotCoordinator if the coordination ends or the lease expires before that.
func (l *leader) sync(ctx context.Context, r *Report) (*Reply, error) {
	if changes := l.member.options.Feed.Merge(r.Feed); len(changes) > 0 {
		l.member.options.ObjectsChanged(changes)
		l.notify()
	}
	l.mergeRateLimits(r.RateLimits)
	l.mergeNotices(r.Notices)
	l.mu.Lock()
	l.applyReport(r)
	l.publish()
	end := time.NewTimer(r.Wait)
	defer end.Stop()
	for l.views.newest.Version == r.View && !l.ended && !l.hasObjectsFor(r) && !l.hasRateLimitsFor(r) && !l.hasNoticesFor(r) &&
		!l.needsRelays(r) {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
			l.mu.Lock()
			continue
		case <-end.C:
		}
		l.mu.Lock()
		break
	}
	defer l.mu.Unlock()
	if !l.holdsLeaseLocked() {
		return nil, ErrNotCoordinator
	}
	return l.buildReply(r), nil
}

// hasObjectsFor reports whether the sender of a report lacks changes of the store's objects
// or their confirmation.
func (l *leader) hasObjectsFor(r *Report) bool {
	return l.member.options.Feed.HasChangesSince(r.FeedVersions) || r.Unconfirmed && l.member.loaded()
}

// applyReport records the contents of a report. The caller holds l.mu.
func (l *leader) applyReport(r *Report) {
	t := now()
	l.recordCandidate(r)
	l.addToCensus(r)
	h := &hostReport{
		host: r.Host, receivedAt: t, rates: r.Rates, watching: r.Watching, storeUnreachable: r.StoreUnreachable, lowPriority: r.LowPriority,
		relayState: newRelayState(r),
	}
	before := l.hosts[r.Process]
	l.hosts[r.Process] = h
	l.updateRelayState(t, before, h)
	for name, load := range r.KeyedLoads {
		l.core.Report(t, name, load)
	}
	for _, f := range r.Answered {
		l.crashes.RecordResponse(f)
	}
	for _, c := range r.Crashed {
		if l.crashes.RecordCrash(t, c) {
			l.rejectedCount++
			l.member.options.Log.Warn("coordination: Request that crashes targets is rejected.", "fingerprint", uint64(c.Fingerprint), "target", c.Incarnation)
		}
	}
}

// fleetSummary is what the replies to all hosts have in common.
type fleetSummary struct {
	createdAt time.Time
	names     []string           // processes of the hosts, sorted
	rates     map[string]float64 // requests per second of all hosts, by service; not modified
	relays    *relaySet
}

// summaryMaxAge is the age up to which a summary is used for further replies. A change
// wakes the reports of all hosts at once.
const summaryMaxAge = 50 * time.Millisecond

// summarise returns a summary of the hosts, and deletes expired ones. The caller holds l.mu.
func (l *leader) summarise(t time.Time, process string) *fleetSummary {
	s := l.summary
	if s != nil && t.Sub(s.createdAt) < summaryMaxAge {
		if _, known := slices.BinarySearch(s.names, process); known {
			return s
		}
	}
	s = &fleetSummary{createdAt: t, rates: map[string]float64{}, names: make([]string, 0, len(l.hosts))}
	for process, h := range l.hosts {
		if t.Sub(h.receivedAt) > hostExpiry {
			delete(l.hosts, process)
			continue
		}
		s.names = append(s.names, process)
		for service, rate := range h.rates {
			s.rates[service] += rate
		}
	}
	slices.Sort(s.names)
	var old *relaySet
	if l.summary != nil {
		old = l.summary.relays
	}
	s.relays = l.usableRelays(s.names, old)
	l.summary = s
	return s
}

// buildReply returns the reply to a report. The caller holds l.mu.
func (l *leader) buildReply(r *Report) *Reply {
	t := now()
	s := l.summarise(t, r.Process)
	reply := &Reply{Rates: s.rates, ConfirmationAge: t.Sub(l.confirmedAt), Hosts: l.hostCount(t)}
	reply.Index, _ = slices.BinarySearch(s.names, r.Process)
	if view := l.replies.view(&l.views, r.View); view != nil {
		reply.View, reply.sharedView = view.value, view
	}
	// The versions are read first: a change in between is sent again, and not missed.
	reply.FeedVersions = l.member.options.Feed.ConfirmedVersions()
	if delta := l.replies.delta(l.member.options.Feed, reply.FeedVersions, r.FeedVersions); delta != nil {
		reply.Feed, reply.sharedFeed = delta.value, delta
	}
	reply.RateLimits, reply.RateLimitsVersion = l.rateLimitsSince(r.KnownRateLimits)
	reply.Notices, reply.NoticesVersion = l.noticesSince(r)
	if !r.AcceptsPacked {
		reply.sharedView, reply.sharedFeed = nil, nil
	}
	if list, ok := l.relaysFor(t, s, r); ok && list.version != r.KnownRelays {
		reply.Relays, reply.RelaysVersion = list.relays, list.version
	}
	if r.KnownCandidates != nil {
		reply.Candidates, reply.CandidatesVersion = l.candidates.since(*r.KnownCandidates), l.candidates.version
		reply.WantsCandidates = l.wantsCandidates(r)
	}
	reply.StoreUnavailable = l.storeUnavailable(s.names)
	reply.WatchStore = l.shouldWatch(s.names, r.Process)
	return reply
}

// hostCount returns the number of hosts, which during hostCountGrace includes those that reported to the predecessor.
func (l *leader) hostCount(t time.Time) int {
	n := 0
	for _, h := range l.hosts {
		if t.Sub(h.receivedAt) <= hostExpiry {
			n++
		}
	}
	if t.Sub(l.startedAt) < hostCountGrace {
		n = max(n+l.unreported(), l.expectedHosts)
	}
	return n
}

// storeUnavailable reports whether neither this host nor any other that watches
// the store reaches it. names are the processes of the hosts.
func (l *leader) storeUnavailable(names []string) bool {
	if !l.member.options.StoreUnreachable() {
		return false
	}
	for _, name := range names {
		if h := l.hosts[name]; name != l.process && h.watching && !h.storeUnreachable {
			return false
		}
	}
	return true
}

// shouldWatch reports whether a process has to watch the store besides the
// coordinator. The first processes by name that reach the store are selected; one
// that cannot reach it keeps watching but does not count towards the limit.
// Watchers are the first to detect that the coordinator cannot reach the store, and
// then take over. Low-priority candidates are therefore selected last.
func (l *leader) shouldWatch(names []string, process string) bool {
	n, limit := 0, min(maxExtraWatchers, extraWatchers+len(names)/hostsPerWatcher)
	for _, lowPriority := range []bool{false, true} {
		for _, name := range names {
			h := l.hosts[name]
			if name == l.process || h.lowPriority != lowPriority || h.storeUnreachable && name != process {
				continue
			}
			if name == process {
				return true
			}
			if n++; n == limit {
				return false
			}
		}
	}
	return false
}
