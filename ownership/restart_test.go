package ownership

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// restartedTarget returns the first target after a restart under its name.
func restartedTarget() platform.Target {
	t := target(0)
	t.StartedAt = t.StartedAt.Add(time.Hour)
	return t
}

// TestKeysGrantedToARestartedTargetAreNotGivenAway guards against two owners of keys after a restart of their first one:
// it accepts a grant that is addressed to its earlier start before its entry shows the new one.
func TestKeysGrantedToARestartedTargetAreNotGivenAway(t *testing.T) {
	otherAddress := restartedTarget()
	otherAddress.Address = netip.MustParseAddrPort("127.0.0.2:9000")
	otherName := restartedTarget()
	otherName.Name = "other"
	draining := restartedTarget()
	draining.Draining = true
	tests := []struct {
		name     string
		entry    platform.Target // of the target that started
		released bool            // it answers the release
		grantTo  string          // the next owner of key 0
		least    time.Duration   // until that owner is granted the key
		most     time.Duration
	}{
		{name: "the same process gets the keys again", entry: restartedTarget(), grantTo: "t0", most: 100 * time.Millisecond},
		{name: "released", entry: draining, released: true, grantTo: "t1", most: 200 * time.Millisecond},
		{name: "not released", entry: draining, grantTo: "t1", least: testHold, most: testHold + time.Second},
		{name: "another address", entry: otherAddress, grantTo: "t1", most: 200 * time.Millisecond},
		{name: "another name at the address", entry: otherName, grantTo: "t1", most: 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tc := &testCoordinator{core: New(Options{HoldTime: testHold, LeaseTime: testLease}), now: time.Unix(1000, 0)}
			owned := &Document{Term: 4, Fence: 7, OwnersFenced: true, Services: map[string][]Range{
				"stock": {{KeyRange: platform.KeyRange{Last: keyCount - 1}, Owner: IncarnationOf(target(0)), Fence: 7}},
			}}
			tc.core.Begin(tc.now, TakeOver(owned), true)
			tc.setTargets(2)
			tc.advance(testHold + time.Second)
			c.Assert(tc.answerOrders(GrantKeys, 0, OrderDone), qt.Equals, 1)
			granted := tc.now
			targets := []platform.Target{target(1), test.entry}
			if test.entry.Address != target(0).Address { // the owner keeps no place for its earlier start
				targets[1].Draining = true
			}
			tc.core.SetTargets(tc.now, "stock", targets)
			ended := tc.core.UpdateLiveness(tc.now, targets)
			c.Assert(ended, qt.HasLen, 1)
			c.Check(tc.owner(0), qt.Equals, "")
			tc.planAndCommit(t)
			for tc.now.Sub(granted) < time.Minute {
				for _, o := range tc.core.Orders(tc.now) {
					if o.Kind == GrantKeys && o.Span.First == 0 && !o.To.SameAs(IncarnationOf(target(0))) {
						c.Check(o.To.Name, qt.Equals, test.grantTo)
						took := tc.now.Sub(granted)
						c.Check(took >= test.least && took <= test.most, qt.IsTrue, qt.Commentf("%s", took))
						return
					}
					result := OrderUnanswered
					if o.Kind == ReleaseKeys && test.released {
						result = OrderDone
					}
					tc.core.RecordResult(tc.now, o, result, "token")
				}
				tc.advance(50 * time.Millisecond)
			}
			c.Fatal("no target was granted the key")
		})
	}
}

// TestRestartedTargetsForgetTokens guards against two owners while an earlier coordinator runs: a former owner that may have
// started again accepts its grants, although the earlier start refused them.
func TestRestartedTargetsForgetTokens(t *testing.T) {
	tests := []struct {
		name    string
		restart func(tc *testCoordinator)
		stopped bool // the earlier coordinator stops then
		least   time.Duration
	}{
		{name: "orders fail", restart: func(tc *testCoordinator) { tc.answerOrders(ReleaseKeys, 0, OrderNotSent) }, least: testLease},
		{name: "the entry shows the restart", restart: func(tc *testCoordinator) {
			tc.core.UpdateLiveness(tc.now, []platform.Target{restartedTarget(), target(1), target(2)})
		}, least: testLease},
		{name: "orders fail, earlier coordinator stopped", restart: func(tc *testCoordinator) { tc.answerOrders(ReleaseKeys, 0, OrderNotSent) }, stopped: true, least: testHold},
		{name: "no restart", restart: func(*testCoordinator) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tc := afterTakeover()
			qt.Assert(t, tc.answerOrders(GrantKeys, 0, OrderDone), qt.Equals, 1)
			leaving := []platform.Target{target(0), target(1), target(2)}
			leaving[0].Draining = true
			tc.core.SetTargets(tc.now, "stock", leaving)
			tc.planAndCommit(t)
			test.restart(tc)
			if test.stopped {
				tc.core.PredecessorsStopped(tc.now)
			}
			tc.advance(orderRetryDelay)
			qt.Assert(t, tc.answerOrders(ReleaseKeys, 0, OrderDone) > 0, qt.IsTrue)
			got := tc.timeToNewGrant()
			qt.Check(t, got+orderRetryDelay >= test.least && got < test.least+testHold+time.Second, qt.IsTrue, qt.Commentf("%s", got))
		})
	}
}

