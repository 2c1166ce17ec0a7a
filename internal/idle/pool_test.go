package idle

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TakeIf returns the resource that was returned last among those that suit, and leaves the others in the pool.
func TestTakeIf(t *testing.T) {
	tests := []struct {
		name   string
		max    int // greatest resource that suits
		want   int
		reused bool
		left   int
	}{
		{"all suit", 3, 3, true, 2},
		{"last does not suit", 2, 2, true, 2},
		{"none suits", 0, 9, false, 3},
	}
	for _, test := range tests {
		c := qt.New(t)
		p := New(Options[int]{
			Open:        func(context.Context) (int, error) { return 9, nil },
			Usable:      func(int) bool { return true },
			Close:       func(int) {},
			MaxIdle:     3,
			IdleTimeout: 1 << 40,
		})
		for i := range 3 {
			p.Put(i + 1)
		}
		got, reused, err := p.TakeIf(context.Background(), func(n int) bool { return n <= test.max })
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, test.want, qt.Commentf(test.name))
		c.Check(reused, qt.Equals, test.reused, qt.Commentf(test.name))
		c.Check(p.Len(), qt.Equals, test.left, qt.Commentf(test.name))
	}
}
