package routing

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/redwingtally/redwingtally/platform"
)

// A Severity tells whether a finding makes a configuration unusable.
type Severity string

// Values of Severity.
const (
	// Error means that requests would be rejected or misrouted.
	Error Severity = "error"
	// Warning means that a part of the configuration has no effect, or contradicts another.
	Warning Severity = "warning"
)

// A Finding is a fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the entry and the field, such as "route deposits: timeout".
	Place   string `json:"place"`
	Message string `json:"message"`
}

// A Change is a difference between two configurations.
type Change struct {
	// Place is the entry, such as "route deposits", or "limits".
	Place string `json:"place"`
	// Fields lists the fields that differ; it is empty if the whole entry was added or removed.
	Fields  []string `json:"fields,omitempty"`
	Added   bool     `json:"added,omitempty"`
	Removed bool     `json:"removed,omitempty"`
}

// checker collects the findings of one configuration.
type checker struct {
	findings []Finding
}

func (c *checker) add(s Severity, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Place: place, Message: fmt.Sprintf(format, args...)})
}

// Check returns the faults of a configuration: errors, entries that can never match and limits that contradict each other.
func Check(conf *platform.Configuration) []Finding {
	c := &checker{}
	known, used := map[string]bool{}, map[string]bool{}
	for _, s := range conf.Services {
		known[s.Name] = true
	}
	for i := range conf.Routes {
		c.checkRoute(&conf.Routes[i])
		c.checkShares(&conf.Routes[i], known, used)
	}
	c.checkUnreachable(conf.Routes)
	for _, s := range conf.Services {
		place := "service " + s.Name
		if !used[s.Name] {
			c.add(Warning, place, "no route sends requests to it")
		}
		if s.MaxConnections < 0 {
			c.add(Error, place+": connections", "%d is negative", s.MaxConnections)
		}
		if !strings.HasPrefix(s.HealthPath, "/") {
			c.add(Error, place+": health path", "%q does not begin with a slash", s.HealthPath)
		}
	}
	c.checkLimits(conf.Limits)
	return c.findings
}

// checkRoute checks the fields of a route.
func (c *checker) checkRoute(r *platform.Route) {
	place := "route " + r.Name
	if r.Host == "" {
		c.add(Error, place+": host", "is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(Error, place+": prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if strings.Contains(r.Prefix, "?") {
		c.add(Error, place+": prefix", "%q contains a query, which is not compared", r.Prefix)
	}
	if r.Timeout <= 0 {
		c.add(Error, place+": timeout", "%s is not above zero", r.Timeout)
	}
	if r.Objective < 0 {
		c.add(Error, place+": objective", "%s is negative", r.Objective)
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(Warning, place+": objective", "%s can never be missed, as requests end after the timeout of %s", r.Objective, r.Timeout)
	}
	if r.Rank < 0 {
		c.add(Error, place+": priority", "%d is negative", r.Rank)
	}
}

// checkShares checks the services of a route and records in used those that get requests.
func (c *checker) checkShares(r *platform.Route, known, used map[string]bool) {
	place, total := "route "+r.Name+": services", 0.0
	names := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		if !known[s.Service] {
			c.add(Error, place, "service %q does not exist", s.Service)
		}
		if slices.Contains(names, s.Service) {
			c.add(Warning, place, "service %q is listed twice", s.Service)
		}
		names = append(names, s.Service)
		switch {
		case s.Weight < 0:
			c.add(Error, place, "weight %v of service %q is negative", s.Weight, s.Service)
		case s.Weight == 0 && len(r.Shares) > 1:
			c.add(Warning, place, "service %q has the weight 0 and gets no requests", s.Service)
		default:
			used[s.Service] = true
		}
		total += s.Weight
	}
	if total <= 0 {
		c.add(Error, place, "the weights add up to %v", total)
	}
}

// checkUnreachable reports routes that no request can select, because another one has the same host and prefix.
func (c *checker) checkUnreachable(routes []platform.Route) {
	type key struct{ host, prefix string }
	first := map[key]string{}
	for _, r := range routes {
		k := key{strings.ToLower(r.Host), r.Prefix}
		if other, ok := first[k]; ok {
			c.add(Error, "route "+r.Name, "no request selects it: route %s has the same host %q and prefix %q", other, r.Host, r.Prefix)
			continue
		}
		first[k] = r.Name
	}
}

// checkLimits checks the limits of callers' requests.
func (c *checker) checkLimits(l platform.Limits) {
	sizes := []struct {
		name  string
		value int64
	}{{"header size", l.HeaderBytes}, {"body size", l.BodyBytes}}
	for _, s := range sizes {
		if s.value < 0 {
			c.add(Error, "limits: "+s.name, "%d is negative", s.value)
		}
	}
	times := []struct {
		name  string
		value time.Duration
	}{{"header timeout", l.HeaderTimeout}, {"idle timeout", l.IdleTimeout}}
	for _, t := range times {
		if t.value < 0 {
			c.add(Error, "limits: "+t.name, "%s is negative", t.value)
		}
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Warning, "limits: header timeout", "%s is longer than the idle timeout of %s", l.HeaderTimeout, l.IdleTimeout)
	}
}

// Compare returns what a configuration changes in the one in force.
func Compare(inForce, next *platform.Configuration) []Change {
	var out []Change
	out = append(out, compareEntries("route ", inForce.Routes, next.Routes, func(r platform.Route) string { return r.Name })...)
	out = append(out, compareEntries("service ", inForce.Services, next.Services, func(s platform.Service) string { return s.Name })...)
	if fields := differingFields(inForce.Limits, next.Limits); len(fields) > 0 {
		out = append(out, Change{Place: "limits", Fields: fields})
	}
	return out
}

// compareEntries returns the differences between two lists of entries that are sorted by name.
func compareEntries[T any](prefix string, before, after []T, name func(T) string) []Change {
	var out []Change
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && name(before[0]) < name(after[0]):
			out = append(out, Change{Place: prefix + name(before[0]), Removed: true})
			before = before[1:]
		case len(before) == 0 || name(after[0]) < name(before[0]):
			out = append(out, Change{Place: prefix + name(after[0]), Added: true})
			after = after[1:]
		default:
			if fields := differingFields(before[0], after[0]); len(fields) > 0 {
				out = append(out, Change{Place: prefix + name(after[0]), Fields: fields})
			}
			before, after = before[1:], after[1:]
		}
	}
	return out
}

// differingFields returns the names of the fields in which two structs differ, in snake case.
func differingFields(a, b any) []string {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	var out []string
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			out = append(out, snakeCase(va.Type().Field(i).Name))
		}
	}
	return out
}

// snakeCase converts the name of an exported field, such as BodyBytes to body_bytes.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
