// Package host keeps a daemon's view of the other daemons.
//
// A View is a plain state machine: the platform's lagging list, heartbeats and
// the time come in. A wrong view may cost time, never safety: safety comes from
// terms and grants alone.
//
// # Usage
//
//	v := host.New(self, host.DefaultTiming(), now)
//	v.Listed(now, peers)            // the platform's list
//	v.Heard(now, peer, holdings, interval) // a heartbeat
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

// A Host is one daemon.
type Host struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Control    netip.AddrPort `json:"control"`
	Forward    netip.AddrPort `json:"forward"`
	// Incarnation identifies one life of the daemon.
	Incarnation uint32 `json:"incarnation"`
	// Leaving says that the daemon is shutting down.
	Leaving bool `json:"leaving"`
}

// A Holding is a group that a daemon holds under a term.
type Holding struct {
	Group string     `json:"group"`
	Term  grant.Term `json:"term"`
}

// A Timing holds the periods of membership.
type Timing struct {
	// Interval is the time between two heartbeats to the daemons that would
	// take over a group that the sender holds.
	Interval time.Duration
	// Slow is the time between two heartbeats to all others.
	Slow time.Duration
	// Settle is how long a new daemon listens before it seeks a group.
	Settle time.Duration
	// BackOff is the time by which each further candidate waits.
	BackOff time.Duration
}

// suspicion returns the silence after which a daemon counts as lost that
// promised a heartbeat at an interval.
func suspicion(interval time.Duration) time.Duration { return interval * 5 / 2 }

// DefaultTiming returns the timing that finds a lost holder within 350 ms.
func DefaultTiming() Timing {
	return Timing{
		Interval: 100 * time.Millisecond,
		Slow:     time.Second,
		Settle:   400 * time.Millisecond,
		BackOff:  200 * time.Millisecond,
	}
}

type member struct {
	host     Host
	heard    time.Time
	interval time.Duration
	since    time.Time
	holdings []Holding
	listed   bool
}

// A View is what a daemon believes of the others. It is not safe for concurrent use.
type View struct {
	self    Host
	timing  Timing
	started time.Time
	members map[string]*member
	vacant  map[string]time.Time
}

// New returns the view of a daemon that knows nobody.
func New(self Host, timing Timing, now time.Time) *View {
	return &View{
		self:    self,
		timing:  timing,
		started: now,
		members: map[string]*member{},
		vacant:  map[string]time.Time{},
	}
}

// Self returns the daemon itself.
func (v *View) Self() Host { return v.self }

// Leave marks the daemon itself as leaving.
func (v *View) Leave() { v.self.Leaving = true }

// Listed takes the platform's list. Hosts that are on it are worth a heartbeat;
// hosts that are gone from it and silent are forgotten.
func (v *View) Listed(now time.Time, hosts []Host) {
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

// Heard takes a heartbeat that promises the next within an interval. It
// returns whether the daemon was not known alive.
func (v *View) Heard(now time.Time, h Host, holdings []Holding, interval time.Duration) bool {
	if h.Name == v.self.Name {
		return false
	}
	m, ok := v.members[h.Name]
	if !ok {
		m = &member{}
		v.members[h.Name] = m
	}
	fresh := !v.alive(now, m) || m.host.Incarnation != h.Incarnation
	if fresh {
		m.since = now
	}
	m.host = h
	m.heard = now
	m.interval = interval
	m.holdings = holdings
	return fresh
}

func (v *View) alive(now time.Time, m *member) bool {
	return !m.heard.IsZero() && now.Sub(m.heard) <= suspicion(m.interval)
}

// IsAlive reports whether a daemon is believed alive.
func (v *View) IsAlive(now time.Time, name string) bool {
	m, ok := v.members[name]
	return name == v.self.Name || ok && v.alive(now, m)
}

// Lost marks a daemon as lost on better evidence than silence, such as a refused connection.
func (v *View) Lost(name string) {
	if m, ok := v.members[name]; ok {
		m.heard = time.Time{}
		m.holdings = nil
	}
}

// Known returns all daemons that are worth a heartbeat, by name.
func (v *View) Known() []Host {
	out := make([]Host, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m.host)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Alive returns the daemons that are believed alive, itself included, by name.
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

// Candidates returns the daemons that may hold a group, best first: those in
// the preferred data centres come first, then rendezvous order decides.
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
		return preference(out[i], dataCentres) < preference(out[j], dataCentres)
	})
	return out
}

func preference(h Host, dataCentres []string) int {
	if i := slices.Index(dataCentres, h.DataCentre); i >= 0 {
		return i
	}
	return len(dataCentres)
}

// Holder returns the daemon that is believed to hold a group: the one that
// claims it under the highest term, or else the first candidate.
func (v *View) Holder(now time.Time, group string, dataCentres []string) (Host, bool) {
	if h, _, ok := v.claimed(now, group); ok {
		return h, true
	}
	cs := v.Candidates(now, group, dataCentres)
	if len(cs) == 0 {
		return Host{}, false
	}
	return cs[0], true
}

func (v *View) claimed(now time.Time, group string) (Host, grant.Term, bool) {
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

// ClaimedTerm returns the highest term under which another live daemon claims a group; 0 when none does.
func (v *View) ClaimedTerm(now time.Time, group string) grant.Term {
	_, term, _ := v.claimed(now, group)
	return term
}

// ShouldSeek reports whether the daemon shall seek a group that it does not hold.
func (v *View) ShouldSeek(now time.Time, group string, dataCentres []string) bool {
	if v.self.Leaving || now.Sub(v.started) < v.timing.Settle {
		return false
	}
	if _, _, ok := v.claimed(now, group); ok {
		delete(v.vacant, group)
		return false
	}
	since, ok := v.vacant[group]
	if !ok {
		since = now
		v.vacant[group] = now
	}
	for i, h := range v.Candidates(now, group, dataCentres) {
		if h.Name == v.self.Name {
			return now.Sub(since) >= time.Duration(i)*v.timing.BackOff
		}
	}
	return false
}

// A PeerState is the dump of one peer.
type PeerState struct {
	Host     Host      `json:"host"`
	Alive    bool      `json:"alive"`
	Listed   bool      `json:"listed"`
	Holdings []Holding `json:"holdings"`
}

// Dump returns the state of all peers, by name.
func (v *View) Dump(now time.Time) []PeerState {
	out := make([]PeerState, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, PeerState{Host: m.host, Alive: v.alive(now, m), Listed: m.listed, Holdings: m.holdings})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host.Name < out[j].Host.Name })
	return out
}
