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
	"strings"
	"sync"
	"sync/atomic"
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
	keyedService   = "stock"
	depositService = "deposits"
)

// systemOptions are the sizes of a system and the settings that differ between runs.
type systemOptions struct {
	hosts       int
	targetPairs int // pairs of targets of one service; the services alternate
	slots       int // of each target
	// direct makes the daemons reach the targets without proxies, which buffer what a target does not read.
	direct   bool
	shutdown time.Duration
	// cpuShare is the CPU time of each daemon, in cores.
	cpuShare     float64
	routeTimeout time.Duration
	idleTimeout  time.Duration
}

var defaultSystem = systemOptions{
	hosts: 4, targetPairs: 4, slots: 4, shutdown: 6 * time.Second, cpuShare: 1, routeTimeout: 2 * time.Second, idleTimeout: 15 * time.Second,
}

func TestMain(m *testing.M) { programs.Main(m) }

// daemon is the process of one host. It reaches the store through a proxy.
type daemon struct {
	mu               sync.Mutex
	name             string
	settingsFile     string
	environment      []string // of the process, beside that of the test
	logs             *os.File
	entryAddress     netip.AddrPort
	readinessAddress netip.AddrPort
	storeProxy       *proxy
	cmd              *exec.Cmd
	exited           chan struct{}
	paused           bool
	faults           spans       // pauses, and the times from a kill to the next start
	stops            spans       // from SIGTERM to the end of the process
	restarting       sync.Mutex  // held during a planned restart
	starting         atomic.Bool // a SIGHUP might end the process before it handles signals
	starts           int         // plus the daemon's number, so that neighbours run different builds
}

// target is a stand-in target that is reached through a proxy.
type target struct {
	*standin.Server
	proxy   *proxy
	service string
	stopped bool
}

// system is the platform, the daemons and the targets of one run.
type system struct {
	t               *testing.T
	options         systemOptions
	random          *rand.Rand
	dir             string
	platform        *exec.Cmd
	platformAddress netip.AddrPort
	client          *platform.Client
	daemons         []*daemon
	mu              sync.Mutex
	targets         []*target
	idleTimeout     time.Duration // of the latest configuration
	stoppedRuns     []standin.Run // of stopped targets
	rateLimits      []rateLimit
	configVersion   int
	targetCount     int
	results         callerResults
}

func newSystem(t *testing.T, seed uint64, o systemOptions) *system {
	s := &system{
		t: t, options: o, random: rand.New(rand.NewPCG(seed, 3)), dir: t.ArtifactDir(), platformAddress: ports.Free(t), idleTimeout: o.idleTimeout,
	}
	s.platform = exec.Command(programs.Path(t, "redwingtally-standin"), "platform", "--era", "1", "--address", s.platformAddress.String())
	qt.Assert(t, s.platform.Start(), qt.IsNil)
	t.Cleanup(func() { _ = s.platform.Process.Kill(); _ = s.platform.Wait() })
	s.client = platform.NewClient(s.platformAddress)
	s.eventually("platform", func() bool { _, _, err := s.client.List(context.Background(), "config"); return err == nil })
	for i := range o.targetPairs {
		s.addTarget([]string{keyedService, depositService}[i%2])
		s.addTarget([]string{keyedService, depositService}[i%2])
	}
	s.configure()
	for i := range o.hosts {
		s.addDaemon(fmt.Sprint("host-", i))
	}
	for _, d := range s.daemons {
		s.eventually(d.name+" is ready", func() bool { return d.isReady() })
	}
	return s
}

func (s *system) addTarget(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetCount++
	backend := ports.Free(s.t)
	p, err := startProxy(backend)
	qt.Assert(s.t, err, qt.IsNil)
	advertised := p.address()
	if s.options.direct {
		advertised = backend
	}
	srv, err := standin.StartServer(backend, s.platformAddress, standin.ServerOptions{
		Name: fmt.Sprintf("%s-%d", service, s.targetCount), Service: service, Keyed: service == keyedService, Slots: s.options.slots, Advertise: advertised,
	})
	qt.Assert(s.t, err, qt.IsNil)
	s.targets = append(s.targets, &target{Server: srv, proxy: p, service: service})
	s.t.Cleanup(p.stop)
}

