package holder

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/forward"
	"github.com/redwingtally/redwingtally/lane"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/refusal"
	"github.com/redwingtally/redwingtally/target"
)

// resolveTarget returns the target with index i and the term to send with the
// job. It returns false when the target no longer exists or no longer owns the
// job's shard.
func (g *Group) resolveTarget(j *job, i int) (*target.Client, string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := g.dispatcher.TargetName(i)
	t, ok := g.targets[name]
	if !ok {
		return nil, "", false
	}
	if j.req.Shard < 0 {
		return t, "", true
	}
	o, ok := g.holder.Owner(time.Now(), j.req.Shard)
	if !ok || o.Server != name || g.movingShards[j.req.Shard] || g.hot.changing[j.incoming.Key] || g.shardOf(j.incoming.Key) != j.req.Shard {
		return nil, "", false
	}
	return t, strconv.FormatUint(uint64(o.Term), 10), true
}

// attempt sends a job to the target with index i. It returns false when the
// job is queued for another attempt.
func (g *Group) attempt(ctx context.Context, c *app.RequestContext, j *job, i int, end func()) bool {
	if j.route.AtMostOnce && j.req.Shard < 0 && !g.awaitEvidence(ctx) {
		return g.rejectUnproved(c, j, end)
	}
	t, term, ok := g.resolveTarget(j, i)
	if !ok {
		return g.ownerChanged(c, j, end)
	}
	if j.req.Attempts() > 1 {
		g.deps.Metrics.Retries.WithLabelValues(g.name).Inc()
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	g.buildRequest(c, j, req, t, term)
	ctx, cancel := context.WithCancel(ctx)
	w := g.watchAttempt(t, j, cancel)
	a, err := t.Send(ctx, req, resp)
	aborted := g.unwatchAttempt(w)
	if err != nil {
		cancel()
		protocol.ReleaseRequest(req)
		protocol.ReleaseResponse(resp)
		return g.attemptFailed(c, j, t, err, aborted, end)
	}
	release := func() {
		cancel()
		protocol.ReleaseRequest(req)
		protocol.ReleaseResponse(resp)
		end()
	}
	g.forwardResponse(ctx, c, j, a, resp, release)
	return true
}

// buildRequest fills req with the request to the target: end-to-end headers,
// request id, shard, term and body.
func (g *Group) buildRequest(c *app.RequestContext, j *job, req *protocol.Request, t *target.Client, term string) {
	forward.CopyRequestHeader(&c.Request.Header, &req.Header)
	req.SetMethod(j.incoming.Method)
	req.SetRequestURI("http://" + t.Address.String() + j.incoming.Path)
	if j.incoming.RequestID != "" {
		req.Header.Set(target.RequestIDHeader, j.incoming.RequestID)
	}
	if j.req.Shard >= 0 {
		req.Header.Set(target.ShardHeader, strconv.Itoa(j.req.Shard))
		req.Header.Set(target.TermHeader, term)
	}
	if body, size := j.incoming.Body.Open(); size != 0 {
		req.SetBodyStream(lane.NewRequestBody(body), size)
	}
}

// finishAttempt passes the result of an attempt to the dispatcher and returns the
// outcome.
func (g *Group) finishAttempt(j *job, result dispatch.Result) dispatch.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if j.req.Shard >= 0 {
		j.req.Owner = g.updateOwner(&j.req)
	}
	outcome := g.dispatcher.Finish(now, &j.req, result)
	g.dispatchReady(now)
	return outcome
}

// ownerChanged handles a job whose shard changed owner after the dispatcher had
// assigned it. The job is queued again if possible and rejected otherwise.
func (g *Group) ownerChanged(c *app.RequestContext, j *job, end func()) bool {
	if g.finishAttempt(j, dispatch.ResultOwnerChanged) == dispatch.OutcomeRequeued {
		return false
	}
	g.recordOutcome(j, refusal.NotRunTrue)
	g.reject(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeNoOwner, Message: "the key has no owner now", NotRun: g.notRunState(j), RetryAfter: time.Second})
	end()
	return true
}

// rejectUnproved rejects a once-only request because the daemon has no evidence
// that it still holds the group.
func (g *Group) rejectUnproved(c *app.RequestContext, j *job, end func()) bool {
	g.finishAttempt(j, dispatch.ResultCanceled)
	g.recordOutcome(j, refusal.NotRunTrue)
	g.reject(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeOwnershipNotProved, Message: "ownership of the group cannot be proved now", NotRun: g.notRunState(j), RetryAfter: time.Second})
	end()
	return true
}

// attemptFailed ends an attempt that returned an error. The job is queued again
// if possible and rejected otherwise.
func (g *Group) attemptFailed(c *app.RequestContext, j *job, t *target.Client, err error, aborted bool, end func()) bool {
	result, r := g.classifyError(j, t, err, aborted)
	if r.NotRun != refusal.NotRunTrue {
		j.mayHaveRun = true
		g.recordUnknownOutcome(t.Name, j)
	}
	if g.finishAttempt(j, result) == dispatch.OutcomeRequeued {
		return false
	}
	r.NotRun = g.notRunState(j)
	g.recordOutcome(j, r.NotRun)
	g.reject(c, j, r)
	end()
	return true
}

