// Package host implements a daemon's view of the other daemons.
//
// A View is a deterministic state machine without I/O. Its inputs are the
// platform's list of hosts, which lags behind, the heartbeats and the current
// time. A wrong view can delay requests but cannot violate safety, which rests
// on terms and grants alone.
//
// # Usage
//
//	v := host.NewView(self, host.DefaultTiming(), now)
//	v.UpdateListed(now, hosts)                        // the platform's list
//	v.ReceiveHeartbeat(now, peer, holdings, interval) // a heartbeat
//	holder, ok := v.Holder(now, "stockroom", nil)
package host

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/placement"
)

// A Host identifies a daemon and its addresses.
type Host struct {
	Name           string         `json:"name"`
	DataCentre     string         `json:"data_centre"`
	ControlAddress netip.AddrPort `json:"control"`
	ForwardAddress netip.AddrPort `json:"forward"`
	// Incarnation identifies one start of the daemon.
	Incarnation uint32 `json:"incarnation"`
	// Leaving reports whether the daemon is shutting down.
	Leaving bool `json:"leaving"`
}

// A Holding is a group held by a daemon under a term.
type Holding struct {
	Group string     `json:"group"`
	Term  grant.Term `json:"term"`
}

// Timing holds the intervals and delays of membership.
type Timing struct {
	// FastInterval is the time between two heartbeats to the successors of the
	// sender's groups.
	FastInterval time.Duration
	// SlowInterval is the time between two heartbeats to all other daemons.
	SlowInterval time.Duration
	// SettleTime is the time after its start during which a daemon receives
	// heartbeats but does not acquire groups.
	SettleTime time.Duration
	// CandidateDelay is the additional time that each further candidate waits
	// before it acquires a group without a holder.
	CandidateDelay time.Duration
}

// suspicionTimeout returns the time without a heartbeat after which a daemon that
// announced the interval is considered lost.
func suspicionTimeout(interval time.Duration) time.Duration { return interval * 5 / 2 }

// DefaultTiming returns a timing that detects a lost holder within 350 ms.
func DefaultTiming() Timing {
	return Timing{
		FastInterval:   100 * time.Millisecond,
		SlowInterval:   time.Second,
		SettleTime:     400 * time.Millisecond,
		CandidateDelay: 200 * time.Millisecond,
	}
}

// member is the state of another daemon.
type member struct {
	host Host
	// lastHeartbeat is the time of the last heartbeat, or zero if there was none or
	// the daemon was marked as lost since.
	lastHeartbeat time.Time
	// interval is the interval announced by the last heartbeat.
	interval time.Duration
	// aliveSince is the time at which the daemon was last found alive or restarted.
	aliveSince time.Time
	holdings   []Holding
	// listed reports whether the platform's last list contains the daemon.
	listed bool
}

// A View is a daemon's view of the other daemons. It is not safe for concurrent use.
type View struct {
	self    Host
	timing  Timing
	started time.Time
	members map[string]*member
	// unheldSince maps each group without a holder to the time at which this was
	// first observed.
	unheldSince map[string]time.Time
}

// NewView returns a View without members.
func NewView(self Host, timing Timing, now time.Time) *View {
	return &View{
		self:        self,
		timing:      timing,
		started:     now,
		members:     map[string]*member{},
		unheldSince: map[string]time.Time{},
	}
}

// Self returns the local daemon.
func (v *View) Self() Host { return v.self }

// MarkLeaving marks the local daemon as leaving.
func (v *View) MarkLeaving() { v.self.Leaving = true }

// UpdateListed processes the platform's list of hosts. It adds the listed hosts as
// members and removes members that are neither listed nor alive.
func (v *View) UpdateListed(now time.Time, hosts []Host) {
	for _, m := range v.members {
		m.listed = false
	}
	for _, h := range hosts {
		if h.Name == v.self.Name {
			continue
		}
		m, ok := v.members[h.Name]
		if !ok {
			m = &member{host: h}
			v.members[h.Name] = m
		}
		m.listed = true
	}
	for n, m := range v.members {
		if !m.listed && !v.alive(now, m) {
			delete(v.members, n)
		}
	}
}

// ReceiveHeartbeat processes a heartbeat that announces the next within an interval. It
// reports whether the daemon was not considered alive before or has restarted.
func (v *View) ReceiveHeartbeat(now time.Time, h Host, holdings []Holding, interval time.Duration) bool {
	if h.Name == v.self.Name {
		return false
	}
	m, ok := v.members[h.Name]
	if !ok {
		m = &member{}
		v.members[h.Name] = m
	}
	appeared := !v.alive(now, m) || m.host.Incarnation != h.Incarnation
	if appeared {
		m.aliveSince = now
	}
	m.host = h
	m.lastHeartbeat = now
	m.interval = interval
	m.holdings = holdings
	return appeared
}

