// Package settings reads and checks the settings file of a daemon.
//
// Settings are written in YAML. Only the first problem is reported, on a single
// line with the file, the line number and the field, so that an operator can go
// straight to it.
//
// # Usage
//
//	s, err := settings.Load("/etc/redwingtally/daemon.yaml")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // daemon.yaml:4: entry_address: ...
//	}
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

// ErrRead reports that the settings file cannot be read.
var ErrRead = eris.New("settings: file cannot be read")

// FieldError is a problem with one field of a settings file.
type FieldError struct {
	File string
	// Line is the line number, 1 when the field is absent.
	Line int
	// Field is the field's YAML key, or "document" for a YAML error that names no unknown field.
	Field   string
	Problem string
}

// Error formats the problem as "file:line: field: problem".
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// Settings holds the settings of redwingtallyd.
type Settings struct {
	// Host is the name of the daemon in the platform's list of hosts and in status reports.
	Host string
	// DataCentre is the data centre in which the daemon runs.
	DataCentre string
	// EntryAddress is the address to which callers connect.
	EntryAddress netip.AddrPort
	// ForwardAddress is the address to which other daemons forward requests for dispatch.
	ForwardAddress netip.AddrPort
	// ControlAddress is the address that serves control calls of other daemons, status, state dump and metrics.
	ControlAddress netip.AddrPort
	// PlatformAddress is the address of the platform's object API.
	PlatformAddress netip.AddrPort
	// Peers are the control addresses that the daemon calls until it has received the list of hosts.
	Peers []netip.AddrPort
	// ShutdownTimeout is the time limit of a graceful shutdown.
	ShutdownTimeout time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Limits and default of the shutdown timeout.
const (
	MinShutdownTimeout     = time.Second
	MaxShutdownTimeout     = time.Hour
	DefaultShutdownTimeout = 30 * time.Second
)

// settingsDocument is the YAML form of Settings. Its scalar fields are pointers to
// distinguish absent fields from empty ones.
type settingsDocument struct {
	Host            *string  `yaml:"host"`
	DataCentre      *string  `yaml:"data_centre"`
	EntryAddress    *string  `yaml:"entry_address"`
	ForwardAddress  *string  `yaml:"forward_address"`
	ControlAddress  *string  `yaml:"control_address"`
	PlatformAddress *string  `yaml:"platform_address"`
	Peers           []string `yaml:"peers"`
	ShutdownTimeout *string  `yaml:"shutdown_timeout"`
	LogLevel        *string  `yaml:"log_level"`
}

// Load reads and checks the file at path. It returns ErrRead or a *FieldError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrapf(ErrRead, "%s: %v", path, err)
	}
	return Parse(path, data)
}

// Parse parses and checks data. The name file appears in errors, which have the
// type *FieldError.
func Parse(file string, data []byte) (Settings, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, yamlError(file, err)
	}
	var doc settingsDocument
	if err := yaml.UnmarshalWithOptions(data, &doc, yaml.Strict()); err != nil {
		return Settings{}, yamlError(file, err)
	}
	c := checker{file: file, lines: fieldLines(tree)}
	s := Settings{
		Host:            c.requiredString("host", doc.Host),
		DataCentre:      c.requiredString("data_centre", doc.DataCentre),
		EntryAddress:    c.address("entry_address", doc.EntryAddress),
		ForwardAddress:  c.address("forward_address", doc.ForwardAddress),
		ControlAddress:  c.address("control_address", doc.ControlAddress),
		PlatformAddress: c.address("platform_address", doc.PlatformAddress),
		ShutdownTimeout: c.shutdownTimeout("shutdown_timeout", doc.ShutdownTimeout),
		LogLevel:        c.logLevel("log_level", doc.LogLevel),
	}
	for i := range doc.Peers {
		s.Peers = append(s.Peers, c.address("peers", &doc.Peers[i]))
	}
	if c.err != nil {
		return Settings{}, c.err
	}
	return s, nil
}

// checker converts fields and records the first problem found.
type checker struct {
	file  string
	lines map[string]int
	err   error
}

// fail records a problem with a field unless one is already recorded. An absent
// field is reported at line 1.
func (c *checker) fail(field, problem string) {
	if c.err != nil {
		return
	}
	line := c.lines[field]
	if line == 0 {
		line = 1
	}
	c.err = &FieldError{File: c.file, Line: line, Field: field, Problem: problem}
}

// requiredString returns a string that must be present and not empty.
func (c *checker) requiredString(field string, v *string) string {
	if v == nil || *v == "" {
		c.fail(field, "is required")
		return ""
	}
	return *v
}

// address returns a required IP address with a port other than 0.
func (c *checker) address(field string, v *string) netip.AddrPort {
	if v == nil {
		c.fail(field, "is required")
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(*v)
	if err != nil || a.Port() == 0 {
		c.fail(field, strconv.Quote(*v)+" is not an IP address and port")
	}
	return a
}

// shutdownTimeout returns a shutdown timeout, or the default if it is absent.
func (c *checker) shutdownTimeout(field string, v *string) time.Duration {
	if v == nil {
		return DefaultShutdownTimeout
	}
	d, err := time.ParseDuration(*v)
	if err != nil {
		c.fail(field, strconv.Quote(*v)+" is not a duration such as 30s")
		return 0
	}
	if d < MinShutdownTimeout || d > MaxShutdownTimeout {
		c.fail(field, fmt.Sprintf("%s is outside %s to %s", d, MinShutdownTimeout, MaxShutdownTimeout))
	}
	return d
}

// logLevel returns a log level, or "info" if it is absent.
func (c *checker) logLevel(field string, v *string) string {
	if v == nil {
		return "info"
	}
	switch *v {
	case "debug", "info", "warn", "error":
		return *v
	}
	c.fail(field, strconv.Quote(*v)+" is not debug, info, warn or error")
	return ""
}

// fieldLines returns the line numbers of the top-level fields.
func fieldLines(tree *ast.File) map[string]int {
	lines := map[string]int{}
	for _, doc := range tree.Docs {
		m, ok := doc.Body.(*ast.MappingNode)
		if !ok {
			continue
		}
		for _, v := range m.Values {
			lines[v.Key.String()] = v.Key.GetToken().Position.Line
		}
	}
	return lines
}

var (
	yamlPosition = regexp.MustCompile(`^\[(\d+):\d+\] ([^\n]*)`)
	unknownField = regexp.MustCompile(`unknown field "([^"]+)"`)
)

// yamlError converts an error of the YAML parser to a *FieldError. It takes the
// line number and the name of an unknown field from the error's text.
func yamlError(file string, err error) error {
	fe := &FieldError{File: file, Line: 1, Field: "document", Problem: err.Error()}
	if m := yamlPosition.FindStringSubmatch(err.Error()); m != nil {
		fe.Line, _ = strconv.Atoi(m[1])
		fe.Problem = m[2]
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		fe.Field = m[1]
		fe.Problem = "is not a known field"
	}
	return fe
}
