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
	"github.com/redwingtally/redwingtally/routing"
	"github.com/redwingtally/redwingtally/scheduler"
)

const (
	// maxSends bounds how often a request is sent when no target runs it.
	maxSends = 4
	// startPatience is how long a request waits for a host that starts; it has the configuration and the targets after 0.2 to 0.9 s.
	startPatience = time.Second
	// startingRetryAfter is told by a host that knows no configuration yet.
	startingRetryAfter = 300 * time.Millisecond
	// shedRetryAfter is told when targets turned a request away and it may not be sent again.
	shedRetryAfter = 150 * time.Millisecond
	// crashCheck bounds the connection that tells whether a target's process is gone.
	crashCheck = 100 * time.Millisecond
	// movePause is how long a request waits after a target refused its key, for the view to catch up.
	movePause = 40 * time.Millisecond
)

// A request is a caller's request in progress.
type request struct {
	edge        *Edge
	w           http.ResponseWriter
	r           *http.Request
	call        platform.RequestMeta
	route       *routing.Route
	service     *service
	body        body
	started     time.Time
	deadline    time.Time
	fingerprint quarantine.Fingerprint
	work        *scheduler.Request
	returning   bool // the caller has come back after a refusal

	sends    int // times that it was sent
	mayRun   int // times that it may have run
	waited   time.Duration
	fallback *exchange.Response // a target's failure, passed on when nothing better comes
	outcome  string
	err      error
}

// ServeHTTP takes a caller's request and answers it.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	q := &request{edge: e, w: w, r: r, call: platform.ReadRequestMeta(r.Header), started: time.Now()}
	if e.entry.crossed(r) {
		panic(http.ErrAbortHandler)
	}
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q.awaitKnowledge()
	if !q.admit() {
		return
	}
	defer q.log()
	if !q.read() {
		return
	}
	q.serve()
}

// awaitKnowledge holds a request that came before the host knew anything. Callers
// try again once or twice only, and a host that starts has what it needs within a second.
func (q *request) awaitKnowledge() {
	select {
	case <-q.edge.knows:
		return
	default:
	}
	limit := startPatience
	if q.call.Timeout > 0 {
		limit = min(limit, q.call.Timeout/2)
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), limit)
	defer cancel()
	select {
	case <-q.edge.knows:
	case <-ctx.Done():
	}
}

// admit finds the route. It answers requests that have none.
func (q *request) admit() bool {
	table := q.edge.table.Load()
	if table == nil {
		q.turnAway(http.StatusServiceUnavailable, "no_configuration", startingRetryAfter)
		return false
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route = table.Match(q.r.Host, path)
	if q.route == nil {
		q.turnAway(http.StatusNotFound, "no_route", 0)
		return false
	}
	if q.call.ID == "" {
		q.turnAway(http.StatusBadRequest, "no_request_id", 0)
		return false
	}
	limit := q.route.Timeout
	if q.call.Timeout > 0 && (limit <= 0 || q.call.Timeout < limit) {
		limit = q.call.Timeout
	}
	q.deadline = q.started.Add(limit)
	name := q.route.PickService(q.edge.settings.Host)
	spec, ok := table.Service(name)
	if !ok {
		q.turnAway(http.StatusServiceUnavailable, "no_service", startingRetryAfter)
		return false
	}
	q.service = q.edge.service(name)
	q.work = &scheduler.Request{
		Rank:      q.route.Rank,
		Route:     q.route.Name,
		Key:       q.call.Key,
		Keyed:     spec.Keyed && q.call.HasKey,
		Objective: q.started.Add(q.route.Objective),
		Deadline:  q.deadline,
	}
	return true
}

// read reads the body. It answers requests whose body cannot be read.
func (q *request) read() bool {
	var limit int64
	if table := q.edge.table.Load(); table != nil {
		limit = table.Configuration.Limits.BodyBytes
	}
	b, err := readBody(q.w, q.r, limit, q.deadline)
	if err != nil {
		q.err = err
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			q.turnAway(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		} else {
			q.turnAway(http.StatusRequestTimeout, "body_not_received", 0)
		}
		return false
	}
	q.body = b
	q.work.Bytes = max(b.length, int64(len(b.head)))
	q.fingerprint = fingerprint(q.r, b.head)
	return true
}

// serve sends the request until it has a final answer.
func (q *request) serve() {
	now := time.Now()
	q.edge.mu.Lock()
	refused := q.edge.crashes.Refused(now, q.fingerprint)
	q.edge.mu.Unlock()
	if refused {
		q.turnAway(http.StatusServiceUnavailable, "crashes_targets", 0)
		return
	}
	q.returning = q.service.arrive(now, q.work, q.call.Timeout)
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	for !q.attempt(ctx) {
	}
}

func (q *request) turnAway(status int, reason string, retryAfter time.Duration) {
	q.outcome = reason
	reject(q.w, q.call.ID, status, reason, retryAfter)
	q.count(strconv.Itoa(status))
	if q.route == nil || q.service == nil {
		q.log()
	}
}

// abort closes the caller's connection without a complete answer.
func (q *request) abort(reason string) {
	q.outcome = reason
	q.count("aborted")
	panic(http.ErrAbortHandler)
}

func (q *request) deliver(a *exchange.Response) {
	q.outcome = "answered_" + strconv.Itoa(a.Status)
	if err := deliver(q.w, a); err != nil {
		q.err = err
		q.abort("answer_cut_short")
	}
	q.count(strconv.Itoa(a.Status))
}

func (q *request) setFallback(a *exchange.Response) {
	if q.fallback != nil {
		q.fallback.Close()
	}
	q.fallback = a
}
