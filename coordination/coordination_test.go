package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/feed"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
)

const settleTime = 20 * time.Second

// host is a Member with its server, which a test can end.
type host struct {
	*Member
	cancel context.CancelFunc
	server *http.Server
	feed   *feed.Feed
	crash  chan quarantine.Crash
}

func startHost(t *testing.T, name string, store netip.AddrPort) *host {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	client := platform.NewClient(store)
	h := &host{feed: feed.New(), crash: make(chan quarantine.Crash, 10)}
	h.Member = New(Options{
		Host: name, Process: name + "/1", Address: netip.MustParseAddrPort(ln.Addr().String()),
		Store: func() *platform.Client { return client }, Orders: platform.NewOrders(), Log: slog.New(slog.DiscardHandler),
		Submit: func(f func()) error { go f(); return nil },
		Collect: func() Report {
			r := Report{Rates: map[string]float64{"stock": 2}}
			select {
			case c := <-h.crash:
				r.Crashed = append(r.Crashed, c)
			default:
			}
			return r
		},
		Targets: func() Targets { return Targets{} }, Updated: func() {}, Random: func() float64 { return 0.5 },
		Feed: h.feed, Changed: func([]platform.Object) {},
		StoreAway: func() bool { return false }, SetStoreAway: func(bool) {},
	})
	mux := http.NewServeMux()
	mux.Handle(h.Handler())
	mux.Handle(h.YieldHandler())
	h.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = h.server.Serve(ln) }() // ends with stop
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	t.Cleanup(h.stop)
	go h.Run(ctx)
	return h
}

func (h *host) stop() {
	h.cancel()
	_ = h.server.Close()
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(settleTime); time.Now().Before(end); {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond) // polls a condition of other goroutines
	}
	t.Fatalf("%s: not within %s", what, settleTime)
}

func leaders(hosts []*host) []*host {
	var out []*host
	for _, h := range hosts {
		if h.Leading() {
			out = append(out, h)
		}
	}
	return out
}

func startHosts(t *testing.T, n int) []*host {
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	hosts := make([]*host, 0, n)
	for i := range n {
		hosts = append(hosts, startHost(t, fmt.Sprint("h", i), p.Address()))
	}
	eventually(t, "all know all", func() bool {
		for _, h := range hosts {
			if h.State().Hosts != n {
				return false
			}
		}
		return len(leaders(hosts)) == 1
	})
	return hosts
}

