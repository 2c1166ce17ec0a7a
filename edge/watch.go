package edge

import (
	"context"
	"net/netip"
	"time"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/routing"
)

const (
	// watchRetryPause is the time between calls to a store that does not respond. The platform charges for every call.
	watchRetryPause = 400 * time.Millisecond
	// configurationWatchPause and targetsWatchPause are the times between two watches by the coordinator. They are
	// short because changes must be in force within two seconds.
	configurationWatchPause = 100 * time.Millisecond
	targetsWatchPause       = 200 * time.Millisecond
	// evacuationsWatchPause is the same for evacuations, of which hosts must learn within five seconds.
	evacuationsWatchPause = 200 * time.Millisecond
	// watchPausePerHost times the number of hosts is the least pause of the coordinator, as it sends each change to
	// all hosts.
	watchPausePerHost = time.Millisecond
	// backupWatchPause is the time between two watches by a backup watcher, a host that watches in addition to
	// the coordinator. Together with the time to detect a lost coordinator it stays within these two seconds.
	backupWatchPause = 700 * time.Millisecond
	// catchUpWait is how long the first watch waits for a change; it must return soon if there is none.
	catchUpWait = time.Millisecond
	// targetExpiryInterval is the time between two checks for targets whose entries were removed and not restored.
	targetExpiryInterval = 200 * time.Millisecond
)

// preload begins the copy of a kind with a list that may lag. The coordinator confirms it
// with its first reply, so that a host that starts costs the store no full list.
func (e *Edge) preload(ctx context.Context, kind string) {
	objects, version, err := e.store.Load().ListStale(ctx, kind)
	if err != nil {
		e.metrics.StoreCalls.WithLabelValues("preload", "failed").Inc()
		e.log.Warn("store: Objects cannot be preloaded.", "kind", kind, "error", err.Error())
		return
	}
	e.metrics.StoreCalls.WithLabelValues("preload", "ok").Inc()
	e.feed.Preload(kind, objects, version)
	e.log.Info("store: Objects preloaded.", "kind", kind, "objects", len(objects), "version", version.String())
}

// watchWhenAssigned watches the objects of one kind while this host has to watch
// the store. A host that is not small preloads them first. pause is the time between two watches.
// Changes within a pause cost only one call.
func (e *Edge) watchWhenAssigned(ctx context.Context, kind string, pause time.Duration) {
	if takeoverDelay(e.settings.CPUShare) == 0 { // small hosts get the objects from the coordinator
		e.preload(ctx, kind)
	}
	e.watchAssigned(ctx, kind, pause)
}

// watchAssigned is watchWhenAssigned without the list at the start.
func (e *Edge) watchAssigned(ctx context.Context, kind string, pause time.Duration) {
	for ctx.Err() == nil {
		watching, stop := e.member.WaitToWatch(ctx)
		e.watchKind(watching, kind, pause)
		stop()
	}
}

// watchKind applies the changes of the objects of a kind until ctx ends. It begins with the
// changes since the version of the copy, preloaded or not, and lists the objects only if that fails:
// when a coordinator is lost, many hosts begin at once, and their lists would fill the store's link.
func (e *Edge) watchKind(ctx context.Context, kind string, pause time.Duration) {
	from := e.feed.Versions()[kind]
	listed, wait := from > 0, catchUpWait
	for ctx.Err() == nil {
		var err error
		var objects []platform.Object
		store := e.store.Load()
		if listed {
			objects, from, err = store.Watch(ctx, kind, from, wait)
			wait = platform.MaxWatchWait
		} else {
			objects, from, err = store.List(ctx, kind)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.metrics.StoreCalls.WithLabelValues("follow", "failed").Inc()
		}
		if err != nil && listed {
			// The interrupted watch may have missed changes that the store's history no longer holds, and the next
			// watch would not report the gap. Listing the objects also shows whether the store is unavailable.
			listed = false
			e.log.Info("store: Watch failed; listing the objects.", "kind", kind, "version", from.String(), "error", err.Error())
			continue
		}
		if err != nil {
			e.storeFailed(kind, err)
			sleep(ctx, watchRetryPause)
			continue
		}
		e.metrics.StoreCalls.WithLabelValues("follow", "ok").Inc()
		e.storeSucceeded(kind, from)
		var changes []platform.Object
		if listed {
			changes = e.feed.Apply(kind, objects, from)
		} else {
			changes = e.feed.Replace(kind, objects, from)
			e.log.Info("store: Objects listed.", "kind", kind, "objects", len(objects), "changes", len(changes), "version", from.String())
		}
		listed = true
		e.applyObjects(changes)
		e.member.ReportNow()
		sleep(ctx, e.watchPause(pause))
	}
}

