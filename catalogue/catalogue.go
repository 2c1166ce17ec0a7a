// Package catalogue holds the records in force in a daemon.
//
// An object is accepted only at a higher store version than the current one, so
// a catalogue never reverts to older records. A record that fails validation is
// reported, and the last valid one stays in force.
//
// # Usage
//
//	c := catalogue.New(registry)
//	c.Subscribe(func() { ... })
//	c.Apply(catalogue.ObjectKind, objects) // from the store or a peer
//	config, ok := c.Service("stockroom")
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

// ObjectKind is the kind of the store objects that contain records.
const ObjectKind = "record"

// ObjectName returns the name of the store object for a record.
func ObjectName(kind, name string) string { return kind + "." + name }

// A ServiceConfig is the configuration in force for a service.
type ServiceConfig struct {
	Name string `json:"name"`
	// Version is the highest store version among the service's records.
	Version   uint64         `json:"version"`
	Service   service.Spec   `json:"service"`
	Placement placement.Spec `json:"placement"`
	Policy    policy.Spec    `json:"policy"`
}

// InvalidRecord is a record that could not be decoded or failed validation, and the
// reason.
type InvalidRecord struct {
	Record  string           `json:"record"`
	Version platform.Version `json:"version"`
	Reason  string           `json:"problem"`
}

// A Catalogue is the set of records in force. It is safe for concurrent use.
type Catalogue struct {
	registry *record.Registry
	mu       sync.Mutex
	// objects holds the newest objects, deleted ones included, by kind and name.
	objects map[string]platform.Object
	// valid holds the valid records by object name.
	valid map[string]record.Record
	// invalid holds the invalid records by object name.
	invalid map[string]InvalidRecord
	// configs holds the configurations by service name.
	configs map[string]*ServiceConfig
	// versions holds the highest applied version of each kind.
	versions map[string]platform.Version
	// ready reports whether records have been loaded.
	ready bool
	// subscribers are called after every change.
	subscribers []func()
}

// New returns an empty Catalogue.
func New(registry *record.Registry) *Catalogue {
	return &Catalogue{
		registry: registry,
		objects:  map[string]platform.Object{},
		valid:    map[string]record.Record{},
		invalid:  map[string]InvalidRecord{},
		configs:  map[string]*ServiceConfig{},
		versions: map[string]platform.Version{},
	}
}

