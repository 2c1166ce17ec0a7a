package edge

import (
	"time"

	"github.com/redwingtally/redwingtally/coordination"
	"github.com/redwingtally/redwingtally/kernel"
	"github.com/redwingtally/redwingtally/ownership"
)

// loadReport returns what this host reports to the coordinator and resets the
// counts since the last report.
func (e *Edge) loadReport() coordination.Report {
	now := time.Now()
	r := coordination.Report{Rates: map[string]float64{}, KeyedLoads: map[string]ownership.Report{}}
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, s := range e.services {
		value, load, keyed := s.loadReport(now)
		r.Rates[name] = value
		if keyed {
			r.KeyedLoads[name] = load
		}
	}
	r.Crashed, r.Answered = e.pendingCrashes, e.pendingCleared
	e.pendingCrashes, e.pendingCleared = nil, nil
	return r
}

// State returns the state dump of the daemon's parts.
func (e *Edge) State() []kernel.ServiceState { return e.kernel.Dump() }

// dumpConfiguration returns the configuration in force for the state dump.
func (e *Edge) dumpConfiguration() any {
	if t := e.table.Load(); t != nil {
		return t.Configuration
	}
	return nil
}

// dumpTargets returns the queue and the targets of every service for the state
// dump.
func (e *Edge) dumpTargets() any {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	type serviceState struct {
		Service string `json:"service"`
		Waiting int    `json:"waiting"`
		Running int    `json:"running"`
		Targets any    `json:"targets"`
	}
	out := make([]serviceState, 0, len(e.services))
	for name, s := range e.services {
		s.mu.Lock()
		out = append(out, serviceState{Service: name, Waiting: s.scheduler.Queued(), Running: s.scheduler.Running(), Targets: s.scheduler.TargetStates(now)})
		s.mu.Unlock()
	}
	return out
}
