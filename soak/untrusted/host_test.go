package untrusted

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
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
	// memoryMB is the memory of the daemon, which its resident memory must not exceed.
	memoryMB = 64
	// maxBodyBytes is the limit on bodies in the configuration.
	maxBodyBytes = 8 << 20
	// maxHeaderBytes is the limit on headers in the configuration.
	maxHeaderBytes = 16 << 10
	// maxDescriptors bounds the open descriptors of the daemon.
	maxDescriptors = 512
	// connectionsPerMB are the connections that a daemon serves at most by its memory, and ownDescriptors all others that it
	// has open while more callers connect.
	connectionsPerMB = 8
	ownDescriptors   = 64
	// routeTimeout is the time for which requests may wait. The crowd's requests last for the whole of a test.
	routeTimeout = 60 * time.Second
	// hangTimeout is the time after which a test counts as hanging.
	hangTimeout = 40 * time.Second
	// callerTimeout is the longest time for which ordinary callers wait.
	callerTimeout = 8 * time.Second

	crowdPath, ordinaryPath = "/crowd/", "/ordinary/"
	crowdService            = "crowd"
	ordinaryService         = "ordinary"
	manySlots               = 1000 // of a target that refuses nothing
)

func TestMain(m *testing.M) { programs.Main(m) }

// A host is a daemon in its own process, with the platform and two targets in the test's process. The targets serve
// different services.
type host struct {
	t      *testing.T
	entry  netip.AddrPort
	memory int // of the daemon in megabytes
	bound  int // of the open descriptors
	logs   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// hostOptions are what differs between the hosts of the tests.
type hostOptions struct {
	descriptors int // that the process may open; 0 leaves the limit as it is
	slots       int // of the crowd's target; 0 means manySlots
	// timeout is the time for which requests of both routes may wait; 0 means routeTimeout.
	timeout time.Duration
	// respond makes the crowd's target respond with a stream of so many bytes.
	respond int
	// memory is that of the daemon in megabytes; 0 means memoryMB.
	memory int
	// full is set if more callers connect than the daemon serves.
	full bool
}

// startHost starts a host.
func startHost(t *testing.T, o hostOptions) *host {
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{Era: 1})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = p.Stop(ctx)
	})
	h := &host{t: t, entry: ports.Free(t), memory: cmp.Or(o.memory, memoryMB), bound: maxDescriptors, exited: make(chan struct{})}
	if o.full {
		h.bound = h.memory*connectionsPerMB + ownDescriptors
	}
	startTarget(t, p, ordinaryService, manySlots)
	if o.respond > 0 {
		startStreamingTarget(t, p, o.respond)
	} else {
		startTarget(t, p, crowdService, cmp.Or(o.slots, manySlots))
	}
	configure(t, p, cmp.Or(o.timeout, routeTimeout))
	dir := t.ArtifactDir()
	settings, logs := filepath.Join(dir, "host.yaml"), filepath.Join(dir, "host.log")
	text := fmt.Sprintf("host: host-0\ndata_centre: leicester\nentry_address: %s\nready_address: %s\ncontrol_address: %s\nmetrics_address: %s\nstore_address: %s\nmemory_mb: %d\n",
		h.entry, ports.Free(t), ports.Free(t), ports.Free(t), p.Address(), h.memory)
	qt.Assert(t, os.WriteFile(settings, []byte(text), 0o600), qt.IsNil)
	file, err := os.Create(logs)
	qt.Assert(t, err, qt.IsNil)
	h.logs = logs
	program := programs.Path(t, "redwingtally-edge")
	h.cmd = exec.Command(program, "--settings", settings)
	if o.descriptors > 0 {
		h.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, o.descriptors), program, "--settings", settings)
	}
	h.cmd.Env = append(os.Environ(), "GOMAXPROCS=1") // hosts have less than a core
	h.cmd.Stdout, h.cmd.Stderr = file, file
	keepDescriptors(t)
	qt.Assert(t, h.cmd.Start(), qt.IsNil)
	go func() { _ = h.cmd.Wait(); close(h.exited) }()
	t.Cleanup(func() { _ = h.cmd.Process.Kill(); <-h.exited; _ = file.Close() })
	for end := time.Now().Add(hangTimeout); h.ordinary() != nil; time.Sleep(50 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("host does not serve: %s", h.logTail()))
	}
	return h
}

