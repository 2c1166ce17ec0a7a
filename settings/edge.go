package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

// Edge holds the settings of redwingtally-edge, the daemon for the users' platform.
type Edge struct {
	// Host is the name of the daemon in logs and reports.
	Host string
	// DataCentre is the data centre in which the daemon runs.
	DataCentre string
	// EntryAddress is the address to which callers connect.
	EntryAddress netip.AddrPort
	// ReadyAddress is the address of the readiness check, with which the platform asks
	// whether the daemon accepts new connections.
	ReadyAddress netip.AddrPort
	// ControlAddress is the address that serves the other daemons.
	ControlAddress netip.AddrPort
	// MetricsAddress is the address that serves metrics and the state dump.
	MetricsAddress netip.AddrPort
	// StoreAddress is the address of the platform's object API.
	StoreAddress netip.AddrPort
	// RelayAddress is the address that serves requests which other hosts pass on. The zero value means that the host
	// neither serves nor passes on such requests.
	RelayAddress netip.AddrPort
	// MemoryMB is the memory available to the process, in megabytes.
	MemoryMB int
	// BodyMemoryMB is the part of MemoryMB for callers' headers and bodies, in megabytes; 0 means 9/32 of MemoryMB.
	BodyMemoryMB int
	// MaxConnections bounds the connections of callers; 0 means a bound from MemoryMB and the process's descriptors.
	MaxConnections int
	// CPUShare is the CPU time available to the process, in cores; it may be a fraction.
	CPUShare float64
	// Drain is the platform's drain time: how long a draining target may still receive requests. The directory
	// retains entries that were removed together for a part of it.
	Drain time.Duration
	// Shutdown is the time between SIGTERM and SIGKILL.
	Shutdown time.Duration
	// Evacuate is the time within which hosts must stop sending to a data centre that operators evacuate. The zero value
	// means that there are no evacuations.
	Evacuate time.Duration
	// ColdOver and ColdSlack bound the requests to a cold target: in any second, all daemons together send it at most ColdOver
	// times what it sustains and ColdSlack more.
	ColdOver  float64
	ColdSlack float64
	// RetryRatio is the number of retries allowed per request. This and the following
	// two settings limit the retries of all daemons together.
	RetryRatio float64
	// RetryExtra is the number of additional retries allowed within RetryWindow.
	RetryExtra float64
	// RetryWindow is the time over which requests and retries are counted.
	RetryWindow time.Duration
	// FirstStart reports whether all daemons start for the first time, so that the platform cannot have lost anything of
	// theirs.
	FirstStart bool
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// edgeDocument is the YAML form of Edge. Its fields are pointers to distinguish
// absent fields from empty ones.
type edgeDocument struct {
	Host           *string  `yaml:"host"`
	DataCentre     *string  `yaml:"data_centre"`
	EntryAddress   *string  `yaml:"entry_address"`
	ReadyAddress   *string  `yaml:"ready_address"`
	ControlAddress *string  `yaml:"control_address"`
	MetricsAddress *string  `yaml:"metrics_address"`
	StoreAddress   *string  `yaml:"store_address"`
	RelayAddress   *string  `yaml:"relay_address"`
	MemoryMB       *int     `yaml:"memory_mb"`
	BodyMemoryMB   *int     `yaml:"body_memory_mb"`
	MaxConnections *int     `yaml:"max_connections"`
	CPUShare       *float64 `yaml:"cpu_share"`
	Drain          *string  `yaml:"drain"`
	Shutdown       *string  `yaml:"shutdown"`
	Evacuate       *string  `yaml:"evacuate"`
	ColdOver       *float64 `yaml:"cold_over"`
	ColdSlack      *float64 `yaml:"cold_slack"`
	RetryRatio     *float64 `yaml:"retry_ratio"`
	RetryExtra     *float64 `yaml:"retry_extra"`
	RetryWindow    *string  `yaml:"retry_window"`
	FirstStart     *bool    `yaml:"first_start"`
	LogLevel       *string  `yaml:"log_level"`
}

const (
	// minMemoryMB is the least memory of a process.
	minMemoryMB = 16
	// minBodyMemoryMB is the least memory for bodies: a request with a body of any size needs just over one megabyte, and a
	// quarter is reserved for small bodies.
	minBodyMemoryMB = 2
)

// Defaults of optional settings.
const (
	defaultMemoryMB    = 256
	defaultCPUShare    = 1
	defaultDrain       = 2 * time.Second
	defaultShutdown    = 6 * time.Second
	defaultColdOver    = 1.5
	defaultColdSlack   = 8
	defaultRetryRatio  = 0.2
	defaultRetryExtra  = 20
	defaultRetryWindow = 10 * time.Second
)

// LoadEdge reads and checks the file at path. It returns ErrRead or a *FieldError.
func LoadEdge(path string) (Edge, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, eris.Wrapf(ErrRead, "%s: %v", path, err)
	}
	return ParseEdge(path, data)
}

