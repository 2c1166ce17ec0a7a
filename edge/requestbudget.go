package edge

import (
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/redwingtally/redwingtally/metric"
)

const (
	// smallRequest is the memory in bytes up to which a request belongs to the small ones.
	smallRequest = 16 << 10
	// minStall is how long a request must have made no progress before it may be refused. A packet that is lost is sent again
	// after 200 ms.
	minStall = 300 * time.Millisecond
	// budgetCheckInterval is the time between two checks for stalled requests while others wait for memory.
	budgetCheckInterval = 50 * time.Millisecond
	// budgetLogInterval is the least time between two log lines of the budget.
	budgetLogInterval = time.Second
)

// Errors of requests that are refused for lack of memory. Nothing of such a request was passed on.
var (
	// errStalled reports that others needed the memory of a request that had stalled.
	errStalled = errors.New("request has stalled while memory is short")
	// errNoMemory reports that the request needs more than there can be, that there was no memory by the deadline, or that
	// requests waited for each other's memory.
	errNoMemory = errors.New("no memory for the request")
)

// requestPhase is what a request waits for.
type requestPhase int

const (
	requestReceiving requestPhase = iota // bytes of the caller
	requestWaiting                       // memory
	requestReceived                      // a target or a handler; it is not refused any more
)

// A heldRequest is a request that is being received or served, and the memory that is reserved for its header and body. Its
// fields are guarded by the budget's mutex.
type heldRequest struct {
	budget     *requestBudget
	interrupt  func() // ends a read of the caller's connection; it must not use the budget
	order      uint64 // grows with each request
	held       int64  // reserved bytes
	large      bool
	phase      requestPhase
	progressed time.Time // when memory was last reserved
	wanted     int64     // bytes, while waiting
	decided    chan struct{}
	refusal    error // nil while the body is not refused
}

// A requestBudget bounds the bytes of callers' requests that are in memory: headers, as net/http holds them, and bodies. Memory
// is reserved as bytes arrive. A part of it is for small requests only. When it is short, a request that has stalled is
// refused; if there is none, the requests that need more are not read until others end, in the order of their arrival.
type requestBudget struct {
	total    int64
	forLarge int64 // the part that large requests may use
	now      func() time.Time
	log      *slog.Logger
	gauge    prometheus.Gauge
	metrics  *metric.Set

	mu        sync.Mutex
	held      int64 // of all requests
	heldLarge int64
	freeing   int64 // held by requests that are refused and not closed yet
	opened    uint64
	requests  map[*heldRequest]struct{}
	waiting   []*heldRequest // in the order of arrival
	check     *time.Timer    // runs while requests wait
	loggedAt  time.Time
	refused   int // since the last log line
}

// newRequestBudget returns a budget of total bytes, of which large requests may use forLarge.
func newRequestBudget(total, forLarge int64, log *slog.Logger, metrics *metric.Set) *requestBudget {
	return &requestBudget{
		total: total, forLarge: forLarge, now: time.Now, log: log, gauge: metrics.RequestBytes.WithLabelValues(), metrics: metrics,
		requests: map[*heldRequest]struct{}{},
	}
}

// open returns a request without memory. interrupt ends a read of the caller's connection.
func (b *requestBudget) open(interrupt func()) *heldRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	h := &heldRequest{budget: b, order: b.opened, interrupt: interrupt, progressed: b.now()}
	b.requests[h] = struct{}{}
	return h
}

// receive continues the receipt of a request whose reads another interrupt ends.
func (h *heldRequest) receive(interrupt func()) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.interrupt = interrupt
	if h.refusal == nil {
		h.phase, h.progressed = requestReceiving, h.budget.now()
	}
}

// memory returns the bytes that are reserved.
func (h *heldRequest) memory() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.held
}

// reserve reserves n further bytes for a request and waits for them until the deadline. It returns errStalled or
// errNoMemory if the request is refused, at once if there can never be enough for it.
func (h *heldRequest) reserve(n int64, deadline time.Time) error {
	b := h.budget
	b.mu.Lock()
	if h.refusal != nil {
		defer b.mu.Unlock()
		return h.refusal
	}
	if !b.behindOthers(h, n) && b.fits(h, n) {
		b.take(h, n)
		b.mu.Unlock()
		return nil
	}
	h.phase, h.wanted, h.decided = requestWaiting, n, make(chan struct{})
	if h.isLarge(n) && h.held+n > b.forLarge {
		defer b.mu.Unlock()
		b.waiting = append(b.waiting, h)
		b.refuse(h, errNoMemory)
		return h.refusal
	}
	b.waiting = append(b.waiting, h)
	slices.SortFunc(b.waiting, func(x, y *heldRequest) int { return int(x.order) - int(y.order) })
	b.settle()
	decided := h.decided
	b.mu.Unlock()
	timeout := time.NewTimer(deadline.Sub(b.now()))
	defer timeout.Stop()
	select {
	case <-decided:
	case <-timeout.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.phase == requestWaiting {
		b.refuse(h, errNoMemory)
	}
	return h.refusal
}

// isIncomplete reports whether a request is being received or waits for memory.
func (h *heldRequest) isIncomplete() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.refusal == nil && h.phase != requestReceived
}

// refuseIncomplete refuses a request that is being received or waits for memory, and reports whether it was one.
func (h *heldRequest) refuseIncomplete() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	switch {
	case h.refusal != nil || h.phase == requestReceived:
		return false
	case h.phase == requestWaiting:
		h.budget.end(h, errNoMemory)
	default:
		h.budget.end(h, errStalled)
	}
	return true
}

// received ends the receipt of a request, which is not refused from then on. It returns the refusal of a request that was
// refused before.
func (h *heldRequest) received() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.refusal == nil {
		h.phase = requestReceived
	}
	return h.refusal
}

