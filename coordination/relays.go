package coordination

import (
	"net/netip"
	"slices"
	"time"
)

// This file selects the relays of each host. Each host gets a list of its own, so that many cut-off hosts use different
// relays. The lists follow from the usable relays by rendezvous hashing: they change little when hosts come and go, and
// are the same with any coordinator.

const (
	// maxRelays bounds the list of relays of a host.
	maxRelays = 8
	// relaySettleTime is how long a new coordinator sends no list to hosts that have one, unless all hosts have reported.
	// Each host reports to it within about a second.
	relaySettleTime = time.Second
)

// addRelayState adds to a report what the coordinator must know to choose relays.
func (m *Member) addRelayState(r *Report) {
	o := &m.options
	r.RelayAddress, r.DataCentre, r.CutOff = o.RelayAddress, o.DataCentre, m.cutOff()
	r.AcceptsRelayed = o.AcceptsRelayed != nil && o.AcceptsRelayed()
	r.KnownRelays = m.State().relaysVersion
}

// relaysAfter returns the relays and their version after a reply. A reply without a list does not change them.
func (s *State) relaysAfter(r *Reply) ([]Relay, uint64) {
	if r.RelaysVersion == 0 {
		return s.Relays, s.relaysVersion
	}
	return r.Relays, r.RelaysVersion
}

// relayState is what a host reports about relaying, with the list that was last selected for it.
type relayState struct {
	self     Relay // the host itself; without an address if it relays no requests
	hostHash uint64
	hash     uint64 // of all fields of self
	cutOff   bool
	accepts  bool
	replaced bool // another process of the host reports
	list     relayList
}

// usable reports whether other hosts may relay requests to the host.
func (r *relayState) usable() bool {
	return r.self.Address.IsValid() && r.accepts && !r.cutOff && !r.replaced
}

// newRelayState returns the state that a report contains.
func newRelayState(r *Report) relayState {
	s := relayState{
		self:   Relay{Host: r.Host, Address: r.RelayAddress, DataCentre: r.DataCentre},
		cutOff: r.CutOff, accepts: r.AcceptsRelayed, hostHash: hashString(hashSeed, r.Host),
	}
	s.hash = hashString(hashString(s.hostHash, r.DataCentre), r.RelayAddress.String())
	return s
}

// relayList is the list of relays of one host.
type relayList struct {
	relays  []Relay
	version uint64 // 0 if none has been selected
	set     uint64 // version of the set that it was selected from
}

// noRelaysVersion is the version of an empty list.
const noRelaysVersion = hashSeed

// relaySet holds the relays that are usable at a time. It is not modified.
type relaySet struct {
	version   uint64
	relays    []*relayState
	addresses map[string]netip.AddrPort // by host
}

// usableRelays returns the usable relays among the hosts, or old if these are the same.
func (l *leader) usableRelays(names []string, old *relaySet) *relaySet {
	s := &relaySet{version: noRelaysVersion}
	for _, name := range names {
		if h := l.hosts[name]; h.usable() {
			s.version = mix(s.version ^ h.hash)
			s.relays = append(s.relays, &h.relayState)
		}
	}
	if old != nil && old.version == s.version {
		return old
	}
	s.addresses = make(map[string]netip.AddrPort, len(s.relays))
	for _, r := range s.relays {
		s.addresses[r.self.Host] = r.self.Address
	}
	return s
}

// listFor selects the relays of a host: half of them from its own data centre, if that has as many, and the others
// from other data centres. Those of its own data centre come first.
func (s *relaySet) listFor(host *relayState) relayList {
	var near, far ranking
	for _, r := range s.relays {
		switch {
		case r.self.Host == host.self.Host:
		case r.self.DataCentre == host.self.DataCentre:
			near.add(r, mix(host.hostHash^r.hostHash))
		default:
			far.add(r, mix(host.hostHash^r.hostHash))
		}
	}
	nearCount := min(near.n, max(maxRelays/2, maxRelays-far.n))
	farCount := min(far.n, maxRelays-nearCount)
	out := relayList{version: noRelaysVersion, set: s.version, relays: make([]Relay, 0, nearCount+farCount)}
	for _, r := range slices.Concat(near.relays[:nearCount], far.relays[:farCount]) {
		out.relays = append(out.relays, r.self)
		out.version = mix(out.version ^ r.hash)
	}
	return out
}

