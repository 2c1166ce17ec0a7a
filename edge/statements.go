package edge

import (
	"time"

	"github.com/redwingtally/redwingtally/directory"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/scheduler"
)

// recordStatements records what a target states of itself in the head of a response, whatever its status and whether or not
// its body arrives. Responses of another process state nothing about the target.
func (q *request) recordStatements(d scheduler.Dispatch, stated platform.ResponseMeta) {
	if !stated.FromTarget() {
		return
	}
	q.recordRateLimit(d.Target, stated)
	if stated.Leaving {
		q.edge.recordNotice(directory.NoticeOf(d.Target), "response", q.meta.ID)
	}
	if stated.RetryAfter > 0 {
		q.service.withhold(d.Target, stated.RetryAfter)
		q.edge.log.Info("limits: Target asks for no requests.", "target", d.Target.Name, "service", q.service.name, "request", q.meta.ID,
			"for_ms", stated.RetryAfter.Milliseconds())
	}
}

// recordNotice records that a target has stated that it leaves. source is the kind of exchange in which it did, and request the ID
// of a caller's request, or empty.
func (e *Edge) recordNotice(n directory.Notice, source, request string) {
	e.mu.Lock()
	known := e.targets.Drains(n) // by its entry, which reaches the other hosts too
	e.mu.Unlock()
	if known || !e.notices.Add(time.Now(), n) {
		return
	}
	e.logNotice(n, source, request)
	e.drainTargets(n)
	if e.knowsStoreUnavailable() { // otherwise the entry arrives sooner than the next report
		e.member.ReportNow()
	}
}

// applyNotices applies the notices that another host sent.
func (e *Edge) applyNotices(added []directory.Notice) {
	for i, n := range added {
		if i == maxLoggedEntries {
			e.log.Info("directory: Further targets state that they leave.", "targets", len(added)-i, "source", "host")
			break
		}
		e.logNotice(n, "host", "")
	}
	e.drainTargets(added...)
}

// logNotice logs a notice that is new on this host.
func (e *Edge) logNotice(n directory.Notice, source, request string) {
	e.log.Info("directory: Target states that it leaves.", "target", n.Target, "service", n.Service, "born", n.StartedAt.UnixMilli(),
		"source", source, "request", request)
}

// drainTargets makes the services send no further requests to the targets that made the notices.
func (e *Edge) drainTargets(notices ...directory.Notice) {
	changed := false
	e.mu.Lock()
	for _, n := range notices {
		changed = e.targets.Drain(n) || changed
	}
	e.mu.Unlock()
	if changed {
		e.updateServices()
	}
}

// withNotice returns a target as its entry describes it, but draining if its process has stated that it leaves. The entry may be
// older than the statement.
func (e *Edge) withNotice(t platform.Target) platform.Target {
	if !e.notices.Has(t) {
		return t
	}
	if t.Draining {
		e.notices.Confirm(t)
		return t
	}
	t.Draining, t.Noticed = true, true
	return t
}

// recordLeavingAttempt counts and logs an attempt at a target that has stated that it leaves.
func (q *request) recordLeavingAttempt(t platform.Target) {
	if !q.edge.notices.Has(t) {
		return
	}
	q.edge.metrics.LeavingAttempts.WithLabelValues(q.service.name).Inc()
	q.edge.log.Info("entry: Request is sent to a target that leaves.", "request", q.meta.ID, "service", q.service.name, "target", t.Name,
		"listed_draining", t.Draining, "since_arrival_ms", time.Since(q.started).Milliseconds(), "sends", q.sends)
}
