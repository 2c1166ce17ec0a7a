package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/reachability"
)

const (
	// reachabilityInterval is the time between two checks for silence of all targets.
	reachabilityInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe. A SYN that is lost is repeated after a second only, so waiting longer gains nothing.
	probeTimeout = 300 * time.Millisecond
	// probeMemory is how long a host remembers that it probed a target.
	probeMemory = time.Minute
	// minUnanswered is the time from which a request whose deadline passes without a response counts as a failure.
	minUnanswered = 200 * time.Millisecond
)

// pathToTargets is what a host knows about its path to the targets.
type pathToTargets struct {
	lost   atomic.Bool // the host is cut off
	silent atomic.Bool // no target responded lately when the cut was found
	wake   chan struct{}

	mu      sync.Mutex
	tracker *reachability.Tracker
	intact  context.Context      // cancelled when a cut is found; a new one after its end
	lose    context.CancelFunc   // cancels intact
	probed  map[string]time.Time // when targets were last probed
	probes  int                  // since the last log entry
}

// newPathToTargets returns the state of a host that is not cut off.
func newPathToTargets() *pathToTargets {
	p := &pathToTargets{wake: make(chan struct{}, 1), tracker: reachability.New(reachability.Options{}), probed: map[string]time.Time{}}
	p.intact, p.lose = context.WithCancel(context.Background())
	return p
}

// cutOff reports whether this host has lost all targets.
func (e *Edge) cutOff() bool { return e.path.lost.Load() }

// cutOffBegins returns a channel that is closed when the host is found to be cut off. After
// the end of the cut there is a new one.
func (e *Edge) cutOffBegins() <-chan struct{} { return e.path.intactContext().Done() }

// intactContext returns a context that ends when the host is found to be cut off.
func (p *pathToTargets) intactContext() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.intact
}

// update changes the tracker and makes the prober look whether probes are due.
func (p *pathToTargets) update(failure bool, change func(*reachability.Tracker)) {
	p.mu.Lock()
	change(p.tracker)
	p.mu.Unlock()
	if !failure {
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// sent records that a request is sent to a target. The result of the exchange must follow.
func (p *pathToTargets) sent(target string) {
	p.update(false, func(t *reachability.Tracker) { t.Sent(time.Now(), target) })
}

// exchanged records the result of an exchange with ctx that took the given time.
func (p *pathToTargets) exchanged(ctx context.Context, target string, took time.Duration, resp *exchange.Response, err error) {
	var record func(*reachability.Tracker)
	hasty := took < minUnanswered && ctx.Err() != nil
	switch {
	case err == nil, eris.Is(err, exchange.ErrInvalidResponse):
		opened := err == nil && !resp.Reused
		p.update(false, func(t *reachability.Tracker) {
			t.Ended(target)
			t.Responded(time.Now())
			if opened {
				t.Opened()
			}
		})
		return
	case eris.Is(err, exchange.ErrNoListener), eris.Is(err, exchange.ErrClosedAtOnce),
		eris.Is(err, exchange.ErrUnreachable) && !hasty:
		record = func(t *reachability.Tracker) { t.DialFailed(target) }
	case eris.Is(err, exchange.ErrConnectionFailed), eris.Is(err, exchange.ErrTimeout) && took >= minUnanswered:
		record = func(t *reachability.Tracker) { t.Failed(target) }
	}
	p.update(record != nil, func(t *reachability.Tracker) {
		t.Ended(target)
		if record != nil {
			record(t)
		}
	})
}

// orderResult records whether a target responded to an order of this host as coordinator.
func (p *pathToTargets) orderResult(target string, answered bool) {
	p.update(!answered, func(t *reachability.Tracker) {
		if answered {
			t.Responded(time.Now())
		} else {
			t.Failed(target)
		}
	})
}

// attemptContext returns the context of an attempt. That of a request that may run again
// is cancelled when the host is found to be cut off and no target responds, and detach
// ends that once a response has come.
func (q *request) attemptContext(ctx context.Context) (_ context.Context, detach func() bool) {
	if q.route.Repeat != platform.Idempotent || q.body.rest != nil {
		return ctx, func() bool { return true }
	}
	path := q.edge.path
	attempt, cancel := context.WithCancel(ctx)
	return attempt, context.AfterFunc(path.intactContext(), func() {
		if path.silent.Load() {
			cancel()
		}
	})
}

// probeTargets probes targets when a suspicion or a cut makes that due. It runs until ctx
// ends.
func (e *Edge) probeTargets(ctx context.Context) {
	ticker := time.NewTicker(reachabilityInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.path.wake:
		}
		for n := e.path.probesDue(); n > 0 && ctx.Err() == nil; n = e.path.probesDue() {
			e.probe(ctx, n)
		}
	}
}

// probesDue returns the number of probes that are due.
func (p *pathToTargets) probesDue() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.ProbesDue(time.Now())
}