// ranking holds the relays with the highest scores, in descending order.
type ranking struct {
	n      int
	relays [maxRelays]*relayState
	scores [maxRelays]uint64
}

// add inserts a relay if its score is among the highest.
func (k *ranking) add(r *relayState, score uint64) {
	i := k.n
	if k.n < maxRelays {
		k.n++
	} else if i--; score <= k.scores[i] {
		return
	}
	for ; i > 0 && k.scores[i-1] < score; i-- {
		k.relays[i], k.scores[i] = k.relays[i-1], k.scores[i-1]
	}
	k.relays[i], k.scores[i] = r, score
}

// relaysFor returns the list of a host, or false if the host relays no requests or keeps its list for now. The caller
// holds l.mu.
func (l *leader) relaysFor(t time.Time, s *fleetSummary, r *Report) (*relayList, bool) {
	h := l.hosts[r.Process]
	if h == nil || !h.self.Address.IsValid() {
		return nil, false
	}
	known := r.KnownRelays != 0 && r.KnownRelays != noRelaysVersion
	if known && t.Sub(l.startedAt) < relaySettleTime && (l.unreported() > 0 || len(s.names) < max(l.expectedHosts, l.hostsBefore)) {
		return nil, false
	}
	if h.list.version == 0 || h.list.set != s.relays.version {
		h.list = s.relays.listFor(&h.relayState)
	}
	return &h.list, true
}

// needsRelays reports whether a report must be answered at once: the sender has a relay that was lost, or it is cut off
// and has no relay or a list that this coordinator does not know. The caller holds l.mu.
func (l *leader) needsRelays(r *Report) bool {
	h := l.hosts[r.Process]
	if h == nil || !h.self.Address.IsValid() {
		return false
	}
	t := now()
	s := l.summarise(t, r.Process)
	known := h.list.version == r.KnownRelays
	if known && h.list.set == s.relays.version {
		return false
	}
	if known && len(h.list.relays) > 0 {
		if !slices.ContainsFunc(h.list.relays, func(k Relay) bool { return s.relays.addresses[k.Host] != k.Address }) {
			return false
		}
	} else if !h.cutOff {
		return false
	}
	list, ok := l.relaysFor(t, s, r)
	return ok && list.version != r.KnownRelays
}

// updateRelayState completes the state of a host from that before its report. It wakes the waiting reports if the host stops
// being usable as a relay, is the first one or is cut off. The caller holds l.mu.
func (l *leader) updateRelayState(t time.Time, before, after *hostReport) {
	if before != nil {
		after.list, after.replaced = before.list, before.replaced
	} else {
		for _, h := range l.hosts {
			h.replaced = h.replaced || h != after && h.host == after.host
		}
	}
	was, is := before != nil && before.usable(), after.usable()
	first := is && !was && (l.summary == nil || len(l.summary.relays.relays) == 0)
	if was && !is || first || after.cutOff && (before == nil || !before.cutOff) {
		l.wakeForRelays(t)
	}
}

// wakeForRelays wakes the waiting reports, so that they check their relays. A change may concern all hosts; it does so as
// often as views at most.
func (l *leader) wakeForRelays(t time.Time) {
	if l.relaysScheduled {
		return
	}
	wake := func() {
		l.relaysNotifiedAt = now()
		if l.summary != nil {
			l.summary.createdAt = time.Time{}
		}
		l.notifyLocked()
	}
	wait := l.relaysNotifiedAt.Add(max(summaryMaxAge, l.viewInterval(t))).Sub(t)
	if wait <= 0 {
		wake()
		return
	}
	l.relaysScheduled = true
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.relaysScheduled = false
		wake()
	})
}

// hashSeed is the offset basis of FNV-1a.
const hashSeed = 14695981039346656037

// hashString returns the FNV-1a hash of a string, started with seed, with all bits mixed.
func hashString(seed uint64, s string) uint64 {
	for i := range len(s) {
		seed = (seed ^ uint64(s[i])) * 1099511628211
	}
	return mix(seed)
}

// mix returns a hash of a number in which each bit depends on all bits of it (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
