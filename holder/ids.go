package holder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/policy"
)

const (
	// keeperCount is the number of other daemons that store copies of the
	// request ids.
	keeperCount = 2
	// keeperTimeout bounds a call to a keeper.
	keeperTimeout = 300 * time.Millisecond
	// keeperRetryDelay is how long a daemon that failed to record ids is not
	// chosen as a keeper.
	keeperRetryDelay = 5 * time.Second
	// reopenInterval is the minimum time between two changes of the keepers.
	reopenInterval = time.Second
)

// idReplicator preserves the request ids of a group across a change of holder. A
// request runs only after all keepers have recorded its id. The keepers are
// written to the store before that, so that a successor can query them.
type idReplicator struct {
	table       *once.Table
	term        grant.Term
	open        bool
	reopening   bool
	lastAttempt time.Time
	keepers     []Keeper
	// failedAt maps the names of keepers that failed to record ids to the time
	// of the failure.
	failedAt map[string]time.Time
	// opened is closed, and replaced by a new channel, when open becomes true.
	opened chan struct{}
}

// IDStatus is the state of a group's request ids in reports to operators.
type IDStatus struct {
	Open    bool     `json:"open"`
	Count   int      `json:"known"`
	Keepers []string `json:"keepers"`
}

func (k *idReplicator) init() {
	k.opened = make(chan struct{})
	k.failedAt = map[string]time.Time{}
}

func (k *idReplicator) status() IDStatus {
	s := IDStatus{Open: k.open, Keepers: []string{}}
	if k.table != nil {
		s.Count = k.table.Len()
	}
	for _, keeper := range k.keepers {
		s.Keepers = append(s.Keepers, keeper.Name)
	}
	return s
}

// reset closes the table after the group was acquired under a new term. The
// entries are kept and reopen uses them if no other daemon recorded ids in
// between: another daemon cannot have run requests without a term of its own.
func (k *idReplicator) reset(now time.Time) {
	k.open = false
	k.lastAttempt = now.Add(-reopenInterval)
}

// maintain opens the table if it is closed, and replaces lost keepers.
func (k *idReplicator) maintain(ctx context.Context, g *Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder.Phase() != grant.PhaseHolding || k.reopening || g.shuttingDown || !g.hasOnceOnlyRoutes() {
		return
	}
	alive := k.withoutFailed(g.deps.AliveHosts())
	if k.open && !k.needsKeepers(alive, g.deps.Self().Name) {
		return
	}
	if time.Since(k.lastAttempt) < reopenInterval && k.open {
		return
	}
	k.open = false
	k.reopening = true
	k.lastAttempt = time.Now()
	g.submit(func() {
		k.reopen(ctx, g, alive)
		g.mu.Lock()
		k.reopening = false
		g.mu.Unlock()
	})
}

// withoutFailed removes the daemons that failed to record ids within the last
// keeperRetryDelay.
func (k *idReplicator) withoutFailed(alive []host.Host) []host.Host {
	return slices.DeleteFunc(alive, func(h host.Host) bool {
		at, ok := k.failedAt[h.Name]
		return ok && time.Since(at) < keeperRetryDelay
	})
}

// hasOnceOnlyRoutes reports whether the policy has a once-only route.
func (g *Group) hasOnceOnlyRoutes() bool {
	return slices.ContainsFunc(g.bundle.Policy.Routes, func(r policy.Route) bool { return r.AtMostOnce })
}

// needsKeepers reports whether a keeper is lost or leaving, or there are fewer
// keepers than keeperCount although more daemons are available.
func (k *idReplicator) needsKeepers(alive []host.Host, self string) bool {
	others := 0
	for _, h := range alive {
		if h.Name != self && !h.Leaving {
			others++
		}
	}
	if len(k.keepers) < min(keeperCount, others) {
		return true
	}
	for _, keeper := range k.keepers {
		if !slices.ContainsFunc(alive, func(h host.Host) bool { return h.Name == keeper.Name && !h.Leaving }) {
			return true
		}
	}
	return false
}

