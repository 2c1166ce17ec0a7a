package once

import (
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/grant"
)

// Notes keeps copies of other daemons' tables. A holder sends a request only
// after all its keepers have noted the id, and a keeper that was asked by a
// higher term takes no more notes of a lower one. It is safe for concurrent use.
type Notes struct {
	mu     sync.Mutex
	groups map[string]*notes
}

type notes struct {
	fence    grant.Term
	term     grant.Term
	baseline bool
	table    *Table
}

// NewNotes returns empty Notes.
func NewNotes() *Notes {
	return &Notes{groups: map[string]*notes{}}
}

// A Note is what a holder wants kept.
type Note struct {
	Group   string
	Term    grant.Term
	Entries []Entry
	// Baseline says that Entries is all that the holder knows.
	Baseline bool
	// Complete is the time from which the notes are complete.
	Complete time.Time
}

// Keep keeps a note and reports whether it counts.
func (n *Notes) Keep(now time.Time, note Note) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	g, ok := n.groups[note.Group]
	if !ok {
		g = &notes{}
		n.groups[note.Group] = g
	}
	if note.Term < g.fence || note.Term < g.term {
		return false
	}
	if note.Baseline {
		g.term = note.Term
		g.baseline = true
		g.table = New(note.Complete)
	}
	if g.term != note.Term || !g.baseline {
		return false
	}
	g.table.sweep(now)
	for _, e := range note.Entries {
		g.table.entries[e.ID] = &Entry{ID: e.ID, Issued: e.Issued, State: e.State}
	}
	return true
}

// A Recalled is the whole of what was noted under a term.
type Recalled struct {
	Entries  []Entry
	Complete time.Time
}

// Recall fences notes of terms below term and returns what was noted under
// noted; false when that is not here whole.
func (n *Notes) Recall(group string, term, noted grant.Term) (Recalled, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g, ok := n.groups[group]
	if !ok {
		g = &notes{}
		n.groups[group] = g
	}
	g.fence = max(g.fence, term)
	if g.term != noted || !g.baseline {
		return Recalled{}, false
	}
	return Recalled{Entries: g.table.Entries(), Complete: g.table.complete}, true
}

// Len returns the number of ids that are kept.
func (n *Notes) Len() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, g := range n.groups {
		if g.table != nil {
			total += g.table.Len()
		}
	}
	return total
}
