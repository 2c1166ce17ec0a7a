package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestRejected(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	tests := []struct {
		name   string
		events func(q *Table)
		after  time.Duration
		want   bool
	}{
		{"one crash", func(q *Table) { q.RecordCrash(start, Crash{1, "a"}) }, 0, false},
		{"same target twice", func(q *Table) {
			q.RecordCrash(start, Crash{1, "a"})
			q.RecordCrash(start.Add(time.Second), Crash{1, "a"})
		}, 0, false},
		{"two crashes", func(q *Table) { q.RecordCrash(start, Crash{1, "a"}); q.RecordCrash(start, Crash{1, "b"}) }, 0, true},
		{"response between crashes", func(q *Table) {
			q.RecordCrash(start, Crash{1, "a"})
			q.RecordResponse(1)
			q.RecordCrash(start, Crash{1, "b"})
		}, 0, false},
		{"crashes of different requests", func(q *Table) { q.RecordCrash(start, Crash{1, "a"}); q.RecordCrash(start, Crash{2, "b"}) }, 0, false},
		{"first crash expired", func(q *Table) { q.RecordCrash(start, Crash{1, "a"}); q.RecordCrash(start.Add(crashTTL), Crash{1, "b"}) }, crashTTL, false},
		{"reported by another host", func(q *Table) { q.Reject(start, 1) }, rejectionPeriod - 1, true},
		{"rejection expired", func(q *Table) { q.Reject(start, 1) }, rejectionPeriod, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := New()
			test.events(q)
			c.Check(q.IsRejected(start.Add(test.after), 1), qt.Equals, test.want)
			c.Check(q.RejectedFingerprints(start.Add(test.after)), qt.HasLen, map[bool]int{true: 1}[test.want])
		})
	}
}

// The table keeps at most maxEntries suspected fingerprints, and accepts new ones
// when old entries expire.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000_000, 0)
	q := New()
	for f := range Fingerprint(maxEntries + 10) {
		q.RecordCrash(start, Crash{f, "a"})
	}
	c.Check(q.entries, qt.HasLen, maxEntries)
	c.Check(q.Suspected(0), qt.IsTrue)
	c.Check(q.Suspected(maxEntries+5), qt.IsFalse)
	q.RecordCrash(start.Add(crashTTL), Crash{maxEntries + 5, "a"})
	c.Check(q.Suspected(maxEntries+5), qt.IsTrue)
}