// recordUnknownOutcome records that a request with an unknown outcome may still be
// running on a target.
func (g *Group) recordUnknownOutcome(target string, j *job) {
	if j.req.Shard < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unknownOutcomes.add(target, j.req.Deadline)
}

// classifyError maps the error of an attempt to a dispatch result and to the
// refusal that the caller gets if there is no further attempt.
func (g *Group) classifyError(j *job, t *target.Client, err error, aborted bool) (dispatch.Result, refusal.Refusal) {
	switch {
	case eris.Is(err, target.ErrUnreachable):
		g.scheduleCheck(t.Name)
		return dispatch.ResultNotStarted, refusal.Refusal{Status: 503, Code: refusal.CodeTargetUnreachable, Message: "the target cannot be reached", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
	case eris.Is(err, target.ErrNotOwner):
		g.mu.Lock()
		g.holder.MarkUnconfirmed(j.req.Shard)
		g.mu.Unlock()
		return dispatch.ResultOwnerChanged, targetRefusal()
	case eris.Is(err, target.ErrNotRun):
		return dispatch.ResultOverloaded, targetRefusal()
	case aborted:
		return dispatch.ResultConnectionFailed, refusal.Refusal{Status: 502, Code: refusal.CodeOutcomeUnknown, Message: "the target was lost or its connection went silent", NotRun: refusal.NotRunUnknown}
	case eris.Is(err, target.ErrDeadlinePassed):
		t.CloseIdle()
		return dispatch.ResultTimeout, refusal.Refusal{Status: 504, Code: refusal.CodeDeadlinePassed, Message: "the target did not answer in time", NotRun: refusal.NotRunUnknown}
	case eris.Is(err, target.ErrCanceled):
		return dispatch.ResultCanceled, refusal.Refusal{Status: 499, Code: refusal.CodeCanceled, Message: "the caller left", NotRun: refusal.NotRunUnknown}
	}
	r := refusal.Refusal{Status: 502, Code: refusal.CodeOutcomeUnknown, Message: "the connection to the target was lost", NotRun: refusal.NotRunUnknown}
	if g.targetCrashed(t) {
		g.log.Warn("Target crashed under a request.", "target", t.Name, "path", j.incoming.Path, "request_id", j.incoming.RequestID)
		return dispatch.ResultCrashed, r
	}
	return dispatch.ResultConnectionFailed, r
}

// targetRefusal returns the refusal for a request that the target rejected without
// running it.
func targetRefusal() refusal.Refusal {
	return refusal.Refusal{Status: 503, Code: refusal.CodeTargetRejected, Message: "the target refused the request", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
}

// forwardResponse forwards the target's response to the caller. release is
// called after the body has been read.
func (g *Group) forwardResponse(ctx context.Context, c *app.RequestContext, j *job, a *target.Attempt, resp *protocol.Response, release func()) {
	forward.CopyResponseHead(resp, &c.Response)
	finish := func(err error) {
		result, notRun := dispatch.ResultOK, refusal.NotRunFalse
		if err != nil {
			result, notRun = bodyFailureResult(ctx), refusal.NotRunUnknown
			a.Abort()
			g.recordUnknownOutcome(a.TargetName(), j)
		} else {
			a.Finish(resp)
		}
		g.observeResult(j, result)
		g.finishAttempt(j, result)
		g.recordOutcome(j, notRun)
		release()
	}
	size := resp.Header.ContentLength()
	if !resp.IsBodyStream() || size >= 0 && size <= MaxBufferedBody {
		g.forwardBuffered(c, j, resp, finish)
		return
	}
	c.Response.SetBodyStream(forward.NewBody(resp.BodyStream(), size, forward.CloseCallerConn(c), finish), size)
}

// forwardBuffered reads the whole body of a small response before forwarding
// it, so that a slow caller does not occupy a slot of the target.
func (g *Group) forwardBuffered(c *app.RequestContext, j *job, resp *protocol.Response, finish func(error)) {
	body, err := forward.ReadBody(resp)
	if err != nil {
		finish(err)
		g.reject(c, j, refusal.Refusal{Status: 502, Code: refusal.CodeOutcomeUnknown, Message: "the answer was cut short", NotRun: refusal.NotRunUnknown})
		return
	}
	if j.route.AtMostOnce && len(body) <= once.MaxStoredBody {
		j.response = &once.Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: body}
	}
	finish(nil)
	c.Response.SetBodyRaw(body)
}

// bodyFailureResult returns the dispatch result for a response body that failed
// while ctx was in force.
func bodyFailureResult(ctx context.Context) dispatch.Result {
	switch ctx.Err() {
	case context.Canceled:
		return dispatch.ResultCanceled
	case context.DeadlineExceeded:
		return dispatch.ResultTimeout
	}
	return dispatch.ResultConnectionFailed
}

// observeResult counts a forwarded response and its service time.
func (g *Group) observeResult(j *job, result dispatch.Result) {
	name := "ok"
	if result != dispatch.ResultOK {
		name = "answer_cut"
	}
	g.deps.Metrics.Requests.WithLabelValues(g.name, j.class, name).Inc()
	g.deps.Metrics.ServiceSeconds.WithLabelValues(g.name, j.class).Observe(time.Since(j.req.Started()).Seconds())
}
