// Package coordination elects a coordinator among the hosts and distributes its
// view of which target owns which keys.
//
// The coordinator is named in a document in the platform's store, written with a
// compare-and-set. It sends orders to targets and answers the reports of the
// other hosts with the current view. Reports are long polls: the coordinator
// answers one when the view changes or the wait of the report has passed. Each
// host sends about two a second, and fewer in a large fleet. When the coordinator
// does not answer or cannot reach the store, another host takes the document
// over. Until then hosts keep using their last view.
//
// The coordinator and a few hosts that it selects watch the store. The others
// receive changes of the configuration and the targets in the replies to their
// reports. A host lists both when it starts, and watches the store itself when
// it has had no reply from a coordinator for about a second.
//
// # Usage
//
//	m := coordination.New(options)
//	mux.Handle(m.Handler())
//	mux.Handle(m.YieldHandler())
//	go m.Run(ctx)
//	state := m.State()
package coordination

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/directory"
	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/internal/clock"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/ratelimit"
)

// Errors of coordination.
var (
	// ErrMessage reports a malformed message between hosts or a malformed document.
	ErrMessage = eris.New("coordination: malformed message")
	// ErrNotCoordinator reports that the called host is not the coordinator or that its lease has expired.
	ErrNotCoordinator = eris.New("coordination: host does not coordinate")
)

// Options configures a Member.
type Options struct {
	// Host is the name of the host; Process is unique to one start of it: the name, a slash and something else.
	Host    string
	Process string
	// Address is where Handler is served to other hosts.
	Address netip.AddrPort
	// Store returns the client of the platform's store.
	Store func() *platform.Client
	// TargetClient sends orders to targets.
	TargetClient *platform.TargetClient
	// OrderResult is called with whether a target responded to an order. It may be nil.
	OrderResult func(target string, answered bool)
	Log         *slog.Logger
	// Submit runs a function in the background.
	Submit func(func()) error
	// CollectReport returns what the host has to report since the last call.
	CollectReport func() Report
	// Targets returns the usable targets of the directory.
	Targets func() Targets
	// StateUpdated is called after every update of the state.
	StateUpdated func()
	// Feed is the host's copy of the store's objects. ObjectsChanged is called with the changes that other hosts added
	// to it.
	Feed           *feed.Feed
	ObjectsChanged func([]platform.Object)
	// FurtherKinds are the kinds of objects that the host needs besides the configuration and the targets.
	FurtherKinds []string
	// RateLimits holds the rate limits that targets state. RateLimitsChanged is called with the changes that other hosts
	// reported.
	RateLimits        *ratelimit.Table
	RateLimitsChanged func([]ratelimit.Limit)
	// TargetLeaves is called with the notice of a target that states in its response to an order that it leaves; nil means that
	// such statements are ignored.
	TargetLeaves func(directory.Notice)
	// Notices holds the statements of targets that they leave. NoticesAdded is called with those that other hosts sent.
	Notices      *directory.Notices
	NoticesAdded func([]directory.Notice)
	// StoreUnreachable reports whether this host's own calls to the store fail. SetStoreUnavailable receives whether
	// no host that watches the store reaches it.
	StoreUnreachable    func() bool
	SetStoreUnavailable func(bool)
	// FirstStart reports whether the whole system starts for the first time. A store without a document then has not lost it.
	FirstStart bool
	// TakeoverDelay is how long this host waits for other hosts before it takes over.
	TakeoverDelay time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
	// CutOff reports whether this host has lost all targets; nil means never. AcceptsRelayed reports whether it serves
	// requests that other hosts relay to RelayAddress; nil means never. Without RelayAddress this host neither is a relay nor
	// learns of any.
	CutOff         func() bool
	AcceptsRelayed func() bool
	RelayAddress   netip.AddrPort
	// DataCentre is the data centre of this host.
	DataCentre string
}

// Targets are the usable targets of a directory.
type Targets struct {
	// Version changes with every change of the targets.
	Version TargetsVersion
	// ByService maps each service divided by key to its targets.
	ByService map[string][]platform.Target
	// All holds the targets of all services of the configuration.
	All []platform.Target
}

