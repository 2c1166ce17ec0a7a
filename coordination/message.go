package coordination

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/directory"
	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/quarantine"
	"github.com/redwingtally/redwingtally/ratelimit"
)

// syncProcedure is the path of the call by which hosts report to the coordinator.
const syncProcedure = "/redwingtally.coordination.v1/Sync"

// A Report is the message that a host sends to the coordinator.
type Report struct {
	// Host and Process identify the sender; Process differs after a restart.
	Host    string `json:"host"`
	Process string `json:"process"`
	// Rates are the requests per second that the host's callers send, by service.
	Rates map[string]float64 `json:"rates"`
	// KeyedLoads are the loads of services divided by key, by service.
	KeyedLoads map[string]ownership.Report `json:"keyed,omitempty"`
	// Crashed lists crashes of targets while they ran a request. Answered lists requests that a target answered after
	// such a crash.
	Crashed  []quarantine.Crash       `json:"crashed,omitempty"`
	Answered []quarantine.Fingerprint `json:"answered,omitempty"`
	// View is the version of the sender's view. The coordinator replies immediately when it has another one.
	View Version `json:"view"`
	// FeedVersions are the versions up to which the sender's copy of the store's objects is complete.
	FeedVersions feed.Versions `json:"have"`
	// Unconfirmed reports whether the sender's copy may lack changes before FeedVersions, so that the coordinator
	// replies as soon as it can confirm it.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Feed holds the changes that the sender received from the store and the coordinator may lack.
	Feed feed.Delta `json:"feed,omitempty"`
	// RateLimits are the limits that changed since the coordinator last received them. KnownRateLimits is the version up to
	// which the sender has the coordinator's.
	RateLimits      []ratelimit.Limit `json:"rate_limits,omitempty"`
	KnownRateLimits RateLimitsVersion `json:"known_rate_limits"`
	// Notices are those that were added since the coordinator last received them. KnownNotices is the version up to which the
	// sender has the coordinator's, of the process that KnownRateLimits names; nil from earlier builds, which know no notices.
	Notices      []directory.Notice `json:"notices,omitempty"`
	KnownNotices *uint64            `json:"known_notices,omitempty"`
	// KnownTerm is the highest term of a coordinator that the sender has followed, or been, before it followed this one.
	KnownTerm uint64 `json:"known_term,omitempty"`
	// KnownCandidates is the version of the list of candidates that the sender has; nil from earlier builds. CandidatesBefore is
	// that of the list that it had before it followed this coordinator, and 0 if it had none. Candidates is the latter list, if
	// the coordinator has asked for it.
	KnownCandidates  *uint64  `json:"known_candidates,omitempty"`
	CandidatesBefore uint64   `json:"candidates_before,omitempty"`
	Candidates       []string `json:"candidates,omitempty"`
	// Withdrawn reports whether the sender's process has stopped coordinating for good.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Watching reports whether the sender watches the store.
	Watching bool `json:"watching,omitempty"`
	// StoreUnreachable reports whether the sender watches the store but cannot reach it.
	StoreUnreachable bool `json:"store_lost,omitempty"`
	// LowPriority reports whether the sender is a low-priority candidate: a small host that coordinates only if no other
	// host does.
	LowPriority bool `json:"reluctant,omitempty"`
	// AcceptsPacked reports whether the sender understands the packed parts of replies; earlier builds do not.
	AcceptsPacked bool `json:"accepts_packed,omitempty"`
	// RelayAddress is where the sender's relay listener serves other hosts. It is not set if the sender relays no
	// requests, or is an earlier build.
	RelayAddress netip.AddrPort `json:"relay_address,omitzero"`
	// DataCentre is the data centre of the sender.
	DataCentre string `json:"data_centre,omitempty"`
	// CutOff reports whether the sender has lost all targets.
	CutOff bool `json:"cut_off,omitempty"`
	// AcceptsRelayed reports whether the sender serves requests that other hosts relay to it.
	AcceptsRelayed bool `json:"accepts_relayed,omitempty"`
	// KnownRelays is the version of the list of relays that the sender has, or 0 if it has none.
	KnownRelays uint64 `json:"known_relays,omitempty"`
	// Wait is how long the coordinator may wait for a change before it replies, in nanoseconds on the wire.
	Wait time.Duration `json:"wait"`
}

// A Version orders views: by term, then by number.
type Version struct {
	Term   uint64 `json:"term"`
	Number uint64 `json:"number"`
}