// ParseEdge parses and checks data. The name file appears in errors, which have
// the type *FieldError.
func ParseEdge(file string, data []byte) (Edge, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Edge{}, yamlError(file, err)
	}
	var doc edgeDocument
	if err := yaml.UnmarshalWithOptions(data, &doc, yaml.Strict()); err != nil {
		return Edge{}, yamlError(file, err)
	}
	c := checker{file: file, lines: fieldLines(tree)}
	s := Edge{
		Host:           c.requiredString("host", doc.Host),
		DataCentre:     c.requiredString("data_centre", doc.DataCentre),
		EntryAddress:   c.address("entry_address", doc.EntryAddress),
		ReadyAddress:   c.address("ready_address", doc.ReadyAddress),
		ControlAddress: c.address("control_address", doc.ControlAddress),
		MetricsAddress: c.address("metrics_address", doc.MetricsAddress),
		StoreAddress:   c.address("store_address", doc.StoreAddress),
		RelayAddress:   c.optionalAddress("relay_address", doc.RelayAddress),
		MemoryMB:       int(c.number("memory_mb", toFloat(doc.MemoryMB), defaultMemoryMB, minMemoryMB, 1<<20)),
		BodyMemoryMB:   int(c.number("body_memory_mb", toFloat(doc.BodyMemoryMB), 0, minBodyMemoryMB, 1<<20)),
		MaxConnections: int(c.number("max_connections", toFloat(doc.MaxConnections), 0, 1, 1e6)),
		CPUShare:       c.number("cpu_share", doc.CPUShare, defaultCPUShare, 0.001, 1024),
		Drain:          c.durationBetween("drain", doc.Drain, defaultDrain, 100*time.Millisecond, time.Hour),
		Shutdown:       c.durationBetween("shutdown", doc.Shutdown, defaultShutdown, MinShutdownTimeout, MaxShutdownTimeout),
		Evacuate:       c.durationBetween("evacuate", doc.Evacuate, 0, 100*time.Millisecond, 10*time.Minute),
		ColdOver:       c.number("cold_over", doc.ColdOver, defaultColdOver, 0.1, 100),
		ColdSlack:      c.number("cold_slack", doc.ColdSlack, defaultColdSlack, 0, 1e6),
		RetryRatio:     c.number("retry_ratio", doc.RetryRatio, defaultRetryRatio, 0, 10),
		RetryExtra:     c.number("retry_extra", doc.RetryExtra, defaultRetryExtra, 0, 1e6),
		RetryWindow:    c.durationBetween("retry_window", doc.RetryWindow, defaultRetryWindow, time.Second, time.Hour),
		FirstStart:     doc.FirstStart != nil && *doc.FirstStart,
		LogLevel:       c.logLevel("log_level", doc.LogLevel),
	}
	if s.BodyMemoryMB > s.MemoryMB/2 {
		c.fail("body_memory_mb", fmt.Sprintf("%d is more than half of memory_mb, %d", s.BodyMemoryMB, s.MemoryMB))
	}
	if c.err != nil {
		return Edge{}, c.err
	}
	return s, nil
}

// optionalAddress returns an IP address with a port other than 0, or the zero value if it is absent.
func (c *checker) optionalAddress(field string, v *string) netip.AddrPort {
	if v == nil {
		return netip.AddrPort{}
	}
	return c.address(field, v)
}

// toFloat converts an optional integer to an optional float64.
func toFloat(n *int) *float64 {
	if n == nil {
		return nil
	}
	f := float64(*n)
	return &f
}

// number returns a number after checking that it lies between low and high, or
// defaultValue if it is absent.
func (c *checker) number(field string, v *float64, defaultValue, low, high float64) float64 {
	if v == nil {
		return defaultValue
	}
	if *v < low || *v > high {
		c.fail(field, fmt.Sprintf("%v is outside %v to %v", *v, low, high))
	}
	return *v
}

// durationBetween returns a duration after checking that it lies between low and
// high, or defaultValue if it is absent.
func (c *checker) durationBetween(field string, v *string, defaultValue, low, high time.Duration) time.Duration {
	if v == nil {
		return defaultValue
	}
	d, err := time.ParseDuration(*v)
	if err != nil {
		c.fail(field, strconv.Quote(*v)+" is not a duration such as 30s")
		return 0
	}
	if d < low || d > high {
		c.fail(field, fmt.Sprintf("%s is outside %s to %s", d, low, high))
	}
	return d
}
