package entry

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSplit(t *testing.T) {
	tests := []struct {
		path, name, rest string
	}{
		{"/desk/pages/1", "desk", "/pages/1"},
		{"/desk", "desk", "/"},
		{"/", "", "/"},
		{"", "", "/"},
		{"//x", "", "/x"},
		{"/desk/%2F/..", "desk", "/%2F/.."},
	}
	for _, test := range tests {
		name, rest := split(test.path)
		qt.Check(t, name, qt.Equals, test.name)
		qt.Check(t, rest, qt.Equals, test.rest)
	}
}

func FuzzSplit(f *testing.F) {
	f.Add("/desk/pages")
	f.Fuzz(func(t *testing.T, path string) {
		name, rest := split(path)
		if strings.Contains(name, "/") || !strings.HasPrefix(rest, "/") {
			t.Fatalf("%q is split into %q and %q", path, name, rest)
		}
	})
}
