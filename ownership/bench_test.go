package ownership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkStep is what a coordinator does many times a second while owners
// answer their first grants: 111 targets with 444 ranges, and 2,000 keys that have requests.
func BenchmarkStep(b *testing.B) {
	const targetCount, ranges, keys = 111, 444, 2000
	random := rand.New(rand.NewPCG(1, 2))
	d := TakeOver(nil)
	for i := range ranges {
		r := Range{Owner: LifeOf(target(i % targetCount)), Fence: 1}
		r.First, r.Last = uint16(i*allKeys/ranges), uint16((i+1)*allKeys/ranges-1)
		d.Services["stock"] = append(d.Services["stock"], r)
	}
	k := &coordinator{core: New(Options{Hold: testHold, Lease: testLease}), now: time.Unix(1000, 0)}
	k.core.Begin(k.now, d, true)
	k.targets(targetCount)
	counts := map[uint16]int{}
	for range keys {
		counts[uint16(random.IntN(allKeys))]++
	}
	k.core.Report(k.now, "stock", Report{Keys: counts, Work: 100 * time.Millisecond})
	for b.Loop() {
		k.now = k.now.Add(time.Millisecond)
		if d, _ := k.core.Plan(k.now); d != nil {
			k.core.Written(k.now)
		}
		for _, o := range k.core.Orders(k.now) {
			k.core.Ordered(k.now, o, OrderDone, "token")
		}
		k.core.View("stock")
	}
}
