package edge_test

import (
	"context"
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

// patience is how long the rig's callers say that they wait.
const patience = 2 * time.Second

// settleTime ends a test that hangs; it is no measure of the system.
const settleTime = 20 * time.Second

// rig is a stand-in platform, servers and daemons in one process.
type rig struct {
	tb       testing.TB
	platform *standin.Platform
	store    *platform.Client
	edges    []*edge.Edge
	settings []settings.Edge
	version  uint64
	requests atomic.Int64
}

func newRig(tb testing.TB, hosts int) *rig {
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{})
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	r := &rig{tb: tb, platform: p, store: platform.NewClient(p.Address())}
	for i := range hosts {
		r.addEdge(fmt.Sprint("host-", i))
	}
	return r
}

func (r *rig) addEdge(name string) {
	s := settings.Edge{
		Host: name, DataCentre: "leicester",
		EntryAddress: ports.Free(r.tb), ReadyAddress: ports.Free(r.tb), ControlAddress: ports.Free(r.tb),
		MetricsAddress: ports.Free(r.tb), StoreAddress: r.platform.Address(), MemoryMB: 256, CPUShare: 1,
		Drain: 2 * time.Second, Shutdown: 6 * time.Second, RetryRatio: 0.2, RetryExtra: 40, RetryWindow: 10 * time.Second,
	}
	e, err := edge.New(s, slog.New(slog.DiscardHandler))
	qt.Assert(r.tb, err, qt.IsNil)
	e.BeginEarlier()
	ctx, cancel := context.WithCancel(context.Background())
	r.tb.Cleanup(cancel)
	qt.Assert(r.tb, e.Start(ctx), qt.IsNil)
	r.edges, r.settings = append(r.edges, e), append(r.settings, s)
}

func (r *rig) server(o standin.ServerOptions) *standin.Server {
	s, err := standin.StartServer(netip.MustParseAddrPort("127.0.0.1:0"), r.platform.Address(), o)
	qt.Assert(r.tb, err, qt.IsNil)
	r.tb.Cleanup(s.Stop)
	return s
}

// configure writes the next configuration.
func (r *rig) configure(routes []platform.Route, services ...platform.Service) {
	r.version++
	value, err := platform.EncodeConfiguration(&platform.Configuration{
		Version: r.version, Routes: routes, Services: services,
		Limits: platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	qt.Assert(r.tb, err, qt.IsNil)
	_, err = r.store.Put(context.Background(), platform.KindConfiguration, platform.NameConfiguration, value, platform.Unconditional())
	qt.Assert(r.tb, err, qt.IsNil)
}

// route returns a route of the rig's callers; change adapts it.
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

func plain(name string) platform.Service {
	return platform.Service{Name: name, HealthPath: "/health", MaxConnections: 100}
}

func keyed(name string) platform.Service {
	s := plain(name)
	s.Keyed, s.Warmup = true, time.Second
	return s
}

// call is one request of a caller.
type call struct {
	host    int
	method  string
	path    string
	key     *uint16
	body    string
	headers map[string]string
	noID    bool
	chunked bool // the body is sent without a length
	timeout time.Duration
}

func key(k uint16) *uint16 { return &k }

type answer struct {
	id     string
	status int
	header http.Header
	body   string
	close  bool // the host closes the connection
	err    error
}

func (r *rig) do(c call) answer {
	if c.method == "" {
		c.method = http.MethodGet
	}
	if c.timeout == 0 {
		c.timeout = 3 * time.Second
	}
	id := fmt.Sprintf("request-%d", r.requests.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+r.settings[c.host].EntryAddress.String()+c.path, strings.NewReader(c.body))
	qt.Assert(r.tb, err, qt.IsNil)
	if c.chunked {
		req.ContentLength = -1
	}
	req.Host = "quotes.example"
	said := platform.RequestMeta{ID: id, Timeout: patience}
	if c.noID {
		said.ID = ""
	}
	if c.key != nil {
		said.Key, said.HasKey = *c.key, true
	}
	platform.SetRequestMeta(req.Header, said)
	for name, value := range c.headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{id: id, status: resp.StatusCode, header: resp.Header, body: string(body), close: resp.Close, err: err}
}

// eventually waits until f holds.
func (r *rig) eventually(what string, f func() bool) {
	r.tb.Helper()
	for end := time.Now().Add(settleTime); time.Now().Before(end); {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond) // polls a condition of running servers
	}
	r.tb.Fatalf("%s: not within %s", what, settleTime)
}

func (r *rig) ready(host int) int {
	resp, err := http.Get("http://" + r.settings[host].ReadyAddress.String() + platform.ReadyPath)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func runsOf(servers ...*standin.Server) map[string]int {
	out := map[string]int{}
	for _, s := range servers {
		for _, run := range s.Runs() {
			out[run.ID]++
		}
	}
	return out
}
