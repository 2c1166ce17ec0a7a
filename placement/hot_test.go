package placement

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// addWindow adds 1000 requests to f, of which the given number have the key "hot".
func addWindow(f *HotKeyFinder, hot int) {
	for i := range 1000 {
		if i < hot {
			f.Add("hot")
		} else {
			f.Add(fmt.Sprint(i))
		}
	}
}

func TestHotKeyFinderIgnoresShortBursts(t *testing.T) {
	f := NewHotKeyFinder()
	addWindow(f, 300)
	qt.Assert(t, f.EndWindow(4, 8, nil).Add, qt.HasLen, 0)
	addWindow(f, 10)
	qt.Assert(t, f.EndWindow(4, 8, nil).Add, qt.HasLen, 0)
	addWindow(f, 300)
	qt.Assert(t, f.EndWindow(4, 8, nil).Add, qt.HasLen, 0)
	addWindow(f, 300)
	qt.Assert(t, f.EndWindow(4, 8, nil).Add, qt.DeepEquals, []string{"hot"})
	qt.Assert(t, f.EndWindow(4, 0, nil).Add, qt.HasLen, 0)
}

func TestHotKeyFinderReleasesColdKeys(t *testing.T) {
	f := NewHotKeyFinder()
	placed := []string{"hot"}
	for i := range windowsToRelease {
		addWindow(f, 5)
		if i < windowsToRelease-1 {
			qt.Assert(t, f.EndWindow(4, 8, placed).Remove, qt.HasLen, 0)
		}
	}
	qt.Assert(t, f.EndWindow(4, 8, placed).Remove, qt.DeepEquals, placed)
	for range 2 * windowsToRelease {
		addWindow(f, 100)
		qt.Assert(t, f.EndWindow(4, 8, placed).Remove, qt.HasLen, 0, qt.Commentf("a key above the cold threshold stays placed"))
	}
}

func TestPlaceHotKeys(t *testing.T) {
	tests := []struct {
		name                       string
		current, shards, available []string
		want                       []string
	}{
		{"available owner is kept", []string{"a"}, []string{"a"}, []string{"a", "b"}, []string{"a"}},
		{"not the owner of its shard", []string{""}, []string{"a"}, []string{"a", "b"}, []string{"b"}},
		{"owner unavailable", []string{"c", "b"}, []string{"c", "a"}, []string{"a", "b"}, []string{"a", "b"}},
		{"only one target", []string{""}, []string{"a"}, []string{"a"}, []string{"a"}},
		{"no target", []string{"a"}, []string{"a"}, nil, []string{""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, PlaceHotKeys(test.current, test.shards, test.available), qt.DeepEquals, test.want)
		})
	}
}
