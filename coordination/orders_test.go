package coordination

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
	"github.com/redwingtally/redwingtally/ratelimit"
)

// startCountingServer starts a server that counts its calls, and returns its address and the counter.
func startCountingServer(t *testing.T, h http.Handler) (netip.AddrPort, *atomic.Int32) {
	calls := &atomic.Int32{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), calls
}

// newTestLeader returns a leader of term 1 with a valid lease, no store and no targets. Its lease is confirmed whenever it asks.
func newTestLeader() *leader {
	always := &atomic.Bool{}
	always.Store(true)
	return newTestLeaderWhile(always)
}

// newTestLeaderWhile is newTestLeader for a leader whose lease is confirmed only while confirmed is set,
// or by its confirmLoop if confirmed is nil.
func newTestLeaderWhile(confirmed *atomic.Bool) *leader {
	l := &leader{
		member: &Member{options: Options{Log: slog.New(slog.DiscardHandler), TargetClient: platform.NewTargetClient(nil), RateLimits: ratelimit.NewTable()}, watchGate: newGate()},
		core:   ownership.New(ownership.Options{HoldTime: HoldTime, LeaseTime: LeaseTime}), confirmedAt: now(),
		hosts: map[string]*hostReport{}, candidates: newCandidates(), afterRestore: afterRestore{reporters: map[string]reporter{}}, confirmNow: make(chan struct{}, 1), confirmed: make(chan struct{}), crashes: quarantine.New(), changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	l.core.Begin(now(), &ownership.Document{Term: 1, Services: map[string][]ownership.Range{}}, true)
	if confirmed != nil {
		go l.confirmWhile(confirmed)
	}
	return l
}

// confirmWhile confirms the lease whenever l asks and confirmed is set.
func (l *leader) confirmWhile(confirmed *atomic.Bool) {
	for range l.confirmNow {
		if confirmed.Load() {
			l.mu.Lock()
			l.confirmLocked(now())
			l.mu.Unlock()
		}
	}
}

// A coordinator sends no orders that could arrive after its lease has expired, or after
// its coordination has ended.
func TestOrdersNeedALease(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(l *leader)
		want    int32
	}{
		{"confirmed", func(*leader) {}, 1},
		{"lease expired", func(l *leader) { l.confirmedAt = now().Add(-LeaseTime) }, 0},
		{"lease expires before a delayed order arrives", func(l *leader) { l.confirmedAt = now().Add(platform.UnackedTimeout/2 - LeaseTime) }, 0},
		{"yielded", func(l *leader) { l.yieldTo(2) }, 0},
		{"asked to yield to its own term", func(l *leader) { l.yieldTo(1) }, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, calls := startCountingServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			l := newTestLeader()
			test.prepare(l)
			l.sendBatch(context.Background(), []ownership.Order{{To: ownership.Incarnation{Name: "a", Address: address}, Fence: 1, HoldTime: HoldTime}})
			qt.Check(t, calls.Load(), qt.Equals, test.want)
		})
	}
}

// After an unanswered grant, the remaining grants of its batch are not sent.
func TestBatchStopsAfterAnUnansweredOrder(t *testing.T) {
	address, calls := startCountingServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	to := ownership.Incarnation{Name: "a", Address: address}
	newTestLeader().sendBatch(context.Background(), []ownership.Order{{To: to, Fence: 1, HoldTime: HoldTime}, {To: to, Fence: 1, HoldTime: HoldTime}})
	qt.Check(t, calls.Load(), qt.Equals, int32(1))
}

// A grant over a new connection makes the leader ask the store at once, also if its lease was confirmed a moment ago, but not
// more often than once in minConfirmInterval.
func TestNewConnectionsAskForAConfirmation(t *testing.T) {
	c := qt.New(t)
	l := newTestLeaderWhile(nil)
	attachStore(t, l)
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { l.confirmLoop(ctx) })
	defer loop.Wait()
	defer cancel()
	began := now()
	for range 5 {
		address, calls := startCountingServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		o := ownership.Order{To: ownership.Incarnation{Name: "a", Address: address}, Fence: 1, HoldTime: HoldTime}
		result, _ := l.sendOrder(ctx, o)
		c.Check(result, qt.Equals, ownership.OrderDone)
		c.Check(calls.Load(), qt.Equals, int32(1))
	}
	took := now().Sub(began)
	c.Check(took >= 4*minConfirmInterval && took < confirmInterval, qt.IsTrue, qt.Commentf("%s", took))
}

