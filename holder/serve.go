package holder

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/refusal"
)

// Serve forwards a request to one of the group's targets and writes the response
// or a refusal. A large response body is streamed after Serve has returned. Serve
// returns false when this daemon cannot serve the request, for example because it
// does not hold the group. Then the request has neither run nor been answered and
// can be forwarded to another daemon.
func (g *Group) Serve(ctx context.Context, c *app.RequestContext, in IncomingRequest) bool {
	j, rejection := g.newJob(in)
	if j == nil && rejection == nil {
		return false
	}
	if rejection != nil {
		refusal.Write(c, *rejection)
		return true
	}
	g.inFlight.Add(1)
	ctx, cancel := context.WithDeadline(ctx, j.req.Deadline)
	end := func() {
		cancel()
		g.inFlight.Add(-1)
	}
	if j.route.AtMostOnce {
		switch g.admitOnce(ctx, c, j) {
		case admissionAnswered:
			end()
			return true
		case admissionNotHolder:
			end()
			return false
		}
	}
	return g.dispatch(ctx, c, j, end)
}

// newJob returns the job for a request, or the refusal when it is rejected. Both
// are nil when the daemon does not accept requests for the group.
func (g *Group) newJob(in IncomingRequest) (*job, *refusal.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.accepts() {
		return nil, nil
	}
	m, ok := g.config.Policy.Match(in.Method, in.Path)
	if !ok {
		return nil, &refusal.Refusal{Status: 404, Code: refusal.CodeNoRoute, Message: "no route of the policy matches", NotRun: refusal.NotRunTrue}
	}
	if g.config.Policy.Routes[m.RouteIndex].AtMostOnce && g.holder.Phase() == grant.PhaseIdle {
		return nil, nil
	}
	class := g.config.Policy.Classes[m.ClassIndex]
	timeout := class.Deadline.Duration
	if in.Timeout > 0 {
		timeout = min(timeout, in.Timeout)
	}
	j := &job{
		incoming: in,
		route:    g.config.Policy.Routes[m.RouteIndex],
		class:    class.Name,
		assigned: make(chan int, 1),
		rejected: make(chan dispatch.Rejection, 1),
	}
	j.req = dispatch.Request{
		Class:       m.ClassIndex,
		Route:       m.RouteIndex,
		Shard:       g.shardOf(in.Key),
		Owner:       dispatch.AnyTarget,
		Deadline:    in.ReceivedAt.Add(timeout),
		Idempotent:  j.route.Idempotent,
		Replayable:  in.Body.Replayable,
		Fingerprint: in.fingerprint(g.name),
		Value:       j,
	}
	if j.req.Shard >= 0 {
		j.req.Owner = g.updateOwner(&j.req)
		if g.maxHotKeys() > 0 {
			g.hot.finder.Add(in.Key)
		}
	}
	return j, nil
}

// accepts reports whether this daemon takes requests for the group. A service
// divided by key needs the daemon to hold or acquire the group; other services are
// served without a holder too, also while the store is unavailable.
func (g *Group) accepts() bool {
	if g.shuttingDown {
		return false
	}
	return g.config.Service.Division == nil || g.holder.Phase() != grant.PhaseIdle
}

// dispatch queues the job and processes it until it is answered. end is called
// when the job has ended. dispatch returns false when the group was given up
// before the job ran.
func (g *Group) dispatch(ctx context.Context, c *app.RequestContext, j *job, end func()) bool {
	g.mu.Lock()
	now := time.Now()
	r := g.dispatcher.Add(now, &j.req)
	if r == nil {
		g.scheduleExpiry()
		g.dispatchReady(now)
	}
	idle := g.holder.Phase() == grant.PhaseIdle
	g.mu.Unlock()
	if idle {
		g.wakeLoop() // health checks must run while there are requests
	}
	if r != nil {
		g.rejectByDispatch(c, j, *r)
		end()
		return true
	}
	for {
		select {
		case i := <-j.assigned:
			if g.attempt(ctx, c, j, i, end) {
				return true
			}
		case r := <-j.rejected:
			return g.rejectedWhileQueued(c, j, r, end)
		case <-ctx.Done():
			if g.cancelQueued(c, j, ctx.Err()) {
				end()
				return true
			}
		}
	}
}

// rejectedWhileQueued ends a job that was rejected while it was queued. It returns
// false when the group was given up and the job never ran: such a job can be
// forwarded to the next holder.
func (g *Group) rejectedWhileQueued(c *app.RequestContext, j *job, rejection dispatch.Rejection, end func()) bool {
	defer end()
	if rejection.Reason == dispatch.ReasonWithdrawn && !j.mayHaveRun && j.incoming.Body.Replayable() {
		g.recordOutcome(j, refusal.NotRunTrue)
		return false
	}
	g.rejectByDispatch(c, j, rejection)
	return true
}

