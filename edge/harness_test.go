package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/edge"
	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/settings"
)

// callerTimeout is the timeout that callers of the harness state in their requests.
const callerTimeout = 2 * time.Second

// pollTimeout bounds the polling of a condition in a test that hangs.
const pollTimeout = 20 * time.Second

// harness runs a stand-in platform, stand-in targets and daemons in one process.
type harness struct {
	tb       testing.TB
	platform *standin.Platform
	store    *platform.Client
	edges    []*edge.Edge
	settings []settings.Edge
	version  uint64
	requests atomic.Int64
	cancels  []context.CancelFunc // end the background work of each host
	stopped  atomic.Int64         // 1 + index of the host that stopCoordinator stopped

	retryRatio, retryExtra float64 // limits of the retry budget

	evacuate  time.Duration    // the setting of the hosts
	relayless bool             // the hosts do not relay requests
	networked bool             // the hosts reach the targets through networks
	networks  []*targetNetwork // by host; empty unless networked
}

// newHarness starts a harness with the given number of hosts, modified by change.
func newHarness(tb testing.TB, hosts int, change ...func(*harness)) *harness {
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{Era: 1})
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	h := &harness{tb: tb, platform: p, store: platform.NewClient(p.Address()), retryRatio: 0.2, retryExtra: 40}
	for _, f := range change {
		f(h)
	}
	for i := range hosts {
		h.addEdge(fmt.Sprint("host-", i))
	}
	return h
}

