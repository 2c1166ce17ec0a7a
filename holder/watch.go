package holder

import (
	"context"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/target"
)

const (
	// minSilence is the minimum time without a response after which a target is
	// probed.
	minSilence = time.Second
	// silenceFactor is the multiple of a request's expected running time after
	// which its target is probed.
	silenceFactor = 4
)

// attemptWatch monitors one attempt until the head of the response has arrived. The
// attempt of an idempotent request is aborted when its target is lost, when its
// shard has another owner, or when its connection has gone silent.
type attemptWatch struct {
	target *target.Client
	job    *job
	cancel context.CancelFunc
	timer  *time.Timer

	mu      sync.Mutex
	ended   bool
	aborted bool
}

// watchAttempt starts to monitor an attempt until unwatchAttempt.
func (g *Group) watchAttempt(t *target.Client, j *job, cancel context.CancelFunc) *attemptWatch {
	w := &attemptWatch{target: t, job: j, cancel: cancel}
	after := max(minSilence, silenceFactor*j.req.Expected())
	w.timer = time.AfterFunc(after, func() { g.probeSilence(w) })
	g.mu.Lock()
	g.watches[w] = struct{}{}
	g.mu.Unlock()
	return w
}

// unwatchAttempt ends the monitoring and reports whether the attempt was aborted.
func (g *Group) unwatchAttempt(w *attemptWatch) bool {
	w.timer.Stop()
	g.mu.Lock()
	delete(g.watches, w)
	g.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	return w.aborted
}

// abort cancels the attempt if its request is idempotent and can be sent again.
func (w *attemptWatch) abort() {
	if !w.job.req.Idempotent || !w.job.incoming.Body.Replayable() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.aborted = true
	w.cancel()
}

// probeSilence probes, on a new connection, a target whose response is late. If the
// target responds there, the connection is at fault and not the target: the idle
// connections are closed, and the attempt is aborted unless its route is configured
// as long-running.
func (g *Group) probeSilence(w *attemptWatch) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	if _, err := w.target.Probe(ctx); err != nil {
		return
	}
	w.target.CloseIdle()
	g.deps.Metrics.SilentConnections.WithLabelValues(g.name).Inc()
	if !w.job.route.LongRunning {
		w.abort()
	}
}

// abortLostAttempts aborts the attempts at targets that are lost or no longer own
// the request's shard. The caller holds the lock.
func (g *Group) abortLostAttempts() {
	for w := range g.watches {
		if h, ok := g.health[w.target.Name]; ok && h.lost {
			w.abort()
			continue
		}
		shard := w.job.req.Shard
		if shard < 0 {
			continue
		}
		if o, ok := g.holder.Owner(time.Now(), shard); ok && o.Server != w.target.Name {
			w.abort()
		}
	}
}
