// Package e2e tests complete systems of daemons, targets and the stand-in
// platform. Daemons and targets run as separate processes or in the test process.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
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

	"github.com/redwingtally/redwingtally"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/holder"
	"github.com/redwingtally/redwingtally/internal/ports"
	"github.com/redwingtally/redwingtally/internal/programs"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/lane"
	"github.com/redwingtally/redwingtally/operator"
	"github.com/redwingtally/redwingtally/peer"
	"github.com/redwingtally/redwingtally/placement"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/record"
	"github.com/redwingtally/redwingtally/settings"
)

// waitTimeout bounds each wait, so that a test that hangs ends. It is not a
// requirement on the system's latency.
const waitTimeout = 20 * time.Second

var dataCentres = []string{"leicester", "derby", "nottingham", "coventry"}

func TestMain(m *testing.M) { programs.Main(m) }

// process is a child process of the test.
type process struct {
	tb     testing.TB
	cmd    *exec.Cmd
	exited chan struct{}
}

func startProcess(tb testing.TB, name string, args ...string) *process {
	cmd := exec.Command(programs.Path(tb, name), args...)
	if os.Getenv("E2E_LOGS") != "" {
		cmd.Stderr = os.Stderr
	}
	qt.Assert(tb, cmd.Start(), qt.IsNil)
	p := &process{tb: tb, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	tb.Cleanup(p.kill)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// system is a stand-in platform with the settings and entries of its daemons.
type system struct {
	tb       testing.TB
	platform *standin.Platform
	operator *operator.Operator
	hosts    []platform.Host
	settings []settings.Settings
	entries  []netip.AddrPort
}

// newSystem starts a stand-in platform and reserves the addresses of daemons. It does
// not start the daemons.
func newSystem(tb testing.TB, daemons int) *system {
	p, err := standin.StartPlatform(netip.MustParseAddrPort("127.0.0.1:0"), standin.PlatformOptions{HostLag: time.Millisecond})
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { shutDown(p.Stop) })
	s := &system{tb: tb, platform: p, operator: operator.New(platform.NewStore(p.Address()), redwingtally.NewRegistry())}
	for i := range daemons {
		name := fmt.Sprintf("entry-%d", i+1)
		set := settings.Settings{
			Host:            name,
			DataCentre:      dataCentres[i%len(dataCentres)],
			EntryAddress:    ports.Free(tb),
			ForwardAddress:  ports.Free(tb),
			ControlAddress:  ports.Free(tb),
			PlatformAddress: p.Address(),
			ShutdownTimeout: waitTimeout,
			LogLevel:        "info",
		}
		s.settings = append(s.settings, set)
		s.entries = append(s.entries, set.EntryAddress)
		s.hosts = append(s.hosts, platform.Host{Name: name, DataCentre: set.DataCentre, Control: set.ControlAddress, State: platform.HostLive})
	}
	p.SetHosts(s.hosts)
	return s
}

// shutDown calls a shutdown function with a timeout of 100 ms and ignores its
// error.
func shutDown(f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = f(ctx)
}

// startDaemon starts daemon i in the test process.
func (s *system) startDaemon(i int, opts ...redwingtally.Option) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("E2E_LOGS") != "" {
		log = slog.Default()
	}
	d, err := redwingtally.New(s.settings[i], append(opts, redwingtally.WithLogger(log))...)
	qt.Assert(s.tb, err, qt.IsNil)
	qt.Assert(s.tb, d.Start(context.Background()), qt.IsNil)
	s.tb.Cleanup(func() { shutDown(d.Shutdown) })
}

// startDaemonProcess starts daemon i as a separate process.
func (s *system) startDaemonProcess(i int) *process {
	set := s.settings[i]
	file := filepath.Join(s.tb.TempDir(), "daemon.yaml")
	text := fmt.Sprintf("host: %s\ndata_centre: %s\nentry_address: %s\nforward_address: %s\ncontrol_address: %s\nplatform_address: %s\n",
		set.Host, set.DataCentre, set.EntryAddress, set.ForwardAddress, set.ControlAddress, set.PlatformAddress)
	qt.Assert(s.tb, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	return startProcess(s.tb, "redwingtallyd", "--settings", file)
}

// apply parses records and applies them to the store.
func (s *system) apply(text string) []operator.Result {
	records, err := record.DecodeYAML("test", []byte(text))
	qt.Assert(s.tb, err, qt.IsNil)
	results, err := s.operator.Apply(context.Background(), records)
	qt.Assert(s.tb, err, qt.IsNil)
	return results
}

// eventually polls f until it returns true and fails the test after waitTimeout.
func eventually(tb testing.TB, what string, f func() bool) {
	tb.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond) // polling interval
	}
	tb.Fatalf("condition not met in time: %s", what)
}

// daemonStatus fetches the status of daemon i and reports whether that succeeded.
func (s *system) daemonStatus(i int) (redwingtally.Status, bool) {
	var st redwingtally.Status
	data, err := operator.ReadDaemon(context.Background(), s.settings[i].ControlAddress, "/status")
	return st, err == nil && json.Unmarshal(data, &st) == nil
}

