package coordination

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// This file handles a store that is restored from a copy some seconds old. The copy may lack the latest takeovers and moves
// of keys, so its document is not authoritative: a coordinator with a valid lease writes its own document again, and a
// process that takes over asks other hosts for the newest document. If none is found, it waits until every grant that the
// copy may lack has expired.

// Results of adoptCopy.
var (
	errSuperseded = eris.New("coordination: another process has written the document")
	errRestored   = eris.New("coordination: the store was restored from a copy")
	errUnverified = eris.New("coordination: the store was restored from a copy, and another process may have taken over before")
)

const (
	// verifyInterval is the time between two checks whether all hosts still follow this coordinator.
	verifyInterval = 100 * time.Millisecond
	// verifyGrace is how long it waits for all hosts. After that a majority suffices, because lost hosts never report.
	verifyGrace = 2 * time.Second
)

// newestTimeout limits a call for the newest document that a host knows.
const newestTimeout = 300 * time.Millisecond

// maxNewestCalls bounds the calls for newer documents in one takeover. Each answer may name another host.
const maxNewestCalls = 4

// newestProcedure is the path of the call for the newest document that a host knows.
const newestProcedure = "/redwingtally.coordination.v1/Newest"

// A NewestRequest asks a host for the newest document that it knows.
type NewestRequest struct {
	// Era is the era of the store that the sender is about to take over in. It is 0 in requests of earlier builds.
	Era uint64 `json:"era,omitempty"`
}

// A NewestResponse is what a host knows about earlier coordinators.
type NewestResponse struct {
	// Host is the answering host.
	Host string `json:"host"`
	// Leading is the document of the answering process's own term if it coordinates now.
	Leading *ownership.Document `json:"leading,omitempty"`
	// Led is the document of the last term of the answering process. It sends no more orders for it.
	Led *ownership.Document `json:"led,omitempty"`
	// Followed names the coordinator that the host last followed, with its term and without services.
	Followed *ownership.Document `json:"followed,omitempty"`
	// Stopped reports whether the answering process sends no more orders of terms of eras before the request's. Earlier builds
	// do not say so.
	Stopped bool `json:"stopped,omitempty"`
}

// NewestHandler returns the path and the handler of the call for the newest document that this host knows.
func (m *Member) NewestHandler() (string, http.Handler) {
	return newestProcedure, connect.NewUnaryHandler(newestProcedure, func(_ context.Context, r *connect.Request[NewestRequest]) (*connect.Response[NewestResponse], error) {
		return connect.NewResponse(m.newest(r.Msg.Era)), nil
	}, connect.WithCodec(codec{}))
}

// newest returns what this host knows of coordinators. A term of an era before the given one ends if its lease has expired, and none
// begins by a takeover that is still in progress: the store cannot confirm it any more, and its document names all owners.
func (m *Member) newest(era uint64) *NewestResponse {
	l := m.currentLeader()
	var led *ownership.Document
	if l != nil {
		led = l.endWithoutLease(era)
	}
	m.mu.Lock()
	out := &NewestResponse{Host: m.options.Host, Led: m.lastLed, Followed: m.followed}
	if led != nil {
		out.Led = led
	}
	if era > platform.FirstEra && (m.leader == nil || led != nil && m.leader == l) {
		m.yieldTerm = max(m.yieldTerm, ownership.FirstTerm(era))
		out.Stopped = true
	}
	m.mu.Unlock()
	if l != nil && led == nil {
		out.Leading = l.leadingDocument()
	}
	return out
}

// setFollowed records the coordinator that this host follows.
func (m *Member) setFollowed(d *ownership.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.followed == nil || m.followed.Coordinator != d.Coordinator {
		m.candidates.begin(hostOf(d.Coordinator))
		if m.followed != nil {
			m.knownTerm = max(m.knownTerm, m.followed.Term)
		}
	}
	m.followed = &ownership.Document{Coordinator: d.Coordinator, Address: d.Address, Term: d.Term, Services: map[string][]ownership.Range{}}
}

