package coordination

import (
	"context"
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/ownership"
)

// reportLoop takes the reports of the leader's own host.
func (l *leader) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r := l.m.ownReport(l.m.reportWait())
		reply, err := l.sync(ctx, &r)
		if err != nil {
			return
		}
		l.mu.Lock()
		d := l.core.Document()
		l.mu.Unlock()
		l.m.accept(d, reply)
	}
}

// news takes what the leader's own host has just learned and wakes the reports that wait for it.
func (l *leader) news(ctx context.Context) {
	r := l.m.ownReport(0)
	if _, err := l.sync(ctx, &r); err != nil {
		l.m.o.Log.Warn("coordination: News came after the coordination ended.", "error", err.Error())
		return
	}
	l.notify()
}

// publish makes a new view when something in it changed.
func (l *leader) publish() {
	v := Version{Term: l.core.Document().Term, Number: l.core.Version() + l.refusals}
	if !l.views.due(v) {
		return
	}
	t := now()
	if wait := l.published.Add(l.viewInterval(t)).Sub(t); wait > 0 {
		l.publishLater(wait)
		return
	}
	l.published = t
	holdings := map[string][]ownership.Holding{}
	for _, name := range l.core.Services() {
		holdings[name] = l.core.View(name)
	}
	if !l.views.publish(v, holdings, l.crashes.RefusedFingerprints(t)) {
		return
	}
	l.notifyLocked()
}

// viewInterval returns the least time between two views. Every view wakes all
// hosts, and a coordinator that takes over has an answer from every owner at once.
func (l *leader) viewInterval(t time.Time) time.Duration {
	return time.Duration(l.count(t)) * viewIntervalPerHost
}

// publishLater publishes what is due after a time. The lock is held.
func (l *leader) publishLater(wait time.Duration) {
	if l.later {
		return
	}
	l.later = true
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.later = false
		if !l.ended {
			l.publish()
		}
	})
}

// notify wakes the reports that wait for news.
func (l *leader) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyLocked()
}

func (l *leader) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// sync takes a report and answers it when there is a newer view or the report's wait is over.
func (l *leader) sync(ctx context.Context, r *Report) (*Reply, error) {
	if changes := l.m.o.Feed.Merge(r.Feed); len(changes) > 0 {
		l.m.o.Changed(changes)
		l.notify()
	}
	l.mu.Lock()
	l.take(r)
	l.publish()
	end := time.NewTimer(r.Wait)
	defer end.Stop()
	for l.views.newest.Version == r.View && !l.ended && !l.m.o.Feed.Behind(r.Have) {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
			l.mu.Lock()
			continue
		case <-end.C:
		}
		l.mu.Lock()
		break
	}
	defer l.mu.Unlock()
	if !l.leased() {
		return nil, ErrNotCoordinator
	}
	return l.reply(r), nil
}

func (l *leader) take(r *Report) {
	t := now()
	l.hosts[r.Process] = &reporter{at: t, rates: r.Rates, watching: r.Watching, storeLost: r.StoreLost, reluctant: r.Reluctant}
	for name, load := range r.Keyed {
		l.core.Report(t, name, load)
	}
	for _, f := range r.Answered {
		l.crashes.RecordAnswer(f)
	}
	for _, c := range r.Crashed {
		if l.crashes.RecordCrash(t, c) {
			l.refusals++
			l.m.o.Log.Warn("coordination: Request that crashes targets is refused.", "fingerprint", uint64(c.Fingerprint), "target", c.Incarnation)
		}
	}
}

func (l *leader) reply(r *Report) *Reply {
	t := now()
	reply := &Reply{Rates: map[string]float64{}, StoreAge: t.Sub(l.confirmed)}
	var names []string
	for name, h := range l.hosts {
		if t.Sub(h.at) > hostMemory {
			delete(l.hosts, name)
			continue
		}
		names = append(names, name)
		for service, rate := range h.rates {
			reply.Rates[service] += rate
		}
	}
	sort.Strings(names)
	reply.Hosts = l.count(t)
	reply.Index = sort.SearchStrings(names, r.Process)
	reply.View = l.views.since(r.View)
	reply.Feed, reply.Have = l.m.o.Feed.Since(r.Have), l.m.o.Feed.Versions()
	reply.StoreAway = l.storeAway(names)
	reply.Watch = l.watches(names, r.Process)
	return reply
}

// count returns how many hosts there are.
func (l *leader) count(t time.Time) int {
	n := 0
	for _, h := range l.hosts {
		if t.Sub(h.at) <= hostMemory {
			n++
		}
	}
	if t.Sub(l.began) < gathering {
		n = max(n, l.expected)
	}
	return n
}

// storeAway reports whether neither this host nor another that watches the store reaches it.
func (l *leader) storeAway(names []string) bool {
	if !l.m.o.StoreAway() {
		return false
	}
	for _, name := range names {
		if h := l.hosts[name]; name != l.process && h.watching && !h.storeLost {
			return false
		}
	}
	return true
}

// watches reports whether a host is among those that watch the store besides
// the coordinator: the first ones, by name, that reach it. Those that watch see
// first that the coordinator has lost the store and succeed it, so hosts that
// are too small for that come last.
func (l *leader) watches(names []string, process string) bool {
	n, limit := 0, extraWatchers+len(names)/hostsPerWatcher
	for _, reluctant := range []bool{false, true} {
		for _, name := range names {
			h := l.hosts[name]
			if name == l.process || h.reluctant != reluctant || h.storeLost && name != process {
				continue
			}
			if name == process {
				return true
			}
			if n++; n == limit {
				return false
			}
		}
	}
	return false
}
