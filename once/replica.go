package once

import (
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/grant"
)

// Replicas holds copies of the tables of other daemons. A holder sends a request
// only after its keepers, the daemons that replicate its table, have all stored
// the id. A keeper that has returned its replica to a daemon under a higher term
// rejects updates under lower terms. Replicas is safe for concurrent use.
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

// Apply stores an update and reports whether it did. It rejects updates of a lower
// term than seen before, and those of a term under which the whole table has not
// been received.
func (n *Replicas) Apply(now time.Time, note Update) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.byGroup[note.Group]
	if !ok {
		r = &replica{}
		n.byGroup[note.Group] = r
	}
	if note.Term < r.fence || note.Term < r.term {
		return false
	}
	if note.Full {
		r.term = note.Term
		r.complete = true
		r.table = New(note.CompleteSince)
	}
	if r.term != note.Term || !r.complete {
		return false
	}
	r.table.removeExpired(now)
	for _, e := range note.Entries {
		r.table.entries[e.ID] = &Entry{ID: e.ID, IssuedAt: e.IssuedAt, State: e.State}
	}
	return true
}

// A Snapshot is a complete replica of a table, as stored under one term.
type Snapshot struct {
	Entries       []Entry
	CompleteSince time.Time
}

// FenceAndRead rejects updates of terms below term from now on and returns the replica
// that was stored under the term noted. It returns false if there is no complete
// replica of that term.
func (n *Replicas) FenceAndRead(group string, term, noted grant.Term) (Snapshot, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.byGroup[group]
	if !ok {
		r = &replica{}
		n.byGroup[group] = r
	}
	r.fence = max(r.fence, term)
	if r.term != noted || !r.complete {
		return Snapshot{}, false
	}
	return Snapshot{Entries: r.table.Entries(), CompleteSince: r.table.completeSince}, true
}

// Len returns the number of ids in all replicas.
func (n *Replicas) Len() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, r := range n.byGroup {
		if r.table != nil {
			total += r.table.Len()
		}
	}
	return total
}
