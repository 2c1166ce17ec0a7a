// Command redwingtallyd is the redwingtally daemon; one runs on each entry host.
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

type arguments struct {
	Settings string `short:"s" long:"settings" description:"settings file" value-name:"FILE"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var a arguments
	if _, err := flags.Parse(&a); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	if a.Version {
		fmt.Println("redwingtallyd", redwingtally.Version)
		return 0
	}
	if a.Settings == "" {
		fmt.Fprintln(os.Stderr, "redwingtallyd: --settings is required")
		return exitUsage
	}
	s, err := settings.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	return serve(s)
}

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
