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

// metricSums fetches the metrics of daemon i and sums each over its labels.
func (s *system) metricSums(i int) map[string]float64 {
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

// BenchmarkControlAtRest measures the cost of control traffic for a daemon and the
// store while no requests are sent, for several numbers of daemons.
func BenchmarkControlAtRest(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			s := newSystem(b, n)
			for k := range 4 {
				t, err := standin.StartTarget(ports.Free(b), standin.TargetOptions{Name: "t", ChecksGrants: k == 0})
				qt.Assert(b, err, qt.IsNil)
				b.Cleanup(func() { shutDown(t.Stop) })
				name := fmt.Sprintf("service-%d", k)
				division := unkeyed
				if k == 0 {
					division = keyedChecked
				}
				s.apply(serviceRecord(name, division, []netip.AddrPort{t.Address()}) + policyRecord(name))
			}
			for i := range n {
				s.startDaemonProcess(i)
			}
			s.awaitMembership()
			time.Sleep(2 * time.Second) // start-up traffic ends
			s.reportControlCost(b, n, 10*time.Second)
		})
	}
}

// BenchmarkPropagation measures the time from a change of a record until it is in
// force on every daemon, for several numbers of daemons.
func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			s := newSystem(b, n)
			t, err := standin.StartTarget(ports.Free(b), standin.TargetOptions{Name: "t"})
			qt.Assert(b, err, qt.IsNil)
			b.Cleanup(func() { shutDown(t.Stop) })
			s.apply(serviceRecord("desk", unkeyed, []netip.AddrPort{t.Address()}) + policyRecord("desk"))
			for i := range n {
				s.startDaemonProcess(i)
			}
			s.awaitMembership()
			latencies := make([]time.Duration, 0, b.N)
			for range b.N {
				r, err := s.operator.Get(context.Background(), "service", "desk", 0)
				qt.Assert(b, err, qt.IsNil)
				r.Spec = []byte(string(r.Spec[:len(r.Spec)-1]) + fmt.Sprintf(`,"note_%d":1}`, len(latencies)))
				results, err := s.operator.Apply(context.Background(), []record.Record{r})
				qt.Assert(b, err, qt.IsNil)
				start := time.Now()
				eventually(b, "the change is in force on every daemon", func() bool {
					for i := range n {
						if st, ok := s.daemonStatus(i); !ok || st.RecordsVersion < uint64(results[0].Version) {
							return false
						}
					}
					return true
				})
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "median_ms")
			b.ReportMetric(float64(latencies[len(latencies)-1].Milliseconds()), "worst_ms")
		})
	}
}

// awaitMembership waits until every daemon reports all daemons as alive.
func (s *system) awaitMembership() {
	eventually(s.tb, "every daemon reports all daemons as alive", func() bool {
		for i := range s.settings {
			if st, ok := s.daemonStatus(i); !ok || len(st.AliveHosts) != len(s.settings) {
				return false
			}
		}
		return true
	})
}

// reportControlCost reports the cost of control traffic over d, as the mean per
// daemon and for the store.
func (s *system) reportControlCost(b *testing.B, n int, d time.Duration) {
	before := make([]map[string]float64, n)
	for i := range n {
		before[i] = s.metricSums(i)
	}
	callsBefore := s.platform.Counts()
	time.Sleep(d) // the measured interval
	var cpu, controlBytes, memory, heartbeats float64
	for i := range n {
		m := s.metricSums(i)
		cpu += m["process_cpu_seconds_total"] - before[i]["process_cpu_seconds_total"]
		controlBytes += m["redwingtally_control_bytes_total"] - before[i]["redwingtally_control_bytes_total"]
		heartbeats += m["redwingtally_control_heartbeats_total"] - before[i]["redwingtally_control_heartbeats_total"]
		memory += m["process_resident_memory_bytes"]
	}
	callsAfter := s.platform.Counts()
	daemonSeconds := float64(n) * d.Seconds()
	b.ReportMetric(100*cpu/daemonSeconds, "%core/daemon")
	b.ReportMetric(controlBytes/daemonSeconds/1000, "kB/s/daemon")
	b.ReportMetric(heartbeats/daemonSeconds, "beats/s/daemon")
	b.ReportMetric(memory/float64(n)/1e6, "MB/daemon")
	b.ReportMetric(float64(callsAfter.Reads-callsBefore.Reads)/d.Seconds(), "store_reads/s")
	b.ReportMetric(float64(callsAfter.Writes-callsBefore.Writes)/d.Seconds(), "store_writes/s")
	b.ReportMetric(float64(callsAfter.Watches-callsBefore.Watches)/d.Seconds(), "store_watches/s")
	b.ReportMetric(float64(callsAfter.HostLists-callsBefore.HostLists)/d.Seconds(), "store_hosts/s")
}
