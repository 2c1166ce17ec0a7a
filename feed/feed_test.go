package feed

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/redwingtally/redwingtally/platform"
)

const kindName = "servers"

// object returns an object whose value is its version.
func object(name string, version platform.Version) platform.Object {
	return platform.Object{Kind: kindName, Name: name, Version: version, Value: fmt.Appendf(nil, "%d", version)}
}

// existingVersions returns the versions of the objects that exist in a copy, by name.
func existingVersions(f *Feed) map[string]platform.Version {
	out := map[string]platform.Version{}
	for name, o := range f.kind(kindName).objects {
		if !o.Deleted {
			out[name] = o.Version
		}
	}
	return out
}

// TestOlderObjectsAreIgnored checks that an object is applied only if it is newer
// than the copied one, and a list only if it is not older than the copy.
func TestOlderObjectsAreIgnored(t *testing.T) {
	tests := []struct {
		name   string
		events func(f *Feed) []platform.Object
		want   int
	}{
		{"older version", func(f *Feed) []platform.Object { return f.Apply(kindName, []platform.Object{object("a", 4)}, 11) }, 0},
		{"same version", func(f *Feed) []platform.Object { return f.Apply(kindName, []platform.Object{object("a", 5)}, 11) }, 0},
		{"newer version", func(f *Feed) []platform.Object { return f.Apply(kindName, []platform.Object{object("a", 11)}, 11) }, 1},
		{"older list", func(f *Feed) []platform.Object { return f.Replace(kindName, nil, 9) }, 0},
		{"newer list", func(f *Feed) []platform.Object { return f.Replace(kindName, nil, 11) }, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := New()
			f.Replace(kindName, []platform.Object{object("a", 5), object("b", 10)}, 10)
			c.Check(test.events(f), qt.HasLen, test.want)
		})
	}
}

// TestCopiesConverge checks that copies that apply lists, changes and deltas in any
// order hold the same objects as the store did at their version.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]platform.Object{}
		history := map[platform.Version]map[string]platform.Version{}
		version := platform.Version(1)
		var log []platform.Object
		record := func() {
			at := map[string]platform.Version{}
			for name, o := range store {
				at[name] = o.Version
			}
			history[version] = at
		}
		record()
		feeds := []*Feed{New(), New(), New()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f := feeds[rapid.IntRange(0, 2).Draw(t, "feed")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				version++
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				o := object(name, version)
				if _, ok := store[name]; ok && rapid.Bool().Draw(t, "remove") {
					o.Deleted = true
					delete(store, name)
				} else {
					store[name] = o
				}
				log = append(log, o)
				record()
			case 2:
				all := make([]platform.Object, 0, len(store))
				for _, o := range store {
					all = append(all, o)
				}
				f.Replace(kindName, all, version)
			case 3:
				from := f.Versions()[kindName]
				if from == 0 {
					continue
				}
				var changes []platform.Object
				for _, o := range log {
					if o.Version > from {
						changes = append(changes, o)
					}
				}
				f.Apply(kindName, changes, version)
			case 4:
				f.Merge(feeds[rapid.IntRange(0, 2).Draw(t, "other")].ChangesSince(f.Versions()))
			}
			for i, f := range feeds {
				at := f.Versions()[kindName]
				if at == 0 {
					continue
				}
				want, got := history[at], existingVersions(f)
				if fmt.Sprint(want) != fmt.Sprint(got) {
					t.Fatalf("feed %d at %d: have %v, want %v", i, at, got, want)
				}
			}
		}
	})
}

// deleted returns the deletion of an object at a version.
func deleted(name string, version platform.Version) platform.Object {
	o := object(name, version)
	o.Deleted = true
	return o
}

