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

// permit returns the target of an assigned job if it may be sent there now.
func (g *Group) permit(j *job, i int) (*target.Target, string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := g.core.TargetName(i)
	t, ok := g.targets[name]
	if !ok {
		return nil, "", false
	}
	if j.req.Shard < 0 {
		return t, "", true
	}
	o, ok := g.holder.Owner(time.Now(), j.req.Shard)
	if !ok || o.Server != name || g.moving[j.req.Shard] || g.hot.changing[j.in.Key] || g.shardOf(j.in.Key) != j.req.Shard {
		return nil, "", false
	}
	return t, strconv.FormatUint(uint64(o.Term), 10), true
}

// attempt sends a job to the target with index i. It returns false when the
// job waits for another attempt.
func (g *Group) attempt(ctx context.Context, c *app.RequestContext, j *job, i int, end func()) bool {
	if j.route.OnceOnly && j.req.Shard < 0 && !g.awaitEvidence(ctx) {
		return g.unproved(c, j, end)
	}
	t, term, ok := g.permit(j, i)
	if !ok {
		return g.moved(c, j, end)
	}
	if j.req.Attempts() > 1 {
		g.d.Metrics.Retries.WithLabelValues(g.name).Inc()
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	g.build(c, j, req, t, term)
	ctx, cancel := context.WithCancel(ctx)
	w := g.watch(t, j, cancel)
	a, err := t.Send(ctx, req, resp)
	takenBack := g.unwatch(w)
	if err != nil {
		cancel()
		protocol.ReleaseRequest(req)
		protocol.ReleaseResponse(resp)
		return g.failed(c, j, t, err, takenBack, end)
	}
	release := func() {
		cancel()
		protocol.ReleaseRequest(req)
		protocol.ReleaseResponse(resp)
		end()
	}
	g.answer(ctx, c, j, a, resp, release)
	return true
}

// build makes the request for the target.
func (g *Group) build(c *app.RequestContext, j *job, req *protocol.Request, t *target.Target, term string) {
	forward.CopyRequestHeader(&c.Request.Header, &req.Header)
	req.SetMethod(j.in.Method)
	req.SetRequestURI("http://" + t.Address.String() + j.in.Path)
	if j.in.RequestID != "" {
		req.Header.Set(target.RequestIDHeader, j.in.RequestID)
	}
	if j.req.Shard >= 0 {
		req.Header.Set(target.ShardHeader, strconv.Itoa(j.req.Shard))
		req.Header.Set(target.TermHeader, term)
	}
	if body, size := j.in.Body.Open(); size != 0 {
		req.SetBodyStream(lane.NewSource(body), size)
	}
}

// done ends an attempt in the dispatch core.
func (g *Group) done(j *job, result dispatch.Result) dispatch.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if j.req.Shard >= 0 {
		j.req.Owner = g.owner(&j.req)
	}
	v := g.core.Finish(now, &j.req, result)
	g.pump(now)
	return v
}

// moved handles a job whose owner changed between decision and sending.
func (g *Group) moved(c *app.RequestContext, j *job, end func()) bool {
	if g.done(j, dispatch.ResultOwnerChanged) == dispatch.OutcomeRequeued {
		return false
	}
	g.ran(j, refusal.NotRunTrue)
	g.fail(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeNoOwner, Message: "the key has no owner now", NotRun: g.notRun(j), RetryAfter: time.Second})
	end()
	return true
}

// unproved refuses a once-only request whose holder cannot prove that it still holds the group.
func (g *Group) unproved(c *app.RequestContext, j *job, end func()) bool {
	g.done(j, dispatch.ResultCanceled)
	g.ran(j, refusal.NotRunTrue)
	g.fail(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeOwnershipNotProved, Message: "ownership of the group cannot be proved now", NotRun: g.notRun(j), RetryAfter: time.Second})
	end()
	return true
}

// failed ends an attempt that brought no answer.
func (g *Group) failed(c *app.RequestContext, j *job, t *target.Target, err error, takenBack bool, end func()) bool {
	result, r := g.classify(j, t, err, takenBack)
	if r.NotRun != refusal.NotRunTrue {
		j.mayHaveRun = true
		g.giveUp(t.Name, j)
	}
	if g.done(j, result) == dispatch.OutcomeRequeued {
		return false
	}
	r.NotRun = g.notRun(j)
	g.ran(j, r.NotRun)
	g.fail(c, j, r)
	end()
	return true
}

// giveUp notes that a request of unknown fate was left at a target.
func (g *Group) giveUp(target string, j *job) {
	if j.req.Shard < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsettled.note(target, j.req.Deadline)
}

