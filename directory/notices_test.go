package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// A notice makes the target of its process draining until another process has the name, whatever entries of that process follow.
func TestDrain(t *testing.T) {
	ready := platform.Target{Name: "t1", Service: "stock", StartedAt: start}
	later, foreign := ready, ready
	later.StartedAt = start.Add(time.Second)
	foreign.Service = "other"
	tests := []struct {
		name string
		play func(d *Directory)
		want bool // the target in the end is draining
	}{
		{"listed", func(d *Directory) { d.Drain(NoticeOf(ready)) }, true},
		{"older entry follows", func(d *Directory) { d.Drain(NoticeOf(ready)); d.Set(start, ready) }, true},
		{"another process follows", func(d *Directory) { d.Drain(NoticeOf(ready)); d.Set(start, later) }, false},
		{"notice of an earlier process", func(d *Directory) { d.Set(start, later); d.Drain(NoticeOf(ready)) }, false},
		{"notice of a later process", func(d *Directory) { d.Drain(NoticeOf(later)) }, false},
		{"entry of another service", func(d *Directory) { d.Set(start, foreign); d.Drain(NoticeOf(ready)) }, false},
		{"removed during an outage", func(d *Directory) {
			d.PlatformUnavailable()
			d.Remove(start, "t1")
			d.Drain(NoticeOf(ready))
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := New(2 * time.Second)
			d.Set(start, ready)
			test.play(d)
			got := d.AllTargets(start)
			c.Assert(got, qt.HasLen, 1)
			c.Check(got[0].Draining, qt.Equals, test.want)
		})
	}
}

// Entries of targets that leave are not kept when all of a service are removed at once.
func TestMassRemovalOfLeavingTargets(t *testing.T) {
	d := newFilledDirectory(6)
	for _, target := range d.AllTargets(start) {
		d.Drain(NoticeOf(target))
	}
	for _, target := range d.AllTargets(start) {
		d.Remove(start, target.Name)
	}
	qt.Check(t, d.AllTargets(start.Add(time.Millisecond)), qt.HasLen, 0)
}

// Other hosts are told of a notice once, and not if an entry says the same.
func TestNoticesForOtherHosts(t *testing.T) {
	c := qt.New(t)
	n := NewNotices()
	first, second := platform.Target{Name: "a", StartedAt: start}, platform.Target{Name: "b", StartedAt: start}
	c.Check(n.Add(start, NoticeOf(first)), qt.IsTrue)
	c.Check(n.Add(start, NoticeOf(first)), qt.IsFalse)
	c.Check(n.Add(start, NoticeOf(second)), qt.IsTrue)
	n.Confirm(second)
	got, version := n.AddedSince(0)
	c.Check(got, qt.DeepEquals, []Notice{NoticeOf(first)})
	got, _ = n.AddedSince(version)
	c.Check(got, qt.HasLen, 0)
	c.Check(n.Has(first) && n.Has(second), qt.IsTrue)
}

// A notice is kept while its process is listed, and for noticeRetention longer.
func TestNoticeRetention(t *testing.T) {
	c := qt.New(t)
	n := NewNotices()
	target := platform.Target{Name: "a", StartedAt: start}
	n.Add(start, NoticeOf(target))
	always, never := func(Notice) bool { return true }, func(Notice) bool { return false }
	n.Retain(start.Add(2*noticeRetention), always)
	n.Retain(start.Add(3*noticeRetention), never)
	c.Check(n.Has(target), qt.IsTrue)
	n.Retain(start.Add(3*noticeRetention+time.Second), never)
	c.Check(n.Has(target), qt.IsFalse)
}
