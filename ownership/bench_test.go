package ownership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkStep measures one step of a coordinator, which runs many times a second
// while owners answer their first grants: 111 targets with 444 ranges, and 2,000
// keys with requests.
func BenchmarkStep(b *testing.B) {
	const targetCount, ranges, keys = 111, 444, 2000
	random := rand.New(rand.NewPCG(1, 2))
	d := TakeOver(nil)
	for i := range ranges {
		r := Range{Owner: IncarnationOf(target(i % targetCount)), Fence: 1}
		r.First, r.Last = uint16(i*keyCount/ranges), uint16((i+1)*keyCount/ranges-1)
		d.Services["stock"] = append(d.Services["stock"], r)
	}
	tc := &testCoordinator{core: New(Options{HoldTime: testHold, LeaseTime: testLease}), now: time.Unix(1000, 0)}
	tc.core.Begin(tc.now, d, true)
	tc.setTargets(targetCount)
	counts := map[uint16]int{}
	for range keys {
		counts[uint16(random.IntN(keyCount))]++
	}
	tc.core.Report(tc.now, "stock", Report{Keys: counts, ProcessingTime: 100 * time.Millisecond})
	for b.Loop() {
		tc.now = tc.now.Add(time.Millisecond)
		if d, _ := tc.core.Plan(tc.now); d != nil {
			tc.core.ConfirmWrite(tc.now)
		}
		for _, o := range tc.core.Orders(tc.now) {
			tc.core.RecordResult(tc.now, o, OrderDone, "token")
		}
		tc.core.Holdings("stock")
	}
}
