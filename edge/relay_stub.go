package edge

import "sync"

// cutOffState stands in for the detection of lost targets.
type cutOffState struct {
	mu     sync.Mutex
	cutOff bool
	begins chan struct{}
}

func (e *Edge) cutOff() bool {
	e.cut.mu.Lock()
	defer e.cut.mu.Unlock()
	return e.cut.cutOff
}

func (e *Edge) cutOffBegins() <-chan struct{} {
	e.cut.mu.Lock()
	defer e.cut.mu.Unlock()
	if e.cut.begins == nil {
		e.cut.begins = make(chan struct{})
	}
	return e.cut.begins
}
