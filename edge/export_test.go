package edge

import (
	"context"
	"slices"
	"time"

	"github.com/redwingtally/redwingtally/coordination"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/routing"
)

// CloseIdle closes all idle connections of callers.
func (e *Edge) CloseIdle() { e.entryServer.endIdle(0) }

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

// TargetStartedAt returns the start time in the entry of a service's target.
func (e *Edge) TargetStartedAt(service, name string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	startedAt, _ := e.targets.StartedAt(service, name)
	return startedAt
}

// Draining returns the names of the service's targets that get no further requests because they leave.
func (e *Edge) Draining(service string) []string {
	s := e.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, t := range s.scheduler.TargetStates(time.Now()) {
		if t.Draining {
			out = append(out, t.Name)
		}
	}
	return out
}

// LimitedTargets returns the number of the service's targets with a rate limit.
func (e *Edge) LimitedTargets(service string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.rateLimits.ByName(e.targets.ServiceTargets(time.Now(), service)))
}

// Drains reports whether a target of a service gets no further requests because it leaves.
func (e *Edge) Drains(service, name string) bool { return slices.Contains(e.Draining(service), name) }

// MovesHalted reports whether the host knows that no keys can move for now.
func (e *Edge) MovesHalted() bool { return e.member.State().MovesHalted }

// Withhold makes all targets of a service ask the host for no requests.
func (e *Edge) Withhold(service string, d time.Duration) {
	s := e.service(service)
	for _, t := range s.scheduler.Targets() {
		s.withhold(t, d)
	}
}

// ActiveRequests returns the number of requests in progress.
func (e *Edge) ActiveRequests() int64 { return e.activeRequests.Load() }

// Coordinates reports whether the host coordinates.
func (e *Edge) Coordinates() bool { return e.member.Leading() }

// CutOff reports whether the host is found to be cut off from the targets.
func (e *Edge) CutOff() bool { return e.cutOff() }

// SetCutOff makes the host take itself for cut off from all targets, or not. It can reach them all the same.
func (e *Edge) SetCutOff(cutOff bool) {
	p := e.path
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent.Store(cutOff)
	p.lost.Store(cutOff)
	if cutOff {
		p.lose()
	} else {
		p.intact, p.lose = context.WithCancel(context.Background())
	}
}

// SetRelays replaces the known relays until the coordinator sends another list.
func (e *Edge) SetRelays(relays []coordination.Relay) {
	e.relays.mu.Lock()
	defer e.relays.mu.Unlock()
	e.relays.replace(relays)
}

// Relays returns the number of known relays.
func (e *Edge) Relays() int { return e.relays.count() }

// MaxRelayedRequests is the greatest number of relayed requests in progress on a host.
const MaxRelayedRequests = maxRelayedRequests

// MaxRelayedBytes is the greatest number of bytes of the bodies of relayed requests that a host holds at once.
const MaxRelayedBytes = maxRelayedBytes

// ReserveRelayed reserves memory for the bodies of relayed requests.
func (e *Edge) ReserveRelayed(n int64) { e.relayServer.reserve(n) }

// AddRelayed changes the number of relayed requests in progress.
func (e *Edge) AddRelayed(n int64) { e.relayServer.inProgress.Add(n) }

// HideConfiguration makes the host forget its configuration.
func (e *Edge) HideConfiguration() { e.table.Store(nil) }

// CloseRelayServer closes the listener of relayed requests and their connections, as a crash of the host does.
func (e *Edge) CloseRelayServer() error { return e.relayServer.server.Close() }

// BackdateConfiguration makes the host's configuration older than it is.
func (e *Edge) BackdateConfiguration() {
	older := *e.table.Load().Configuration
	older.Version--
	e.table.Store(routing.New(&older))
}

// MaxIdleRelayConnections is the greatest number of idle connections to one relay.
const MaxIdleRelayConnections = maxIdleRelayConnections

// RequestRate returns the requests per second of a service that the host has counted.
func (e *Edge) RequestRate(service string) float64 {
	s := e.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate.value(time.Now())
}

// RetriesLeft returns how many retries of a service the host's budget allows now as one of so many hosts.
func (e *Edge) RetriesLeft(service string, hosts int) int {
	s := e.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	left, b := 0, *s.budget
	for b.AllowRetry(time.Now(), hosts, true) {
		left++
	}
	return left
}

// CloseIdleToTargets closes the idle connections to all targets.
func (e *Edge) CloseIdleToTargets() { e.closeIdleConnections() }

// CallerConns returns the number of callers' connections that have a request in progress.
func (e *Edge) CallerConns() int {
	_, _, active := e.entryServer.count()
	return active
}
