package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

var start = time.Unix(1_000_000, 0)

// newFilledDirectory returns a directory with n targets of one service.
func newFilledDirectory(n int) *Directory {
	d := New(2 * time.Second)
	for i := range n {
		d.Set(start, platform.Target{Name: fmt.Sprint("t", i), Service: "stock", StartedAt: start})
	}
	return d
}

// removeFirstFour removes the first four entries.
func removeFirstFour(d *Directory, now time.Time) {
	for i := range 4 {
		d.Remove(now, fmt.Sprint("t", i))
	}
}

// TestEntriesLapsedAroundOutageAreRetained checks that entries that lapse during or
// just after an outage of the platform are retained until their targets have had
// time to register again.
func TestEntriesLapsedAroundOutageAreRetained(t *testing.T) {
	tests := []struct {
		name   string
		events func(d *Directory, now time.Time)
		after  time.Duration
		want   int
	}{
		{"no outage", func(d *Directory, now time.Time) { d.Remove(now, "t0") }, 0, 3},
		{"during", func(d *Directory, now time.Time) { d.PlatformUnavailable(); d.Remove(now, "t0") }, time.Second, 4},
		{"just after", func(d *Directory, now time.Time) {
			d.PlatformUnavailable()
			d.PlatformRecovered(now)
			removeFirstFour(d, now)
		}, 2 * time.Second, 4},
		{"not registered again", func(d *Directory, now time.Time) {
			d.PlatformUnavailable()
			d.PlatformRecovered(now)
			removeFirstFour(d, now)
		}, 2300 * time.Millisecond, 0},
		{"registered again", func(d *Directory, now time.Time) {
			d.PlatformUnavailable()
			d.PlatformRecovered(now)
			removeFirstFour(d, now)
			d.Set(start, platform.Target{Name: "t1", Service: "stock", StartedAt: start})
		}, 2300 * time.Millisecond, 1},
		{"draining", func(d *Directory, now time.Time) {
			d.Set(start, platform.Target{Name: "t1", Service: "stock", StartedAt: start, Draining: true})
			d.PlatformUnavailable()
			d.Remove(now, "t1")
		}, 0, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newFilledDirectory(4)
			test.events(d, start)
			now := start.Add(test.after)
			d.DeleteExpired(now)
			c.Check(d.ServiceTargets(now, "stock"), qt.HasLen, test.want)
		})
	}
}

// TestMassRemovalIsRetained checks that the entries are retained, for less than the
// drain time, if half of a service is removed within massRemovalWindow.
func TestMassRemovalIsRetained(t *testing.T) {
	c := qt.New(t)
	d := newFilledDirectory(6)
	for i := range 3 {
		d.Remove(start.Add(time.Duration(i)*100*time.Millisecond), fmt.Sprint("t", i))
	}
	now := start.Add(time.Second)
	d.DeleteExpired(now)
	c.Check(d.ServiceTargets(now, "stock"), qt.HasLen, 6)
	now = start.Add(2 * time.Second)
	d.DeleteExpired(now)
	c.Check(d.ServiceTargets(now, "stock"), qt.HasLen, 3)
}

// TestVersionGrowsOnlyWithChanges checks that setting an unchanged target does not
// change the version.
func TestVersionGrowsOnlyWithChanges(t *testing.T) {
	c := qt.New(t)
	d := newFilledDirectory(2)
	before := d.Version()
	d.Set(start, platform.Target{Name: "t1", Service: "stock", StartedAt: start})
	c.Check(d.Version(), qt.Equals, before)
	d.Set(start, platform.Target{Name: "t1", Service: "stock", StartedAt: start.Add(time.Second)})
	c.Check(d.Version() > before, qt.IsTrue)
	c.Check(d.AllTargets(start)[1].StartedAt, qt.Equals, start.Add(time.Second))
}

// TestEntryOfAnotherServiceLeavesNoDraining checks that a target is not draining because an entry of another service
// stood under its name.
func TestEntryOfAnotherServiceLeavesNoDraining(t *testing.T) {
	c := qt.New(t)
	d := newFilledDirectory(1)
	own := platform.Target{Name: "t0", Service: "stock", StartedAt: start}
	foreign := platform.Target{Name: "t0", Service: "other", StartedAt: start, Draining: true}
	d.Set(start, foreign)
	c.Check(d.ServiceTargets(start, "stock"), qt.HasLen, 0)
	_, ok := d.StartedAt("stock", "t0")
	c.Check(ok, qt.IsFalse)
	d.Set(start, own)
	c.Check(slices.Equal(d.ServiceTargets(start, "stock"), []platform.Target{own}), qt.IsTrue)
	d.Set(start, foreign)
	d.Remove(start, "t0")
	d.Set(start, own)
	c.Check(slices.Equal(d.ServiceTargets(start, "stock"), []platform.Target{own}), qt.IsTrue)
}

// TestSmallOrDrainedRemovalsAreNotRetained checks that entries are retained only if
// many targets are removed together without having drained.
func TestSmallOrDrainedRemovalsAreNotRetained(t *testing.T) {
	const drain = 2 * time.Second
	tests := []struct {
		name    string
		size    int
		drained int // number of targets that drain before their removal
		removed int
		want    int // usable targets after 600 ms
	}{
		{"two of three", 3, 0, 2, 1},
		{"three of eight", 8, 0, 3, 5},
		{"three of six", 6, 0, 3, 6},
		{"three draining and three others of nine", 9, 3, 6, 6},
		{"three draining of six", 6, 3, 3, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(drain)
			for i := range test.size {
				d.Set(start, platform.Target{Name: fmt.Sprint("t", i), Service: "stock", StartedAt: start, Draining: i < test.drained})
			}
			for i := range test.removed {
				d.Remove(start, fmt.Sprint("t", i))
			}
			now := start.Add(600 * time.Millisecond)
			d.DeleteExpired(now)
			qt.Check(t, d.ServiceTargets(now, "stock"), qt.HasLen, test.want)
		})
	}
}

// TestRepeatedRemovalsHaveNoEffect checks that a second removal of an entry does
// not extend its retention.
func TestRepeatedRemovalsHaveNoEffect(t *testing.T) {
	c := qt.New(t)
	d := newFilledDirectory(4)
	d.PlatformUnavailable()
	d.Remove(start, "t0")
	before := d.Version()
	d.Remove(start.Add(reregistrationTime-time.Millisecond), "t0")
	c.Check(d.Version(), qt.Equals, before)
	c.Check(d.ServiceTargets(start.Add(reregistrationTime), "stock"), qt.HasLen, 3)
}