// TestFormerOwnerThatRestartsIsNotGrantedItsKeysAgain guards against two owners after a restart that the present coordinator
// cannot notice: the keys of the target have moved, and an earlier coordinator, which does not know of its successor and has not
// reached the target since, grants them to the restarted process, which remembers no tokens.
func TestFormerOwnerThatRestartsIsNotGrantedItsKeysAgain(t *testing.T) {
	for seed := range uint64(4) {
		s := newSimulation(seed)
		earlier, present := s.processes[0], s.processes[1]
		s.takeOver(earlier)
		for range 30 {
			s.run(200 * time.Millisecond)
			s.report(earlier)
			s.confirmLease(earlier)
		}
		restarting := s.targets[0]
		earlier.storeUnavailable, earlier.partitionedFrom[restarting], restarting.refusesConnections = true, true, true
		s.run(time.Second)
		earlier.name = "unreachable" // the request to stop does not arrive
		s.takeOver(present)
		earlier.name = "p0"
		s.run(100 * time.Millisecond)
		restarting.draining = true
		s.run(1500 * time.Millisecond)
		restarting.up, restarting.holds = false, map[uint16]fakeHolding{}
		s.restartInPlace(restarting)
		s.run(600 * time.Millisecond)
		delete(earlier.partitionedFrom, restarting)
		for range 20 {
			s.run(200 * time.Millisecond)
			s.confirmLease(present)
		}
		qt.Assert(t, s.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
}

// TestSuccessorsDoNotTrustForgottenTokens guards against two owners after a second takeover: what a document says of fenced owners
// must not outlast a restart while an earlier coordinator runs.
func TestSuccessorsDoNotTrustForgottenTokens(t *testing.T) {
	// grantedAfter returns the time since began at which a target other than the first one is granted keys, while all
	// targets answer.
	grantedAfter := func(tc *testCoordinator, began time.Time) time.Duration {
		for tc.now.Sub(began) < time.Minute {
			for _, o := range tc.core.Orders(tc.now) {
				if o.Kind == GrantKeys && o.To.Name != target(0).Name {
					return tc.now.Sub(began)
				}
				tc.core.RecordResult(tc.now, o, OrderDone, "token")
			}
			tc.advance(50 * time.Millisecond)
		}
		return time.Minute
	}
	leaving := []platform.Target{target(0), target(1), target(2)}
	leaving[0].Draining = true
	t.Run("former owner", func(t *testing.T) {
		tc := newFencedCoordinator(t)
		began := tc.now
		tc.core.SetTargets(tc.now, "stock", leaving)
		qt.Assert(t, tc.planAndCommit(t).Services["stock"][0].FormerOwners[0].Fenced, qt.IsTrue)
		tc.advance(orderRetryDelay)
		tc.answerOrders(ReleaseKeys, 0, OrderNotSent)
		d := tc.planAndCommit(t)
		qt.Assert(t, d.Services["stock"][0].FormerOwners[0].Fenced, qt.IsFalse)
		tc.core.Begin(tc.now, TakeOver(d), false)
		tc.core.SetTargets(tc.now, "stock", leaving)
		got := grantedAfter(tc, began)
		qt.Check(t, got >= testLease, qt.IsTrue, qt.Commentf("%s", got))
	})
	t.Run("owner", func(t *testing.T) {
		tc := newFencedCoordinator(t)
		began := tc.now
		for range 30 {
			tc.advance(orderRetryDelay)
			tc.answerOrders(GrantKeys, 0, OrderNotSent)
		}
		tc.markUnresponsive(IncarnationOf(target(0)))
		d := tc.planAndCommit(t)
		qt.Check(t, d.OwnersFenced, qt.IsFalse)
		tc.core.Begin(tc.now, TakeOver(d), d.OwnersFenced)
		tc.core.SetTargets(tc.now, "stock", leaving)
		got := grantedAfter(tc, began)
		qt.Check(t, got >= testLease, qt.IsTrue, qt.Commentf("%s", got))
	})
}

// TestMoveBackWaitsForTheRelease checks that keys that move back to the same start of a target are granted only after the
// release of the move before has been answered: a release is never refused, and would end the new grant.
func TestMoveBackWaitsForTheRelease(t *testing.T) {
	tc := newFencedCoordinator(t)
	tc.core.PredecessorsStopped(tc.now)
	tc.planAndCommit(t)
	move := func(to int) {
		tc.core.proposed = tc.core.propose(tc.now, []Move{{Service: "stock", Span: platform.KeyRange{Last: keyCount - 1}, To: IncarnationOf(target(to))}})
		tc.core.ConfirmWrite(tc.now)
	}
	move(1)
	qt.Assert(t, tc.core.Orders(tc.now), qt.HasLen, 1) // a release that is not answered yet
	tc.advance(time.Second)
	move(0)
	for _, o := range tc.core.Orders(tc.now) {
		qt.Check(t, o.Kind, qt.Equals, ReleaseKeys)
	}
}
