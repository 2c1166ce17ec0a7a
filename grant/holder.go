package grant

import (
	"sort"
	"time"
)

// A Config describes a group and the daemon that may hold it.
type Config struct {
	// Group names the group.
	Group string
	// Servers are the names of the group's servers.
	Servers []string
	// Epoch is the version of the set of voters; it grows when Servers changes.
	Epoch uint64
	// Checks says that the servers accept fenced grants and vote.
	Checks bool
	// Shards is the number of shards; 0 when keys are not divided.
	Shards int
	// Timing holds the periods; all daemons and servers use the same.
	Timing Timing
	// Incarnation identifies this life of the daemon.
	Incarnation uint32
}

// A Phase is the state of a Holder.
type Phase string

// The phases.
const (
	// PhaseIdle means that the daemon does not hold the group.
	PhaseIdle Phase = "idle"
	// PhaseFencing means that the daemon gathers a majority for its term.
	PhaseFencing Phase = "fencing"
	// PhaseHolding means that the daemon holds the group.
	PhaseHolding Phase = "holding"
)

// roundsKept is how many rounds' starts are remembered.
const roundsKept = 64

// healthyAges is how many times the age of evidence a holder may be without it.
const healthyAges = 3

// storeAfter is how many rounds a majority of servers may take before the store is asked.
const storeAfter = 2

// A Holder gives shards of one group to servers. It is not safe for concurrent use.
type Holder struct {
	cfg     Config
	rules   rules
	phase   Phase
	term    Term
	seen    Term
	round   uint64
	starts  [roundsKept]time.Time
	servers map[string]*server
	names   []string
	store   struct {
		asked time.Time
		voted bool
	}
	fenceStart time.Time
	fencedAt   time.Time
	shards     []shard
	wanted     []string
	dates      []time.Time
	moved      uint64
	demand     bool
	staleEpoch bool
}

// rules lets tests take single rules out, to show that each is needed.
type rules struct {
	anyMajority   bool // R1: one voter is enough
	earlyReports  bool // R2: leases reported before the majority stood are extended
	noWait        bool // R2: shards are given away without waiting
	staleMove     bool // R3: any evidence serves for a move
	noDeadline    bool // R4: orders never become void
	youngVoters   bool // R5: restarted servers vote at once
	newTerms      bool // the other way: a holder whose evidence lapsed starts over with a new term
	forgetPending bool // R7: lost orders are not counted when a lease lapses
	arrivalDates  bool // R3: evidence is dated by the arrival of answers, not by the asking
	noRounds      bool // R2: servers take orders of a term in any order
	noEpochs      bool // servers take orders under any set of voters
	storeOnly     bool // the other way: only the store votes
}

// New returns an idle Holder.
func New(cfg Config) *Holder {
	h := &Holder{cfg: cfg, phase: PhaseIdle, servers: map[string]*server{}}
	for _, n := range cfg.Servers {
		h.servers[n] = &server{name: n}
		h.names = append(h.names, n)
	}
	sort.Strings(h.names)
	h.shards = make([]shard, cfg.Shards)
	h.wanted = make([]string, cfg.Shards)
	return h
}

// Phase returns the holder's phase.
func (h *Holder) Phase() Phase { return h.phase }

// Term returns the term that the holder uses or last used.
func (h *Holder) Term() Term { return h.term }

// FencedAt returns when a majority accepted the term.
func (h *Holder) FencedAt() time.Time { return h.fencedAt }

// Moved returns how many shards were given to a server, over the holder's life.
func (h *Holder) Moved() uint64 { return h.moved }

// Campaign begins to gather a majority under a new term.
func (h *Holder) Campaign(now time.Time) {
	h.seen = max(h.seen, h.term)
	h.term = h.seen.After(h.cfg.Incarnation)
	h.seen = h.term
	h.phase = PhaseFencing
	h.fenceStart = now
	h.store.voted = false
	h.store.asked = time.Time{}
	for _, n := range h.names {
		h.servers[n].reset()
	}
}

// Stop makes the holder idle. Leases that were given run out by themselves.
func (h *Holder) Stop() {
	h.phase = PhaseIdle
}

// Seen tells the holder of a term that somebody uses; a higher one ends its own.
func (h *Holder) Seen(t Term) {
	h.seen = max(h.seen, t)
	if t > h.term && h.phase != PhaseIdle {
		h.Stop()
	}
}