// holderOf returns the index of the daemon that holds a service whose shards all
// have owners. It returns -1 if no daemon or more than one reports to hold it: a
// holder that was paused observes its successor only after it has resumed.
func (s *system) holderOf(service string) int {
	holder := -1
	for i := range s.settings {
		st, _ := s.daemonStatus(i)
		for _, g := range st.Groups {
			switch {
			case g.Service != service:
			case g.UnownedShards > 0 || holder >= 0:
				return -1
			default:
				holder = i
			}
		}
	}
	return holder
}

// awaitHolder waits until a service has one holder and returns its index.
func (s *system) awaitHolder(service string) int {
	holder := -1
	eventually(s.tb, "a daemon holds "+service, func() bool {
		holder = s.holderOf(service)
		return holder >= 0
	})
	return holder
}

// groupStatus returns the status of the service desk at the daemon that holds it. It
// returns false if a status cannot be read, or if no daemon or more than one reports
// to hold the group.
func (s *system) groupStatus() (holder.Status, bool) {
	var found []holder.Status
	for i := range s.settings {
		st, ok := s.daemonStatus(i)
		if !ok {
			return holder.Status{}, false
		}
		for _, g := range st.Groups {
			if g.Service == "desk" {
				found = append(found, g)
			}
		}
	}
	if len(found) != 1 {
		return holder.Status{}, false
	}
	return found[0], true
}

// eventuallyHeld polls f with the status of the service desk at its holder until f
// returns true. It fails the test waitTimeout after the last takeover: a holder counts
// requests and times out targets anew under each term.
func (s *system) eventuallyHeld(what string, f func(holder.Status) bool) {
	s.tb.Helper()
	term := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if g, ok := s.groupStatus(); ok {
			if g.Term != term {
				term = g.Term
				end = time.Now().Add(waitTimeout)
			}
			if f(g) {
				return
			}
		}
		time.Sleep(100 * time.Millisecond) // polling interval
	}
	s.tb.Fatalf("condition not met in time: %s", what)
}

// takeOver makes a daemon that does not hold the service desk take it over.
func (s *system) takeOver() {
	s.tb.Helper()
	next := (s.awaitHolder("desk") + 1) % len(s.settings)
	before, _ := s.groupStatus()
	var counter, incarnation uint32
	_, err := fmt.Sscanf(before.Term, "%d.%x", &counter, &incarnation)
	qt.Assert(s.tb, err, qt.IsNil)
	clients := peer.NewClients(func(int, int) {})
	defer clients.Close()
	handover := peer.Handover{Group: "desk", Term: grant.NewTerm(counter, incarnation)}
	accepted, err := clients.Handover(context.Background(), s.settings[next].ControlAddress, handover)
	qt.Assert(s.tb, err, qt.IsNil)
	qt.Assert(s.tb, accepted, qt.IsTrue)
	eventually(s.tb, "another daemon holds desk", func() bool {
		g, ok := s.groupStatus()
		return ok && g.Term != before.Term && g.UnownedShards == 0
	})
}

// call sends a request without a body to an address and returns the response.
func call(address netip.AddrPort, method, path string, timeout time.Duration, headers ...[2]string) (lane.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p := lane.NewPool(address, 0)
	return p.RoundTrip(ctx, lane.Request{Method: method, Path: path, Headers: headers})
}

// serviceRecord returns the record of a service with targets at the given
// addresses, spread over the data centres.
func serviceRecord(name, division string, addresses []netip.AddrPort) string {
	var b strings.Builder
	fmt.Fprintf(&b, "kind: service\nname: %s\nschema_version: 2\nspec:\n  slots_per_target: 2\n  connections_per_target: 50\n%s  targets:\n", name, division)
	for i, a := range addresses {
		fmt.Fprintf(&b, "    - {name: %s-%d, address: \"%s\", data_centre: %s}\n", name, i+1, a, dataCentres[i%len(dataCentres)])
	}
	return b.String()
}

// Divisions of a service by key for serviceRecord.
const (
	keyedChecked   = "  division: {shards: 32, checks_grants: true}\n"
	keyedUnchecked = "  division: {shards: 32, checks_grants: false}\n"
	unkeyed        = ""
)

// policyRecord returns a policy with a route for each kind of request that the
// tests send.
func policyRecord(name string) string {
	return "---\nkind: policy\nname: " + name + `
schema_version: 2
spec:
  retry: {ratio: 0.1, attempts: 3}
  classes:
    - {name: deposits, rank: 0, queue_limit: 500, deadline: 10s, ageing: 1s}
    - {name: pages, rank: 1, queue_limit: 500, deadline: 5s, ageing: 1s}
    - {name: bundles, rank: 2, queue_limit: 500, deadline: 60s, ageing: 2s}
  routes:
    - {method: POST, prefix: /deposits, class: deposits, once_only: true}
    - {method: GET, prefix: /pages, class: pages, repeatable: true}
    - {prefix: /bundles, class: bundles, long: true}
    - {prefix: /, class: pages}
`
}

func itoa(n int) string { return strconv.Itoa(n) }

// decodeHotKeyLimit returns the maximum number of hot keys in a placement record of
// the newest schema version.
func decodeHotKeyLimit(r record.Record) (int, error) {
	spec, err := placement.Decode(r.Spec)
	return spec.HotKeyLimit, err
}
