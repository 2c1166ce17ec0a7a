package coordination

import (
	"context"
	"log/slog"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// read returns the document, or nil when there is none.
func (m *Member) read(ctx context.Context) (*ownership.Document, platform.Version, bool) {
	return m.decode(m.o.Store().Get(ctx, documentKind, documentName))
}

// readLagging is read that may miss the changes of the last seconds.
func (m *Member) readLagging(ctx context.Context) (*ownership.Document, platform.Version, bool) {
	return m.decode(m.o.Store().GetLagging(ctx, documentKind, documentName))
}

func (m *Member) decode(obj platform.Object, err error) (*ownership.Document, platform.Version, bool) {
	if eris.Is(err, platform.ErrNotFound) {
		return nil, 0, true
	}
	if err != nil {
		m.o.Log.Warn("coordination: Document cannot be read.", "error", err.Error())
		return nil, 0, false
	}
	d, err := decodeDocument(obj)
	if err != nil {
		m.o.Log.Error("coordination: Document is malformed; it is replaced.", "error", err.Error())
		return nil, obj.Version, true
	}
	return d, obj.Version, true
}

// follower reports to one coordinator.
type follower struct {
	m        *Member
	document *ownership.Document // names the coordinator
	client   *client
	log      *slog.Logger
	failures int       // reports without an answer in a row
	heard    bool      // the coordinator has answered once
	lastTry  time.Time // when this host last tried to take over from a coordinator that answers
}

// follow reports to a coordinator until it cannot be used any more.
func (m *Member) follow(ctx context.Context, d *ownership.Document) {
	f := &follower{
		m: m, document: d, client: m.client(d.Address), lastTry: now(),
		log: m.o.Log.With("coordinator", d.Coordinator, "term", d.Term),
	}
	f.log.Info("coordination: Following.")
	m.expect(d)
	m.setTarget(f.client)
	defer m.setTarget(nil)
	for done := false; !done && ctx.Err() == nil; {
		reply, err := f.report(ctx)
		if err != nil {
			done = f.unanswered(ctx, err)
		} else {
			done = f.answered(ctx, reply)
		}
	}
}

// report sends one report. A coordinator that was never heard or has just
// failed must answer at once.
func (f *follower) report(ctx context.Context) (*Reply, error) {
	wait, margin := f.m.reportWait(), syncMargin
	if f.failures > 0 || !f.heard {
		wait = 0
	}
	if !f.heard {
		margin = firstMargin
	}
	return f.m.report(ctx, f.client, wait, margin)
}

// answered takes an answer and reports whether the coordinator is to be left.
func (f *follower) answered(ctx context.Context, reply *Reply) bool {
	f.failures, f.heard = 0, true
	f.m.hear()
	f.m.accept(f.document, reply)
	f.m.watchStore(reply.Watch, "coordinator decides")
	if f.m.shouldSucceed(reply, now().Sub(f.lastTry)) {
		f.lastTry = now()
		f.log.Warn("coordination: Coordinator has lost the store.", "age", reply.StoreAge)
		if f.m.succeed(ctx, f.document) {
			return true
		}
	}
	return f.m.doubted() && f.m.superseded(ctx, f.document)
}

// unanswered goes on after a report without an answer and reports whether the
// coordinator is to be left.
func (f *follower) unanswered(ctx context.Context, err error) bool {
	f.failures++
	if f.m.missed() {
		f.m.watchStore(true, "coordinator does not answer")
	}
	f.m.o.SetStoreAway(f.m.o.StoreAway())
	f.log.Warn("coordination: Coordinator does not answer.", "failures", f.failures, "error", err.Error())
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		pause(ctx, f.m.spread(retryInterval))
		return f.m.superseded(ctx, f.document) || f.m.succeed(ctx, f.document)
	}
	if f.failures < maxFailures {
		pause(ctx, retryInterval/3)
		return false
	}
	pause(ctx, time.Duration(f.m.o.Random()*float64(takeoverSpread)))
	if f.m.succeed(ctx, f.document) {
		return true
	}
	pause(ctx, f.m.spread(storeRetry))
	return false
}