// stopTarget stops a target, with or without a preceding drain, and deletes its
// entry.
func (s *system) stopTarget(tg *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tg.stopped {
		return
	}
	tg.stopped = true
	tg.proxy.faults.mark()
	tg.Stop()
	s.stoppedRuns = append(s.stoppedRuns, tg.Runs()...)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := tg.Deregister(ctx); err != nil {
		s.t.Logf("delete the entry of a stopped target: %v", err)
	}
}

// restartTarget stops a target and starts it again under its name and address. Its entry shows the earlier start for up
// to registrationDelay.
func (s *system) restartTarget(tg *target, registrationDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tg.stopped {
		return
	}
	tg.stopped = true
	backend := tg.Address()
	tg.proxy.faults.mark()
	tg.Stop()
	s.stoppedRuns = append(s.stoppedRuns, tg.Runs()...)
	srv, err := standin.StartServer(backend, s.platformAddress, standin.ServerOptions{
		Name: tg.Name(), Service: tg.service, Keyed: tg.service == keyedService, Slots: s.options.slots, Advertise: tg.proxy.address(),
		RegistrationDelay: registrationDelay,
	})
	qt.Assert(s.t, err, qt.IsNil)
	s.targets = append(s.targets, &target{Server: srv, proxy: tg.proxy, service: tg.service})
}

// writeForeignEntries writes entries of a service that is not configured, at the addresses of running targets, and deletes each
// after a while, until ctx ends. It draws from its own source, so that a seed keeps its faults.
func (s *system) writeForeignEntries(ctx context.Context, random *rand.Rand) {
	const name = "node-agent-1"
	for ctx.Err() == nil {
		s.mu.Lock()
		address := s.targets[random.IntN(len(s.targets))].proxy.address()
		s.mu.Unlock()
		entry, err := platform.EncodeTarget(platform.Target{Name: name, StartedAt: time.Now(), Service: "node-agent", Address: address, Slots: 1}, 1)
		if err != nil {
			s.results.addViolationf("foreign entry: %v", err)
			return
		}
		_, _ = s.client.Put(ctx, platform.KindTargets, name, entry, platform.Unconditional()) // the next round repeats it
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(500+random.IntN(2500)) * time.Millisecond):
		}
		_ = s.client.Delete(ctx, platform.KindTargets, name, platform.Unconditional())
	}
}

// configure writes a configuration with the next version. Its third route has the
// version in its prefix, so that awaitRecovery can check that it is in force.
func (s *system) configure() {
	s.configVersion++
	route := func(service, prefix string, repeat platform.ExecutionSemantics) platform.Route {
		return platform.Route{
			Name: prefix, Host: "quotes.example", Prefix: prefix, Repeat: repeat, Timeout: s.options.routeTimeout,
			Objective: 300 * time.Millisecond, Rank: 1, Attempts: 2, Shares: []platform.WeightedService{{Service: service, Weight: 1}},
		}
	}
	value, err := platform.EncodeConfiguration(&platform.Configuration{
		Version: uint64(s.configVersion),
		Routes: []platform.Route{
			route(keyedService, "/stock/", platform.Idempotent), route(depositService, "/deposit/", platform.AtMostOnce),
			route(depositService, fmt.Sprintf("/v%d/", s.configVersion), platform.Idempotent),
		},
		Services: []platform.Service{
			{Name: keyedService, HealthPath: "/health", MaxConnections: 100, Keyed: true, Warmup: time.Second},
			{Name: depositService, HealthPath: "/health", MaxConnections: 100},
		},
		Limits: platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: s.idleTimeout},
	})
	qt.Assert(s.t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := s.client.Put(ctx, platform.KindConfiguration, platform.NameConfiguration, value, platform.Unconditional()); err != nil {
		s.t.Logf("configuration %d was not acknowledged: %v", s.configVersion, err)
	}
}

