package coordination

import (
	"context"
	"log/slog"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// readDocument returns the document and its version, or nil when there is no
// valid one. It reports false when the store does not answer.
func (m *Member) readDocument(ctx context.Context) (*ownership.Document, platform.Version, bool) {
	return m.decodeRead(m.options.Store().Get(ctx, documentKind, documentName))
}

// readStaleDocument is like readDocument but may miss the changes of the last seconds.
func (m *Member) readStaleDocument(ctx context.Context) (*ownership.Document, platform.Version, bool) {
	return m.decodeRead(m.options.Store().GetStale(ctx, documentKind, documentName))
}

// readFirstDocument is readStaleDocument, which is safe because a write that follows is conditional on the version, unless
// the store has come back from a copy: a document from before the restore may have the same version as a different one now.
func (m *Member) readFirstDocument(ctx context.Context) (*ownership.Document, platform.Version, bool) {
	d, version, ok := m.readStaleDocument(ctx)
	if ok && m.options.Store().Era() > platform.FirstEra {
		return m.readDocument(ctx)
	}
	return d, version, ok
}

// decodeRead decodes the result of a read of the document.
func (m *Member) decodeRead(obj platform.Object, err error) (*ownership.Document, platform.Version, bool) {
	if eris.Is(err, platform.ErrNotFound) {
		return nil, 0, true
	}
	if err != nil {
		m.options.Log.Warn("coordination: Document cannot be read.", "error", err.Error())
		return nil, 0, false
	}
	d, err := decodeDocument(obj)
	if err != nil {
		m.options.Log.Error("coordination: Document is malformed; it is replaced.", "error", err.Error())
		return nil, obj.Version, true
	}
	return d, obj.Version, true
}

// follower sends the reports of a host to one coordinator.
type follower struct {
	member              *Member
	document            *ownership.Document // names the coordinator
	client              *client
	log                 *slog.Logger
	failures            int       // consecutive reports without a reply
	replied             bool      // whether the coordinator has replied at least once
	lastTakeoverAttempt time.Time // when this host last tried to take over from a coordinator that replies, or began to follow it
}

// follow reports to the coordinator named in d until the document must be read
// again, because another process may coordinate or this one has coordinated.
func (m *Member) follow(ctx context.Context, d *ownership.Document) {
	f := &follower{
		member: m, document: d, client: m.newClient(d.Address), lastTakeoverAttempt: now(),
		log: m.options.Log.With("coordinator", d.Coordinator, "term", d.Term),
	}
	f.log.Info("coordination: Following.")
	m.assumeHosts(d)
	m.setFollowed(d)
	m.setCoordinatorClients(f.client, m.newPermitClient(d.Address))
	defer m.setCoordinatorClients(nil, nil)
	for done := false; !done && ctx.Err() == nil; {
		reply, err := f.report(ctx)
		if err != nil {
			done = f.handleFailure(ctx, err)
		} else {
			done = f.handleReply(ctx, reply)
		}
	}
}

// report sends one report. The coordinator must reply without waiting for a
// change when it has not replied before or the previous report failed.
func (f *follower) report(ctx context.Context) (*Reply, error) {
	wait, margin := f.member.reportWait(), syncMargin
	if f.failures > 0 || !f.replied {
		wait = 0
	}
	if !f.replied {
		margin = initialSyncMargin + time.Duration(f.member.State().Hosts)*initialSyncMarginPerHost
	}
	return f.member.sendReport(ctx, f.client, wait, margin)
}

// handleReply applies a reply and reports whether to stop following the coordinator.
func (f *follower) handleReply(ctx context.Context, reply *Reply) bool {
	f.failures, f.replied = 0, true
	f.member.recordReply()
	f.member.applyReply(f.document, reply)
	if !f.member.loaded() && now().Sub(f.member.startedAt) > confirmListsTimeout+overdueDelays*f.member.options.TakeoverDelay {
		f.member.setWatching(true, "coordinator does not confirm the initial lists")
	} else if f.member.eraBehind(reply.FeedVersions) {
		f.member.setWatching(true, "coordinator has objects of an earlier era")
	} else {
		f.member.setWatching(reply.WatchStore, "set by the coordinator")
	}
	if f.member.shouldTakeOver(reply, now().Sub(f.lastTakeoverAttempt)) {
		f.lastTakeoverAttempt = now()
		f.log.Warn("coordination: Coordinator cannot reach the store.", "age", reply.ConfirmationAge)
		if f.member.takeOver(ctx, f.document) {
			return true
		}
	}
	return f.member.recheckRequested() && f.member.superseded(ctx, f.document)
}

// eraBehind reports whether versions are of an earlier era of the store than this host has seen. The coordinator's changes
// then count as old here: it has not learned of a restore yet, or is an earlier build.
func (m *Member) eraBehind(versions feed.Versions) bool {
	for _, v := range versions {
		if v.Era() < m.options.Store().Era() {
			return true
		}
	}
	return false
}

// handleFailure handles a report without a reply and reports whether to stop
// following the coordinator.
func (f *follower) handleFailure(ctx context.Context, err error) bool {
	f.failures++
	if f.member.replyOverdue() {
		f.member.setWatching(true, "coordinator does not answer")
	}
	f.member.options.SetStoreUnavailable(f.member.options.StoreUnreachable())
	f.log.Warn("coordination: Coordinator does not answer.", "failures", f.failures, "error", err.Error())
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		f.member.recordRefusal()
		sleep(ctx, f.member.jitter(retryInterval))
		return f.member.takeOver(ctx, f.document)
	}
	if f.failures < maxFailures {
		sleep(ctx, retryInterval/3)
		return false
	}
	sleep(ctx, time.Duration(f.member.options.Random()*float64(takeoverSpread)))
	if f.member.takeOver(ctx, f.document) {
		return true
	}
	sleep(ctx, f.member.jitter(storeRetryInterval))
	return false
}

