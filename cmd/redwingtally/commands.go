package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally"
	"github.com/redwingtally/redwingtally/operator"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/record"
	"github.com/redwingtally/redwingtally/settings"
)

// subcommand is an entry in the list of subcommands. Its handler is a
// flags.Commander.
type subcommand struct {
	name        string
	description string
	handler     any
}

func commands() []subcommand {
	return []subcommand{
		{"validate", "check record files", &validateCommand{}},
		{"diff", "compare record files with the store", &diffCommand{}},
		{"apply", "write record files to the store", &applyCommand{}},
		{"get", "print a record, or list all records", &getCommand{}},
		{"delete", "remove a record", &deleteCommand{}},
		{"convert", "print record files at another schema version", &convertCommand{}},
		{"status", "print the status of daemons", &statusCommand{}},
		{"dump", "print the state of a daemon", &dumpCommand{}},
		{"check-settings", "check settings files", &checkSettingsCommand{}},
		{"check", "check a configuration of the users' platform before it is sent", &checkCommand{out: os.Stdout}},
	}
}

// fileArguments holds the file names of a subcommand.
type fileArguments struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// read decodes the records of all files.
func (f *fileArguments) read() ([]record.Record, error) {
	var out []record.Record
	for _, name := range f.Args.Files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, eris.Wrapf(record.ErrMalformed, "%v", err)
		}
		records, err := record.DecodeYAML(name, data)
		if err != nil {
			return nil, err
		}
		out = append(out, records...)
	}
	return out, nil
}

// platformOption is the option of subcommands that access the store.
type platformOption struct {
	Platform string `long:"platform" env:"REDWINGTALLY_PLATFORM" required:"true" description:"address of the platform's object API" value-name:"IP:PORT"`
}

func (p *platformOption) operator() (*operator.Operator, error) {
	a, err := netip.ParseAddrPort(p.Platform)
	if err != nil {
		return nil, eris.Wrapf(operator.ErrUnavailable, "--platform: %v", err)
	}
	return operator.New(platform.NewStore(a), redwingtally.NewRegistry()), nil
}

type validateCommand struct{ fileArguments }

// Execute validates the records of the files and prints warnings.
func (c *validateCommand) Execute([]string) error {
	records, err := c.read()
	if err != nil {
		return err
	}
	warnings, err := operator.New(nil, redwingtally.NewRegistry()).Validate(records)
	for _, w := range warnings {
		fmt.Println("warning:", w)
	}
	if err == nil {
		fmt.Printf("%d records are valid\n", len(records))
	}
	return err
}

type diffCommand struct {
	platformOption
	fileArguments
}

// Execute prints the differences between the files and the store.
func (c *diffCommand) Execute([]string) error {
	records, err := c.read()
	if err != nil {
		return err
	}
	op, err := c.operator()
	if err != nil {
		return err
	}
	diffs, err := op.Diff(context.Background(), records)
	for _, d := range diffs {
		if len(d.Lines) > 0 {
			fmt.Printf("%s\n%s\n", d.Record.Key(), strings.Join(d.Lines, "\n"))
		}
	}
	return err
}

type applyCommand struct {
	platformOption
	fileArguments
	BasedOn uint64        `long:"based-on" description:"store version that the record is based on, for a single record"`
	Wait    time.Duration `long:"wait" description:"how long to wait until the records are in force on all live daemons"`
}

// Execute writes the records of the files to the store.
func (c *applyCommand) Execute([]string) error {
	records, err := c.read()
	if err != nil {
		return err
	}
	if c.BasedOn != 0 && len(records) == 1 {
		records[0].BasedOn = c.BasedOn
	}
	op, err := c.operator()
	if err != nil {
		return err
	}
	results, err := op.Apply(context.Background(), records)
	newest := platform.Version(0)
	for _, r := range results {
		fmt.Printf("%s %s at version %d\n", r.Record.Key(), r.Change, r.Version)
		newest = max(newest, r.Version)
	}
	if err != nil || c.Wait == 0 {
		return err
	}
	return c.awaitInForce(op, newest)
}

