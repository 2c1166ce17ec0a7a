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

// probe asks for every key again and again and notes the longest time in which
// a key had no answer.
type probe struct {
	mu      sync.Mutex
	entries []netip.AddrPort
	gaps    map[string]time.Duration
	last    map[string]time.Time
	stop    chan struct{}
	over    bool
	wg      sync.WaitGroup
}

func startProbe(entries []netip.AddrPort, keys []string) *probe {
	p := &probe{entries: entries, gaps: map[string]time.Duration{}, last: map[string]time.Time{}, stop: make(chan struct{})}
	for i, k := range keys {
		p.wg.Go(func() { p.run(i, k) })
	}
	return p
}

func (p *probe) run(i int, key string) {
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
		if p.over {
			p.mu.Unlock()
			return
		}
		if last, ok := p.last[key]; ok {
			p.gaps[key] = max(p.gaps[key], now.Sub(last))
		}
		p.last[key] = now
		p.mu.Unlock()
	}
}

// end returns the longest times without an answer of the median key and the worst.
func (p *probe) end() (median, worst time.Duration) {
	close(p.stop)
	p.mu.Lock()
	p.over = true
	now := time.Now()
	for key, last := range p.last {
		p.gaps[key] = max(p.gaps[key], now.Sub(last))
	}
	p.mu.Unlock()
	p.wg.Wait()
	all := make([]time.Duration, 0, len(p.gaps))
	for _, g := range p.gaps {
		all = append(all, g)
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}

// divided is a system with a service of six targets, divided by key.
type divided struct {
	*system
	daemons   []*process
	addresses []netip.AddrPort
	targets   []*process
	holder    int
	checks    bool
}

func newDivided(tb testing.TB, daemons int, checks bool) *divided {
	d := &divided{system: newSystem(tb, daemons), checks: checks}
	division := unchecked
	if checks {
		division = checked
	}
	for i := range 6 {
		d.addresses = append(d.addresses, ports.Free(tb))
		d.targets = append(d.targets, d.startTarget(i))
	}
	d.apply(serviceRecord("stockroom", division, d.addresses) + policyRecord("stockroom"))
	for i := range daemons {
		d.daemons = append(d.daemons, d.daemonProcess(i))
	}
	d.settled()
	return d
}

func (d *divided) startTarget(i int) *process {
	args := []string{"target", "--name", fmt.Sprintf("stockroom-%d", i+1), "--address", d.addresses[i].String()}
	if d.checks {
		args = append(args, "--checks-grants")
	}
	return startProcess(d.tb, "redwingtally-standin", args...)
}

// settled waits until all servers own shards and may vote.
func (d *divided) settled() {
	d.tb.Cleanup(func() {
		if d.tb.Failed() && d.holder >= 0 {
			st, _ := d.status(d.holder)
			d.tb.Logf("holder %d reports %+v", d.holder, st)
		}
	})
	eventually(d.tb, "every target owns shards", func() bool {
		if d.holder = d.holderOf("stockroom"); d.holder < 0 {
			return false
		}
		st, _ := d.status(d.holder)
		return len(st.Groups) > 0 && len(st.Groups[0].ShardsByTarget) == len(d.addresses) && st.Groups[0].Recorded && len(st.AliveHosts) == len(d.settings)
	})
	time.Sleep(1500 * time.Millisecond) // restarted servers may vote after this
}

// others returns the entries of the daemons other than the holder.
func (d *divided) others() []netip.AddrPort {
	out := slices.Clone(d.entries)
	return slices.Delete(out, d.holder, d.holder+1)
}

// failure is a fault and its repair.
type failure struct {
	name  string
	fault func(d *divided)
	mend  func(d *divided)
}

func storeDown(d *divided, down bool) {
	d.platform.SetFaults(standin.PlatformFaults{Down: down})
}

func killServer(d *divided)    { d.targets[0].kill() }
func restartServer(d *divided) { d.targets[0] = d.startTarget(0) }
func killHolder(d *divided)    { d.daemons[d.holder].kill() }
func restartHolder(d *divided) { d.daemons[d.holder] = d.daemonProcess(d.holder) }

var failures = []failure{
	{"server killed", killServer, restartServer},
	{"server frozen", func(d *divided) { d.targets[0].signal(syscall.SIGSTOP) }, func(d *divided) { d.targets[0].signal(syscall.SIGCONT) }},
	{"holder killed", killHolder, restartHolder},
	{"holder frozen", func(d *divided) { d.daemons[d.holder].signal(syscall.SIGSTOP) }, func(d *divided) { d.daemons[d.holder].signal(syscall.SIGCONT) }},
	{"holder and server killed", func(d *divided) { killHolder(d); killServer(d) }, func(d *divided) { restartHolder(d); restartServer(d) }},
	{"store down", func(d *divided) { storeDown(d, true) }, func(d *divided) { storeDown(d, false) }},
	{"store down, server killed", func(d *divided) { storeDown(d, true); killServer(d) }, func(d *divided) { storeDown(d, false); restartServer(d) }},
	{"store down, holder killed", func(d *divided) { storeDown(d, true); killHolder(d) }, func(d *divided) { storeDown(d, false); restartHolder(d) }},
	{"holder restarted", func(d *divided) { d.daemons[d.holder].signal(syscall.SIGTERM); <-d.daemons[d.holder].done }, restartHolder},
}

// BenchmarkUnserved measures how long keys are without an answer around each
// failure, for a service whose targets check grants and one whose do not.
func BenchmarkUnserved(b *testing.B) {
	for _, checks := range []bool{true, false} {
		for _, f := range failures {
			b.Run(fmt.Sprintf("checks=%v/%s", checks, f.name), func(b *testing.B) {
				d := newDivided(b, 4, checks)
				medians := make([]time.Duration, 0, b.N)
				worsts := make([]time.Duration, 0, b.N)
				for range b.N {
					d.settled()
					p := startProbe(d.others(), shardKeys(32))
					time.Sleep(300 * time.Millisecond) // requests before the fault
					f.fault(d)
					time.Sleep(2500 * time.Millisecond) // the measured time after it
					median, worst := p.end()
					medians = append(medians, median)
					worsts = append(worsts, worst)
					f.mend(d)
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

// highestTerm is a term that no server refuses.
const highestTerm = "18446744073709551615"

func TestFrozenServerComesBackAndServesNothing(t *testing.T) {
	d := newDivided(t, 2, true)
	keys := shardKeys(32)
	d.targets[0].signal(syscall.SIGSTOP)
	eventually(t, "the others own all shards", func() bool {
		st, _ := d.status(d.holder)
		return len(st.Groups) > 0 && st.Groups[0].UnownedShards == 0 && len(st.Groups[0].ShardsByTarget) == len(d.addresses)-1
	})
	d.targets[0].signal(syscall.SIGCONT)
	for shard := range keys {
		// Past the router, the server itself must refuse what it owned before.
		r, err := call(d.addresses[0], "GET", "/pages", settleTime, [2]string{target.ShardHeader, strconv.Itoa(shard)}, [2]string{target.TermHeader, highestTerm})
		qt.Assert(t, err, qt.IsNil)
		if st, _ := d.status(d.holder); len(st.Groups) > 0 && st.Groups[0].ShardsByTarget["stockroom-1"] == 0 {
			qt.Assert(t, r.Status, qt.Equals, 503)
		}
	}
}
