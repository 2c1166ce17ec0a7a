// Package budget limits how often requests are sent again.
//
// All hosts share one allowance for a service: a part of the requests for it and
// a fixed number, in each window. A host uses its own requests and an equal part
// of the fixed number. A Budget is a plain state machine and is not safe for
// concurrent use.
//
// The load that it answers: targets of a service that turn away half of what
// they get, so that far more requests could be sent again than are allowed. The
// last of the allowance is kept for callers that have come back already and
// will not come once more.
//
// # Usage
//
//	b := budget.New(now, budget.Limits{Ratio: 0.2, Extra: 56, Window: 10 * time.Second})
//	b.Request(now)
//	if b.Repeat(now, hosts, returning) { sendAgain() }
package budget

import "time"

const (
	// buckets is the number of parts of a window that are counted apart.
	buckets = 10
	// history is the number of parts that are kept: a span as long as a window touches one part more.
	history = buckets + 1
	// reserve is the part of the allowance that is used; the number of hosts is known late.
	reserve = 0.85
	// firstPart is the part of it for callers that come for the first time. When targets turn half of the
	// requests away, it is worth twice as much to those that have come back.
	firstPart = 0.4
)

// Limits are the allowance of all hosts together.
type Limits struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Extra is the number of repeats beyond these in a window.
	Extra float64
	// Window is the time over which both are counted.
	Window time.Duration
}

// A Budget counts the requests and repeats of one service on one host.
type Budget struct {
	limits   Limits
	began    time.Time
	requests [history]int
	repeats  [history]int
	current  int64
}

// New returns an unused Budget of a process that began at began.
func New(began time.Time, l Limits) *Budget { return &Budget{limits: l, began: began} }

// Request counts a request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.current%history]++
}

// Repeat reports whether a request may be sent again, and counts it. returning
// says that its caller has come back after a refusal.
func (b *Budget) Repeat(now time.Time, hosts int, returning bool) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range history {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	// The oldest part has left the window of the requests, but not surely that of the repeats.
	requests -= b.requests[(b.current+1)%history]
	allowed := reserve * (b.limits.Ratio*float64(requests) + b.extra(now, hosts))
	if !returning {
		allowed *= firstPart
	}
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[b.current%history]++
	return true
}

// extra returns this host's part of the fixed number. A process has none within
// its first window: an earlier process of the host may just have used it.
func (b *Budget) extra(now time.Time, hosts int) float64 {
	if now.Sub(b.began) < b.limits.Window {
		return 0
	}
	return b.limits.Extra / float64(max(1, hosts))
}

// advance clears the parts that are older than the history.
func (b *Budget) advance(now time.Time) {
	step := b.limits.Window / buckets
	if step <= 0 {
		step = time.Second
	}
	at := now.UnixNano() / int64(step)
	if at-b.current >= history {
		b.requests, b.repeats = [history]int{}, [history]int{}
	} else {
		for i := b.current + 1; i <= at; i++ {
			b.requests[i%history], b.repeats[i%history] = 0, 0
		}
	}
	b.current = max(b.current, at)
}

// SetLimits changes the allowance; what was counted stays.
func (b *Budget) SetLimits(l Limits) {
	if l.Window != b.limits.Window {
		*b = Budget{began: b.began}
	}
	b.limits = l
}
