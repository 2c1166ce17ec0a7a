package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/scheduler"
)

// attempt sends the request once. It reports whether the request is finished.
func (q *request) attempt(ctx context.Context) bool {
	g, ok := q.service.enter(ctx, q.work, q.sends > 0)
	if !ok {
		q.giveUp()
		return true
	}
	if g.refused {
		q.refuse(g.refusal)
		return true
	}
	if q.sends == 0 {
		q.waited = g.dispatch.TimeSinceArrival
	}
	q.sends++
	sent := time.Now()
	answer, err := g.link.Do(ctx, q.outgoing(g.dispatch.Target.Name))
	result := scheduler.Result{Outcome: outcome(answer, err), ResponseTime: time.Since(sent)}
	q.service.leave(q.work, result)
	if result.Outcome == scheduler.TimedOut {
		g.link.CloseIdle()
	}
	if err != nil {
		return q.failed(ctx, g, err)
	}
	if answer.NotExecuted {
		return q.notRun(ctx, g, answer)
	}
	q.mayRun++
	q.suspectAnswered()
	if answer.Status >= http.StatusInternalServerError && q.again(ctx, true) {
		q.setFallback(answer)
		q.logRetry(g, "status_"+strconv.Itoa(answer.Status), nil)
		return false
	}
	q.deliver(answer)
	return true
}

// outcome tells the scheduler how an attempt ended.
func outcome(a *exchange.Response, err error) scheduler.Outcome {
	switch {
	case err == nil && a.NotExecuted && a.Status == http.StatusMisdirectedRequest:
		return scheduler.WrongOwner
	case err == nil && a.NotExecuted:
		return scheduler.Rejected
	case err == nil && a.Status >= http.StatusInternalServerError:
		return scheduler.Failed
	case err == nil:
		return scheduler.Answered
	case eris.Is(err, exchange.ErrCanceled), eris.Is(err, exchange.ErrRequestBody), eris.Is(err, exchange.ErrNotSent):
		return scheduler.Cancelled
	case eris.Is(err, exchange.ErrTimeout):
		return scheduler.TimedOut
	case eris.Is(err, exchange.ErrConnectionFailed), eris.Is(err, exchange.ErrInvalidResponse):
		return scheduler.ConnectionFailed
	}
	return scheduler.Unreachable
}

// outgoing returns the request as it goes to a target.
func (q *request) outgoing(target string) *exchange.Request {
	h := make(http.Header, len(q.r.Header)+2)
	exchange.CopyEndToEndHeaders(h, q.r.Header)
	platform.SetTargetHeaders(h, target, time.Until(q.deadline))
	return &exchange.Request{
		Method: q.r.Method,
		URI:    q.r.RequestURI,
		Host:   q.r.Host,
		Header: h,
		Body:   q.body.head,
		Rest:   q.body.rest,
		Length: q.body.length,
		ID:     q.call.ID,
	}
}

// again reports whether the request may be sent once more, and pays for it.
// ran says that the last attempt may have run.
func (q *request) again(ctx context.Context, ran bool) bool {
	if ctx.Err() != nil || q.body.rest != nil || q.sends >= maxSends {
		return false
	}
	if ran && (q.route.Repeat != platform.Idempotent || q.mayRun >= q.route.Attempts) {
		return false
	}
	if time.Until(q.deadline) < q.service.meanWork() {
		return false
	}
	return q.service.mayRepeat(q.returning)
}

// failed goes on after an exchange without an answer.
func (q *request) failed(ctx context.Context, g grant, err error) bool {
	q.err = err
	if eris.Is(err, exchange.ErrConnectionFailed) {
		q.suspectCrashed(g)
	}
	ran := exchange.MayHaveRun(err)
	if ran {
		q.mayRun++
	}
	switch {
	case eris.Is(err, exchange.ErrCanceled), eris.Is(err, exchange.ErrTimeout), ctx.Err() != nil:
		// The connection's deadline may pass before ctx reports the same deadline.
		q.giveUp()
		return true
	case eris.Is(err, exchange.ErrRequestBody):
		q.abort("body_broke_off")
	case !ran && ctx.Err() == nil && q.body.rest == nil && q.sends < maxSends:
		// Nothing arrived at a target, so the budget is not concerned.
		q.logRetry(g, "not_sent", err)
		return false
	case !ran:
		q.finish(http.StatusServiceUnavailable, "unreachable", shedRetryAfter)
		return true
	case q.again(ctx, true):
		q.logRetry(g, "failed", err)
		return false
	}
	q.finish(http.StatusBadGateway, "target_failed", 0)
	return true
}

// notRun goes on after a target answered that it has not run the request.
func (q *request) notRun(ctx context.Context, g grant, a *exchange.Response) bool {
	a.Close()
	reason := "turned_away"
	if a.Status == http.StatusMisdirectedRequest {
		reason = "wrong_target"
		if q.work.Keyed {
			q.edge.member.RecheckCoordinator()
		}
	}
	if !q.again(ctx, false) {
		q.finish(http.StatusServiceUnavailable, reason, shedRetryAfter)
		return true
	}
	q.logRetry(g, reason, nil)
	if reason == "wrong_target" {
		pauseFor(ctx, movePause)
	}
	return false
}

// refuse ends a request that the scheduler refused.
func (q *request) refuse(r scheduler.Refusal) {
	q.finish(http.StatusServiceUnavailable, string(r.Reason), r.RetryAfter)
}

// finish answers with what is known: an earlier failure of a target, a promise
// that the request has not run, or that its fate is not known.
func (q *request) finish(status int, reason string, retryAfter time.Duration) {
	switch {
	case q.fallback != nil:
		q.deliver(q.fallback)
	case q.mayRun > 0 && status == http.StatusServiceUnavailable:
		q.turnAway(http.StatusBadGateway, reason, 0)
	default:
		q.turnAway(status, reason, retryAfter)
	}
}

// giveUp ends a request whose time is over or whose caller has left.
func (q *request) giveUp() {
	if q.r.Context().Err() != nil {
		q.abort("caller_left")
	}
	switch {
	case q.fallback != nil:
		q.deliver(q.fallback)
	case q.mayRun == 0 && q.sends == 0:
		q.turnAway(http.StatusServiceUnavailable, "no_time", shedRetryAfter)
	default:
		q.turnAway(http.StatusGatewayTimeout, "deadline_passed", 0)
	}
}