// After a withheld grant, the remaining grants of its batch are not sent, so that the batch does not wait for each.
func TestBatchStopsAfterAWithheldGrant(t *testing.T) {
	address, calls := startCountingServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	o := ownership.Order{To: ownership.Incarnation{Name: "a", Address: address}, Fence: 1, HoldTime: HoldTime}
	began := now()
	newTestLeaderWhile(&atomic.Bool{}).sendBatch(context.Background(), []ownership.Order{o, o, o})
	qt.Check(t, calls.Load(), qt.Equals, int32(0))
	qt.Check(t, now().Sub(began) < ownership.GrantTimeout, qt.IsTrue)
}

// A grant that waits for a confirmation is not sent if its leader has stopped meanwhile.
func TestWaitingGrantsNeedALease(t *testing.T) {
	c := qt.New(t)
	address, calls := startCountingServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	l := newTestLeaderWhile(&atomic.Bool{})
	time.AfterFunc(50*time.Millisecond, func() {
		l.yieldTo(2)
		l.mu.Lock()
		l.confirmLocked(now())
		l.mu.Unlock()
	})
	result, _ := l.sendOrder(context.Background(), ownership.Order{To: ownership.Incarnation{Name: "a", Address: address}, Fence: 1, HoldTime: HoldTime})
	c.Check(result, qt.Equals, ownership.OrderNotSent)
	c.Check(calls.Load(), qt.Equals, int32(0))
}

// A target that closes connections before the lease is confirmed counts as one that does not answer.
func TestConnectionsThatDoNotLastCountAsUnanswered(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			_ = conn.Close()
		}
	}()
	l := newTestLeaderWhile(nil)
	attachStore(t, l)
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { l.confirmLoop(ctx) })
	defer loop.Wait()
	defer cancel()
	var reports []bool
	l.member.options.OrderResult = func(_ string, answered bool) { reports = append(reports, answered) }
	for range 3 {
		o := ownership.Order{To: ownership.Incarnation{Name: "a", Address: netip.MustParseAddrPort(ln.Addr().String())}, Fence: 1, HoldTime: HoldTime}
		result, _ := l.sendOrder(ctx, o)
		c.Check(result == ownership.OrderNotSent || result == ownership.OrderUnanswered, qt.IsTrue, qt.Commentf("%v", result))
	}
	c.Check(reports, qt.DeepEquals, []bool{false, false, false})
}

// TestGrantsReachNoProcessThatStartedAfterTheLeaseWasConfirmed guards against two owners after a takeover that the coordinator
// does not know of: a process that starts then remembers none of the successor's tokens.
func TestGrantsReachNoProcessThatStartedAfterTheLeaseWasConfirmed(t *testing.T) {
	tests := []struct {
		name      string
		confirmed bool // the store confirms the lease when the leader asks
		running   bool // the first process has received a grant before
		restarted bool // another process has started in its place since
		want      ownership.OrderResult
		calls     int32 // that reach the process
	}{
		{name: "first grant", confirmed: true, want: ownership.OrderDone, calls: 1},
		{name: "first grant, store does not answer", want: ownership.OrderWithheld},
		{name: "renewal, store does not answer", running: true, want: ownership.OrderDone, calls: 1},
		{name: "restarted", confirmed: true, running: true, restarted: true, want: ownership.OrderDone, calls: 1},
		{name: "restarted, store does not answer", running: true, restarted: true, want: ownership.OrderWithheld},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			start := func(address string) *http.Server {
				ln, err := net.Listen("tcp4", address)
				c.Assert(err, qt.IsNil)
				s := &http.Server{Addr: ln.Addr().String(), Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) })}
				go func() { _ = s.Serve(ln) }()
				t.Cleanup(func() { _ = s.Close() })
				return s
			}
			target := start("127.0.0.1:0")
			o := ownership.Order{To: ownership.Incarnation{Name: "a", Address: netip.MustParseAddrPort(target.Addr)}, Fence: 1, HoldTime: HoldTime}
			confirmed := &atomic.Bool{}
			confirmed.Store(true)
			l := newTestLeaderWhile(confirmed)
			if test.running {
				result, _ := l.sendOrder(context.Background(), o)
				c.Assert(result, qt.Equals, ownership.OrderDone)
			}
			if test.restarted {
				c.Assert(target.Close(), qt.IsNil)
				start(target.Addr)
			}
			confirmed.Store(test.confirmed)
			calls.Store(0)
			reports := 0
			l.member.options.OrderResult = func(string, bool) { reports++ }
			began := now()
			result, _ := l.sendOrder(context.Background(), o)
			c.Check(result, qt.Equals, test.want)
			c.Check(calls.Load(), qt.Equals, test.calls)
			c.Check(reports, qt.Equals, int(test.calls)) // a withheld grant tells nothing of the target
			c.Check(now().Sub(began) < ownership.GrantTimeout, qt.IsTrue)
		})
	}
}

