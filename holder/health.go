package holder

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/service"
	"github.com/redwingtally/redwingtally/target"
)

const (
	// healthInterval is the time between two health checks of a target.
	healthInterval = 500 * time.Millisecond
	// noGrantsHealthInterval is the interval for services divided by key whose
	// targets do not check grants. There, only health checks detect the loss of
	// an owner.
	noGrantsHealthInterval = 150 * time.Millisecond
	// failedHealthInterval is the interval for a target that failed its last check.
	failedHealthInterval = 75 * time.Millisecond
	// healthTimeout bounds a health check.
	healthTimeout = 200 * time.Millisecond
	// lostAfterFailures is how many consecutive failed checks mark a target as lost.
	lostAfterFailures = 2
)

// healthState is the result of the health checks of one target.
type healthState struct {
	nextCheck time.Time
	checking  bool
	failures  int
	lost      bool
	// notListening reports whether the last check found no process listening at
	// the address.
	notListening bool
	draining     bool
	incarnation  uint64
	reachability reachability
}

// startHealthChecks submits the health checks that are due to the workers.
func (g *Group) startHealthChecks(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	interval := healthInterval
	if d := g.config.Service.Division; d != nil && !d.ChecksGrants {
		interval = noGrantsHealthInterval
	}
	for name, h := range g.health {
		t, ok := g.targets[name]
		if !ok || h.checking || now.Before(h.nextCheck) {
			continue
		}
		h.checking = true
		h.nextCheck = now.Add(interval)
		g.submit(func() { g.checkTarget(ctx, t, h) })
	}
}

// checkTarget checks a target's health and records the result.
func (g *Group) checkTarget(ctx context.Context, t *target.Client, h *healthState) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	health, err := t.Health(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	h.checking = false
	now := time.Now()
	h.notListening = eris.Is(err, target.ErrConnectionRefused)
	if h.notListening || err == nil && h.incarnation != 0 && h.incarnation != health.Incarnation {
		g.unknownOutcomes.clear(t.Name)
	}
	if err != nil {
		g.recordFailedCheck(now, t.Name, h)
		return
	}
	if h.lost {
		g.log.Info("Target has recovered.", "target", t.Name)
		g.dispatcher.MarkReachable(t.Name)
	}
	h.failures = 0
	h.lost = false
	h.incarnation = health.Incarnation
	if h.draining != health.Draining {
		h.draining = health.Draining
		g.log.Info("Target changed its draining state.", "target", t.Name, "draining", h.draining)
		g.updateTarget(t.Name)
	}
	g.dispatchReady(now)
}

// recordFailedCheck counts a failed check. After lostAfterFailures of them the
// target is suspended and its idempotent requests are aborted.
func (g *Group) recordFailedCheck(now time.Time, name string, h *healthState) {
	h.failures++
	h.nextCheck = now.Add(failedHealthInterval)
	if h.failures < lostAfterFailures {
		return
	}
	if !h.lost {
		g.log.Warn("Target failed its health checks.", "target", name)
	}
	h.lost = true
	g.dispatcher.MarkUnreachable(now, name)
	g.abortLostAttempts()
}

// scheduleCheck makes a target's next health check due now. It is called when a
// request could not reach the target.
func (g *Group) scheduleCheck(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h, ok := g.health[name]; ok && !h.lost {
		h.nextCheck = time.Time{}
	}
	g.wakeLoop()
}

// updateTarget passes a target's slots and draining state to the dispatcher.
func (g *Group) updateTarget(name string) {
	spec, ok := g.targetSpec(name)
	if !ok {
		return
	}
	g.dispatcher.SetTarget(dispatch.TargetSpec{
		Name:     name,
		Slots:    g.config.Service.SlotsPerTarget,
		Draining: spec.Leaving || g.health[name].draining,
	})
}

func (g *Group) targetSpec(name string) (service.Target, bool) {
	for _, t := range g.config.Service.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return service.Target{}, false
}

// targetCrashed reports whether a target crashed while it ran a request: it
// cannot be reached on a new connection, or it reports another incarnation.
func (g *Group) targetCrashed(t *target.Client) bool {
	g.mu.Lock()
	h, ok := g.health[t.Name]
	var before uint64
	if ok {
		before = h.incarnation
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	health, err := t.Probe(ctx)
	return err != nil || before != 0 && health.Incarnation != before
}
