// Package catalogue keeps the records that are in force in a daemon.
//
// A record is taken only at a higher store version than it has had, so a
// catalogue never goes back. A record that does not validate is reported, and
// the last good one stays in force.
//
// # Usage
//
//	c := catalogue.New(registry)
//	c.Subscribe(func() { ... })
//	c.Apply(catalogue.ObjectKind, objects) // from the store or a peer
//	bundle, ok := c.Service("stockroom")
package catalogue

import (
	"sort"
	"strings"
	"sync"

	"github.com/redwingtally/redwingtally/placement"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/policy"
	"github.com/redwingtally/redwingtally/record"
	"github.com/redwingtally/redwingtally/service"
)

// ObjectKind is the kind of the store's objects that hold records.
const ObjectKind = "record"

// ObjectName returns the name of the store's object for a record.
func ObjectName(kind, name string) string { return kind + "." + name }

// A Bundle is what is in force for one service.
type Bundle struct {
	Name      string         `json:"name"`
	Version   uint64         `json:"version"`
	Service   service.Spec   `json:"service"`
	Placement placement.Spec `json:"placement"`
	Policy    policy.Spec    `json:"policy"`
}

// A Problem is a record that is not in force.
type Problem struct {
	Record  string           `json:"record"`
	Version platform.Version `json:"version"`
	Problem string           `json:"problem"`
}

// A Catalogue is the set of records in force. It is safe for concurrent use.
type Catalogue struct {
	registry *record.Registry
	mu       sync.Mutex
	objects  map[string]platform.Object
	good     map[string]record.Record
	problems map[string]Problem
	bundles  map[string]*Bundle
	versions map[string]platform.Version
	ready    bool
	watchers []func()
}

// New returns an empty Catalogue.
func New(registry *record.Registry) *Catalogue {
	return &Catalogue{
		registry: registry,
		objects:  map[string]platform.Object{},
		good:     map[string]record.Record{},
		problems: map[string]Problem{},
		bundles:  map[string]*Bundle{},
		versions: map[string]platform.Version{},
	}
}

// Subscribe calls f after every change.
func (c *Catalogue) Subscribe(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
}

// Replace takes a whole listing of a kind: known objects that it lacks were deleted.
func (c *Catalogue) Replace(kind string, objects []platform.Object) bool {
	listed := map[string]bool{}
	for _, obj := range objects {
		listed[obj.Name] = true
	}
	c.mu.Lock()
	var gone []string
	for key, obj := range c.objects {
		if obj.Kind == kind && !obj.Deleted && !listed[obj.Name] {
			obj.Deleted = true
			c.objects[key] = obj
			delete(c.good, obj.Name)
			delete(c.problems, obj.Name)
			gone = append(gone, obj.Name)
		}
	}
	c.mu.Unlock()
	return c.apply(kind, objects, gone)
}

// Apply takes objects of a kind that are newer than those in force and reports whether any was.
func (c *Catalogue) Apply(kind string, objects []platform.Object) bool {
	return c.apply(kind, objects, nil)
}

// apply takes newer objects; gone are names of records that were deleted.
func (c *Catalogue) apply(kind string, objects []platform.Object, gone []string) bool {
	c.mu.Lock()
	changed := len(gone) > 0
	for _, name := range gone {
		c.build(serviceOf(name))
	}
	if kind == ObjectKind && !c.ready {
		c.ready = true
		changed = true
	}
	for _, obj := range objects {
		if !c.take(obj) {
			continue
		}
		changed = true
		if obj.Kind == ObjectKind {
			c.build(serviceOf(obj.Name))
		}
	}
	watchers := append([]func(){}, c.watchers...)
	c.mu.Unlock()
	if changed {
		for _, f := range watchers {
			f()
		}
	}
	return changed
}

func (c *Catalogue) take(obj platform.Object) bool {
	if have, ok := c.objects[obj.Kind+"/"+obj.Name]; ok && obj.Version <= have.Version {
		return false
	}
	c.objects[obj.Kind+"/"+obj.Name] = obj
	c.versions[obj.Kind] = max(c.versions[obj.Kind], obj.Version)
	if obj.Kind != ObjectKind {
		return true
	}
	delete(c.problems, obj.Name)
	if obj.Deleted {
		delete(c.good, obj.Name)
		return true
	}
	r, err := record.Decode(obj.Value)
	if err == nil {
		err = c.registry.Validate(r)
	}
	if err == nil {
		r, err = c.registry.ConvertToNewest(r)
	}
	if err != nil {
		c.problems[obj.Name] = Problem{Record: obj.Name, Version: obj.Version, Problem: err.Error()}
		return true
	}
	c.good[obj.Name] = r
	return true
}

// build makes the bundle of one service anew.
func (c *Catalogue) build(name string) {
	r, ok := c.good[ObjectName("service", name)]
	if !ok {
		delete(c.bundles, name)
		return
	}
	b := &Bundle{Name: name, Policy: policy.Default()}
	for _, kind := range []string{"service", "placement", "policy"} {
		obj := c.objects[ObjectKind+"/"+ObjectName(kind, name)]
		b.Version = max(b.Version, uint64(obj.Version))
	}
	b.Service, _ = service.Decode(r.Spec)
	if p, ok := c.good[ObjectName("placement", name)]; ok {
		b.Placement, _ = placement.Decode(p.Spec)
	}
	if p, ok := c.good[ObjectName("policy", name)]; ok {
		b.Policy, _ = policy.Decode(p.Spec)
	}
	c.bundles[name] = b
}

// serviceOf returns the service that a record's object is about.
func serviceOf(objectName string) string {
	_, name, _ := strings.Cut(objectName, ".")
	return name
}

// Service returns what is in force for a service.
func (c *Catalogue) Service(name string) (*Bundle, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.bundles[name]
	return b, ok
}

// Services returns all bundles, by name.
func (c *Catalogue) Services() []*Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*Bundle, 0, len(c.bundles))
	for _, b := range c.bundles {
		out = append(out, b)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Version returns the highest version of a kind of object that was taken.
func (c *Catalogue) Version(kind string) platform.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[kind]
}

// Ready reports whether records were ever learned.
func (c *Catalogue) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// Object returns the newest known object of a kind and name.
func (c *Catalogue) Object(kind, name string) (platform.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	obj, ok := c.objects[kind+"/"+name]
	return obj, ok && !obj.Deleted
}

// Since returns the objects of a kind that changed after a version, in order.
func (c *Catalogue) Since(kind string, after platform.Version) []platform.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []platform.Object
	for _, obj := range c.objects {
		if obj.Kind == kind && obj.Version > after {
			out = append(out, obj)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out
}

// Problems returns the records that are not in force, by name.
func (c *Catalogue) Problems() []Problem {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Problem, 0, len(c.problems))
	for _, p := range c.problems {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return strings.Compare(out[i].Record, out[j].Record) < 0 })
	return out
}

// A State is the dump of a Catalogue.
type State struct {
	Ready    bool             `json:"ready"`
	Version  platform.Version `json:"version"`
	Services []*Bundle        `json:"services"`
	Problems []Problem        `json:"problems"`
}

// Dump returns the state of the catalogue.
func (c *Catalogue) Dump() State {
	return State{Ready: c.Ready(), Version: c.Version(ObjectKind), Services: c.Services(), Problems: c.Problems()}
}
