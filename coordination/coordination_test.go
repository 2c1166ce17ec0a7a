package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/directory"
	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
	"github.com/redwingtally/redwingtally/ratelimit"
)

const waitTimeout = 20 * time.Second

// testHost is a running Member with its server and feed.
type testHost struct {
	*Member
	cancel  context.CancelFunc
	server  *http.Server
	feed    *feed.Feed
	crashes chan quarantine.Crash // added to the next reports
	// storeAddress is the address of the store that the host uses.
	storeAddress netip.AddrPort
	store        atomic.Pointer[platform.Client]
}

// startHost starts a host that uses the given store and reports a load of two
// requests per second.
func startHost(t *testing.T, name string, store netip.AddrPort, change ...func(*Options)) *testHost {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	h := &testHost{feed: feed.New(), crashes: make(chan quarantine.Crash, 10), storeAddress: store}
	h.reachStore()
	options := Options{
		Host: name, Process: name + "/1", Address: netip.MustParseAddrPort(ln.Addr().String()),
		Store: h.store.Load, TargetClient: platform.NewTargetClient(nil), Log: slog.New(slog.DiscardHandler),
		Submit: func(f func()) error { go f(); return nil },
		CollectReport: func() Report {
			r := Report{Rates: map[string]float64{"stock": 2}}
			select {
			case c := <-h.crashes:
				r.Crashed = append(r.Crashed, c)
			default:
			}
			return r
		},
		Targets: func() Targets { return Targets{} }, StateUpdated: func() {}, Random: func() float64 { return 0.5 },
		Feed: h.feed, ObjectsChanged: func([]platform.Object) {},
		RateLimits: ratelimit.NewTable(), RateLimitsChanged: func([]ratelimit.Limit) {},
		Notices: directory.NewNotices(), NoticesAdded: func([]directory.Notice) {},
		StoreUnreachable: func() bool { return false }, SetStoreUnavailable: func(bool) {},
	}
	for _, f := range change {
		f(&options)
	}
	h.Member = New(options)
	mux := http.NewServeMux()
	mux.Handle(h.Handler())
	mux.Handle(h.YieldHandler())
	mux.Handle(h.PermitsHandler())
	mux.Handle(h.NewestHandler())
	h.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = h.server.Serve(ln) }() // returns when stop closes the server
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	t.Cleanup(h.stop)
	go h.Run(ctx)
	return h
}

// reachStore makes the host use its store, as in the beginning.
func (h *testHost) reachStore() { h.store.Store(platform.NewClient(h.storeAddress)) }

// cutOffFromHosts makes the store and the other hosts unreachable to the host. It cannot be undone for calls of other hosts.
func (h *testHost) cutOffFromHosts(t *testing.T) {
	h.store.Store(platform.NewClient(ports.Free(t)))
	_ = h.server.Close()
}

func (h *testHost) stop() {
	h.cancel()
	_ = h.server.Close()
}

// waitFor polls a condition and fails the test if it does not hold within waitTimeout.
func waitFor(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond) // the condition depends on other goroutines
	}
	t.Fatalf("%s: condition not met within %s", condition, waitTimeout)
}

// leaders returns the hosts that coordinate.
func leaders(hosts []*testHost) []*testHost {
	var out []*testHost
	for _, h := range hosts {
		if h.Leading() {
			out = append(out, h)
		}
	}
	return out
}

// startHosts starts a store and n hosts, and waits until one host coordinates and
// all have received the number of hosts.
func startHosts(t *testing.T, n int, change ...func(*Options)) []*testHost {
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{Era: 1})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	hosts := make([]*testHost, 0, n)
	for i := range n {
		hosts = append(hosts, startHost(t, fmt.Sprint("h", i), p.Address(), change...))
	}
	waitFor(t, "one coordinator, known to all hosts", func() bool {
		for _, h := range hosts {
			if h.State().Hosts != n {
				return false
			}
		}
		return len(leaders(hosts)) == 1
	})
	return hosts
}

