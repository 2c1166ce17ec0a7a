package directory

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

var start = time.Unix(1_000_000, 0)

func filled(n int) *Directory {
	d := New(2 * time.Second)
	for i := range n {
		d.Set(platform.Target{Name: fmt.Sprint("t", i), Service: "stock", StartedAt: start})
	}
	return d
}

func removeAll(d *Directory, now time.Time) {
	for i := range 4 {
		d.Remove(now, fmt.Sprint("t", i))
	}
}

func TestEntriesThatLapseAroundAnOutageAreKept(t *testing.T) {
	tests := []struct {
		name   string
		events func(d *Directory, now time.Time)
		after  time.Duration
		want   int
	}{
		{"no outage", func(d *Directory, now time.Time) { d.Remove(now, "t0") }, 0, 3},
		{"during", func(d *Directory, now time.Time) { d.PlatformLost(); d.Remove(now, "t0") }, time.Second, 4},
		{"just after", func(d *Directory, now time.Time) {
			d.PlatformLost()
			d.PlatformBack(now)
			removeAll(d, now)
		}, 2 * time.Second, 4},
		{"did not return", func(d *Directory, now time.Time) {
			d.PlatformLost()
			d.PlatformBack(now)
			removeAll(d, now)
		}, 2300 * time.Millisecond, 0},
		{"returned", func(d *Directory, now time.Time) {
			d.PlatformLost()
			d.PlatformBack(now)
			removeAll(d, now)
			d.Set(platform.Target{Name: "t1", Service: "stock", StartedAt: start})
		}, 2300 * time.Millisecond, 1},
		{"draining", func(d *Directory, now time.Time) {
			d.Set(platform.Target{Name: "t1", Service: "stock", StartedAt: start, Draining: true})
			d.PlatformLost()
			d.Remove(now, "t1")
		}, 0, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := filled(4)
			test.events(d, start)
			now := start.Add(test.after)
			d.Tick(now)
			c.Check(d.Service(now, "stock"), qt.HasLen, test.want)
		})
	}
}

// Half of a service that vanishes at once is kept, but not as long as a drain lasts.
func TestTargetsThatVanishTogetherAreDoubted(t *testing.T) {
	c := qt.New(t)
	d := filled(6)
	for i := range 3 {
		d.Remove(start.Add(time.Duration(i)*100*time.Millisecond), fmt.Sprint("t", i))
	}
	now := start.Add(time.Second)
	d.Tick(now)
	c.Check(d.Service(now, "stock"), qt.HasLen, 6)
	now = start.Add(2 * time.Second)
	d.Tick(now)
	c.Check(d.Service(now, "stock"), qt.HasLen, 3)
}

func TestVersionGrowsOnlyWithChanges(t *testing.T) {
	c := qt.New(t)
	d := filled(2)
	before := d.Version()
	d.Set(platform.Target{Name: "t1", Service: "stock", StartedAt: start})
	c.Check(d.Version(), qt.Equals, before)
	d.Set(platform.Target{Name: "t1", Service: "stock", StartedAt: start.Add(time.Second)})
	c.Check(d.Version() > before, qt.IsTrue)
	c.Check(d.All(start)[1].StartedAt, qt.Equals, start.Add(time.Second))
}

// Only targets that vanish without notice, and many at once, are doubted.
func TestFewOrAnnouncedLossesAreNotDoubted(t *testing.T) {
	const drain = 2 * time.Second
	tests := []struct {
		name   string
		size   int
		notice int // how many of them drain first
		gone   int
		want   int // still used after 600 ms
	}{
		{"two of three", 3, 0, 2, 1},
		{"three of eight", 8, 0, 3, 5},
		{"three of six", 6, 0, 3, 6},
		{"three of nine of which three drain", 9, 3, 6, 6},
		{"three that drain of six", 6, 3, 3, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(drain)
			for i := range test.size {
				d.Set(platform.Target{Name: fmt.Sprint("t", i), Service: "stock", StartedAt: start, Draining: i < test.notice})
			}
			for i := range test.gone {
				d.Remove(start, fmt.Sprint("t", i))
			}
			now := start.Add(600 * time.Millisecond)
			d.Tick(now)
			qt.Check(t, d.Service(now, "stock"), qt.HasLen, test.want)
		})
	}
}

// A removal that is told again does not lengthen the time for which an entry is kept.
func TestRepeatedRemovalsChangeNothing(t *testing.T) {
	c := qt.New(t)
	d := filled(4)
	d.PlatformLost()
	d.Remove(start, "t0")
	before := d.Version()
	d.Remove(start.Add(returnTime-time.Millisecond), "t0")
	c.Check(d.Version(), qt.Equals, before)
	c.Check(d.Service(start.Add(returnTime), "stock"), qt.HasLen, 3)
}
