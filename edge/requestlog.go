package edge

import (
	"strconv"
	"time"
)

func (q *request) count(result string) {
	name, route := "", ""
	if q.route != nil {
		route = strconv.Itoa(q.route.Rank)
	}
	if q.service != nil {
		name = q.service.name
		q.edge.metrics.QueueSeconds.WithLabelValues(name, route).Observe(q.waited.Seconds())
		q.edge.metrics.ServiceSeconds.WithLabelValues(name, route).Observe(time.Since(q.started).Seconds())
	}
	q.edge.metrics.Requests.WithLabelValues(name, route, result).Inc()
}

// logRetry writes why a request is sent again.
func (q *request) logRetry(g grant, reason string, err error) {
	q.edge.metrics.Retries.WithLabelValues(q.service.name).Inc()
	q.edge.log.Info("entry: Request is sent again.", "request", q.call.ID, "service", q.service.name,
		"target", g.dispatch.Target.Name, "reason", reason, "sends", q.sends, "left_ms", time.Until(q.deadline).Milliseconds(), "error", text(err))
}

// log writes the end of a request.
func (q *request) log() {
	route, service, version := "", "", uint64(0)
	var tried []string
	if q.route != nil {
		route = q.route.Name
	}
	if q.service != nil {
		service, tried = q.service.name, q.work.TriedTargets()
	}
	if t := q.edge.table.Load(); t != nil {
		version = t.Configuration.Version
	}
	view := q.edge.member.State()
	q.edge.log.Info("entry: Request ended.", "request", q.call.ID, "outcome", q.outcome, "route", route, "service", service,
		"targets", tried, "waited_ms", q.waited.Milliseconds(), "took_ms", time.Since(q.started).Milliseconds(),
		"allowed_ms", q.deadline.Sub(q.started).Milliseconds(), "configuration", version,
		"view", view.Version.Number, "error", text(q.err))
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
