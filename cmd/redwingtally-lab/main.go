// Command redwingtally-lab generates load for running daemons and runs
// simulations of the dispatch core.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/redwingtally/redwingtally/lab/crest"
	"github.com/redwingtally/redwingtally/lab/load"
)

type loadCommand struct {
	Entries  []string      `long:"entry" required:"true" description:"entry address of a daemon; may be repeated"`
	Duration time.Duration `long:"duration" default:"15s" description:"how long to send"`
	Journals []string      `long:"journal" description:"journal file of a target; may be repeated"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the callers' random choices"`
}

// Execute sends requests and prints a report. It returns an error if a guarantee is
// violated.
func (c *loadCommand) Execute([]string) error {
	cfg := load.Config{Duration: c.Duration, Groups: load.DemoGroups(), Seed: c.Seed, Journals: c.Journals}
	for _, text := range c.Entries {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		cfg.Entries = append(cfg.Entries, a)
	}
	report, err := load.New(cfg).Run(context.Background())
	report.Print(os.Stdout)
	if err == nil && len(report.Violations) > 0 {
		err = fmt.Errorf("%d guarantees were violated", len(report.Violations))
	}
	return err
}

type crestCommand struct{}

// Execute simulates the dispatch core and the baselines, and prints a table.
func (c *crestCommand) Execute([]string) error {
	return crest.Print(os.Stdout, crest.RunAll())
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	addCommand(parser, "load", "send requests to running daemons and check the responses", &loadCommand{})
	addCommand(parser, "crest", "simulate the dispatch core and baselines in virtual time", &crestCommand{})
	if _, err := parser.Parse(); err != nil && !flags.WroteHelp(err) {
		os.Exit(1)
	}
}

func addCommand(p *flags.Parser, name, text string, command any) {
	if _, err := p.AddCommand(name, text, text, command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