// shrinkTo gives the memory beyond n bytes back.
func (h *heldRequest) shrinkTo(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.giveBack(h, max(0, h.held-n))
}

// close gives all memory of a request back. Further calls have no effect.
func (h *heldRequest) close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.requests[h]; !open {
		return
	}
	delete(b.requests, h)
	if h.refusal != nil {
		b.freeing -= h.held
	}
	b.giveBack(h, h.held)
}

// isLarge reports whether a request is large with n further bytes.
func (h *heldRequest) isLarge(n int64) bool { return h.large || h.held+n > smallRequest }

// behindOthers reports whether requests of the class of h with n further bytes that arrived before wait for memory.
func (b *requestBudget) behindOthers(h *heldRequest, n int64) bool {
	for _, w := range b.waiting {
		if w.order < h.order && w.isLarge(w.wanted) == h.isLarge(n) {
			return true
		}
	}
	return false
}

// fits reports whether there is memory for n further bytes of h.
func (b *requestBudget) fits(h *heldRequest, n int64) bool {
	if b.held+n > b.total {
		return false
	}
	switch {
	case h.large:
		return b.heldLarge+n <= b.forLarge
	case h.isLarge(n):
		return b.heldLarge+h.held+n <= b.forLarge
	}
	return true
}

// take reserves n further bytes for h.
func (b *requestBudget) take(h *heldRequest, n int64) {
	if !h.large && h.isLarge(n) {
		h.large = true
		b.heldLarge += h.held
	}
	h.held += n
	b.held += n
	if h.large {
		b.heldLarge += n
	}
	h.phase, h.progressed = requestReceiving, b.now()
	b.gauge.Set(float64(b.held))
}

// giveBack releases n bytes of h and serves the requests that wait.
func (b *requestBudget) giveBack(h *heldRequest, n int64) {
	h.held -= n
	b.held -= n
	if h.large {
		b.heldLarge -= n
	}
	b.gauge.Set(float64(b.held))
	b.settle()
}

// settle gives memory to waiting requests in their order, small and large ones separately, and refuses others for
// those that it can't serve.
func (b *requestBudget) settle() {
	var blocked [2]*heldRequest // the first waiting request of each class that does not fit
	for _, w := range slices.Clone(b.waiting) {
		class := 0
		if w.isLarge(w.wanted) {
			class = 1
		}
		if blocked[class] == nil && b.fits(w, w.wanted) {
			b.take(w, w.wanted)
			b.endWait(w)
		} else if blocked[class] == nil {
			blocked[class] = w
		}
	}
	for class, w := range blocked {
		if w == nil || b.freeing >= w.wanted {
			continue
		}
		if victim, why := chooseRequestToRefuse(b.now(), b.requests, class == 1); victim != nil {
			b.refuse(victim, why)
		}
	}
	switch {
	case len(b.waiting) == 0 && b.check != nil:
		b.check.Stop()
		b.check = nil
	case len(b.waiting) > 0 && b.check == nil:
		b.check = time.AfterFunc(budgetCheckInterval, b.checkAgain)
	}
}

// checkAgain looks for requests that have stalled meanwhile.
func (b *requestBudget) checkAgain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.check = nil
	b.settle()
}

// end ends the receipt of a request, which gives its memory back when its handler has returned.
func (b *requestBudget) end(h *heldRequest, why error) {
	h.refusal = why
	b.freeing += h.held
	if h.phase == requestWaiting {
		b.endWait(h)
	} else {
		h.interrupt()
	}
}

// refuse ends the receipt of a request because memory is short.
func (b *requestBudget) refuse(h *heldRequest, why error) {
	b.end(h, why)
	b.refused++
	reason := "stalled"
	if why == errNoMemory {
		reason = "no_memory"
	}
	b.metrics.RequestsRefused.WithLabelValues(reason).Inc()
	if now := b.now(); now.Sub(b.loggedAt) >= budgetLogInterval {
		b.log.Warn("requests: Memory is short; requests were refused.", "reason", reason, "refused", b.refused, "held", b.held, "held_large", b.heldLarge,
			"total", b.total, "waiting", len(b.waiting), "requests", len(b.requests), "request_bytes", h.held, "stalled_ms", now.Sub(h.progressed).Milliseconds())
		b.loggedAt, b.refused = now, 0
	}
}

// endWait removes a request from those that wait.
func (b *requestBudget) endWait(h *heldRequest) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *heldRequest) bool { return w == h })
	if h.phase == requestWaiting {
		h.phase = requestReceiving
	}
	close(h.decided)
}

// chooseRequestToRefuse returns the request that is refused in favour of a large or small one that lacks memory, and why, or nil if it has to
// wait. It answers callers that hold memory and send no more: the request that has made no progress for the longest time
// is refused, and only a large one for a large one. If all that hold memory wait for more, none would ever end, so that
// the one that arrived last is refused.
func chooseRequestToRefuse(now time.Time, requests map[*heldRequest]struct{}, large bool) (*heldRequest, error) {
	var stalled, last *heldRequest
	holders, allWait := 0, true
	for h := range requests {
		if h.held == 0 || h.refusal != nil || large && !h.large {
			continue
		}
		holders++
		switch h.phase {
		case requestReceiving:
			allWait = false
			if now.Sub(h.progressed) >= minStall && (stalled == nil || h.progressed.Before(stalled.progressed)) {
				stalled = h
			}
		case requestReceived:
			allWait = false
		case requestWaiting:
			if last == nil || h.order > last.order {
				last = h
			}
		}
	}
	switch {
	case stalled != nil:
		return stalled, errStalled
	case allWait && holders > 1:
		return last, errNoMemory
	}
	return nil, nil
}
