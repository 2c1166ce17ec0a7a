package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/routing"
	"github.com/redwingtally/redwingtally/settings"
)

// evacuations holds the data centres that operators evacuate. It is safe for concurrent use. The zero
// value holds none.
type evacuations struct {
	mu      sync.RWMutex
	since   map[string]time.Time // when this host learnt of each, by data centre
	ignored map[string]bool      // services of which the evacuated data centres hold all usable targets
	unknown map[string]bool      // data centres that were logged as unknown
	changes uint64
}

// version returns a number that grows with every change of the evacuated data centres.
func (v *evacuations) version() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changes
}

// set records whether a data centre is evacuated. It returns since when it was until now, and whether that has changed.
func (v *evacuations) set(now time.Time, dataCentre string, evacuated bool) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	since, was := v.since[dataCentre]
	if was == evacuated {
		return since, false
	}
	v.changes++
	if !evacuated {
		delete(v.since, dataCentre)
		delete(v.unknown, dataCentre)
		return since, true
	}
	if v.since == nil {
		v.since, v.ignored, v.unknown = map[string]time.Time{}, map[string]bool{}, map[string]bool{}
	}
	v.since[dataCentre] = now
	return since, true
}

// covers reports whether targets of a service in a data centre must get no requests.
func (v *evacuations) covers(service, dataCentre string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	_, evacuated := v.since[dataCentre]
	return evacuated && !v.ignored[service]
}

// setIgnored records whether the evacuations are ignored for a service, and reports whether that has changed.
func (v *evacuations) setIgnored(service string, ignored bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ignored[service] == ignored {
		return false
	}
	v.ignored[service] = ignored
	return true
}

// newUnknown returns the evacuated data centres that are not known and were not returned before.
func (v *evacuations) newUnknown(known map[string]bool) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for dataCentre := range v.since {
		if !known[dataCentre] && !v.unknown[dataCentre] {
			v.unknown[dataCentre] = true
			out = append(out, dataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// list returns a copy of the evacuated data centres.
func (v *evacuations) list() map[string]time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return maps.Clone(v.since)
}

// markEvacuated marks the targets in evacuated data centres as draining. If these hold all usable targets, it
// changes none and returns false: a service without targets would reject every request.
func markEvacuated(targets []platform.Target, evacuated map[string]time.Time) bool {
	usable, elsewhere := false, false
	for _, t := range targets {
		_, in := evacuated[t.DataCentre]
		usable = usable || !t.Draining
		elsewhere = elsewhere || !t.Draining && !in
	}
	if usable && !elsewhere {
		return false
	}
	for i := range targets {
		if _, in := evacuated[targets[i].DataCentre]; in {
			targets[i].Draining, targets[i].Noticed = true, false
		}
	}
	return true
}

// furtherKinds returns the kinds that a host with the given settings needs besides the configuration and the targets.
func furtherKinds(s settings.Edge) []string {
	if s.Evacuate > 0 {
		return []string{platform.KindEvacuations}
	}
	return nil
}

// evacuates reports whether operators may evacuate data centres of this deployment.
func (e *Edge) evacuates() bool { return e.settings.Evacuate > 0 }

// evacuationsLoaded reports whether this host knows the evacuations. It uses no target before.
func (e *Edge) evacuationsLoaded() bool {
	return !e.evacuates() || e.feed.Loaded(platform.KindEvacuations)
}

// watchEvacuations watches the evacuations. It preloads none: a list that lags may lack one, and the first
// reply of a coordinator brings all of them.
func (e *Edge) watchEvacuations(ctx context.Context) {
	if e.evacuates() {
		e.watchAssigned(ctx, platform.KindEvacuations, evacuationsWatchPause)
	}
}

// applyEvacuation applies the change of one evacuation, and reports whether the evacuated data centres have changed.
func (e *Edge) applyEvacuation(o platform.Object) bool {
	if !e.evacuates() {
		return false // from a host with other settings
	}
	since, changed := e.evacuations.set(time.Now(), o.Name, !o.Deleted)
	switch {
	case !changed:
		return false
	case o.Deleted:
		e.log.Info("evacuation: Data centre is in service again.", "data_centre", o.Name, "took", time.Since(since), "version", o.Version.String())
	default:
		e.log.Warn("evacuation: Data centre is evacuated.", "data_centre", o.Name, "running", e.runningIn(o.Name), "version", o.Version.String())
	}
	return true
}

// serviceTargets returns the usable targets of a service, sorted by name. Those in evacuated data centres
// are marked as draining. The caller holds e.mu.
func (e *Edge) serviceTargets(now time.Time, service string) []platform.Target {
	targets := e.targets.ServiceTargets(now, service)
	if evacuated := e.evacuations.list(); len(evacuated) > 0 {
		markEvacuated(targets, evacuated)
	}
	return targets
}

// updateEvacuations determines the services for which the evacuations are ignored, and updates the metrics. It logs what has
// changed. The caller holds e.mu.
func (e *Edge) updateEvacuations(now time.Time, table *routing.Table) {
	evacuated := e.evacuations.list()
	if evacuated == nil {
		return // there has been none
	}
	for _, spec := range table.Configuration.Services {
		ignored := len(evacuated) > 0 && !markEvacuated(e.targets.ServiceTargets(now, spec.Name), evacuated)
		if !e.evacuations.setIgnored(spec.Name, ignored) {
			continue
		}
		e.metrics.EvacuationsIgnored.WithLabelValues(spec.Name).Set(float64(count(ignored)))
		if ignored {
			e.log.Error("evacuation: Evacuated data centres hold all usable targets of a service. They are used on.", "service", spec.Name)
		} else {
			e.log.Info("evacuation: Service obeys evacuations again.", "service", spec.Name)
		}
	}
	known := map[string]bool{e.settings.DataCentre: true}
	for _, t := range e.targets.AllTargets(now) {
		known[t.DataCentre] = true
	}
	for dataCentre := range known {
		_, in := evacuated[dataCentre]
		e.metrics.EvacuatedDataCentres.WithLabelValues(dataCentre).Set(float64(count(in)))
	}
	if !e.feed.Loaded(platform.KindTargets) {
		return
	}
	for _, dataCentre := range e.evacuations.newUnknown(known) {
		e.log.Warn("evacuation: No target is in the evacuated data centre.", "data_centre", dataCentre)
	}
}

// runningIn returns the number of this host's requests that run at targets of a data centre.
func (e *Edge) runningIn(dataCentre string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, n := time.Now(), 0
	for name, s := range e.services {
		in := map[string]bool{}
		for _, t := range e.targets.ServiceTargets(now, name) {
			in[t.Name] = t.DataCentre == dataCentre
		}
		s.mu.Lock()
		for _, t := range s.scheduler.TargetStates(now) {
			if in[t.Name] {
				n += t.Running
			}
		}
		s.mu.Unlock()
	}
	return n
}

// evacuationState is an evacuated data centre in the state dump.
type evacuationState struct {
	DataCentre string    `json:"data_centre"`
	Since      time.Time `json:"since"`
	Running    int       `json:"running"`
}

// dumpEvacuations returns the evacuated data centres for the state dump.
func (e *Edge) dumpEvacuations() any {
	evacuated := e.evacuations.list()
	out := make([]evacuationState, 0, len(evacuated))
	for dataCentre, since := range evacuated {
		out = append(out, evacuationState{DataCentre: dataCentre, Since: since, Running: e.runningIn(dataCentre)})
	}
	slices.SortFunc(out, func(a, b evacuationState) int { return a.Since.Compare(b.Since) })
	return out
}
