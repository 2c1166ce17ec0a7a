package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
)

const (
	// lossSlack is the time after the last byte of a request by which an unread request must have been given up.
	lossSlack = 200 * time.Millisecond
	// lateStart is the time from a SIGTERM to the last request whose work may be cut in the last sixth of the shutdown time.
	lateStart = 3 * time.Second
)

// spans are periods in time order. Only the last one can be open.
type spans struct {
	mu   sync.Mutex
	list []span
}

// span is a period. It is open, and lasts, while its end is zero.
type span struct{ from, to time.Time }

// begin starts a period unless one is open.
func (s *spans) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOpen() {
		s.list = append(s.list, span{from: time.Now()})
	}
}

// end ends the open period, if there is one.
func (s *spans) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOpen() {
		s.list[len(s.list)-1].to = time.Now()
	}
}

// mark records a moment.
func (s *spans) mark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); !s.isOpen() {
		s.list = append(s.list, span{now, now})
	}
}

// isOpen reports whether a period is open. The lock must be held.
func (s *spans) isOpen() bool { return len(s.list) > 0 && s.list[len(s.list)-1].to.IsZero() }

// find returns the first period that has a part between two times.
func (s *spans) find(from, to time.Time) (span, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.list {
		if !p.from.After(to) && (p.to.IsZero() || !p.to.Before(from)) {
			return p, true
		}
	}
	return span{}, false
}

// lostRequests returns the requests that a daemon lost without an unplanned fault: one that a sound target ran got no complete
// response; or, while the daemon was stopping, a response of its own while the target was at work; or the daemon read one and
// closed the connection long after its arrival. Faults excuse the requests that were in progress at that daemon or target.
func (s *system) lostRequests(runs []standin.Run, results []callResult) []string {
	byID := map[string][]standin.Run{}
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	proxies := map[string]*proxy{}
	s.mu.Lock()
	for _, tg := range s.targets {
		proxies[tg.Name()] = tg.proxy
	}
	s.mu.Unlock()
	var lost []string
	for _, r := range results {
		if _, faulty := r.daemon.faults.find(r.sent, r.ended); faulty || r.refused {
			continue
		}
		if _, faulty := r.daemon.storeProxy.faults.find(r.sent, r.ended); faulty && r.keyed {
			continue // a disruption of the store excuses nothing for other requests
		}
		stop, stopping := r.daemon.stops.find(r.sent, r.ended)
		replaced := stopping && !r.signed && (r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout) &&
			r.ended.Before(r.sent.Add(r.timeout))
		loss := ""
		for _, run := range byID[r.id] {
			_, faulty := proxies[run.Server].faults.find(r.sent, r.ended)
			atWork := run.EndedAt.IsZero() || run.SenderDisconnected || run.EndedAt.After(r.ended)
			lastSixth := stopping && !r.sent.After(stop.from.Add(lateStart)) && atWork && r.ended.After(stop.from.Add(s.options.shutdown*5/6))
			switch {
			case faulty || run.Faulty || lastSixth:
			case r.status == 0:
				loss = "no complete response, but it ran at " + run.Server
			case replaced && atWork:
				loss = fmt.Sprintf("status %d of the daemon while %s was at work", r.status, run.Server)
			}
		}
		if len(byID[r.id]) == 0 && errors.Is(r.err, io.EOF) && r.ended.Sub(r.written) > lossSlack && !r.written.IsZero() {
			loss = "it was read and its connection closed"
		}
		if loss == "" {
			continue
		}
		since := "not stopping"
		if stopping {
			since = fmt.Sprintf("sent %s after SIGTERM", r.sent.Sub(stop.from).Round(time.Millisecond))
		}
		lost = append(lost, fmt.Sprintf("request %s is lost after %s (kept connection: %t, %s): %s (%v)",
			r.id, r.ended.Sub(r.sent).Round(time.Millisecond), r.kept, since, loss, r.err))
		s.t.Logf("%s at %s:\n%s", r.id, r.ended.Format(time.RFC3339Nano), r.daemon.logLines(r.id))
	}
	return lost
}