// A TargetsVersion identifies the directory and configuration that Targets were derived from.
type TargetsVersion struct {
	Directory uint64
	// UsableCount is the number of usable targets, which changes without a new version of the directory when the
	// retention of a removed entry ends.
	UsableCount   int
	Configuration uint64
	// Evacuations changes with the set of evacuated data centres, whose targets count as draining.
	Evacuations uint64
}

// A Member takes part in the coordination on behalf of one host. Its methods are
// safe for concurrent use.
type Member struct {
	options             Options
	state               atomic.Pointer[State]
	recheck             chan struct{} // requests a check in the store of who coordinates
	watchGate           *gate         // open while this host watches the store
	startedAt           time.Time     // when Run began
	found               *reading      // document that Run continues with; nil if it has to read it
	mu                  sync.Mutex
	leader              *leader       // state as coordinator; nil unless this process coordinates
	coordinatorVersions feed.Versions // feed versions in the coordinator's last reply
	yieldTerm           uint64        // highest term that asked this process to end earlier terms
	candidateFrom       time.Time     // this process does not take over before then
	coordinatorClient   *client       // client of the coordinator that this host follows
	permitClient        *permitClient // the same for permits
	exchanged           tablesExchange
	lastReply           time.Time           // when a coordinator last replied
	refusedAt           time.Time           // when it first answered since that it does not coordinate; zero if it has not
	gaveWayUntil        time.Time           // this process gave way while cut off, and does not take over until then if it still is
	followed            *ownership.Document // names the coordinator that this host last followed, with its term
	lastLed             *ownership.Document // of this process's last term; nil if it has not coordinated
	knownTerm           uint64              // highest term of a coordinator that this host followed before the present one
	candidates          knownCandidates
	withdrawn           bool      // this process sends no orders any more
	repliedAt           time.Time // when the state was last updated by a reply
}

// A State is the content of the coordinator's latest reply. Until a coordinator
// has replied, it holds only a number of hosts.
type State struct {
	View
	// Coordinator is the coordinating process.
	Coordinator string
	// Hosts is the number of reporting hosts, and Index the position of this one among them by process name.
	Hosts int
	Index int
	// Rates are the requests per second of all hosts, by service.
	Rates map[string]float64
	// MovesHalted reports whether keys stay with their owners for now: a move has to be written to the store first, which the
	// coordinator does not reach.
	MovesHalted bool
	// Relays are the hosts to which this one may relay requests, in order of preference.
	Relays []Relay

	relaysVersion uint64 // of Relays; 0 if no coordinator has sent a list
}

// New returns a Member.
func New(o Options) *Member {
	o.Log = o.Log.With("part", "coordination")
	m := &Member{options: o, recheck: make(chan struct{}, 1), watchGate: newGate()}
	m.candidates = knownCandidates{now: newCandidates(), before: newCandidates()}
	m.state.Store(&State{Hosts: 1})
	return m
}

// State returns the state last received from the coordinator.
func (m *Member) State() *State { return m.state.Load() }

// StateAge returns the time since a coordinator's reply last updated the state, or since Run began if none has. It exceeds a few
// seconds only while no coordinator replies to this host.
func (m *Member) StateAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := later(m.repliedAt, m.startedAt)
	if at.IsZero() {
		return 0
	}
	return now().Sub(at)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Leading reports whether this process is the coordinator.
func (m *Member) Leading() bool { return m.currentLeader() != nil }

func (m *Member) currentLeader() *leader {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

// IsBackupWatcher reports whether this host watches the store only as a backup for the
// coordinator, or because no coordinator has replied to it yet.
func (m *Member) IsBackupWatcher() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader == nil && (m.lastReply.IsZero() || now().Sub(m.lastReply) < m.reportWait()+syncMargin)
}

// WaitToWatch blocks until this host has to watch the store and returns a context
// that is cancelled when it no longer has to.
func (m *Member) WaitToWatch(ctx context.Context) (context.Context, context.CancelFunc) {
	return m.watchGate.wait(ctx)
}

