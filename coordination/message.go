package coordination

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/quarantine"
)

// syncProcedure is the one call between hosts.
const syncProcedure = "/redwingtally.coordination.v1/Sync"

// A Report is what a host tells the coordinator.
type Report struct {
	// Host and Process name the sender; a restarted process has another name.
	Host    string `json:"host"`
	Process string `json:"process"`
	// Rates are the requests a second that the host's callers send, by service.
	Rates map[string]float64 `json:"rates"`
	// Keyed are the loads of divided services.
	Keyed map[string]ownership.Report `json:"keyed,omitempty"`
	// Crashed are targets that ended while they ran a request, and Answered are requests that were answered after that.
	Crashed  []quarantine.Crash       `json:"crashed,omitempty"`
	Answered []quarantine.Fingerprint `json:"answered,omitempty"`
	// View is the view that the sender has; the coordinator answers at once when it has a newer one.
	View Version `json:"view"`
	// Have are the versions up to which the sender knows the store's objects.
	Have feed.Versions `json:"have"`
	// Feed is what the sender learned from the store and the coordinator may lack.
	Feed feed.Delta `json:"feed,omitempty"`
	// Watching says that the sender watches the store.
	Watching bool `json:"watching,omitempty"`
	// StoreLost says that the sender watches the store and gets no answer.
	StoreLost bool `json:"store_lost,omitempty"`
	// Reluctant says that the sender is too small to coordinate unless no other host does.
	Reluctant bool `json:"reluctant,omitempty"`
	// Wait is how long the coordinator may wait for a newer view.
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

// A View is what the coordinator tells all hosts.
type View struct {
	Version Version `json:"version"`
	// Since is the view that the receiver must have when Holdings are only what changed after it.
	Since *Version `json:"since,omitempty"`
	// Holdings are the owners of keys, by service.
	Holdings map[string][]ownership.Holding `json:"holdings,omitempty"`
	// Refused are fingerprints of requests that crash targets.
	Refused []quarantine.Fingerprint `json:"refused,omitempty"`
}

// A Reply answers a Report.
type Reply struct {
	// View is absent when the sender has the newest, and a change when the coordinator remembers the sender's.
	View *View `json:"view,omitempty"`
	// Hosts is how many hosts report, and Index the sender's place among them.
	Hosts int `json:"hosts"`
	Index int `json:"index"`
	// Rates are the requests a second of all hosts, by service.
	Rates map[string]float64 `json:"rates"`
	// Feed is what the sender lacks of the store's objects, and Have what the coordinator knows.
	Feed feed.Delta    `json:"feed,omitempty"`
	Have feed.Versions `json:"have"`
	// Watch asks the sender to watch the store itself.
	Watch bool `json:"watch,omitempty"`
	// StoreAway says that no host that watches the store gets an answer.
	StoreAway bool `json:"store_away,omitempty"`
	// StoreAge is how long ago the store confirmed the coordinator.
	StoreAge time.Duration `json:"store_age"`
}

// codec encodes messages as JSON; they are plain structures.
type codec struct{}

func (codec) Name() string { return "json" }

func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

func (codec) Unmarshal(data []byte, v any) error {
	if err := json.Unmarshal(data, v); err != nil {
		return eris.Wrapf(ErrMessage, "%v", err)
	}
	return nil
}
