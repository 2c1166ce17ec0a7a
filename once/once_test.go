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

func TestIssuedAt(t *testing.T) {
	at, err := IssuedAt(id(t, now))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, at.Equal(now), qt.IsTrue)
	for _, bad := range []string{"", "x", "1-", "1-short", "-abcdefgh", "0-abcdefgh", "1-ABCDEFGH", "1-" + strings.Repeat("a", 65), "é-abcdefgh"} {
		_, err := IssuedAt(bad)
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
		{"new id", now, VerdictRun},
		{"within clock skew", now.Add(MaxClockSkew), VerdictRun},
		{"beyond clock skew", now.Add(MaxClockSkew + time.Millisecond), VerdictInFuture},
		{"issued before the table is complete", now.Add(-2 * time.Minute), VerdictUnknown},
		{"issued before the retention window", now.Add(-RetentionWindow - time.Millisecond), VerdictTooOld},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, tab.Admit(now, id(t, test.at)).Verdict, qt.Equals, test.want)
		})
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		id   string
		want Verdict
	}{
		{"malformed", "17", VerdictMalformed},
		{"new id", id(t, now), VerdictRun},
		{"within clock skew", id(t, now.Add(MaxClockSkew)), VerdictRun},
		{"beyond clock skew", id(t, now.Add(MaxClockSkew+time.Millisecond)), VerdictInFuture},
		{"at the start of the retention window", id(t, now.Add(-RetentionWindow)), VerdictRun},
		{"before the retention window", id(t, now.Add(-RetentionWindow-time.Millisecond)), VerdictTooOld},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, Check(now, test.id), qt.Equals, test.want)
		})
	}
}

func TestAdmitDuplicate(t *testing.T) {
	tab := New(time.Time{})
	a := id(t, now)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictRun)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictRunning)
	tab.RemoveStarted(a)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictRun)
	tab.Finish(a, &Response{Status: 201})
	d := tab.Admit(now, a)
	qt.Assert(t, d.Verdict, qt.Equals, VerdictCompleted)
	qt.Assert(t, d.Response.Status, qt.Equals, 201)
	tab.RemoveStarted(a)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictCompleted)
	// An id is removed only once Admit rejects it as too old without an entry.
	tab.removeExpired(now.Add(RetentionWindow + time.Second))
	qt.Assert(t, tab.Len(), qt.Equals, 0)
	qt.Assert(t, tab.Admit(now.Add(RetentionWindow+time.Second), a).Verdict, qt.Equals, VerdictTooOld)
}

func TestMergedStartedEntryIsUnknown(t *testing.T) {
	tab := New(time.Time{})
	a := id(t, now)
	tab.Merge([]Entry{{ID: a, IssuedAt: now, State: StateStarted}})
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictUnknown)
	tab.RemoveStarted(a)
	qt.Assert(t, tab.Admit(now, a).Verdict, qt.Equals, VerdictUnknown)
}

func TestFenceAndReadFencesLowerTerms(t *testing.T) {
	replicas := NewReplicas()
	e := []Entry{{ID: id(t, now), IssuedAt: now}}
	qt.Assert(t, replicas.Apply(now, Update{Group: "g", Term: 5, Entries: e}), qt.IsFalse, qt.Commentf("update before the whole table of its term"))
	qt.Assert(t, replicas.Apply(now, Update{Group: "g", Term: 5, Full: true}), qt.IsTrue)
	qt.Assert(t, replicas.Apply(now, Update{Group: "g", Term: 5, Entries: e}), qt.IsTrue)
	_, ok := replicas.FenceAndRead("g", 7, 4)
	qt.Assert(t, ok, qt.IsFalse)
	got, ok := replicas.FenceAndRead("g", 7, 5)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got.Entries, qt.HasLen, 1)
	// Updates of terms below 7 are fenced: the old holder can start no more requests.
	qt.Assert(t, replicas.Apply(now, Update{Group: "g", Term: 5, Entries: e}), qt.IsFalse)
	qt.Assert(t, replicas.Apply(now, Update{Group: "g", Term: 6, Full: true}), qt.IsFalse)
	qt.Assert(t, replicas.Apply(now, Update{Group: "g", Term: 7, Full: true}), qt.IsTrue)
}

func FuzzIssuedAt(f *testing.F) {
	f.Add("lo3k2j-abcdefgh")
	f.Fuzz(func(t *testing.T, s string) {
		if at, err := IssuedAt(s); err == nil && at.UnixMilli() <= 0 {
			t.Fatalf("%q was issued at %s", s, at)
		}
	})
}

// BenchmarkMemory measures the memory per id for several table sizes.
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
