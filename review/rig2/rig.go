// Package rig2 starts a small deployment for the cases 6 to 10 of the review: a store, upstreams and the daemon
// redwingtally-edge as separate processes on loopback addresses. It records what was sent, answered and run.
//
// # Usage
//
//	func main() {
//		rig2.Main("6", func(d *rig2.Deployment) {
//			d.StartDaemons(3)
//			d.Check("requests were answered", answered)
//		})
//	}
package rig2

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/platform"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Figures of the deployment, as in wickgate.
const (
	// Drain is the bound drainMs.
	Drain = 2 * time.Second
	// Grace is the bound graceS.
	Grace = 6 * time.Second
	// Stable is the bound stableWindowMs.
	Stable = 3 * time.Second
	// Descriptors is the figure maxFds of a machine.
	Descriptors = 4100
	// MemoryMB is the figure memoryMb of a machine.
	MemoryMB = 284
)

// limit ends a case that hangs.
const limit = 115 * time.Second

// A Deployment is the store, the daemons and the upstreams of one case.
type Deployment struct {
	// Trouble reports whether the disruption takes place.
	Trouble bool
	// Store is the stand-in of the platform's store, and Client calls it.
	Store  *standin.Platform
	Client *platform.Client
	// Daemons are the started daemons.
	Daemons []*Daemon

	dir     string
	started time.Time
	mu      sync.Mutex
	record  *os.File
	broken  bool
	cleanup []func()
}

// errNotRun is the panic value of a case that could not run.
var errNotRun = errors.New("case could not run")

// Main runs a case in the folder review/NAME and ends the process with its exit code.
func Main(name string, run func(d *Deployment)) {
	record, err := os.Create(filepath.Join("review", name, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	d := &Deployment{Trouble: os.Getenv("TROUBLE") != "0", dir: dir, started: time.Now(), record: record}
	time.AfterFunc(limit, func() {
		d.Logf("the case did not end within %s", limit)
		d.end()
		os.Exit(exitNotRun)
	})
	code := d.play(run)
	d.end()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// play runs a case and returns its exit code.
func (d *Deployment) play(run func(d *Deployment)) (code int) {
	defer func() {
		if r := recover(); r != nil {
			d.Logf("not run: %v", r)
			code = exitNotRun
		}
	}()
	d.Logf("disruption: %t", d.Trouble)
	d.startStore()
	run(d)
	if d.broken {
		d.Logf("result: the rule was broken")
		return exitBroken
	}
	d.Logf("result: the rule held")
	return exitHeld
}

// end stops all that the case started.
func (d *Deployment) end() {
	d.mu.Lock()
	cleanup := d.cleanup
	d.cleanup = nil
	d.mu.Unlock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
}

// atEnd has f called at the end of the case.
func (d *Deployment) atEnd(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cleanup = append(d.cleanup, f)
}

// Logf writes a line to the record, with the time since the start of the case.
func (d *Deployment) Logf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = d.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Check records whether the rule holds in one respect.
func (d *Deployment) Check(what string, holds bool) {
	d.mu.Lock()
	d.broken = d.broken || !holds
	d.mu.Unlock()
	d.Logf("check: %s: %t", what, holds)
}

// Require ends the case as not run unless err is nil.
func (d *Deployment) Require(what string, err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %s: %w", errNotRun, what, err))
	}
}

// Eventually waits until f returns true, and ends the case as not run after 15 s.
func (d *Deployment) Eventually(what string, f func() bool) {
	for end := time.Now().Add(15 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			d.logTails()
			panic(fmt.Errorf("%w: %s did not come about", errNotRun, what))
		}
	}
}

// logTails records the last lines of the daemons' logs.
func (d *Deployment) logTails() {
	for _, x := range d.Daemons {
		lines := d.Grep(x, "")
		for _, line := range lines[max(0, len(lines)-8):] {
			d.Logf("%s: %s", x.Name, line)
		}
	}
}

// Ports from which FreeAddress chooses. They lie below those that the kernel gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 29999
)

// FreeAddress returns a loopback address that nothing listens on.
func (d *Deployment) FreeAddress() netip.AddrPort {
	for range 100 {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort+1)))
		if err != nil {
			continue
		}
		_ = ln.Close()
		return netip.MustParseAddrPort(ln.Addr().String())
	}
	panic(fmt.Errorf("%w: no free port", errNotRun))
}

func (d *Deployment) startStore() {
	address := d.FreeAddress()
	store, err := standin.StartPlatform(address, standin.PlatformOptions{Era: 1})
	d.Require("store", err)
	d.Store, d.Client = store, platform.NewClient(address)
	d.atEnd(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = store.Stop(ctx)
	})
	d.Eventually("the store answers", func() bool {
		_, _, err := d.Client.List(context.Background(), platform.KindTargets)
		return err == nil
	})
}

