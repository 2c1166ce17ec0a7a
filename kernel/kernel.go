package kernel

import (
	"context"
	"log/slog"
	"sort"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrDuplicate is returned by Register for a name that is already registered.
var ErrDuplicate = eris.New("kernel: service name is already registered")

// ErrUnknown is returned by Lookup if no service has the name.
var ErrUnknown = eris.New("kernel: no such service")

// ErrType is returned by Lookup if the value of the service is not of the requested type.
var ErrType = eris.New("kernel: service value has a different type")

// ErrStart is returned by Start if a service fails to start.
var ErrStart = eris.New("kernel: service did not start")

// A Service is a part of a process with a start and a stop function.
type Service struct {
	// Name identifies the service in Lookup and in the state dump. It must be unique.
	Name string
	// Priority defines the start order. Lower values start first and stop last.
	Priority int
	// Value is what Lookup returns.
	Value any
	// Start starts the service and must not block. It may be nil.
	Start func(ctx context.Context) error
	// Stop stops the service before ctx ends. It may be nil.
	Stop func(ctx context.Context) error
	// Dump returns a JSON-encodable value for the state dump. It may be nil.
	Dump func() any
}

// A Registry is a registry of services. It is safe for concurrent use.
type Registry struct {
	log      *slog.Logger
	mu       sync.Mutex
	services []Service
	started  int
}

// New returns an empty Registry that logs to log.
func New(log *slog.Logger) *Registry {
	return &Registry{log: log.With("part", "kernel")}
}

// Register adds a service. It returns ErrDuplicate if the name is already registered.
func (k *Registry) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, registered := range k.services {
		if registered.Name == s.Name {
			return eris.Wrap(ErrDuplicate, s.Name)
		}
	}
	k.services = append(k.services, s)
	sort.SliceStable(k.services, func(i, j int) bool {
		return k.services[i].Priority < k.services[j].Priority
	})
	return nil
}

// Start starts all services in order of priority. If one fails, Start stops those
// that were started and returns ErrStart.
func (k *Registry) Start(ctx context.Context) error {
	for _, s := range k.snapshot() {
		if s.Start != nil {
			if err := s.Start(ctx); err != nil {
				k.log.Error("Service failed to start.", "service", s.Name, "error", err)
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
func (k *Registry) Stop(ctx context.Context) error {
	var first error
	services := k.snapshot()
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
			k.log.Error("Service failed to stop.", "service", s.Name, "error", err)
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

// A ServiceState is the state of one service in a dump.
type ServiceState struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

// Dump returns the state of all services with a Dump function, in order of priority.
func (k *Registry) Dump() []ServiceState {
	var out []ServiceState
	for _, s := range k.snapshot() {
		if s.Dump != nil {
			out = append(out, ServiceState{Name: s.Name, State: s.Dump()})
		}
	}
	return out
}

// Lookup returns the value of the service called name. It returns ErrUnknown if
// there is no such service, and ErrType if the value is not a T.
func Lookup[T any](k *Registry, name string) (T, error) {
	var zero T
	for _, s := range k.snapshot() {
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

func (k *Registry) snapshot() []Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]Service(nil), k.services...)
}
