package entry

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSplitPath(t *testing.T) {
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
		name, rest := splitPath(test.path)
		qt.Check(t, name, qt.Equals, test.name)
		qt.Check(t, rest, qt.Equals, test.rest)
	}
}

func FuzzSplitPath(f *testing.F) {
	f.Add("/desk/pages")
	f.Fuzz(func(t *testing.T, path string) {
		name, rest := splitPath(path)
		if strings.Contains(name, "/") || !strings.HasPrefix(rest, "/") {
			t.Fatalf("path %q was split into name %q and rest %q", path, name, rest)
		}
	})
}