// reopen recovers the ids that earlier holders recorded, chooses keepers, sends
// them all entries, writes the keepers to the store, and opens the table.
func (k *idReplicator) reopen(ctx context.Context, g *Group, alive []host.Host) {
	g.mu.Lock()
	term := g.holder.Term()
	fenced := g.holder.FencedAt()
	g.mu.Unlock()
	obj, err := updateObject(ctx, g.deps.Store, g.name, term, func(o *GroupObject) {
		o.Term = term
		o.Holder = g.deps.Self().Name
	})
	g.countStoreCall("ids", err)
	if err != nil {
		g.applyEvent(func(time.Time) { g.holder.ObserveTerm(obj.Term) })
		return
	}
	table := k.recoverTable(ctx, g, term, fenced, obj)
	g.mu.Lock()
	k.table = table
	k.term = term
	entries := table.Entries()
	g.mu.Unlock()
	note := once.Update{Group: g.name, Term: term, Entries: entries, Full: true, CompleteSince: table.CompleteSince()}
	keepers := k.sendBaseline(ctx, g, note, keeperCandidates(alive, g.deps.Self()))
	_, err = updateObject(ctx, g.deps.Store, g.name, term, func(o *GroupObject) {
		o.Term = term
		o.Holder = g.deps.Self().Name
		o.IDTerm = term
		o.Keepers = keepers
	})
	g.countStoreCall("ids", err)
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder.Term() != term || g.holder.Phase() != grant.PhaseHolding {
		return
	}
	k.keepers = keepers
	k.open = true
	close(k.opened)
	k.opened = make(chan struct{})
}

// recoverTable returns a table of all requests that may have run. If no keeper of
// the previous holder returns complete records, ids issued before that holder's
// evidence expired have an unknown outcome.
func (k *idReplicator) recoverTable(ctx context.Context, g *Group, term grant.Term, fenced time.Time, obj GroupObject) *once.Table {
	g.mu.Lock()
	known, knownTerm := k.table, k.term
	g.mu.Unlock()
	if known != nil && knownTerm == obj.IDTerm {
		return known
	}
	if obj.IDTerm == 0 {
		return once.New(time.Time{})
	}
	for _, keeper := range obj.Keepers {
		call, cancel := context.WithTimeout(ctx, keeperTimeout)
		found, complete, err := g.deps.FetchIDs(call, keeper, g.name, term, obj.IDTerm)
		cancel()
		if err != nil || !complete {
			continue
		}
		table := once.New(found.CompleteSince)
		table.Merge(found.Entries)
		return table
	}
	g.log.Warn("No keeper of the previous holder returned complete request ids; the outcome of earlier requests is unknown.")
	return once.New(fenced.Add(g.deps.Timing.DeadlineLimit + g.deps.Timing.ClockMargin + 2*once.MaxClockSkew))
}

// sendBaseline sends all entries to candidates until keeperCount of them have
// accepted, and returns those.
func (k *idReplicator) sendBaseline(ctx context.Context, g *Group, note once.Update, candidates []Keeper) []Keeper {
	var accepted []Keeper
	for _, c := range candidates {
		if len(accepted) == keeperCount {
			break
		}
		call, cancel := context.WithTimeout(ctx, keeperTimeout)
		ok, err := g.deps.RecordIDs(call, c, note)
		cancel()
		if err == nil && ok {
			accepted = append(accepted, c)
		}
	}
	return accepted
}

// keeperCandidates returns the daemons that can become keepers. Daemons in other
// data centres come first.
func keeperCandidates(alive []host.Host, self host.Host) []Keeper {
	var far, near []Keeper
	for _, h := range alive {
		if h.Name == self.Name || h.Leaving {
			continue
		}
		keeper := Keeper{Name: h.Name, Control: h.ControlAddress}
		if h.DataCentre == self.DataCentre {
			near = append(near, keeper)
		} else {
			far = append(far, keeper)
		}
	}
	return append(far, near...)
}

// replicate sends an id to all keepers and reports whether all recorded it. A
// failure closes the table.
func (k *idReplicator) replicate(ctx context.Context, g *Group, id string) bool {
	g.mu.Lock()
	if !k.open || k.term != g.holder.Term() {
		g.mu.Unlock()
		return false
	}
	keepers := k.keepers
	issued, _ := once.IssuedAt(id)
	note := once.Update{Group: g.name, Term: k.term, Entries: []once.Entry{{ID: id, IssuedAt: issued}}}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	var wg sync.WaitGroup
	results := make([]bool, len(keepers))
	for i, keeper := range keepers {
		wg.Go(func() {
			ok, err := g.deps.RecordIDs(ctx, keeper, note)
			results[i] = err == nil && ok
		})
	}
	wg.Wait()
	recorded := !slices.Contains(results, false)
	if !recorded {
		k.closeTable(g, keepers, results)
	}
	return recorded
}

// started reports whether the table lists the id as started by this holder.
func (k *idReplicator) started(g *Group, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return k.table.IsStarted(id)
}

// closeTable closes the table until maintain has replaced the keepers that
// failed to record an id.
func (k *idReplicator) closeTable(g *Group, keepers []Keeper, results []bool) {
	g.mu.Lock()
	for i, ok := range results {
		if !ok {
			k.failedAt[keepers[i].Name] = time.Now()
		}
	}
	k.open = false
	g.mu.Unlock()
	g.wakeLoop()
}
