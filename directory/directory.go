// Package directory maintains the list of targets of all services.
//
// A Directory is a state machine without a clock, sockets or goroutines: entries,
// the state of the platform and the time are its inputs. Targets register with
// the platform, so an entry that lapses while the platform is unavailable does not
// prove that its target has ended. Such entries are retained until their targets
// have had time to register again. Entries of a service that are removed together
// are retained for most of the drain time.
//
// # Usage
//
//	d := directory.New(2 * time.Second)
//	d.Set(now, target)
//	d.Remove(now, "i-7f3a")
//	for _, t := range d.ServiceTargets(now, "stockroom") { ... }
package directory

import (
	"sort"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// reregistrationTime is how long a lapsed entry is retained after an outage of the platform, which
	// promises that targets are registered again within about two seconds.
	reregistrationTime = 2200 * time.Millisecond
	// massRemovalRetentionShare is the share of the drain time for which the entries of a mass removal are retained.
	massRemovalRetentionShare = 0.8
	// massRemovalWindow is the time within which removals count as one mass removal.
	massRemovalWindow = 500 * time.Millisecond
	// massRemovalMinCount and massRemovalMinShare are the minimum number and share of a service's targets in a mass
	// removal, draining targets not counted.
	massRemovalMinCount = 3
	massRemovalMinShare = 0.5
	// restoredDoubt is how long after a restore an entry is not used if its removal was seen before the restore. The
	// platform removes the entry of a target that has ended after three heartbeats of up to 1.5 s.
	restoredDoubt = 5 * time.Second
	// departureRetention is how long removals are remembered. Copies are seconds old.
	departureRetention = time.Minute
)

// A Directory holds the registered targets and those whose removed entries are
// retained. It is not safe for concurrent use.
type Directory struct {
	entries             map[string]*entry
	drainTime           time.Duration // how long a draining target may still receive requests
	platformUnavailable bool          // the platform does not answer
	platformRecoveredAt time.Time     // when the last outage of the platform ended
	platformRestoredAt  time.Time     // when the platform was last restored from a copy
	departures          map[string]departure
	version             uint64
}

// departure is the last removal of a target's entry while the platform was available.
type departure struct {
	target    platform.Target
	removedAt time.Time
}

// entry is the registration of one target.
type entry struct {
	target      platform.Target
	removedAt   time.Time // when the entry was removed; zero while it is listed
	retainUntil time.Time // until when the target of a removed entry is usable
	usableFrom  time.Time // when the target of a doubtful entry becomes usable; zero if there is no doubt
}

// New returns an empty Directory. drainTime is how long a draining target may still receive requests.
func New(drainTime time.Duration) *Directory {
	return &Directory{entries: map[string]*entry{}, departures: map[string]departure{}, drainTime: drainTime}
}

// Version returns a number that grows when entries are set, removed or deleted. It
// does not grow when the retention of an entry ends.
func (d *Directory) Version() uint64 { return d.version }

// PlatformUnavailable records that the platform does not answer.
func (d *Directory) PlatformUnavailable() { d.platformUnavailable = true }

// PlatformIsUnavailable reports whether the last record is that the platform does not answer.
func (d *Directory) PlatformIsUnavailable() bool { return d.platformUnavailable }

// PlatformRecovered records that the platform answers again.
func (d *Directory) PlatformRecovered(now time.Time) {
	if d.platformUnavailable {
		d.platformUnavailable = false
		d.platformRecoveredAt = now
	}
}

// PlatformRestored records that the platform was restored from a copy some seconds old. Entries that the copy lacks
// may still be written again, as after an outage, and entries that it has may be of targets that have left since.
func (d *Directory) PlatformRestored(now time.Time) {
	d.platformUnavailable = false
	d.platformRecoveredAt, d.platformRestoredAt = now, now
}

// Set adds or replaces the entry of a target. A target that was draining remains so until it starts
// again, whatever the entry says: a copy of the platform may be older than the change.
func (d *Directory) Set(now time.Time, t platform.Target) {
	next := &entry{target: t}
	e, known := d.entries[t.Name]
	if known && sameProcess(e.target, t) {
		next.target.Draining = t.Draining || e.target.Draining
		next.target.Noticed = t.Noticed && (e.target.Noticed || !e.target.Draining) // an entry that has said so counts
		next.usableFrom = e.usableFrom
	}
	if gone, ok := d.departures[t.Name]; ok && sameProcess(gone.target, t) {
		next.target.Draining = next.target.Draining || gone.target.Draining
		if doubtful := d.platformRestoredAt.Add(restoredDoubt); gone.removedAt.Before(d.platformRestoredAt) && now.Before(doubtful) {
			next.usableFrom = doubtful
		}
	}
	if known && e.removedAt.IsZero() && *e == *next {
		return
	}
	d.entries[t.Name] = next
	d.version++
}

