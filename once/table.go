package once

import "time"

const (
	// Window is how long an id is remembered after it was issued.
	Window = 10 * time.Minute
	// Skew is the greatest difference between the clocks of hosts.
	Skew = 250 * time.Millisecond
	// MaxAnswer is the greatest body of an answer that is kept for a repeat, in bytes.
	MaxAnswer = 4096
	// maxEntries bounds a table.
	maxEntries = 200_000
)

// A Verdict says what to do with a request.
type Verdict int

// The verdicts.
const (
	// VerdictRun means that the request has not run and may run now.
	VerdictRun Verdict = iota
	// VerdictRunning means that it is running.
	VerdictRunning
	// VerdictAnswered means that it ran; the decision may hold its answer.
	VerdictAnswered
	// VerdictUnknown means that it may have run; it must not run again.
	VerdictUnknown
	// VerdictTooOld means that it was issued before the window; it must not run.
	VerdictTooOld
	// VerdictFuture means that it was issued later than any clock allows; it has not run.
	VerdictFuture
	// VerdictFull means that the table has no room; it has not run.
	VerdictFull
	// VerdictMalformed means that the id is malformed; it has not run.
	VerdictMalformed
)

// An Answer is a small answer that is kept for repeats.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// A Decision is the verdict on a request, with its answer where it is known.
type Decision struct {
	Verdict Verdict
	Answer  *Answer
}

// A State says what is known of an id.
type State uint32

// The states of ids.
const (
	StateStarted State = iota
	StateAnswered
	StateUnknown
)

// An Entry is one id in a table.
type Entry struct {
	ID     string
	Issued time.Time
	State  State
	answer *Answer
}

// A Table remembers the ids of one group. It is not safe for concurrent use.
type Table struct {
	// complete is the time from which every id that may have run is in the table.
	complete time.Time
	entries  map[string]*Entry
	swept    time.Time
}

// New returns an empty table that knows of all ids issued after complete.
func New(complete time.Time) *Table {
	return &Table{complete: complete, entries: map[string]*Entry{}}
}

// Admit decides on a request with an id; on VerdictRun the id counts as started.
func (t *Table) Admit(now time.Time, id string) Decision {
	issued, err := Issued(id)
	if err != nil {
		return Decision{Verdict: VerdictMalformed}
	}
	if e, ok := t.entries[id]; ok {
		return decide(e)
	}
	switch {
	case issued.After(now.Add(Skew)):
		return Decision{Verdict: VerdictFuture}
	case issued.Before(now.Add(-Window)):
		return Decision{Verdict: VerdictTooOld}
	case issued.Before(t.complete):
		return Decision{Verdict: VerdictUnknown}
	}
	t.sweep(now)
	if len(t.entries) >= maxEntries {
		return Decision{Verdict: VerdictFull}
	}
	t.entries[id] = &Entry{ID: id, Issued: issued, State: StateStarted}
	return Decision{Verdict: VerdictRun}
}

func decide(e *Entry) Decision {
	switch e.State {
	case StateStarted:
		return Decision{Verdict: VerdictRunning}
	case StateAnswered:
		return Decision{Verdict: VerdictAnswered, Answer: e.answer}
	}
	return Decision{Verdict: VerdictUnknown}
}

// Started reports whether the id counts as started here.
func (t *Table) Started(id string) bool {
	e, ok := t.entries[id]
	return ok && e.State == StateStarted
}

// Finish notes that the request ran; answer may be nil.
func (t *Table) Finish(id string, answer *Answer) {
	if e, ok := t.entries[id]; ok {
		e.State = StateAnswered
		e.answer = answer
	}
}

// Unknown notes that the request may have run.
func (t *Table) Unknown(id string) {
	if e, ok := t.entries[id]; ok {
		e.State = StateUnknown
	}
}

// Forget notes that the request, which was admitted here, did not run; it may
// run later. What others told of the id stays.
func (t *Table) Forget(id string) {
	if t.Started(id) {
		delete(t.entries, id)
	}
}

// Merge takes entries that others keep; what is started there has an unknown outcome here.
func (t *Table) Merge(entries []Entry) {
	for _, e := range entries {
		have, ok := t.entries[e.ID]
		if ok && have.State == StateAnswered {
			continue
		}
		state := e.State
		if state == StateStarted {
			state = StateUnknown
		}
		t.entries[e.ID] = &Entry{ID: e.ID, Issued: e.Issued, State: state, answer: e.answer}
	}
}

// Complete says that the table knows of all ids issued after a time.
func (t *Table) Complete(since time.Time) {
	t.complete = since
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

// sweep drops ids that Admit refuses as too old anyway.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < Window/20 {
		return
	}
	t.swept = now
	for id, e := range t.entries {
		if e.Issued.Before(now.Add(-Window)) {
			delete(t.entries, id)
		}
	}
}

// Since returns the time from which the table is complete.
func (t *Table) Since() time.Time { return t.complete }
