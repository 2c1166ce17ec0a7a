// Package feed replicates objects of the platform's store between hosts, so that
// only a few hosts need to watch the store.
//
// A copy is complete up to one version for each kind of object. A host sends these
// versions to another host and receives the changes that it lacks. Deleted objects
// are kept as tombstones, so that deletions are replicated too. A copy that is
// older than the tombstones receives the names of all existing objects instead.
//
// A starting host may begin with a list that lags behind the store by seconds. Such
// objects are withheld until another host's copy confirms them: Merge and Confirm then
// return all of them as changes.
//
// # Usage
//
//	f := feed.New()
//	changes := f.Replace("servers", objects, version) // after a list
//	changes = f.Apply("servers", objects, version)    // after a watch
//	delta := f.ChangesSince(other.Versions())
//	changes = f.Merge(delta)
//	f.Preload("servers", lagging, version) // at the start of a host
//	changes = append(f.Merge(delta), f.Confirm(other.Versions())...)
package feed

import (
	"sort"
	"sync"

	"github.com/redwingtally/redwingtally/platform"
)

// maxTombstones is the maximum number of deleted objects that are kept for each kind.
const maxTombstones = 4096

// Versions holds the version up to which a copy is complete, by kind.
type Versions map[string]platform.Version

// A Delta holds the changes that one copy has and another lacks, by kind.
type Delta map[string]KindDelta

// A KindDelta holds the changes of one kind.
type KindDelta struct {
	// Complete reports whether the delta lists all objects of the kind. Those that
	// are neither in Objects nor in Names no longer exist.
	Complete bool              `json:"whole,omitempty"`
	Objects  []platform.Object `json:"objects"`
	// Names lists the objects that exist and are unchanged since the receiver's
	// version. It is set only if Complete is true.
	Names []string `json:"names,omitempty"`
	// Version is the version up to which the receiver's copy is complete after the merge.
	Version platform.Version `json:"version"`
}

// A Feed is a copy of the objects of some kinds. It is safe for concurrent use.
type Feed struct {
	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the copy of one kind.
type kind struct {
	objects          map[string]platform.Object // by name, including tombstones
	tombstones       int                        // number of deleted objects in objects
	version          platform.Version           // the copy is complete up to this version
	tombstoneHorizon platform.Version           // deletions up to this version may have no tombstone
	unconfirmed      bool                       // objects were preloaded and may lack changes of the last seconds
}

// New returns an empty Feed.
func New() *Feed { return &Feed{kinds: map[string]*kind{}} }

// kind returns the copy of a kind, which it creates if needed. The caller holds f.mu.
func (f *Feed) kind(kindName string) *kind {
	k, ok := f.kinds[kindName]
	if !ok {
		k = &kind{objects: map[string]platform.Object{}}
		f.kinds[kindName] = k
	}
	return k
}

// Replace sets the objects of a kind to a complete list as of a version and
// returns the changes. A list older than the copy is ignored.
func (f *Feed) Replace(kindName string, objects []platform.Object, version platform.Version) []platform.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kind(kindName)
	if k.unconfirmed {
		*k = kind{objects: map[string]platform.Object{}}
	}
	return k.replace(kindName, objects, nil, version)
}

// Preload sets the objects of an empty kind to a list that may lack the changes of the
// last seconds, and is complete up to version at least. It does nothing if the copy has
// objects of the kind or version is 0.
func (f *Feed) Preload(kindName string, objects []platform.Object, version platform.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kind(kindName)
	if k.version > 0 || version == 0 {
		return
	}
	for _, o := range objects {
		k.put(nil, o)
	}
	k.version, k.tombstoneHorizon, k.unconfirmed = version, version, true
}

// Confirm confirms the preloaded kinds that are complete up to versions, which are those of
// another host's copy, and returns their objects as changes.
func (f *Feed) Confirm(versions Versions) []platform.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []platform.Object
	for kindName, version := range versions {
		if k := f.kind(kindName); k.unconfirmed && version <= k.version {
			changes = append(changes, k.confirm()...)
		}
	}
	return changes
}

// confirm ends the withholding of the objects and returns those that exist.
func (k *kind) confirm() []platform.Object {
	k.unconfirmed = false
	changes := make([]platform.Object, 0, len(k.objects))
	for _, o := range k.objects {
		if !o.Deleted {
			changes = append(changes, o)
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Version < changes[j].Version })
	return changes
}

// replace implements Replace. names are further objects that exist and have not changed.
func (k *kind) replace(kindName string, objects []platform.Object, names []string, version platform.Version) []platform.Object {
	if version < k.version {
		return nil
	}
	// Objects that were created and deleted since the last version are in no list, so they have no tombstones.
	k.tombstoneHorizon = version
	var changes []platform.Object
	listed := map[string]bool{}
	for _, name := range names {
		listed[name] = true
	}
	for _, o := range objects {
		listed[o.Name] = true
		changes = k.put(changes, o)
	}
	for name, o := range k.objects {
		if !listed[name] && !o.Deleted {
			changes = k.put(changes, platform.Object{Kind: kindName, Name: name, Version: version, Deleted: true})
		}
	}
	k.version = version
	sort.Slice(changes, func(i, j int) bool { return changes[i].Version < changes[j].Version })
	return changes
}

