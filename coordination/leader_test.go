package coordination

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// An earlier coordinator may still send orders unless the last one had fenced all
// owners and has resigned or had this process's address.
func TestPredecessorsStopped(t *testing.T) {
	own, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	tests := []struct {
		name string
		old  *ownership.Document
		want bool
	}{
		{"no predecessor", nil, true},
		{"resigned", &ownership.Document{OwnersFenced: true, Address: other}, true},
		{"had this address", &ownership.Document{OwnersFenced: true, Coordinator: "x", Address: own}, true},
		{"may be running", &ownership.Document{OwnersFenced: true, Coordinator: "x", Address: other}, false},
		{"resigned, an earlier one may be running", &ownership.Document{Address: other}, false},
		{"had this address, an earlier one may be running", &ownership.Document{Coordinator: "x", Address: own}, false},
	}
	for _, test := range tests {
		qt.Check(t, predecessorsStopped(test.old, own), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// The result of an order follows from the status of the target's answer, or from a
// refused connection.
func TestOrderResults(t *testing.T) {
	status := func(code int) func(t *testing.T) netip.AddrPort {
		return func(t *testing.T) netip.AddrPort {
			address, _ := startCountingServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }))
			return address
		}
	}
	tests := []struct {
		name    string
		address func(t *testing.T) netip.AddrPort
		want    ownership.OrderResult
	}{
		{"done", status(http.StatusOK), ownership.OrderDone},
		{"higher token seen", status(http.StatusConflict), ownership.OrderFenced},
		{"another target", status(http.StatusMisdirectedRequest), ownership.OrderTargetReplaced},
		{"failure", status(http.StatusInternalServerError), ownership.OrderUnanswered},
		{"no listener", func(t *testing.T) netip.AddrPort { return ports.Free(t) }, ownership.OrderNotSent},
	}
	for _, test := range tests {
		for _, kind := range []ownership.OrderKind{ownership.GrantKeys, ownership.ReleaseKeys} {
			o := ownership.Order{Kind: kind, To: ownership.Incarnation{Name: "a", Address: test.address(t)}, Fence: 1, HoldTime: HoldTime}
			got, _ := newTestLeader().sendOrder(context.Background(), o)
			qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s, %s", test.name, kind))
		}
	}
}

// A coordinator whose lease has expired rejects reports.
func TestSyncNeedsALease(t *testing.T) {
	c := qt.New(t)
	l := newTestLeader()
	l.member.options.Feed = startHosts(t, 1)[0].feed
	l.member.options.StoreUnreachable = func() bool { return false }
	_, err := l.sync(context.Background(), &Report{})
	c.Check(err, qt.IsNil)
	l.confirmedAt = now().Add(-LeaseTime)
	_, err = l.sync(context.Background(), &Report{})
	c.Check(err, qt.ErrorIs, ErrNotCoordinator)
}

// A coordinator whose lease has expired, and which the store confirms again, goes on with the reports of its own host: without
// them a lone host kept the state of the outage for the rest of its life.
func TestOwnReportsGoOnAfterTheLeaseExpired(t *testing.T) {
	for _, n := range []int{1, 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			var rate atomic.Int64
			var unavailable, unreachable atomic.Bool
			hosts := startHosts(t, n, func(o *Options) {
				o.CollectReport = func() Report { return Report{Rates: map[string]float64{"stock": float64(rate.Load())}} }
				o.StoreUnreachable, o.SetStoreUnavailable = unreachable.Load, unavailable.Store
			})
			earlier := leaders(hosts)[0]
			unreachable.Store(true)
			for _, h := range hosts {
				h.store.Store(platform.NewClient(ports.Free(t)))
			}
			waitFor(t, "the store is known to be unavailable", unavailable.Load)
			l := earlier.currentLeader()
			l.mu.Lock()
			l.confirmedAt = now().Add(-LeaseTime)
			l.notifyLocked()
			l.mu.Unlock()
			time.Sleep(maxReportWait) // several reports of the coordinator's own host get no reply
			c.Assert(earlier.currentLeader(), qt.Equals, l)
			c.Check(earlier.StateAge() >= maxReportWait/2, qt.IsTrue, qt.Commentf("%s", earlier.StateAge()))
			rate.Store(7)
			unreachable.Store(false)
			for _, h := range hosts {
				h.reachStore()
			}
			waitFor(t, "replies reach all hosts", func() bool {
				for _, h := range hosts {
					if h.State().Rates["stock"] != float64(7*n) {
						return false
					}
				}
				return !unavailable.Load()
			})
			waitFor(t, "sound state", func() bool { return earlier.StateAge() < maxReportWait })
		})
	}
}

// attachStore connects a leader to a new store that holds a document written by it.
func attachStore(t *testing.T, l *leader) *platform.Client {
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{Era: 1})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	client := platform.NewClient(p.Address())
	l.process, l.member.options.Process, l.member.options.Store = "own", "own", func() *platform.Client { return client }
	l.member.options.Submit = func(f func()) error { go f(); return nil }
	obj, err := l.member.writeDocument(context.Background(), &ownership.Document{Coordinator: "own", Term: 1}, 0)
	qt.Assert(t, err, qt.IsNil)
	l.version = obj.Version
	return client
}