// Another host takes over when the coordinator is killed or resigns, and all
// remaining hosts follow it.
func TestAnotherHostTakesOverFromTheCoordinator(t *testing.T) {
	tests := []struct {
		name string
		end  func(h *testHost)
	}{
		{"killed", (*testHost).stop},
		{"resigns", func(h *testHost) { h.Resign(context.Background()); h.cancel() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			hosts := startHosts(t, 4)
			old := leaders(hosts)[0]
			term := old.State().Version.Term
			test.end(old)
			waitFor(t, "another host coordinates", func() bool {
				l := leaders(hosts)
				return len(l) == 1 && l[0] != old && l[0].State().Version.Term > term
			})
			waitFor(t, "all hosts follow it", func() bool {
				for _, h := range hosts {
					if h != old && h.State().Version.Term <= term {
						return false
					}
				}
				return true
			})
			c.Check(old.State().Version.Term, qt.Equals, term)
		})
	}
}

// A process that a later term has asked to stop does not start an earlier term,
// even if its takeover was already in progress.
func TestYieldedTermDoesNotStart(t *testing.T) {
	tests := []struct {
		name  string
		asked func(m *Member)
		want  bool
	}{
		{"never asked", func(*Member) {}, true},
		{"asked for this term", func(m *Member) { m.yieldTo(2) }, true},
		{"asked for a later term", func(m *Member) { m.yieldTo(3) }, false},
		{"resigned", func(m *Member) { m.Resign(context.Background()) }, false},
		{"asked what it knows in a later era", func(m *Member) { m.newest(platform.FirstEra + 1) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := startHosts(t, 1)[0].Member
			m.suspendCandidacy(time.Hour)
			m.currentLeader().resign()
			waitFor(t, "resigned", func() bool { return !m.Leading() })
			test.asked(m)
			c.Check(m.setLeader(&leader{}, 2), qt.Equals, test.want)
			c.Check(m.Leading(), qt.Equals, test.want)
			m.setLeader(nil, 99) // the empty leader would panic if it were ended
		})
	}
}

// A host that has resigned does not take over again, even when it is the only one.
func TestResignedHostDoesNotTakeOverAgain(t *testing.T) {
	c := qt.New(t)
	hosts := startHosts(t, 2)
	old := leaders(hosts)[0]
	old.Resign(context.Background())
	waitFor(t, "the other host coordinates", func() bool {
		l := leaders(hosts)
		return len(l) == 1 && l[0] != old
	})
	term := leaders(hosts)[0].State().Version.Term
	waitFor(t, "the resigned host follows", func() bool { return old.State().Version.Term == term })
	c.Check(old.Leading(), qt.IsFalse)

	alone := startHosts(t, 1)[0]
	alone.Resign(context.Background())
	for range 60 {
		time.Sleep(10 * time.Millisecond) // in total several times the duration of a takeover
		c.Assert(alone.Leading(), qt.IsFalse)
	}
}

// A coordinator that is stopped while the store does not answer renews the keys until
// the store answers or its time to stop is over. On incident inc-cb60 of grbc-gateway the keys
// ran out three seconds after the coordinator's planned stop, and 900 requests were refused.
func TestCoordinatorResignsOnlyIfTheStoreAnswers(t *testing.T) {
	tests := []struct {
		name    string
		recover bool
	}{{"store recovers", true}, {"time to stop ends", false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{Era: 1})
			c.Assert(err, qt.IsNil)
			t.Cleanup(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				_ = p.Stop(ctx)
			})
			h := startHost(t, "h0", p.Address())
			waitFor(t, "the host coordinates", h.Leading)
			p.SetFaults(standin.PlatformFaults{Unavailable: true})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			resigned := make(chan struct{})
			go func() { h.Resign(ctx); close(resigned) }()
			time.Sleep(3 * resignRetryInterval) // several attempts, in which a host that resigned would have ended
			c.Check(h.Leading(), qt.IsTrue)
			if test.recover {
				p.SetFaults(standin.PlatformFaults{})
			} else {
				cancel()
			}
			<-resigned
			waitFor(t, "the host no longer coordinates", func() bool { return !h.Leading() })
		})
	}
}

