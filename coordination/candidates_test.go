package coordination

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// Changes of the list bring every earlier version of it to the newest one. The whole list is sent to hosts whose version is unknown.
func TestChangesOfCandidates(t *testing.T) {
	c := qt.New(t)
	list, copies := newCandidates("a"), []*candidates{newCandidates()}
	change := func(host string, candidate bool) {
		list.set(host, candidate)
		copies = append(copies, list.clone())
	}
	change("b", true)
	change("c", true)
	change("b", false)
	change("b", true)
	change("a", false)
	c.Check(list.names(), qt.DeepEquals, []string{"b", "c"})
	c.Check(list.version, qt.Equals, newCandidates("c", "b").version)
	for i, have := range copies {
		d := list.since(have.version)
		c.Check(have.apply(d).names(), qt.DeepEquals, list.names(), qt.Commentf("copy %d", i))
	}
	c.Check(list.since(list.version), qt.IsNil)
	c.Check(list.since(copies[2].version).Base, qt.Equals, copies[2].version)
	c.Check(list.since(7).Base, qt.Equals, uint64(0))
	other := newCandidates("x")
	c.Check(other.apply(&CandidatesDelta{Base: 5, Added: []string{"y"}}), qt.Equals, other)
	for i := range 3 * maxCandidateChanges {
		list.set(fmt.Sprint(i), true)
	}
	c.Check(len(list.changes) <= maxCandidateChanges, qt.IsTrue)
	c.Check(list.forDocument(), qt.HasLen, 0)
	c.Check(copies[1].apply(list.since(copies[1].version)).version, qt.Equals, list.version)
}

