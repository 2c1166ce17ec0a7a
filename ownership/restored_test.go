package ownership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// Terms and tokens of a later era are above those of earlier ones, also when a copy is from before several restores.
func TestTermsAndTokensGrowWithTheEra(t *testing.T) {
	c := qt.New(t)
	first := &Document{Term: 3, Fence: 900, Era: 1, Services: map[string][]Range{}}
	second := TakeOver(AfterRestore(first, 2))
	c.Check(second.Term > first.Term && second.Fence > first.Fence, qt.IsTrue)
	used := second.clone()
	used.Term, used.Fence = used.Term+50, used.Fence+5000
	again := TakeOver(AfterRestore(first, 3)) // the copy is from before the first restore
	c.Check(again.Term > used.Term && again.Fence > used.Fence, qt.IsTrue)
	lost := TakeOver(AfterRestore(nil, 4))
	c.Check(lost.Term > again.Term && lost.Fence > again.Fence, qt.IsTrue)
	c.Check(lost.Incomplete, qt.IsTrue)
}

// incomplete returns a coordinator that has taken over from a copy in which the first target owns all keys.
func incomplete() *testCoordinator {
	tc := &testCoordinator{core: New(Options{HoldTime: testHold, LeaseTime: testLease}), now: time.Unix(1000, 0)}
	old := &Document{Term: 4, Fence: 7, OwnersFenced: true, Era: 1, Services: map[string][]Range{
		"stock": {{KeyRange: platform.KeyRange{Last: keyCount - 1}, Owner: IncarnationOf(target(0)), Fence: 7}},
	}}
	tc.core.Begin(tc.now, TakeOver(AfterRestore(old, 2)), true)
	tc.setTargets(3)
	return tc
}

// timeToGrant returns the time until the first grant is due, at most a minute.
func (tc *testCoordinator) timeToGrant() time.Duration {
	began := tc.now
	for tc.now.Sub(began) < time.Minute {
		tc.core.Plan(tc.now)
		tc.core.ConfirmWrite(tc.now)
		if len(tc.core.Orders(tc.now)) > 0 {
			return tc.now.Sub(began)
		}
		tc.advance(50 * time.Millisecond)
	}
	return time.Minute
}

// Nothing is granted from an incomplete document while targets may hold keys that it does not list, and it stays
// marked as incomplete until then.
func TestIncompleteDocumentGrantsNothing(t *testing.T) {
	tests := []struct {
		name        string
		before      func(c *Core, now time.Time)
		least, most time.Duration
	}{
		{"earlier coordinators may run", func(*Core, time.Time) {}, testHold + testLease, testHold + testLease + time.Second},
		{"they have stopped", func(c *Core, now time.Time) { c.UnknownCoordinatorsStopped(now, false) }, testHold, testHold + time.Second},
		{"the document is the newest", func(c *Core, now time.Time) { c.UnknownCoordinatorsStopped(now, true) }, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			tc := incomplete()
			test.before(tc.core, tc.now)
			c.Check(tc.core.Document().Incomplete, qt.IsTrue)
			took := tc.timeToGrant()
			c.Check(took >= test.least && took <= test.most, qt.IsTrue, qt.Commentf("%s", took))
			c.Check(tc.core.Document().Incomplete, qt.IsFalse)
		})
	}
}

// A change that is being written when the store comes back from a copy is written with the term and the tokens of the new era,
// and so are later ones.
func TestPendingChangeIsRaisedAfterARestore(t *testing.T) {
	c := qt.New(t)
	tc := newTestCoordinator()
	var d *Document
	for range 40 {
		tc.advance(100 * time.Millisecond)
		tc.core.Report(tc.now, "stock", Report{Keys: map[uint16]int{100: 4, 200: 4}, ProcessingTime: 100 * time.Millisecond})
		if d, _ = tc.core.Plan(tc.now); d != nil {
			break
		}
	}
	c.Assert(d, qt.IsNotNil)
	c.Check(tc.core.Restored(2), qt.IsNil)
	c.Check(tc.core.Restored(2), qt.IsNil)
	raised := tc.core.Proposed()
	c.Check(raised.Term > 1<<eraBits-1 && raised.Fence > 1<<eraBits-1, qt.IsTrue)
	moved := 0
	for _, r := range raised.Services["stock"] {
		if r.Fence == raised.Fence {
			moved++
		}
	}
	c.Check(moved > 0, qt.IsTrue)
	tc.core.ConfirmWrite(tc.now)
	c.Check(tc.core.Document(), qt.Equals, raised)
	c.Check(tc.core.Restored(2), qt.IsNil)
	again := tc.core.Restored(3)
	c.Assert(again, qt.IsNotNil)
	c.Check(again.Fence > raised.Fence, qt.IsTrue)
}
