package holder

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/refusal"
)

// Serve answers a request from one of the group's targets. It returns when the
// head of the answer is written; a long body goes on streaming after that. It
// returns false when the daemon does not hold the group; then nothing was run
// or answered, and the request may go elsewhere.
func (g *Group) Serve(ctx context.Context, c *app.RequestContext, in Incoming) bool {
	j, problem := g.newJob(in)
	if j == nil && problem == nil {
		return false
	}
	if problem != nil {
		refusal.Write(c, *problem)
		return true
	}
	g.inFlight.Add(1)
	ctx, cancel := context.WithDeadline(ctx, j.req.Deadline)
	end := func() {
		cancel()
		g.inFlight.Add(-1)
	}
	if j.route.OnceOnly {
		switch g.admitOnce(ctx, c, j) {
		case admissionAnswered:
			end()
			return true
		case admissionElsewhere:
			end()
			return false
		}
	}
	return g.dispatch(ctx, c, j, end)
}

// newJob classifies a request, or says why it is refused; both results are nil
// when the daemon does not hold the group.
func (g *Group) newJob(in Incoming) (*job, *refusal.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.accepts() {
		return nil, nil
	}
	m, ok := g.bundle.Policy.Match(in.Method, in.Path)
	if !ok {
		return nil, &refusal.Refusal{Status: 404, Code: refusal.CodeNoRoute, Message: "no route of the policy matches", NotRun: refusal.NotRunTrue}
	}
	if g.bundle.Policy.Routes[m.Route].OnceOnly && g.holder.Phase() == grant.PhaseIdle {
		return nil, nil
	}
	class := g.bundle.Policy.Classes[m.Class]
	budget := class.Deadline.Duration
	if in.Budget > 0 {
		budget = min(budget, in.Budget)
	}
	j := &job{
		in:       in,
		route:    g.bundle.Policy.Routes[m.Route],
		class:    class.Name,
		assigned: make(chan int, 1),
		refused:  make(chan dispatch.Refusal, 1),
	}
	j.req = dispatch.Request{
		Class:       m.Class,
		Route:       m.Route,
		Shard:       g.shardOf(in.Key),
		Owner:       dispatch.AnyTarget,
		Deadline:    in.Arrived.Add(budget),
		Repeatable:  j.route.Repeatable,
		Replayable:  in.Body.Replayable,
		Fingerprint: in.fingerprint(g.name),
		Value:       j,
	}
	if j.req.Shard >= 0 {
		j.req.Owner = g.owner(&j.req)
		if g.hotLimit() > 0 {
			g.hot.finder.Add(in.Key)
		}
	}
	return j, nil
}

// accepts reports whether the group takes requests here: divided services only
// at their holder, the others also while the store cannot name one.
func (g *Group) accepts() bool {
	if g.leaving {
		return false
	}
	return g.bundle.Service.Division == nil || g.holder.Phase() != grant.PhaseIdle
}

// dispatch queues the job and answers it; end is called when all is over. It
// returns false when the group was given up before the job ran.
func (g *Group) dispatch(ctx context.Context, c *app.RequestContext, j *job, end func()) bool {
	g.mu.Lock()
	now := time.Now()
	r := g.core.Add(now, &j.req)
	if r == nil {
		g.expireLater()
		g.pump(now)
	}
	idle := g.holder.Phase() == grant.PhaseIdle
	g.mu.Unlock()
	if idle {
		g.poke() // health checks run while requests come
	}
	if r != nil {
		g.refuse(c, j, *r)
		end()
		return true
	}
	for {
		select {
		case i := <-j.assigned:
			if g.attempt(ctx, c, j, i, end) {
				return true
			}
		case r := <-j.refused:
			return g.refused(c, j, r, end)
		case <-ctx.Done():
			if g.abandon(c, j, ctx.Err()) {
				end()
				return true
			}
		}
	}
}

// refused ends a job that was refused while it waited. A job that the group
// gave up and that never ran may go to the next holder.
func (g *Group) refused(c *app.RequestContext, j *job, r dispatch.Refusal, end func()) bool {
	defer end()
	if r.Reason == dispatch.ReasonWithdrawn && !j.mayHaveRun && j.in.Body.Replayable() {
		g.ran(j, refusal.NotRunTrue)
		return false
	}
	g.refuse(c, j, r)
	return true
}