// alive reports whether a member's last heartbeat is recent enough.
func (v *View) alive(now time.Time, m *member) bool {
	return !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) <= suspicionTimeout(m.interval)
}

// IsAlive reports whether a daemon is considered alive.
func (v *View) IsAlive(now time.Time, name string) bool {
	m, ok := v.members[name]
	return name == v.self.Name || ok && v.alive(now, m)
}

// MarkUnreachable marks a daemon as lost before its heartbeats are overdue, for
// example after a refused connection.
func (v *View) MarkUnreachable(name string) {
	if m, ok := v.members[name]; ok {
		m.lastHeartbeat = time.Time{}
		m.holdings = nil
	}
}

// Members returns all members, alive or listed by the platform, sorted by name.
func (v *View) Members() []Host {
	out := make([]Host, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m.host)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Alive returns the daemons considered alive, including the local one, sorted
// by name.
func (v *View) Alive(now time.Time) []Host {
	out := []Host{v.self}
	for _, m := range v.members {
		if v.alive(now, m) {
			out = append(out, m.host)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Candidates returns the daemons eligible to hold a group, best first. They are
// ordered by preference of their data centre, then by rendezvous hashing.
// Daemons that are leaving are excluded.
func (v *View) Candidates(now time.Time, group string, dataCentres []string) []Host {
	byName := map[string]Host{}
	var names []string
	for _, h := range v.Alive(now) {
		if !h.Leaving {
			byName[h.Name] = h
			names = append(names, h.Name)
		}
	}
	out := make([]Host, 0, len(names))
	for _, n := range placement.RankDaemons(group, names) {
		out = append(out, byName[n])
	}
	sort.SliceStable(out, func(i, j int) bool {
		return dataCentreRank(out[i], dataCentres) < dataCentreRank(out[j], dataCentres)
	})
	return out
}

// dataCentreRank returns the index of a host's data centre in dataCentres, or the
// length of dataCentres if it is not listed.
func dataCentreRank(h Host, dataCentres []string) int {
	if i := slices.Index(dataCentres, h.DataCentre); i >= 0 {
		return i
	}
	return len(dataCentres)
}

// Holder returns the presumed holder of a group: the live daemon that claims it
// under the highest term, or else the first candidate.
func (v *View) Holder(now time.Time, group string, dataCentres []string) (Host, bool) {
	if h, _, ok := v.claimant(now, group); ok {
		return h, true
	}
	cs := v.Candidates(now, group, dataCentres)
	if len(cs) == 0 {
		return Host{}, false
	}
	return cs[0], true
}

// claimant returns the live daemon, other than the local one, that claims a group
// under the highest term, and that term.
func (v *View) claimant(now time.Time, group string) (Host, grant.Term, bool) {
	var best Host
	var term grant.Term
	for _, m := range v.members {
		if !v.alive(now, m) {
			continue
		}
		for _, h := range m.holdings {
			if h.Group == group && h.Term > term {
				best, term = m.host, h.Term
			}
		}
	}
	return best, term, term > 0
}

// ClaimedTerm returns the highest term under which another live daemon claims a
// group, or 0 if none does.
func (v *View) ClaimedTerm(now time.Time, group string) grant.Term {
	_, term, _ := v.claimant(now, group)
	return term
}

// ShouldAcquire reports whether the local daemon should acquire a group that it
// does not hold: no other live daemon claims the group, and the delay granted to
// better candidates has passed.
func (v *View) ShouldAcquire(now time.Time, group string, dataCentres []string) bool {
	if v.self.Leaving || now.Sub(v.started) < v.timing.SettleTime {
		return false
	}
	if _, _, ok := v.claimant(now, group); ok {
		delete(v.unheldSince, group)
		return false
	}
	since, ok := v.unheldSince[group]
	if !ok {
		since = now
		v.unheldSince[group] = now
	}
	for i, h := range v.Candidates(now, group, dataCentres) {
		if h.Name == v.self.Name {
			return now.Sub(since) >= time.Duration(i)*v.timing.CandidateDelay
		}
	}
	return false
}

// A PeerState is the state of one peer in the state dump.
type PeerState struct {
	Host     Host      `json:"host"`
	Alive    bool      `json:"alive"`
	Listed   bool      `json:"listed"`
	Holdings []Holding `json:"holdings"`
}

// Dump returns the state of all peers, sorted by name.
func (v *View) Dump(now time.Time) []PeerState {
	out := make([]PeerState, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, PeerState{Host: m.host, Alive: v.alive(now, m), Listed: m.listed, Holdings: m.holdings})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host.Name < out[j].Host.Name })
	return out
}
