package holder

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/refusal"
	"github.com/redwingtally/redwingtally/target"
)

// evidencePoll is how often a request that needs fresh evidence looks for it.
const evidencePoll = 5 * time.Millisecond

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
	code := refusal.CodeDeadline
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
	for _, s := range g.core.TakeSetAside() {
		g.log.Warn("Request is set aside, it crashed two targets.", "fingerprint", s.Fingerprint)
		g.d.Metrics.SetAsides.WithLabelValues(g.name).Inc()
		go g.d.SetAside(g.name, s)
	}
	g.d.Metrics.Queued.WithLabelValues(g.name).Set(float64(g.core.Queued()))
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
	case dispatch.ReasonQueueFull, dispatch.ReasonShed, dispatch.ReasonDoomed:
		status = 429
	case dispatch.ReasonExpired:
		status = 504
	case dispatch.ReasonSetAside:
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
		g.ids.table.Forget(j.in.RequestID)
	case refusal.NotRunUnknown:
		g.ids.table.Unknown(j.in.RequestID)
	case refusal.NotRunFalse:
		g.ids.table.Finish(j.in.RequestID, j.answer)
	}
}

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
			g.fail(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeNotesUnkept, Message: "request ids cannot be looked up now; the same id may be sent again", NotRun: refusal.NotRunUnknown, RetryAfter: time.Second})
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
		g.fail(c, j, refusal.Refusal{Status: 503, Code: refusal.CodeEvidence, Message: "the request id could not be kept or ownership not be proved", NotRun: refusal.NotRunTrue, RetryAfter: time.Second})
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
		_, ok := g.holder.Valid(time.Now())
		if !ok {
			g.holder.Demand()
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
	if d.Verdict == once.VerdictAnswered && d.Answer != nil {
		g.d.Metrics.Requests.WithLabelValues(g.name, j.class, "repeated_answer").Inc()
		c.Header(target.NotRunHeader, string(refusal.NotRunFalse))
		c.Data(d.Answer.Status, d.Answer.ContentType, d.Answer.Body)
		return
	}
	g.fail(c, j, idRefusal(d.Verdict))
}

func idRefusal(v once.Verdict) refusal.Refusal {
	switch v {
	case once.VerdictRunning:
		return refusal.Refusal{Status: 409, Code: refusal.CodeIDRunning, Message: "the request is running", NotRun: refusal.NotRunFalse}
	case once.VerdictAnswered:
		return refusal.Refusal{Status: 409, Code: refusal.CodeIDAnswered, Message: "the request ran; its answer was too large to keep", NotRun: refusal.NotRunFalse}
	case once.VerdictTooOld:
		return refusal.Refusal{Status: 409, Code: refusal.CodeIDTooOld, Message: "the request id is older than ids are kept", NotRun: refusal.NotRunUnknown}
	case once.VerdictFuture:
		return refusal.Refusal{Status: 400, Code: refusal.CodeIDFuture, Message: "the request id is from the future", NotRun: refusal.NotRunTrue}
	case once.VerdictMalformed:
		return refusal.Refusal{Status: 400, Code: refusal.CodeIDMalformed, Message: once.ErrID.Error(), NotRun: refusal.NotRunTrue}
	case once.VerdictFull:
		return refusal.Refusal{Status: 429, Code: refusal.CodeTooManyRequests, Message: "too many request ids are kept", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
	}
	return refusal.Refusal{Status: 409, Code: refusal.CodeOutcomeUnknown, Message: "the request may have run under another daemon", NotRun: refusal.NotRunUnknown}
}