// watchPause returns the time between two watches of this host: pause for the
// coordinator, which passes changes on to the other hosts, and backupWatchPause
// for a backup watcher, which watches in case the coordinator loses the store.
func (e *Edge) watchPause(pause time.Duration) time.Duration {
	if e.member.IsBackupWatcher() {
		return backupWatchPause
	}
	return max(pause, time.Duration(e.member.State().Hosts)*watchPausePerHost)
}

// newStoreClient returns a client of the store that logs when the store was restored from a copy and makes the
// coordinator check its document.
func (e *Edge) newStoreClient(address netip.AddrPort) *platform.Client {
	client := platform.NewClient(address)
	client.OnEraChange(func(before, now uint64) {
		versions := map[string]string{}
		for kind, version := range e.feed.Versions() {
			versions[kind] = version.String()
		}
		e.log.Warn("store: Restored from a copy.", "era_before", before, "era", now, "versions", versions)
		e.member.EraChanged()
	})
	return client
}

// storeFailed records that listing the objects of a kind failed.
func (e *Edge) storeFailed(kind string, err error) {
	if !e.ownStoreUnreachable() {
		e.log.Warn("store: Unavailable.", "kind", kind, "error", err.Error())
	}
	e.setOwnStoreUnreachable(true)
}

// storeSucceeded records that the store responded to a call.
func (e *Edge) storeSucceeded(kind string, version platform.Version) {
	if e.ownStoreUnreachable() {
		e.log.Info("store: Available again.", "kind", kind, "version", version.String())
	}
	e.setOwnStoreUnreachable(false)
}

// setOwnStoreUnreachable records whether this host's own calls to the store fail.
func (e *Edge) setOwnStoreUnreachable(unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeUnreachable = unreachable
}

// ownStoreUnreachable reports whether this host's own calls to the store fail.
func (e *Edge) ownStoreUnreachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.storeUnreachable
}

// setStoreUnavailable tells the directory whether entries may expire only because
// the store is unavailable. That is the case when no host reaches the store. A
// single host that cannot reach it receives changes from the other hosts.
func (e *Edge) setStoreUnavailable(unavailable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if unavailable {
		e.targets.PlatformUnavailable()
	} else {
		e.targets.PlatformRecovered(time.Now())
	}
}

// knowsStoreUnavailable reports whether this host knows that no host reaches the store.
func (e *Edge) knowsStoreUnavailable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.targets.PlatformIsUnavailable()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchConfiguration watches the operators' configuration.
func (e *Edge) watchConfiguration(ctx context.Context) {
	e.watchWhenAssigned(ctx, platform.KindConfiguration, configurationWatchPause)
}

// watchTargets watches the targets' entries and expires removed targets.
func (e *Edge) watchTargets(ctx context.Context) {
	go e.expireTargets(ctx)
	e.watchWhenAssigned(ctx, platform.KindTargets, targetsWatchPause)
}

// maxLoggedEntries is the number of changed entries in one batch that are logged one by one. A
// list of a large fleet changes hundreds at once.
const maxLoggedEntries = 16

// applyObjects applies changes of the store's objects, received from the store or
// from another host.
func (e *Edge) applyObjects(changes []platform.Object) {
	changed := false
	e.recordEra(changes)
	targets := targetBatch{edge: e}
	for _, o := range changes {
		switch {
		case o.Kind == platform.KindTargets:
			changed = targets.apply(o) || changed
		case o.Kind == platform.KindEvacuations:
			changed = e.applyEvacuation(o) || changed
		case o.Kind == platform.KindConfiguration && o.Name == platform.NameConfiguration && !o.Deleted:
			changed = e.applyConfiguration(o) || changed
		}
	}
	targets.logRest()
	if changed {
		e.updateServices()
	}
	e.signalInitialState()
}

// recordEra tells the directory when changes are the first of a later era, that is, when the store was
// restored from a copy.
func (e *Edge) recordEra(changes []platform.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range changes {
		if era := o.Version.Era(); era > e.storeEra {
			if e.storeEra > 0 {
				e.targets.PlatformRestored(time.Now())
			}
			e.storeEra = era
		}
	}
}

