package holder

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	qt "github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/policy"
	"github.com/redwingtally/redwingtally/record"
	"github.com/redwingtally/redwingtally/refusal"
	"github.com/redwingtally/redwingtally/service"
	"github.com/redwingtally/redwingtally/target"
)

func stopOnCleanup(t *testing.T, stop func(context.Context) error) {
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = stop(ctx)
	})
}

// newOnceOnlyGroup starts a group with one target and a once-only route. replicate
// is called in place of the keepers and returns whether they store the ids.
func newOnceOnlyGroup(t *testing.T, replicate func(once.Update) bool) (*Group, *standin.Target) {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	p, err := standin.StartPlatform(anyPort, standin.PlatformOptions{})
	qt.Assert(t, err, qt.IsNil)
	stopOnCleanup(t, p.Stop)
	tg, err := standin.StartTarget(anyPort, standin.TargetOptions{Name: "t"})
	qt.Assert(t, err, qt.IsNil)
	stopOnCleanup(t, tg.Stop)
	workers, err := ants.NewPool(64)
	qt.Assert(t, err, qt.IsNil)
	self := host.Host{Name: "a", Incarnation: 1}
	spec := policy.Default()
	spec.Routes = []policy.Route{{Prefix: "/", Class: "default", AtMostOnce: true}}
	spec.Classes[0].Deadline = record.Duration{Duration: 3 * time.Second}
	g := newGroup(Dependencies{
		Log:             slog.New(slog.NewTextHandler(io.Discard, nil)),
		Store:           platform.NewStore(p.Address()),
		Metrics:         metric.New(),
		Workers:         workers,
		Self:            func() host.Host { return self },
		AliveHosts:      func() []host.Host { return []host.Host{self, {Name: "b"}, {Name: "c"}} },
		HoldingsChanged: func() {},
		ReplicateIDs:    func(_ context.Context, _ Keeper, update once.Update) (bool, error) { return replicate(update), nil },
		FetchIDs: func(context.Context, Keeper, string, grant.Term, grant.Term) (once.Snapshot, bool, error) {
			return once.Snapshot{}, false, nil
		},
		ReportQuarantine: func(string, dispatch.Quarantine) {},
		Timing:           grant.DefaultTiming(),
	}, &catalogue.ServiceConfig{
		Name: "desk",
		Service: service.Spec{
			Targets:              []service.Target{{Name: "t", Address: tg.Address(), DataCentre: "x"}},
			SlotsPerTarget:       2,
			ConnectionsPerTarget: 2,
		},
		Policy: spec,
	})
	g.start()
	t.Cleanup(g.stop)
	g.Acquire(time.Now(), 0)
	return g, tg
}

// serveOnce sends a once-only request and returns its context, its id and whether
// it was answered here. If not, it can be forwarded to another daemon.
func serveOnce(t *testing.T, g *Group) (*app.RequestContext, string, bool) {
	id, err := once.NewID(time.Now(), nil)
	qt.Assert(t, err, qt.IsNil)
	c, answered := serveID(t, g, id)
	return c, id, answered
}

// serveID sends a once-only request with an id and returns its context and whether it
// was answered here.
func serveID(t *testing.T, g *Group, id string) (*app.RequestContext, bool) {
	c := app.NewContext(0)
	body, err := NewBody(c)
	qt.Assert(t, err, qt.IsNil)
	return c, g.Serve(context.Background(), c, IncomingRequest{Method: "POST", Path: "/", RequestID: id, ReceivedAt: time.Now(), Body: body})
}

// eventually waits until f returns true. The timeout only ends a test that hangs.
func eventually(t *testing.T, f func() bool) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("condition not met within 20 s")
}

