package budget

import "time"

// returningRatio is the fraction of the longest timeout of a route below which a
// caller is considered to have returned. A returning caller sends its remaining
// time. First attempts send between 0.85 and 1 of the longest timeout.
const returningRatio = 0.84

// maxRoutes is the maximum number of routes that are recorded. New configurations
// bring new routes; when the maximum is reached, all records are discarded.
const maxRoutes = 4096

// ReturnDetector detects callers that return after a refusal by their timeouts. The zero
// value is ready to use.
type ReturnDetector struct {
	longestTimeout map[string]time.Duration
}

// Returning records the timeout of a caller of a route and reports whether the
// caller has returned after a refusal. It returns false if timeout is 0, which
// means that the caller sent none.
func (c *ReturnDetector) Returning(route string, timeout time.Duration) bool {
	if timeout > c.longestTimeout[route] {
		if c.longestTimeout == nil || len(c.longestTimeout) >= maxRoutes {
			c.longestTimeout = map[string]time.Duration{}
		}
		c.longestTimeout[route] = timeout
	}
	return timeout > 0 && float64(timeout) < returningRatio*float64(c.longestTimeout[route])
}
