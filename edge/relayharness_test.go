package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/relay"
)

// awaitRelays waits until every host knows all others as relays.
func (h *harness) awaitRelays() {
	for _, e := range h.edges {
		h.eventually("the other hosts are known as relays", func() bool { return e.Relays() == len(h.edges)-1 })
	}
}

// withoutRelays turns relaying off.
func withoutRelays(h *harness) { h.relayless = true }

// isolate ends the background work of a host, so that it keeps the relays that it knows.
func (h *harness) isolate(host int) { h.cancels[host]() }

// relayedCount returns how many requests a host has passed on ("sent") or has received from other hosts ("served"),
// with one of the given results or with any.
func (h *harness) relayedCount(host int, side string, results ...string) int {
	const name = "redwingtally_relayed_requests_total"
	if len(results) == 0 {
		return h.metric(host, name, `side="`+side+`"`)
	}
	n := 0
	for _, r := range results {
		n += h.metric(host, name, `side="`+side+`"`, `result="`+r+`"`)
	}
	return n
}

// doRelayed sends a request to a host as another host does, with what that one states.
func (h *harness) doRelayed(host int, stated relay.Request) response {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.settings[host].RelayAddress.String()+idempotentPath, http.NoBody)
	qt.Assert(h.tb, err, qt.IsNil)
	req.Host = "quotes.example"
	id := fmt.Sprintf("request-%d", h.requests.Add(1))
	platform.SetRequestMeta(req.Header, platform.RequestMeta{ID: id, Timeout: callerTimeout})
	stated.Set(req.Header)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(h.tb, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{id: id, status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// metric returns the sum of a host's metric over the series that have all the labels.
func (h *harness) metric(host int, name string, labels ...string) int {
	resp, err := http.Get("http://" + h.settings[host].MetricsAddress.String() + "/metrics")
	qt.Assert(h.tb, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	n := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		line, found := strings.CutPrefix(lines.Text(), name)
		series, value, _ := strings.Cut(line, " ")
		if !found || slices.ContainsFunc(labels, func(l string) bool { return !strings.Contains(series, l) }) {
			continue
		}
		if count, err := strconv.Atoi(value); err == nil {
			n += count
		}
	}
	return n
}

// relayHarness is a harness with an idempotent service and one whose requests run at most once. Its hosts know
// each other as relays.
type relayHarness struct {
	*harness
	servers []*standin.Server
}

// Paths of the services.
const (
	idempotentPath = "/holders/1"
	oncePath       = "/confirm/1"
	keyedPath      = "/keyed/1"
)

func newRelayHarness(tb testing.TB, hosts int, change ...func(*platform.Route)) *relayHarness {
	return fillRelayHarness(newHarness(tb, hosts), change...)
}

// newNetworkedRelayHarness is newRelayHarness for tests that cut hosts off from the targets.
func newNetworkedRelayHarness(tb testing.TB, hosts int, change ...func(*platform.Route)) *relayHarness {
	return fillRelayHarness(newHarness(tb, hosts, withTargetNetworks), change...)
}

func fillRelayHarness(plainHarness *harness, change ...func(*platform.Route)) *relayHarness {
	h := &relayHarness{harness: plainHarness}
	for _, o := range []standin.ServerOptions{
		{Name: "a", Service: "stock", Slots: 8}, {Name: "b", Service: "stock", Slots: 8},
		{Name: "d", Service: "deposits", Slots: 8}, {Name: "e", Service: "deposits", Slots: 8},
	} {
		h.servers = append(h.servers, h.server(o))
	}
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.Idempotent, change...), route("deposits", "/confirm/", platform.AtMostOnce, change...),
	}, plain("stock"), plain("deposits"))
	for host := range h.edges {
		h.waitServing(host, idempotentPath)
		h.waitServing(host, oncePath)
	}
	h.awaitRelays()
	return h
}

// openConnections makes a host hold idle connections to both targets of a path, on which the next request is sent at once.
func (h *relayHarness) openConnections(host int, path string) {
	var all sync.WaitGroup
	for range 12 { // one target has 8 slots
		all.Go(func() {
			h.do(call{host: host, path: path, headers: map[string]string{standin.ServiceTimeHeader: "200ms"}})
		})
	}
	all.Wait()
}

// addKeyed adds a keyed service.
func (h *relayHarness) addKeyed() {
	h.servers = append(h.servers, h.server(standin.ServerOptions{Name: "f", Service: "accounts", Slots: 8, Keyed: true}))
	h.configure([]platform.Route{
		route("stock", "/holders/", platform.Idempotent), route("deposits", "/confirm/", platform.AtMostOnce),
		route("accounts", "/keyed/", platform.AtMostOnce),
	}, plain("stock"), plain("deposits"), keyed("accounts"))
	for host := range h.edges {
		h.eventually("keyed", func() bool { return h.do(call{host: host, path: keyedPath, key: key(7)}).status == http.StatusOK })
	}
}

// runs returns how often a request ran.
func (h *relayHarness) runs(got response) int { return len(requestRuns(got.id, h.servers...)) }

// A countingProxy passes connections on and counts them. While it is frozen, it accepts connections and passes nothing on.
type countingProxy struct {
	address      netip.AddrPort
	open, opened atomic.Int64
	frozen       atomic.Bool
}

// pass copies from one connection to another one until the former ends.
func (p *countingProxy) pass(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for p.frozen.Load() {
			time.Sleep(5 * time.Millisecond) // polls
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func newCountingProxy(tb testing.TB, to netip.AddrPort) *countingProxy {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = ln.Close() })
	p := &countingProxy{address: netip.MustParseAddrPort(ln.Addr().String())}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			p.open.Add(1)
			p.opened.Add(1)
			go func() {
				defer p.open.Add(-1)
				defer func() { _ = near.Close() }()
				far, err := net.Dial("tcp4", to.String())
				if err != nil {
					return
				}
				defer func() { _ = far.Close() }()
				go p.pass(near, far)
				p.pass(far, near) // ends when the sender closes the connection
			}()
		}
	}()
	return p
}

// recordingTarget starts a target that sends the headers of each request to the result.
func (h *harness) recordingTarget(name, service string) chan http.Header {
	received := make(chan http.Header, 100)
	h.handlerTarget(name, service, func(_ http.ResponseWriter, r *http.Request) { received <- r.Header })
	return received
}

// handlerTarget starts a target whose responses f writes. They have the headers of a target unless f changes them.
func (h *harness) handlerTarget(name, service string, f http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platform.SetResponseMeta(w.Header(), name, platform.ResponseMeta{ID: platform.ReadRequestMeta(r.Header).ID, Signed: true})
		f(w, r)
	}))
	h.tb.Cleanup(server.Close)
	entry, err := platform.EncodeTarget(platform.Target{
		Name: name, StartedAt: time.Now(), Service: service, Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 64,
	}, 1)
	qt.Assert(h.tb, err, qt.IsNil)
	h.put(name, entry)
}
