package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

// newTestView returns the view of host a in data centre x.
func newTestView() *View {
	return NewView(Host{Name: "a", DataCentre: "x"}, DefaultTiming(), start)
}

// receiveHeartbeat delivers a heartbeat of a host in data centre y to v.
func receiveHeartbeat(v *View, at time.Time, name string, holdings ...Holding) {
	v.ReceiveHeartbeat(at, Host{Name: name, DataCentre: "y"}, holdings, v.timing.FastInterval)
}

func TestDaemonWithoutHeartbeatsIsLost(t *testing.T) {
	v := newTestView()
	receiveHeartbeat(v, start, "b")
	qt.Assert(t, v.Alive(start.Add(250*time.Millisecond)), qt.HasLen, 2)
	qt.Assert(t, v.Alive(start.Add(251*time.Millisecond)), qt.HasLen, 1)
	v.ReceiveHeartbeat(start, Host{Name: "b"}, nil, v.timing.SlowInterval)
	qt.Assert(t, v.Alive(start.Add(2500*time.Millisecond)), qt.HasLen, 2)
	qt.Assert(t, v.IsAlive(start.Add(2501*time.Millisecond), "b"), qt.IsFalse)
}

func TestHolderHasHighestTerm(t *testing.T) {
	v := newTestView()
	receiveHeartbeat(v, start, "b", Holding{Group: "g", Term: 5})
	receiveHeartbeat(v, start, "c", Holding{Group: "g", Term: 6})
	h, ok := v.Holder(start, "g", nil)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, h.Name, qt.Equals, "c")
	v.MarkUnreachable("c")
	h, _ = v.Holder(start, "g", nil)
	qt.Assert(t, h.Name, qt.Equals, "b")
}

func TestLaterCandidatesBackOff(t *testing.T) {
	v := newTestView()
	settled := start.Add(v.timing.SettleTime)
	qt.Assert(t, v.ShouldAcquire(start, "g", nil), qt.IsFalse)
	receiveHeartbeat(v, settled, "b", Holding{Group: "g", Term: 1})
	qt.Assert(t, v.ShouldAcquire(settled, "g", nil), qt.IsFalse)
	// b is lost: a is the only candidate and acquires the group without delay.
	late := settled.Add(time.Second)
	qt.Assert(t, v.ShouldAcquire(late, "g", nil), qt.IsTrue)
	// With b alive and in the preferred data centre, a waits for CandidateDelay.
	receiveHeartbeat(v, late, "b")
	v.unheldSince = map[string]time.Time{}
	qt.Assert(t, v.ShouldAcquire(late, "g", []string{"y"}), qt.IsFalse)
	receiveHeartbeat(v, late.Add(v.timing.CandidateDelay), "b")
	qt.Assert(t, v.ShouldAcquire(late.Add(v.timing.CandidateDelay), "g", []string{"y"}), qt.IsTrue)
	v.MarkLeaving()
	qt.Assert(t, v.ShouldAcquire(late.Add(v.timing.CandidateDelay), "g", []string{"y"}), qt.IsFalse)
}

func TestListedHostsAreMembers(t *testing.T) {
	v := newTestView()
	v.UpdateListed(start, []Host{{Name: "a"}, {Name: "b"}})
	qt.Assert(t, v.Members(), qt.HasLen, 1)
	qt.Assert(t, v.Alive(start), qt.HasLen, 1)
	v.UpdateListed(start, nil)
	qt.Assert(t, v.Members(), qt.HasLen, 0)
	receiveHeartbeat(v, start, "c")
	v.UpdateListed(start, nil)
	qt.Assert(t, v.Members(), qt.HasLen, 1, qt.Commentf("a live daemon that is not listed was removed"))
}
