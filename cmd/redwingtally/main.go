// Command redwingtally manages the records in the store and reads the status of
// daemons.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally"
	"github.com/redwingtally/redwingtally/operator"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/record"
	"github.com/redwingtally/redwingtally/settings"
)

// Exit codes.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitInvalid     = 4
	exitUnavailable = 5
)

func main() {
	os.Exit(run())
}

func run() int {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	version := struct {
		Version bool `long:"version" description:"print the version and exit"`
	}{}
	if _, err := parser.AddGroup("Application Options", "", &version); err != nil {
		return exitFailure
	}
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.description, c.description, c.handler); err != nil {
			return exitCode(err)
		}
	}
	rest, err := parser.Parse()
	if err == nil && len(rest) > 0 {
		fmt.Fprintf(os.Stderr, "redwingtally: %q is not a command; see --help\n", rest[0])
		return exitUsage
	}
	if err == nil && version.Version {
		fmt.Println("redwingtally", redwingtally.Version)
		return 0
	}
	if err == nil && parser.Active == nil {
		parser.WriteHelp(os.Stderr)
		return exitUsage
	}
	return exitCode(err)
}

// exitCode prints err to standard error and returns the exit code for it. Help is
// printed to standard output.
func exitCode(err error) int {
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, fe.Message)
		return exitUsage
	}
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "redwingtally:", err)
	var field *settings.FieldError
	switch {
	case eris.Is(err, operator.ErrConflict), eris.Is(err, operator.ErrNoBaseVersion):
		return exitConflict
	case errors.As(err, &field), eris.Is(err, record.ErrMalformed), eris.Is(err, record.ErrInvalid),
		eris.Is(err, record.ErrUnknownKind), eris.Is(err, record.ErrUnknownSchemaVersion),
		eris.Is(err, platform.ErrMalformed), eris.Is(err, errInvalidConfiguration):
		return exitInvalid
	case eris.Is(err, operator.ErrUnavailable), eris.Is(err, operator.ErrDaemonUnavailable):
		return exitUnavailable
	}
	return exitFailure
}
