package edge

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/reachability"
	"github.com/redwingtally/redwingtally/scheduler"
)

// findCut makes the host find that it is cut off.
func findCut(e *Edge) {
	e.path.update(false, func(t *reachability.Tracker) {
		t.SetTargets(2)
		t.DialFailed("a")
		t.DialFailed("b")
	})
	for e.path.probesDue() > 0 {
		e.recordProbes(0, 0, 2)
	}
}

// endCut makes the host find that the cut has ended.
func endCut(e *Edge) {
	for e.cutOff() {
		if e.path.probesDue() > 0 {
			e.recordProbes(1, 0, 0)
		}
		time.Sleep(10 * time.Millisecond) // the next probe is due after half a second
	}
}

// The channel of cutOffBegins is closed by a cut, and there is a new one after its end.
func TestCutOffBegins(t *testing.T) {
	c := qt.New(t)
	q, _ := newRequest(t, nil)
	e := q.edge
	closed := func(ch <-chan struct{}) bool {
		select {
		case <-ch:
			return true
		default:
			return false
		}
	}
	first := e.cutOffBegins()
	c.Check(closed(first) || e.cutOff(), qt.IsFalse)
	findCut(e)
	c.Check(closed(first) && closed(e.cutOffBegins()) && e.cutOff(), qt.IsTrue)
	endCut(e)
	c.Check(closed(first), qt.IsTrue)
	c.Check(closed(e.cutOffBegins()), qt.IsFalse)
}

// A request that waits for a slot leaves the queue when the host finds that it is cut off,
// and may be queued again after the cut.
func TestCutReleasesQueuedRequest(t *testing.T) {
	c := qt.New(t)
	q, w := newRequest(t, func(q *request) {
		q.sends = 0
		q.route.Repeat = platform.AtMostOnce
	})
	now := time.Now()
	s := q.service
	s.setTargets(now, platform.Service{Name: "stock", Keyed: true}, []platform.Target{targetOf("a", now)}, 1)
	q.scheduled = &scheduler.Request{Keyed: true, Deadline: now.Add(time.Minute), Objective: now.Add(time.Minute)} // its key has no owner
	queued := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.scheduler.Queued()
	}
	finished := make(chan bool)
	go func() { finished <- q.step(context.Background()) }()
	for queued() == 0 {
		time.Sleep(time.Millisecond) // polls the queue
	}
	findCut(q.edge)
	c.Check(<-finished, qt.IsFalse)
	c.Check(queued(), qt.Equals, 0)
	c.Check(q.queued, qt.IsTrue)
	c.Check(q.step(context.Background()), qt.IsTrue)
	c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Only attempts of requests that may run again are given up at the begin of a cut, and only
// while no target responds.
func TestAttemptContext(t *testing.T) {
	tests := []struct {
		name     string
		repeat   platform.ExecutionSemantics
		streamed bool
		responds bool // a target responds just before the cut is found
		detached bool // the response came before
		given    bool
	}{
		{"idempotent", platform.Idempotent, false, false, false, true},
		{"idempotent, streamed body", platform.Idempotent, true, false, false, false},
		{"idempotent, open connections live", platform.Idempotent, false, true, false, false},
		{"idempotent, response has come", platform.Idempotent, false, false, true, false},
		{"at most once", platform.AtMostOnce, false, false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q, _ := newRequest(t, func(q *request) {
				q.route.Repeat = test.repeat
				if test.streamed {
					q.body.rest = http.NoBody
				}
			})
			ctx, detach := q.attemptContext(context.Background())
			if test.detached {
				detach()
			}
			if test.responds {
				q.edge.path.exchanged(ctx, "a", time.Millisecond, &exchange.Response{Reused: true}, nil)
			}
			findCut(q.edge)
			select {
			case <-ctx.Done():
				qt.Check(t, test.given, qt.IsTrue)
			case <-time.After(50 * time.Millisecond):
				qt.Check(t, test.given, qt.IsFalse)
			}
		})
	}
}