// After reports whether v is newer than o.
func (v Version) After(o Version) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Number > o.Number
}

// A RateLimitsVersion is a version of the rate limits of one process.
type RateLimitsVersion struct {
	Process string `json:"process,omitempty"`
	Number  uint64 `json:"number,omitempty"`
}

// A View is what the coordinator publishes to all hosts.
type View struct {
	Version Version `json:"version"`
	// BaseVersion is the version of the view to which Holdings are changes. When it is nil, Holdings are complete.
	BaseVersion *Version `json:"since,omitempty"`
	// Holdings are the owners of keys, by service.
	Holdings map[string][]ownership.Holding `json:"holdings,omitempty"`
	// RejectedFingerprints lists the fingerprints of requests that hosts reject because they crash targets.
	RejectedFingerprints []quarantine.Fingerprint `json:"refused,omitempty"`
}

// A Reply answers a Report.
type Reply struct {
	// View is nil when the sender has the newest view. It holds only the changes since the sender's view when the
	// coordinator has kept them.
	View *View `json:"view,omitempty"`
	// Hosts is the number of reporting hosts, and Index the sender's position among them by process name.
	Hosts int `json:"hosts"`
	Index int `json:"index"`
	// Rates are the requests per second of all hosts, by service.
	Rates map[string]float64 `json:"rates"`
	// Feed holds the changes of the store's objects that the sender lacks, and FeedVersions the versions up to which
	// the coordinator's copy is complete. Kinds that the coordinator has not listed itself are left out.
	Feed         feed.Delta    `json:"feed,omitempty"`
	FeedVersions feed.Versions `json:"have"`
	// RateLimits are the limits that changed since the version that the sender knows, and RateLimitsVersion the version up
	// to which they are complete.
	RateLimits        []ratelimit.Limit `json:"rate_limits,omitempty"`
	RateLimitsVersion RateLimitsVersion `json:"rate_limits_version"`
	// Notices are those that the sender lacks, and NoticesVersion the version up to which they are complete, of the process
	// that RateLimitsVersion names.
	Notices        []directory.Notice `json:"notices,omitempty"`
	NoticesVersion uint64             `json:"notices_version,omitempty"`
	// Candidates holds what the sender lacks of the list of candidates, and CandidatesVersion is the version of the list; 0 from
	// earlier builds. WantsCandidates asks the sender for its list of before.
	Candidates        *CandidatesDelta `json:"candidates,omitempty"`
	CandidatesVersion uint64           `json:"candidates_version,omitempty"`
	WantsCandidates   bool             `json:"wants_candidates,omitempty"`
	// Relays are the hosts to which the sender may relay requests. RelaysVersion is the version of this list; if it is 0, the
	// reply contains no list and the sender keeps the one it has.
	Relays        []Relay `json:"relays,omitempty"`
	RelaysVersion uint64  `json:"relays_version,omitempty"`
	// WatchStore reports whether the sender has to watch the store itself.
	WatchStore bool `json:"watch,omitempty"`
	// StoreUnavailable reports whether no host that watches the store reaches it.
	StoreUnavailable bool `json:"store_away,omitempty"`
	// ConfirmationAge is the time since the store last confirmed that the sender of the reply coordinates, in
	// nanoseconds on the wire.
	ConfirmationAge time.Duration `json:"store_age"`

	// PackedView and PackedFeed are View and Feed as compressed JSON. Replies to many hosts carry these instead.
	PackedView []byte `json:"packed_view,omitempty"`
	PackedFeed []byte `json:"packed_feed,omitempty"`

	sharedView *shared[*View]      // View, if it is shared with other replies
	sharedFeed *shared[feed.Delta] // Feed, if it is shared with other replies
}

// A Relay is a host that serves requests of hosts that have lost all targets.
type Relay struct {
	Host       string         `json:"host"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre,omitempty"`
}

// codec encodes messages as JSON. The codecs of connect accept only protobuf
// messages.
type codec struct{}

func (codec) Name() string { return "json" }

func (codec) Marshal(v any) ([]byte, error) {
	if r, ok := v.(*Reply); ok {
		return r.marshal()
	}
	return json.Marshal(v)
}

func (codec) Unmarshal(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return eris.Wrapf(ErrMessage, "%v", err)
	}
	if r, ok := v.(*Reply); ok {
		if err := r.unpack(); err != nil {
			return eris.Wrapf(ErrMessage, "%v", err)
		}
	}
	return nil
}
