// Package settings reads and checks the settings file of a daemon.
//
// Settings are YAML. Every problem is reported as one line that names the file,
// the line and the field, so that an operator can go straight to it.
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

// A FieldError is a problem with one field of a settings file.
type FieldError struct {
	File    string
	Line    int
	Field   string
	Problem string
}

// Error returns file, line, field and problem on one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// Settings are the settings of one daemon.
type Settings struct {
	// Host names the daemon in the platform's list of hosts and in status.
	Host string
	// DataCentre is where the daemon runs.
	DataCentre string
	// EntryAddress is where callers connect.
	EntryAddress netip.AddrPort
	// ForwardAddress is where other daemons send requests to be dispatched.
	ForwardAddress netip.AddrPort
	// ControlAddress serves other daemons' control calls, status, dump and metrics.
	ControlAddress netip.AddrPort
	// PlatformAddress is the platform's object API.
	PlatformAddress netip.AddrPort
	// Peers are control addresses that a daemon asks before it knows the list of hosts.
	Peers []netip.AddrPort
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Limits of durations that settings may give.
const (
	MinShutdownTimeout     = time.Second
	MaxShutdownTimeout     = time.Hour
	DefaultShutdownTimeout = 30 * time.Second
)

// document is the file's form; pointers tell an absent field from an empty one.
type document struct {
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

// Parse checks data; file names it in errors. It returns a *FieldError.
func Parse(file string, data []byte) (Settings, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, yamlError(file, err)
	}
	var doc document
	if err := yaml.UnmarshalWithOptions(data, &doc, yaml.Strict()); err != nil {
		return Settings{}, yamlError(file, err)
	}
	c := checker{file: file, lines: fieldLines(tree)}
	s := Settings{
		Host:            c.text("host", doc.Host),
		DataCentre:      c.text("data_centre", doc.DataCentre),
		EntryAddress:    c.address("entry_address", doc.EntryAddress),
		ForwardAddress:  c.address("forward_address", doc.ForwardAddress),
		ControlAddress:  c.address("control_address", doc.ControlAddress),
		PlatformAddress: c.address("platform_address", doc.PlatformAddress),
		ShutdownTimeout: c.duration("shutdown_timeout", doc.ShutdownTimeout),
		LogLevel:        c.level("log_level", doc.LogLevel),
	}
	for i := range doc.Peers {
		s.Peers = append(s.Peers, c.address("peers", &doc.Peers[i]))
	}
	if c.err != nil {
		return Settings{}, c.err
	}
	return s, nil
}

// checker keeps the first problem that it finds.
type checker struct {
	file  string
	lines map[string]int
	err   error
}

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

func (c *checker) text(field string, v *string) string {
	if v == nil || *v == "" {
		c.fail(field, "is required")
		return ""
	}
	return *v
}

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

func (c *checker) duration(field string, v *string) time.Duration {
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

func (c *checker) level(field string, v *string) string {
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
	position     = regexp.MustCompile(`^\[(\d+):\d+\] ([^\n]*)`)
	unknownField = regexp.MustCompile(`unknown field "([^"]+)"`)
)

func yamlError(file string, err error) error {
	fe := &FieldError{File: file, Line: 1, Field: "document", Problem: err.Error()}
	if m := position.FindStringSubmatch(err.Error()); m != nil {
		fe.Line, _ = strconv.Atoi(m[1])
		fe.Problem = m[2]
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		fe.Field = m[1]
		fe.Problem = "is not a known field"
	}
	return fe
}
