// Command redwingtally-edge is the redwingtally daemon of an entry host. One
// instance runs on each entry host of the platform.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/redwingtally/redwingtally/edge"
	"github.com/redwingtally/redwingtally/eventlog"
	"github.com/redwingtally/redwingtally/internal/version"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/settings"
)

import "C" // the platform requires programs that link the C library

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 4
)

const (
	// memoryShare is the part of the host's memory that is set as the soft memory limit of the Go runtime.
	memoryShare = 0.7
	// shutdownMargin is the time before the platform's SIGKILL by which the process must have ended.
	shutdownMargin = 900 * time.Millisecond
	// settingsInterval is the time between two checks of the settings file for changes.
	settingsInterval = time.Second
)

// arguments are the command-line arguments.
type arguments struct {
	Settings string `short:"s" long:"settings" description:"settings file; by default the path in the platform's environment variable" value-name:"FILE"`
	Check    bool   `long:"check" description:"check the settings file and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run())
}

// run parses the arguments, loads the settings and returns the exit code.
func run() int {
	var a arguments
	if _, err := flags.Parse(&a); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	if a.Version {
		fmt.Println("redwingtally-edge", version.Version)
		return 0
	}
	path := a.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		fmt.Fprintf(os.Stderr, "redwingtally-edge: --settings or %s is required\n", platform.SettingsVariable)
		return exitUsage
	}
	s, err := settings.LoadEdge(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if a.Check {
		return 0
	}
	return serve(path, s)
}

// serve runs the daemon until a signal stops it and returns the exit code.
func serve(path string, s settings.Edge) int {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log, flush := eventlog.New(os.Stdout, level)
	defer flush()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	e, err := edge.New(s, log)
	if err == nil {
		err = e.Start(ctx)
	}
	if err != nil {
		log.Error("edge: Failed to start.", "error", err.Error())
		return exitFailure
	}
	reloadUntilStopped(path, e, log, stopSignals, reloadSignals)
	end, cancel := context.WithTimeout(context.Background(), s.Shutdown-shutdownMargin)
	defer cancel()
	if err := e.Shutdown(end); err != nil {
		log.Error("edge: Shutdown failed.", "error", err.Error())
		return exitFailure
	}
	return 0
}

// reloadUntilStopped reloads the settings on SIGHUP and when the settings file has
// changed, until the process receives a signal to stop.
func reloadUntilStopped(path string, e *edge.Edge, log *slog.Logger, stopSignals, reloadSignals <-chan os.Signal) {
	last := modTime(path)
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	for {
		reason := "signal"
		select {
		case <-stopSignals:
			return
		case <-reloadSignals:
		case <-tick.C:
			reason = "file changed"
			if modTime(path).Equal(last) {
				continue
			}
		}
		last = modTime(path)
		s, err := settings.LoadEdge(path)
		if err != nil {
			log.Error("settings: Reload failed; keeping the settings in force.", "reason", reason, "error", err.Error())
			continue
		}
		e.Reload(s, reason)
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot
// be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
