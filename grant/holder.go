package grant

import (
	"sort"
	"time"
)

// A Config describes a group and the daemon that campaigns for it.
type Config struct {
	// Group names the group.
	Group string
	// Servers are the names of the targets that can hold leases and vote.
	Servers []string
	// Epoch is the version of the set of voters; it increases when Servers changes.
	Epoch uint64
	// ChecksGrants reports whether the servers check grants and vote.
	ChecksGrants bool
	// Shards is the number of shards; 0 if the service is not divided by key.
	Shards int
	// Timing holds the protocol's periods. All daemons and servers must use the same.
	Timing Timing
	// Incarnation identifies this start of the daemon.
	Incarnation uint32
}

// A Phase is the state of a Holder.
type Phase string

// Phases of a Holder.
const (
	// PhaseIdle means that the daemon does not hold the group.
	PhaseIdle Phase = "idle"
	// PhaseFencing means that the daemon campaigns: it collects votes for its term.
	PhaseFencing Phase = "fencing"
	// PhaseHolding means that the daemon holds the group.
	PhaseHolding Phase = "holding"
)

// roundHistory is the number of rounds whose start times are kept. Replies to
// older rounds are ignored.
const roundHistory = 64

// healthyEvidenceAges is the age of the evidence up to which a holder counts as
// healthy, in multiples of Timing.MaxEvidenceAge.
const healthyEvidenceAges = 3

// storeFallbackRounds is the number of rounds that a majority of servers may
// take to reply before the store's vote is requested.
const storeFallbackRounds = 2

// A Holder assigns the shards of one group to servers. It is not safe for
// concurrent use.
type Holder struct {
	cfg     Config
	variant variant
	phase   Phase
	term    Term
	// highestTerm is the highest term seen from any daemon.
	highestTerm Term
	round       uint64
	// roundStarts holds the start of each round at index round%roundHistory.
	roundStarts [roundHistory]time.Time
	servers     map[string]*server
	serverNames []string // sorted
	store       struct {
		evidenceAt time.Time
		voted      bool
	}
	campaignStart time.Time
	// fencedAt is when a majority accepted the term.
	fencedAt time.Time
	shards   []shard
	// assignment is the wanted owner of each shard.
	assignment []string
	// evidenceTimes is the scratch space of Evidence.
	evidenceTimes []time.Time
	// assigned counts shard assignments.
	assigned          uint64
	evidenceRequested bool
	staleEpoch        bool
}

// variant disables single rules of the protocol or selects an alternative
// design. Tests use it to show that each rule is needed and to compare designs.
type variant struct {
	singleVote          bool // R1: a single vote suffices
	adoptEarlyReports   bool // R2: leases reported before there was a majority are renewed
	noWait              bool // R2: shards are assigned without waiting for older leases to expire
	moveOnStaleEvidence bool // R3: a shard may move on evidence from before its lease ended
	noDeadline          bool // R4: orders never expire
	voteAfterRestart    bool // R5: restarted servers vote immediately
	campaignOnExpiry    bool // alternative design: a holder whose evidence has expired campaigns for a new term
	ignorePending       bool // R7: orders of unknown outcome do not extend the end of a lease
	dateByArrival       bool // R3: evidence is dated by the arrival of replies, not by the start of the round
	ignoreRounds        bool // R2: servers apply the orders of a term in any sequence
	ignoreEpochs        bool // servers accept orders under any set of voters
	storeOnly           bool // alternative design: only the store votes
}

// New returns an idle Holder.
func New(cfg Config) *Holder {
	h := &Holder{cfg: cfg, phase: PhaseIdle, servers: map[string]*server{}}
	for _, n := range cfg.Servers {
		h.servers[n] = &server{name: n}
		h.serverNames = append(h.serverNames, n)
	}
	sort.Strings(h.serverNames)
	h.shards = make([]shard, cfg.Shards)
	h.assignment = make([]string, cfg.Shards)
	return h
}

// Phase returns the current phase.
func (h *Holder) Phase() Phase { return h.phase }

// Term returns the holder's current or latest term.
func (h *Holder) Term() Term { return h.term }

// FencedAt returns when a majority accepted the term.
func (h *Holder) FencedAt() time.Time { return h.fencedAt }

// AssignmentCount returns the number of shard assignments made by this Holder.
func (h *Holder) AssignmentCount() uint64 { return h.assigned }

// Campaign starts collecting votes for a new term.
func (h *Holder) Campaign(now time.Time) {
	h.highestTerm = max(h.highestTerm, h.term)
	h.term = h.highestTerm.Next(h.cfg.Incarnation)
	h.highestTerm = h.term
	h.phase = PhaseFencing
	h.campaignStart = now
	h.store.voted = false
	h.store.evidenceAt = time.Time{}
	for _, n := range h.serverNames {
		h.servers[n].reset()
	}
}

// Stop makes the holder idle. Leases that it granted expire on their own.
func (h *Holder) Stop() {
	h.phase = PhaseIdle
}

// ObserveTerm records a term of any daemon. If it is higher than the holder's own,
// the holder stops.
func (h *Holder) ObserveTerm(t Term) {
	h.highestTerm = max(h.highestTerm, t)
	if t > h.term && h.phase != PhaseIdle {
		h.Stop()
	}
}

