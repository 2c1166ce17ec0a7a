package edge

import (
	"time"

	"github.com/redwingtally/redwingtally/coordination"
	"github.com/redwingtally/redwingtally/platform"
)

// targetsLoaded reports whether this host knows the targets and which of them it may send to.
func (e *Edge) targetsLoaded() bool {
	return e.feed.Loaded(platform.KindTargets) && e.evacuationsLoaded()
}

// coordinationTargets returns the usable targets of the configured services. Entries of other services describe no
// target, whatever their name and address. The result is empty until the configuration and the targets have been received.
func (e *Edge) coordinationTargets() coordination.Targets {
	out := coordination.Targets{ByService: map[string][]platform.Target{}}
	table := e.table.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	if table == nil || !e.targetsLoaded() {
		return out
	}
	now := time.Now()
	out.Version = coordination.TargetsVersion{
		Directory: e.targets.Version(), UsableCount: e.usableTargets, Configuration: table.Configuration.Version,
		Evacuations: e.evacuations.version(),
	}
	for _, spec := range table.Configuration.Services {
		targets := e.serviceTargets(now, spec.Name)
		out.All = append(out.All, targets...)
		if spec.Keyed {
			out.ByService[spec.Name] = targets
		}
	}
	return out
}