func (s *system) addDaemon(name string) {
	p, err := startProxy(s.platformAddress)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(p.stop)
	d := &daemon{name: name, starts: len(s.daemons), entryAddress: ports.Free(s.t), readinessAddress: ports.Free(s.t), storeProxy: p, settingsFile: filepath.Join(s.dir, name+".yaml")}
	text := fmt.Sprintf("host: %s\ndata_centre: leicester\nentry_address: %s\nready_address: %s\ncontrol_address: %s\nmetrics_address: %s\nstore_address: %s\nshutdown: %s\ncpu_share: %g\n",
		name, d.entryAddress, d.readinessAddress, ports.Free(s.t), ports.Free(s.t), p.address(), s.options.shutdown, s.options.cpuShare)
	qt.Assert(s.t, os.WriteFile(d.settingsFile, []byte(text), 0o600), qt.IsNil)
	d.logs, err = os.Create(filepath.Join(s.dir, name+".log"))
	qt.Assert(s.t, err, qt.IsNil)
	if s.options.cpuShare < 1 {
		d.environment = []string{"GOMAXPROCS=1"} // the platform reports one core
	}
	s.daemons = append(s.daemons, d)
	d.start(s.t)
	s.t.Cleanup(func() { d.kill(); _ = d.logs.Close() })
}

func (d *daemon) start(t *testing.T) {
	path := programs.Path(t, "redwingtally-edge")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.starts++; *previous != "" && d.starts%2 == 0 {
		path = *previous
	}
	d.cmd = exec.Command(path, "--settings", d.settingsFile)
	d.cmd.Env = append(os.Environ(), d.environment...)
	d.cmd.Stdout, d.cmd.Stderr = d.logs, d.logs
	qt.Assert(t, d.cmd.Start(), qt.IsNil)
	cmd, done := d.cmd, make(chan struct{})
	d.exited, d.paused = done, false
	d.faults.end()
	go func() { _ = cmd.Wait(); d.stops.end(); close(done) }()
}

// signal sends sig to the daemon's process.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch sig {
	case syscall.SIGSTOP, syscall.SIGKILL:
		d.faults.begin()
	case syscall.SIGTERM:
		d.stops.begin()
	}
	_ = d.cmd.Process.Signal(sig) // fails only if the process has ended
	if sig == syscall.SIGCONT {
		d.faults.end()
	}
	d.paused = sig == syscall.SIGSTOP || d.paused && sig != syscall.SIGCONT
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.readinessAddress.String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually polls f until it returns true and fails the test after 20 s, with the
// ends of the daemons' logs.
func (s *system) eventually(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if f() {
			return
		}
		time.Sleep(20 * time.Millisecond) // polling interval
	}
	for _, d := range s.daemons {
		s.t.Logf("%s: %s", d.name, d.logTail())
	}
	s.t.Fatalf("condition not met within 20 s: %s", what)
}

// logTail returns the end of the daemon's log.
func (d *daemon) logTail() string {
	const length = 2000 // bytes, about ten lines
	text, err := os.ReadFile(d.logs.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-length):])
}

// logCoordination logs what the daemons wrote about the owners of keys, and when they started and stopped.
func (s *system) logCoordination() {
	for _, d := range s.daemons {
		text, err := os.ReadFile(d.logs.Name())
		if err != nil {
			s.t.Logf("%s: %v", d.name, err)
			continue
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if strings.Contains(line, `"coordination: `) || strings.Contains(line, `"store: Restored`) || strings.Contains(line, `"edge: St`) {
				s.t.Log(line)
			}
		}
	}
}
