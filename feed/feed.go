// Package feed replicates objects of the platform's store between hosts, so that
// only a few hosts need to watch the store.
//
// Each kind of object has a version up to which a copy is complete. A host sends
// these versions to another host and receives the changes that it lacks. Removed
// objects are kept as tombstones, so that removals are replicated too. A copy that
// is older than the tombstones receives the names of all existing objects instead.
//
// # Usage
//
//	f := feed.New()
//	changes := f.Replace("servers", objects, version) // after a list
//	changes = f.Apply("servers", objects, version)    // after a watch
//	delta := f.ChangesSince(other.Versions())
//	changes = f.Merge(delta)
package feed

import (
	"sort"
	"sync"

	"github.com/redwingtally/redwingtally/platform"
)

// maxTombstones is the maximum number of removed objects that are kept for each kind.
const maxTombstones = 4096

// Versions holds the version up to which a copy is complete, by kind.
type Versions map[string]platform.Version

// A Delta holds the changes that one copy has and another lacks, by kind.
type Delta map[string]KindDelta

// A KindDelta is the delta of one kind.
type KindDelta struct {
	// Complete reports whether the part lists all objects. Those that are neither in
	// Objects nor in Names no longer exist.
	Complete bool              `json:"whole,omitempty"`
	Objects  []platform.Object `json:"objects"`
	// Names lists the objects that exist and are unchanged since the receiver's
	// version. It is only set with Complete.
	Names []string `json:"names,omitempty"`
	// Version is the version up to which the receiver is complete after the merge.
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
	tombstones       int                        // number of removed objects in objects
	version          platform.Version
	tombstoneHorizon platform.Version // removals up to this version may have no tombstone
}

// New returns an empty Feed.
func New() *Feed { return &Feed{kinds: map[string]*kind{}} }

// kind returns the copy of a kind, which it creates if needed. f.mu must be held.
func (f *Feed) kind(name string) *kind {
	k, ok := f.kinds[name]
	if !ok {
		k = &kind{objects: map[string]platform.Object{}}
		f.kinds[name] = k
	}
	return k
}

// Replace sets the objects of a kind to a complete list as of a version and
// returns the changes. A list older than the copy is ignored.
func (f *Feed) Replace(name string, objects []platform.Object, version platform.Version) []platform.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kind(name).replace(name, objects, nil, version)
}

// replace implements Replace. names are further objects that exist and have not changed.
func (k *kind) replace(name string, objects []platform.Object, names []string, version platform.Version) []platform.Object {
	if version < k.version {
		return nil
	}
	// Objects that were created and removed since the last version are in no list, so there are no tombstones for them.
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
	for id, o := range k.objects {
		if !listed[id] && !o.Deleted {
			changes = k.put(changes, platform.Object{Kind: name, Name: id, Version: version, Deleted: true})
		}
	}
	k.version = version
	sort.Slice(changes, func(i, j int) bool { return changes[i].Version < changes[j].Version })
	return changes
}

// Apply applies changes up to a version, in their order, and returns those that
// were new. Only the last change of each object is used.
func (f *Feed) Apply(name string, objects []platform.Object, version platform.Version) []platform.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kind(name)
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
			// The platform may omit the version of a removal; the object was removed by version at the latest.
			o.Version, o.Value, o.Status = max(o.Version, version), nil, nil
		}
		changes = k.put(changes, o)
	}
	k.version = max(k.version, version)
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
	for id, o := range k.objects {
		if o.Deleted && o.Version <= k.tombstoneHorizon {
			delete(k.objects, id)
			k.tombstones--
		}
	}
}

// Versions returns the versions up to which the copy is complete.
func (f *Feed) Versions() Versions {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(Versions, len(f.kinds))
	for name, k := range f.kinds {
		out[name] = k.version
	}
	return out
}

// Loaded reports whether objects of a kind have been received: the copy is complete up to some version.
func (f *Feed) Loaded(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kind(name).version > 0
}

// ChangesSince returns the changes that a copy at the versions have lacks, or nil if it lacks none.
func (f *Feed) ChangesSince(have Versions) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out Delta
	for name, k := range f.kinds {
		from := have[name]
		if from >= k.version {
			continue
		}
		part := KindDelta{Complete: from < k.tombstoneHorizon, Version: k.version, Objects: []platform.Object{}}
		for _, o := range k.objects {
			switch {
			case o.Version > from && (!part.Complete || !o.Deleted):
				part.Objects = append(part.Objects, o)
			case part.Complete && !o.Deleted:
				part.Names = append(part.Names, o.Name)
			}
		}
		sort.Slice(part.Objects, func(i, j int) bool { return part.Objects[i].Version < part.Objects[j].Version })
		if out == nil {
			out = Delta{}
		}
		out[name] = part
	}
	return out
}

// HasChangesSince reports whether a copy at the versions have lacks any change.
func (f *Feed) HasChangesSince(have Versions) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, k := range f.kinds {
		if have[name] < k.version {
			return true
		}
	}
	return false
}

// Merge applies a delta and returns the changes.
func (f *Feed) Merge(d Delta) []platform.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []platform.Object
	for name, part := range d {
		k := f.kind(name)
		if part.Complete {
			changes = append(changes, k.replace(name, part.Objects, part.Names, part.Version)...)
			continue
		}
		for _, o := range part.Objects {
			changes = k.put(changes, o)
		}
		k.version = max(k.version, part.Version)
	}
	return changes
}