// slowDown lets the daemon run for a share of the time only, until the test ends. Hosts have as little as 0.12 cores.
func (h *host) slowDown(share float64) {
	const period = 100 * time.Millisecond
	running := time.Duration(share * float64(period))
	stop, stopped := make(chan struct{}), make(chan struct{})
	h.t.Cleanup(func() { close(stop); <-stopped })
	go func() {
		defer close(stopped)
		for {
			_ = h.cmd.Process.Signal(syscall.SIGCONT) // fails once the process has ended, which a check reports
			time.Sleep(running)
			_ = h.cmd.Process.Signal(syscall.SIGSTOP)
			select {
			case <-stop:
				_ = h.cmd.Process.Signal(syscall.SIGCONT)
				return
			case <-time.After(period - running):
			}
		}
	}()
}

// keepDescriptors keeps the daemon from inheriting descriptors of the test's process: stand-ins of earlier tests leave sockets
// that are not closed on exec, which would count as the daemon's.
func keepDescriptors(t *testing.T) {
	entries, err := os.ReadDir("/proc/self/fd")
	qt.Assert(t, err, qt.IsNil)
	for _, entry := range entries {
		if fd, err := strconv.Atoi(entry.Name()); err == nil && fd > 2 {
			syscall.CloseOnExec(fd)
		}
	}
}

// startTarget starts a stand-in target.
func startTarget(t *testing.T, p *standin.Platform, service string, slots int) {
	s, err := standin.StartServer(netip.MustParseAddrPort("127.0.0.1:0"), p.Address(), standin.ServerOptions{Name: service + "-1", Service: service, Slots: slots})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Stop)
}

// startStreamingTarget starts a target of the crowd's service that responds to each request with so many bytes. All
// responses share one buffer, so that the test's process holds it once.
func startStreamingTarget(t *testing.T, p *standin.Platform, size int) {
	const name = crowdService + "-1"
	body := bytes.Repeat([]byte("x"), size)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platform.SetResponseMeta(w.Header(), name, platform.ResponseMeta{ID: platform.ReadRequestMeta(r.Header).ID, Signed: true})
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(body) // a host that closes the connection ends the response
	}))
	t.Cleanup(server.CloseClientConnections)
	client, started, address := platform.NewClient(p.Address()), time.Now(), netip.MustParseAddrPort(server.Listener.Addr().String())
	write := func(sequence int) error {
		entry, err := platform.EncodeTarget(platform.Target{Name: name, StartedAt: started, Service: crowdService, Address: address, Slots: manySlots}, sequence)
		if err == nil {
			_, err = client.Put(t.Context(), platform.KindTargets, name, entry, platform.Unconditional())
		}
		return err
	}
	qt.Assert(t, write(1), qt.IsNil)
	go func() {
		for sequence := 2; t.Context().Err() == nil; sequence++ {
			time.Sleep(heartbeatInterval)
			_ = write(sequence) // the next one repeats it
		}
	}()
}

// heartbeatInterval is the interval at which a target writes its entry.
const heartbeatInterval = 500 * time.Millisecond