// TestDeletionWithoutVersion checks that a deletion is applied even if it carries
// only the object's last version.
func TestDeletionWithoutVersion(t *testing.T) {
	c := qt.New(t)
	f := New()
	f.Replace(kindName, []platform.Object{object("a", 5)}, 10)
	c.Check(f.Apply(kindName, []platform.Object{deleted("a", 5)}, 12), qt.HasLen, 1)
	c.Check(existingVersions(f), qt.HasLen, 0)
	c.Check(f.Apply(kindName, []platform.Object{object("a", 11)}, 13), qt.HasLen, 0, qt.Commentf("the object is older than its deletion"))
}

// TestOnlyLastChangeApplies checks that only the last of several changes of an
// object in one call is applied. The version of a deletion may be missing, so
// versions alone do not give the order.
func TestOnlyLastChangeApplies(t *testing.T) {
	c := qt.New(t)
	f := New()
	f.Replace(kindName, nil, 10)
	c.Check(f.Apply(kindName, []platform.Object{object("a", 11), deleted("a", 11), object("a", 13)}, 13), qt.HasLen, 1)
	c.Check(existingVersions(f), qt.DeepEquals, map[string]platform.Version{"a": 13})
}

// TestOldCopiesReceivePrunedDeletions checks that a copy that is older than the
// remaining tombstones still receives the deletions, through the list of all names.
func TestOldCopiesReceivePrunedDeletions(t *testing.T) {
	c := qt.New(t)
	f, old := New(), New()
	f.Replace(kindName, []platform.Object{object("a", 1), object("b", 2)}, 2)
	old.Replace(kindName, []platform.Object{object("a", 1), object("b", 2)}, 2)
	version := platform.Version(3)
	f.Apply(kindName, []platform.Object{deleted("a", version)}, version)
	for i := range maxTombstones + 1 {
		version += 2
		f.Apply(kindName, []platform.Object{object(fmt.Sprint("x", i), version-1)}, version-1)
		f.Apply(kindName, []platform.Object{deleted(fmt.Sprint("x", i), version)}, version)
	}
	c.Check(len(f.kind(kindName).objects) <= maxTombstones+1, qt.IsTrue)
	old.Merge(f.ChangesSince(old.Versions()))
	c.Check(existingVersions(old), qt.DeepEquals, map[string]platform.Version{"b": 2})
}

// TestLateDeltaKeepsVersion checks that an older delta that arrives late does not
// lower the version up to which a copy is complete.
func TestLateDeltaKeepsVersion(t *testing.T) {
	c := qt.New(t)
	f, ahead := New(), New()
	f.Replace(kindName, []platform.Object{object("a", 5)}, 10)
	ahead.Replace(kindName, []platform.Object{object("a", 5)}, 10)
	late := Delta{kindName: KindDelta{Objects: []platform.Object{object("a", 5)}, Version: 8}}
	ahead.Merge(late)
	c.Check(ahead.Versions(), qt.DeepEquals, f.Versions())
}

// TestPreloadedCopiesConverge checks that copies that begin with a list that lags hold the
// same objects as the store did at their version once they are confirmed.
func TestPreloadedCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, leader := map[string]platform.Object{}, New()
		snapshots := make([][]platform.Object, 1, 41) // by version; empty at version 0
		starting := New()
		var applied []platform.Object // what starting returned as changes
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			version := platform.Version(i + 1)
			o := object(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), version)
			if _, ok := store[o.Name]; ok && rapid.Bool().Draw(t, "remove") {
				o.Deleted = true
				delete(store, o.Name)
			} else {
				store[o.Name] = o
			}
			all := make([]platform.Object, 0, len(store))
			for _, o := range store {
				all = append(all, o)
			}
			snapshots = append(snapshots, all)
			if rapid.Bool().Draw(t, "list") {
				leader.Replace(kindName, all, version)
			} else {
				leader.Apply(kindName, []platform.Object{o}, version)
			}
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				at := rapid.IntRange(1, len(snapshots)-1).Draw(t, "lag")
				starting.Preload(kindName, snapshots[at], platform.Version(at))
			case 1:
				applied = append(applied, starting.Merge(leader.ChangesSince(starting.Versions()))...)
				applied = append(applied, starting.Confirm(leader.ConfirmedVersions())...)
			}
		}
		if !starting.Loaded(kindName) {
			if len(applied) > 0 {
				t.Fatalf("%v before it was confirmed", applied)
			}
			return
		}
		applied = append(applied, starting.Merge(leader.ChangesSince(starting.Versions()))...)
		got := map[string]platform.Version{}
		for _, o := range applied {
			if got[o.Name] = o.Version; o.Deleted {
				delete(got, o.Name)
			}
		}
		if want := existingVersions(leader); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("have %v, want %v", got, want)
		}
	})
}