// A small host that coordinates hands over to a larger one, and does not take over again
// while that one runs. On large fleets most hosts are small, and their links cannot carry
// the replies to all hosts.
func TestSmallHostHandsOver(t *testing.T) {
	c := qt.New(t)
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{Era: 1})
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	small := func(o *Options) { o.TakeoverDelay = 50 * time.Millisecond }
	hosts := append(make([]*testHost, 0, 3), startHost(t, "small-0", p.Address(), small))
	waitFor(t, "the small host coordinates", hosts[0].Leading)
	hosts = append(hosts, startHost(t, "small-1", p.Address(), small), startHost(t, "large", p.Address()))
	waitFor(t, "the large host coordinates alone", func() bool { return len(leaders(hosts)) == 1 && hosts[2].Leading() })
	waitFor(t, "all hosts follow it", func() bool {
		for _, h := range hosts {
			if h.State().Hosts != len(hosts) || h.State().Coordinator != "large/1" {
				return false
			}
		}
		return true
	})
	for range 50 {
		time.Sleep(10 * time.Millisecond) // in total several times the duration of a takeover
		c.Assert(hosts[2].Leading(), qt.IsTrue)
	}
}

// When a coordinator resigns, the hosts find its successor with reads that may lag: at full
// price each other host reads the document once at most.
func TestFollowersFindASuccessorCheaply(t *testing.T) {
	const followers = 12
	c := qt.New(t)
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{Era: 1})
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	hosts := append(make([]*testHost, 0, followers+2), startHost(t, "large-0", p.Address()))
	waitFor(t, "the first host coordinates", hosts[0].Leading)
	hosts = append(hosts, startHost(t, "large-1", p.Address()))
	for i := range followers {
		hosts = append(hosts, startHost(t, fmt.Sprint("small-", i), p.Address(), func(o *Options) { o.TakeoverDelay = 400 * time.Millisecond }))
	}
	waitFor(t, "all hosts report", func() bool { return hosts[0].State().Hosts == len(hosts) })
	before := p.Counts().Reads
	hosts[0].Resign(context.Background())
	hosts[0].stop()
	waitFor(t, "all hosts follow the successor", func() bool {
		for _, h := range hosts[1:] {
			if h.State().Coordinator != "large-1/1" {
				return false
			}
		}
		return true
	})
	reads := p.Counts().Reads - before
	c.Check(reads <= followers+4, qt.IsTrue, qt.Commentf("%d reads", reads))
}

// Load, crashed targets and objects of the store that one host reports reach all hosts.
func TestReportsReachAllHosts(t *testing.T) {
	hosts := startHosts(t, 4)
	waitFor(t, "load", func() bool { return hosts[0].State().Rates["stock"] == 8 })
	hosts[1].crashes <- quarantine.Crash{Fingerprint: 7, Incarnation: "a"}
	hosts[2].crashes <- quarantine.Crash{Fingerprint: 7, Incarnation: "b"}
	leader := leaders(hosts)[0]
	leader.feed.Replace("config", []platform.Object{{Kind: "config", Name: "main", Version: 9, Value: []byte("1")}}, 9)
	leader.ReportNow()
	for _, h := range hosts {
		waitFor(t, "fingerprint refused", func() bool { return len(h.State().RejectedFingerprints) == 1 })
		waitFor(t, "object", func() bool { return h.feed.Versions()["config"] == 9 })
	}
}

// A limited number of hosts watch the store. Another host watches in addition for
// one that cannot reach the store, and low-priority candidates are selected last.
func TestWatcherSelection(t *testing.T) {
	c := qt.New(t)
	l := &leader{process: "c", hosts: map[string]*hostReport{}}
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, name := range names {
		l.hosts[name] = &hostReport{}
	}
	watching := func() string {
		out := ""
		for _, name := range names {
			if l.shouldWatch(names, name) {
				out += name
			}
		}
		return out
	}
	c.Check(watching(), qt.Equals, "abde")
	l.hosts["a"].storeUnreachable = true
	c.Check(watching(), qt.Equals, "abdef")
	l.hosts["a"].storeUnreachable = false
	l.hosts["a"].lowPriority, l.hosts["b"].lowPriority = true, true
	c.Check(watching(), qt.Equals, "defg", qt.Commentf("low-priority candidates are selected last"))
	l.hosts["e"].lowPriority, l.hosts["f"].lowPriority = true, true
	c.Check(watching(), qt.Equals, "adgh", qt.Commentf("low-priority candidates fill the remaining places"))
}

