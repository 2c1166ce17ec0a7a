package coordination

import (
	"context"
	"sync"
)

// A gate allows work to run only while it is open. It starts closed.
type gate struct {
	mu      sync.Mutex
	open    bool
	changed chan struct{} // closed when the gate opens or closes
}

func newGate() *gate { return &gate{changed: make(chan struct{})} }

// set opens or closes the gate and reports whether its state has changed.
func (g *gate) set(open bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == open {
		return false
	}
	g.open = open
	close(g.changed)
	g.changed = make(chan struct{})
	return true
}

func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// wait blocks until the gate is open or ctx ends. The context that it returns is
// cancelled when the gate closes.
func (g *gate) wait(ctx context.Context) (context.Context, context.CancelFunc) {
	for ctx.Err() == nil {
		g.mu.Lock()
		open, change := g.open, g.changed
		g.mu.Unlock()
		if open {
			inner, cancel := context.WithCancel(ctx)
			go func() {
				select {
				case <-change:
				case <-inner.Done():
				}
				cancel()
			}()
			return inner, cancel
		}
		select {
		case <-change:
		case <-ctx.Done():
		}
	}
	return context.WithCancel(ctx)
}
