package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/quarantine"
	"github.com/redwingtally/redwingtally/relay"
	"github.com/redwingtally/redwingtally/routing"
	"github.com/redwingtally/redwingtally/scheduler"
)

const (
	// maxSends bounds how often a request is sent, including attempts that no target ran. Runs are bounded by the
	// route's Attempts.
	maxSends = 4
	// startupWait bounds how long a request waits for the initial state of a starting host, which arrives within 0.2 to 0.9 s.
	startupWait = time.Second
	// startingRetryAfter is the Retry-After of a host that has not received the configuration or lacks the service in it.
	startingRetryAfter = 300 * time.Millisecond
	// rejectedRetryAfter is the Retry-After of a request that has not run and may not be sent again.
	rejectedRetryAfter = 150 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt that checks whether a target's process still listens.
	crashCheckTimeout = 100 * time.Millisecond
	// writeGrace is how long after the deadline of a request its response may still be written.
	writeGrace = 5 * time.Second
	// ownerChangePause is the wait before a retry after a response with status 421, so that the host can receive
	// the new owner of the key or the new target at the address.
	ownerChangePause = 40 * time.Millisecond
)

// A request is the state of a caller's request in progress.
type request struct {
	edge        *Edge
	w           http.ResponseWriter
	r           *http.Request
	meta        platform.RequestMeta
	route       *routing.Route
	service     *service
	body        body
	bodyRead    bool // the whole body, or the part before its stream, was received
	started     time.Time
	deadline    time.Time
	fingerprint quarantine.Fingerprint
	scheduled   *scheduler.Request
	callerRetry bool // the caller repeats a request that was rejected before
	counted     bool // a host has counted the request for its load and its retry budget

	relayed     *relay.Request // what the sender of a relayed request states; nil for a caller's request
	triedRelays []string       // hosts that the request was passed on to

	queued       bool               // the scheduler has received the request
	sends        int                // attempts sent to targets
	retryTaken   bool               // a retry was taken from the budget of a host, and the request has not been sent since
	possibleRuns int                // attempts that a target may have run
	queueTime    time.Duration      // time from the arrival at the scheduler to the first attempt or the rejection
	stream       *stream            // of the last attempt; nil if the body was not streamed
	endMemory    func()             // ends the use of the request's memory
	fallback     *exchange.Response // 5xx response of the last retried attempt, sent if the retries yield no response to pass on
	givesWay     bool               // the connection is closed to make room for others
	outcome      string
	err          error

	relayUnavailable bool // this host takes no relayed requests
}

// ServeHTTP handles a caller's request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	markHandled(r)
	q := e.newRequest(w, r)
	q.awaitInitialState()
	q.handle()
}

// newRequest returns the state of a request that has just arrived.
func (e *Edge) newRequest(w http.ResponseWriter, r *http.Request) *request {
	r.Trailer = nil // the names that the header announces; trailers are not passed on
	return &request{edge: e, w: w, r: r, meta: platform.ReadRequestMeta(r.Header), started: time.Now()}
}

// handle handles a request and logs its end.
func (q *request) handle() {
	if !q.admit() {
		return
	}
	defer q.logEnd()
	defer q.free()
	if !q.receiveBody() {
		return
	}
	q.serve()
}

// awaitInitialState delays a request until the host has received the
// configuration and the targets. It waits for startupWait at most, and for half
// of the caller's timeout at most. Waiting is better than a rejection, as callers
// retry only once or twice and a starting host is ready within a second.
func (q *request) awaitInitialState() {
	select {
	case <-q.edge.initialised:
		return
	default:
	}
	limit := startupWait
	if q.meta.Timeout > 0 {
		limit = min(limit, q.meta.Timeout/2)
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), limit)
	defer cancel()
	select {
	case <-q.edge.initialised:
	case <-ctx.Done():
	}
}

