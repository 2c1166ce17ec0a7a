package budget

import "time"

// returnPart is the part of the longest time that callers of a route give below
// which a caller has come back: it gives what is left to it. First attempts give
// between 0.85 and 1 of the longest.
const returnPart = 0.84

// maxRoutes bounds the routes that are remembered; configurations replace them, and all are learned anew beyond it.
const maxRoutes = 4096

// Callers tells callers that come back after a refusal from those that come for
// the first time, by the time that they give. The zero value knows no route.
type Callers struct {
	longest map[string]time.Duration
}

// Returning takes the time that a caller of a route gives and reports whether
// it has come back. A caller that gives no time counts as one that comes first.
func (c *Callers) Returning(route string, patience time.Duration) bool {
	if patience > c.longest[route] {
		if c.longest == nil || len(c.longest) >= maxRoutes {
			c.longest = map[string]time.Duration{}
		}
		c.longest[route] = patience
	}
	return patience > 0 && float64(patience) < returnPart*float64(c.longest[route])
}
