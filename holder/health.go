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
	// uncheckedInterval is the same where health checks alone show that the owner of keys is lost.
	uncheckedInterval = 150 * time.Millisecond
	// lostInterval is the same for a target that failed its last check.
	lostInterval = 75 * time.Millisecond
	// healthTimeout bounds a health check.
	healthTimeout = 200 * time.Millisecond
	// lostFailures is how many failed checks make a target lost.
	lostFailures = 2
)

// healthState is what health checks showed of one target.
type healthState struct {
	next     time.Time
	busy     bool
	failures int
	lost     bool
	// gone says that nothing listened at the last check.
	gone        bool
	draining    bool
	incarnation uint64
	presence    presence
}

// checkHealth starts the health checks that are due.
func (g *Group) checkHealth(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	interval := healthInterval
	if d := g.bundle.Service.Division; d != nil && !d.ChecksGrants {
		interval = uncheckedInterval
	}
	for name, h := range g.health {
		t, ok := g.targets[name]
		if !ok || h.busy || now.Before(h.next) {
			continue
		}
		h.busy = true
		h.next = now.Add(interval)
		g.submit(func() { g.check(ctx, t, h) })
	}
}

func (g *Group) check(ctx context.Context, t *target.Target, h *healthState) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	answer, err := t.Health(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	h.busy = false
	now := time.Now()
	h.gone = eris.Is(err, target.ErrGone)
	if h.gone || err == nil && h.incarnation != 0 && h.incarnation != answer.Incarnation {
		g.unsettled.clear(t.Name)
	}
	if err != nil {
		g.checkFailed(now, t.Name, h)
		return
	}
	if h.lost {
		g.log.Info("Target is back.", "target", t.Name)
		g.core.MarkReachable(t.Name)
	}
	h.failures = 0
	h.lost = false
	h.incarnation = answer.Incarnation
	if h.draining != answer.Draining {
		h.draining = answer.Draining
		g.log.Info("Target changed its draining state.", "target", t.Name, "draining", h.draining)
		g.setTarget(t.Name)
	}
	g.pump(now)
}

func (g *Group) checkFailed(now time.Time, name string, h *healthState) {
	h.failures++
	h.next = now.Add(lostInterval)
	if h.failures < lostFailures {
		return
	}
	if !h.lost {
		g.log.Warn("Target is lost.", "target", name)
	}
	h.lost = true
	g.core.MarkUnreachable(now, name)
	g.takeBackLost()
}

// checkSoon has a target's health checked without delay, after a request could not reach it.
func (g *Group) checkSoon(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h, ok := g.health[name]; ok && !h.lost {
		h.next = time.Time{}
	}
	g.poke()
}

// setTarget tells the dispatch core of a target's draining state.
func (g *Group) setTarget(name string) {
	spec, ok := g.targetSpec(name)
	if !ok {
		return
	}
	g.core.SetTarget(dispatch.TargetSpec{
		Name:     name,
		Slots:    g.bundle.Service.SlotsPerTarget,
		Draining: spec.Leaving || g.health[name].draining,
	})
}

func (g *Group) targetSpec(name string) (service.Target, bool) {
	for _, t := range g.bundle.Service.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return service.Target{}, false
}

// crashed reports whether a target went down under a request: it cannot be
// reached on a new connection, or it lives under another incarnation.
func (g *Group) crashed(t *target.Target) bool {
	g.mu.Lock()
	h, ok := g.health[t.Name]
	var before uint64
	if ok {
		before = h.incarnation
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	answer, err := t.Probe(ctx)
	return err != nil || before != 0 && answer.Incarnation != before
}
