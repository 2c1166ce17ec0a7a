package edge

import (
	"net/http"
	"strconv"
	"time"
)

// recordMetrics updates the request metrics. The result is an HTTP status or
// "aborted".
func (q *request) recordMetrics(result string) {
	service, rank := "", ""
	if q.route != nil {
		rank = strconv.Itoa(q.route.Rank)
	}
	if q.service != nil {
		service = q.service.name
		q.edge.metrics.QueueSeconds.WithLabelValues(service, rank).Observe(q.queueTime.Seconds())
		q.edge.metrics.ServiceSeconds.WithLabelValues(service, rank).Observe(time.Since(q.started).Seconds())
	}
	q.edge.metrics.Requests.WithLabelValues(service, rank, result).Inc()
}

// recordRefusal counts a response which guarantees that the request has not run. A relayed request is counted on
// the host that has its caller.
func (q *request) recordRefusal(status int, reason string) {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
	default:
		return
	}
	if q.relayed != nil {
		return
	}
	service, route := "", ""
	if q.service != nil {
		service = q.service.name
	}
	if q.route != nil {
		route = q.route.Name
	}
	q.edge.metrics.Refusals.WithLabelValues(service, route, reason).Inc()
}

// logRetry counts a retry and logs its reason.
func (q *request) logRetry(d schedulerDecision, reason string, err error) {
	q.edge.metrics.Retries.WithLabelValues(q.service.name).Inc()
	q.edge.log.Info("entry: Request is retried.", "request", q.meta.ID, "service", q.service.name,
		"target", d.dispatch.Target.Name, "reason", reason, "sends", q.sends, "left_ms", time.Until(q.deadline).Milliseconds(), "error", errorText(err))
}

// logEnd logs the outcome of a request.
func (q *request) logEnd() {
	route, service, version := "", "", uint64(0)
	var tried []string
	if q.route != nil {
		route = q.route.Name
	}
	if q.service != nil {
		service, tried = q.service.name, q.scheduled.TriedTargets()
	}
	if t := q.edge.table.Load(); t != nil {
		version = t.Configuration.Version
	}
	view := q.edge.member.State()
	q.edge.log.Info("entry: Request ended.", "request", q.meta.ID, "outcome", q.outcome, "route", route, "service", service,
		"targets", tried, "waited_ms", q.queueTime.Milliseconds(), "took_ms", time.Since(q.started).Milliseconds(),
		"allowed_ms", q.deadline.Sub(q.started).Milliseconds(), "configuration", version,
		"view", view.Version.Number, "relays", q.triedRelays, "relayed", q.relayed != nil, "stopping", q.edge.draining.Load(), "error", errorText(q.err))
}

// errorText returns the message of err, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
