// Package quarantine refuses requests that have repeatedly crashed targets.
//
// A faulty request can crash every target that runs it, and its caller retries it
// at any host. Equal requests have the same fingerprint. A fingerprint is refused
// for a period if several targets crashed while they ran it and none answered it in
// between. A Table is a state machine without I/O and is not safe for concurrent
// use.
//
// # Usage
//
//	table := quarantine.New()
//	table.RecordCrash(now, quarantine.Crash{Fingerprint: f, Incarnation: incarnation})
//	if table.Refused(now, fingerprint) { ... }
package quarantine

import "time"

const (
	// crashThreshold is the number of crashed targets from which a fingerprint is refused. One crash is not
	// enough, as other requests that ran at the same target are not its cause.
	crashThreshold = 2
	// crashTTL is the time after its last crash at which a fingerprint is no longer suspected.
	crashTTL = 20 * time.Second
	// refusalPeriod is how long a fingerprint is refused after its last crash.
	refusalPeriod = 60 * time.Second
	// maxEntries is the maximum number of fingerprints for which RecordCrash adds entries.
	maxEntries = 4096
)

// A Fingerprint identifies equal requests.
type Fingerprint uint64

// A Crash records that a target crashed while it ran a request.
type Crash struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Incarnation identifies the incarnation that crashed; an incarnation crashes at most once.
	Incarnation string `json:"target"`
}

// A Table records crashes by fingerprint.
type Table struct {
	entries map[Fingerprint]*entry
}

type entry struct {
	incarnations map[string]bool
	refused      bool
	updatedAt    time.Time
}

// New returns an empty Table.
func New() *Table { return &Table{entries: map[Fingerprint]*entry{}} }

// RecordCrash records a crash and reports whether it caused the fingerprint to be
// refused. It returns false if the fingerprint was refused before or the Table is
// full.
func (t *Table) RecordCrash(now time.Time, c Crash) bool {
	t.removeExpired(now)
	e, ok := t.entries[c.Fingerprint]
	if !ok {
		if len(t.entries) >= maxEntries {
			return false
		}
		e = &entry{incarnations: map[string]bool{}}
		t.entries[c.Fingerprint] = e
	}
	e.incarnations[c.Incarnation] = true
	e.updatedAt = now
	if e.refused || len(e.incarnations) < crashThreshold {
		return false
	}
	e.refused = true
	return true
}

// RecordAnswer records that a target answered a request, and discards the crashes of
// its fingerprint.
func (t *Table) RecordAnswer(f Fingerprint) { delete(t.entries, f) }

// Suspected reports whether the Table has an entry for a fingerprint. Expired
// entries remain until the next call of RecordCrash.
func (t *Table) Suspected(f Fingerprint) bool {
	_, ok := t.entries[f]
	return ok
}

// Refuse refuses a fingerprint that was reported by another host.
func (t *Table) Refuse(now time.Time, f Fingerprint) {
	t.entries[f] = &entry{refused: true, updatedAt: now, incarnations: map[string]bool{}}
}

// Refused reports whether a fingerprint is refused at now.
func (t *Table) Refused(now time.Time, f Fingerprint) bool {
	e, ok := t.entries[f]
	return ok && e.refused && now.Sub(e.updatedAt) < refusalPeriod
}

// RefusedFingerprints returns the fingerprints that are refused at now, in no particular order.
func (t *Table) RefusedFingerprints(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f := range t.entries {
		if t.Refused(now, f) {
			out = append(out, f)
		}
	}
	return out
}

// removeExpired removes the entries that neither suspect nor refuse a fingerprint any more.
func (t *Table) removeExpired(now time.Time) {
	for f, e := range t.entries {
		age := now.Sub(e.updatedAt)
		if age >= refusalPeriod || !e.refused && age >= crashTTL {
			delete(t.entries, f)
		}
	}
}
