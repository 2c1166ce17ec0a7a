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
	// keeperCount is how many other daemons keep copies of request ids.
	keeperCount = 2
	// noteTimeout bounds the keeping of a note.
	noteTimeout = 300 * time.Millisecond
	// failedPause is how long a daemon that gave no answer is not asked to keep notes.
	failedPause = 5 * time.Second
	// reopenPause is the least time between two changes of the keepers.
	reopenPause = time.Second
)

// idKeeper keeps the request ids of a group true over a change of holder. A
// request runs only after all keepers have noted its id; the keepers are
// recorded in the store before that, so a successor knows whom to ask.
type idKeeper struct {
	table   *once.Table
	term    grant.Term
	open    bool
	busy    bool
	tried   time.Time
	keepers []Keeper
	// failed holds keepers that gave no answer, and when.
	failed map[string]time.Time
	// opened is closed and replaced whenever open changes to true.
	opened chan struct{}
}

// IDStatus is what operators see of request ids.
type IDStatus struct {
	Open    bool     `json:"open"`
	Known   int      `json:"known"`
	Keepers []string `json:"keepers"`
}

func (k *idKeeper) init() {
	k.opened = make(chan struct{})
	k.failed = map[string]time.Time{}
}

func (k *idKeeper) status() IDStatus {
	s := IDStatus{Open: k.open, Keepers: []string{}}
	if k.table != nil {
		s.Known = k.table.Len()
	}
	for _, keeper := range k.keepers {
		s.Keepers = append(s.Keepers, keeper.Name)
	}
	return s
}

// taken starts over after the group was taken under a new term. A holder that
// had the ids before keeps them: nobody can have run others without a term of its own.
func (k *idKeeper) taken(now time.Time) {
	k.open = false
	k.tried = now.Add(-reopenPause)
}

// maintain opens the table when it is closed, and replaces lost keepers.
func (k *idKeeper) maintain(ctx context.Context, g *Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder.Phase() != grant.PhaseHolding || k.busy || g.leaving || !g.needsIDs() {
		return
	}
	alive := k.usable(g.d.Alive())
	if k.open && !k.stale(alive, g.d.Self().Name) {
		return
	}
	if time.Since(k.tried) < reopenPause && k.open {
		return
	}
	k.open = false
	k.busy = true
	k.tried = time.Now()
	g.submit(func() {
		k.reopen(ctx, g, alive)
		g.mu.Lock()
		k.busy = false
		g.mu.Unlock()
	})
}

// usable leaves out daemons that gave no answer a moment ago.
func (k *idKeeper) usable(alive []host.Host) []host.Host {
	return slices.DeleteFunc(alive, func(h host.Host) bool {
		at, ok := k.failed[h.Name]
		return ok && time.Since(at) < failedPause
	})
}

func (g *Group) needsIDs() bool {
	return slices.ContainsFunc(g.bundle.Policy.Routes, func(r policy.Route) bool { return r.OnceOnly })
}