// The results of orders tell whether their target responds; orders that are given up tell nothing.
func TestOrderResultsAreReported(t *testing.T) {
	respond := func(status int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	closed := netip.MustParseAddrPort("127.0.0.1:9")
	tests := []struct {
		name    string
		ctx     context.Context
		handler http.Handler // nil if nothing listens
		want    []bool       // results that are reported
	}{
		{"done", context.Background(), respond(http.StatusOK), []bool{true}},
		{"fenced", context.Background(), respond(http.StatusConflict), []bool{true}},
		{"another target at the address", context.Background(), respond(http.StatusMisdirectedRequest), []bool{true}},
		{"unanswered", context.Background(), http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), []bool{false}},
		{"refused", context.Background(), nil, []bool{false}},
		{"given up", ended, respond(http.StatusOK), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := closed
			if test.handler != nil {
				address, _ = startCountingServer(t, test.handler)
			}
			var got []bool
			l := newTestLeader()
			l.member.options.OrderResult = func(target string, answered bool) {
				qt.Check(t, target, qt.Equals, "a")
				got = append(got, answered)
			}
			l.sendOrder(test.ctx, ownership.Order{To: ownership.Incarnation{Name: "a", Address: address}, Fence: 1, HoldTime: HoldTime})
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}

// The previous coordinator is asked to stop. Keys with a former owner are granted
// without a wait for its lease only if it had fenced all owners; otherwise a
// coordinator before it may still send orders.
func TestUnfencedPredecessorsLeaseIsAwaited(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		c := qt.New(t)
		handler := connect.NewUnaryHandler(yieldProcedure, func(context.Context, *connect.Request[YieldRequest]) (*connect.Response[YieldResponse], error) {
			return connect.NewResponse(&YieldResponse{}), nil
		}, connect.WithCodec(codec{}))
		mux := http.NewServeMux()
		mux.Handle(yieldProcedure, handler)
		address, calls := startCountingServer(t, mux)
		l := newTestLeader()
		at, former := now(), ownership.IncarnationOf(stockTargets(2)[1])
		l.core.Begin(at, &ownership.Document{Term: 2, Fence: 1, Services: map[string][]ownership.Range{"stock": {{
			KeyRange: platform.KeyRange{Last: 65535}, Owner: ownership.IncarnationOf(stockTargets(1)[0]), Fence: 1, FormerOwners: []ownership.FormerOwner{{Incarnation: former}},
		}}}}, false)
		for _, o := range l.core.Orders(at) {
			l.core.RecordResult(at, o, ownership.OrderDone, "")
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		l.stopPredecessor(ctx, &ownership.Document{Coordinator: "old", Address: address, OwnersFenced: fenced})
		cancel()
		c.Check(calls.Load(), qt.Equals, int32(1))
		c.Check(l.core.Orders(at.Add(HoldTime+2*time.Second)), qt.HasLen, map[bool]int{true: 1}[fenced])
		c.Check(l.core.Orders(at.Add(LeaseTime+HoldTime+time.Second)), qt.HasLen, map[bool]int{false: 1}[fenced])
	}
}

// A view that arrives late does not replace a newer one.
func TestOlderViewsAreIgnored(t *testing.T) {
	c := qt.New(t)
	m := startHosts(t, 1)[0].Member
	d := &ownership.Document{Coordinator: "x"}
	m.applyReply(d, &Reply{View: &View{Version: Version{Term: 50, Number: 2}}})
	m.applyReply(d, &Reply{View: &View{Version: Version{Term: 50, Number: 1}}})
	m.applyReply(d, &Reply{View: &View{Version: Version{Term: 49, Number: 9}}})
	c.Check(m.State().Version, qt.Equals, Version{Term: 50, Number: 2})
}