func TestIdleGroupSendsOnceOnlyRequestsElsewhere(t *testing.T) {
	g, tg := newOnceOnlyGroup(t, func(once.Update) bool { return true })
	eventually(t, func() bool {
		_, held := g.HeldTerm()
		return held
	})
	g.ObjectChanged(GroupObject{Term: g.holder.Term().Next(9), Epoch: 1})
	_, id, answered := serveOnce(t, g)
	qt.Assert(t, answered, qt.IsFalse)
	qt.Assert(t, tg.Runs()[id], qt.Equals, 0)
}

// TestInvalidIDsAreRejectedWithoutTable sends ids while the table of request ids is
// closed, as it is after a takeover. An id that no table admits must be rejected for
// that reason, so that its caller does not send it again.
func TestInvalidIDsAreRejectedWithoutTable(t *testing.T) {
	blocked := make(chan struct{})
	t.Cleanup(func() { close(blocked) })
	g, tg := newOnceOnlyGroup(t, func(once.Update) bool {
		<-blocked
		return true
	})
	eventually(t, func() bool {
		_, held := g.HeldTerm()
		return held
	})
	issuedAt := func(at time.Time) string {
		id, err := once.NewID(at, nil)
		qt.Assert(t, err, qt.IsNil)
		return id
	}
	now := time.Now()
	tests := []struct {
		name   string
		id     string
		status int
		code   refusal.Code
		notRun refusal.NotRun
	}{
		{"no id", "", 400, refusal.CodeIDRequired, refusal.NotRunTrue},
		{"malformed", "17", 400, refusal.CodeIDMalformed, refusal.NotRunTrue},
		{"from the future", issuedAt(now.Add(time.Hour)), 400, refusal.CodeIDInFuture, refusal.NotRunTrue},
		{"too old", issuedAt(now.Add(-2 * once.RetentionWindow)), 409, refusal.CodeIDTooOld, refusal.NotRunUnknown},
		{"valid", issuedAt(now), 503, refusal.CodeIDNotRecorded, refusal.NotRunUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, answered := serveID(t, g, test.id)
			qt.Assert(t, answered, qt.IsTrue)
			qt.Assert(t, c.Response.StatusCode(), qt.Equals, test.status, qt.Commentf("%s", c.Response.Body()))
			qt.Assert(t, string(c.Response.Header.Peek(target.ReasonHeader)), qt.Equals, string(test.code))
			qt.Assert(t, string(c.Response.Header.Peek(target.NotRunHeader)), qt.Equals, string(test.notRun))
			qt.Assert(t, tg.Runs(), qt.HasLen, 0)
		})
	}
}

func TestOnceOnlyRequestRunsOnce(t *testing.T) {
	g, tg := newOnceOnlyGroup(t, func(once.Update) bool { return true })
	eventually(t, func() bool {
		_, held := g.HeldTerm()
		return held
	})
	c, id, answered := serveOnce(t, g)
	qt.Assert(t, answered, qt.IsTrue)
	qt.Assert(t, c.Response.StatusCode(), qt.Equals, 200, qt.Commentf("%s", c.Response.Body()))
	qt.Assert(t, tg.Runs()[id], qt.Equals, 1)
}

func TestOnceOnlyRequestIsNotSentWhenKeepersRefuse(t *testing.T) {
	// A successor has acquired the group: the keepers reject the id, and the
	// store has the successor's term.
	var g *Group
	var tg *standin.Target
	g, tg = newOnceOnlyGroup(t, func(update once.Update) bool {
		if update.Full {
			return true
		}
		_, err := updateObject(context.Background(), g.deps.Store, "desk", update.Term.Next(9), func(o *GroupObject) { o.Term = update.Term.Next(9) })
		qt.Check(t, err, qt.IsNil)
		return false
	})
	c, id, answered := serveOnce(t, g)
	qt.Assert(t, !answered || c.Response.StatusCode() >= 400, qt.IsTrue)
	qt.Assert(t, tg.Runs()[id], qt.Equals, 0)
	qt.Assert(t, string(c.Response.Header.Peek(target.NotRunHeader)), qt.Not(qt.Equals), string(refusal.NotRunFalse))
}