// configure writes a configuration with one route for each service.
func configure(t *testing.T, p *standin.Platform, timeout time.Duration) {
	route := func(service, prefix string) platform.Route {
		return platform.Route{
			Name: prefix, Host: "quotes.example", Prefix: prefix, Repeat: platform.Idempotent, Timeout: timeout,
			Objective: timeout / 4, Rank: 1, Attempts: 2, Shares: []platform.WeightedService{{Service: service, Weight: 1}},
		}
	}
	service := func(name string) platform.Service {
		return platform.Service{Name: name, HealthPath: "/health", MaxConnections: manySlots}
	}
	value, err := platform.EncodeConfiguration(&platform.Configuration{
		Version: 1, Routes: []platform.Route{route(crowdService, crowdPath), route(ordinaryService, ordinaryPath)},
		Services: []platform.Service{service(crowdService), service(ordinaryService)},
		Limits:   platform.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: 30 * time.Second, IdleTimeout: 30 * time.Second},
	})
	qt.Assert(t, err, qt.IsNil)
	_, err = platform.NewClient(p.Address()).Put(context.Background(), platform.KindConfiguration, platform.NameConfiguration, value, platform.Unconditional())
	qt.Assert(t, err, qt.IsNil)
}

// ordinary sends one request with a small body on a new connection and returns why it was not served.
func (h *host) ordinary() error { return h.send(ordinaryPath, strings.NewReader("small body"), nil) }

// send sends a request on a new connection and returns why it was not served.
func (h *host) send(path string, body io.Reader, change func(*http.Request)) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+h.entry.String()+path, body)
	if err != nil {
		return err
	}
	req.Host = "quotes.example"
	platform.SetRequestMeta(req.Header, platform.RequestMeta{ID: fmt.Sprint("ordinary-", time.Now().UnixNano()), Timeout: callerTimeout})
	if change != nil {
		change(req)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return err
}

// check checks that the process lives, has stayed within its memory and descriptors and serves an ordinary request.
func (h *host) check() {
	c := qt.New(h.t)
	descriptors := h.descriptors()
	c.Check(h.ordinary(), qt.IsNil, qt.Commentf("ordinary request: %s", h.logTail()))
	select {
	case <-h.exited:
		c.Fatalf("process has exited: %s", h.logTail())
	default:
	}
	now, peak := h.status("VmRSS"), h.status("VmHWM")
	unread := h.unread()
	descriptors = max(descriptors, h.descriptors())
	h.t.Logf("VmRSS %d kB, VmHWM %d kB, %d kB unread, %d descriptors", now, peak, unread, descriptors)
	c.Check(now+unread <= h.memory<<10, qt.IsTrue, qt.Commentf("VmRSS is %d kB, and %d kB are unread", now, unread))
	c.Check(now > 0 && now <= h.memory<<10, qt.IsTrue, qt.Commentf("VmRSS is %d kB", now))
	c.Check(peak > 0 && peak <= h.memory<<10, qt.IsTrue, qt.Commentf("VmHWM is %d kB", peak))
	c.Check(descriptors > 0 && descriptors <= h.bound, qt.IsTrue, qt.Commentf("%d descriptors are open", descriptors))
}

// status returns a size of the process's status in kilobytes, or 0.
func (h *host) status(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	qt.Assert(h.t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(text), field+":")
	line, _, _ := strings.Cut(rest, "kB")
	n, _ := strconv.Atoi(strings.TrimSpace(line)) // 0 fails the check
	return n
}

// unread returns the kilobytes that callers have sent and the process has not read. They count towards the memory of a host.
func (h *host) unread() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", h.cmd.Process.Pid))
	qt.Assert(h.t, err, qt.IsNil)
	total, port := int64(0), fmt.Sprintf(":%04X", h.entry.Port())
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], port) {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		qt.Assert(h.t, err, qt.IsNil)
		total += n
	}
	return int(total >> 10)
}

// descriptors returns the number of open descriptors of the process.
func (h *host) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	qt.Assert(h.t, err, qt.IsNil)
	return len(entries)
}

// logTail returns the end of the daemon's log.
func (h *host) logTail() string {
	text, err := os.ReadFile(h.logs)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-1500):])
}