// termBefore returns the highest term of a coordinator that this host has followed, or been, before the present one.
func (m *Member) termBefore() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastLed != nil {
		return max(m.knownTerm, m.lastLed.Term)
	}
	return m.knownTerm
}

// EraChanged makes a coordinator ask the store at once whether it still names this process. It is called when the store
// has come back from a copy.
func (m *Member) EraChanged() {
	l := m.currentLeader()
	if l == nil {
		return
	}
	select {
	case l.confirmNow <- struct{}{}:
	default: // it is about to ask
	}
}

// writeEra returns the era of a document that is written on a version, or created if that is 0.
func (m *Member) writeEra(version platform.Version) uint64 {
	return max(version.Era(), m.options.Store().Era())
}

// restoredEra returns the era of the store if it has come back from a copy since a document was written, and 0
// otherwise. The document is nil if the store has none.
func (m *Member) restoredEra(d *ownership.Document, version platform.Version) uint64 {
	era := m.writeEra(version)
	if era <= platform.FirstEra || d != nil && d.Era >= era || d == nil && m.startsFirst() {
		return 0
	}
	return era
}

// firstStartTime is how long after the first start of the whole system there may be no document yet.
const firstStartTime = 5 * time.Second

// startsFirst reports whether the whole system has just started for the first time.
func (m *Member) startsFirst() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.options.FirstStart && m.followed == nil && m.lastLed == nil && now().Sub(m.startedAt) < firstStartTime
}

// takeover is what a process starts its term with.
type takeover struct {
	document *ownership.Document // taken over; nil if there is none
	stopped  bool                // no earlier coordinator can send orders that targets accept
	// stoppedHosts are the hosts that have answered that they send no more orders, with the highest terms that they know.
	stoppedHosts map[string]uint64
	coordinators []*ownership.Document // that hosts have followed or been
	term         uint64                // of the coordinator whose own document is taken over after a restore; 0 if it is that of the copy
	coordinator  *ownership.Document   // of a process that coordinates, and which this process must follow instead of taking over
}

// takeOverRestored returns what to start a term with when the store has come back from a copy with the document old,
// or with none.
func (m *Member) takeOverRestored(ctx context.Context, old *ownership.Document, era uint64) takeover {
	term, asked := uint64(0), map[netip.AddrPort]bool{m.options.Address: true}
	var best *ownership.Document
	var ask, coordinators []*ownership.Document
	stopped := map[string]uint64{}
	learn := func(r *NewestResponse) {
		known := uint64(0)
		for _, d := range []*ownership.Document{r.Led, r.Followed} {
			if d != nil {
				known, ask, coordinators = max(known, d.Term), append(ask, d), append(coordinators, d)
			}
		}
		term = max(term, known)
		if r.Stopped {
			stopped[r.Host] = known
		}
		if r.Led != nil && !r.Led.Incomplete && (best == nil || r.Led.Term > best.Term) {
			best = r.Led
		}
	}
	learn(m.newest(era))
	if old != nil {
		ask = append(ask, old)
	}
	for calls := 0; len(ask) > 0 && calls < maxNewestCalls; ask = ask[1:] {
		address := ask[0].Address
		if asked[address] || !address.IsValid() {
			continue
		}
		asked[address] = true
		calls++
		r, err := m.askNewest(ctx, address, era)
		if err != nil {
			m.options.Log.Warn("coordination: Host does not say what it knows.", "address", address.String(), "error", err.Error())
			continue
		}
		if r.Leading != nil {
			m.options.Log.Info("coordination: Store was restored from a copy; a process coordinates.", "coordinator", r.Leading.Coordinator, "term", r.Leading.Term)
			return takeover{coordinator: r.Leading}
		}
		learn(r)
	}
	if best != nil && best.Term >= term && (old == nil || best.Term >= old.Term) {
		m.options.Log.Warn("coordination: Store was restored from a copy; taking over the newest document of a host.", "era", era,
			"coordinator", best.Coordinator, "term", best.Term, "fence", best.Fence)
		return takeover{document: ownership.AfterRestore(best, era), stopped: best.OwnersFenced, stoppedHosts: stopped, coordinators: coordinators, term: best.Term}
	}
	m.options.Log.Warn("coordination: Store was restored from a copy; owners of keys are unknown until earlier grants have ended.", "era", era, "known_term", term,
		"copy_names", coordinatorOf(old), "stopped", slices.Sorted(maps.Keys(stopped)))
	d := ownership.AfterRestore(old, era)
	d.Term = max(d.Term, term+1)
	return takeover{document: d, stoppedHosts: stopped, coordinators: coordinators}
}