// ReportNow reports to the coordinator without waiting for the next report. It is
// called after a change in the store and after a request has crashed a target.
func (m *Member) ReportNow() {
	m.mu.Lock()
	l, coordinator := m.leader, m.coordinatorClient
	m.mu.Unlock()
	if l == nil && coordinator == nil {
		return // the next report to a coordinator includes it
	}
	err := m.options.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), syncMargin)
		defer cancel()
		if l != nil {
			l.reportNow(ctx)
		} else if _, err := m.sendReport(ctx, coordinator, 0, syncMargin); err != nil {
			m.options.Log.Warn("coordination: Report did not reach the coordinator.", "error", err.Error())
		}
	})
	if err != nil {
		m.options.Log.Error("coordination: Background task was rejected.", "error", err.Error())
	}
}

func (m *Member) versionsOfCoordinator() feed.Versions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coordinatorVersions
}

// setWatching makes this host start or stop watching the store.
func (m *Member) setWatching(open bool, reason string) {
	if m.watchGate.set(open) {
		m.options.Log.Info("coordination: Store watch switched.", "watching", open, "reason", reason)
	}
}

// RecheckCoordinator makes the member check in the store who coordinates. It is called when a
// target rejects a key that it owns according to the view.
func (m *Member) RecheckCoordinator() {
	select {
	case m.recheck <- struct{}{}:
	default:
	}
}

// Run follows the coordinator, or coordinates, until ctx ends.
func (m *Member) Run(ctx context.Context) {
	m.mu.Lock()
	m.startedAt = now()
	m.mu.Unlock()
	m.awaitPreload(ctx)
	read := m.readFirstDocument
	for waited := false; ctx.Err() == nil; {
		d, version, ok := m.nextDocument(ctx, read)
		read = m.readDocument
		if !ok {
			m.setWatching(true, "store does not answer")
			sleep(ctx, m.jitter(storeRetryInterval))
			continue
		}
		if d != nil && d.Coordinator != "" && d.Coordinator != m.options.Process && d.Address != m.options.Address {
			m.follow(ctx, d)
			continue
		}
		if m.candidacySuspended() {
			sleep(ctx, m.jitter(candidacyPollInterval))
			continue
		}
		if !waited && m.options.TakeoverDelay > 0 {
			waited = true
			sleep(ctx, m.options.TakeoverDelay)
			continue
		}
		if !m.lead(ctx, d, version) {
			sleep(ctx, m.jitter(retryInterval))
		}
	}
}

// nextDocument returns the document that follow or lead found, or else reads it.
func (m *Member) nextDocument(ctx context.Context, read func(context.Context) (*ownership.Document, platform.Version, bool)) (*ownership.Document, platform.Version, bool) {
	if found := m.found; found != nil {
		m.found = nil
		return found.document, found.version, true
	}
	return read(ctx)
}

// awaitPreload waits until this host has preloaded the configuration and the targets,
// for at most initialListTimeout. Without them the host watches the store. Low-priority
// candidates preload nothing: they get both from the coordinator, compressed. The lists
// of 295 hosts would fill the store's link for a second after the loss of all of them.
func (m *Member) awaitPreload(ctx context.Context) {
	if m.options.TakeoverDelay > 0 {
		return
	}
	preloaded := func() bool {
		return m.options.Feed.Preloaded(platform.KindConfiguration) && m.options.Feed.Preloaded(platform.KindTargets)
	}
	for end := now().Add(initialListTimeout); ctx.Err() == nil && !preloaded(); {
		if !now().Before(end) {
			m.setWatching(true, "initial lists are missing")
			return
		}
		sleep(ctx, initialListTimeout/20)
	}
}

// loaded reports whether this host's configuration, targets and objects of further kinds are confirmed.
func (m *Member) loaded() bool {
	for _, kind := range m.options.FurtherKinds {
		if !m.options.Feed.Loaded(kind) {
			return false
		}
	}
	return m.options.Feed.Loaded(platform.KindConfiguration) && m.options.Feed.Loaded(platform.KindTargets)
}

// jitter returns d scaled by a random factor between 0.75 and 1.25.
func (m *Member) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*m.options.Random()))
}

// now returns the time on the clock of this package, which is not stopped while the host is suspended.
func now() time.Time { return clock.Boot() }

// sleepOr waits for d, until ctx ends or until wake receives a value.
func sleepOr(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