// probe makes n probes at the same time, or fewer if there are not as many targets.
func (e *Edge) probe(ctx context.Context, n int) {
	clients := e.chooseProbes(n)
	results := make(chan error, len(clients))
	for _, client := range clients {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			results <- client.Probe(ctx)
		}()
	}
	succeeded, closed := 0, 0
	for range clients {
		err := <-results
		e.countProbes(err == nil)
		switch {
		case err == nil:
			succeeded++
		case eris.Is(err, exchange.ErrClosedAtOnce):
			closed++
		}
	}
	if ctx.Err() != nil {
		return // the daemon ends
	}
	e.recordProbes(succeeded, closed, len(clients)-succeeded-closed)
}

// countProbes counts a probe by its result.
func (e *Edge) countProbes(opened bool) {
	result := "failed"
	if opened {
		result = "opened"
	}
	e.metrics.Probes.WithLabelValues(result).Inc()
}

// recordProbes records the results of probes, and begins or ends the cut accordingly.
func (e *Edge) recordProbes(succeeded, closed, failed int) {
	p := e.path
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	before := p.tracker.State(now)
	p.probes += succeeded + closed + failed
	if !p.tracker.RecordProbes(now, succeeded, closed, failed) {
		return
	}
	if p.tracker.CutOff() {
		p.silent.Store(p.tracker.Silent(now))
		p.lost.Store(true)
		p.lose()
		_ = e.submit(e.closeIdleConnections) // submit returns no error; they may count towards limits of targets
		e.metrics.CutOff.WithLabelValues().Set(1)
		e.log.Warn("reachability: Host has lost all targets.", "targets", before.Targets, "failed", before.Failed,
			"dials_failed", before.DialsFailed, "waiting", before.Waiting, "silence", before.Silence, "probes", p.probes)
	} else {
		p.intact, p.lose = context.WithCancel(context.Background())
		p.lost.Store(false)
		e.metrics.CutOff.WithLabelValues().Set(0)
		e.log.Info("reachability: Host has targets again.", "targets", before.Targets, "age", before.Age, "probes", p.probes)
	}
	p.probes = 0
	_ = e.submit(e.member.ReportNow) // submit returns no error; other hosts learn whether this one serves them
}

// closeIdleConnections closes the idle connections to all targets.
func (e *Edge) closeIdleConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.services {
		s.closeIdle()
	}
}

// A probeCandidate is a target that may be probed.
type probeCandidate struct {
	target platform.Target
	client *exchange.Client
}

// chooseProbes returns the clients of up to n distinct targets at random, of different
// services and data centres where possible. Targets that have failed come last, as others
// tell more, and of equal ones those that were probed last.
func (e *Edge) chooseProbes(n int) []*exchange.Client {
	candidates := e.probeCandidates()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	p := e.path
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, at := range p.probed {
		if now.Sub(at) > probeMemory {
			delete(p.probed, name)
		}
	}
	services, dataCentres := map[string]int{}, map[string]int{}
	var out []*exchange.Client
	for len(out) < n && len(candidates) > 0 {
		best, bestRank := 0, [5]int{}
		for i, c := range candidates {
			rank := [5]int{services[c.target.Service], dataCentres[c.target.DataCentre], count(c.target.Draining), count(p.tracker.Suspect(c.target.Name))}
			if at, ok := p.probed[c.target.Name]; ok {
				rank[4] = int(probeMemory - now.Sub(at))
			}
			if i == 0 || slices.Compare(rank[:], bestRank[:]) < 0 {
				best, bestRank = i, rank
			}
		}
		c := candidates[best]
		candidates = append(candidates[:best], candidates[best+1:]...)
		services[c.target.Service]++
		dataCentres[c.target.DataCentre]++
		p.probed[c.target.Name] = now
		out = append(out, c.client)
	}
	return out
}

// probeCandidates returns the usable targets of all services.
func (e *Edge) probeCandidates() []probeCandidate {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []probeCandidate
	for name, s := range e.services {
		targets := e.serviceTargets(now, name)
		s.mu.Lock()
		for _, t := range targets {
			if client := s.clients[ownership.IncarnationOf(t)]; client != nil && !e.evacuations.covers(name, t.DataCentre) {
				out = append(out, probeCandidate{t, client})
			}
		}
		s.mu.Unlock()
	}
	return out
}

// count returns 1 for true and 0 for false.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// dumpReachability returns the state of the tracker for the state dump.
func (e *Edge) dumpReachability() any {
	e.path.mu.Lock()
	defer e.path.mu.Unlock()
	return e.path.tracker.State(time.Now())
}
