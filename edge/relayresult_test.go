package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/budget"
	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/relay"
	"github.com/redwingtally/redwingtally/scheduler"
)

// newPassedRequest returns a request that was passed on once, modified by change, with the ticket and the client of
// its relay.
func newPassedRequest(tb testing.TB, change func(*request)) (*request, *httptest.ResponseRecorder, relay.Ticket, *exchange.Client) {
	q, w := newRequest(tb, func(q *request) {
		q.sends, q.triedRelays = 0, []string{"e2"}
		if change != nil {
			change(q)
		}
	})
	q.edge.relays.selector.SetRelays([]relay.Relay{{Host: "e2", Address: targetOf("a", time.Time{}).Address}})
	ticket, client, ok := q.edge.relays.choose(nil)
	qt.Assert(tb, ok, qt.IsTrue)
	return q, w, ticket, client
}

func TestHandleRelayResponse(t *testing.T) {
	once := func(q *request) { q.route.Repeat = platform.AtMostOnce }
	ranBefore := func(q *request) { q.possibleRuns = 1 }
	withFallback := func(q *request) {
		q.possibleRuns, q.fallback = 1, &exchange.Response{Status: http.StatusNotImplemented, Header: http.Header{}}
	}
	tests := []struct {
		name   string
		result relay.Result
		status int
		change func(*request)
		want   int // 0 if the request is not finished
		runs   int
	}{
		{"response", relay.Result{Kind: relay.Response, Runs: 1}, 200, nil, 200, 1},
		{"error response", relay.Result{Kind: relay.Response, Runs: 1}, 500, nil, 0, 1},
		{"error response, once only", relay.Result{Kind: relay.Response, Runs: 1}, 500, once, 500, 1},
		{"error response, all attempts used", relay.Result{Kind: relay.Response, Runs: 2}, 500, nil, 500, 2},
		{"failed", relay.Result{Kind: relay.Failed, Runs: 1}, 502, nil, 0, 1},
		{"deadline passed at the relay", relay.Result{Kind: relay.Failed, Runs: 1}, 504, nil, 504, 1},
		{"error response 504", relay.Result{Kind: relay.Response, Runs: 1}, 504, nil, 0, 1},
		{"failed, once only", relay.Result{Kind: relay.Failed, Runs: 1}, 502, once, 502, 1},
		{"failed, ran before", relay.Result{Kind: relay.Failed, Runs: 1}, 502, ranBefore, 502, 2},
		{"not taken", relay.Result{Kind: relay.NotTaken}, 503, once, 0, 0},
		{"given back", relay.Result{Kind: relay.NotTaken, Counted: true}, 503, once, 0, 0},
		{"rejected", relay.Result{Kind: relay.Rejected}, 503, once, 503, 0},
		{"rejected, 404", relay.Result{Kind: relay.Rejected}, 404, once, 404, 0},
		{"rejected, ran before", relay.Result{Kind: relay.Rejected}, 503, ranBefore, 502, 1},
		{"rejected, 408, ran before", relay.Result{Kind: relay.Rejected}, 408, ranBefore, 502, 1},
		{"rejected, with an earlier error response", relay.Result{Kind: relay.Rejected}, 503, withFallback, 501, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, w, ticket, client := newPassedRequest(t, test.change)
			resp := &exchange.Response{Status: test.status, Header: http.Header{}}
			c.Check(q.handleRelayResponse(context.Background(), ticket, client, resp, test.result), qt.Equals, test.want != 0)
			c.Check(q.possibleRuns, qt.Equals, test.runs)
			c.Check(q.counted, qt.Equals, test.result.Counted)
			if test.want != 0 {
				c.Check(w.Code, qt.Equals, test.want)
			}
		})
	}
}

func TestHandleRelayError(t *testing.T) {
	once := func(q *request) { q.route.Repeat = platform.AtMostOnce }
	tests := []struct {
		name   string
		err    error
		change func(*request)
		want   int // 0 if the request is not finished
		runs   int
	}{
		{"not reached", exchange.ErrUnreachable, once, 0, 0},
		{"not listening", exchange.ErrNoListener, once, 0, 0},
		{"not sent", exchange.ErrNotSent, once, 0, 0},
		{"lost", exchange.ErrConnectionFailed, nil, 0, 1},
		{"lost, once only", exchange.ErrConnectionFailed, once, 502, 1},
		{"invalid, once only", exchange.ErrInvalidResponse, once, 502, 1},
		{"lost, all attempts used", exchange.ErrConnectionFailed, func(q *request) { q.possibleRuns = 1 }, 502, 2},
		{"timed out", exchange.ErrTimeout, nil, 504, 1},
		{"timed out, once only", exchange.ErrTimeout, once, 504, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, w, ticket, client := newPassedRequest(t, test.change)
			c.Check(q.handleRelayError(context.Background(), ticket, client, 1, test.err), qt.Equals, test.want != 0)
			c.Check(q.possibleRuns, qt.Equals, test.runs)
			c.Check(q.counted, qt.Equals, exchange.MayHaveRun(test.err))
			if test.want != 0 {
				c.Check(w.Code, qt.Equals, test.want)
			}
		})
	}
}