// shouldTakeOver reports whether this host should try to take over because the
// coordinator cannot reach the store. A host that watches the store knows whether
// it reaches the store itself. The others do not know and try less often, as
// every call to the store has a cost.
func (m *Member) shouldTakeOver(r *Reply, sinceAttempt time.Duration) bool {
	if m.defersToOthers() {
		return false
	}
	if m.watchGate.isOpen() && !m.options.StoreUnreachable() {
		return r.ConfirmationAge > watcherTakeoverAge && sinceAttempt > confirmRetryInterval
	}
	return r.ConfirmationAge > takeoverAge && sinceAttempt > takeoverAge
}

// reportWait returns how long a report of this host waits at the coordinator.
func (m *Member) reportWait() time.Duration {
	return min(maxReportWait, max(minReportWait, time.Duration(m.State().Hosts)*reportWaitPerHost))
}

// recheckRequested reports whether RecheckCoordinator was called since the last check.
func (m *Member) recheckRequested() bool {
	select {
	case <-m.recheck:
		return true
	default:
		return false
	}
}

// A reading is a document with its version in the store.
type reading struct {
	document *ownership.Document
	version  platform.Version
}

// superseded reports whether the document in the store names a coordinator other
// than that of d. Run then continues with that document.
func (m *Member) superseded(ctx context.Context, d *ownership.Document) bool {
	if m.supersededByStaleRead(ctx, d) {
		return true
	}
	have, version, ok := m.readDocument(ctx)
	if !ok || have == nil || have.Coordinator == d.Coordinator || have.Term < d.Term {
		return false // a lower term is that of a copy, until the coordinator has written its document again
	}
	m.found = &reading{have, version}
	return true
}

// supersededByStaleRead is like superseded for documents of a later term that names a
// coordinator. It may miss the changes of the last seconds and costs a tenth of a read;
// when a coordinator ends, all hosts look for its successor at once.
func (m *Member) supersededByStaleRead(ctx context.Context, d *ownership.Document) bool {
	have, version, ok := m.readStaleDocument(ctx)
	if !ok || have == nil || have.Term <= d.Term || have.Coordinator == "" || have.Coordinator == d.Coordinator {
		return false
	}
	m.found = &reading{have, version}
	return true
}

// takeOver takes over from a failed coordinator and coordinates until this
// process is superseded. It reports whether to stop following the failed
// coordinator: the document names another one or has changed in the meantime, or
// this process has coordinated.
func (m *Member) takeOver(ctx context.Context, failed *ownership.Document) bool {
	if m.defersToOthers() {
		return m.awaitSuccessor(ctx, failed)
	}
	if m.candidacySuspended() {
		return m.superseded(ctx, failed)
	}
	if m.options.TakeoverDelay > 0 {
		sleep(ctx, m.options.TakeoverDelay)
		if m.supersededByStaleRead(ctx, failed) {
			return true
		}
	}
	d, version, ok := m.readDocument(ctx)
	if !ok {
		return false
	}
	if d != nil && d.Coordinator != failed.Coordinator && d.Coordinator != "" && d.Term >= failed.Term {
		m.found = &reading{d, version}
		return true
	}
	return m.lead(ctx, d, version)
}

