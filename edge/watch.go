package edge

import (
	"context"
	"time"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/routing"
)

const (
	// watchRetry is the time between attempts to reach a store that does not answer; every call is paid for.
	watchRetry = 400 * time.Millisecond
	// configurationPause and targetsPause are small parts of the two seconds in which changes must be in force.
	configurationPause = 100 * time.Millisecond
	targetsPause       = 200 * time.Millisecond
	// sparePause is the time between two watches of a host that watches beside the coordinator. With the time
	// after which it is missed, it stays within the two seconds.
	sparePause = 700 * time.Millisecond
	// directoryTick is the time between two looks for targets whose entries vanished some time ago.
	directoryTick = 200 * time.Millisecond
)

// follow watches the objects of one kind while this host has to. pause is the
// time between two watches; changes that come together cost one call.
func (e *Edge) follow(ctx context.Context, kind string, pause time.Duration) {
	for ctx.Err() == nil {
		watching, stop := e.member.WaitToWatch(ctx)
		e.watchKind(watching, kind, pause)
		stop()
	}
}

// watchKind lists the objects of a kind and takes the changes until ctx ends.
func (e *Edge) watchKind(ctx context.Context, kind string, pause time.Duration) {
	listed := false
	var from platform.Version
	for ctx.Err() == nil {
		var err error
		var objects []platform.Object
		store := e.store.Load()
		if listed {
			objects, from, err = store.Watch(ctx, kind, from, platform.MaxWatchWait)
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
			// A watch that was cut may have missed changes whose history is gone, and the next one would not tell.
			// The list shows whether the store is away.
			listed = false
			e.log.Info("store: Watch ended.", "kind", kind, "version", uint64(from), "error", err.Error())
			continue
		}
		if err != nil {
			e.storeFailed(kind, err)
			pauseFor(ctx, watchRetry)
			continue
		}
		e.metrics.StoreCalls.WithLabelValues("follow", "ok").Inc()
		e.storeAnswered(kind, from)
		var changes []platform.Object
		if listed {
			changes = e.feed.Apply(kind, objects, from)
		} else {
			changes = e.feed.Replace(kind, objects, from)
			e.log.Info("store: Listed.", "kind", kind, "objects", len(objects), "changes", len(changes), "version", uint64(from))
		}
		listed = true
		e.takeObjects(changes)
		e.member.ReportNow()
		pauseFor(ctx, e.watchPause(pause))
	}
}

// watchPause returns the time between two watches of this host: pause for the
// coordinator, from which the others learn, and more for those that watch in case it cannot.
func (e *Edge) watchPause(pause time.Duration) time.Duration {
	if e.member.IsBackupWatcher() {
		return sparePause
	}
	return pause
}

// storeFailed notes that the store did not answer, or cut a watch.
func (e *Edge) storeFailed(kind string, err error) {
	if !e.storeAway() {
		e.log.Warn("store: Lost.", "kind", kind, "error", err.Error())
	}
	e.setOwnStoreAway(true)
}

func (e *Edge) storeAnswered(kind string, version platform.Version) {
	if e.storeAway() {
		e.log.Info("store: Regained.", "kind", kind, "version", uint64(version))
	}
	e.setOwnStoreAway(false)
}

func (e *Edge) setOwnStoreAway(away bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.away = away
}

// storeAway reports whether this host's own calls of the store fail.
func (e *Edge) storeAway() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.away
}

// setStoreAway tells the directory whether entries can lapse for want of the
// store. That is so when no host reaches it; one host that lost it learns of
// changes from the others.
func (e *Edge) setStoreAway(away bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if away {
		e.targets.PlatformUnavailable()
	} else {
		e.targets.PlatformRecovered(time.Now())
	}
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchConfiguration follows the operators' configuration.
func (e *Edge) watchConfiguration(ctx context.Context) {
	e.follow(ctx, platform.KindConfiguration, configurationPause)
}

// watchTargets follows the targets' entries.
func (e *Edge) watchTargets(ctx context.Context) {
	go e.tickTargets(ctx)
	e.follow(ctx, platform.KindTargets, targetsPause)
}

// takeObjects takes changes of the store's objects, from the store or from another host.
func (e *Edge) takeObjects(changes []platform.Object) {
	changed := false
	for _, o := range changes {
		switch {
		case o.Kind == platform.KindTargets:
			changed = e.takeTarget(o) || changed
		case o.Kind == platform.KindConfiguration && o.Name == platform.NameConfiguration && !o.Deleted:
			changed = e.takeConfiguration(o) || changed
		}
	}
	if changed {
		e.refresh()
	}
	e.noteKnowledge()
}

// noteKnowledge lets requests go on that came before configuration and targets were known.
func (e *Edge) noteKnowledge() {
	if e.table.Load() != nil && e.feed.Loaded(platform.KindTargets) {
		e.learned.Do(func() { close(e.knows) })
	}
}

// takeConfiguration puts a configuration in force unless a newer one is.
func (e *Edge) takeConfiguration(o platform.Object) bool {
	c, err := platform.DecodeConfiguration(o)
	if err != nil {
		e.log.Error("configuration: Malformed; the one in force stays.", "version", uint64(o.Version), "error", err.Error())
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if have := e.table.Load(); have != nil && have.Configuration.Version >= c.Version {
		e.log.Info("configuration: Older version ignored.", "version", c.Version, "have", have.Configuration.Version)
		return false
	}
	e.table.Store(routing.New(c))
	e.log.Info("configuration: In force.", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "store_version", uint64(o.Version))
	return true
}

// takeTarget takes a change of one entry.
func (e *Edge) takeTarget(o platform.Object) bool {
	var t platform.Target
	var err error
	if !o.Deleted {
		t, err = platform.DecodeTarget(o)
	}
	e.mu.Lock()
	before := e.targets.Version()
	if o.Deleted || err != nil {
		e.targets.Remove(time.Now(), o.Name)
	} else {
		e.targets.Set(t)
	}
	changed := e.targets.Version() != before
	e.mu.Unlock()
	switch {
	case o.Deleted:
		e.log.Info("directory: Entry removed.", "target", o.Name, "version", uint64(o.Version))
	case err != nil:
		e.log.Warn("directory: Entry names no target.", "entry", o.Name, "error", err.Error())
	case changed:
		e.log.Info("directory: Target changed.", "target", t.Name, "service", t.Service, "address", t.Address.String(),
			"draining", t.Draining, "born", t.StartedAt.UnixMilli(), "cold_ms", t.WarmupLeft.Milliseconds(), "version", uint64(o.Version))
	}
	return changed
}

// tickTargets drops targets whose entries vanished and did not come back.
func (e *Edge) tickTargets(ctx context.Context) {
	for ctx.Err() == nil {
		pauseFor(ctx, directoryTick)
		e.mu.Lock()
		now := time.Now()
		usable := len(e.targets.AllTargets(now))
		e.targets.DeleteExpired(now)
		changed := usable != e.usable
		e.usable = usable
		e.mu.Unlock()
		if changed {
			e.refresh()
		}
	}
}
