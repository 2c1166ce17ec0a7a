package holder

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/refusal"
	"github.com/redwingtally/redwingtally/target"
)

const (
	// maxAdmitAttempts is the maximum number of attempts to admit a request while
	// keepers are replaced.
	maxAdmitAttempts = 3
	// idPollInterval is how often a request that waits for the request id table
	// checks that the group has not been given up.
	idPollInterval = 25 * time.Millisecond
	// evidencePollInterval is how often a request checks for up-to-date evidence
	// of ownership.
	evidencePollInterval = 5 * time.Millisecond
	// admitTimeout bounds the wait for the request id table after a change of
	// holder, and the wait for evidence of ownership.
	admitTimeout = 1500 * time.Millisecond
)

// admission is the outcome of admitting a once-only request.
type admission int

const (
	// admissionRun means that the request can be dispatched.
	admissionRun admission = iota
	// admissionAnswered means that the response has been written.
	admissionAnswered
	// admissionNotHolder means that the daemon has given up the group, so that the
	// request can be forwarded to another daemon.
	admissionNotHolder
)

// admitOnce decides whether a once-only request may run. All keepers have stored
// the id of an admitted request.
func (g *Group) admitOnce(ctx context.Context, c *app.RequestContext, j *job) admission {
	if j.incoming.RequestID == "" {
		g.reject(c, j, refusal.Refusal{Status: 400, Code: refusal.CodeIDRequired, Message: "the route runs requests once only and needs the header " + target.RequestIDHeader, NotRun: refusal.NotRunTrue})
		return admissionAnswered
	}
	for range maxAdmitAttempts {
		if open := g.awaitOpenTable(ctx); !open {
			if v := once.Check(time.Now(), j.incoming.RequestID); v != once.VerdictRun {
				g.reject(c, j, idRefusal(v))
				return admissionAnswered
			}
			if g.holderIdle() {
				return admissionNotHolder
			}
			g.reject(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeIDNotRecorded, Message: "request ids cannot be looked up now; the same id may be sent again", NotRun: refusal.NotRunUnknown, RetryAfter: time.Second})
			return admissionAnswered
		}
		g.mu.Lock()
		d := g.ids.table.Admit(time.Now(), j.incoming.RequestID)
		g.mu.Unlock()
		if d.Verdict != once.VerdictRun {
			g.answerDuplicate(c, j, d)
			return admissionAnswered
		}
		if g.ids.replicate(ctx, g, j.incoming.RequestID) {
			break
		}
		// A keeper did not store the id. The request has not run, so its id is
		// removed and admitted again once the keeper is replaced.
		g.recordOutcome(j, refusal.NotRunTrue)
	}
	if !g.ids.started(g, j.incoming.RequestID) || !g.awaitEvidence(ctx) {
		g.recordOutcome(j, refusal.NotRunTrue)
		g.reject(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeOwnershipNotProved, Message: "the request id could not be kept or ownership not be proved", NotRun: refusal.NotRunTrue, RetryAfter: time.Second})
		return admissionAnswered
	}
	return admissionRun
}

// holderIdle reports whether the daemon neither holds the group nor is acquiring it.
func (g *Group) holderIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Phase() == grant.PhaseIdle
}

// awaitOpenTable waits until the request id table is open. It returns false
// when the group is given up, after admitTimeout, or when ctx ends.
func (g *Group) awaitOpenTable(ctx context.Context) bool {
	limit := time.NewTimer(admitTimeout)
	defer limit.Stop()
	poll := time.NewTicker(idPollInterval)
	defer poll.Stop()
	for {
		g.mu.Lock()
		open, opened := g.ids.open, g.ids.opened
		idle := g.holder.Phase() == grant.PhaseIdle
		g.mu.Unlock()
		if idle {
			return false
		}
		if open {
			return true
		}
		select {
		case <-opened:
		case <-poll.C:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// awaitEvidence waits until the daemon has evidence that it holds the group.
// It returns false after admitTimeout or when ctx ends.
func (g *Group) awaitEvidence(ctx context.Context) bool {
	tick := time.NewTicker(evidencePollInterval)
	defer tick.Stop()
	limit := time.Now().Add(admitTimeout)
	for requested := false; ; requested = true {
		g.mu.Lock()
		_, ok := g.holder.StartDeadline(time.Now())
		if !ok {
			g.holder.RequestEvidence()
		}
		g.mu.Unlock()
		if ok {
			return true
		}
		if !requested {
			g.wakeLoop()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
		if time.Now().After(limit) {
			return false
		}
	}
}

// answerDuplicate answers a request whose id is known already or is rejected.
func (g *Group) answerDuplicate(c *app.RequestContext, j *job, d once.Decision) {
	if d.Verdict == once.VerdictCompleted && d.Response != nil {
		g.deps.Metrics.Requests.WithLabelValues(g.name, j.class, "repeated_answer").Inc()
		c.Header(target.NotRunHeader, string(refusal.NotRunFalse))
		c.Data(d.Response.Status, d.Response.ContentType, d.Response.Body)
		return
	}
	g.reject(c, j, idRefusal(d.Verdict))
}

// idRefusal returns the refusal for a verdict that does not let the request run.
func idRefusal(v once.Verdict) refusal.Refusal {
	switch v {
	case once.VerdictRunning:
		return refusal.Refusal{Status: 409, Code: refusal.CodeRequestRunning, Message: "the request is running", NotRun: refusal.NotRunFalse}
	case once.VerdictCompleted:
		return refusal.Refusal{Status: 409, Code: refusal.CodeRequestAnswered, Message: "the request ran; its answer was too large to keep", NotRun: refusal.NotRunFalse}
	case once.VerdictTooOld:
		return refusal.Refusal{Status: 409, Code: refusal.CodeIDTooOld, Message: "the request id is older than ids are kept", NotRun: refusal.NotRunUnknown}
	case once.VerdictInFuture:
		return refusal.Refusal{Status: 400, Code: refusal.CodeIDInFuture, Message: "the request id is from the future", NotRun: refusal.NotRunTrue}
	case once.VerdictMalformed:
		return refusal.Refusal{Status: 400, Code: refusal.CodeIDMalformed, Message: once.ErrMalformedID.Error(), NotRun: refusal.NotRunTrue}
	case once.VerdictFull:
		return refusal.Refusal{Status: 429, Code: refusal.CodeTooManyRequests, Message: "too many request ids are kept", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
	}
	return refusal.Refusal{Status: 409, Code: refusal.CodeOutcomeUnknown, Message: "the request may have run under another daemon", NotRun: refusal.NotRunUnknown}
}
