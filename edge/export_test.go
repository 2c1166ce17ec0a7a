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
	return len(s.core.Views(time.Now()))
}