// setCoordinatorClients sets the clients of the coordinator that this host follows, or nil if it follows none.
func (m *Member) setCoordinatorClients(c *client, p *permitClient) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coordinatorClient, m.permitClient = c, p
	m.coordinatorVersions = nil
	m.exchanged = tablesExchange{}
}

// sendReport sends a report that waits at most wait for a change. The call times
// out after wait and margin.
func (m *Member) sendReport(ctx context.Context, c *client, wait, margin time.Duration) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	r := m.ownReport(wait)
	sentLimits, sentNotices := m.addRateLimits(&r), m.addNotices(&r)
	reply, err := c.CallUnary(ctx, connect.NewRequest(&r))
	if err != nil {
		return nil, err
	}
	m.receiveTables(reply.Msg, sentLimits, sentNotices)
	return reply.Msg, nil
}

// ownReport returns this host's report. A host that watches the store adds the
// objects that the coordinator lacks.
func (m *Member) ownReport(wait time.Duration) Report {
	r := m.options.CollectReport()
	r.Host, r.Process, r.Wait, r.LowPriority = m.options.Host, m.options.Process, wait, m.options.TakeoverDelay > 0
	r.AcceptsPacked = true
	r.View, r.FeedVersions, r.Unconfirmed = m.State().Version, m.options.Feed.Versions(), !m.loaded()
	r.KnownTerm = m.termBefore()
	m.addRelayState(&r)
	m.addCandidates(&r)
	if m.watchGate.isOpen() {
		r.Watching, r.StoreUnreachable = true, m.options.StoreUnreachable()
		if known := m.versionsOfCoordinator(); known != nil {
			r.Feed = m.options.Feed.ChangesSince(known)
		}
	}
	return r
}

// applyReply updates the state and the feed from a reply. An older view never
// replaces a newer one.
func (m *Member) applyReply(d *ownership.Document, r *Reply) {
	m.mu.Lock()
	m.coordinatorVersions = r.FeedVersions
	m.applyCandidates(d.Term, r)
	m.repliedAt = now()
	m.mu.Unlock()
	m.options.SetStoreUnavailable(r.StoreUnavailable)
	changes := m.options.Feed.Merge(r.Feed)
	changes = append(changes, m.options.Feed.Confirm(r.FeedVersions)...)
	if len(changes) > 0 {
		m.options.ObjectsChanged(changes)
	}
	old := m.State()
	s := &State{View: old.apply(r.View), Coordinator: d.Coordinator, Hosts: max(1, r.Hosts), Index: r.Index, Rates: r.Rates}
	s.MovesHalted = r.StoreUnavailable || r.ConfirmationAge > watcherTakeoverAge
	s.Relays, s.relaysVersion = old.relaysAfter(r)
	m.state.Store(s)
	if s.Version != old.Version || s.Hosts != old.Hosts || s.Index != old.Index {
		m.options.Log.Info("coordination: View changed.", "term", s.Version.Term, "number", s.Version.Number, "hosts", s.Hosts, "index", s.Index)
	}
	m.options.StateUpdated()
}

// recordReply records the time of a coordinator's reply.
func (m *Member) recordReply() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReply, m.refusedAt = now(), time.Time{}
}

// replyOverdue reports whether the last reply of a coordinator is so old that
// this host must watch the store itself. Low-priority candidates wait longer: they are
// the many small hosts of a large fleet, and a successor usually replies before.
func (m *Member) replyOverdue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.lastReply
	if last.IsZero() && m.options.TakeoverDelay > 0 {
		last = m.startedAt
	}
	return now().Sub(last) >= replyOverdueAfter+overdueDelays*m.options.TakeoverDelay
}

// overdueDelays is how many takeover delays a low-priority candidate waits longer for a coordinator.
const overdueDelays = 2

// assumeHosts sets the number of hosts from a document until a coordinator
// replies. A host that assumed to be the only one would send as many requests to
// the targets as all hosts together.
func (m *Member) assumeHosts(d *ownership.Document) {
	if old := m.State(); old.Coordinator == "" && d.HostCount > old.Hosts {
		s := *old
		s.Hosts = d.HostCount
		m.state.Store(&s)
		m.options.StateUpdated()
	}
}
