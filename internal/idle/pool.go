// Package idle provides a pool of idle resources that are costly to open, such as
// connections.
//
// # Usage
//
//	p := idle.New(idle.Options[net.Conn]{Open: dial, Usable: alive, Close: closeConn, MaxIdle: 8, IdleTimeout: time.Minute})
//	conn, reused, err := p.Take(ctx)
//	p.Put(conn)
package idle

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Options configure a Pool.
type Options[T any] struct {
	// Open opens a new resource.
	Open func(ctx context.Context) (T, error)
	// Usable reports whether an idle resource is still usable.
	Usable func(T) bool
	// Close closes a resource.
	Close func(T)
	// MaxIdle is the maximum number of idle resources.
	MaxIdle int
	// IdleTimeout is the time after which an idle resource is not reused.
	IdleTimeout time.Duration
}

// item is an idle resource and the time at which it was returned.
type item[T any] struct {
	value     T
	idleSince time.Time
}

// A Pool holds idle resources and reuses the most recently returned one first. It is
// safe for concurrent use.
type Pool[T any] struct {
	options Options[T]
	mu      sync.Mutex
	idle    []item[T]
	closed  bool
}

// New returns an empty Pool with options o.
func New[T any](o Options[T]) *Pool[T] {
	return &Pool[T]{options: o}
}

// Take returns a usable idle resource, or opens a new one. The second result
// reports whether the resource was reused.
func (p *Pool[T]) Take(ctx context.Context) (T, bool, error) {
	return p.TakeIf(ctx, func(T) bool { return true })
}

// TakeIf is like Take, but leaves idle resources in the pool that do not suit the caller.
func (p *Pool[T]) TakeIf(ctx context.Context, suits func(T) bool) (T, bool, error) {
	for {
		e, ok := p.pop(suits)
		if !ok {
			v, err := p.options.Open(ctx)
			return v, false, err
		}
		if time.Since(e.idleSince) < p.options.IdleTimeout && p.options.Usable(e.value) {
			return e.value, true, nil
		}
		p.options.Close(e.value)
	}
}

// Put returns a resource to the pool. It closes the resource if the pool is full
// or closed.
func (p *Pool[T]) Put(v T) {
	p.mu.Lock()
	if !p.closed && len(p.idle) < p.options.MaxIdle {
		p.idle = append(p.idle, item[T]{value: v, idleSince: time.Now()})
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.options.Close(v)
}

// Len returns the number of idle resources.
func (p *Pool[T]) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// CloseIdle closes all idle resources and returns their number.
func (p *Pool[T]) CloseIdle() int {
	p.mu.Lock()
	old := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, e := range old {
		p.options.Close(e.value)
	}
	return len(old)
}

// Close closes all idle resources. Resources that are returned later are closed
// by Put.
func (p *Pool[T]) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// pop removes and returns the most recently returned resource that suits.
func (p *Pool[T]) pop(suits func(T) bool) (item[T], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, e := range slices.Backward(p.idle) {
		if suits(e.value) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return e, true
		}
	}
	return item[T]{}, false
}