// isRefused reports whether a request failed before it had a connection.
func isRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// logLines returns the lines of the daemon's log about a request.
func (d *daemon) logLines(id string) string {
	text, err := os.ReadFile(d.logs.Name())
	if err != nil {
		return err.Error()
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `"`+id+`"`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// TestLostRequests checks what lostRequests finds. Times are in milliseconds after the sending of the request.
func TestLostRequests(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	run := func(from, to int) []standin.Run {
		return []standin.Run{{ID: "r", Server: "target", StartedAt: at(from), EndedAt: at(to)}}
	}
	faulty := run(10, 900)
	faulty[0].Faulty = true
	stop := []span{{from: at(-1000), to: at(9000)}}
	lateStop := []span{{from: at(-4000), to: at(6000)}}
	tests := []struct {
		name                                       string
		status, ended                              int
		signed, refused, keyed                     bool
		err                                        error
		runs                                       []standin.Run
		stops, daemonFaults, storeFaults, tgFaults []span
		want                                       int
	}{
		{name: "served", status: 200, signed: true, ended: 1000, runs: run(10, 900)},
		{name: "cut", ended: 1000, err: io.EOF, runs: run(10, 900), want: 1},
		{name: "not run", ended: 1000, err: io.ErrUnexpectedEOF},
		{name: "refused", ended: 1, refused: true, runs: run(10, 900)},
		{name: "read and closed", ended: 400, err: io.EOF, want: 1},
		{name: "crossed the closing", ended: 100, err: io.EOF},
		{name: "cut by the target", ended: 1000, err: io.EOF, runs: faulty},
		{name: "cut while the daemon was paused", ended: 1000, err: io.EOF, runs: run(10, 900), daemonFaults: []span{{from: at(500), to: at(600)}}},
		{name: "cut after a pause of the daemon", ended: 1000, err: io.EOF, runs: run(10, 900), daemonFaults: []span{{from: at(-500), to: at(-1)}}, want: 1},
		{name: "cut while the target was out of reach", ended: 1000, err: io.EOF, runs: run(10, 900), tgFaults: []span{{from: at(990)}}},
		{name: "cut after a fault of the target", ended: 1000, err: io.EOF, runs: run(10, 900), tgFaults: []span{{from: at(-2), to: at(-1)}}, want: 1},
		{name: "cut without the store", ended: 1000, err: io.EOF, runs: run(10, 900), storeFaults: []span{{from: at(-2)}}, want: 1},
		{name: "keyed, cut without the store", keyed: true, ended: 1000, err: io.EOF, runs: run(10, 900), storeFaults: []span{{from: at(-2)}}},
		{name: "replaced", status: 502, ended: 1000, runs: run(10, 1100), stops: stop, want: 1},
		{name: "replaced outside a stop", status: 502, ended: 1000, runs: run(10, 1100)},
		{name: "failure of the target", status: 502, signed: true, ended: 1000, runs: run(10, 1100), stops: stop},
		{name: "failed after the work", status: 502, ended: 1000, runs: run(10, 900), stops: stop},
		{name: "deadline passed", status: 504, ended: 8001, runs: run(10, 8500), stops: stop},
		{name: "last sixth", status: 504, ended: 7500, runs: run(10, 8000), stops: stop},
		{name: "last sixth, sent late", status: 504, ended: 5000, runs: run(10, 8000), stops: lateStop, want: 1},
	}
	noLogs, err := os.Open(os.DevNull) // reading a pipe, as os.Stderr may be, does not end
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = noLogs.Close() }()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &daemon{logs: noLogs, storeProxy: &proxy{}}
			p := &proxy{}
			d.stops.list, d.faults.list, d.storeProxy.faults.list, p.faults.list = test.stops, test.daemonFaults, test.storeFaults, test.tgFaults
			srv, err := standin.StartServer(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:1"), standin.ServerOptions{Name: "target"})
			qt.Assert(t, err, qt.IsNil)
			defer srv.Stop()
			s := &system{t: t, options: plannedSystem, targets: []*target{{Server: srv, proxy: p}}}
			r := callResult{
				call: call{id: "r", timeout: 8 * time.Second, keyed: test.keyed}, daemon: d, sent: at(0), written: at(1), ended: at(test.ended),
				status: test.status, signed: test.signed, refused: test.refused, err: test.err,
			}
			qt.Check(t, s.lostRequests(test.runs, []callResult{r}), qt.HasLen, test.want)
		})
	}
}
