package once

import "time"

const (
	// RetentionWindow is how long an id is retained after its time of issue.
	RetentionWindow = 10 * time.Minute
	// MaxClockSkew is the maximum difference between the clocks of two hosts.
	MaxClockSkew = 250 * time.Millisecond
	// MaxStoredBody is the maximum size in bytes of a response body that is stored
	// for duplicates of the request.
	MaxStoredBody = 4096
	// maxEntries bounds the number of ids in a table.
	maxEntries = 200_000
)

// A Verdict is the result of the duplicate check of a request.
type Verdict int

// Verdicts on requests.
const (
	// VerdictRun means that the request has not run and may run now.
	VerdictRun Verdict = iota
	// VerdictRunning means that the request is running.
	VerdictRunning
	// VerdictCompleted means that the request ran; the Decision may hold its response.
	VerdictCompleted
	// VerdictUnknown means that the request may have run; it must not run again.
	VerdictUnknown
	// VerdictTooOld means that the id was issued before the retention window;
	// the request must not run.
	VerdictTooOld
	// VerdictInFuture means that the id was issued further in the future than
	// clock skew explains; the request has not run.
	VerdictInFuture
	// VerdictFull means that the table is full; the request has not run.
	VerdictFull
	// VerdictMalformed means that the id is malformed; the request has not run.
	VerdictMalformed
)

// Response is the response to a request, stored for duplicates of the request.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// A Decision is the verdict on a request, with its stored response or nil.
type Decision struct {
	Verdict  Verdict
	Response *Response
}

// A State is the state of the request with an id.
type State uint32

// States of requests.
const (
	// StateStarted means that the request was admitted and has not ended.
	StateStarted State = iota
	// StateCompleted means that the request ran.
	StateCompleted
	// StateUnknown means that the request may have run.
	StateUnknown
)

// An Entry is an id in a table, with the state of its request.
type Entry struct {
	ID       string
	IssuedAt time.Time
	State    State
	response *Response
}

// A Table holds the request ids of one group. It is not safe for concurrent use.
type Table struct {
	// completeSince is the time of issue from which the table contains every id
	// that may have run.
	completeSince time.Time
	entries       map[string]*Entry
	// lastExpiry is when removeExpired last removed ids.
	lastExpiry time.Time
}

// New returns an empty table that counts as complete for ids issued since completeSince.
func New(completeSince time.Time) *Table {
	return &Table{completeSince: completeSince, entries: map[string]*Entry{}}
}

// Check returns the verdict on an id that needs no table: VerdictMalformed,
// VerdictInFuture, VerdictTooOld, or VerdictRun if a table decides.
func Check(now time.Time, id string) Verdict {
	issued, err := IssuedAt(id)
	switch {
	case err != nil:
		return VerdictMalformed
	case issued.After(now.Add(MaxClockSkew)):
		return VerdictInFuture
	case issued.Before(now.Add(-RetentionWindow)):
		return VerdictTooOld
	}
	return VerdictRun
}

// Admit checks whether the request with an id may run. With VerdictRun, it
// records the id as started.
func (t *Table) Admit(now time.Time, id string) Decision {
	if e, ok := t.entries[id]; ok {
		return decisionFor(e)
	}
	if v := Check(now, id); v != VerdictRun {
		return Decision{Verdict: v}
	}
	issued, _ := IssuedAt(id)
	if issued.Before(t.completeSince) {
		return Decision{Verdict: VerdictUnknown}
	}
	t.removeExpired(now)
	if len(t.entries) >= maxEntries {
		return Decision{Verdict: VerdictFull}
	}
	t.entries[id] = &Entry{ID: id, IssuedAt: issued, State: StateStarted}
	return Decision{Verdict: VerdictRun}
}

func decisionFor(e *Entry) Decision {
	switch e.State {
	case StateStarted:
		return Decision{Verdict: VerdictRunning}
	case StateCompleted:
		return Decision{Verdict: VerdictCompleted, Response: e.response}
	}
	return Decision{Verdict: VerdictUnknown}
}

// IsStarted reports whether the id is in StateStarted.
func (t *Table) IsStarted(id string) bool {
	e, ok := t.entries[id]
	return ok && e.State == StateStarted
}

// Finish records that the request ran, with its response or nil.
func (t *Table) Finish(id string, response *Response) {
	if e, ok := t.entries[id]; ok {
		e.State = StateCompleted
		e.response = response
	}
}

// MarkUnknown records that the request may have run.
func (t *Table) MarkUnknown(id string) {
	if e, ok := t.entries[id]; ok {
		e.State = StateUnknown
	}
}

// RemoveStarted removes the id of an admitted request that did not run, so that it may
// run later. Entries in any other state, such as merged ones, stay.
func (t *Table) RemoveStarted(id string) {
	if t.IsStarted(id) {
		delete(t.entries, id)
	}
}

// Merge adds the entries of a replica. Requests that were started there have an
// unknown outcome here. Entries of requests known to have run are not replaced.
func (t *Table) Merge(entries []Entry) {
	for _, e := range entries {
		have, ok := t.entries[e.ID]
		if ok && have.State == StateCompleted {
			continue
		}
		state := e.State
		if state == StateStarted {
			state = StateUnknown
		}
		t.entries[e.ID] = &Entry{ID: e.ID, IssuedAt: e.IssuedAt, State: state, response: e.response}
	}
}

// SetCompleteSince records that the table contains every id issued at or after
// since that may have run.
func (t *Table) SetCompleteSince(since time.Time) {
	t.completeSince = since
}

// Entries returns all entries.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, *e)
	}
	return out
}

// Len returns the number of ids.
func (t *Table) Len() int { return len(t.entries) }

// removeExpired removes ids older than RetentionWindow; Admit rejects these as too
// old without an entry. It runs at most once in a twentieth of RetentionWindow.
func (t *Table) removeExpired(now time.Time) {
	if now.Sub(t.lastExpiry) < RetentionWindow/20 {
		return
	}
	t.lastExpiry = now
	for id, e := range t.entries {
		if e.IssuedAt.Before(now.Add(-RetentionWindow)) {
			delete(t.entries, id)
		}
	}
}

// CompleteSince returns the time of issue from which the table is complete.
func (t *Table) CompleteSince() time.Time { return t.completeSince }
