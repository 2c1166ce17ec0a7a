package holder

import (
	"context"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/target"
)

// silenceWatch looks after one attempt whose answer is late. When the target
// answers on a new connection meanwhile, the idle siblings are closed, and a
// request that may be repeated is taken back. The target is not blamed.
type silenceWatch struct {
	timer  *time.Timer
	mu     sync.Mutex
	ended  bool
	silent bool
}

func (g *Group) watchSilence(t *target.Target, j *job, cancel context.CancelFunc) *silenceWatch {
	w := &silenceWatch{}
	after := max(silenceFloor, silenceFactor*j.req.Expected())
	w.timer = time.AfterFunc(after, func() { g.probeSilence(t, j, w, cancel) })
	return w
}

func (g *Group) probeSilence(t *target.Target, j *job, w *silenceWatch, cancel context.CancelFunc) {
	ctx, stop := context.WithTimeout(context.Background(), healthTimeout)
	defer stop()
	if _, err := t.Probe(ctx); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	t.Suspect()
	g.d.Metrics.SilentConnections.WithLabelValues(g.name).Inc()
	if j.req.Repeatable && !j.req.Long() {
		w.silent = true
		cancel()
	}
}

// stop ends the watch and reports whether the attempt was taken back.
func (w *silenceWatch) stop() bool {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	return w.silent
}
