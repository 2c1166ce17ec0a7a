// Package policy defines the policy record: the request classes of a service,
// the routes that assign requests to classes, and the limits of retries.
//
// # Usage
//
//	spec, err := policy.Decode(rec.Spec) // newest schema version
//	m, ok := spec.Match("POST", "/deposits/17")
//	class := spec.Classes[m.ClassIndex]
package policy

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/internal/fields"
	"github.com/redwingtally/redwingtally/record"
)

// ErrSpec reports that a spec of a policy record is malformed or invalid.
var ErrSpec = eris.New("policy: invalid spec")

// Limits of a policy record.
const (
	// MaxClasses is the maximum number of classes, and the exclusive upper bound of
	// Class.Rank.
	MaxClasses = 16
	// MaxRoutes is the maximum number of routes.
	MaxRoutes = 256
	// MaxQueueLimit is the maximum of Class.QueueLimit.
	MaxQueueLimit = 100_000
	// MaxAttempts is the maximum of Retry.Attempts.
	MaxAttempts = 5
	// MaxDeadline is the maximum of Class.Deadline and Class.Ageing.
	MaxDeadline = time.Hour
	// MaxRetryRatio is the maximum of Retry.Ratio.
	MaxRetryRatio = 0.5
)

// SchemaVersion is the newest schema version of the policy record.
const SchemaVersion = 2