// shouldSucceed reports whether the coordinator has lost a store that this host
// may reach. Hosts that watch the store know; others try seldom, as calls are paid for.
func (m *Member) shouldSucceed(r *Reply, sinceTry time.Duration) bool {
	if m.watch.isOpen() && !m.o.StoreAway() {
		return r.StoreAge > lostStore && sinceTry > confirmRetry
	}
	return r.StoreAge > staleStore && sinceTry > staleStore
}

func (m *Member) reportWait() time.Duration {
	return max(reportWait, time.Duration(m.State().Hosts)*reportWaitPerHost)
}

func (m *Member) doubted() bool {
	select {
	case <-m.doubt:
		return true
	default:
		return false
	}
}

// superseded reports whether the store names another coordinator than d does.
func (m *Member) superseded(ctx context.Context, d *ownership.Document) bool {
	have, _, ok := m.read(ctx)
	return ok && have != nil && have.Coordinator != d.Coordinator
}

// succeed takes over from a coordinator that cannot be used. It reports whether
// the document no longer names that one; then it leads until it is superseded.
func (m *Member) succeed(ctx context.Context, failed *ownership.Document) bool {
	if m.standsAside() {
		return m.superseded(ctx, failed)
	}
	pause(ctx, m.o.Reluctance)
	d, version, ok := m.read(ctx)
	if !ok {
		return false
	}
	if d != nil && d.Coordinator != failed.Coordinator {
		return true
	}
	return m.lead(ctx, d, version)
}

func (m *Member) setTarget(c *client) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.target = c
	m.known = nil
}

func (m *Member) report(ctx context.Context, c *client, wait, margin time.Duration) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	r := m.ownReport(wait)
	reply, err := c.CallUnary(ctx, connect.NewRequest(&r))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// ownReport returns this host's report.
func (m *Member) ownReport(wait time.Duration) Report {
	r := m.o.Collect()
	r.Host, r.Process, r.Wait, r.Reluctant = m.o.Host, m.o.Process, wait, m.o.Reluctance > 0
	r.View, r.Have = m.State().Version, m.o.Feed.Versions()
	if m.watch.isOpen() {
		r.Watching, r.StoreLost = true, m.o.StoreAway()
		if known := m.knownByCoordinator(); known != nil {
			r.Feed = m.o.Feed.Since(known)
		}
	}
	return r
}

// accept takes the coordinator's answer; an older view never replaces a newer one.
func (m *Member) accept(d *ownership.Document, r *Reply) {
	m.mu.Lock()
	m.known = r.Have
	m.mu.Unlock()
	m.o.SetStoreAway(r.StoreAway)
	if changes := m.o.Feed.Merge(r.Feed); len(changes) > 0 {
		m.o.Changed(changes)
	}
	old := m.State()
	s := &State{View: old.apply(r.View), Coordinator: d.Coordinator, Hosts: max(1, r.Hosts), Index: r.Index, Rates: r.Rates}
	m.state.Store(s)
	if s.Version != old.Version || s.Hosts != old.Hosts || s.Index != old.Index {
		m.o.Log.Info("coordination: View changed.", "term", s.Version.Term, "number", s.Version.Number, "hosts", s.Hosts, "index", s.Index)
	}
	m.o.Updated()
}

// hear notes that a coordinator has answered.
func (m *Member) hear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = now()
}

// missed reports whether no coordinator has answered for so long that changes in
// the store must be looked for.
func (m *Member) missed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now().Sub(m.heard) >= missedAfter
}

// expect takes the number of hosts from a document while no coordinator was heard;
// a host that believed itself alone would send as much as all of them.
func (m *Member) expect(d *ownership.Document) {
	if old := m.State(); old.Coordinator == "" && d.Hosts > old.Hosts {
		s := *old
		s.Hosts = d.Hosts
		m.state.Store(&s)
		m.o.Updated()
	}
}
