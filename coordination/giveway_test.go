package coordination

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// Which reports of other hosts make a cut-off coordinator give way.
func TestShouldGiveWay(t *testing.T) {
	relay := Relay{Host: "b", Address: netip.MustParseAddrPort("10.0.0.1:1")}
	tests := []struct {
		name  string
		other hostReport
		age   time.Duration
		store bool // this host cannot reach the store
		want  bool
	}{
		{"reaches the targets", hostReport{relayState: relayState{self: relay, accepts: true}}, 0, false, true},
		{"reaches the targets, relaying is off", hostReport{}, 0, false, true},
		{"cut off", hostReport{relayState: relayState{self: relay, cutOff: true}}, 0, false, false},
		{"cut off, relaying is off", hostReport{relayState: relayState{cutOff: true}}, 0, false, false},
		{"stopping", hostReport{relayState: relayState{self: relay}}, 0, false, false},
		{"replaced by another process", hostReport{relayState: relayState{replaced: true}}, 0, false, false},
		{"cannot reach the store", hostReport{watching: true, storeUnreachable: true}, 0, false, false},
		{"report is old", hostReport{}, handOverDelay, false, false},
		{"store is unreachable for the coordinator", hostReport{}, 0, true, false},
	}
	for _, test := range tests {
		l := newTestLeader()
		l.process = "a"
		l.member.options.StoreUnreachable = func() bool { return test.store }
		at := now()
		test.other.receivedAt = at.Add(-test.age)
		l.hosts["a"] = &hostReport{receivedAt: at}
		l.hosts["b"] = &test.other
		qt.Check(t, l.shouldGiveWay(at), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// A write of the document whose outcome is unknown does not keep a cut-off coordinator from giving way. It leaves the
// document as it is, and so does one that is no longer cut off or that the store does not answer.
func TestGiveWayEndsTheCoordination(t *testing.T) {
	tests := []struct {
		name                         string
		cutOff, proposed, storeFails bool
		ended, vacated               bool
	}{
		{"cut off", true, false, false, true, true},
		{"a write has an unknown outcome", true, true, false, true, false},
		{"no longer cut off", false, false, false, false, false},
		{"store does not answer", true, false, true, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newTestLeader()
			client := attachStore(t, l)
			if test.storeFails {
				unreachable := platform.NewClient(ports.Free(t))
				l.member.options.Store = func() *platform.Client { return unreachable }
			}
			l.member.state.Store(&State{})
			l.member.options.CutOff = func() bool { return test.cutOff }
			if test.proposed {
				l.core.SetTargets(now().Add(-time.Minute), "stock", stockTargets(2))
				d, _ := l.core.Plan(now())
				c.Assert(d, qt.IsNotNil)
			}
			l.givingWay = true
			l.giveWay(context.Background())
			c.Check(l.ended, qt.Equals, test.ended)
			c.Check(l.member.candidacySuspended(), qt.Equals, test.ended)
			c.Check(l.givingWay, qt.Equals, test.ended) // tries again if it has not ended
			have, err := client.Get(context.Background(), documentKind, documentName)
			c.Assert(err, qt.IsNil)
			d, err := decodeDocument(have)
			c.Assert(err, qt.IsNil)
			c.Check(d.Coordinator == "", qt.Equals, test.vacated)
		})
	}
}

// When a cut-off host leaves the takeover to others.
func TestCutOffHostsDefer(t *testing.T) {
	relays := []Relay{testRelay("b", "x")}
	tests := []struct {
		name             string
		cutOff           bool
		relays           []Relay
		replied, refused time.Duration // how long ago; 0 means never
		gaveWay          time.Duration // how long ago
		want             bool
	}{
		{"reaches the targets", false, relays, time.Millisecond, 0, 0, false},
		{"cut off, another host is not", true, relays, time.Millisecond, 0, 0, true},
		{"no other host is known to reach them", true, nil, time.Millisecond, 0, 0, false},
		{"just before others have taken over", true, relays, deferTime - 100*time.Millisecond, 0, 0, true},
		{"others have not taken over", true, relays, deferTime, 0, 0, false},
		{"coordinator resigned", true, relays, deferTimeRefused / 2, deferTimeRefused / 2, 0, true},
		{"others have not taken over from one that resigned", true, relays, deferTimeRefused, deferTimeRefused, 0, false},
		{"gave way", true, nil, 0, 0, time.Millisecond, true},
		{"gave way, and is not cut off any more", false, nil, 0, 0, time.Millisecond, false},
		{"gave way long ago", true, nil, 0, 0, gaveWayBackoff, false},
	}
	for _, test := range tests {
		m := New(Options{Log: slog.New(slog.DiscardHandler), CutOff: func() bool { return test.cutOff }})
		m.state.Store(&State{Relays: test.relays})
		ago := func(d time.Duration) time.Time {
			if d == 0 {
				return time.Time{}
			}
			return now().Add(-d)
		}
		m.lastReply, m.refusedAt = ago(test.replied), ago(test.refused)
		if test.gaveWay > 0 {
			m.gaveWayUntil = now().Add(gaveWayBackoff - test.gaveWay)
		}
		qt.Check(t, m.candidacySuspended(), qt.Equals, test.want, qt.Commentf(test.name))
		if test.want {
			qt.Check(t, m.shouldTakeOver(&Reply{ConfirmationAge: time.Minute}, time.Minute), qt.IsFalse, qt.Commentf(test.name))
		}
	}
}

// A coordinator that is cut off does not resign because targets do not answer, nor does it just after the cut: its last
// orders have to time out.
func TestCutOffCoordinatorIsNotIsolated(t *testing.T) {
	tests := []struct {
		name     string
		cutOff   bool
		cutEnded time.Duration // how long ago the last cut ended; 0 if there was none
		resigns  bool
	}{
		{"not cut off", false, 0, true},
		{"cut off", true, 0, false},
		{"cut has just ended", false, recoveryTime / 2, false},
		{"cut ended before", false, recoveryTime, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := newTestLeader()
			attachStore(t, l)
			l.member.options.Targets = func() Targets { return Targets{} }
			l.member.options.StoreUnreachable = func() bool { return false }
			l.member.state.Store(&State{})
			l.member.options.CutOff = func() bool { return test.cutOff }
			at := now().Add(-3 * time.Second)
			l.core.SetTargets(at.Add(-2*time.Second), "stock", stockTargets(4))
			for _, target := range stockTargets(4) {
				l.core.RecordResult(at, ownership.Order{To: ownership.IncarnationOf(target)}, ownership.OrderUnanswered, "")
			}
			c.Assert(l.core.Isolated(now()), qt.IsTrue)
			if test.cutEnded > 0 {
				l.cutOffAt = now().Add(-test.cutEnded)
			}
			l.step(context.Background())
			c.Check(l.member.candidacySuspended(), qt.Equals, test.resigns)
			if test.resigns {
				waitFor(t, "ended", l.hasEnded)
			} else {
				c.Check(l.hasEnded(), qt.IsFalse)
			}
		})
	}
}

// A coordinator moves no keys while it is cut off, nor just after.
func TestCutOffCoordinatorMovesNoKeys(t *testing.T) {
	tests := []struct {
		name     string
		cutOff   bool
		cutEnded time.Duration // how long ago the last cut ended; 0 if there was none
		want     bool
	}{
		{"not cut off", false, 0, true},
		{"cut off", true, 0, false},
		{"cut has just ended", false, recoveryTime / 2, false},
		{"cut ended before", false, recoveryTime, true},
	}
	for _, test := range tests {
		l := newTestLeader()
		l.member.options.Targets = func() Targets { return Targets{} }
		l.member.options.StoreUnreachable = func() bool { return true }
		l.member.options.CutOff = func() bool { return test.cutOff }
		l.member.options.Submit = func(func()) error { return nil } // the write is not needed
		l.core.SetTargets(now().Add(-time.Minute), "stock", stockTargets(4))
		if test.cutEnded > 0 {
			l.cutOffAt = now().Add(-test.cutEnded)
		}
		l.step(context.Background())
		qt.Check(t, l.core.Proposed() != nil, qt.Equals, test.want, qt.Commentf(test.name))
	}
}
