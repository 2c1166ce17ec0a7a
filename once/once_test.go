package once

import (
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var now = time.UnixMilli(1_700_000_000_000)

func id(t *testing.T, at time.Time) string {
	s, err := NewID(at, nil)
	qt.Assert(t, err, qt.IsNil)
	return s
}

func TestIDs(t *testing.T) {
	at, err := Issued(id(t, now))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, at.Equal(now), qt.IsTrue)
	for _, bad := range []string{"", "x", "1-", "1-short", "-abcdefgh", "0-abcdefgh", "1-ABCDEFGH", "1-" + strings.Repeat("a", 65), "é-abcdefgh"} {
		_, err := Issued(bad)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", bad))
	}
}

func TestAdmit(t *testing.T) {
	tab := New(now.Add(-time.Minute))
	tests := []struct {
		name string
		at   time.Time
		want Verdict
	}{
		{"fresh", now, VerdictRun},
		{"within skew", now.Add(Skew), VerdictRun},
		{"future", now.Add(Skew + time.Millisecond), VerdictFuture},
		{"before the table", now.Add(-2 * time.Minute), VerdictUnknown},
		{"before the window", now.Add(-Window - time.Millisecond), VerdictTooOld},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, tab.Admit(now, id(t, test.at)).Verdict, qt.Equals, test.want)
		})
	}
}

func TestRepeats(t *testing.T) {
	tab := New(time.Time{})
	a := id(t, now)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictRun)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictRunning)
	tab.Forget(a)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictRun)
	tab.Finish(a, &Answer{Status: 201})
	d := tab.Admit(now, a)
	qt.Assert(t, d.Verdict, qt.Equals, VerdictAnswered)
	qt.Assert(t, d.Answer.Status, qt.Equals, 201)
	tab.Forget(a)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictAnswered)
	// An id is forgotten only when it would be refused as too old anyway.
	tab.sweep(now.Add(Window + time.Second))
	qt.Assert(t, tab.Len(), qt.Equals, 0)
	qt.Assert(t, tab.Admit(now.Add(Window+time.Second), a).Verdict, qt.Equals, VerdictTooOld)
}

func TestMergedStartIsUnknown(t *testing.T) {
	tab := New(time.Time{})
	a := id(t, now)
	tab.Merge([]Entry{{ID: a, Issued: now, State: StateStarted}})
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictUnknown)
	tab.Forget(a)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictUnknown)
}

func TestNotesFence(t *testing.T) {
	n := NewNotes()
	e := []Entry{{ID: id(t, now), Issued: now}}
	qt.Assert(t, n.Keep(now, Note{Group: "g", Term: 5, Entries: e}), qt.IsFalse, qt.Commentf("no baseline stands"))
	qt.Assert(t, n.Keep(now, Note{Group: "g", Term: 5, Baseline: true}), qt.IsTrue)
	qt.Assert(t, n.Keep(now, Note{Group: "g", Term: 5, Entries: e}), qt.IsTrue)
	_, ok := n.Recall("g", 7, 4)
	qt.Assert(t, ok, qt.IsFalse)
	got, ok := n.Recall("g", 7, 5)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got.Entries, qt.HasLen, 1)
	// The old holder may start nothing more.
	qt.Assert(t, n.Keep(now, Note{Group: "g", Term: 5, Entries: e}), qt.IsFalse)
	qt.Assert(t, n.Keep(now, Note{Group: "g", Term: 6, Baseline: true}), qt.IsFalse)
	qt.Assert(t, n.Keep(now, Note{Group: "g", Term: 7, Baseline: true}), qt.IsTrue)
}

func FuzzIssued(f *testing.F) {
	f.Add("lo3k2j-abcdefgh")
	f.Fuzz(func(t *testing.T, s string) {
		if at, err := Issued(s); err == nil && at.UnixMilli() <= 0 {
			t.Fatalf("%q was issued at %s", s, at)
		}
	})
}

// BenchmarkMemory measures the memory of an id for several sizes of a table.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				tab := New(time.Time{})
				for range n {
					s, _ := NewID(now, nil)
					tab.Admit(now, s)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tab.Len()), "bytes/id")
			}
		})
	}
}