// Put writes an object to the store.
func (d *Deployment) Put(kind, name string, value json.RawMessage) error {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := d.Client.Put(ctx, kind, name, value, platform.Unconditional())
	return err
}

// Configure writes the configuration.
func (d *Deployment) Configure(c *platform.Configuration) {
	value, err := platform.EncodeConfiguration(c)
	d.Require("configuration", err)
	d.Require("configuration", d.Put(platform.KindConfiguration, platform.NameConfiguration, value))
	d.Logf("configuration %d is acknowledged", c.Version)
}

// A Daemon is a process of redwingtally-edge.
type Daemon struct {
	Name  string
	Entry netip.AddrPort
	Ready netip.AddrPort
	// Metrics is the address of the metrics and of the state dump.
	Metrics netip.AddrPort

	settings string
	text     string // of the settings, without first_start
	cmd      *exec.Cmd
	ended    chan struct{}
}

// program is the daemon that the deploy file builds.
const program = "target/redwingtally-edge"

// StartDaemons starts n daemons and waits until they are ready.
func (d *Deployment) StartDaemons(n int) {
	if _, err := os.Stat(program); err != nil {
		d.Require("build of the deploy file", err)
	}
	for i := range n {
		d.startDaemon(fmt.Sprintf("edge-%d", i+1))
	}
	for _, daemon := range d.Daemons {
		d.Eventually(daemon.Name+" is ready", daemon.IsReady)
	}
	d.Logf("%d daemons are ready", n)
}

// settings as deploy/edge.yaml.tmpl makes them from the fields of wickgate.
const settings = `host: %q
data_centre: "leicester"
entry_address: %q
ready_address: %q
control_address: %q
metrics_address: %q
store_address: %q
relay_address: %q
memory_mb: %d
cpu_share: 0.32
drain: %dms
shutdown: %ds
retry_window: 10s
retry_ratio: 0.2
retry_extra: 56
`

func (d *Deployment) startDaemon(name string) {
	daemon := &Daemon{Name: name, Entry: d.FreeAddress(), Ready: d.FreeAddress(), Metrics: d.FreeAddress(), ended: make(chan struct{})}
	daemon.settings = filepath.Join(d.dir, name+".yaml")
	text := fmt.Sprintf(settings, name, daemon.Entry, daemon.Ready, d.FreeAddress(), daemon.Metrics, d.Store.Address(), d.FreeAddress(),
		MemoryMB, Drain.Milliseconds(), int(Grace.Seconds()))
	daemon.text = text
	d.Daemons = append(d.Daemons, daemon)
	d.run(daemon, text+"first_start: true\n")
	d.atEnd(func() { daemon.Signal(syscall.SIGCONT); daemon.Signal(syscall.SIGKILL); <-daemon.ended })
}

// Restart starts a daemon again that has ended, and waits until it is ready.
func (d *Deployment) Restart(daemon *Daemon) {
	<-daemon.ended
	time.Sleep(time.Second)
	daemon.ended = make(chan struct{})
	d.run(daemon, daemon.text)
	d.Eventually(daemon.Name+" is ready again", daemon.IsReady)
	d.Logf("%s is ready again", daemon.Name)
}

// run starts the process of a daemon with the given settings.
func (d *Deployment) run(daemon *Daemon, text string) {
	d.Require("settings", os.WriteFile(daemon.settings, []byte(text), 0o600))
	logs, err := os.OpenFile(filepath.Join(d.dir, daemon.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	d.Require("log file", err)
	defer func() { _ = logs.Close() }()
	// The shell only bounds the descriptors, as on a machine of the deployment, and becomes the daemon. Where fewer are allowed, the bound stays.
	daemon.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s --settings %s", Descriptors, program, daemon.settings))
	daemon.cmd.Stdout, daemon.cmd.Stderr = logs, logs
	d.Require("daemon", daemon.cmd.Start())
	cmd, ended := daemon.cmd, daemon.ended
	go func() { _ = cmd.Wait(); close(ended) }()
}

// Signal sends a signal to the daemon.
func (x *Daemon) Signal(s syscall.Signal) { _ = x.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (x *Daemon) Ended() bool {
	select {
	case <-x.ended:
		return true
	default:
		return false
	}
}

// IsReady reports whether the daemon answers the readiness question with 200 within a second.
func (x *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + x.Ready.String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Grep returns the lines of the daemon's log that contain text.
func (d *Deployment) Grep(x *Daemon, text string) []string {
	data, err := os.ReadFile(filepath.Join(d.dir, x.Name+".log"))
	if err != nil {
		return nil
	}
	var out []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// Pid returns the process ID of the daemon.
func (x *Daemon) Pid() int { return x.cmd.Process.Pid }
