package kernel

import (
	"context"
	"log/slog"
	"sort"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrDuplicate reports that a name is registered already.
var ErrDuplicate = eris.New("kernel: service name is registered already")

// ErrUnknown reports that no service has the name.
var ErrUnknown = eris.New("kernel: no such service")

// ErrType reports that a service has another type than the caller asked for.
var ErrType = eris.New("kernel: service has another type")

// ErrStart reports that a service failed to start.
var ErrStart = eris.New("kernel: service did not start")

// A Service is one part of a process.
type Service struct {
	// Name identifies the service in Lookup and in the state dump.
	Name string
	// Priority orders the start; lower values start first and stop last.
	Priority int
	// Value is what Lookup returns.
	Value any
	// Start begins the service's work; it must not block. It may be nil.
	Start func(ctx context.Context) error
	// Stop ends the service's work within ctx. It may be nil.
	Stop func(ctx context.Context) error
	// Dump returns a value for the state dump, to be encoded as JSON. It may be nil.
	Dump func() any
}

// A Kernel is a registry of services. It is safe for concurrent use.
type Kernel struct {
	log      *slog.Logger
	mu       sync.Mutex
	services []Service
	started  int
}

// New returns an empty Kernel that logs to log.
func New(log *slog.Logger) *Kernel {
	return &Kernel{log: log.With("part", "kernel")}
}

// Register adds s, or returns ErrDuplicate.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, have := range k.services {
		if have.Name == s.Name {
			return eris.Wrap(ErrDuplicate, s.Name)
		}
	}
	k.services = append(k.services, s)
	sort.SliceStable(k.services, func(i, j int) bool {
		return k.services[i].Priority < k.services[j].Priority
	})
	return nil
}

// Start starts all services in order of priority. When one fails, those that
// were started are stopped again and ErrStart is returned.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.list() {
		if s.Start != nil {
			if err := s.Start(ctx); err != nil {
				k.log.Error("Service did not start.", "service", s.Name, "error", err)
				_ = k.Stop(ctx)
				return eris.Wrapf(ErrStart, "%s: %v", s.Name, err)
			}
		}
		k.mu.Lock()
		k.started++
		k.mu.Unlock()
		k.log.Debug("Service started.", "service", s.Name)
	}
	return nil
}

// Stop stops the started services in reverse order and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	services := k.list()
	for {
		k.mu.Lock()
		k.started--
		i := k.started
		k.mu.Unlock()
		if i < 0 {
			break
		}
		s := services[i]
		if s.Stop == nil {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			k.log.Error("Service did not stop cleanly.", "service", s.Name, "error", err)
			if first == nil {
				first = err
			}
		}
	}
	k.mu.Lock()
	k.started = 0
	k.mu.Unlock()
	return first
}

// A State is the dump of one service.
type State struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

// Dump returns the state of all services that offer one, in order of priority.
func (k *Kernel) Dump() []State {
	var out []State
	for _, s := range k.list() {
		if s.Dump != nil {
			out = append(out, State{Name: s.Name, State: s.Dump()})
		}
	}
	return out
}

// Lookup returns the value of the service called name, or ErrUnknown or ErrType.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	for _, s := range k.list() {
		if s.Name != name {
			continue
		}
		v, ok := s.Value.(T)
		if !ok {
			return zero, eris.Wrap(ErrType, name)
		}
		return v, nil
	}
	return zero, eris.Wrap(ErrUnknown, name)
}

func (k *Kernel) list() []Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Service(nil), k.services...)
}
