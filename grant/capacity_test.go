package grant

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkRound measures one round of a holder, with all orders and replies, and
// the JSON size of an order and its reply, for several group sizes.
func BenchmarkRound(b *testing.B) {
	for _, servers := range []int{4, 16, 64} {
		for _, shards := range []int{64, 512, 4096} {
			b.Run(fmt.Sprintf("servers=%d/shards=%d", servers, shards), func(b *testing.B) {
				names := make([]string, servers)
				voters := make([]*Voter, servers)
				want := make([]string, shards)
				for i := range names {
					names[i] = fmt.Sprintf("s%d", i)
					voters[i] = NewVoter(uint64(i + 1))
				}
				for i := range want {
					want[i] = names[i%servers]
				}
				h := New(Config{Group: "g", Servers: names, Epoch: 1, ChecksGrants: true, Shards: shards, Timing: DefaultTiming(), Incarnation: 1})
				now := time.Unix(1000, 0)
				startedAt := now.Add(-time.Hour)
				h.Campaign(now)
				h.SetAssignment(want)
				bytes := 0
				round := func(countBytes bool) {
					out := h.Tick(now)
					for i, o := range out.Orders {
						a := voters[i].Handle(now.Sub(startedAt), o.Order)
						h.ServerAck(now, o.Server, a)
						if countBytes {
							x, _ := json.Marshal(o.Order)
							y, _ := json.Marshal(a)
							bytes += len(x) + len(y)
						}
					}
					now = now.Add(DefaultTiming().Tick)
				}
				for range 40 {
					round(false)
				}
				round(true)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					round(false)
				}
				b.ReportMetric(float64(bytes)/float64(servers), "bytes/server/round")
				if o, ok := h.Owner(now, 0); !ok || o.Server != "s0" {
					b.Fatal("shard 0 has no owner")
				}
			})
		}
	}
}