// admit selects the route and the service and sets the deadline. It rejects
// requests for which that is not possible, and then returns false.
func (q *request) admit() bool {
	table := q.edge.table.Load()
	if table == nil {
		q.reject(http.StatusServiceUnavailable, "no_configuration", startingRetryAfter)
		return false
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route = table.Match(q.r.Host, path)
	if q.route == nil {
		q.reject(http.StatusNotFound, "no_route", 0)
		return false
	}
	if q.meta.ID == "" {
		q.reject(http.StatusBadRequest, "no_request_id", 0)
		return false
	}
	limit := q.route.Timeout
	if q.meta.Timeout > 0 && (limit <= 0 || q.meta.Timeout < limit) {
		limit = q.meta.Timeout
	}
	q.deadline = q.started.Add(limit)
	boundWriting(q.w, q.deadline)
	if q.edge.draining.Load() && q.edge.stop.tooLate(q.started, q.deadline) {
		q.reject(http.StatusServiceUnavailable, reasonStopping, rejectedRetryAfter)
		return false
	}
	name := q.pickService(table)
	spec, ok := table.Service(name)
	if !ok {
		q.reject(http.StatusServiceUnavailable, "no_service", startingRetryAfter)
		return false
	}
	q.service = q.edge.service(name)
	q.scheduled = &scheduler.Request{
		Rank:      q.route.Rank,
		Route:     q.route.Name,
		Key:       q.meta.Key,
		Keyed:     spec.Keyed && q.meta.HasKey,
		Objective: q.started.Add(q.route.Objective),
		Deadline:  q.deadline,
	}
	if q.relayed != nil {
		q.applyStated()
	}
	return true
}

// receiveBody reads the body. It rejects the request and returns false if the
// body is too large or does not arrive by the deadline.
func (q *request) receiveBody() bool {
	var limit int64
	if table := q.edge.table.Load(); table != nil {
		limit = table.Configuration.Limits.BodyBytes
	}
	memory, end, err := q.edge.requests.requestMemory(q.r)
	q.endMemory = end
	if err != nil {
		q.rejectHeader(err)
		return false
	}
	b, err := readBody(q.w, q.r, memory, limit, q.deadline)
	q.body = b
	if err != nil {
		q.rejectBody(err)
		return false
	}
	q.bodyRead = true
	q.scheduled.Bytes, q.scheduled.Streamed = max(b.length, b.buffered), b.rest != nil
	q.scheduled.Backlog = !q.scheduled.Streamed && hasBacklog(q.r) // what follows a streamed body can't be told from its rest
	q.fingerprint = fingerprint(q.r, &b)
	return true
}

// rejectHeader rejects a request for whose header there is no memory.
func (q *request) rejectHeader(err error) {
	q.err = err
	q.w.Header().Set("Connection", "close")
	if errors.Is(err, errStalled) {
		q.reject(http.StatusRequestTimeout, "header_stalled", 0)
		return
	}
	q.reject(http.StatusServiceUnavailable, "header_memory", rejectedRetryAfter)
}

// rejectBody rejects a request whose body was not received. Nothing of it was passed on.
func (q *request) rejectBody(err error) {
	q.err = err
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.reject(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case errors.Is(err, errStalled):
		q.w.Header().Set("Connection", "close")
		q.reject(http.StatusRequestTimeout, "body_stalled", 0)
	case errors.Is(err, errNoMemory):
		q.w.Header().Set("Connection", "close")
		q.reject(http.StatusServiceUnavailable, "body_memory", rejectedRetryAfter)
	default:
		q.reject(http.StatusRequestTimeout, "body_not_received", 0)
	}
}

// free gives the memory of the request's body and of a response that was not sent back.
func (q *request) free() {
	if q.stream != nil {
		q.stream.cancel()
	}
	if q.endMemory != nil {
		q.endMemory()
	}
	if q.fallback != nil {
		q.fallback.Close()
	}
}

// boundWriting bounds the writing of a response to writeGrace after t. Without a bound, a caller that does not read keeps
// its response in memory and its connection for ever. It is called for each response, as the bound of the one before
// remains.
func boundWriting(w http.ResponseWriter, t time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(t.Add(writeGrace)) // on failure a slow caller blocks only its own connection
}

// stopReceiving bounds the receipt of a body whose request is over: the server waits for the rest of a streamed body, and reads
// and discards a part of one that was not read.
func (q *request) stopReceiving() {
	rest, streamed := q.body.rest.(*streamedRest)
	switch {
	case streamed && !rest.isComplete():
		q.w.Header().Set("Connection", "close")
	case !q.bodyRead && q.r.ContentLength != 0:
	default:
		return
	}
	_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(discardTime)) // on failure the deadline of the body applies
}

