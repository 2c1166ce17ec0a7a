package edge

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The bytes and lines of a head must be the same however it arrives.
func TestHeadScanner(t *testing.T) {
	tests := []struct {
		name         string
		text         string
		bytes, lines int64
		ended        bool
	}{
		{"nothing", "", 0, 0, false},
		{"request line", "GET / HTTP/1.1\r\n", 16, 1, false},
		{"whole", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27, 2, true},
		{"without carriage returns", "GET / HTTP/1.1\nHost: a\n\n", 24, 2, true},
		{"body", "PUT / HTTP/1.1\r\nHost: a\r\n\r\nbody\r\n\r\n", 27, 2, true},
		{"blank lines before", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", 22, 1, true},
		{"blank lines only", "\r\n\n\r\n", 5, 0, false},
		{"line of spaces", "GET / HTTP/1.1\r\n \r\n", 19, 2, false},
	}
	for _, test := range tests {
		for _, size := range []int{1, 2, 3, 5, 1000} {
			t.Run(test.name, func(t *testing.T) {
				var h headScanner
				for rest := test.text; rest != ""; {
					n := min(size, len(rest))
					h.scan([]byte(rest[:n]))
					rest = rest[n:]
				}
				qt.Check(t, []any{h.bytes, h.lines, h.ended}, qt.DeepEquals, []any{test.bytes, test.lines, test.ended}, qt.Commentf("in pieces of %d of %q", size, strings.TrimSpace(test.text)))
			})
		}
	}
}
