package edge

import (
	"context"
	"net/http"
)

// passOn ends a request of a host that is cut off from all targets. It reports
// whether the request is finished.
func (q *request) passOn(context.Context) bool {
	q.finish(http.StatusServiceUnavailable, "cut_off", rejectedRetryAfter)
	return true
}
