package e2e

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/entry"
	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/service"
	"github.com/redwingtally/redwingtally/target"
)

// shardKeys returns a key for each of n shards.
func shardKeys(n int) []string {
	keys := make([]string, n)
	for i, found := 0, 0; found < n; i++ {
		k := "key-" + strconv.Itoa(i)
		if s := service.ShardOf(k, n); keys[s] == "" {
			keys[s] = k
			found++
		}
	}
	return keys
}

// availabilityProbe requests every key in a loop and records the longest time
// without a successful response for each.
type availabilityProbe struct {
	mu           sync.Mutex
	entries      []netip.AddrPort
	gaps         map[string]time.Duration
	lastResponse map[string]time.Time
	stop         chan struct{}
	closed       bool
	wg           sync.WaitGroup
}

func startAvailabilityProbe(entries []netip.AddrPort, keys []string) *availabilityProbe {
	p := &availabilityProbe{entries: entries, gaps: map[string]time.Duration{}, lastResponse: map[string]time.Time{}, stop: make(chan struct{})}
	for i, k := range keys {
		p.wg.Go(func() { p.run(i, k) })
	}
	return p
}

func (p *availabilityProbe) run(i int, key string) {
	for n := i; ; n++ {
		select {
		case <-p.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r, err := call(p.entries[n%len(p.entries)], "GET", "/stockroom/pages", 4*time.Second, [2]string{entry.KeyHeader, key})
		if err != nil || r.Status != 200 {
			continue
		}
		now := time.Now()
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		if last, ok := p.lastResponse[key]; ok {
			p.gaps[key] = max(p.gaps[key], now.Sub(last))
		}
		p.lastResponse[key] = now
		p.mu.Unlock()
	}
}

// end stops the probe. It returns the longest time without a response for the
// median key and for the worst key.
func (p *availabilityProbe) end() (median, worst time.Duration) {
	close(p.stop)
	p.mu.Lock()
	p.closed = true
	now := time.Now()
	for key, last := range p.lastResponse {
		p.gaps[key] = max(p.gaps[key], now.Sub(last))
	}
	p.mu.Unlock()
	p.wg.Wait()
	gaps := make([]time.Duration, 0, len(p.gaps))
	for _, g := range p.gaps {
		gaps = append(gaps, g)
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2], gaps[len(gaps)-1]
}

// keyedSystem is a system with one service that is divided by key among six
// targets. All daemons and targets are separate processes.
type keyedSystem struct {
	*system
	daemons      []*process
	addresses    []netip.AddrPort
	targets      []*process
	holder       int // index of the holder in daemons, or -1
	checksGrants bool
}

func newKeyedSystem(tb testing.TB, daemons int, checksGrants bool) *keyedSystem {
	s := &keyedSystem{system: newSystem(tb, daemons), checksGrants: checksGrants}
	division := keyedUnchecked
	if checksGrants {
		division = keyedChecked
	}
	for i := range 6 {
		s.addresses = append(s.addresses, ports.Free(tb))
		s.targets = append(s.targets, s.startTargetProcess(i))
	}
	s.apply(serviceRecord("stockroom", division, s.addresses) + policyRecord("stockroom"))
	for i := range daemons {
		s.daemons = append(s.daemons, s.startDaemonProcess(i))
	}
	s.awaitOwnership()
	return s
}

func (s *keyedSystem) startTargetProcess(i int) *process {
	args := []string{"target", "--name", fmt.Sprintf("stockroom-%d", i+1), "--address", s.addresses[i].String()}
	if s.checksGrants {
		args = append(args, "--checks-grants")
	}
	return startProcess(s.tb, "redwingtally-standin", args...)
}

// awaitOwnership waits until every target owns shards and votes for terms.
func (s *keyedSystem) awaitOwnership() {
	s.tb.Cleanup(func() {
		if s.tb.Failed() && s.holder >= 0 {
			st, _ := s.daemonStatus(s.holder)
			s.tb.Logf("holder %d reports %+v", s.holder, st)
		}
	})
	eventually(s.tb, "every target owns shards", func() bool {
		if s.holder = s.holderOf("stockroom"); s.holder < 0 {
			return false
		}
		st, _ := s.daemonStatus(s.holder)
		return len(st.Groups) > 0 && len(st.Groups[0].ShardsByTarget) == len(s.addresses) && st.Groups[0].Recorded && len(st.AliveHosts) == len(s.settings)
	})
	time.Sleep(1500 * time.Millisecond) // a restarted target votes only after this time
}

// otherEntries returns the entries of the daemons other than the holder.
func (s *keyedSystem) otherEntries() []netip.AddrPort {
	out := slices.Clone(s.entries)
	return slices.Delete(out, s.holder, s.holder+1)
}

// fault is a failure of processes or of the store, with its injection and its repair.
type fault struct {
	name   string
	inject func(s *keyedSystem)
	repair func(s *keyedSystem)
}

func setStoreDown(s *keyedSystem, down bool) {
	s.platform.SetFaults(standin.PlatformFaults{Unavailable: down})
}

func killTarget(s *keyedSystem)    { s.targets[0].kill() }
func restartTarget(s *keyedSystem) { s.targets[0] = s.startTargetProcess(0) }
func killHolder(s *keyedSystem)    { s.daemons[s.holder].kill() }
func restartHolder(s *keyedSystem) { s.daemons[s.holder] = s.startDaemonProcess(s.holder) }

var faults = []fault{
	{"server killed", killTarget, restartTarget},
	{"server frozen", func(s *keyedSystem) { s.targets[0].signal(syscall.SIGSTOP) }, func(s *keyedSystem) { s.targets[0].signal(syscall.SIGCONT) }},
	{"holder killed", killHolder, restartHolder},
	{"holder frozen", func(s *keyedSystem) { s.daemons[s.holder].signal(syscall.SIGSTOP) }, func(s *keyedSystem) { s.daemons[s.holder].signal(syscall.SIGCONT) }},
	{"holder and server killed", func(s *keyedSystem) { killHolder(s); killTarget(s) }, func(s *keyedSystem) { restartHolder(s); restartTarget(s) }},
	{"store down", func(s *keyedSystem) { setStoreDown(s, true) }, func(s *keyedSystem) { setStoreDown(s, false) }},
	{"store down, server killed", func(s *keyedSystem) { setStoreDown(s, true); killTarget(s) }, func(s *keyedSystem) { setStoreDown(s, false); restartTarget(s) }},
	{"store down, holder killed", func(s *keyedSystem) { setStoreDown(s, true); killHolder(s) }, func(s *keyedSystem) { setStoreDown(s, false); restartHolder(s) }},
	{"holder restarted", func(s *keyedSystem) { s.daemons[s.holder].signal(syscall.SIGTERM); <-s.daemons[s.holder].exited }, restartHolder},
}

// BenchmarkUnserved measures the time for which keys are unserved after each
// fault, for a service whose targets check grants and one whose targets do not.
func BenchmarkUnserved(b *testing.B) {
	for _, checks := range []bool{true, false} {
		for _, f := range faults {
			b.Run(fmt.Sprintf("checks=%v/%s", checks, f.name), func(b *testing.B) {
				s := newKeyedSystem(b, 4, checks)
				medians := make([]time.Duration, 0, b.N)
				worsts := make([]time.Duration, 0, b.N)
				for range b.N {
					s.awaitOwnership()
					p := startAvailabilityProbe(s.otherEntries(), shardKeys(32))
					time.Sleep(300 * time.Millisecond) // requests before the fault are served
					f.inject(s)
					time.Sleep(2500 * time.Millisecond) // the measured interval after the fault
					median, worst := p.end()
					medians = append(medians, median)
					worsts = append(worsts, worst)
					f.repair(s)
				}
				slices.Sort(medians)
				slices.Sort(worsts)
				b.ReportMetric(float64(medians[len(medians)/2].Milliseconds()), "median_key_ms")
				b.ReportMetric(float64(worsts[len(worsts)/2].Milliseconds()), "worst_key_median_ms")
				b.ReportMetric(float64(worsts[len(worsts)-1].Milliseconds()), "worst_key_worst_ms")
			})
		}
	}
}

// maxTerm is the highest possible term. No target rejects it as out of date.
const maxTerm = "18446744073709551615"

// TestResumedTargetRejectsLostShards pauses a target until its shards have other
// owners. After it resumes, it must reject direct requests for these shards, even
// with the highest term.
func TestResumedTargetRejectsLostShards(t *testing.T) {
	s := newKeyedSystem(t, 2, true)
	keys := shardKeys(32)
	s.targets[0].signal(syscall.SIGSTOP)
	eventually(t, "the other targets own all shards", func() bool {
		st, _ := s.daemonStatus(s.holder)
		return len(st.Groups) > 0 && st.Groups[0].UnownedShards == 0 && len(st.Groups[0].ShardsByTarget) == len(s.addresses)-1
	})
	s.targets[0].signal(syscall.SIGCONT)
	for shard := range keys {
		// Sent to the target itself, not through a daemon.
		r, err := call(s.addresses[0], "GET", "/pages", waitTimeout, [2]string{target.ShardHeader, strconv.Itoa(shard)}, [2]string{target.TermHeader, maxTerm})
		qt.Assert(t, err, qt.IsNil)
		if st, _ := s.daemonStatus(s.holder); len(st.Groups) > 0 && st.Groups[0].ShardsByTarget["stockroom-1"] == 0 {
			qt.Assert(t, r.Status, qt.Equals, 503)
		}
	}
}
