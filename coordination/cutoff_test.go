package coordination

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
)

// cutHost is a host that can be cut off from the targets.
type cutHost struct {
	*testHost
	lost *atomic.Bool
}

// cut cuts the host off, or ends that, and reports it.
func (h *cutHost) cut(lost bool) {
	h.lost.Store(lost)
	h.ReportNow()
}

// cutFleet is a store with hosts that can be cut off. All hosts are relays of each other.
type cutFleet struct {
	platform *standin.Platform
	hosts    []*cutHost
}

// startCutFleet starts a store and n hosts, of which the first coordinates.
func startCutFleet(t *testing.T, n int, change ...func(i int, o *Options)) *cutFleet {
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{Era: 1})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	f := &cutFleet{platform: p}
	for i := range n {
		f.add(t, change...)
		if i == 0 {
			waitFor(t, "the first host coordinates", f.hosts[0].Leading)
		}
	}
	waitFor(t, "all hosts know all others as relays", func() bool {
		for _, h := range f.hosts {
			if len(h.State().Relays) != n-1 || h.State().Hosts != n {
				return false
			}
		}
		return true
	})
	return f
}

// add starts another host.
func (f *cutFleet) add(t *testing.T, change ...func(i int, o *Options)) *cutHost {
	lost, i := &atomic.Bool{}, len(f.hosts)
	h := startHost(t, fmt.Sprint("h", i), f.platform.Address(), func(o *Options) {
		o.RelayAddress, o.DataCentre = o.Address, "x"
		o.CutOff, o.AcceptsRelayed = lost.Load, func() bool { return !lost.Load() }
		for _, c := range change {
			c(i, o)
		}
	})
	f.hosts = append(f.hosts, &cutHost{h, lost})
	return f.hosts[i]
}

// leaders returns the indices of the hosts that coordinate.
func (f *cutFleet) leaders() []int {
	var out []int
	for i, h := range f.hosts {
		if h.Leading() {
			out = append(out, i)
		}
	}
	return out
}

// waitForLeader waits until one host coordinates alone and all that run follow it, and returns how long this took until it
// coordinated.
func (f *cutFleet) waitForLeader(t *testing.T, what string, is func(i int) bool) time.Duration {
	t.Helper()
	start := time.Now()
	waitFor(t, what, func() bool {
		l := f.leaders()
		return len(l) == 1 && is(l[0])
	})
	took := time.Since(start)
	waitFor(t, what+", and all follow", func() bool {
		l := f.leaders()
		if len(l) != 1 || !is(l[0]) {
			return false
		}
		for _, h := range f.hosts {
			if h.State().Coordinator != f.hosts[l[0]].options.Process {
				return false
			}
		}
		return true
	})
	return took
}

// staysLeader checks that a host coordinates alone for a time.
func (f *cutFleet) staysLeader(t *testing.T, i int, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) { // a takeover may begin at any moment
		qt.Assert(t, f.leaders(), qt.DeepEquals, []int{i})
	}
}

// giveWayTime bounds how long it takes until another host coordinates for a cut-off one, with a margin for a busy machine.
const giveWayTime = 2 * time.Second

// A coordinator that has lost the targets gives way to a host that reaches them, and takes over again only as any other.
func TestCutOffCoordinatorGivesWay(t *testing.T) {
	c := qt.New(t)
	f := startCutFleet(t, 4)
	f.hosts[0].cut(true)
	took := f.waitForLeader(t, "another host coordinates", func(i int) bool { return i != 0 })
	t.Logf("another host coordinated after %s", took)
	c.Check(took < giveWayTime, qt.IsTrue, qt.Commentf("took %s", took))
	next := f.leaders()[0]
	f.staysLeader(t, next, time.Second)
	f.hosts[0].cut(false)
	f.staysLeader(t, next, 500*time.Millisecond)
	for i, h := range f.hosts {
		if i != 0 {
			h.cut(true)
		}
	}
	f.waitForLeader(t, "the first host coordinates again", func(i int) bool { return i == 0 })
}

// A coordinator that is cut off in the first second of its term, or from its start, gives way as soon as a host that
// reaches the targets reports.
func TestCoordinatorGivesWayInTheFirstSecond(t *testing.T) {
	c := qt.New(t)
	f := startCutFleet(t, 1, func(_ int, o *Options) { o.CutOff, o.AcceptsRelayed = func() bool { return true }, nil })
	f.add(t)
	took := f.waitForLeader(t, "the other host coordinates", func(i int) bool { return i == 1 })
	c.Check(took < giveWayTime, qt.IsTrue, qt.Commentf("took %s", took))
	f.staysLeader(t, 1, 500*time.Millisecond)
}