// abandon takes a waiting job out after its context ended; false when it was just assigned or refused.
func (g *Group) abandon(c *app.RequestContext, j *job, cause error) bool {
	g.mu.Lock()
	waiting := g.core.Cancel(&j.req)
	g.mu.Unlock()
	if !waiting {
		// The other channels have the news; wait for it there.
		select {
		case i := <-j.assigned:
			j.assigned <- i
		case r := <-j.refused:
			j.refused <- r
		}
		return false
	}
	code := refusal.CodeDeadlinePassed
	if cause == context.Canceled {
		code = refusal.CodeCanceled
	}
	g.ran(j, refusal.NotRunTrue)
	g.fail(c, j, refusal.Refusal{Status: 504, Code: code, Message: "the request waited until its end", NotRun: g.notRun(j)})
	return true
}

// pump hands out what can be sent and delivers refusals. The caller holds the lock.
func (g *Group) pump(now time.Time) {
	for r, ok := g.core.Next(now); ok; r, ok = g.core.Next(now) {
		j := r.Value.(*job)
		g.d.Metrics.QueueSeconds.WithLabelValues(g.name, j.class).Observe(now.Sub(r.Arrived()).Seconds())
		j.assigned <- r.Target()
	}
	g.deliverRefused()
	for _, s := range g.core.TakeQuarantined() {
		g.log.Warn("Request is set aside, it crashed two targets.", "fingerprint", s.Fingerprint)
		g.d.Metrics.Quarantined.WithLabelValues(g.name).Inc()
		go g.d.SetAside(g.name, s)
	}
	g.d.Metrics.QueuedRequests.WithLabelValues(g.name).Set(float64(g.core.Queued()))
}

func (g *Group) deliverRefused() {
	for _, r := range g.core.TakeRefused() {
		r.Request.Value.(*job).refused <- r
	}
}

// refuse answers a job that the dispatch core refused.
func (g *Group) refuse(c *app.RequestContext, j *job, r dispatch.Refusal) {
	g.ran(j, refusal.NotRunTrue)
	status := 503
	code := refusal.Code(r.Reason)
	switch r.Reason {
	case dispatch.ReasonQueueFull, dispatch.ReasonShed, dispatch.ReasonDeadlineUnreachable:
		status = 429
	case dispatch.ReasonDeadlinePassed:
		status = 504
	case dispatch.ReasonQuarantined:
		status = 422
	case dispatch.ReasonWithdrawn:
		code = refusal.CodeNotHolder
	}
	g.fail(c, j, refusal.Refusal{Status: status, Code: code, Message: "the request was refused", NotRun: g.notRun(j), RetryAfter: r.RetryAfter})
}

// notRun says whether a job that is not running now ever ran.
func (g *Group) notRun(j *job) refusal.NotRun {
	if j.mayHaveRun {
		return refusal.NotRunUnknown
	}
	return refusal.NotRunTrue
}

// fail answers the caller with a refusal and counts it.
func (g *Group) fail(c *app.RequestContext, j *job, r refusal.Refusal) {
	g.d.Metrics.Requests.WithLabelValues(g.name, j.class, string(r.Code)).Inc()
	g.log.Debug("Request refused.", "code", string(r.Code), "not_run", string(r.NotRun), "path", j.in.Path, "request_id", j.in.RequestID)
	refusal.Write(c, r)
}

// ran notes the end of a once-only request in the table of ids.
func (g *Group) ran(j *job, notRun refusal.NotRun) {
	if !j.route.OnceOnly {
		return
	}
	if j.mayHaveRun && notRun == refusal.NotRunTrue {
		notRun = refusal.NotRunUnknown
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch notRun {
	case refusal.NotRunTrue:
		g.ids.table.RemoveStarted(j.in.RequestID)
	case refusal.NotRunUnknown:
		g.ids.table.MarkUnknown(j.in.RequestID)
	case refusal.NotRunFalse:
		g.ids.table.Finish(j.in.RequestID, j.answer)
	}
}
