package holder

import (
	"context"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/target"
)

const (
	// silenceFloor is the least time without an answer after which a connection is suspect.
	silenceFloor = time.Second
	// silenceFactor is how many times its expected time a request may take before its connection is suspect.
	silenceFactor = 4
)

// attemptWatch looks after one attempt until the head of its answer is there.
// A request that may be repeated is taken back when its target is lost, when
// its shard has another owner, or when its connection has gone silent.
type attemptWatch struct {
	target *target.Target
	job    *job
	cancel context.CancelFunc
	timer  *time.Timer

	mu        sync.Mutex
	ended     bool
	takenBack bool
}

// watch begins to look after an attempt; the caller ends it with unwatch.
func (g *Group) watch(t *target.Target, j *job, cancel context.CancelFunc) *attemptWatch {
	w := &attemptWatch{target: t, job: j, cancel: cancel}
	after := max(silenceFloor, silenceFactor*j.req.Expected())
	w.timer = time.AfterFunc(after, func() { g.probeSilence(w) })
	g.mu.Lock()
	g.watches[w] = struct{}{}
	g.mu.Unlock()
	return w
}

// unwatch ends a watch and reports whether the attempt was taken back.
func (g *Group) unwatch(w *attemptWatch) bool {
	w.timer.Stop()
	g.mu.Lock()
	delete(g.watches, w)
	g.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	return w.takenBack
}

// takeBack ends the attempt if its request may be repeated.
func (w *attemptWatch) takeBack() {
	if !w.job.req.Repeatable || !w.job.in.Body.Replayable() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.takenBack = true
	w.cancel()
}

// probeSilence asks a target whose answer is late on a new connection. When it
// answers there, the idle connections are closed, and the request is taken
// back. The target is not blamed.
func (g *Group) probeSilence(w *attemptWatch) {
	ctx, stop := context.WithTimeout(context.Background(), healthTimeout)
	defer stop()
	if _, err := w.target.Probe(ctx); err != nil {
		return
	}
	w.target.Suspect()
	g.d.Metrics.SilentConnections.WithLabelValues(g.name).Inc()
	if !w.job.route.Long {
		w.takeBack()
	}
}

// takeBackLost takes requests back from targets that are lost or no longer own
// their shards. The caller holds the lock.
func (g *Group) takeBackLost() {
	for w := range g.watches {
		if h, ok := g.health[w.target.Name]; ok && h.lost {
			w.takeBack()
			continue
		}
		shard := w.job.req.Shard
		if shard < 0 {
			continue
		}
		if o, ok := g.holder.Owner(time.Now(), shard); ok && o.Server != w.target.Name {
			w.takeBack()
		}
	}
}