// putDocument replaces the document in the store unconditionally.
func putDocument(t *testing.T, client *platform.Client, d *ownership.Document) {
	value, err := json.Marshal(d)
	qt.Assert(t, err, qt.IsNil)
	_, err = client.Put(context.Background(), documentKind, documentName, value, platform.Unconditional())
	qt.Assert(t, err, qt.IsNil)
}

// A write conflict ends the coordination unless it was caused by an earlier
// attempt of this process to write the same change.
func TestWriteConflictEndsTheCoordination(t *testing.T) {
	change := &ownership.Document{Coordinator: "own", Term: 1, Fence: 5}
	tests := []struct {
		name  string
		found *ownership.Document
		ended bool
	}{
		{"no conflict", nil, false},
		{"an earlier attempt to write the same change", change, false},
		{"another process", &ownership.Document{Coordinator: "other", Term: 2}, true},
		{"another process with the same token", &ownership.Document{Coordinator: "other", Term: 1, Fence: 5}, true},
		{"a later term", &ownership.Document{Coordinator: "own", Term: 2, Fence: 5}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newTestLeader()
			client := attachStore(t, l)
			if test.found != nil {
				putDocument(t, client, test.found)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			l.writeChange(ctx, change)
			qt.Check(t, ctx.Err(), qt.IsNil)
			qt.Check(t, l.ended, qt.Equals, test.ended)
		})
	}
}

// A coordinator that finds another one named in the store ends the coordination.
func TestConfirmationDetectsASuccessor(t *testing.T) {
	l := newTestLeader()
	client := attachStore(t, l)
	putDocument(t, client, &ownership.Document{Coordinator: "other", Term: 2})
	l.confirmedAt = now().Add(-confirmInterval)
	ctx, cancel := context.WithTimeout(context.Background(), 3*confirmInterval)
	defer cancel()
	l.confirmLoop(ctx)
	qt.Check(t, ctx.Err(), qt.IsNil)
	qt.Check(t, l.ended, qt.IsTrue)
}

// stockTargets returns n targets of a service divided by key, on whose addresses
// no process listens.
func stockTargets(n int) []platform.Target {
	out := make([]platform.Target, 0, n)
	for i := range n {
		out = append(out, platform.Target{
			Name: fmt.Sprint("t", i), Service: "stock", Slots: 2, StartedAt: time.Unix(int64(i+1), 0),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		})
	}
	return out
}

// A coordinator that most targets do not answer resigns. It removes itself from
// the document only if no write of the document has an unknown outcome.
func TestIsolatedCoordinatorResigns(t *testing.T) {
	for _, proposed := range []bool{false, true} {
		c := qt.New(t)
		l := newTestLeader()
		client := attachStore(t, l)
		l.member.options.Targets = func() Targets { return Targets{} }
		at := now().Add(-5 * time.Second)
		l.core.SetTargets(at, "stock", stockTargets(4))
		at = at.Add(2 * time.Second)
		d, _ := l.core.Plan(at)
		c.Assert(d, qt.IsNotNil)
		if !proposed {
			l.core.ConfirmWrite(at)
		}
		for _, o := range l.core.Orders(at) {
			l.core.RecordResult(at, o, ownership.OrderUnanswered, "")
		}
		if proposed { // no orders are due then; record one unanswered order to each target
			for _, target := range stockTargets(4) {
				l.core.RecordResult(at, ownership.Order{To: ownership.IncarnationOf(target)}, ownership.OrderUnanswered, "")
			}
		}
		l.step(context.Background())
		c.Check(l.member.candidacySuspended(), qt.IsTrue)
		waitFor(t, "ended", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.ended })
		if proposed {
			time.Sleep(50 * time.Millisecond) // longer than the write of the document takes
		}
		waitFor(t, "coordinator removed from the document, or kept if a write is pending", func() bool {
			have, err := client.Get(context.Background(), documentKind, documentName)
			c.Assert(err, qt.IsNil)
			d, err := decodeDocument(have)
			c.Assert(err, qt.IsNil)
			return (d.Coordinator == "") != proposed
		})
	}
}

// When a fleet restarts, hosts divide the targets' capacity by the number of hosts
// before the restart: the coordinator for hostCountGrace, the others until a
// coordinator replies.
func TestHostCountAfterARestart(t *testing.T) {
	c := qt.New(t)
	l := newTestLeader()
	l.expectedHosts, l.startedAt = 90, now()
	l.hosts["a"] = &hostReport{receivedAt: now()}
	c.Check(l.hostCount(now()), qt.Equals, 90)
	l.startedAt = now().Add(-hostCountGrace)
	c.Check(l.hostCount(now()), qt.Equals, 1)

	m := New(Options{Log: slog.New(slog.DiscardHandler), StateUpdated: func() {}})
	m.assumeHosts(&ownership.Document{HostCount: 90})
	c.Check(m.State().Hosts, qt.Equals, 90)
	m.state.Store(&State{Coordinator: "x", Hosts: 3})
	m.assumeHosts(&ownership.Document{HostCount: 90})
	c.Check(m.State().Hosts, qt.Equals, 3, qt.Commentf("a coordinator has replied"))
}