// Reconfigure changes the set of servers to one that differs by one server and
// stands in the store under epoch. A holder seeks a new term under the new set;
// leases of servers that stay are extended.
func (h *Holder) Reconfigure(now time.Time, epoch uint64, servers []string) {
	h.cfg.Epoch = epoch
	h.cfg.Servers = servers
	h.staleEpoch = false
	known := h.servers
	h.servers = map[string]*server{}
	h.names = h.names[:0]
	for _, n := range servers {
		s, ok := known[n]
		if !ok {
			s = &server{name: n}
		}
		h.servers[n] = s
		h.names = append(h.names, n)
	}
	sort.Strings(h.names)
	if h.phase != PhaseIdle {
		h.Campaign(now)
	}
}

// Servers returns the names of the servers, sorted, and the epoch of the set.
func (h *Holder) Servers() ([]string, uint64) {
	return append([]string(nil), h.names...), h.cfg.Epoch
}

// StaleEpoch reports whether a voter knows a newer set of voters.
func (h *Holder) StaleEpoch() bool { return h.staleEpoch }

// Demand asks for fresh evidence in the next round even when the group needs none to hold.
func (h *Holder) Demand() { h.demand = true }

// Want sets the assignment that the holder works towards; its length is the number of shards.
func (h *Holder) Want(assignment []string) {
	copy(h.wanted, assignment)
}

// majority returns how many voters decide.
func (h *Holder) majority() int {
	if !h.serversVote() || h.rules.anyMajority {
		return 1
	}
	return (len(h.names)+1)/2 + 1
}

// serversVote reports whether the group's servers vote beside the store.
func (h *Holder) serversVote() bool {
	return h.cfg.Checks && !h.rules.storeOnly
}

// voters counts the voters that accepted the term.
func (h *Holder) voters() int {
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

// Evidence returns the start of the latest round that a majority accepted, and
// false when there is none.
func (h *Holder) Evidence() (time.Time, bool) {
	h.dates = h.dates[:0]
	if h.store.voted {
		h.dates = append(h.dates, h.store.asked)
	}
	if h.serversVote() {
		for _, s := range h.servers {
			if s.voted {
				h.dates = append(h.dates, s.asked)
			}
		}
	}
	m := h.majority()
	if len(h.dates) < m {
		return time.Time{}, false
	}
	sort.Slice(h.dates, func(i, j int) bool { return h.dates[i].After(h.dates[j]) })
	return h.dates[m-1], true
}

// Valid reports whether the holder may act, and until when requests may begin.
func (h *Holder) Valid(now time.Time) (time.Time, bool) {
	if h.phase != PhaseHolding {
		return time.Time{}, false
	}
	evidence, ok := h.Evidence()
	if !ok || now.Sub(evidence) > h.cfg.Timing.EvidenceAge {
		return time.Time{}, false
	}
	return evidence.Add(h.cfg.Timing.Limit), true
}

// Healthy reports whether the holder acts, or acted a moment ago. One that does
// not for longer should not keep others from seeking the group.
func (h *Holder) Healthy(now time.Time) bool {
	if h.phase != PhaseHolding {
		return false
	}
	if !h.cfg.Checks && h.cfg.Shards == 0 {
		return true
	}
	evidence, ok := h.Evidence()
	return ok && now.Sub(evidence) <= healthyAges*h.cfg.Timing.EvidenceAge
}

// An Ownership says which server a shard's requests go to.
type Ownership struct {
	Server string
	Term   Term
	// Before is when a request must have begun.
	Before time.Time
}

// Owner returns the owner of a shard, and false while there is none.
func (h *Holder) Owner(now time.Time, n int) (Ownership, bool) {
	before, ok := h.Valid(now)
	if !ok || n < 0 || n >= len(h.shards) {
		return Ownership{}, false
	}
	s := &h.shards[n]
	if s.owner == "" || s.releasing || !s.confirmed {
		return Ownership{}, false
	}
	return Ownership{Server: s.owner, Term: h.term, Before: before}, true
}

// Refused notes that the owner of a shard refused work; it has no owner until
// the server tells of its lease again.
func (h *Holder) Refused(n int) {
	if n >= 0 && n < len(h.shards) {
		h.shards[n].confirmed = false
	}
}

// Owners returns the present owner of each shard; empty where there is none.
func (h *Holder) Owners() []string {
	out := make([]string, len(h.shards))
	for i := range h.shards {
		if !h.shards[i].releasing {
			out[i] = h.shards[i].owner
		}
	}
	return out
}

// Reachable reports whether a server answered within d.
func (h *Holder) Reachable(now time.Time, name string, d time.Duration) bool {
	s, ok := h.servers[name]
	return ok && !s.clockAt.IsZero() && now.Sub(s.clockAt) <= d
}