// coordinatorOf returns the process that a document names, or "" if there is none.
func coordinatorOf(d *ownership.Document) string {
	if d == nil {
		return ""
	}
	return d.Coordinator
}

// askNewest asks the host at an address for the newest document that it knows, before a takeover in an era.
func (m *Member) askNewest(ctx context.Context, address netip.AddrPort, era uint64) (*NewestResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	client := connect.NewClient[NewestRequest, NewestResponse](m.httpClient(), "http://"+address.String()+newestProcedure, connect.WithCodec(codec{}))
	r, err := client.CallUnary(ctx, connect.NewRequest(&NewestRequest{Era: era}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// afterRestore is what a leader keeps for a store that has come back, or may come back, from a copy.
type afterRestore struct {
	takenOverTerm   uint64              // term of the coordinator whose own document was taken over; 0 if it was the store's
	census          *ownership.Census   // of earlier coordinators; nil unless the document is incomplete and they may send orders
	missingLoggedAt time.Time           // when the hosts that the census waits for were last logged
	reporters       map[string]reporter // by host
	restoredIn      uint64              // newest era whose restore this term has noticed
	restoredAt      time.Time           // when it noticed that restore
	hostsAtRestore  []string            // candidates at that time
}

// missingLogInterval is the time between two lines of log that name the hosts that a census waits for, and maxMissingLogged how
// many they name.
const (
	missingLogInterval = 3 * time.Second
	maxMissingLogged   = 16
)

// settleOwners ends the wait for coordinators that the document is missing once all processes that may be such are accounted for.
// If the document taken over is that of the last term that any of them knows, it names all owners. Otherwise earlier grants still
// have to run out. The caller holds l.mu.
func (l *leader) settleOwners(t time.Time) {
	if l.census == nil {
		return
	}
	if !l.core.Document().Incomplete {
		l.census = nil
		return
	}
	if !l.census.Complete() {
		if t.Sub(l.startedAt) >= missingLogInterval && t.Sub(l.missingLoggedAt) >= missingLogInterval {
			l.missingLoggedAt = t
			missing := l.census.Missing()
			l.member.options.Log.Warn("coordination: Hosts that may coordinate have not reported; keys have no owners until they do or their grants have ended.",
				"missing", missing[:min(len(missing), maxMissingLogged)], "count", len(missing))
		}
		return
	}
	known, sure := l.census.LatestTerm()
	newest := sure && l.takenOverTerm > 0 && known <= l.takenOverTerm
	l.core.UnknownCoordinatorsStopped(t, newest)
	l.member.options.Log.Info("coordination: All hosts follow.", "hosts", l.census.Accounted(), "known_term", known, "document_is_newest", newest)
	l.census = nil
}

// leadingDocument returns the document of the term, without services, while orders may be sent.
func (l *leader) leadingDocument() *ownership.Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holdsLeaseLocked() {
		return nil
	}
	d := l.core.Document()
	return &ownership.Document{Coordinator: d.Coordinator, Address: d.Address, Term: d.Term, Services: map[string][]ownership.Range{}}
}

// endWithoutLease ends the term if its lease has expired and the store was restored since its last write, in the given era or before.
// It returns the last document then, and nil otherwise.
func (l *leader) endWithoutLease(era uint64) *ownership.Document {
	l.mu.Lock()
	if l.holdsLeaseLocked() || l.version.Era() >= era {
		l.mu.Unlock()
		return nil
	}
	l.endLocked()
	l.mu.Unlock()
	l.member.options.Log.Info("coordination: Term ends; the store was restored and the lease has expired.", "era", era)
	return l.lastDocument()
}

// lastDocument returns the document of the term after its end, with the highest fencing token that it has reserved.
func (l *leader) lastDocument() *ownership.Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := *l.core.Document()
	d.Candidates = l.candidates.forDocument()
	if p := l.core.Proposed(); p != nil {
		d.Fence = max(d.Fence, p.Fence)
	}
	return &d
}

// adoptCopy decides what it means that the store has another document than this process wrote, or none. It returns
// errSuperseded if another process has written it in the present era, or this one's lease has expired. It returns errRestored
// if the store has come back from a copy: the version of the copy is then the one on which this process writes its
// document again. Until the hosts have shown that they still follow this process, it returns errUnverified: the copy may lack the
// takeover of another process, whose higher tokens protect the keys that it has moved.
func (l *leader) adoptCopy(have *ownership.Document, version platform.Version) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, log := l.core.Document(), l.member.options.Log
	era := l.member.writeEra(version)
	name, term, fence := "", uint64(0), uint64(0)
	if have != nil {
		name, term, fence = have.Coordinator, have.Term, have.Fence
	}
	written := have != nil && have.Era >= era && have.Coordinator != l.process
	if era <= platform.FirstEra || written || !l.holdsLeaseLocked() {
		log.Warn("coordination: Another process wrote the document, or the lease has expired.", "version", version.String(), "lease", l.holdsLeaseLocked(),
			"coordinator", name, "term", term, "fence", fence, "own_term", own.Term, "own_fence", own.Fence)
		return errSuperseded
	}
	if l.restoredIn < era {
		l.restoredIn, l.restoredAt, l.hostsAtRestore = era, now(), l.candidates.names()
		log.Info("coordination: Store was restored from a copy; checking that the hosts follow.", "version", version.String(), "era", era, "hosts", len(l.hostsAtRestore))
	}
	if err := l.verifyLocked(own.Term); err != nil {
		return err
	}
	log.Warn("coordination: Store was restored from a copy; writing the document again.", "version", version.String(), "era", era,
		"coordinator", name, "term", term, "fence", fence, "own_term", own.Term, "own_fence", own.Fence)
	l.version = version
	return errRestored
}