// The results of exchanges count for or against the path to the targets.
func TestExchangeResults(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	const long, short = time.Second, time.Millisecond
	tests := []struct {
		name                string
		ctx                 context.Context
		took                time.Duration
		resp                *exchange.Response
		err                 error
		failed, dialsFailed int // counted after it, from one of each before
	}{
		{"response on a new connection", context.Background(), short, &exchange.Response{Status: http.StatusOK}, nil, 0, 0},
		{"response on an open connection", context.Background(), short, &exchange.Response{Status: http.StatusOK, Reused: true}, nil, 0, 1},
		{"rejection", context.Background(), short, &exchange.Response{Status: http.StatusServiceUnavailable, Reused: true}, nil, 0, 1},
		{"invalid response", context.Background(), short, nil, exchange.ErrInvalidResponse, 0, 1},
		{"refused", context.Background(), short, nil, exchange.ErrNoListener, 2, 2},
		{"not opened", context.Background(), short, nil, exchange.ErrUnreachable, 2, 2},
		{"not opened before a near deadline", ended, short, nil, exchange.ErrUnreachable, 1, 1},
		{"not opened before the deadline", ended, long, nil, exchange.ErrUnreachable, 2, 2},
		{"connection failed", context.Background(), short, nil, exchange.ErrConnectionFailed, 2, 1},
		{"no response", ended, long, nil, exchange.ErrTimeout, 2, 1},
		{"no response before a near deadline", ended, short, nil, exchange.ErrTimeout, 1, 1},
		{"caller left", ended, long, nil, exchange.ErrCancelled, 1, 1},
		{"caller left before it was sent", ended, long, nil, exchange.ErrNotSent, 1, 1},
		{"incomplete body of the caller", context.Background(), long, nil, exchange.ErrRequestBody, 1, 1},
	}
	for _, test := range tests {
		p := newPathToTargets()
		p.tracker.DialFailed("a")
		p.sent("b")
		p.exchanged(test.ctx, "b", test.took, test.resp, test.err)
		state := p.tracker.State(time.Now())
		qt.Check(t, []int{state.Failed, state.DialsFailed, state.Waiting}, qt.DeepEquals, []int{test.failed, test.dialsFailed, 0}, qt.Commentf("%s", test.name))
	}
}

// The targets of a round are of different services and data centres where possible; suspects
// and targets that were probed before come last.
func TestChooseProbes(t *testing.T) {
	type group struct {
		service, dataCentre string
		targets             int
		draining            bool
	}
	tests := []struct {
		name     string
		groups   []group
		suspects []string
		n        int
		rounds   []map[string]int // expected number of targets by service and data centre, in each round; nil means any
		all      bool             // all targets are chosen in these rounds
	}{
		{"none", nil, nil, 4, []map[string]int{{}}, false},
		{"fewer than wanted", []group{{"stock", "x", 2, false}}, nil, 4, []map[string]int{{"stock x": 2}, {"stock x": 2}}, false},
		{"one small service", []group{{"stock", "x", 20, false}, {"prices", "x", 1, false}}, nil, 4, []map[string]int{{"stock x": 3, "prices x": 1}, {"stock x": 3, "prices x": 1}}, false},
		{"two data centres", []group{{"stock", "x", 20, false}, {"stock", "y", 2, false}}, nil, 4, []map[string]int{{"stock x": 2, "stock y": 2}, {"stock x": 2, "stock y": 2}}, false},
		{"draining last", []group{{"stock", "x", 1, false}, {"stock", "y", 1, true}, {"stock", "z", 1, false}}, nil, 2, []map[string]int{{"stock x": 1, "stock z": 1}}, false},
		{"suspect last", []group{{"stock", "x", 1, false}, {"stock", "y", 1, false}, {"stock", "z", 1, false}}, []string{"stock x 0"}, 2, []map[string]int{{"stock y": 1, "stock z": 1}}, false},
		{"probed last", []group{{"stock", "x", 4, false}}, nil, 3, []map[string]int{{"stock x": 3}, {"stock x": 3}}, true},
		{"one at a time", []group{{"stock", "x", 4, false}, {"prices", "y", 1, false}}, nil, 1, []map[string]int{nil, nil, nil, nil, nil}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q, _ := newRequest(t, nil)
			e, now := q.edge, time.Now()
			byService := map[string][]platform.Target{}
			groups, clients := map[*exchange.Client]string{}, map[string]*exchange.Client{}
			for _, g := range test.groups {
				for i := range g.targets {
					target := targetOf(fmt.Sprintf("%s %s %d", g.service, g.dataCentre, i), now)
					target.Service, target.DataCentre, target.Draining = g.service, g.dataCentre, g.draining
					e.targets.Set(now, target)
					byService[g.service] = append(byService[g.service], target)
				}
			}
			for name, targets := range byService {
				s := e.service(name)
				s.setTargets(now, platform.Service{Name: name}, targets, 1)
				for _, target := range targets {
					clients[target.Name] = s.clientsByName[target.Name]
					groups[s.clientsByName[target.Name]] = target.Service + " " + target.DataCentre
				}
			}
			for _, name := range test.suspects {
				e.path.tracker.Failed(name)
			}
			seen := map[*exchange.Client]bool{}
			for _, want := range test.rounds {
				got, distinct := map[string]int{}, map[*exchange.Client]bool{}
				for _, client := range e.chooseProbes(test.n) {
					got[groups[client]]++
					distinct[client], seen[client] = true, true
				}
				if want != nil {
					c.Check(got, qt.DeepEquals, want)
				}
				total := 0
				for _, n := range got {
					total += n
				}
				c.Check(distinct, qt.HasLen, total)
			}
			if test.all {
				c.Check(seen, qt.HasLen, len(clients))
			}
		})
	}
}