// Drain marks the target whose process made a notice as draining, and reports whether it was not before. Entries of other processes
// stay as they are.
func (d *Directory) Drain(n Notice) bool {
	e, ok := d.entries[n.Target]
	if !ok || e.target.Draining || NoticeOf(e.target) != n {
		return false
	}
	e.target.Draining, e.target.Noticed = true, true
	d.version++
	return true
}

// Drains reports whether the process that a notice names is listed as draining.
func (d *Directory) Drains(n Notice) bool { return d.Lists(n) && d.entries[n.Target].target.Draining }

// Lists reports whether the directory has the entry of the process that made a notice.
func (d *Directory) Lists(n Notice) bool {
	e, ok := d.entries[n.Target]
	return ok && NoticeOf(e.target) == n
}

// sameProcess reports whether two entries with the same name describe the same process. An entry of another service
// may come from another writer.
func sameProcess(a, b platform.Target) bool {
	return a.StartedAt.Equal(b.StartedAt) && a.Service == b.Service
}

// StartedAt returns the start time in the entry of a service's target, or false if there is no entry.
func (d *Directory) StartedAt(service, name string) (time.Time, bool) {
	e, ok := d.entries[name]
	if !ok || e.target.Service != service {
		return time.Time{}, false
	}
	return e.target.StartedAt, true
}

// Remove records that the platform removed a target's entry. The entry is
// retained for a time if the removal is during or soon after an outage of the
// platform or part of a mass removal. Entries of draining targets are not retained.
func (d *Directory) Remove(now time.Time, name string) {
	e, ok := d.entries[name]
	if !ok || !e.removedAt.IsZero() {
		return
	}
	e.removedAt, e.retainUntil = now, now
	switch {
	case e.target.Draining:
		d.recordDeparture(now, e.target)
	case d.platformUnavailable:
		e.retainUntil = now.Add(reregistrationTime)
	case now.Before(d.platformRecoveredAt.Add(reregistrationTime)):
		e.retainUntil = d.platformRecoveredAt.Add(reregistrationTime)
	case d.isMassRemoval(now, e.target.Service):
		d.retainMassRemoved(now, e.target.Service)
	default:
		d.recordDeparture(now, e.target)
	}
	d.version++
	d.DeleteExpired(now)
}

// recordDeparture remembers that a target has left, and forgets early departures.
func (d *Directory) recordDeparture(now time.Time, t platform.Target) {
	for name, gone := range d.departures {
		if now.Sub(gone.removedAt) > departureRetention {
			delete(d.departures, name)
		}
	}
	d.departures[t.Name] = departure{target: t, removedAt: now}
}

// isMassRemoval reports whether massRemovalMinCount and massRemovalMinShare of a
// service's targets were removed within massRemovalWindow. Draining targets do not
// count.
func (d *Directory) isMassRemoval(now time.Time, service string) bool {
	all, removed := 0, 0
	for _, e := range d.entries {
		if e.target.Service != service || e.target.Draining {
			continue
		}
		all++
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) <= massRemovalWindow {
			removed++
		}
	}
	return removed >= massRemovalMinCount && float64(removed) >= massRemovalMinShare*float64(all)
}

// retainMassRemoved retains the entries of a service that were removed within
// massRemovalWindow, except those of draining targets.
func (d *Directory) retainMassRemoved(now time.Time, service string) {
	for _, e := range d.entries {
		if e.target.Service == service && !e.removedAt.IsZero() && !e.target.Draining && now.Sub(e.removedAt) <= massRemovalWindow {
			e.retainUntil = e.removedAt.Add(time.Duration(massRemovalRetentionShare * float64(d.drainTime)))
		}
	}
}

// DeleteExpired deletes removed entries massRemovalWindow after their retention has ended.
func (d *Directory) DeleteExpired(now time.Time) {
	for name, e := range d.entries {
		// A removed entry is kept for massRemovalWindow after its retention, so that isMassRemoval can count it.
		if !e.removedAt.IsZero() && now.Sub(e.retainUntil) > massRemovalWindow {
			delete(d.entries, name)
			d.version++
		}
	}
}

// usable reports whether requests may be sent to the target of an entry.
func (e *entry) usable(now time.Time) bool {
	return (e.removedAt.IsZero() || now.Before(e.retainUntil)) && !now.Before(e.usableFrom)
}

// ServiceTargets returns the usable targets of a service, including draining ones, sorted by name.
func (d *Directory) ServiceTargets(now time.Time, service string) []platform.Target {
	var out []platform.Target
	for _, e := range d.entries {
		if e.target.Service == service && e.usable(now) {
			out = append(out, e.target)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// UsableCount returns the number of usable targets of all services. For one version of the
// directory, the usable targets are the same as long as their number is.
func (d *Directory) UsableCount(now time.Time) int {
	n := 0
	for _, e := range d.entries {
		if e.usable(now) {
			n++
		}
	}
	return n
}

// AllTargets returns the usable targets of all services, including draining ones, sorted by name.
func (d *Directory) AllTargets(now time.Time) []platform.Target {
	var out []platform.Target
	for _, e := range d.entries {
		if e.usable(now) {
			out = append(out, e.target)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