// A coordinator that has lost the targets goes on while no other host reaches them, or the store does not answer.
func TestCutOffCoordinatorGoesOnWithoutASuccessor(t *testing.T) {
	tests := []struct {
		name   string
		before func(f *cutFleet)
		after  func(f *cutFleet) // lets another host take over
	}{
		{"all hosts are cut off", func(f *cutFleet) { f.hosts[1].cut(true); f.hosts[2].cut(true) }, func(f *cutFleet) { f.hosts[2].cut(false) }},
		{"store is down", func(f *cutFleet) { f.platform.SetFaults(standin.PlatformFaults{Unavailable: true}) }, func(f *cutFleet) { f.platform.SetFaults(standin.PlatformFaults{}) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := startCutFleet(t, 3)
			test.before(f)
			waitFor(t, "reported", func() bool {
				l := f.hosts[0].currentLeader()
				l.mu.Lock()
				defer l.mu.Unlock()
				for i, h := range f.hosts {
					if r := l.hosts[h.options.Process]; i > 0 && r.cutOff != h.lost.Load() {
						return false
					}
				}
				return true
			})
			f.hosts[0].cut(true)
			f.staysLeader(t, 0, 1500*time.Millisecond)
			// Reports and views go on.
			view := f.hosts[1].State().Version
			l := f.hosts[0].currentLeader()
			l.mu.Lock()
			l.rejectedCount++
			l.crashes.Reject(now(), 7)
			l.mu.Unlock()
			waitFor(t, "a new view", func() bool { return f.hosts[1].State().Version.After(view) })
			test.after(f)
			took := f.waitForLeader(t, "another host coordinates", func(i int) bool { return i != 0 })
			t.Logf("another host coordinated after %s", took)
			c.Check(took < giveWayTime, qt.IsTrue, qt.Commentf("took %s", took))
		})
	}
}

// Of the hosts that remain after the loss of the coordinator one that reaches the targets takes over, though it waits for
// others because it is small. If all are cut off one of them coordinates, until one reaches the targets again.
func TestCutOffHostsLeaveTheTakeoverToOthers(t *testing.T) {
	for _, end := range []func(*cutHost){func(h *cutHost) { h.stop() }, func(h *cutHost) { h.Resign(context.Background()); h.stop() }} {
		c := qt.New(t)
		f := startCutFleet(t, 5, func(i int, o *Options) {
			if i == 4 {
				o.TakeoverDelay = 150 * time.Millisecond
			}
		})
		for _, i := range []int{1, 2, 3} {
			f.hosts[i].cut(true)
		}
		waitFor(t, "relays are known", func() bool {
			return !slices.ContainsFunc(f.hosts[1:4], func(h *cutHost) bool { return len(h.State().Relays) != 2 })
		})
		end(f.hosts[0])
		f.hosts = f.hosts[1:]
		f.waitForLeader(t, "the small host coordinates", func(i int) bool { return i == 3 })
		f.staysLeader(t, 3, 500*time.Millisecond)

		f.hosts[3].lost.Store(true)
		end(f.hosts[3])
		f.hosts = f.hosts[:3]
		took := f.waitForLeader(t, "a cut-off host coordinates", func(int) bool { return true })
		t.Logf("a cut-off host coordinated after %s", took)
		leader := f.leaders()[0]
		f.staysLeader(t, leader, time.Second)
		back := (leader + 1) % 3
		f.hosts[back].cut(false)
		took = f.waitForLeader(t, "the host that reaches the targets coordinates", func(i int) bool { return i == back })
		t.Logf("a host that reached the targets again coordinated after %s", took)
		c.Check(took < giveWayTime, qt.IsTrue, qt.Commentf("took %s", took))
	}
}

// A small host does not hand over to a larger one that is cut off.
func TestSmallHostDoesNotHandOverToACutOffHost(t *testing.T) {
	f := startCutFleet(t, 1, func(_ int, o *Options) { o.TakeoverDelay = 50 * time.Millisecond })
	large := f.add(t, func(_ int, o *Options) { o.CutOff = func() bool { return true }; o.AcceptsRelayed = nil })
	waitFor(t, "the large host follows", func() bool { return large.State().Coordinator == "h0/1" })
	f.staysLeader(t, 0, handOverDelay+500*time.Millisecond)
}
