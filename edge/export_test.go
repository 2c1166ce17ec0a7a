package edge

import (
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// CloseIdle closes all idle connections of callers.
func (e *Edge) CloseIdle() { e.entryServer.closeIdle(0) }

// BackdateStart sets the start of the process back by an hour, so that its retry
// budget is fully available.
func (e *Edge) BackdateStart() { e.processStart = e.processStart.Add(-time.Hour) }

// SetDialTarget sets the function that opens connections to targets. It is called
// before Start.
func (e *Edge) SetDialTarget(dial platform.DialFunc) { e.dialTarget = dial }

// TargetCount returns the number of targets in the scheduler of a service.
func (e *Edge) TargetCount(service string) int {
	s := e.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.scheduler.TargetStates(time.Now()))
}

// ListedTargets returns the number of targets in the directory.
func (e *Edge) ListedTargets() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.targets.AllTargets(time.Now()))
}

// ActiveRequests returns the number of requests in progress.
func (e *Edge) ActiveRequests() int64 { return e.activeRequests.Load() }

// Coordinates reports whether the host coordinates.
func (e *Edge) Coordinates() bool { return e.member.Leading() }

// CutOff reports whether the host is found to be cut off from the targets.
func (e *Edge) CutOff() bool { return e.cutOff() }
