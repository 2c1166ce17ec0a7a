package directory

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// After the platform was restored from a copy, entries of targets that have left do not bring them back, and entries
// that the copy lacks are kept until their targets had time to register again.
func TestRestoredEntries(t *testing.T) {
	ready := platform.Target{Name: "t1", Service: "stock", StartedAt: start}
	draining := ready
	draining.Draining = true
	restarted := ready
	restarted.StartedAt = start.Add(time.Second)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name string
		// play applies what comes before second 20 to a directory with the target, ready since second 0.
		play   func(d *Directory)
		second float64
		want   []platform.Target
	}{
		{"drained before, ready in the copy", func(d *Directory) {
			d.Set(at(5), draining)
			d.PlatformRestored(at(10))
			d.Set(at(10), ready)
		}, 11, []platform.Target{draining}},
		{"drained and removed before, ready in the copy", func(d *Directory) {
			d.Set(at(5), draining)
			d.Remove(at(7), "t1")
			d.DeleteExpired(at(9))
			d.PlatformRestored(at(10))
			d.Set(at(10), ready)
		}, 16, []platform.Target{draining}},
		{"removed before, in the copy", func(d *Directory) {
			d.Remove(at(7), "t1")
			d.DeleteExpired(at(9))
			d.PlatformRestored(at(10))
			d.Set(at(10), ready)
		}, 11, nil},
		{"removed before, still listed when the platform would have removed it", func(d *Directory) {
			d.Remove(at(7), "t1")
			d.PlatformRestored(at(10))
			d.Set(at(10), ready)
		}, 16, []platform.Target{ready}},
		{"removed before, started again", func(d *Directory) {
			d.Remove(at(7), "t1")
			d.PlatformRestored(at(10))
			d.Set(at(10), restarted)
		}, 11, []platform.Target{restarted}},
		{"removed and registered again in one era", func(d *Directory) {
			d.Remove(at(7), "t1")
			d.Set(at(8), ready)
		}, 8, []platform.Target{ready}},
		{"not in the copy", func(d *Directory) {
			d.PlatformRestored(at(10))
			d.Remove(at(10), "t1")
		}, 12, []platform.Target{ready}},
		{"not in the copy and not registered again", func(d *Directory) {
			d.PlatformRestored(at(10))
			d.Remove(at(10), "t1")
		}, 13, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(2 * time.Second)
			d.Set(start, ready)
			test.play(d)
			qt.Check(t, slices.Equal(d.AllTargets(at(test.second)), test.want), qt.IsTrue, qt.Commentf("%v", d.AllTargets(at(test.second))))
		})
	}
}