func TestAnotherHostTakesOver(t *testing.T) {
	tests := []struct {
		name string
		end  func(h *host)
	}{
		{"killed", (*host).stop},
		{"resigns", func(h *host) { h.Resign(); h.cancel() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			hosts := startHosts(t, 4)
			old := leaders(hosts)[0]
			term := old.State().Version.Term
			test.end(old)
			eventually(t, "another coordinates", func() bool {
				l := leaders(hosts)
				return len(l) == 1 && l[0] != old && l[0].State().Version.Term > term
			})
			eventually(t, "all follow", func() bool {
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

// A process that was asked to stop for a later term does not begin an earlier
// one, even when its takeover was under way.
func TestNoTermBeginsAfterALaterOne(t *testing.T) {
	tests := []struct {
		name   string
		yields uint64
		want   bool
	}{
		{"never asked", 0, true},
		{"asked for this term", 2, true},
		{"asked for a later term", 3, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := startHosts(t, 1)[0].Member
			m.Resign()
			eventually(t, "resigned", func() bool { return !m.Leading() })
			m.yield(test.yields)
			c.Check(m.setLeader(&leader{}, 2), qt.Equals, test.want)
			c.Check(m.Leading(), qt.Equals, test.want)
			m.setLeader(nil, 99) // nothing is left to end
		})
	}
}

// A host that resigned does not take over again while it ends.
func TestResignedHostStaysAside(t *testing.T) {
	c := qt.New(t)
	hosts := startHosts(t, 2)
	old := leaders(hosts)[0]
	old.Resign()
	eventually(t, "the other one coordinates", func() bool {
		l := leaders(hosts)
		return len(l) == 1 && l[0] != old
	})
	term := leaders(hosts)[0].State().Version.Term
	eventually(t, "it follows", func() bool { return old.State().Version.Term == term })
	c.Check(old.Leading(), qt.IsFalse)

	alone := startHosts(t, 1)[0]
	alone.Resign()
	for range 60 {
		time.Sleep(10 * time.Millisecond) // several times what a takeover takes
		c.Assert(alone.Leading(), qt.IsFalse)
	}
}

// What one host learns reaches the others: load, crashed targets, and the store's objects.
func TestNewsReachesAllHosts(t *testing.T) {
	hosts := startHosts(t, 4)
	eventually(t, "load", func() bool { return hosts[0].State().Rates["stock"] == 8 })
	hosts[1].crash <- quarantine.Crash{Fingerprint: 7, Incarnation: "a"}
	hosts[2].crash <- quarantine.Crash{Fingerprint: 7, Incarnation: "b"}
	leader := leaders(hosts)[0]
	leader.feed.Replace("config", []platform.Object{{Kind: "config", Name: "main", Version: 9, Value: []byte("1")}}, 9)
	leader.News()
	for _, h := range hosts {
		eventually(t, "refused request", func() bool { return len(h.State().Refused) == 1 })
		eventually(t, "object", func() bool { return h.feed.Versions()["config"] == 9 })
	}
}

// Few hosts watch the store, and one that loses it is replaced.
func TestFewHostsWatch(t *testing.T) {
	c := qt.New(t)
	l := &leader{process: "c", hosts: map[string]*reporter{}}
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, name := range names {
		l.hosts[name] = &reporter{}
	}
	watching := func() string {
		out := ""
		for _, name := range names {
			if l.watches(names, name) {
				out += name
			}
		}
		return out
	}
	c.Check(watching(), qt.Equals, "abde")
	l.hosts["a"].storeLost = true
	c.Check(watching(), qt.Equals, "abdef")
	l.hosts["a"].storeLost = false
	l.hosts["a"].reluctant, l.hosts["b"].reluctant = true, true
	c.Check(watching(), qt.Equals, "defg", qt.Commentf("small hosts come last"))
	l.hosts["e"].reluctant, l.hosts["f"].reluctant = true, true
	c.Check(watching(), qt.Equals, "adgh", qt.Commentf("small hosts fill up"))
}

// However the store turns away a third of the hosts and the coordinator, some host that watches reaches it.
func TestSomeWatcherReachesTheStore(t *testing.T) {
	for _, hosts := range []int{8, 10, 64, 82} {
		names := make([]string, 0, hosts)
		l := &leader{process: "host-0", hosts: map[string]*reporter{}}
		for i := range hosts {
			names = append(names, fmt.Sprint("host-", i))
			l.hosts[names[i]] = &reporter{}
		}
		random := rand.New(rand.NewPCG(1, 2))
		const days = 1000
		missed := 0
		for range days {
			away := map[string]bool{"host-0": true}
			for len(away) < (hosts+2)/3 {
				away[names[random.IntN(hosts)]] = true
			}
			reached := false
			for _, name := range names {
				reached = reached || l.watches(names, name) && !away[name]
			}
			if !reached {
				missed++
			}
		}
		// With two watchers 41 to 123 of a thousand.
		qt.Check(t, missed <= days/100, qt.IsTrue, qt.Commentf("%d hosts: %d of %d", hosts, missed, days))
	}
}

// A host says whether it is too small to coordinate.
func TestReportsTellReluctance(t *testing.T) {
	for _, reluctance := range []time.Duration{0, time.Second} {
		m := New(Options{
			Log: slog.New(slog.DiscardHandler), Reluctance: reluctance, Feed: feed.New(),
			Collect: func() Report { return Report{} },
		})
		qt.Check(t, m.ownReport(0).Reluctant, qt.Equals, reluctance > 0)
	}
}

// The store counts as away only when no host that watches it gets an answer.
func TestStoreIsAwayForAllOrNone(t *testing.T) {
	tests := []struct {
		name  string
		own   bool
		other reporter
		want  bool
	}{
		{"reached by all", false, reporter{watching: true}, false},
		{"lost by the coordinator only", true, reporter{watching: true}, false},
		{"lost by a watcher only", false, reporter{watching: true, storeLost: true}, false},
		{"lost by all", true, reporter{watching: true, storeLost: true}, true},
		{"nobody else watches", true, reporter{}, true},
	}
	for _, test := range tests {
		l := &leader{process: "c", hosts: map[string]*reporter{"a": &test.other, "c": {}}, m: &Member{o: Options{StoreAway: func() bool { return test.own }}}}
		qt.Check(t, l.storeAway([]string{"a", "c"}), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

func TestGrantsToOneTargetGoTogether(t *testing.T) {
	c := qt.New(t)
	order := func(kind ownership.OrderKind, target string, first uint16) ownership.Order {
		return ownership.Order{Kind: kind, To: ownership.Life{Name: target}, Span: platform.Span{First: first}}
	}
	got := batches([]ownership.Order{
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
