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

// evidencePoll is how often a request that needs fresh evidence looks for it.
const evidencePoll = 5 * time.Millisecond

// admission says what became of a once-only request before its dispatch.
type admission int

const (
	// admissionRun means that it may run.
	admissionRun admission = iota
	// admissionAnswered means that the caller has its answer.
	admissionAnswered
	// admissionElsewhere means that the group was given up meanwhile.
	admissionElsewhere
)

// admitOnce decides whether a once-only request may run, and has its id noted.
func (g *Group) admitOnce(ctx context.Context, c *app.RequestContext, j *job) admission {
	if j.in.RequestID == "" {
		g.fail(c, j, refusal.Refusal{Status: 400, Code: refusal.CodeIDRequired, Message: "the route runs requests once only and needs the header " + target.RequestIDHeader, NotRun: refusal.NotRunTrue})
		return admissionAnswered
	}
	for range admitTries {
		if open := g.awaitIDs(ctx); !open {
			if g.givenUp() {
				return admissionElsewhere
			}
			g.fail(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeIDNotRecorded, Message: "request ids cannot be looked up now; the same id may be sent again", NotRun: refusal.NotRunUnknown, RetryAfter: time.Second})
			return admissionAnswered
		}
		g.mu.Lock()
		d := g.ids.table.Admit(time.Now(), j.in.RequestID)
		g.mu.Unlock()
		if d.Verdict != once.VerdictRun {
			g.repeat(c, j, d)
			return admissionAnswered
		}
		if g.ids.note(ctx, g, j.in.RequestID) {
			break
		}
		// A keeper is lost; the id has not run and is admitted again once the keeper is replaced.
		g.ran(j, refusal.NotRunTrue)
	}
	if !g.ids.noted(g, j.in.RequestID) || !g.awaitEvidence(ctx) {
		g.ran(j, refusal.NotRunTrue)
		g.fail(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeOwnershipNotProved, Message: "the request id could not be kept or ownership not be proved", NotRun: refusal.NotRunTrue, RetryAfter: time.Second})
		return admissionAnswered
	}
	return admissionRun
}

// givenUp reports whether the daemon does not hold the group and does not seek it.
func (g *Group) givenUp() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Phase() == grant.PhaseIdle
}

// admitTries bounds how often a request is admitted while keepers are replaced.
const admitTries = 3

// idPoll is how often a request that waits for the table looks whether the group is still held.
const idPoll = 25 * time.Millisecond

// idWait bounds the wait for the table of ids after a change of holder.
const idWait = 1500 * time.Millisecond

// awaitIDs waits until the table of ids is open; it gives up when the group is given up.
func (g *Group) awaitIDs(ctx context.Context) bool {
	limit := time.NewTimer(idWait)
	defer limit.Stop()
	poll := time.NewTicker(idPoll)
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

// awaitEvidence waits until the daemon can prove that it holds the group.
func (g *Group) awaitEvidence(ctx context.Context) bool {
	tick := time.NewTicker(evidencePoll)
	defer tick.Stop()
	limit := time.Now().Add(idWait)
	for asked := false; ; asked = true {
		g.mu.Lock()
		_, ok := g.holder.StartDeadline(time.Now())
		if !ok {
			g.holder.RequestEvidence()
		}
		g.mu.Unlock()
		if ok {
			return true
		}
		if !asked {
			g.poke()
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

// repeat answers a request whose id is known or cannot be taken.
func (g *Group) repeat(c *app.RequestContext, j *job, d once.Decision) {
	if d.Verdict == once.VerdictCompleted && d.Response != nil {
		g.d.Metrics.Requests.WithLabelValues(g.name, j.class, "repeated_answer").Inc()
		c.Header(target.NotRunHeader, string(refusal.NotRunFalse))
		c.Data(d.Response.Status, d.Response.ContentType, d.Response.Body)
		return
	}
	g.fail(c, j, idRefusal(d.Verdict))
}

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
