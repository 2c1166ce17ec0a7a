package coordination

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/redwingtally/redwingtally/ownership"
)

// This file keeps the names of the candidates, the hosts whose processes may coordinate. A process that takes over from a copy of
// the store has to know them: any of them may have coordinated since the copy was made, and may still send orders. The
// coordinator lists the hosts that report to it and sends the list, or its changes, with its replies. A host leaves the list if its
// process has withdrawn, or if the store has confirmed the coordinator LeaseTime after its last report.

const (
	// maxCandidateChanges is the number of changes of the list that a coordinator keeps. A host that lacks more gets the whole list.
	maxCandidateChanges = 512
	// maxDocumentCandidates is the maximum number of candidates that the document names.
	maxDocumentCandidates = 1024
	// candidatesCheckInterval is the time between two checks for candidates that are lost.
	candidatesCheckInterval = 500 * time.Millisecond
)

// A CandidatesDelta lists the candidates or their changes.
type CandidatesDelta struct {
	// Base is the version to which the changes apply. If it is 0, Added lists all candidates.
	Base    uint64   `json:"base,omitempty"`
	Version uint64   `json:"version"`
	Added   []string `json:"added,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// candidates is a set of host names. Its version follows from the names, so that it is the same with any coordinator; that of
// the empty set is 0.
type candidates struct {
	hosts   map[string]struct{}
	version uint64
	changes []candidateChange // the latest ones, oldest first
}

// candidateChange is a host that was added or removed, with the version before.
type candidateChange struct {
	host   string
	added  bool
	before uint64
}

// newCandidates returns a set of hosts.
func newCandidates(hosts ...string) *candidates {
	c := &candidates{hosts: map[string]struct{}{}}
	for _, host := range hosts {
		c.set(host, true)
	}
	return c
}

// set adds or removes a host.
func (c *candidates) set(host string, candidate bool) {
	if _, have := c.hosts[host]; have == candidate || host == "" {
		return
	}
	c.changes = append(c.changes, candidateChange{host, candidate, c.version})
	if len(c.changes) > maxCandidateChanges {
		c.changes = slices.Clone(c.changes[maxCandidateChanges/2:])
	}
	if candidate {
		c.hosts[host] = struct{}{}
		c.version += hashString(hashSeed, host)
	} else {
		delete(c.hosts, host)
		c.version -= hashString(hashSeed, host)
	}
}

// names returns the hosts, sorted.
func (c *candidates) names() []string { return slices.Sorted(maps.Keys(c.hosts)) }

// clone returns a copy without the changes.
func (c *candidates) clone() *candidates {
	return &candidates{hosts: maps.Clone(c.hosts), version: c.version}
}

// since returns what a host lacks that has a version of the list, or nil if it lacks nothing.
func (c *candidates) since(version uint64) *CandidatesDelta {
	if version == c.version {
		return nil
	}
	for i := len(c.changes) - 1; i >= 0 && version != 0; i-- {
		if c.changes[i].before != version {
			continue
		}
		d := &CandidatesDelta{Base: version, Version: c.version}
		last := map[string]bool{}
		for _, change := range c.changes[i:] {
			last[change.host] = change.added
		}
		for _, host := range slices.Sorted(maps.Keys(last)) {
			if last[host] {
				d.Added = append(d.Added, host)
			} else {
				d.Removed = append(d.Removed, host)
			}
		}
		return d
	}
	return &CandidatesDelta{Version: c.version, Added: c.names()}
}

// apply returns the set after a delta, or c itself if the delta does not apply to it.
func (c *candidates) apply(d *CandidatesDelta) *candidates {
	if d == nil || d.Base != 0 && d.Base != c.version {
		return c
	}
	out := c.clone()
	if d.Base == 0 {
		out = newCandidates()
	}
	for _, host := range d.Added {
		out.set(host, true)
	}
	for _, host := range d.Removed {
		out.set(host, false)
	}
	return out
}

// hostOf returns the host of a process.
func hostOf(process string) string {
	if i := strings.LastIndexByte(process, '/'); i >= 0 {
		return process[:i]
	}
	return process
}

// knownCandidates is what a host knows of candidates. The sets are not modified.
type knownCandidates struct {
	now    *candidates // listed by the coordinator, and the hosts of coordinators that it has followed since
	term   uint64      // of the coordinator that last listed them; 0 if none has
	before *candidates // now, at the time when it began to follow this coordinator, or to coordinate
	wanted bool        // the coordinator lacks before
}

// begin records that the host begins to follow a coordinator, or to be it, whose host is a candidate.
func (k *knownCandidates) begin(host string) {
	k.before, k.wanted = k.now, false
	k.now = k.now.clone()
	k.now.set(host, true)
}

// addCandidates adds to a report what this host knows of candidates.
func (m *Member) addCandidates(r *Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	version := m.candidates.now.version
	r.KnownCandidates, r.CandidatesBefore, r.Withdrawn = &version, m.candidates.before.version, m.withdrawn
	if m.candidates.wanted {
		r.Candidates = m.candidates.before.names()
	}
}

// applyCandidates applies the candidates of a reply of the coordinator of a term. The caller holds m.mu.
func (m *Member) applyCandidates(term uint64, r *Reply) {
	k := &m.candidates
	k.wanted = r.WantsCandidates
	if r.CandidatesVersion == 0 { // of an earlier build
		return
	}
	k.now = k.now.apply(r.Candidates)
	if k.now.version == r.CandidatesVersion {
		k.term = term
	}
}

// withdraw makes this process send no orders any more, whatever happens, and tells the coordinator so.
func (m *Member) withdraw() {
	m.mu.Lock()
	m.yieldTerm, m.withdrawn = math.MaxUint64, true
	l := m.leader
	m.mu.Unlock()
	if l != nil {
		l.end() // the next coordinator learns of it by the first report
		return
	}
	m.ReportNow()
}

// recordCandidate updates the candidates with a report. The caller holds l.mu.
func (l *leader) recordCandidate(r *Report) {
	before, known := l.reporters[r.Host]
	after := reporter{process: r.Process, reportedAt: now(), knownTerm: r.KnownTerm}
	if r.Withdrawn && known && before.process != r.Process {
		after.process = before.process // a later process of the host is a candidate
	} else {
		l.candidates.set(r.Host, !r.Withdrawn)
	}
	l.reporters[r.Host] = after
}

// addToCensus updates the census with a report. Hosts on the sender's list become candidates, so that a successor expects them
// too. The caller holds l.mu.
func (l *leader) addToCensus(r *Report) {
	if l.census == nil {
		return
	}
	l.census.Account(r.Host, r.KnownTerm)
	switch {
	case r.KnownCandidates == nil:
		l.census.NoList(r.KnownTerm)
	case len(r.Candidates) > 0:
		l.census.AddList(r.CandidatesBefore, r.Candidates)
		for _, host := range r.Candidates {
			if _, reported := l.reporters[host]; !reported {
				l.candidates.set(host, true)
			}
		}
	}
}

// wantsCandidates reports whether the census lacks the candidates that the sender of a report knew before it followed this
// process. The caller holds l.mu.
func (l *leader) wantsCandidates(r *Report) bool {
	return l.census != nil && r.KnownCandidates != nil && r.CandidatesBefore != 0 && !l.census.KnowsList(r.CandidatesBefore)
}

// removeLostCandidates removes the candidates that had not reported for LeaseTime when the store last confirmed this process:
// none of them coordinated then. The caller holds l.mu.
func (l *leader) removeLostCandidates(t time.Time) {
	if t.Sub(l.candidatesCheckedAt) < candidatesCheckInterval {
		return
	}
	l.candidatesCheckedAt = t
	for host := range l.candidates.hosts {
		last := l.startedAt
		if r, ok := l.reporters[host]; ok {
			last = r.reportedAt
		}
		if host != l.member.options.Host && l.confirmedAt.Sub(last) > LeaseTime {
			l.candidates.set(host, false)
		}
	}
}

// unreported returns how many candidates have not reported in this term. The caller holds l.mu.
func (l *leader) unreported() int {
	n := 0
	for host := range l.candidates.hosts {
		if _, ok := l.reporters[host]; !ok && host != l.member.options.Host {
			n++
		}
	}
	return n
}

// forDocument returns the names for the document, or nil if they are too many.
func (c *candidates) forDocument() []string {
	if len(c.hosts) > maxDocumentCandidates {
		return nil
	}
	return c.names()
}

// predecessors returns a census of the processes that may have coordinated before this one takes over, and the candidates at the
// begin of its term. The census is needed if this process takes over from a copy of the store, or from a process that did so and whose
// document is still incomplete. old is the document in the store.
func (m *Member) predecessors(old *ownership.Document, start takeover) (*ownership.Census, *candidates) {
	m.mu.Lock()
	known := m.candidates
	m.mu.Unlock()
	census := newCensus(old, start, known)
	hosts := newCandidates(append(census.Expected(), m.options.Host)...)
	for host := range known.now.hosts {
		hosts.set(host, true)
	}
	return census, hosts
}

// newCensus returns a census of the processes that may have coordinated before. known is what this host knows of candidates.
func newCensus(old *ownership.Document, start takeover, known knownCandidates) *ownership.Census {
	c := ownership.NewCensus()
	for _, d := range append(slices.Clone(start.coordinators), old) {
		if d != nil && d.Coordinator != "" {
			c.ExpectCoordinator(hostOf(d.Coordinator), d.Term)
		}
	}
	// A coordinator has accounted for the hosts that it no longer lists, so that its list replaces earlier ones.
	switch {
	case start.term > 0 && start.term >= known.term && len(start.document.Candidates) > 0:
		c.ExpectCandidates(start.document.Candidates)
		c.AddList(known.now.version, nil)
	case known.term > 0 && (old == nil || known.term >= old.Term):
		c.ExpectCandidates(known.now.names())
		c.AddList(known.now.version, nil)
	default:
		c.AddList(known.now.version, known.now.names())
		if old != nil {
			c.ExpectCandidates(old.Candidates)
		}
	}
	for host, term := range start.stoppedHosts {
		c.Account(host, term)
	}
	return c
}
