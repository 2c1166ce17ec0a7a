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

// A Service is a part of a process, such as a server or a background task.
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

// A Registry holds the services of a process. It is safe for concurrent use.
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
func (r *Registry) Register(s Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, registered := range r.services {
		if registered.Name == s.Name {
			return eris.Wrap(ErrDuplicate, s.Name)
		}
	}
	r.services = append(r.services, s)
	sort.SliceStable(r.services, func(i, j int) bool {
		return r.services[i].Priority < r.services[j].Priority
	})
	return nil
}

// Start starts all services in order of priority. If one fails, Start stops those
// that were started and returns ErrStart.
func (r *Registry) Start(ctx context.Context) error {
	for _, s := range r.snapshot() {
		if s.Start != nil {
			if err := s.Start(ctx); err != nil {
				r.log.Error("Service failed to start.", "service", s.Name, "error", err)
				_ = r.Stop(ctx)
				return eris.Wrapf(ErrStart, "%s: %v", s.Name, err)
			}
		}
		r.mu.Lock()
		r.started++
		r.mu.Unlock()
		r.log.Debug("Service started.", "service", s.Name)
	}
	return nil
}

// Stop stops the started services in reverse order and returns the first error.
func (r *Registry) Stop(ctx context.Context) error {
	var first error
	services := r.snapshot()
	for {
		r.mu.Lock()
		r.started--
		i := r.started
		r.mu.Unlock()
		if i < 0 {
			break
		}
		s := services[i]
		if s.Stop == nil {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			r.log.Error("Service failed to stop.", "service", s.Name, "error", err)
			if first == nil {
				first = err
			}
		}
	}
	r.mu.Lock()
	r.started = 0
	r.mu.Unlock()
	return first
}

// A ServiceState is the state of one service in a dump.
type ServiceState struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

// Dump returns the state of all services with a Dump function, in order of priority.
func (r *Registry) Dump() []ServiceState {
	var out []ServiceState
	for _, s := range r.snapshot() {
		if s.Dump != nil {
			out = append(out, ServiceState{Name: s.Name, State: s.Dump()})
		}
	}
	return out
}

// Lookup returns the value of the service called name. It returns ErrUnknown if
// there is no such service, and ErrType if the value is not a T.
func Lookup[T any](r *Registry, name string) (T, error) {
	var zero T
	for _, s := range r.snapshot() {
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

func (r *Registry) snapshot() []Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Service(nil), r.services...)
}