// stale reports whether a keeper was lost or there are too few.
func (k *idKeeper) stale(alive []host.Host, self string) bool {
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

// reopen gathers what earlier holders noted, chooses keepers, gives them all
// that is known, records them, and opens the table.
func (k *idKeeper) reopen(ctx context.Context, g *Group, alive []host.Host) {
	g.mu.Lock()
	term := g.holder.Term()
	fenced := g.holder.FencedAt()
	g.mu.Unlock()
	obj, err := updateObject(ctx, g.d.Store, g.name, term, func(o *GroupObject) {
		o.Term = term
		o.Holder = g.d.Self().Name
	})
	g.countStore("ids", err)
	if err != nil {
		g.step(func(time.Time) { g.holder.ObserveTerm(obj.Term) })
		return
	}
	table := k.recall(ctx, g, term, fenced, obj)
	g.mu.Lock()
	k.table = table
	k.term = term
	entries := table.Entries()
	g.mu.Unlock()
	note := once.Update{Group: g.name, Term: term, Entries: entries, Full: true, CompleteSince: table.CompleteSince()}
	keepers := k.baseline(ctx, g, note, choose(alive, g.d.Self()))
	_, err = updateObject(ctx, g.d.Store, g.name, term, func(o *GroupObject) {
		o.Term = term
		o.Holder = g.d.Self().Name
		o.NotedTerm = term
		o.Keepers = keepers
	})
	g.countStore("ids", err)
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

// recall returns a table of all that may have run. Where the keepers of the
// last holder cannot be asked, ids issued before that holder's evidence ran out
// have an unknown outcome.
func (k *idKeeper) recall(ctx context.Context, g *Group, term grant.Term, fenced time.Time, obj GroupObject) *once.Table {
	g.mu.Lock()
	have, haveTerm := k.table, k.term
	g.mu.Unlock()
	if have != nil && haveTerm == obj.NotedTerm {
		return have
	}
	if obj.NotedTerm == 0 {
		return once.New(time.Time{})
	}
	for _, keeper := range obj.Keepers {
		call, cancel := context.WithTimeout(ctx, noteTimeout)
		found, whole, err := g.d.Recall(call, keeper, g.name, term, obj.NotedTerm)
		cancel()
		if err != nil || !whole {
			continue
		}
		table := once.New(found.CompleteSince)
		table.Merge(found.Entries)
		return table
	}
	g.log.Warn("No keeper of the last holder can be asked; earlier request ids have an unknown outcome.")
	return once.New(fenced.Add(g.d.Timing.DeadlineLimit + g.d.Timing.ClockMargin + 2*once.MaxClockSkew))
}

// baseline gives keepers all that is known and returns those that took it.
func (k *idKeeper) baseline(ctx context.Context, g *Group, note once.Update, candidates []Keeper) []Keeper {
	var kept []Keeper
	for _, c := range candidates {
		if len(kept) == keeperCount {
			break
		}
		call, cancel := context.WithTimeout(ctx, noteTimeout)
		ok, err := g.d.Note(call, c, note)
		cancel()
		if err == nil && ok {
			kept = append(kept, c)
		}
	}
	return kept
}

// choose orders the daemons that may keep notes: other data centres come first.
func choose(alive []host.Host, self host.Host) []Keeper {
	var far, near []Keeper
	for _, h := range alive {
		if h.Name == self.Name || h.Leaving {
			continue
		}
		keeper := Keeper{Name: h.Name, Control: h.Control}
		if h.DataCentre == self.DataCentre {
			near = append(near, keeper)
		} else {
			far = append(far, keeper)
		}
	}
	return append(far, near...)
}

// note has all keepers note an id and reports whether they did.
func (k *idKeeper) note(ctx context.Context, g *Group, id string) bool {
	g.mu.Lock()
	if !k.open || k.term != g.holder.Term() {
		g.mu.Unlock()
		return false
	}
	keepers := k.keepers
	issued, _ := once.IssuedAt(id)
	note := once.Update{Group: g.name, Term: k.term, Entries: []once.Entry{{ID: id, IssuedAt: issued}}}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	var wg sync.WaitGroup
	results := make([]bool, len(keepers))
	for i, keeper := range keepers {
		wg.Go(func() {
			ok, err := g.d.Note(ctx, keeper, note)
			results[i] = err == nil && ok
		})
	}
	wg.Wait()
	kept := !slices.Contains(results, false)
	if !kept {
		k.drop(g, keepers, results)
	}
	return kept
}

// noted reports whether the table has the id as started.
func (k *idKeeper) noted(g *Group, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return k.table.IsStarted(id)
}

// drop closes the table until the keepers that gave no answer are replaced.
func (k *idKeeper) drop(g *Group, keepers []Keeper, results []bool) {
	g.mu.Lock()
	for i, ok := range results {
		if !ok {
			k.failed[keepers[i].Name] = time.Now()
		}
	}
	k.open = false
	g.mu.Unlock()
	g.poke()
}