// Reconfigure replaces the set of servers. The new set must differ by one server
// and be recorded in the store under epoch. Unless it is idle, the holder
// campaigns for a new term under the new set, and the leases of servers that are
// in both sets are renewed.
func (h *Holder) Reconfigure(now time.Time, epoch uint64, servers []string) {
	h.cfg.Epoch = epoch
	h.cfg.Servers = servers
	h.staleEpoch = false
	known := h.servers
	h.servers = map[string]*server{}
	h.serverNames = h.serverNames[:0]
	for _, n := range servers {
		s, ok := known[n]
		if !ok {
			s = &server{name: n}
		}
		h.servers[n] = s
		h.serverNames = append(h.serverNames, n)
	}
	sort.Strings(h.serverNames)
	if h.phase != PhaseIdle {
		h.Campaign(now)
	}
}

// Servers returns the sorted names of the servers and the epoch of the set.
func (h *Holder) Servers() ([]string, uint64) {
	return append([]string(nil), h.serverNames...), h.cfg.Epoch
}

// StaleEpoch reports whether a voter has seen a newer set of voters than the holder.
func (h *Holder) StaleEpoch() bool { return h.staleEpoch }

// RequestEvidence requests new evidence in the next round, even for a group that is
// held without evidence.
func (h *Holder) RequestEvidence() { h.evidenceRequested = true }

// SetAssignment sets the assignment that the holder works towards. It has one
// element per shard: the name of a server, or an empty string for none.
func (h *Holder) SetAssignment(assignment []string) {
	copy(h.assignment, assignment)
}

// majority returns the number of votes that a term needs.
func (h *Holder) majority() int {
	if !h.serversVote() || h.variant.singleVote {
		return 1
	}
	return (len(h.serverNames)+1)/2 + 1
}

// serversVote reports whether the group's servers vote in addition to the store.
func (h *Holder) serversVote() bool {
	return h.cfg.ChecksGrants && !h.variant.storeOnly
}

// votes returns the number of voters that accepted the term.
func (h *Holder) votes() int {
	n := 0
	if h.store.voted {
		n++
	}
	if h.serversVote() {
		for _, s := range h.servers {
			if s.voted {
				n++
			}
		}
	}
	return n
}

// Evidence returns the start of the latest round that a majority of voters
// accepted, and false if there is none in this term.
func (h *Holder) Evidence() (time.Time, bool) {
	h.evidenceTimes = h.evidenceTimes[:0]
	if h.store.voted {
		h.evidenceTimes = append(h.evidenceTimes, h.store.evidenceAt)
	}
	if h.serversVote() {
		for _, s := range h.servers {
			if s.voted {
				h.evidenceTimes = append(h.evidenceTimes, s.evidenceAt)
			}
		}
	}
	m := h.majority()
	if len(h.evidenceTimes) < m {
		return time.Time{}, false
	}
	sort.Slice(h.evidenceTimes, func(i, j int) bool { return h.evidenceTimes[i].After(h.evidenceTimes[j]) })
	return h.evidenceTimes[m-1], true
}

// StartDeadline returns the time by which requests must start, and false if the
// daemon does not hold the group or its evidence is too old to act.
func (h *Holder) StartDeadline(now time.Time) (time.Time, bool) {
	if h.phase != PhaseHolding {
		return time.Time{}, false
	}
	evidence, ok := h.Evidence()
	if !ok || now.Sub(evidence) > h.cfg.Timing.MaxEvidenceAge {
		return time.Time{}, false
	}
	return evidence.Add(h.cfg.Timing.DeadlineLimit), true
}

// Healthy reports whether the holder holds the group on evidence no older than
// healthyEvidenceAges times the allowed age. A group that needs no evidence is
// healthy whenever it is held. A holder that is not healthy should not keep other
// daemons from campaigning for the group.
func (h *Holder) Healthy(now time.Time) bool {
	if h.phase != PhaseHolding {
		return false
	}
	if !h.cfg.ChecksGrants && h.cfg.Shards == 0 {
		return true
	}
	evidence, ok := h.Evidence()
	return ok && now.Sub(evidence) <= healthyEvidenceAges*h.cfg.Timing.MaxEvidenceAge
}

// An Ownership names the server that owns a shard.
type Ownership struct {
	Server string
	Term   Term
	// StartDeadline is the time by which the server must start a request.
	StartDeadline time.Time
}

// Owner returns the owner of a shard, and false if it has none now.
func (h *Holder) Owner(now time.Time, n int) (Ownership, bool) {
	deadline, ok := h.StartDeadline(now)
	if !ok || n < 0 || n >= len(h.shards) {
		return Ownership{}, false
	}
	s := &h.shards[n]
	if s.owner == "" || s.releasing || !s.confirmed {
		return Ownership{}, false
	}
	return Ownership{Server: s.owner, Term: h.term, StartDeadline: deadline}, true
}

// MarkUnconfirmed records that the owner of a shard rejected a request for it.
// Owner returns false for the shard until the server reports its lease again.
func (h *Holder) MarkUnconfirmed(n int) {
	if n >= 0 && n < len(h.shards) {
		h.shards[n].confirmed = false
	}
}

// Owners returns the current owner of each shard, or an empty string for none.
func (h *Holder) Owners() []string {
	out := make([]string, len(h.shards))
	for i := range h.shards {
		if !h.shards[i].releasing {
			out[i] = h.shards[i].owner
		}
	}
	return out
}

// Reachable reports whether a server replied within the last d.
func (h *Holder) Reachable(now time.Time, name string, d time.Duration) bool {
	s, ok := h.servers[name]
	return ok && !s.clockAt.IsZero() && now.Sub(s.clockAt) <= d
}
