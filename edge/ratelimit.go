package edge

import (
	"time"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/ratelimit"
)

// recordRateLimit records the rate limit that a response states. A response without one
// ends the limit only if the target ran the request.
func (q *request) recordRateLimit(d schedulerDecision, response *exchange.Response) {
	e, stated := q.edge, response.RateLimit
	target := ownership.IncarnationOf(d.dispatch.Target)
	if _, limited := e.rateLimits.PerSecond(target); limited {
		e.metrics.LimitedAttempts.WithLabelValues(q.service.name).Inc()
	}
	if stated.Malformed {
		e.log.Warn("limits: Target states a malformed limit.", "request", q.meta.ID, "target", target.Name)
		return
	}
	if !stated.Stated && (response.NotExecuted || !response.Signed) {
		return
	}
	if e.rateLimits.Observe(time.Now(), ratelimit.Limit{Target: target, PerSecond: stated.PerSecond, Stated: stated.Stated}) {
		e.log.Info("limits: Limit of a target changed.", "target", target.Name, "service", q.service.name,
			"limited", stated.Stated, "per_second", stated.PerSecond, "source", "response", "request", q.meta.ID)
	}
}
