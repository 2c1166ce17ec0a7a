// Command redwingtally-standin runs a stand-in platform or stand-in targets for
// demonstrations and tests.
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

// stopTimeout is the time limit for the shutdown of a stand-in.
const stopTimeout = 3 * time.Second

type platformCommand struct {
	Address string        `long:"address" required:"true" description:"address to listen on"`
	HostLag time.Duration `long:"host-lag" default:"2s" description:"delay before a change of the list of hosts is visible"`
	Era     uint64        `long:"era" default:"0" description:"era that the platform states, which grows when it comes back from a copy; 0 states none"`
}

type targetCommand struct {
	Address      string `long:"address" required:"true" description:"address to listen on"`
	Name         string `long:"name" required:"true" description:"name of the target in responses"`
	ChecksGrants bool   `long:"checks-grants" description:"reject requests without a fenced grant"`
	Slots        int    `long:"slots" default:"2" description:"number of requests processed concurrently"`
	Cold         int    `long:"cold" default:"0" description:"initial slowdown factor, which decreases by 1 with each request until it is 1"`
	Journal      string `long:"journal" description:"file to which the ids of requests that run are appended"`
	Count        int    `long:"count" default:"1" description:"targets to run, at ascending ports, with numbered names when more than one"`
}

// Execute runs the platform until SIGINT or SIGTERM.
func (c *platformCommand) Execute([]string) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return err
	}
	p, err := standin.StartPlatform(address, standin.PlatformOptions{HostLag: c.HostLag, Era: c.Era})
	if err != nil {
		return err
	}
	return untilSignal(p.Stop)
}

// Execute runs the targets until SIGINT or SIGTERM.
func (c *targetCommand) Execute([]string) error {
	address, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return err
	}
	var targets []*standin.Target
	for i := range c.Count {
		name := c.Name
		if c.Count > 1 {
			name = fmt.Sprintf("%s-%d", c.Name, i+1)
		}
		a := netip.AddrPortFrom(address.Addr(), address.Port()+uint16(i))
		tg, err := standin.StartTarget(a, standin.TargetOptions{
			Name:         name,
			ChecksGrants: c.ChecksGrants,
			Slots:        c.Slots,
			ColdFactor:   c.Cold,
			Journal:      c.Journal,
		})
		if err != nil {
			return err
		}
		targets = append(targets, tg)
	}
	return untilSignal(func(ctx context.Context) error {
		for _, tg := range targets {
			_ = tg.Stop(ctx)
		}
		return nil
	})
}

// untilSignal waits for SIGINT or SIGTERM and then calls stop.
func untilSignal(stop func(context.Context) error) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	return stop(stopCtx)
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	addCommand(parser, "platform", "run a stand-in platform", &platformCommand{})
	addCommand(parser, "target", "run a stand-in target", &targetCommand{})
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

func addCommand(p *flags.Parser, name, text string, command any) {
	if _, err := p.AddCommand(name, text, text, command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
