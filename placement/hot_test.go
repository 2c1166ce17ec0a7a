package placement

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// window sends traffic of which a share goes to one key.
func window(f *Finder, hot int) {
	for i := range 1000 {
		if i < hot {
			f.Add("hot")
		} else {
			f.Add(fmt.Sprint(i))
		}
	}
}

func TestFinderNeedsMoreThanASwing(t *testing.T) {
	f := NewFinder()
	window(f, 300)
	qt.Assert(t, f.EndWindow(4, 8, nil).Add, qt.HasLen, 0)
	window(f, 10)
	qt.Assert(t, f.EndWindow(4, 8, nil).Add, qt.HasLen, 0)
	window(f, 300)
	qt.Assert(t, f.EndWindow(4, 8, nil).Add, qt.HasLen, 0)
	window(f, 300)
	qt.Assert(t, f.EndWindow(4, 8, nil).Add, qt.DeepEquals, []string{"hot"})
	qt.Assert(t, f.EndWindow(4, 0, nil).Add, qt.HasLen, 0)
}

func TestFinderLetsCoolKeysGo(t *testing.T) {
	f := NewFinder()
	placed := []string{"hot"}
	for i := range coolWindows {
		window(f, 5)
		if i < coolWindows-1 {
			qt.Assert(t, f.EndWindow(4, 8, placed).Remove, qt.HasLen, 0)
		}
	}
	qt.Assert(t, f.EndWindow(4, 8, placed).Remove, qt.DeepEquals, placed)
	for range 2 * coolWindows {
		window(f, 100)
		qt.Assert(t, f.EndWindow(4, 8, placed).Remove, qt.HasLen, 0, qt.Commentf("a key that is warm stays"))
	}
}

func TestPlaceHot(t *testing.T) {
	tests := []struct {
		name                       string
		current, shards, available []string
		want                       []string
	}{
		{"stays", []string{"a"}, []string{"a"}, []string{"a", "b"}, []string{"a"}},
		{"away from its shard", []string{""}, []string{"a"}, []string{"a", "b"}, []string{"b"}},
		{"owner lost", []string{"c", "b"}, []string{"c", "a"}, []string{"a", "b"}, []string{"a", "b"}},
		{"only one", []string{""}, []string{"a"}, []string{"a"}, []string{"a"}},
		{"none", []string{"a"}, []string{"a"}, nil, []string{""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, PlaceHot(test.current, test.shards, test.available), qt.DeepEquals, test.want)
		})
	}
}
