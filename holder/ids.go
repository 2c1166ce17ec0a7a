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
	// keeperRetryDelay is how long a daemon that failed to store ids is not chosen
	// as a keeper.
	keeperRetryDelay = 5 * time.Second
	// reopenInterval is the minimum time between two changes of the keepers.
	reopenInterval = time.Second
)

// idReplicator preserves the request ids of a group across a change of holder. A
// request runs only after all keepers have stored its id. The keepers are
// written to the store before that, so that a successor can query them.
type idReplicator struct {
	table *once.Table
	// term is the term under which table was recovered and sent to the keepers.
	term grant.Term
	// open reports whether requests can be admitted.
	open bool
	// reopening reports whether reopen is running.
	reopening bool
	// lastAttempt is when reopen was last started.
	lastAttempt time.Time
	keepers     []Keeper
	// failedAt maps the names of keepers that failed to store ids to the time of
	// the failure.
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

func (r *idReplicator) init() {
	r.opened = make(chan struct{})
	r.failedAt = map[string]time.Time{}
}

func (r *idReplicator) status() IDStatus {
	s := IDStatus{Open: r.open, Keepers: []string{}}
	if r.table != nil {
		s.Count = r.table.Len()
	}
	for _, keeper := range r.keepers {
		s.Keepers = append(s.Keepers, keeper.Name)
	}
	return s
}

// reset closes the table after the group was acquired under a new term. The
// entries are kept, and reopen uses them if no other daemon has written its keepers
// to the store in between: another daemon cannot have run requests without a term
// of its own.
func (r *idReplicator) reset(now time.Time) {
	r.open = false
	r.lastAttempt = now.Add(-reopenInterval)
}

// maintain opens the table if it is closed, and replaces lost keepers.
func (r *idReplicator) maintain(ctx context.Context, g *Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder.Phase() != grant.PhaseHolding || r.reopening || g.shuttingDown || !g.hasOnceOnlyRoutes() {
		return
	}
	alive := r.withoutFailed(g.deps.AliveHosts())
	if r.open && !r.needsKeepers(alive, g.deps.Self().Name) {
		return
	}
	if time.Since(r.lastAttempt) < reopenInterval && r.open {
		return
	}
	r.open = false
	r.reopening = true
	r.lastAttempt = time.Now()
	g.submit(func() {
		r.reopen(ctx, g, alive)
		g.mu.Lock()
		r.reopening = false
		g.mu.Unlock()
	})
}

// withoutFailed removes the daemons that failed to store ids within the last
// keeperRetryDelay.
func (r *idReplicator) withoutFailed(alive []host.Host) []host.Host {
	return slices.DeleteFunc(alive, func(h host.Host) bool {
		at, ok := r.failedAt[h.Name]
		return ok && time.Since(at) < keeperRetryDelay
	})
}

// hasOnceOnlyRoutes reports whether the policy has a once-only route.
func (g *Group) hasOnceOnlyRoutes() bool {
	return slices.ContainsFunc(g.config.Policy.Routes, func(r policy.Route) bool { return r.AtMostOnce })
}

// needsKeepers reports whether a keeper is lost or leaving, or there are fewer
// keepers than keeperCount although more daemons are available.
func (r *idReplicator) needsKeepers(alive []host.Host, self string) bool {
	others := 0
	for _, h := range alive {
		if h.Name != self && !h.Leaving {
			others++
		}
	}
	if len(r.keepers) < min(keeperCount, others) {
		return true
	}
	for _, keeper := range r.keepers {
		if !slices.ContainsFunc(alive, func(h host.Host) bool { return h.Name == keeper.Name && !h.Leaving }) {
			return true
		}
	}
	return false
}

// reopen recovers the ids of earlier holders, chooses keepers, sends them all
// entries, writes the keepers to the store, and opens the table.
func (r *idReplicator) reopen(ctx context.Context, g *Group, alive []host.Host) {
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
	table := r.recoverTable(ctx, g, term, fenced, obj)
	g.mu.Lock()
	r.table = table
	r.term = term
	entries := table.Entries()
	g.mu.Unlock()
	update := once.Update{Group: g.name, Term: term, Entries: entries, Full: true, CompleteSince: table.CompleteSince()}
	keepers := r.sendFullTable(ctx, g, update, keeperCandidates(alive, g.deps.Self()))
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
	r.keepers = keepers
	r.open = true
	close(r.opened)
	r.opened = make(chan struct{})
}

// recoverTable returns a table of all requests that may have run. If no keeper of
// the previous holder returns complete ids, the requests with ids issued before
// that holder's evidence expired have an unknown outcome.
func (r *idReplicator) recoverTable(ctx context.Context, g *Group, term grant.Term, fenced time.Time, obj GroupObject) *once.Table {
	g.mu.Lock()
	known, knownTerm := r.table, r.term
	g.mu.Unlock()
	if known != nil && knownTerm == obj.IDTerm {
		return known
	}
	if obj.IDTerm == 0 {
		return once.New(time.Time{})
	}
	for _, keeper := range obj.Keepers {
		call, cancel := context.WithTimeout(ctx, keeperTimeout)
		snapshot, complete, err := g.deps.FetchIDs(call, keeper, g.name, term, obj.IDTerm)
		cancel()
		if err != nil || !complete {
			continue
		}
		table := once.New(snapshot.CompleteSince)
		table.Merge(snapshot.Entries)
		return table
	}
	g.log.Warn("No keeper of the previous holder returned complete request ids; the outcome of earlier requests is unknown.")
	return once.New(fenced.Add(g.deps.Timing.DeadlineLimit + g.deps.Timing.ClockMargin + 2*once.MaxClockSkew))
}

// sendFullTable sends all entries to candidates until keeperCount of them have
// accepted, and returns those.
func (r *idReplicator) sendFullTable(ctx context.Context, g *Group, update once.Update, candidates []Keeper) []Keeper {
	var accepted []Keeper
	for _, c := range candidates {
		if len(accepted) == keeperCount {
			break
		}
		call, cancel := context.WithTimeout(ctx, keeperTimeout)
		ok, err := g.deps.ReplicateIDs(call, c, update)
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
	var remote, local []Keeper
	for _, h := range alive {
		if h.Name == self.Name || h.Leaving {
			continue
		}
		keeper := Keeper{Name: h.Name, Control: h.ControlAddress}
		if h.DataCentre == self.DataCentre {
			local = append(local, keeper)
		} else {
			remote = append(remote, keeper)
		}
	}
	return append(remote, local...)
}

// replicate sends an id to all keepers and reports whether all stored it. A failure
// closes the table.
func (r *idReplicator) replicate(ctx context.Context, g *Group, id string) bool {
	g.mu.Lock()
	if !r.open || r.term != g.holder.Term() {
		g.mu.Unlock()
		return false
	}
	keepers := r.keepers
	issued, _ := once.IssuedAt(id)
	update := once.Update{Group: g.name, Term: r.term, Entries: []once.Entry{{ID: id, IssuedAt: issued}}}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	var wg sync.WaitGroup
	results := make([]bool, len(keepers))
	for i, keeper := range keepers {
		wg.Go(func() {
			ok, err := g.deps.ReplicateIDs(ctx, keeper, update)
			results[i] = err == nil && ok
		})
	}
	wg.Wait()
	stored := !slices.Contains(results, false)
	if !stored {
		r.closeTable(g, keepers, results)
	}
	return stored
}

// started reports whether the table lists the id as started by this holder.
func (r *idReplicator) started(g *Group, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.table.IsStarted(id)
}

// closeTable closes the table until maintain has replaced the keepers that failed
// to store an id.
func (r *idReplicator) closeTable(g *Group, keepers []Keeper, results []bool) {
	g.mu.Lock()
	for i, ok := range results {
		if !ok {
			r.failedAt[keepers[i].Name] = time.Now()
		}
	}
	r.open = false
	g.mu.Unlock()
	g.wakeLoop()
}
