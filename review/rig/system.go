package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	storeProgram = "bin/review/redwingtally-standin"
	edgeProgram  = "target/redwingtally-edge"
	// startTimeout bounds the start of the store and of the daemons.
	startTimeout = 15 * time.Second
	// stopTimeout bounds the end of a process after SIGTERM.
	stopTimeout = 8 * time.Second
)

// errStart reports that a part of the system did not start, so that the case could not run.
var errStart = eris.New("rig: system did not start")

// A system is a small deployment: the store, the daemons and the upstreams, all on loopback addresses.
type system struct {
	record    *record
	dir       string
	store     netip.AddrPort
	client    *platform.Client
	processes []*process
	daemons   []*daemon
	upstreams []*upstream
	// shutdown is the time from SIGTERM to SIGKILL in the settings of the daemons.
	shutdown time.Duration
}

// A process is a program that the system started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// A daemon is the process of one edge host.
type daemon struct {
	*process
	host     string
	entry    netip.AddrPort
	ready    netip.AddrPort
	settings string     // path of the settings file for later starts
	stops    []workTime // from each SIGTERM to the end of the process
}

// newSystem returns a system whose store answers.
func newSystem(r *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, dir: dir, store: freeAddress(), shutdown: 6 * time.Second}
	if _, err := s.start("store", storeProgram, "platform", "--era", "1", "--address", s.store.String()); err != nil {
		return s, err
	}
	s.client = platform.NewClient(s.store)
	return s, await("store", func() bool {
		_, _, err := s.client.List(context.Background(), platform.KindConfiguration)
		return err == nil
	})
}

// reserved holds a socket on the UDP port of each address that freeAddress has returned, so that rigs that run at the same
// time do not use the same ones.
var reserved []net.PacketConn

// freeAddress returns a loopback address on which nothing listens, and reserves it until the process ends.
func freeAddress() netip.AddrPort {
	for {
		// Ports below the ephemeral range are not taken by outgoing connections meanwhile.
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(12000+rand.IntN(18000)))
		held, err := net.ListenPacket("udp4", address.String())
		if err != nil {
			continue
		}
		ln, err := net.Listen("tcp4", address.String())
		if err != nil {
			_ = held.Close()
			continue
		}
		_ = ln.Close()
		reserved = append(reserved, held)
		return address
	}
}

// await waits until done returns true.
func await(what string, done func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return eris.Wrapf(errStart, "%s", what)
}

// start starts a program with its output in a file of the temporary folder.
func (s *system) start(name, program string, args ...string) (*process, error) {
	logs, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = logs.Close() }() // the process has its own descriptor
	p := &process{name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(errStart, "%s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait() // a process that ends early fails the case
		close(p.exited)
	}()
	s.processes = append(s.processes, p)
	return p, nil
}

// stop ends a process.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// close ends all processes and upstreams, the daemons first, and removes the temporary folder.
func (s *system) close() {
	for i := len(s.processes) - 1; i >= 0; i-- {
		_ = s.processes[i].cmd.Process.Signal(syscall.SIGTERM)
	}
	for i := len(s.processes) - 1; i >= 0; i-- {
		s.processes[i].stop()
	}
	for _, u := range s.upstreams {
		u.close()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// configure writes the configuration.
func (s *system) configure(c *platform.Configuration) error {
	value, err := platform.EncodeConfiguration(c)
	if err != nil {
		return err
	}
	_, err = s.client.Put(context.Background(), platform.KindConfiguration, platform.NameConfiguration, value, platform.Unconditional())
	return err
}

// addDaemons starts n daemons as the deploy file does and waits until they are ready.
func (s *system) addDaemons(n int) error {
	for i := range n {
		d := &daemon{host: fmt.Sprintf("edge-%d", i+1), entry: freeAddress(), ready: freeAddress()}
		file := filepath.Join(s.dir, d.host+".yaml")
		common := fmt.Sprintf("host: %s\ndata_centre: leicester\nentry_address: %q\nready_address: %q\ncontrol_address: %q\nmetrics_address: %q\n"+
			"store_address: %q\nrelay_address: %q\nmemory_mb: 284\ncpu_share: 0.32\ndrain: 2000ms\nshutdown: %s\n"+
			"retry_window: 10s\nretry_ratio: 0.2\nretry_extra: 56\n",
			d.host, d.entry, d.ready, freeAddress(), freeAddress(), s.store, freeAddress(), s.shutdown)
		again := filepath.Join(s.dir, d.host+"-again.yaml")
		if err := errors.Join(os.WriteFile(file, []byte(common+"first_start: true\n"), 0o600), os.WriteFile(again, []byte(common), 0o600)); err != nil {
			return err
		}
		p, err := s.start(d.host, edgeProgram, "--settings", file)
		if err != nil {
			return err
		}
		d.process, d.settings = p, again
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		if err := await(d.host, d.isReady); err != nil {
			return err
		}
	}
	return nil
}

// restart starts a daemon again whose process has ended, and waits until it is ready.
func (s *system) restart(d *daemon) error {
	p, err := s.start(d.host, edgeProgram, "--settings", d.settings)
	if err != nil {
		return err
	}
	d.process = p
	return await(d.host, d.isReady)
}

// killAll kills all daemons at the same moment and starts them again.
func (s *system) killAll() error {
	for _, d := range s.daemons {
		if err := d.cmd.Process.Kill(); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		<-d.exited
	}
	for _, d := range s.daemons {
		p, err := s.start(d.host, edgeProgram, "--settings", d.settings)
		if err != nil {
			return err
		}
		d.process = p
	}
	return nil
}

// isReady asks a daemon whether it is ready.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready.String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addUpstream starts an upstream.
func (s *system) addUpstream(o upstreamOptions) (*upstream, error) {
	u, err := startUpstream(s.record, s.store, o)
	if err != nil {
		return nil, eris.Wrapf(errStart, "%v", err)
	}
	s.upstreams = append(s.upstreams, u)
	return u, nil
}

// awaitOwners waits until upstreams of a service hold all the given keys.
func (s *system) awaitOwners(service string, keys []uint16) error {
	return await("owners of the keys of "+service, func() bool {
		for _, key := range keys {
			held := false
			for _, u := range s.upstreams {
				held = held || u.service == service && u.holds(key)
			}
			if !held {
				return false
			}
		}
		return true
	})
}
