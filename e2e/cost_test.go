package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/operator"
	"github.com/redwingtally/redwingtally/record"
)

// metrics reads the sums of a daemon's metrics by name.
func (s *system) metrics(i int) map[string]float64 {
	data, err := operator.ReadDaemon(context.Background(), s.settings[i].ControlAddress, "/metrics")
	qt.Assert(s.tb, err, qt.IsNil)
	out := map[string]float64{}
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		line := lines.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, value, _ := strings.Cut(line, " ")
		name, _, _ = strings.Cut(name, "{")
		v, _ := strconv.ParseFloat(value, 64)
		out[name] += v
	}
	return out
}

// BenchmarkControlAtRest measures what control costs a daemon and the store
// while no requests come, for several numbers of daemons.
func BenchmarkControlAtRest(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			s := newSystem(b, n)
			for k := range 4 {
				t, err := standin.StartTarget(ports.Free(b), standin.TargetOptions{Name: "t", ChecksGrants: k == 0})
				qt.Assert(b, err, qt.IsNil)
				b.Cleanup(func() { stop(t.Stop) })
				name := fmt.Sprintf("service-%d", k)
				division := undivided
				if k == 0 {
					division = checked
				}
				s.apply(serviceRecord(name, division, []netip.AddrPort{t.Address()}) + policyRecord(name))
			}
			for i := range n {
				s.daemonProcess(i)
			}
			s.awaitAll()
			time.Sleep(2 * time.Second) // lets the traffic of the start end
			s.measure(b, n, 10*time.Second)
		})
	}
}

// BenchmarkPropagation measures how long a change takes until it is in force on
// every daemon, for several numbers of daemons.
func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			s := newSystem(b, n)
			t, err := standin.StartTarget(ports.Free(b), standin.TargetOptions{Name: "t"})
			qt.Assert(b, err, qt.IsNil)
			b.Cleanup(func() { stop(t.Stop) })
			s.apply(serviceRecord("desk", undivided, []netip.AddrPort{t.Address()}) + policyRecord("desk"))
			for i := range n {
				s.daemonProcess(i)
			}
			s.awaitAll()
			all := make([]time.Duration, 0, b.N)
			for range b.N {
				r, err := s.op.Get(context.Background(), "service", "desk", 0)
				qt.Assert(b, err, qt.IsNil)
				r.Spec = []byte(string(r.Spec[:len(r.Spec)-1]) + fmt.Sprintf(`,"note_%d":1}`, len(all)))
				results, err := s.op.Apply(context.Background(), []record.Record{r})
				qt.Assert(b, err, qt.IsNil)
				began := time.Now()
				eventually(b, "the change is in force everywhere", func() bool {
					for i := range n {
						if st, ok := s.status(i); !ok || st.RecordsVersion < uint64(results[0].Version) {
							return false
						}
					}
					return true
				})
				all = append(all, time.Since(began))
			}
			slices.Sort(all)
			b.ReportMetric(float64(all[len(all)/2].Milliseconds()), "median_ms")
			b.ReportMetric(float64(all[len(all)-1].Milliseconds()), "worst_ms")
		})
	}
}

// awaitAll waits until every daemon knows every other.
func (s *system) awaitAll() {
	eventually(s.tb, "all daemons know each other", func() bool {
		for i := range s.settings {
			if st, ok := s.status(i); !ok || len(st.AliveHosts) != len(s.settings) {
				return false
			}
		}
		return true
	})
}

// measure reports the cost for each daemon over a time.
func (s *system) measure(b *testing.B, n int, d time.Duration) {
	before := make([]map[string]float64, n)
	for i := range n {
		before[i] = s.metrics(i)
	}
	calls := s.platform.Counts()
	time.Sleep(d) // the measured time
	var cpu, in, memory, beats float64
	for i := range n {
		m := s.metrics(i)
		cpu += m["process_cpu_seconds_total"] - before[i]["process_cpu_seconds_total"]
		in += m["redwingtally_control_bytes_total"] - before[i]["redwingtally_control_bytes_total"]
		beats += m["redwingtally_control_heartbeats_total"] - before[i]["redwingtally_control_heartbeats_total"]
		memory += m["process_resident_memory_bytes"]
	}
	after := s.platform.Counts()
	per := float64(n) * d.Seconds()
	b.ReportMetric(100*cpu/per, "%core/daemon")
	b.ReportMetric(in/per/1000, "kB/s/daemon")
	b.ReportMetric(beats/per, "beats/s/daemon")
	b.ReportMetric(memory/float64(n)/1e6, "MB/daemon")
	b.ReportMetric(float64(after.Reads-calls.Reads)/d.Seconds(), "store_reads/s")
	b.ReportMetric(float64(after.Writes-calls.Writes)/d.Seconds(), "store_writes/s")
	b.ReportMetric(float64(after.Watches-calls.Watches)/d.Seconds(), "store_watches/s")
	b.ReportMetric(float64(after.Hosts-calls.Hosts)/d.Seconds(), "store_hosts/s")
}
