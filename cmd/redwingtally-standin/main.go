// Command redwingtally-standin runs a stand-in platform or target, for trying
// the system out and for tests.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/redwingtally/redwingtally/internal/standin"
)

// stopTimeout bounds the end of a stand-in.
const stopTimeout = 3 * time.Second

type platformCommand struct {
	Address string        `long:"address" required:"true" description:"address to listen on"`
	HostLag time.Duration `long:"host-lag" default:"2s" description:"how far the list of hosts lags"`
}

type targetCommand struct {
	Address string `long:"address" required:"true" description:"address to listen on"`
	Name    string `long:"name" required:"true" description:"name in answers"`
	Checks  bool   `long:"checks-grants" description:"refuse work without a fenced grant"`
	Slots   int    `long:"slots" default:"2" description:"requests that run at a time"`
	Cold    int    `long:"cold" default:"0" description:"factor by which the first requests are slower"`
	Journal string `long:"journal" description:"file to which the ids of requests that run are appended"`
	Count   int    `long:"count" default:"1" description:"targets to run, at ascending ports, with numbered names when more than one"`
}

// Execute runs the platform until a signal.
func (p *platformCommand) Execute([]string) error {
	address, err := netip.ParseAddrPort(p.Address)
	if err != nil {
		return err
	}
	s, err := standin.StartPlatform(address, standin.PlatformOptions{HostLag: p.HostLag})
	if err != nil {
		return err
	}
	return untilSignal(s.Stop)
}

// Execute runs the targets until a signal.
func (t *targetCommand) Execute([]string) error {
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil {
		return err
	}
	var targets []*standin.Target
	for i := range t.Count {
		name := t.Name
		if t.Count > 1 {
			name = fmt.Sprintf("%s-%d", t.Name, i+1)
		}
		a := netip.AddrPortFrom(address.Addr(), address.Port()+uint16(i))
		s, err := standin.StartTarget(a, standin.TargetOptions{
			Name:         name,
			ChecksGrants: t.Checks,
			Slots:        t.Slots,
			Cold:         t.Cold,
			Journal:      t.Journal,
		})
		if err != nil {
			return err
		}
		targets = append(targets, s)
	}
	return untilSignal(func(ctx context.Context) error {
		for _, s := range targets {
			_ = s.Stop(ctx)
		}
		return nil
	})
}

func untilSignal(stop func(context.Context) error) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	<-ctx.Done()
	end, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	return stop(end)
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	add(parser, "platform", "run a stand-in platform", &platformCommand{})
	add(parser, "target", "run a stand-in target", &targetCommand{})
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

func add(p *flags.Parser, name, text string, command any) {
	if _, err := p.AddCommand(name, text, text, command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