// addEdge starts another host.
func (h *harness) addEdge(name string) {
	s := settings.Edge{
		Host: name, DataCentre: "leicester",
		EntryAddress: ports.Free(h.tb), ReadyAddress: ports.Free(h.tb), ControlAddress: ports.Free(h.tb),
		MetricsAddress: ports.Free(h.tb), RelayAddress: ports.Free(h.tb), StoreAddress: h.platform.Address(), MemoryMB: 256, CPUShare: 1,
		Drain: 2 * time.Second, Shutdown: 6 * time.Second, RetryRatio: h.retryRatio, RetryExtra: h.retryExtra, RetryWindow: 10 * time.Second,
		Evacuate: h.evacuate, ColdOver: 1.5, ColdSlack: 8,
	}
	if h.relayless {
		s.RelayAddress = netip.AddrPort{}
	}
	e, err := edge.New(s, slog.New(slog.DiscardHandler))
	qt.Assert(h.tb, err, qt.IsNil)
	e.BackdateStart()
	if h.networked {
		network := newTargetNetwork(h.tb)
		e.SetDialTarget(network.dial)
		h.networks = append(h.networks, network)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.tb.Cleanup(cancel)
	qt.Assert(h.tb, e.Start(ctx), qt.IsNil)
	h.edges, h.settings, h.cancels = append(h.edges, e), append(h.settings, s), append(h.cancels, cancel)
}

// stopCoordinator ends the background work of the host that coordinates, without a resignation. It gets
// no further requests of callers.
func (h *harness) stopCoordinator() {
	for i, e := range h.edges {
		if e.Coordinates() {
			h.stopped.Store(int64(i + 1))
			h.cancels[i]()
		}
	}
}

// replaceHosts ends the background work of all hosts and starts as many others without any state.
func (h *harness) replaceHosts() {
	n := len(h.edges)
	for _, cancel := range h.cancels {
		cancel()
	}
	h.edges, h.settings, h.cancels, h.networks = nil, nil, nil, nil
	for i := range n {
		h.addEdge(fmt.Sprint("other-", i))
	}
}

// server starts a stand-in target.
func (h *harness) server(o standin.ServerOptions) *standin.Server {
	s, err := standin.StartServer(netip.MustParseAddrPort("127.0.0.1:0"), h.platform.Address(), o)
	qt.Assert(h.tb, err, qt.IsNil)
	h.tb.Cleanup(s.Stop)
	return s
}

// put writes the entry of a target.
func (h *harness) put(name string, entry json.RawMessage) {
	_, err := h.store.Put(context.Background(), platform.KindTargets, name, entry, platform.Unconditional())
	qt.Assert(h.tb, err, qt.IsNil)
}

// configure writes a configuration with the next version.
func (h *harness) configure(routes []platform.Route, services ...platform.Service) {
	h.version++
	value, err := platform.EncodeConfiguration(&platform.Configuration{
		Version: h.version, Routes: routes, Services: services,
		Limits: platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	qt.Assert(h.tb, err, qt.IsNil)
	_, err = h.store.Put(context.Background(), platform.KindConfiguration, platform.NameConfiguration, value, platform.Unconditional())
	qt.Assert(h.tb, err, qt.IsNil)
}

// route returns a route for the harness's callers, modified by change.
func route(service, prefix string, repeat platform.ExecutionSemantics, change ...func(*platform.Route)) platform.Route {
	r := platform.Route{
		Name: prefix, Host: "quotes.example", Prefix: prefix, Repeat: repeat, Timeout: 2 * time.Second,
		Objective: 300 * time.Millisecond, Rank: 1, Attempts: 2, Shares: []platform.WeightedService{{Service: service, Weight: 1}},
	}
	for _, f := range change {
		f(&r)
	}
	return r
}

// plain returns a service that is not keyed.
func plain(name string) platform.Service {
	return platform.Service{Name: name, HealthPath: "/health", MaxConnections: 100}
}

// keyed returns a keyed service.
func keyed(name string) platform.Service {
	s := plain(name)
	s.Keyed, s.Warmup = true, time.Second
	return s
}

// call describes a request of a caller.
type call struct {
	host    int // index of the host that receives the request
	method  string
	path    string
	key     *uint16
	body    string
	headers map[string]string
	noID    bool // the request ID is omitted
	chunked bool // the body is sent without a length
	timeout time.Duration
}

func key(k uint16) *uint16 { return &k }

// response is the response to a call, or the error of the client.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	close  bool // the host closes the connection
	err    error
}

// do sends a request and reads the response.
func (h *harness) do(c call) response {
	if c.method == "" {
		c.method = http.MethodGet
	}
	if c.timeout == 0 {
		c.timeout = 3 * time.Second
	}
	id := fmt.Sprintf("request-%d", h.requests.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+h.settings[c.host].EntryAddress.String()+c.path, strings.NewReader(c.body))
	qt.Assert(h.tb, err, qt.IsNil)
	if c.chunked {
		req.ContentLength = -1
	}
	req.Host = "quotes.example"
	header := platform.RequestMeta{ID: id, Timeout: callerTimeout}
	if c.noID {
		header.ID = ""
	}
	if c.key != nil {
		header.Key, header.HasKey = *c.key, true
	}
	platform.SetRequestMeta(req.Header, header)
	for name, value := range c.headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{id: id, status: resp.StatusCode, header: resp.Header, body: string(body), close: resp.Close, err: err}
}

// eventually polls f until it returns true and fails the test after pollTimeout.
func (h *harness) eventually(what string, f func() bool) {
	h.tb.Helper()
	for end := time.Now().Add(pollTimeout); time.Now().Before(end); {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond) // polls a condition of running servers
	}
	h.tb.Fatalf("%s: condition not met within %s", what, pollTimeout)
}

// readyStatus returns the status of a host's readiness check, or 0 if it does not
// respond.
func (h *harness) readyStatus(host int) int {
	resp, err := http.Get("http://" + h.settings[host].ReadyAddress.String() + platform.ReadyPath)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// runCounts returns how often each request ran at the targets, by request ID.
func runCounts(servers ...*standin.Server) map[string]int {
	out := map[string]int{}
	for _, s := range servers {
		for _, run := range s.Runs() {
			out[run.ID]++
		}
	}
	return out
}