// When a random third of the hosts, including the coordinator, cannot reach the
// store, some watcher still reaches it in at least 99% of cases.
func TestSomeWatcherReachesTheStore(t *testing.T) {
	for _, hosts := range []int{8, 10, 64, 82} {
		names := make([]string, 0, hosts)
		l := &leader{process: "host-0", hosts: map[string]*hostReport{}}
		for i := range hosts {
			names = append(names, fmt.Sprint("host-", i))
			l.hosts[names[i]] = &hostReport{}
		}
		random := rand.New(rand.NewPCG(1, 2))
		const outages = 1000
		uncovered := 0
		for range outages {
			cutOff := map[string]bool{"host-0": true}
			for len(cutOff) < (hosts+2)/3 {
				cutOff[names[random.IntN(hosts)]] = true
			}
			reached := false
			for _, name := range names {
				reached = reached || l.shouldWatch(names, name) && !cutOff[name]
			}
			if !reached {
				uncovered++
			}
		}
		// With two extra watchers, 41 to 123 of 1000 outages left no watcher that reached the store.
		qt.Check(t, uncovered <= outages/100, qt.IsTrue, qt.Commentf("%d hosts: no watcher reached the store in %d of %d outages", hosts, uncovered, outages))
	}
}

// A report carries whether the host is a low-priority candidate.
func TestReportsCarryLowPriority(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second} {
		m := New(Options{
			Log: slog.New(slog.DiscardHandler), TakeoverDelay: delay, Feed: feed.New(),
			CollectReport: func() Report { return Report{} },
		})
		qt.Check(t, m.ownReport(0).LowPriority, qt.Equals, delay > 0)
	}
}

// The store counts as unavailable only if no host that watches it reaches it.
func TestStoreUnavailableOnlyIfNoWatcherReachesIt(t *testing.T) {
	tests := []struct {
		name  string
		own   bool
		other hostReport
		want  bool
	}{
		{"reached by all", false, hostReport{watching: true}, false},
		{"unreachable only for the coordinator", true, hostReport{watching: true}, false},
		{"unreachable only for a watcher", false, hostReport{watching: true, storeUnreachable: true}, false},
		{"unreachable for all", true, hostReport{watching: true, storeUnreachable: true}, true},
		{"no other watcher", true, hostReport{}, true},
	}
	for _, test := range tests {
		l := &leader{process: "c", hosts: map[string]*hostReport{"a": &test.other, "c": {}}, member: &Member{options: Options{StoreUnreachable: func() bool { return test.own }, RateLimits: ratelimit.NewTable()}}}
		qt.Check(t, l.storeUnavailable([]string{"a", "c"}), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// Grants to one target share a batch; every release has its own.
func TestGrantsAreBatchedByTarget(t *testing.T) {
	c := qt.New(t)
	order := func(kind ownership.OrderKind, target string, first uint16) ownership.Order {
		return ownership.Order{Kind: kind, To: ownership.Incarnation{Name: target}, Span: platform.KeyRange{First: first}}
	}
	got := batchOrders([]ownership.Order{
		order(ownership.GrantKeys, "a", 0), order(ownership.GrantKeys, "b", 1), order(ownership.ReleaseKeys, "a", 2),
		order(ownership.GrantKeys, "a", 3), order(ownership.ReleaseKeys, "a", 4),
	})
	spans := make([][]uint16, 0, len(got))
	for _, batch := range got {
		firsts := make([]uint16, 0, len(batch))
		for _, o := range batch {
			firsts = append(firsts, o.Span.First)
		}
		spans = append(spans, firsts)
	}
	c.Check(spans, qt.DeepEquals, [][]uint16{{0, 3}, {1}, {2}, {4}})
}

func TestVersionsAreOrderedByTermFirst(t *testing.T) {
	tests := []struct {
		a, b  Version
		after bool
	}{
		{Version{2, 1}, Version{1, 9}, true},
		{Version{1, 9}, Version{2, 1}, false},
		{Version{1, 2}, Version{1, 1}, true},
		{Version{1, 1}, Version{1, 1}, false},
	}
	for _, test := range tests {
		qt.Check(t, test.a.After(test.b), qt.Equals, test.after)
	}
}
