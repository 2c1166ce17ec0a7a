package budget

import "time"

// callerRetryRatio is the fraction of the longest timeout of a route below which a
// request is taken for a caller retry. Caller retries state the caller's remaining
// time. First attempts state between 0.85 and 1 of the longest timeout.
const callerRetryRatio = 0.84

// maxRoutes is the maximum number of recorded routes. New configurations bring new
// routes; when the maximum is reached, all records are discarded.
const maxRoutes = 4096

// CallerRetryDetector detects by their timeouts requests that a caller repeats after a
// rejection. The zero value is ready to use.
type CallerRetryDetector struct {
	longestTimeout map[string]time.Duration
}

// Observe records the timeout of a request for a route and reports whether the
// request is a caller retry. It returns false if timeout is 0, which means that the
// caller sent none.
func (d *CallerRetryDetector) Observe(route string, timeout time.Duration) bool {
	if timeout > d.longestTimeout[route] {
		if d.longestTimeout == nil || len(d.longestTimeout) >= maxRoutes {
			d.longestTimeout = map[string]time.Duration{}
		}
		d.longestTimeout[route] = timeout
	}
	return timeout > 0 && float64(timeout) < callerRetryRatio*float64(d.longestTimeout[route])
}
