package edge

import "time"

// CloseIdle closes all idle connections of callers.
func (e *Edge) CloseIdle() { e.entry.closeIdle(0) }

// BeginEarlier makes the daemon one that has run for an hour: its part of the retry budget is whole.
func (e *Edge) BeginEarlier() { e.began = e.began.Add(-time.Hour) }

// Known returns how many targets of a service the daemon sends to.
func (e *Edge) Known(service string) int {
	s := e.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.core.TargetStates(time.Now()))
}

// Listed returns how many targets the daemon knows by their entries.
func (e *Edge) Listed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.targets.AllTargets(time.Now()))
}

// Active returns how many requests are in progress.
func (e *Edge) Active() int64 { return e.active.Load() }
