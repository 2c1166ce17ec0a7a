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
	if stated.Leaving && stated.FromTarget() {
		q.edge.recordNotice(d.Target, q.meta.ID)
	}
}

// recordNotice records that a target has stated in a response that it leaves.
func (e *Edge) recordNotice(t platform.Target, request string) {
	if !e.notices.Add(time.Now(), directory.NoticeOf(t)) {
		return
	}
	e.log.Info("directory: Target states that it leaves.", "target", t.Name, "service", t.Service, "born", t.StartedAt.UnixMilli(),
		"source", "response", "request", request)
	e.drainTargets(directory.NoticeOf(t))
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
		e.log.Info("directory: Target states that it leaves.", "target", n.Target, "service", n.Service, "born", n.StartedAt.UnixMilli(),
			"source", "host")
	}
	e.drainTargets(added...)
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
	}
	t.Draining = true
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
