package coordination

import (
	"maps"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/quarantine"
)

// maxViewChanges limits the changes of the view that are kept. A host reports
// about twice a second and misses fewer between two reports.
const maxViewChanges = 256

// views holds the newest view and the changes that led to it, so that hosts
// receive only these instead of all holdings when a few keys move.
type views struct {
	newest    *View
	evaluated Version // version last passed to publish, even if the view was unchanged
	changes   []viewChange
}

// viewChange holds the holdings that changed from one view to the next.
type viewChange struct {
	from     Version
	holdings map[string][]ownership.Holding
}

// due reports whether a version differs from the one last passed to publish.
func (v *views) due(version Version) bool { return v.newest == nil || version != v.evaluated }

// publish makes the given content the newest view if it differs from the present
// newest view, and reports whether it does. Refused fingerprints are compared by
// their number only.
func (v *views) publish(version Version, holdings map[string][]ownership.Holding, refused []quarantine.Fingerprint) bool {
	v.evaluated = version
	if v.newest == nil {
		v.newest = &View{Version: version, Holdings: holdings, RejectedFingerprints: refused}
		return true
	}
	changes := map[string][]ownership.Holding{}
	for name := range v.newest.Holdings {
		if holdings[name] == nil {
			holdings[name] = []ownership.Holding{}
		}
	}
	for name, current := range holdings {
		if d := ownership.Diff(v.newest.Holdings[name], current); len(d) > 0 {
			changes[name] = d
		}
	}
	if len(changes) == 0 && len(refused) == len(v.newest.RejectedFingerprints) {
		return false
	}
	v.changes = append(v.changes, viewChange{from: v.newest.Version, holdings: changes})
	if len(v.changes) > maxViewChanges {
		v.changes = v.changes[1:]
	}
	v.newest = &View{Version: version, Holdings: holdings, RejectedFingerprints: refused}
	return true
}

// since returns the update for a host whose view has version have: nil if that is
// the newest one, else the changes after it, or the whole view if these are not
// kept or exceed half its size.
func (v *views) since(have Version) *View {
	if v.newest.Version == have {
		return nil
	}
	for i, first := range v.changes {
		if first.from != have {
			continue
		}
		changes := map[string][]ownership.Holding{}
		for _, change := range v.changes[i:] {
			for name, d := range change.holdings {
				changes[name] = ownership.Merge(changes[name], d)
			}
		}
		if 2*countHoldings(changes) > countHoldings(v.newest.Holdings) {
			break
		}
		return &View{Version: v.newest.Version, BaseVersion: &have, Holdings: changes, RejectedFingerprints: v.newest.RejectedFingerprints}
	}
	return v.newest
}

// countHoldings returns the number of holdings of all services.
func countHoldings(holdings map[string][]ownership.Holding) int {
	n := 0
	for _, h := range holdings {
		n += len(h)
	}
	return n
}

// apply returns the view after an update by next. It ignores an older view, and
// changes to a view other than v; the next reply will match v.
func (v View) apply(next *View) View {
	if next == nil || !next.Version.After(v.Version) {
		return v
	}
	if next.BaseVersion == nil {
		return *next
	}
	if *next.BaseVersion != v.Version {
		return v
	}
	holdings := maps.Clone(v.Holdings)
	if holdings == nil {
		holdings = map[string][]ownership.Holding{}
	}
	for name, d := range next.Holdings {
		holdings[name] = ownership.Patch(holdings[name], d)
	}
	return View{Version: next.Version, Holdings: holdings, RejectedFingerprints: next.RejectedFingerprints}
}
