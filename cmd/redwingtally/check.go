package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/routing"
)

// errInvalidConfiguration reports that a configuration has errors, which were printed.
var errInvalidConfiguration = eris.New("the configuration is invalid")

// checkCommand checks a configuration without sending it.
type checkCommand struct {
	InForce string `long:"in-force" description:"configuration in force, to compare with" value-name:"FILE"`
	Output  string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the report"`
	Args    struct {
		File string `positional-arg-name:"CONFIGURATION" required:"1"`
	} `positional-args:"yes"`

	out io.Writer
}

// checkReport is the JSON form of the report.
type checkReport struct {
	Version  string            `json:"version"`
	InForce  string            `json:"in_force,omitempty"`
	Findings []routing.Finding `json:"findings"`
	Changes  []routing.Change  `json:"changes"`
}

// Execute prints the faults of the configuration and its differences from the one in force. It returns
// errInvalidConfiguration if there are errors; warnings are not errors.
func (c *checkCommand) Execute([]string) error {
	next, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	report := checkReport{Version: formatVersion(next), Findings: routing.Check(next), Changes: []routing.Change{}}
	if c.InForce != "" {
		inForce, err := readConfiguration(c.InForce)
		if err != nil {
			return err
		}
		report.InForce = formatVersion(inForce)
		if next.Version <= inForce.Version {
			report.Findings = append(report.Findings, routing.Finding{
				Severity: routing.Error, Place: "version", Message: fmt.Sprintf("%s is not above %s in force; hosts ignore it", report.Version, report.InForce),
			})
		}
		report.Changes = append(report.Changes, routing.Compare(inForce, next)...)
	}
	if report.Findings == nil {
		report.Findings = []routing.Finding{}
	}
	if err := c.print(report); err != nil {
		return err
	}
	for _, f := range report.Findings {
		if f.Severity == routing.Error {
			return errInvalidConfiguration
		}
	}
	return nil
}

// print writes the report in the selected format.
func (c *checkCommand) print(r checkReport) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s: %s\n", f.Severity, f.Place, f.Message)
	}
	for _, change := range r.Changes {
		switch {
		case change.Added:
			fmt.Fprintf(&b, "added: %s\n", change.Place)
		case change.Removed:
			fmt.Fprintf(&b, "removed: %s\n", change.Place)
		default:
			fmt.Fprintf(&b, "changed: %s: %s\n", change.Place, strings.Join(change.Fields, ", "))
		}
	}
	fmt.Fprintf(&b, "version %s: %d findings, %d changes\n", r.Version, len(r.Findings), len(r.Changes))
	_, err := io.WriteString(c.out, b.String())
	return err
}

// readConfiguration reads a configuration from a file.
func readConfiguration(file string) (*platform.Configuration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(platform.ErrMalformed, "%v", err)
	}
	return platform.ParseConfiguration(file, data)
}

// formatVersion returns the version of a configuration as operators write it.
func formatVersion(c *platform.Configuration) string { return fmt.Sprintf("%08x", c.Version) }