// verifyLocked returns nil if the hosts that were candidates when the store was restored from a copy still follow this process,
// errUnverified while some have not reported since, and errSuperseded if one knows a later coordinator. The caller holds l.mu.
func (l *leader) verifyLocked(term uint64) error {
	for _, r := range l.reporters {
		if r.knownTerm > term {
			l.member.options.Log.Warn("coordination: A host has followed a later coordinator.", "known_term", r.knownTerm, "own_term", term)
			return errSuperseded
		}
	}
	before, since := 0, 0
	for _, host := range l.hostsAtRestore {
		if host == l.member.options.Host {
			continue
		}
		before++
		if l.reporters[host].reportedAt.After(l.restoredAt) {
			since++
		}
	}
	if since == before || now().Sub(l.restoredAt) > verifyGrace && 2*(since+1) > before+1 {
		return nil
	}
	return errUnverified
}

// reporter is what the coordinator keeps of a host for the whole term.
type reporter struct {
	process    string
	reportedAt time.Time
	knownTerm  uint64 // of a coordinator that the host has followed or been before it followed this one
}

// proposeAgain makes the core's document the one to write on the copy's version. It reports whether the caller has to
// write it: otherwise a change is being written, which includes it.
func (l *leader) proposeAgain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Restored(l.member.writeEra(l.version)) != nil
}

// proposed returns the document that is being written.
func (l *leader) proposed() *ownership.Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Proposed()
}
