// Command redwingtallyd is the redwingtally daemon. One daemon runs on each entry
// host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/redwingtally/redwingtally"
	"github.com/redwingtally/redwingtally/settings"
)

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 4
)

type options struct {
	Settings string `short:"s" long:"settings" description:"settings file" value-name:"FILE"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	if o.Version {
		fmt.Println("redwingtallyd", redwingtally.Version)
		return 0
	}
	if o.Settings == "" {
		fmt.Fprintln(os.Stderr, "redwingtallyd: --settings is required")
		return exitUsage
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	return serve(s)
}

// serve runs the daemon until a signal and returns the exit code.
func serve(s settings.Settings) int {
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := redwingtally.New(s)
	if err == nil {
		err = d.Start(signals)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	<-signals.Done()
	ctx, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout)
	defer cancel()
	if err := d.Shutdown(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