// classify says what an error of a target means.
func (g *Group) classify(j *job, t *target.Target, err error, takenBack bool) (dispatch.Result, refusal.Refusal) {
	switch {
	case eris.Is(err, target.ErrUnreachable):
		g.checkSoon(t.Name)
		return dispatch.ResultNotStarted, refusal.Refusal{Status: 503, Code: refusal.CodeTargetUnreachable, Message: "the target cannot be reached", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
	case eris.Is(err, target.ErrNotOwner):
		g.mu.Lock()
		g.holder.MarkUnconfirmed(j.req.Shard)
		g.mu.Unlock()
		return dispatch.ResultOwnerChanged, targetRefused()
	case eris.Is(err, target.ErrNotRun):
		return dispatch.ResultOverloaded, targetRefused()
	case takenBack:
		return dispatch.ResultConnectionFailed, refusal.Refusal{Status: 502, Code: refusal.CodeOutcomeUnknown, Message: "the target was lost or its connection went silent", NotRun: refusal.NotRunUnknown}
	case eris.Is(err, target.ErrDeadline):
		t.Suspect()
		return dispatch.ResultTimeout, refusal.Refusal{Status: 504, Code: refusal.CodeDeadlinePassed, Message: "the target did not answer in time", NotRun: refusal.NotRunUnknown}
	case eris.Is(err, target.ErrCanceled):
		return dispatch.ResultCanceled, refusal.Refusal{Status: 499, Code: refusal.CodeCanceled, Message: "the caller left", NotRun: refusal.NotRunUnknown}
	}
	r := refusal.Refusal{Status: 502, Code: refusal.CodeOutcomeUnknown, Message: "the connection to the target was lost", NotRun: refusal.NotRunUnknown}
	if g.crashed(t) {
		g.log.Warn("Target crashed under a request.", "target", t.Name, "path", j.in.Path, "request_id", j.in.RequestID)
		return dispatch.ResultCrashed, r
	}
	return dispatch.ResultConnectionFailed, r
}

func targetRefused() refusal.Refusal {
	return refusal.Refusal{Status: 503, Code: refusal.CodeTargetRefused, Message: "the target refused the request", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
}

// answer passes the target's answer to the caller; release is called after the body.
func (g *Group) answer(ctx context.Context, c *app.RequestContext, j *job, a *target.Attempt, resp *protocol.Response, release func()) {
	forward.CopyResponseHead(resp, &c.Response)
	finish := func(err error) {
		result, notRun := dispatch.ResultOK, refusal.NotRunFalse
		if err != nil {
			result, notRun = bodyFailure(ctx), refusal.NotRunUnknown
			a.Abort()
			g.giveUp(a.Target(), j)
		} else {
			a.Finish(resp)
		}
		g.observe(j, result)
		g.done(j, result)
		g.ran(j, notRun)
		release()
	}
	size := resp.Header.ContentLength()
	if !resp.IsBodyStream() || size >= 0 && size <= SmallBody {
		g.answerSmall(c, j, resp, finish)
		return
	}
	c.Response.SetBodyStream(forward.NewBody(resp.BodyStream(), size, forward.Abort(c), finish), size)
}

// answerSmall gathers a small answer, so that a slow caller does not keep a slot.
func (g *Group) answerSmall(c *app.RequestContext, j *job, resp *protocol.Response, finish func(error)) {
	body, err := forward.ReadBody(resp)
	if err != nil {
		finish(err)
		g.fail(c, j, refusal.Refusal{Status: 502, Code: refusal.CodeOutcomeUnknown, Message: "the answer was cut short", NotRun: refusal.NotRunUnknown})
		return
	}
	if j.route.OnceOnly && len(body) <= once.MaxStoredBody {
		j.answer = &once.Response{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: body}
	}
	finish(nil)
	c.Response.SetBodyRaw(body)
}

func bodyFailure(ctx context.Context) dispatch.Result {
	switch ctx.Err() {
	case context.Canceled:
		return dispatch.ResultCanceled
	case context.DeadlineExceeded:
		return dispatch.ResultTimeout
	}
	return dispatch.ResultConnectionFailed
}

func (g *Group) observe(j *job, result dispatch.Result) {
	name := "ok"
	if result != dispatch.ResultOK {
		name = "answer_cut"
	}
	g.d.Metrics.Requests.WithLabelValues(g.name, j.class, name).Inc()
	g.d.Metrics.ServiceSeconds.WithLabelValues(g.name, j.class).Observe(time.Since(j.req.Started()).Seconds())
}