// Spec describes how requests to one service are classified, queued and retried.
type Spec struct {
	// Classes are the classes of the service. The lowest rank is served first.
	Classes []Class `json:"classes"`
	// Routes assign requests to classes. The first matching route applies.
	Routes []Route `json:"routes"`
	// Retry limits retries.
	Retry Retry `json:"retry"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// Class is a group of requests with the same priority and deadline.
type Class struct {
	Name string `json:"name"`
	// Rank is the priority of the class; 0 is served first.
	Rank int `json:"rank"`
	// QueueLimit is the maximum number of queued requests of the class.
	QueueLimit int `json:"queue_limit"`
	// Deadline is the time limit of a request. Its caller can set a shorter one.
	Deadline record.Duration `json:"deadline"`
	// Ageing is the time in the queue after which a request can be served ahead of
	// requests of any rank, within a bounded share of the slots.
	Ageing record.Duration `json:"ageing"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// Route matches requests by method and path prefix.
type Route struct {
	// Method is an HTTP method. An empty Method matches all.
	Method string `json:"method,omitempty"`
	// Prefix is a prefix of the path below the name of the service.
	Prefix string `json:"prefix"`
	// Class is the name of the class of matching requests.
	Class string `json:"class"`
	// Idempotent reports whether a matching request can run more than once.
	Idempotent bool `json:"repeatable,omitempty"`
	// AtMostOnce reports whether a matching request must carry a request id and runs
	// at most once.
	AtMostOnce bool `json:"once_only,omitempty"`
	// LongRunning reports whether matching requests are expected to run long.
	LongRunning bool `json:"long,omitempty"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// Retry limits the retries of requests to one service.
type Retry struct {
	// Ratio is the maximum number of retries per successful request.
	Ratio float64 `json:"ratio"`
	// Attempts is the maximum number of attempts of one request.
	Attempts int `json:"attempts"`
	// UnknownFields holds the fields that this program does not know.
	UnknownFields fields.Unknown `json:"-"`
}

// Default returns the spec that applies to a service without a policy record.
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

// Match identifies the route and the class of a request.
type Match struct {
	// RouteIndex is an index into Spec.Routes.
	RouteIndex int
	// ClassIndex is an index into Spec.Classes.
	ClassIndex int
}

// Match returns the first route that matches a request and its class. It returns
// false if no route matches.
func (s Spec) Match(method, path string) (Match, bool) {
	for i, r := range s.Routes {
		if r.Method != "" && r.Method != method {
			continue
		}
		if !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		return Match{RouteIndex: i, ClassIndex: s.classIndex(r.Class)}, true
	}
	return Match{}, false
}

// classIndex returns the index of the first class with the given name, or -1.
func (s Spec) classIndex(name string) int {
	for i, c := range s.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// Decode decodes and validates a spec of the newest version. It returns ErrSpec
// if the spec is malformed or invalid.
func Decode(spec json.RawMessage) (Spec, error) {
	var s Spec
	if err := json.Unmarshal(spec, &s); err != nil {
		return Spec{}, eris.Wrapf(ErrSpec, "%v", err)
	}
	if err := s.validateClasses(); err != nil {
		return Spec{}, err
	}
	if err := s.validateRoutes(); err != nil {
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

func (s Spec) validateClasses() error {
	if len(s.Classes) == 0 || len(s.Classes) > MaxClasses {
		return eris.Wrapf(ErrSpec, "classes: %d is outside 1 to %d", len(s.Classes), MaxClasses)
	}
	for i, c := range s.Classes {
		switch {
		case c.Name == "":
			return eris.Wrapf(ErrSpec, "classes[%d].name: is required", i)
		case s.classIndex(c.Name) != i:
			return eris.Wrapf(ErrSpec, "classes[%d].name: %q comes twice", i, c.Name)
		case c.Rank < 0 || c.Rank >= MaxClasses:
			return eris.Wrapf(ErrSpec, "classes[%d].rank: %d is outside 0 to %d", i, c.Rank, MaxClasses-1)
		case c.QueueLimit < 1 || c.QueueLimit > MaxQueueLimit:
			return eris.Wrapf(ErrSpec, "classes[%d].queue_limit: %d is outside 1 to %d", i, c.QueueLimit, MaxQueueLimit)
		case c.Deadline.Duration <= 0 || c.Deadline.Duration > MaxDeadline:
			return eris.Wrapf(ErrSpec, "classes[%d].deadline: %s is outside 0s to %s", i, c.Deadline, MaxDeadline)
		case c.Deadline.Duration%time.Millisecond != 0, c.Ageing.Duration%time.Millisecond != 0:
			return eris.Wrapf(ErrSpec, "classes[%d]: deadline and ageing must be whole milliseconds", i)
		case c.Ageing.Duration <= 0 || c.Ageing.Duration > MaxDeadline:
			return eris.Wrapf(ErrSpec, "classes[%d].ageing: %s is outside 0s to %s", i, c.Ageing, MaxDeadline)
		}
	}
	return nil
}

func (s Spec) validateRoutes() error {
	if len(s.Routes) == 0 || len(s.Routes) > MaxRoutes {
		return eris.Wrapf(ErrSpec, "routes: %d is outside 1 to %d", len(s.Routes), MaxRoutes)
	}
	for i, r := range s.Routes {
		switch {
		case !strings.HasPrefix(r.Prefix, "/"):
			return eris.Wrapf(ErrSpec, "routes[%d].prefix: %q does not begin with /", i, r.Prefix)
		case s.classIndex(r.Class) < 0:
			return eris.Wrapf(ErrSpec, "routes[%d].class: %q is not a class of this policy", i, r.Class)
		case r.AtMostOnce && r.Idempotent:
			return eris.Wrapf(ErrSpec, "routes[%d]: once_only and repeatable exclude each other", i)
		}
	}
	return nil
}

// Kind returns the record kind "policy".
func Kind() record.Kind {
	return record.Schema[Spec]{
		Name:          "policy",
		NewestVersion: SchemaVersion,
		Decode:        Decode,
		UnknownFields: unknownFields,
		Upgrade:       upgrade,
		Downgrade:     downgrade,
	}.Kind()
}

// unknownFields returns the names of the unknown fields of s.
func unknownFields(s Spec) []string {
	names := append(s.UnknownFields.Names(), s.Retry.UnknownFields.Names()...)
	for _, c := range s.Classes {
		names = append(names, c.UnknownFields.Names()...)
	}
	for _, r := range s.Routes {
		names = append(names, r.UnknownFields.Names()...)
	}
	return names
}