// A relay is paused if it takes no requests at all, and not if it does not take this one.
func TestRelayIsPausedIfUnavailable(t *testing.T) {
	tests := []struct {
		name    string
		result  relay.Result
		counted bool // by the sender, or by a relay before
		usable  bool
	}{
		{"not taken", relay.Result{Kind: relay.NotTaken}, false, true},
		{"not taken, counted by the relay", relay.Result{Kind: relay.NotTaken, Counted: true}, false, true},
		{"not taken, counted before", relay.Result{Kind: relay.NotTaken}, true, true},
		{"rejected", relay.Result{Kind: relay.Rejected}, true, true},
		{"failed", relay.Result{Kind: relay.Failed, Runs: 1}, true, true},
		{"takes none", relay.Result{Kind: relay.NotTaken, Unavailable: true}, false, false},
		{"takes none any more", relay.Result{Kind: relay.NotTaken, Unavailable: true, Counted: true}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, _, ticket, client := newPassedRequest(t, func(q *request) { q.counted = test.counted })
			resp := &exchange.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
			q.handleRelayResponse(context.Background(), ticket, client, resp, test.result)
			_, _, ok := q.edge.relays.choose(nil)
			c.Check(ok, qt.Equals, test.usable)
		})
	}
}

// A retry that was taken before the request is passed on serves once: it is taken again after a failure.
func TestTakenRetryServesOnce(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		status int
	}{
		{"error response", func(w http.ResponseWriter, _ *http.Request) {
			platform.SetRequestID(w.Header(), "x")
			relay.Result{Kind: relay.Response, Runs: 1}.Set(w.Header())
			w.WriteHeader(http.StatusNotImplemented)
		}, http.StatusNotImplemented},
		{"lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, w := newRequest(t, func(q *request) { q.sends, q.retryTaken, q.meta.ID = 0, true, "x" })
			q.service.setLimits(budget.Limits{Window: time.Second})
			server := httptest.NewServer(test.answer)
			t.Cleanup(server.Close)
			q.edge.relays.selector.SetRelays([]relay.Relay{{Host: "e2", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}})
			c.Check(q.passOn(context.Background()), qt.IsTrue)
			c.Check(w.Code, qt.Equals, test.status)
			c.Check(q.possibleRuns, qt.Equals, 1)
		})
	}
}

// The result that a relay states says whether the request may have run.
func TestRejectionKind(t *testing.T) {
	tests := []struct {
		name   string
		runs   int
		keyed  bool
		status int
		reason string
		want   relay.Result
	}{
		{"stopping", 0, false, 503, "stopping", relay.Result{Kind: relay.NotTaken}},
		{"cut off", 0, false, 503, reasonCutOff, relay.Result{Kind: relay.NotTaken}},
		{"no target", 0, false, 503, string(scheduler.NoTarget), relay.Result{Kind: relay.NotTaken}},
		{"no owner of the key", 0, true, 503, string(scheduler.NoTarget), relay.Result{Kind: relay.Rejected}},
		{"queue full", 0, false, 503, string(scheduler.QueueFull), relay.Result{Kind: relay.Rejected}},
		{"no route", 0, false, 404, "no_route", relay.Result{Kind: relay.Rejected}},
		{"cut off after a possible run", 2, false, 502, reasonCutOff, relay.Result{Kind: relay.Failed, Runs: 2}},
		{"target failed", 1, false, 502, "target_failed", relay.Result{Kind: relay.Failed, Runs: 1}},
		{"body not received after a possible run", 1, false, 408, "body_not_received", relay.Result{Kind: relay.Failed, Runs: 1}},
		{"deadline passed", 0, false, 504, "deadline_passed", relay.Result{Kind: relay.Failed, Runs: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, w := newRequest(t, func(q *request) {
				q.possibleRuns, q.scheduled.Keyed, q.relayed = test.runs, test.keyed, &relay.Request{}
			})
			q.reject(test.status, test.reason, 0)
			got, err := relay.ReadResult(w.Header())
			c.Check(err, qt.IsNil)
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// A relay is told the time that is left, the attempts and whether the request was counted.
func TestRelayRequest(t *testing.T) {
	c := qt.New(t)
	q, _, _, _ := newPassedRequest(t, func(q *request) {
		q.started, q.deadline = time.Now().Add(-300*time.Millisecond), time.Now().Add(700*time.Millisecond)
		q.counted, q.callerRetry = true, true
		platform.SetRequestMeta(q.r.Header, platform.RequestMeta{ID: "x", Timeout: time.Second})
	})
	sent := q.relayRequest(2)
	got, err := relay.ReadRequest(sent.Header)
	c.Assert(err, qt.IsNil)
	c.Check(got.Elapsed >= 300*time.Millisecond && got.Elapsed < 700*time.Millisecond, qt.IsTrue)
	got.Elapsed = 0
	c.Check(got, qt.Equals, relay.Request{Attempts: 2, Counted: true, CallerRetry: true, Service: "stock"})
	meta := platform.ReadRequestMeta(sent.Header)
	c.Check(meta.Timeout > 500*time.Millisecond && meta.Timeout <= 700*time.Millisecond-relayAnswerTime, qt.IsTrue, qt.Commentf("%s", meta.Timeout))
	c.Check(platform.ExpectedTarget(sent.Header), qt.Equals, "")
	q.deadline = time.Now().Add(relayAnswerTime) // the relay gets a part of a short rest
	meta = platform.ReadRequestMeta(q.relayRequest(1).Header)
	c.Check(meta.Timeout > relayAnswerTime/4 && meta.Timeout <= relayAnswerTime/2, qt.IsTrue, qt.Commentf("%s", meta.Timeout))
}