// signalInitialState releases the requests in awaitInitialState once the
// configuration and the targets have been received.
func (e *Edge) signalInitialState() {
	if e.table.Load() != nil && e.targetsLoaded() {
		e.initialisedOnce.Do(func() {
			e.updateServices() // the last part to be received may have brought no change
			close(e.initialised)
		})
	}
}

// applyConfiguration puts a configuration in force unless it is malformed or not
// newer than the one in force. It reports whether the configuration changed.
func (e *Edge) applyConfiguration(o platform.Object) bool {
	c, err := platform.DecodeConfiguration(o)
	if err != nil {
		e.log.Error("configuration: Malformed; keeping the one in force.", "version", o.Version.String(), "error", err.Error())
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if current := e.table.Load(); current != nil && current.Configuration.Version >= c.Version {
		e.log.Info("configuration: Older version ignored.", "version", c.Version, "have", current.Configuration.Version)
		return false
	}
	e.table.Store(routing.New(c))
	e.log.Info("configuration: In force.", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "store_version", o.Version.String())
	return true
}

// targetBatch applies changes of targets' entries that arrived together. It logs the
// first maxLoggedEntries of them and the number of the others.
type targetBatch struct {
	edge                                  *Edge
	logged                                int
	changed, draining, removed, malformed int              // changes that were not logged
	version                               platform.Version // of the last of these
}

// apply applies a change of one entry to the directory and reports whether the
// directory changed. A malformed entry counts as removed.
func (b *targetBatch) apply(o platform.Object) bool {
	e := b.edge
	var t platform.Target
	var err error
	if !o.Deleted {
		t, err = platform.DecodeTarget(o)
	}
	var crashed []brokenRequest
	e.mu.Lock()
	before := e.targets.Version()
	if err == nil && !o.Deleted {
		t = e.withNotice(t)
	}
	if o.Deleted || err != nil {
		e.targets.Remove(time.Now(), o.Name)
	} else {
		e.targets.Set(time.Now(), t)
		crashed = e.restarts.take(time.Now(), t)
	}
	changed := e.targets.Version() != before
	e.mu.Unlock()
	for _, b := range crashed {
		e.recordCrash(b.crash, b.id)
	}
	if err == nil && !changed {
		return false
	}
	if b.logged >= maxLoggedEntries {
		b.count(o, t, err)
		return changed
	}
	b.logged++
	switch {
	case o.Deleted:
		e.log.Info("directory: Entry removed.", "target", o.Name, "version", o.Version.String())
	case err != nil:
		e.log.Warn("directory: Entry does not describe a target.", "entry", o.Name, "error", err.Error())
	default:
		e.log.Info("directory: Target changed.", "target", t.Name, "service", t.Service, "address", t.Address.String(),
			"draining", t.Draining, "born", t.StartedAt.UnixMilli(), "cold_ms", t.WarmupLeft.Milliseconds(), "version", o.Version.String())
	}
	return changed
}

// count counts a change that is not logged.
func (b *targetBatch) count(o platform.Object, t platform.Target, err error) {
	b.version = max(b.version, o.Version)
	switch {
	case o.Deleted:
		b.removed++
	case err != nil:
		b.malformed++
	case t.Draining:
		b.draining++
	default:
		b.changed++
	}
}

// logRest logs the number of changes that were not logged one by one.
func (b *targetBatch) logRest() {
	if n := b.changed + b.draining + b.removed + b.malformed; n > 0 {
		b.edge.log.Info("directory: Further entries changed.", "entries", n, "draining", b.draining, "removed", b.removed, "malformed", b.malformed, "version", b.version.String())
	}
}

// expireTargets removes targets whose entries were removed and not restored. It
// runs until ctx ends.
func (e *Edge) expireTargets(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, targetExpiryInterval)
		e.mu.Lock()
		now := time.Now()
		usable := e.targets.UsableCount(now)
		e.targets.DeleteExpired(now)
		e.retainRateLimits(now)
		e.notices.Retain(now, e.targets.Lists)
		pacesEnded := e.endPaces(now)
		changed := usable != e.usableTargets
		e.usableTargets = usable
		e.mu.Unlock()
		if changed {
			e.updateServices()
		}
		if pacesEnded {
			e.updateRateLimits()
		}
	}
}