// cancelQueued removes a queued job whose context has ended and rejects it. It
// returns false when the job was assigned or rejected at the same time.
func (g *Group) cancelQueued(c *app.RequestContext, j *job, cause error) bool {
	g.mu.Lock()
	queued := g.dispatcher.Cancel(&j.req)
	g.mu.Unlock()
	if !queued {
		// The outcome is in one of the channels, or about to be. Wait for it
		// and put it back.
		select {
		case i := <-j.assigned:
			j.assigned <- i
		case r := <-j.rejected:
			j.rejected <- r
		}
		return false
	}
	code := refusal.CodeDeadlinePassed
	if cause == context.Canceled {
		code = refusal.CodeCanceled
	}
	g.recordOutcome(j, refusal.NotRunTrue)
	g.reject(c, j, refusal.Refusal{Status: 504, Code: code, Message: "the request waited until its end", NotRun: g.notRunState(j)})
	return true
}

// dispatchReady assigns the jobs that can be sent now to targets, delivers
// rejections, and reports newly quarantined requests. The caller holds the lock.
func (g *Group) dispatchReady(now time.Time) {
	for r, ok := g.dispatcher.Next(now); ok; r, ok = g.dispatcher.Next(now) {
		j := r.Value.(*job)
		g.deps.Metrics.QueueSeconds.WithLabelValues(g.name, j.class).Observe(now.Sub(r.Arrived()).Seconds())
		j.assigned <- r.Target()
	}
	g.deliverRejections()
	for _, q := range g.dispatcher.TakeQuarantined() {
		g.log.Warn("Request is set aside, it crashed two targets.", "fingerprint", q.Fingerprint)
		g.deps.Metrics.Quarantined.WithLabelValues(g.name).Inc()
		go g.deps.ReportQuarantine(g.name, q)
	}
	g.deps.Metrics.QueuedRequests.WithLabelValues(g.name).Set(float64(g.dispatcher.Queued()))
}

// deliverRejections passes the dispatcher's rejections to the queued jobs.
func (g *Group) deliverRejections() {
	for _, r := range g.dispatcher.TakeRejected() {
		r.Request.Value.(*job).rejected <- r
	}
}

// rejectByDispatch answers a job that the dispatcher rejected.
func (g *Group) rejectByDispatch(c *app.RequestContext, j *job, rejection dispatch.Rejection) {
	g.recordOutcome(j, refusal.NotRunTrue)
	status := 503
	code := refusal.Code(rejection.Reason)
	switch rejection.Reason {
	case dispatch.ReasonQueueFull, dispatch.ReasonShed, dispatch.ReasonDeadlineUnreachable:
		status = 429
	case dispatch.ReasonDeadlinePassed:
		status = 504
	case dispatch.ReasonQuarantined:
		status = 422
	case dispatch.ReasonWithdrawn:
		code = refusal.CodeNotHolder
	}
	g.reject(c, j, refusal.Refusal{Status: status, Code: code, Message: "the request was refused", NotRun: g.notRunState(j), RetryAfter: rejection.RetryAfter})
}

// notRunState returns NotRunTrue for a job that never ran, and NotRunUnknown for
// one that may have run. The job is not running now.
func (g *Group) notRunState(j *job) refusal.NotRun {
	if j.mayHaveRun {
		return refusal.NotRunUnknown
	}
	return refusal.NotRunTrue
}

// reject writes a refusal as the response and counts it.
func (g *Group) reject(c *app.RequestContext, j *job, r refusal.Refusal) {
	g.deps.Metrics.Requests.WithLabelValues(g.name, j.class, string(r.Code)).Inc()
	g.log.Debug("Request refused.", "code", string(r.Code), "not_run", string(r.NotRun), "path", j.incoming.Path, "request_id", j.incoming.RequestID)
	refusal.Write(c, r)
}

// recordOutcome records the outcome of a once-only request in the request id
// table.
func (g *Group) recordOutcome(j *job, notRun refusal.NotRun) {
	if !j.route.AtMostOnce {
		return
	}
	if j.mayHaveRun && notRun == refusal.NotRunTrue {
		notRun = refusal.NotRunUnknown
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch notRun {
	case refusal.NotRunTrue:
		g.ids.table.RemoveStarted(j.incoming.RequestID)
	case refusal.NotRunUnknown:
		g.ids.table.MarkUnknown(j.incoming.RequestID)
	case refusal.NotRunFalse:
		g.ids.table.Finish(j.incoming.RequestID, j.response)
	}
}
