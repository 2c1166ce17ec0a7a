package once

import (
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/grant"
)

// Replicas holds copies of the request id tables of other daemons. A holder sends a
// once-only request to a target only after its keepers, the daemons that store
// copies of its table, have all stored the id. A keeper that has returned its
// replica to a daemon with a higher term rejects updates under lower terms.
// Replicas is safe for concurrent use.
type Replicas struct {
	mu      sync.Mutex
	byGroup map[string]*replica
}

// replica is the replica of one group's table.
type replica struct {
	// fence is the lowest term whose updates are accepted.
	fence grant.Term
	// term is the term under which the table was received.
	term grant.Term
	// complete reports whether a whole table was received.
	complete bool
	table    *Table
}

// NewReplicas returns an empty set of replicas.
func NewReplicas() *Replicas {
	return &Replicas{byGroup: map[string]*replica{}}
}

// Update adds entries to a replica or replaces it. It is sent by the holder of the
// group.
type Update struct {
	Group   string
	Term    grant.Term
	Entries []Entry
	// Full reports whether Entries is the holder's whole table, which
	// replaces the replica.
	Full bool
	// CompleteSince is the time of issue from which a whole table contains every id
	// that may have run.
	CompleteSince time.Time
}

// Apply stores an update and reports whether it did. It rejects updates under a
// lower term than seen before, and those under a term for which the whole table has
// not been received.
func (r *Replicas) Apply(now time.Time, update Update) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep, ok := r.byGroup[update.Group]
	if !ok {
		rep = &replica{}
		r.byGroup[update.Group] = rep
	}
	if update.Term < rep.fence || update.Term < rep.term {
		return false
	}
	if update.Full {
		rep.term = update.Term
		rep.complete = true
		rep.table = New(update.CompleteSince)
	}
	if rep.term != update.Term || !rep.complete {
		return false
	}
	rep.table.removeExpired(now)
	for _, e := range update.Entries {
		rep.table.entries[e.ID] = &Entry{ID: e.ID, IssuedAt: e.IssuedAt, State: e.State}
	}
	return true
}

// A Snapshot is a complete replica of a table, as stored under one term.
type Snapshot struct {
	Entries       []Entry
	CompleteSince time.Time
}

// FenceAndRead rejects updates under terms below term from now on, and returns the
// replica that was stored under storedTerm. It returns false if there is no
// complete replica of that term.
func (r *Replicas) FenceAndRead(group string, term, storedTerm grant.Term) (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep, ok := r.byGroup[group]
	if !ok {
		rep = &replica{}
		r.byGroup[group] = rep
	}
	rep.fence = max(rep.fence, term)
	if rep.term != storedTerm || !rep.complete {
		return Snapshot{}, false
	}
	return Snapshot{Entries: rep.table.Entries(), CompleteSince: rep.table.completeSince}, true
}

// Len returns the number of ids in all replicas.
func (r *Replicas) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, rep := range r.byGroup {
		if rep.table != nil {
			total += rep.table.Len()
		}
	}
	return total
}
