package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/internal/programs"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

const (
	hosts       = 4
	servers     = 4
	keyedName   = "stock"
	depositName = "deposits"
)

func TestMain(m *testing.M) { programs.Main(m) }

// daemon is one host's process and its way to the store.
type daemon struct {
	mu       sync.Mutex
	name     string
	settings string
	logs     *os.File
	entry    netip.AddrPort
	ready    netip.AddrPort
	store    *proxy
	cmd      *exec.Cmd
	done     chan struct{}
	paused   bool
}

// server is a stand-in target behind a proxy.
type server struct {
	*standin.Server
	proxy   *proxy
	service string
	stopped bool
}

// system is what a soak run plays with.
type system struct {
	t        *testing.T
	random   *rand.Rand
	dir      string
	platform *exec.Cmd
	address  netip.AddrPort
	store    *platform.Client
	daemons  []*daemon
	mu       sync.Mutex
	servers  []*server
	ended    []standin.Run // of servers that were stopped
	version  int
	names    int
	seen     seen
}

func newSystem(t *testing.T, seed uint64) *system {
	s := &system{t: t, random: rand.New(rand.NewPCG(seed, 3)), dir: t.TempDir(), address: ports.Free(t)}
	s.platform = exec.Command(programs.Path(t, "redwingtally-standin"), "platform", "--address", s.address.String())
	qt.Assert(t, s.platform.Start(), qt.IsNil)
	t.Cleanup(func() { _ = s.platform.Process.Kill(); _ = s.platform.Wait() })
	s.store = platform.NewClient(s.address)
	s.eventually("platform", func() bool { _, _, err := s.store.List(context.Background(), "config"); return err == nil })
	for i := range servers {
		s.addServer([]string{keyedName, depositName}[i%2])
		s.addServer([]string{keyedName, depositName}[i%2])
	}
	s.configure()
	for i := range hosts {
		s.addDaemon(fmt.Sprint("host-", i))
	}
	for _, d := range s.daemons {
		s.eventually(d.name+" is ready", func() bool { return d.isReady() })
	}
	return s
}

func (s *system) addServer(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names++
	backend := ports.Free(s.t)
	p, err := startProxy(backend)
	qt.Assert(s.t, err, qt.IsNil)
	srv, err := standin.StartServer(backend, s.address, standin.ServerOptions{
		Name: fmt.Sprintf("%s-%d", service, s.names), Service: service, Keyed: service == keyedName, Slots: 4, Advertise: p.address(),
	})
	qt.Assert(s.t, err, qt.IsNil)
	s.servers = append(s.servers, &server{Server: srv, proxy: p, service: service})
	s.t.Cleanup(p.stop)
}

// stopServer crashes a server, or lets one that drained leave.
func (s *system) stopServer(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.stopped {
		return
	}
	v.stopped = true
	v.Stop()
	s.ended = append(s.ended, v.Runs()...)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := v.Leave(ctx); err != nil {
		s.t.Logf("entry of a stopped server stays: %v", err)
	}
}

// configure writes the next configuration.
func (s *system) configure() {
	s.version++
	route := func(service, prefix string, repeat platform.ExecutionSemantics) platform.Route {
		return platform.Route{
			Name: prefix, Host: "quotes.example", Prefix: prefix, Repeat: repeat, Timeout: 2 * time.Second,
			Objective: 300 * time.Millisecond, Rank: 1, Attempts: 2, Shares: []platform.WeightedService{{Service: service, Weight: 1}},
		}
	}
	value, err := platform.EncodeConfiguration(&platform.Configuration{
		Version: uint64(s.version),
		Routes: []platform.Route{
			route(keyedName, "/stock/", platform.Idempotent), route(depositName, "/deposit/", platform.AtMostOnce),
			route(depositName, fmt.Sprintf("/v%d/", s.version), platform.Idempotent),
		},
		Services: []platform.Service{
			{Name: keyedName, HealthPath: "/health", MaxConnections: 100, Keyed: true, Warmup: time.Second},
			{Name: depositName, HealthPath: "/health", MaxConnections: 100},
		},
		Limits: platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	qt.Assert(s.t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := s.store.Put(ctx, platform.KindConfiguration, platform.NameConfiguration, value, platform.Unconditional()); err != nil {
		s.t.Logf("configuration %d was not acknowledged: %v", s.version, err)
	}
}

func (s *system) addDaemon(name string) {
	p, err := startProxy(s.address)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(p.stop)
	d := &daemon{name: name, entry: ports.Free(s.t), ready: ports.Free(s.t), store: p, settings: filepath.Join(s.dir, name+".yaml")}
	text := fmt.Sprintf("host: %s\ndata_centre: leicester\nentry_address: %s\nready_address: %s\ncontrol_address: %s\nmetrics_address: %s\nstore_address: %s\nshutdown: 6s\n",
		name, d.entry, d.ready, ports.Free(s.t), ports.Free(s.t), p.address())
	qt.Assert(s.t, os.WriteFile(d.settings, []byte(text), 0o600), qt.IsNil)
	d.logs, err = os.Create(filepath.Join(s.dir, name+".log"))
	qt.Assert(s.t, err, qt.IsNil)
	s.daemons = append(s.daemons, d)
	d.start(s.t)
	s.t.Cleanup(func() { d.kill(); _ = d.logs.Close() })
}

func (d *daemon) start(t *testing.T) {
	path := programs.Path(t, "redwingtally-edge")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = exec.Command(path, "--settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.logs, d.logs
	qt.Assert(t, d.cmd.Start(), qt.IsNil)
	cmd, done := d.cmd, make(chan struct{})
	d.done, d.paused = done, false
	go func() { _ = cmd.Wait(); close(done) }()
}

// signal sends a signal to the process, by its id.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(sig) // a process that has ended needs none
	d.paused = sig == syscall.SIGSTOP || d.paused && sig != syscall.SIGCONT
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.done
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready.String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *system) eventually(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if f() {
			return
		}
		time.Sleep(20 * time.Millisecond) // polls a condition of running processes
	}
	for _, d := range s.daemons {
		s.t.Logf("%s: %s", d.name, d.tail())
	}
	s.t.Fatalf("%s: not within 20 s", what)
}

// tail returns the end of the daemon's log.
func (d *daemon) tail() string {
	const length = 2000 // bytes, some ten lines
	text, err := os.ReadFile(d.logs.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-length):])
}
