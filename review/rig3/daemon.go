package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// daemon is a process of redwingtally-edge with settings like those of a small deployment.
type daemon struct {
	name, settings string
	entry, ready   string
	log            *os.File
	cmd            *exec.Cmd
	exited         chan struct{}
}

// newDaemon writes the settings of a daemon into dir. They are those of the template, with bounds of a small deployment.
func newDaemon(dir, name, store string, memoryMB int) (*daemon, error) {
	addresses := make([]string, 5)
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	d := &daemon{
		name: name, settings: filepath.Join(dir, name+".yaml"), entry: addresses[0], ready: addresses[1],
	}
	text := fmt.Sprintf(`host: %q
data_centre: "leicester"
entry_address: %q
ready_address: %q
control_address: %q
metrics_address: %q
store_address: %q
relay_address: %q
memory_mb: %d
cpu_share: 0.32
drain: 2000ms
shutdown: 6s
retry_window: 10s
retry_ratio: 0.2
retry_extra: 56
first_start: true
`, name, addresses[0], addresses[1], addresses[2], addresses[3], store, addresses[4], memoryMB)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	d.log, err = os.Create(filepath.Join(dir, name+".log"))
	return d, err
}

// Ports below the kernel's range for outgoing connections, which would take them between the check and the start.
const (
	firstPort = 12000
	portCount = 18000
)

// taken holds the ports that were given out.
var taken = map[int]bool{}

// freeAddress returns a loopback address at which nothing listens and that was not given out before.
func freeAddress() (string, error) {
	for range 100 {
		port := firstPort + rand.IntN(portCount)
		if taken[port] {
			continue
		}
		address := fmt.Sprint("127.0.0.1:", port)
		if ln, err := net.Listen("tcp4", address); err == nil {
			taken[port] = true
			return address, ln.Close()
		}
	}
	return "", errors.New("no port is free")
}

// start starts the process.
func (d *daemon) start() error {
	d.cmd = exec.Command("target/redwingtally-edge")
	d.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), d.cmd
	d.exited = exited
	go func() {
		_ = cmd.Wait() // how it ended does not matter
		close(exited)
	}()
	return nil
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + d.ready + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// terminate sends SIGTERM and waits for the end of the process.
func (d *daemon) terminate() error {
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-d.exited
	return nil
}

// kill ends the process at once.
func (d *daemon) kill() {
	_ = d.cmd.Process.Kill() // fails only if it has ended
	<-d.exited
}