// TestPreloadedObjectsAreWithheld checks that objects of a list that lags are not returned as
// changes or passed on before another copy confirms them, and that the changes then hold
// what that copy holds. On trouble-1 of wickgate, a host that used such a list sent a request
// to a target 3 s after it had said that it leaves.
func TestPreloadedObjectsAreWithheld(t *testing.T) {
	tests := []struct {
		name  string
		other []platform.Object // at version 20
		want  string
	}{
		{"changed", []platform.Object{object("a", 5), object("b", 15)}, "a5 b15"},
		{"removed", []platform.Object{object("a", 5)}, "a5"},
		{"added", []platform.Object{object("a", 5), object("b", 8), object("c", 12)}, "a5 b8 c12"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f, other := New(), New()
			f.Preload(kindName, []platform.Object{object("a", 5), object("b", 8)}, 10)
			c.Check(f.Loaded(kindName), qt.IsFalse)
			c.Check(f.Preloaded(kindName), qt.IsTrue)
			c.Check(f.ChangesSince(nil), qt.HasLen, 0)
			c.Check(f.HasChangesSince(nil), qt.IsFalse)
			c.Check(f.Confirm(other.ConfirmedVersions()), qt.HasLen, 0)
			other.Replace(kindName, test.other, 20)
			c.Check(f.Confirm(other.ConfirmedVersions()), qt.HasLen, 0, qt.Commentf("the other copy is newer"))
			changes := append(f.Merge(other.ChangesSince(f.Versions())), f.Confirm(other.ConfirmedVersions())...)
			got := make([]string, 0, len(changes))
			for _, o := range changes {
				got = append(got, fmt.Sprintf("%s%d", o.Name, o.Version))
			}
			c.Check(strings.Join(got, " "), qt.Equals, test.want)
			c.Check(f.Loaded(kindName), qt.IsTrue)
		})
	}
}

// TestWatchConfirmsPreloadedObjects checks that the store's changes since the version of a
// preloaded kind confirm it, also if there are none.
func TestWatchConfirmsPreloadedObjects(t *testing.T) {
	tests := []struct {
		name    string
		changes []platform.Object
		want    int
	}{
		{"no change", nil, 2},
		{"one added", []platform.Object{object("c", 12)}, 3},
		{"one removed", []platform.Object{{Kind: kindName, Name: "a", Deleted: true}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := New()
			f.Preload(kindName, []platform.Object{object("a", 5), object("b", 8)}, 10)
			c.Check(f.Apply(kindName, test.changes, 13), qt.HasLen, test.want)
			c.Check(f.Loaded(kindName), qt.IsTrue)
		})
	}
}

// TestListReplacesPreloadedObjects checks that a list from the store itself returns all of its
// objects as changes and needs no confirmation.
func TestListReplacesPreloadedObjects(t *testing.T) {
	c := qt.New(t)
	f := New()
	f.Preload(kindName, []platform.Object{object("a", 5), object("b", 8)}, 10)
	c.Check(f.Replace(kindName, []platform.Object{object("a", 5)}, 11), qt.HasLen, 1)
	c.Check(f.Loaded(kindName), qt.IsTrue)
	f.Preload(kindName, nil, 12)
	c.Check(f.Loaded(kindName), qt.IsTrue, qt.Commentf("a copy with objects is not preloaded"))
}