// awaitInForce waits until version is in force on all live daemons.
func (c *applyCommand) awaitInForce(op *operator.Operator, version platform.Version) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	daemons, err := op.LiveDaemons(ctx)
	if err != nil {
		return err
	}
	if err := operator.AwaitInForce(ctx, daemons, version); err != nil {
		return err
	}
	fmt.Printf("in force on %d daemons\n", len(daemons))
	return nil
}

type getCommand struct {
	platformOption
	SchemaVersion int `long:"schema-version" description:"schema version to convert to"`
	Args          struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute prints one record as YAML, or one line for each record.
func (c *getCommand) Execute([]string) error {
	op, err := c.operator()
	if err != nil {
		return err
	}
	if c.Args.Name == "" {
		return c.list(op)
	}
	r, err := op.Get(context.Background(), c.Args.Kind, c.Args.Name, c.SchemaVersion)
	if err != nil {
		return err
	}
	return printRecord(r)
}

func (c *getCommand) list(op *operator.Operator) error {
	records, err := op.List(context.Background())
	for _, r := range records {
		if c.Args.Kind == "" || c.Args.Kind == r.Kind {
			fmt.Printf("%-12s %-24s schema_version %d, version %d\n", r.Kind, r.Name, r.SchemaVersion, r.BasedOn)
		}
	}
	return err
}

func printRecord(r record.Record) error {
	data, err := record.Encode(r)
	if err == nil {
		fmt.Printf("---\n%s", data)
	}
	return err
}

type deleteCommand struct {
	platformOption
	BasedOn uint64 `long:"based-on" required:"true" description:"store version of the record"`
	Args    struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"yes"`
}

// Execute removes a record from the store.
func (c *deleteCommand) Execute([]string) error {
	op, err := c.operator()
	if err != nil {
		return err
	}
	return op.Delete(context.Background(), c.Args.Kind, c.Args.Name, c.BasedOn)
}

type convertCommand struct {
	fileArguments
	SchemaVersion int `long:"schema-version" required:"true" description:"schema version to convert to"`
}

// Execute prints the records at another schema version.
func (c *convertCommand) Execute([]string) error {
	records, err := c.read()
	if err != nil {
		return err
	}
	reg := redwingtally.NewRegistry()
	for _, r := range records {
		if r, err = reg.Convert(r, c.SchemaVersion); err != nil {
			return err
		}
		if err := printRecord(r); err != nil {
			return err
		}
	}
	return nil
}

// daemonOptions holds the control addresses of daemons.
type daemonOptions struct {
	Daemons []string `long:"daemon" description:"control address of a daemon; may be repeated" value-name:"IP:PORT"`
}

// printDocuments prints the JSON document at path of each daemon.
func (d *daemonOptions) printDocuments(path string) error {
	for _, text := range d.Daemons {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return eris.Wrapf(operator.ErrDaemonUnavailable, "--daemon: %v", err)
		}
		data, err := operator.ReadDaemon(context.Background(), a, path)
		if err != nil {
			return err
		}
		fmt.Print(string(data))
	}
	return nil
}

type statusCommand struct {
	daemonOptions
	Platform string `long:"platform" env:"REDWINGTALLY_PLATFORM" description:"address of the platform; without --daemon, its list of hosts determines the daemons" value-name:"IP:PORT"`
}

// Execute prints the status of the given daemons, or of all live ones.
func (c *statusCommand) Execute([]string) error {
	if len(c.Daemons) > 0 {
		return c.printDocuments("/status")
	}
	option := platformOption{Platform: c.Platform}
	op, err := option.operator()
	if err != nil {
		return err
	}
	addresses, err := op.LiveDaemons(context.Background())
	if err != nil {
		return err
	}
	for _, a := range addresses {
		c.Daemons = append(c.Daemons, a.String())
	}
	return c.printDocuments("/status")
}

type dumpCommand struct{ daemonOptions }

// Execute prints the state dump of the given daemons.
func (c *dumpCommand) Execute([]string) error {
	return c.printDocuments("/dump")
}

type checkSettingsCommand struct{ fileArguments }

// Execute validates settings files.
func (c *checkSettingsCommand) Execute([]string) error {
	for _, name := range c.Args.Files {
		if _, err := settings.Load(name); err != nil {
			return err
		}
		fmt.Println(name, "is valid")
	}
	return nil
}