// A host is a candidate until its process withdraws, or until the store confirms the coordinator LeaseTime after the last report.
func TestCandidatesThatLeave(t *testing.T) {
	at := now()
	report := func(process string, withdrawn bool) *Report {
		return &Report{Host: "h", Process: process, Withdrawn: withdrawn}
	}
	tests := []struct {
		name      string
		reports   []*Report
		confirmed time.Duration // after the last report
		want      bool
	}{
		{"reports", []*Report{report("h/1", false)}, 0, true},
		{"withdraws", []*Report{report("h/1", false), report("h/1", true)}, 0, false},
		{"restarts", []*Report{report("h/1", true), report("h/2", false)}, 0, true},
		{"a late report of the process before", []*Report{report("h/1", false), report("h/2", false), report("h/1", true)}, 0, true},
		{"silent, not confirmed since", []*Report{report("h/1", false)}, LeaseTime / 2, true},
		{"silent", []*Report{report("h/1", false)}, LeaseTime + time.Second, false},
	}
	for _, test := range tests {
		l := newTestLeader()
		for _, r := range test.reports {
			l.recordCandidate(r)
		}
		l.confirmedAt = at.Add(test.confirmed)
		l.removeLostCandidates(at.Add(time.Hour))
		_, listed := l.candidates.hosts["h"]
		qt.Check(t, listed, qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// A census expects the hosts that the latest list of candidates names, and those of all coordinators that are known.
func TestHostsThatMayHaveCoordinated(t *testing.T) {
	document := func(process string, term uint64, candidates ...string) *ownership.Document {
		return &ownership.Document{Coordinator: process, Term: term, Candidates: candidates}
	}
	none := knownCandidates{now: newCandidates()}
	list := func(term uint64, hosts ...string) knownCandidates {
		return knownCandidates{now: newCandidates(hosts...), term: term}
	}
	tests := []struct {
		name     string
		copied   *ownership.Document
		start    takeover
		known    knownCandidates
		expected []string
		listed   bool
	}{
		{"only the copy lists hosts", document("a/1", 3, "a", "b"), takeover{}, none, []string{"a", "b"}, true},
		{"nobody lists hosts", document("a/1", 3), takeover{}, none, []string{"a"}, false},
		{"a list after the copy", document("a/1", 3, "a", "b"), takeover{}, list(3, "a", "c"), []string{"a", "c"}, true},
		{"a list before the copy", document("a/1", 3, "a", "b"), takeover{}, list(2, "a", "c"), []string{"a", "b", "c"}, true},
		{"a coordinator that the list lacks", document("a/1", 3), takeover{coordinators: []*ownership.Document{document("n/9", 4)}}, list(3, "a", "c"), []string{"a", "c", "n"}, true},
		{"the document of the last coordinator", document("a/1", 3, "a", "b"), takeover{term: 5, document: document("d/1", 5, "d", "e")}, list(5, "a", "d"), []string{"a", "d", "e"}, true},
	}
	for _, test := range tests {
		census := newCensus(test.copied, test.start, test.known)
		qt.Check(t, census.Expected(), qt.DeepEquals, test.expected, qt.Commentf(test.name))
		for _, host := range test.expected {
			qt.Check(t, census.Complete(), qt.IsFalse, qt.Commentf(test.name))
			census.Account(host, 1)
		}
		qt.Check(t, census.Complete(), qt.Equals, test.listed, qt.Commentf(test.name))
	}
}

// A new coordinator asks hosts for lists of candidates that it does not know, once, and waits for them and for the hosts that they
// name. Earlier builds list none; one that knows of a later term leaves its coordinator unknown.
func TestReportsOfCandidates(t *testing.T) {
	c := qt.New(t)
	l := newTestLeader()
	l.member.options.StoreUnreachable, l.member.options.Feed = func() bool { return false }, startHosts(t, 1)[0].feed
	l.census = newCensus(&ownership.Document{Coordinator: "a/1", Term: 1}, takeover{stoppedHosts: map[string]uint64{"a": 1}}, knownCandidates{now: newCandidates("a"), term: 1})
	c.Assert(l.census.Complete(), qt.IsTrue)
	l.publish()
	version, before := uint64(0), newCandidates("a", "n")
	r := &Report{Host: "b", Process: "b/1", KnownCandidates: &version, CandidatesBefore: before.version, KnownTerm: 1}
	l.applyReport(r)
	reply := l.buildReply(r)
	c.Check(reply.WantsCandidates, qt.IsTrue)
	c.Check(reply.Candidates.Added, qt.DeepEquals, []string{"b"})
	c.Check(l.census.Complete(), qt.IsFalse)
	r.Candidates = before.names()
	l.applyReport(r)
	c.Check(l.buildReply(r).WantsCandidates, qt.IsFalse)
	c.Check(l.census.Missing(), qt.DeepEquals, []string{"n"})
	l.applyReport(&Report{Host: "n", Process: "n/1", KnownTerm: 1})
	c.Check(l.census.Complete(), qt.IsTrue)
	l.applyReport(&Report{Host: "old", Process: "old/1", KnownTerm: 7})
	c.Check(l.census.Complete(), qt.IsFalse)
}

// A coordinator that goes on after a restore needs reports of the hosts of before; hosts that have joined since do not count. A host
// that has restarted knows no earlier term, although its process before may have coordinated.
func TestHostsThatJoinAfterARestore(t *testing.T) {
	c := qt.New(t)
	l := newTestLeader()
	l.restoredAt = now().Add(-verifyGrace - time.Second)
	l.hostsAtRestore = []string{"a", "b", "c"}
	for _, host := range []string{"d", "e", "f", "g", "h"} {
		l.recordCandidate(&Report{Host: host, Process: host + "/1"})
	}
	c.Check(l.verifyLocked(1), qt.ErrorIs, errUnverified)
	l.recordCandidate(&Report{Host: "a", Process: "a/1"})
	l.recordCandidate(&Report{Host: "b", Process: "b/1"})
	c.Check(l.verifyLocked(1), qt.IsNil)

	census := ownership.NewCensus()
	census.ExpectCandidates([]string{"a"})
	census.Account("a", 0)
	_, sure := census.LatestTerm()
	c.Check(sure, qt.IsFalse)
	census.Account("a", 4)
	latest, sure := census.LatestTerm()
	c.Check(latest == 4 && sure, qt.IsTrue)
}

// A coordinator whose lease has expired knows all owners. Asked in a later era it ends its term and says so; before, no key had an
// owner for 13 s after an outage with a restore, as it said nothing until it had read the store itself.
func TestExpiredCoordinatorAnswersWithItsDocument(t *testing.T) {
	tests := []struct {
		name    string
		expired bool
		era     uint64
		led     bool
	}{
		{"lease is valid", false, 2, false},
		{"lease has expired", true, 2, true},
		{"the store was not restored", true, 1, false},
		{"an earlier build asks", true, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := startHosts(t, 1)[0]
			h.store.Store(platform.NewClient(ports.Free(t)))
			l := h.currentLeader()
			l.mu.Lock()
			if test.expired {
				l.confirmedAt = now().Add(-LeaseTime)
			}
			own := l.core.Document().Term
			l.mu.Unlock()
			r := h.newest(test.era)
			c.Check(r.Leading != nil, qt.Equals, !test.expired)
			c.Check(r.Led != nil && r.Led.Term == own, qt.Equals, test.led)
			c.Check(r.Stopped, qt.Equals, test.led)
			c.Check(l.hasEnded(), qt.Equals, test.led)
		})
	}
}

// A host that is asked in a later era than its document's promises to send no orders of earlier ones, unless it coordinates.
func TestOnlyStoppedHostsSaySo(t *testing.T) {
	c := qt.New(t)
	hosts := startHosts(t, 2)
	for _, h := range hosts {
		r := h.newest(platform.FirstEra + 1)
		c.Check(r.Stopped, qt.Equals, !h.Leading())
		c.Check(r.Leading != nil, qt.Equals, h.Leading())
		c.Check(h.newest(0).Stopped, qt.IsFalse, qt.Commentf("an earlier build asks"))
	}
}
