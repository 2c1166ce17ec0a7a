// Command redwingtally-lab generates load for running daemons and runs
// simulations of the dispatch core.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/redwingtally/redwingtally/lab/crest"
	"github.com/redwingtally/redwingtally/lab/days"
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
	if err := crest.Print(os.Stdout, crest.RunAll()); err != nil {
		return err
	}
	return crest.PrintFleets(os.Stdout, crest.RunAllFleets())
}

type admissionCommand struct{}

// Execute replays the loads of admission control and prints a table.
func (c *admissionCommand) Execute([]string) error {
	loads := crest.AdmissionLoads()
	results := make([]crest.AdmissionResult, 0, len(loads))
	for _, load := range loads {
		results = append(results, crest.RunAdmission(load))
	}
	return crest.PrintAdmission(os.Stdout, results)
}

type daysCommand struct {
	Catalogue string `long:"catalogue" default:"deploy/faults.yaml" description:"file with the kinds of faults and planned work"`
	Directory string `long:"out" default:"." description:"directory in which the day files are created"`
	Seed      uint64 `long:"seed" default:"1" description:"seed of the first day; each further day has the next one"`
	Count     uint64 `long:"count" default:"1" description:"number of days"`
}

// Execute draws days and prints the name of the file of each.
func (c *daysCommand) Execute([]string) error {
	file, err := os.Open(c.Catalogue)
	if err != nil {
		return err
	}
	catalogue, err := days.Load(file)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	for seed := c.Seed; seed < c.Seed+c.Count; seed++ {
		var text bytes.Buffer
		d := catalogue.Draw(seed)
		if err := d.Write(&text); err != nil {
			return err
		}
		path := filepath.Join(c.Directory, d.Name+".toml")
		if err := os.WriteFile(path, text.Bytes(), 0o644); err != nil {
			return err
		}
		fmt.Println(path)
	}
	return nil
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	addCommand(parser, "load", "send requests to running daemons and check the responses", &loadCommand{})
	addCommand(parser, "days", "draw days of faults for the users' bench", &daysCommand{})
	addCommand(parser, "crest", "simulate the dispatch core and baselines in virtual time", &crestCommand{})
	addCommand(parser, "admission", "replay overload on the scheduler in virtual time", &admissionCommand{})
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
