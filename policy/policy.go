// Package policy defines the policy record: the classes of a service's
// requests, the routes that put requests into classes, and retries.
//
// # Usage
//
//	spec, err := policy.Decode(rec.Spec) // newest schema version
//	route := spec.Match("POST", "/deposits/17")
//	class := spec.Classes[route.Index]
package policy

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/fields"
	"github.com/redwingtally/redwingtally/record"
)

// ErrSpec reports that a policy's spec is malformed or breaks a rule.
var ErrSpec = eris.New("policy: invalid spec")

// Limits of a policy record.
const (
	MaxClasses    = 16
	MaxRoutes     = 256
	MaxQueue      = 100_000
	MaxAttempts   = 5
	MaxDeadline   = time.Hour
	MaxRetryRatio = 0.5
)

// Version is the newest schema version.
const Version = 2

// A Spec describes how the requests of one service are treated.
type Spec struct {
	// Classes are the service's classes; the lowest rank is served first.
	Classes []Class `json:"classes"`
	// Routes put requests into classes; the first match counts.
	Routes []Route `json:"routes"`
	// Retry bounds retries.
	Retry Retry `json:"retry"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// A Class is a group of requests of the same importance.
type Class struct {
	Name string `json:"name"`
	// Rank orders classes; 0 is served first.
	Rank int `json:"rank"`
	// QueueLimit bounds the requests of the class that wait.
	QueueLimit int `json:"queue_limit"`
	// Deadline is the time that a request may take unless its caller asks for less.
	Deadline record.Duration `json:"deadline"`
	// Ageing is the wait after which a request is served ahead of better ranks.
	Ageing record.Duration `json:"ageing"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// A Route matches requests by method and path prefix.
type Route struct {
	// Method is an HTTP method; an empty one matches all.
	Method string `json:"method,omitempty"`
	// Prefix is the start of the path below the service's name.
	Prefix string `json:"prefix"`
	// Class names the class of matching requests.
	Class string `json:"class"`
	// Repeatable says that a request may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// OnceOnly says that a request must carry a request id and runs at most once.
	OnceOnly bool `json:"once_only,omitempty"`
	// Long says that requests are known to run long.
	Long bool `json:"long,omitempty"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// Retry bounds retries of one service.
type Retry struct {
	// Ratio is the greatest number of retries for each successful request.
	Ratio float64 `json:"ratio"`
	// Attempts is the greatest number of attempts of one request.
	Attempts int `json:"attempts"`
	// Unknown holds fields of newer versions.
	Unknown fields.Unknown `json:"-"`
}

// Default returns the policy of a service that has no policy record.
func Default() Spec {
	return Spec{
		Classes: []Class{{
			Name:       "default",
			QueueLimit: 1000,
			Deadline:   record.Duration{Duration: 10 * time.Second},
			Ageing:     record.Duration{Duration: time.Second},
		}},
		Routes: []Route{{Prefix: "/", Class: "default"}},
		Retry:  Retry{Ratio: 0.1, Attempts: 2},
	}
}

// A Match is the route and the class of a request.
type Match struct {
	// Route is the index of the route.
	Route int
	// Class is the index of the class.
	Class int
}

// Match returns the first route that fits, and false when none does.
func (s Spec) Match(method, path string) (Match, bool) {
	for i, r := range s.Routes {
		if r.Method != "" && r.Method != method {
			continue
		}
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		return Match{Route: i, Class: s.class(r.Class)}, true
	}
	return Match{}, false
}

func (s Spec) class(name string) int {
	for i, c := range s.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// Decode decodes and checks a spec of the newest version, or returns ErrSpec.
func Decode(spec json.RawMessage) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(spec, &s); err != nil {
		return Spec{}, eris.Wrapf(ErrSpec, "%v", err)
	}
	if err := s.checkClasses(); err != nil {
		return Spec{}, err
	}
	if err := s.checkRoutes(); err != nil {
		return Spec{}, err
	}
	if s.Retry.Ratio < 0 || s.Retry.Ratio > MaxRetryRatio {
		return Spec{}, eris.Wrapf(ErrSpec, "retry.ratio: %v is outside 0 to %v", s.Retry.Ratio, MaxRetryRatio)
	}
	if s.Retry.Attempts < 1 || s.Retry.Attempts > MaxAttempts {
		return Spec{}, eris.Wrapf(ErrSpec, "retry.attempts: %d is outside 1 to %d", s.Retry.Attempts, MaxAttempts)
	}
	return s, nil
}

func (s Spec) checkClasses() error {
	if len(s.Classes) == 0 || len(s.Classes) > MaxClasses {
		return eris.Wrapf(ErrSpec, "classes: %d is outside 1 to %d", len(s.Classes), MaxClasses)
	}
	for i, c := range s.Classes {
		switch {
		case c.Name == "":
			return eris.Wrapf(ErrSpec, "classes[%d].name: is required", i)
		case s.class(c.Name) != i:
			return eris.Wrapf(ErrSpec, "classes[%d].name: %q comes twice", i, c.Name)
		case c.Rank < 0 || c.Rank >= MaxClasses:
			return eris.Wrapf(ErrSpec, "classes[%d].rank: %d is outside 0 to %d", i, c.Rank, MaxClasses-1)
		case c.QueueLimit < 1 || c.QueueLimit > MaxQueue:
			return eris.Wrapf(ErrSpec, "classes[%d].queue_limit: %d is outside 1 to %d", i, c.QueueLimit, MaxQueue)
		case c.Deadline.Duration <= 0 || c.Deadline.Duration > MaxDeadline:
			return eris.Wrapf(ErrSpec, "classes[%d].deadline: %s is outside 0s to %s", i, c.Deadline, MaxDeadline)
		case c.Deadline.Duration%time.Millisecond != 0, c.Ageing.Duration%time.Millisecond != 0:
			return eris.Wrapf(ErrSpec, "classes[%d]: deadline and ageing are not whole milliseconds", i)
		case c.Ageing.Duration <= 0 || c.Ageing.Duration > MaxDeadline:
			return eris.Wrapf(ErrSpec, "classes[%d].ageing: %s is outside 0s to %s", i, c.Ageing, MaxDeadline)
		}
	}
	return nil
}

func (s Spec) checkRoutes() error {
	if len(s.Routes) == 0 || len(s.Routes) > MaxRoutes {
		return eris.Wrapf(ErrSpec, "routes: %d is outside 1 to %d", len(s.Routes), MaxRoutes)
	}
	for i, r := range s.Routes {
		switch {
		case !strings.HasPrefix(r.Prefix, "/"):
			return eris.Wrapf(ErrSpec, "routes[%d].prefix: %q does not begin with /", i, r.Prefix)
		case s.class(r.Class) < 0:
			return eris.Wrapf(ErrSpec, "routes[%d].class: %q is not a class of this policy", i, r.Class)
		case r.OnceOnly && r.Repeatable:
			return eris.Wrapf(ErrSpec, "routes[%d]: once_only and repeatable exclude each other", i)
		}
	}
	return nil
}

// Kind returns the record kind "policy".
func Kind() record.Kind {
	return record.Schema[Spec]{
		Name:      "policy",
		Newest:    Version,
		Decode:    Decode,
		Unknown:   unknown,
		Upgrade:   upgrade,
		Downgrade: downgrade,
	}.Kind()
}

func unknown(s Spec) []string {
	names := append(s.Unknown.Names(), s.Retry.Unknown.Names()...)
	for _, c := range s.Classes {
		names = append(names, c.Unknown.Names()...)
	}
	for _, r := range s.Routes {
		names = append(names, r.Unknown.Names()...)
	}
	return names
}
