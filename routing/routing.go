// Package routing selects the route of a request and the service that it is sent to.
//
// A Table is built from one version of the configuration and is not updated. Of the
// routes for the request's host name, the one with the longest matching prefix is
// selected. A route with several services splits its requests by weight, and even
// a few requests follow the weights closely.
//
// # Usage
//
//	table := routing.New(configuration)
//	route := table.Match("quotes.example", "/holders/7")
//	service := route.PickService(entryHost)
package routing

import (
	"math"
	"net"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingtally/redwingtally/platform"
)

// A Table contains the routes of one version of the configuration. It is safe for concurrent use.
type Table struct {
	// Configuration is the configuration that the table was built from.
	Configuration *platform.Configuration

	routesByHost map[string][]*Route // longest prefix first
	services     map[string]platform.Service
}

// A Route is a route of the configuration with the state of its traffic split.
type Route struct {
	platform.Route

	mu       sync.Mutex
	seeded   bool
	position float64 // next point of the sequence
}

// New returns the Table of a configuration.
func New(c *platform.Configuration) *Table {
	t := &Table{
		Configuration: c,
		routesByHost:  map[string][]*Route{},
		services:      map[string]platform.Service{},
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], &Route{Route: r})
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// Match returns the route of a request, or nil if no route matches. host may
// include a port.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service called name, or false if it does not exist.
func (t *Table) Service(name string) (platform.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// SingleRank reports whether all routes that send requests to a service have the same rank.
func (t *Table) SingleRank(service string) bool {
	rank, found := 0, false
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if !r.SendsTo(service) {
				continue
			}
			if found && r.Rank != rank {
				return false
			}
			rank, found = r.Rank, true
		}
	}
	return true
}

// goldenRatioConjugate is the step of an additive recurrence modulo 1. Any few
// consecutive points of it are spread evenly over the unit interval.
const goldenRatioConjugate = 0.6180339887498949

// PickService returns the name of the service for the next request of the route. It maps
// a low-discrepancy sequence to the weights of the shares. The sequence starts at the
// hash of the first call's seed; later seeds are ignored. Hosts with different seeds
// start at different points, so that a few requests on each of many hosts also
// follow the weights.
func (r *Route) PickService(seed string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point := r.next(seed) * total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// SendsTo reports whether the route sends requests to a service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s platform.WeightedService) bool {
		return s.Service == service && (s.Weight > 0 || len(r.Shares) == 1)
	})
}

// next returns the next point of the sequence in [0, 1). seed is used by the first
// call only.
func (r *Route) next(seed string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.seeded {
		r.seeded = true
		r.position = float64(xxhash.Sum64String(seed)>>11) / (1 << 53)
	}
	point := r.position
	_, r.position = math.Modf(r.position + goldenRatioConjugate)
	return point
}
