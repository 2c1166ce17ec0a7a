package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func view() *View {
	return New(Host{Name: "a", DataCentre: "x"}, DefaultTiming(), start)
}

func hear(v *View, at time.Time, name string, holdings ...Holding) {
	v.Heard(at, Host{Name: name, DataCentre: "y"}, holdings, v.timing.Interval)
}

func TestSilenceMakesLost(t *testing.T) {
	v := view()
	hear(v, start, "b")
	qt.Assert(t, v.Alive(start.Add(250*time.Millisecond)), qt.HasLen, 2)
	qt.Assert(t, v.Alive(start.Add(251*time.Millisecond)), qt.HasLen, 1)
	v.Heard(start, Host{Name: "b"}, nil, v.timing.Slow)
	qt.Assert(t, v.Alive(start.Add(2500*time.Millisecond)), qt.HasLen, 2)
	qt.Assert(t, v.IsAlive(start.Add(2501*time.Millisecond), "b"), qt.IsFalse)
}

func TestHighestTermHolds(t *testing.T) {
	v := view()
	hear(v, start, "b", Holding{Group: "g", Term: 5})
	hear(v, start, "c", Holding{Group: "g", Term: 6})
	h, ok := v.Holder(start, "g", nil)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, h.Name, qt.Equals, "c")
	v.Lost("c")
	h, _ = v.Holder(start, "g", nil)
	qt.Assert(t, h.Name, qt.Equals, "b")
}

func TestCandidatesBackOff(t *testing.T) {
	v := view()
	settled := start.Add(v.timing.Settle)
	qt.Assert(t, v.ShouldSeek(start, "g", nil), qt.IsFalse)
	hear(v, settled, "b", Holding{Group: "g", Term: 1})
	qt.Assert(t, v.ShouldSeek(settled, "g", nil), qt.IsFalse)
	// b is lost: a is the only candidate and seeks at once.
	late := settled.Add(time.Second)
	qt.Assert(t, v.ShouldSeek(late, "g", nil), qt.IsTrue)
	// With b alive and preferred, a waits its turn.
	hear(v, late, "b")
	v.vacant = map[string]time.Time{}
	qt.Assert(t, v.ShouldSeek(late, "g", []string{"y"}), qt.IsFalse)
	hear(v, late.Add(v.timing.BackOff), "b")
	qt.Assert(t, v.ShouldSeek(late.Add(v.timing.BackOff), "g", []string{"y"}), qt.IsTrue)
	v.Leave()
	qt.Assert(t, v.ShouldSeek(late.Add(v.timing.BackOff), "g", []string{"y"}), qt.IsFalse)
}

func TestListedHostsAreWorthAHeartbeat(t *testing.T) {
	v := view()
	v.Listed(start, []Host{{Name: "a"}, {Name: "b"}})
	qt.Assert(t, v.Known(), qt.HasLen, 1)
	qt.Assert(t, v.Alive(start), qt.HasLen, 1)
	v.Listed(start, nil)
	qt.Assert(t, v.Known(), qt.HasLen, 0)
	hear(v, start, "c")
	v.Listed(start, nil)
	qt.Assert(t, v.Known(), qt.HasLen, 1, qt.Commentf("a live daemon stays although the list lacks it"))
}
