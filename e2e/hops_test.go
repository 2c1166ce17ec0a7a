package e2e

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/lane"
)

// BenchmarkHops measures the latency that daemons add between a caller and a
// target that responds immediately: without a daemon, through the holder, and
// through another entry and the holder. Half load is 8 callers that pause between
// requests; full load is 32 callers that do not.
func BenchmarkHops(b *testing.B) {
	s := newSystem(b, 2)
	address := ports.Free(b)
	startProcess(b, "redwingtally-standin", "target", "--name", "t", "--address", address.String(), "--slots", "64")
	rec := strings.Replace(serviceRecord("desk", unkeyed, []netip.AddrPort{address}), "slots_per_target: 2", "slots_per_target: 64", 1)
	rec = strings.Replace(rec, "connections_per_target: 50", "connections_per_target: 100", 1)
	s.apply(rec + policyRecord("desk"))
	s.startDaemonProcess(0)
	s.startDaemonProcess(1)
	holder := s.awaitHolder("desk")
	time.Sleep(time.Second) // start-up traffic ends
	paths := []struct {
		name    string
		address netip.AddrPort
		path    string
	}{
		{"direct", address, "/pages"},
		{"holder", s.entries[holder], "/desk/pages"},
		{"entry_and_holder", s.entries[1-holder], "/desk/pages"},
	}
	for _, load := range []struct {
		name    string
		callers int
		pause   time.Duration
	}{{"half", 8, time.Millisecond}, {"full", 32, 0}} {
		for _, p := range paths {
			b.Run(fmt.Sprintf("%s/%s", load.name, p.name), func(b *testing.B) {
				before := s.cpuSeconds()
				latencies, rate := sendLoad(b, p.address, p.path, load.callers, load.pause, 4*time.Second)
				cpu := s.cpuSeconds() - before
				slices.Sort(latencies)
				b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50_us")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99_us")
				b.ReportMetric(rate, "requests/s")
				b.ReportMetric(cpu*1e6/float64(len(latencies)), "daemon_cpu_us/request")
			})
		}
	}
}

// cpuSeconds returns the total CPU time of all daemons in seconds.
func (s *system) cpuSeconds() float64 {
	var sum float64
	for i := range s.settings {
		sum += s.metricSums(i)["process_cpu_seconds_total"]
	}
	return sum
}

// sendLoad sends requests from several callers for d. Each caller pauses between
// requests. It returns the latencies and the rate in requests per second.
func sendLoad(b *testing.B, address netip.AddrPort, path string, callers int, pause, d time.Duration) ([]time.Duration, float64) {
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for range callers {
		wg.Go(func() {
			p := lane.NewPool(address, 1)
			defer p.Close()
			var own []time.Duration
			for time.Now().Before(end) {
				start := time.Now()
				r, err := p.RoundTrip(context.Background(), lane.Request{Method: "GET", Path: path})
				if err != nil || r.Status != 200 {
					b.Errorf("request failed with status %d: %v", r.Status, err)
					return
				}
				own = append(own, time.Since(start))
				if pause > 0 {
					time.Sleep(pause)
				}
			}
			mu.Lock()
			latencies = append(latencies, own...)
			mu.Unlock()
		})
	}
	wg.Wait()
	qt.Assert(b, len(latencies) > 0, qt.IsTrue)
	return latencies, float64(len(latencies)) / d.Seconds()
}