// Apply applies changes up to a version, in their order, and returns those that
// were new. Only the last change of each object is used. The versions alone do not
// give the order, because the version of a deletion may be missing. The changes since the
// version of a preloaded kind confirm it.
func (f *Feed) Apply(kindName string, objects []platform.Object, version platform.Version) []platform.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kind(kindName)
	last := map[string]int{}
	for i, o := range objects {
		last[o.Name] = i
	}
	var changes []platform.Object
	for i, o := range objects {
		if last[o.Name] != i {
			continue
		}
		if o.Deleted {
			// The platform may omit the version of a deletion; the object was deleted by version at the latest.
			o.Version, o.Value, o.Status = max(o.Version, version), nil, nil
		}
		changes = k.put(changes, o)
	}
	k.version = max(k.version, version)
	if k.unconfirmed {
		return k.confirm()
	}
	return changes
}

// put stores an object and appends it to changes, unless the copy has the same or
// a newer version of it.
func (k *kind) put(changes []platform.Object, o platform.Object) []platform.Object {
	have, ok := k.objects[o.Name]
	if ok && have.Version >= o.Version {
		return changes
	}
	if o.Deleted && !have.Deleted {
		k.tombstones++
	}
	if !o.Deleted && have.Deleted {
		k.tombstones--
	}
	k.objects[o.Name] = o
	k.pruneTombstones()
	return append(changes, o)
}

// pruneTombstones deletes the older half of the tombstones if there are more than maxTombstones.
func (k *kind) pruneTombstones() {
	if k.tombstones <= maxTombstones {
		return
	}
	var versions []platform.Version
	for _, o := range k.objects {
		if o.Deleted {
			versions = append(versions, o.Version)
		}
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i] < versions[j] })
	k.tombstoneHorizon = max(k.tombstoneHorizon, versions[len(versions)/2])
	for name, o := range k.objects {
		if o.Deleted && o.Version <= k.tombstoneHorizon {
			delete(k.objects, name)
			k.tombstones--
		}
	}
}

// Versions returns the versions up to which the copy is complete, including preloaded kinds.
func (f *Feed) Versions() Versions { return f.versions(true) }

// ConfirmedVersions returns the versions up to which the copy is complete, without
// preloaded kinds that are not confirmed.
func (f *Feed) ConfirmedVersions() Versions { return f.versions(false) }

func (f *Feed) versions(unconfirmed bool) Versions {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(Versions, len(f.kinds))
	for kindName, k := range f.kinds {
		if unconfirmed || !k.unconfirmed {
			out[kindName] = k.version
		}
	}
	return out
}

// Loaded reports whether the copy of a kind is complete up to some version and confirmed.
func (f *Feed) Loaded(kindName string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kind(kindName)
	return k.version > 0 && !k.unconfirmed
}

// Preloaded reports whether the copy has objects of a kind, confirmed or not.
func (f *Feed) Preloaded(kindName string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kind(kindName).version > 0
}

// ChangesSince returns the changes that a copy at the versions have lacks, or nil if it
// lacks none. It leaves out kinds that are not confirmed.
func (f *Feed) ChangesSince(have Versions) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out Delta
	for kindName, k := range f.kinds {
		from := have[kindName]
		if from >= k.version || k.unconfirmed {
			continue
		}
		delta := KindDelta{Complete: from < k.tombstoneHorizon, Version: k.version, Objects: []platform.Object{}}
		for _, o := range k.objects {
			switch {
			case o.Version > from && (!delta.Complete || !o.Deleted):
				delta.Objects = append(delta.Objects, o)
			case delta.Complete && !o.Deleted:
				delta.Names = append(delta.Names, o.Name)
			}
		}
		sort.Slice(delta.Objects, func(i, j int) bool { return delta.Objects[i].Version < delta.Objects[j].Version })
		if out == nil {
			out = Delta{}
		}
		out[kindName] = delta
	}
	return out
}

// HasChangesSince reports whether a copy at the versions have lacks any change.
func (f *Feed) HasChangesSince(have Versions) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for kindName, k := range f.kinds {
		if have[kindName] < k.version && !k.unconfirmed {
			return true
		}
	}
	return false
}

// Merge applies a delta that was computed for this copy's versions, now or earlier,
// and returns the changes.
func (f *Feed) Merge(d Delta) []platform.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []platform.Object
	for kindName, delta := range d {
		k := f.kind(kindName)
		before := len(changes)
		if delta.Complete {
			changes = append(changes, k.replace(kindName, delta.Objects, delta.Names, delta.Version)...)
		} else {
			for _, o := range delta.Objects {
				changes = k.put(changes, o)
			}
			k.version = max(k.version, delta.Version)
		}
		if k.unconfirmed && delta.Version >= k.version {
			changes = append(changes[:before], k.confirm()...)
		}
	}
	return changes
}