// Subscribe registers f to be called after every change.
func (c *Catalogue) Subscribe(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// Replace applies a complete list of the objects of a kind and reports whether
// anything changed. Objects missing from the list are marked as deleted.
func (c *Catalogue) Replace(kind string, objects []platform.Object) bool {
	listed := map[string]bool{}
	for _, obj := range objects {
		listed[obj.Name] = true
	}
	c.mu.Lock()
	var deleted []string
	for key, obj := range c.objects {
		if obj.Kind == kind && !obj.Deleted && !listed[obj.Name] {
			obj.Deleted = true
			c.objects[key] = obj
			delete(c.valid, obj.Name)
			delete(c.invalid, obj.Name)
			deleted = append(deleted, obj.Name)
		}
	}
	c.mu.Unlock()
	return c.apply(kind, objects, deleted)
}

// Apply applies the objects of a kind that are newer than the current ones and
// reports whether anything changed.
func (c *Catalogue) Apply(kind string, objects []platform.Object) bool {
	return c.apply(kind, objects, nil)
}

// apply applies newer objects. deleted are the names of objects that the caller
// has already marked as deleted.
func (c *Catalogue) apply(kind string, objects []platform.Object, deleted []string) bool {
	c.mu.Lock()
	changed := len(deleted) > 0
	for _, name := range deleted {
		c.rebuild(serviceOf(name))
	}
	if kind == ObjectKind && !c.ready {
		c.ready = true
		changed = true
	}
	for _, obj := range objects {
		if !c.store(obj) {
			continue
		}
		changed = true
		if obj.Kind == ObjectKind {
			c.rebuild(serviceOf(obj.Name))
		}
	}
	subscribers := append([]func(){}, c.subscribers...)
	c.mu.Unlock()
	if changed {
		for _, f := range subscribers {
			f()
		}
	}
	return changed
}

// store stores an object, decodes and validates its record, and reports whether
// the object is newer than the current one. The caller holds c.mu.
func (c *Catalogue) store(obj platform.Object) bool {
	if current, ok := c.objects[obj.Kind+"/"+obj.Name]; ok && obj.Version <= current.Version {
		return false
	}
	c.objects[obj.Kind+"/"+obj.Name] = obj
	c.versions[obj.Kind] = max(c.versions[obj.Kind], obj.Version)
	if obj.Kind != ObjectKind {
		return true
	}
	delete(c.invalid, obj.Name)
	if obj.Deleted {
		delete(c.valid, obj.Name)
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
		c.invalid[obj.Name] = InvalidRecord{Record: obj.Name, Version: obj.Version, Reason: err.Error()}
		return true
	}
	c.valid[obj.Name] = r
	return true
}

// rebuild rebuilds the configuration of a service from its valid records, or
// deletes it if the service has no valid service record. The caller holds c.mu.
func (c *Catalogue) rebuild(name string) {
	r, ok := c.valid[ObjectName("service", name)]
	if !ok {
		delete(c.configs, name)
		return
	}
	config := &ServiceConfig{Name: name, Policy: policy.Default()}
	for _, kind := range []string{"service", "placement", "policy"} {
		obj := c.objects[ObjectKind+"/"+ObjectName(kind, name)]
		config.Version = max(config.Version, uint64(obj.Version))
	}
	config.Service, _ = service.Decode(r.Spec)
	if p, ok := c.valid[ObjectName("placement", name)]; ok {
		config.Placement, _ = placement.Decode(p.Spec)
	}
	if p, ok := c.valid[ObjectName("policy", name)]; ok {
		config.Policy, _ = policy.Decode(p.Spec)
	}
	c.configs[name] = config
}

// serviceOf returns the name of the service that a record object belongs to.
func serviceOf(objectName string) string {
	_, name, _ := strings.Cut(objectName, ".")
	return name
}

// Service returns the configuration in force for a service.
func (c *Catalogue) Service(name string) (*ServiceConfig, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	config, ok := c.configs[name]
	return config, ok
}

// Services returns the configurations of all services, sorted by name.
func (c *Catalogue) Services() []*ServiceConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*ServiceConfig, 0, len(c.configs))
	for _, config := range c.configs {
		out = append(out, config)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Version returns the highest applied version of the objects of a kind.
func (c *Catalogue) Version(kind string) platform.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[kind]
}

// Ready reports whether records have been loaded.
func (c *Catalogue) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// Object returns the newest object of a kind and name, unless it is deleted.
func (c *Catalogue) Object(kind, name string) (platform.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	obj, ok := c.objects[kind+"/"+name]
	return obj, ok && !obj.Deleted
}

// ChangesSince returns the objects of a kind that are newer than a version,
// including deleted ones, sorted by version.
func (c *Catalogue) ChangesSince(kind string, after platform.Version) []platform.Object {
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

// InvalidRecords returns the invalid records, sorted by name.
func (c *Catalogue) InvalidRecords() []InvalidRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]InvalidRecord, 0, len(c.invalid))
	for _, r := range c.invalid {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return strings.Compare(out[i].Record, out[j].Record) < 0 })
	return out
}

// A State is a snapshot of a Catalogue for the state dump.
type State struct {
	Ready          bool             `json:"ready"`
	Version        platform.Version `json:"version"`
	Services       []*ServiceConfig `json:"services"`
	InvalidRecords []InvalidRecord  `json:"problems"`
}

// Dump returns a snapshot of the Catalogue.
func (c *Catalogue) Dump() State {
	return State{Ready: c.Ready(), Version: c.Version(ObjectKind), Services: c.Services(), InvalidRecords: c.InvalidRecords()}
}