// serve sends the request until it is finished. It rejects requests that are
// quarantined for crashing targets.
func (q *request) serve() {
	now := time.Now()
	q.edge.mu.Lock()
	rejected := q.edge.crashTable.IsRejected(now, q.fingerprint)
	q.edge.mu.Unlock()
	if rejected {
		q.reject(http.StatusServiceUnavailable, "crashes_targets", 0)
		return
	}
	if q.relayed == nil {
		q.callerRetry = q.service.detectCallerRetry(q.route.Name, q.meta.Timeout)
	}
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	for !q.step(ctx) {
	}
}

// step sends the request once: to a target, or to another host while this one is cut
// off from all targets. It reports whether the request is finished.
func (q *request) step(ctx context.Context) bool {
	if q.edge.cutOff() {
		if q.relayed == nil {
			return q.passOn(ctx)
		}
		q.finish(http.StatusServiceUnavailable, reasonCutOff, rejectedRetryAfter)
		return true
	}
	if !q.counted {
		q.counted = true
		q.service.recordRequest(time.Now(), q.scheduled)
	}
	return q.attempt(ctx)
}

// reject responds with an error status and a reason. It logs requests without a
// service itself, because ServeHTTP logs only admitted requests.
func (q *request) reject(status int, reason string, retryAfter time.Duration) {
	q.outcome = reason
	if q.deadline.IsZero() {
		boundWriting(q.w, time.Now())
	}
	q.closeIfNeeded()
	q.stopReceiving()
	if q.relayed != nil {
		q.setResult(q.w.Header(), q.rejectionKind(status, reason))
	}
	writeRejection(q.w, q.meta.ID, status, reason, retryAfter)
	if q.scheduled != nil && q.scheduled.Backlog && !q.givesWay {
		q.pauseConnection()
	}
	q.recordMetrics(strconv.Itoa(status))
	q.recordRefusal(status, reason)
	if q.route == nil || q.service == nil {
		q.logEnd()
	}
}

// rejectedBacklogPause is the pause of a connection with a backlog after a rejection. Without it, rejecting the rest of the backlog
// takes all CPU time of a small host.
const rejectedBacklogPause = 250 * time.Millisecond

// pauseConnection delays the further requests of the connection after the response.
func (q *request) pauseConnection() {
	if http.NewResponseController(q.w).Flush() != nil {
		return // the caller has disconnected
	}
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	sleep(ctx, rejectedBacklogPause)
}

// abort closes the caller's connection without a complete response.
func (q *request) abort(reason string) {
	q.outcome = reason
	q.recordMetrics("aborted")
	panic(http.ErrAbortHandler)
}

// closeIfNeeded makes the host close the connection after the response if it is stopping, also if the request arrived before, or
// if the connection gives way to others. A response with requests behind it that were passed on keeps the connection open;
// requests that were not passed on count as not read.
func (q *request) closeIfNeeded() {
	c, _ := callerConn(q.r)
	q.givesWay = c != nil && q.scheduled != nil && c.giveWay(q.scheduled.Backlog)
	if !q.givesWay && !q.edge.draining.Load() || !mayCloseAfter(q.r) {
		return
	}
	q.w.Header().Set("Connection", "close")
	if q.givesWay {
		c.server.recordEnded("backlog")
	}
}

// writeResponse sends a target's response to the caller. It aborts the connection
// if the response is truncated, so that the caller does not take it as complete.
func (q *request) writeResponse(resp *exchange.Response) {
	q.outcome = "answered_" + strconv.Itoa(resp.Status)
	h := q.w.Header()
	exchange.CopyEndToEndHeaders(h, resp.Header)
	q.closeIfNeeded()
	if q.relayed != nil { // after the copy, so that a target neither removes nor forges the result
		if resp.Signed {
			platform.CopySignature(h, resp.Header) // the sender drops a success without it, also if Connection names it
		}
		q.setResult(h, relay.Response)
	}
	if err := writeResponse(q.w, resp, q.edge.responses); err != nil {
		q.err = err
		q.abort("answer_cut_short")
	}
	q.recordMetrics(strconv.Itoa(resp.Status))
}

// setFallback keeps an error response of a target and discards the one before.
func (q *request) setFallback(resp *exchange.Response) {
	if q.fallback != nil {
		q.fallback.Close()
	}
	q.fallback = resp
}
