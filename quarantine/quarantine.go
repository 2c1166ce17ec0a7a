// Package quarantine rejects requests that have repeatedly crashed targets.
//
// A faulty request can crash every target that runs it, and its caller may repeat
// it at any host. Equal requests have the same fingerprint. A fingerprint is rejected
// for a period if several targets crashed while they ran it and none responded to it
// in between. A Table is a state machine without I/O and is not safe for concurrent
// use.
//
// # Usage
//
//	table := quarantine.New()
//	table.RecordCrash(now, quarantine.Crash{Fingerprint: f, Incarnation: incarnation})
//	if table.IsRejected(now, fingerprint) { ... }
package quarantine

import "time"

const (
	// crashThreshold is the number of crashed targets from which a fingerprint is rejected. One crash is not
	// enough, because all requests that ran at the crashed target are suspected and only one of them is the cause.
	crashThreshold = 2
	// crashTTL is how long a fingerprint is suspected after its last crash.
	crashTTL = 20 * time.Second
	// rejectionPeriod is how long a fingerprint is rejected after its last crash.
	rejectionPeriod = 60 * time.Second
	// maxEntries is the number of entries from which RecordCrash adds no further fingerprint.
	maxEntries = 4096
)

// A Fingerprint identifies equal requests.
type Fingerprint uint64

// A Crash records that a target crashed while it ran a request.
type Crash struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Incarnation identifies the incarnation of the target; an incarnation crashes at most once.
	Incarnation string `json:"target"`
}

// A Table records crashes by fingerprint.
type Table struct {
	entries map[Fingerprint]*entry
}

// entry is the state of one fingerprint.
type entry struct {
	incarnations map[string]bool // the incarnations that crashed
	rejected     bool
	updatedAt    time.Time // time of the last crash, or of the call of Reject
}

// New returns an empty Table.
func New() *Table { return &Table{entries: map[Fingerprint]*entry{}} }

// RecordCrash records a crash and reports whether it caused the fingerprint to be
// rejected. It returns false if the fingerprint was rejected before or the Table is
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
	if e.rejected || len(e.incarnations) < crashThreshold {
		return false
	}
	e.rejected = true
	return true
}

// RecordResponse records that a target responded to a request, and removes the entry of
// its fingerprint.
func (t *Table) RecordResponse(f Fingerprint) { delete(t.entries, f) }

// Suspected reports whether the Table has an entry for a fingerprint. Expired
// entries remain until the next call of RecordCrash.
func (t *Table) Suspected(f Fingerprint) bool {
	_, ok := t.entries[f]
	return ok
}

// Reject rejects a fingerprint that was reported by another host.
func (t *Table) Reject(now time.Time, f Fingerprint) {
	t.entries[f] = &entry{rejected: true, updatedAt: now, incarnations: map[string]bool{}}
}

// IsRejected reports whether a fingerprint is rejected at now.
func (t *Table) IsRejected(now time.Time, f Fingerprint) bool {
	e, ok := t.entries[f]
	return ok && e.rejected && now.Sub(e.updatedAt) < rejectionPeriod
}

// RejectedFingerprints returns the fingerprints that are rejected at now, in no particular order.
func (t *Table) RejectedFingerprints(now time.Time) []Fingerprint {
	var out []Fingerprint
	for f := range t.entries {
		if t.IsRejected(now, f) {
			out = append(out, f)
		}
	}
	return out
}

// removeExpired removes the entries of fingerprints that are neither suspected nor rejected any more.
func (t *Table) removeExpired(now time.Time) {
	for f, e := range t.entries {
		age := now.Sub(e.updatedAt)
		if age >= rejectionPeriod || !e.rejected && age >= crashTTL {
			delete(t.entries, f)
		}
	}
}
