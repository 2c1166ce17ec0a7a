package edge

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/relay"
	"github.com/redwingtally/redwingtally/routing"
	"github.com/redwingtally/redwingtally/scheduler"
)

const (
	// maxRelayedRequests bounds the relayed requests in progress on a host.
	maxRelayedRequests = 256
	// maxRelayedBytes bounds the bytes of their bodies that are in memory, and relayedBodyShare the part of the memory for
	// bodies that they take.
	maxRelayedBytes  = 32 << 20
	relayedBodyShare = 2
	// relayHeaderBytes is the size of the headers that the sender adds to those of the caller.
	relayHeaderBytes = 1 << 10
	// relayKeepAlive is how long senders may keep a connection idle. The relay closes it only after relayIdleTimeout,
	// so that no request crosses the close.
	relayKeepAlive   = 5 * time.Second
	relayIdleTimeout = 10 * time.Second
)

// relayServer serves the requests that other hosts pass on. Its listener is separate from
// that of callers, so that no header of a caller can mark a request as relayed.
type relayServer struct {
	*connServer
	inProgress atomic.Int64
	bodyBytes  atomic.Int64 // reserved for the bodies of the requests in progress
	maxBytes   int64        // of bodyBytes
}

// reserve reserves n bytes for the body of a request, or returns false if too many are reserved.
func (rs *relayServer) reserve(n int64) bool {
	if rs.bodyBytes.Add(n) <= rs.maxBytes {
		return true
	}
	rs.release(n)
	return false
}

// release gives n reserved bytes back.
func (rs *relayServer) release(n int64) { rs.bodyBytes.Add(-n) }

// startRelay starts the server for requests of other hosts if relaying is on.
func (e *Edge) startRelay(context.Context) error {
	if !e.relaying() {
		return nil
	}
	ln, err := listen(e.settings.RelayAddress, 0)
	if err != nil {
		return err
	}
	e.relayServer = &relayServer{connServer: newConnServer("relay", ln, &http.Server{
		Handler:           http.HandlerFunc(e.serveRelayed),
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       relayIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes + relayHeaderBytes,
	}, e.log, e.metrics), maxBytes: min(maxRelayedBytes, e.requests.total/relayedBodyShare)}
	e.relayServer.headerLimits, e.relayServer.requests = e.relayedHeaderLimits, e.requests
	go e.relayServer.serve()
	return nil
}

// relayedHeaderLimits returns the limits on headers of requests that other hosts pass on. The senders have applied the configured
// ones.
func (e *Edge) relayedHeaderLimits() headerLimits {
	return headerLimits{maxHeaderBytes + relayHeaderBytes, defaultHeaderTimeout}
}

// drainRelay accepts connections for acceptAfterShutdown, and refuses requests on them so that
// their senders turn to other relays. It returns when no relayed request is in progress
// or ctx ends.
func (e *Edge) drainRelay(ctx context.Context) {
	if e.relayServer == nil {
		return
	}
	sleep(ctx, acceptAfterShutdown)
	if err := e.relayServer.drain(ctx); err != nil {
		e.log.Warn("relay: Shutdown deadline passed with requests in progress.", "active", e.relayServer.inProgress.Load(), "error", err.Error())
	}
}

// acceptsRelayed reports whether this host serves requests of other hosts.
func (e *Edge) acceptsRelayed() bool { return e.relaying() && e.cannotServeReason() == "" }

// cannotServeReason returns why this host takes no requests of other hosts, or an empty
// string if it does.
func (e *Edge) cannotServeReason() string {
	switch {
	case e.draining.Load():
		return reasonStopping
	case e.cutOff():
		return reasonCutOff
	case e.table.Load() == nil:
		return "no_configuration"
	case !e.targetsLoaded():
		return "no_targets"
	}
	return ""
}

// serveRelayed handles a request that another host passes on.
func (e *Edge) serveRelayed(w http.ResponseWriter, r *http.Request) {
	markHandled(r)
	if relay.IsCheck(r.Header) {
		boundWriting(w, time.Now())
		answerCheck(w)
		return
	}
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	active := e.relayServer.inProgress.Add(1)
	defer e.relayServer.inProgress.Add(-1)
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(relayKeepAlive.Seconds())))
	q := e.newRequest(w, r)
	stated, err := relay.ReadRequest(r.Header)
	relay.Strip(r.Header)
	q.relayed, q.err = &stated, err
	reason := e.cannotServeReason()
	switch {
	case reason != "":
	case err != nil:
		reason = "relay_headers"
	case active > maxRelayedRequests:
		reason = "relay_full"
	case e.table.Load().Configuration.Version < stated.Configuration:
		reason = "configuration_older"
	case !e.relayServer.reserve(bufferedBytes(r)):
		reason = "relay_full"
	default:
		defer e.relayServer.release(bufferedBytes(r))
		q.counted, q.callerRetry = stated.Counted, stated.CallerRetry
		q.handle()
		return
	}
	q.relayUnavailable = q.edge.cannotServeReason() != ""
	q.reject(http.StatusServiceUnavailable, reason, rejectedRetryAfter)
}

// pickService returns the service for the request. A relay follows the sender if its own
// configuration sends requests of the route to that service.
func (q *request) pickService(table *routing.Table) string {
	if q.relayed != nil && q.route.SendsTo(q.relayed.Service) {
		if _, ok := table.Service(q.relayed.Service); ok {
			return q.relayed.Service
		}
	}
	return q.route.PickService(q.edge.settings.Host)
}

// applyStated applies what the sender states to an admitted request: the attempts that
// are left, and the objective as seen from the caller's arrival.
func (q *request) applyStated() {
	limited := q.route.Route
	limited.Attempts = min(limited.Attempts, q.relayed.Attempts)
	q.route = &routing.Route{Route: limited}
	q.scheduled.Objective = q.scheduled.Objective.Add(-q.relayed.Elapsed)
}

// notTakenReasons are the reasons of rejections after which another relay may serve the
// request: they lie with this host and not with the load of the targets.
var notTakenReasons = map[string]bool{
	reasonStopping: true, reasonCutOff: true, "no_configuration": true, "no_targets": true, "relay_headers": true, "relay_full": true, "body_memory": true,
	"configuration_older": true, "no_service": true, "unreachable": true,
	string(scheduler.Withheld): true, // targets ask each host by itself
}

// rejectionKind returns how the relay's own response to a relayed request is to be taken.
func (q *request) rejectionKind(status int, reason string) relay.Kind {
	switch {
	case q.possibleRuns > 0, status == http.StatusBadGateway, status == http.StatusGatewayTimeout:
		return relay.Failed
	case notTakenReasons[reason], reason == string(scheduler.NoTarget) && !q.scheduled.Keyed:
		return relay.NotTaken
	}
	return relay.Rejected
}

// setResult sets the headers between hosts in the response to a relayed request.
func (q *request) setResult(h http.Header, kind relay.Kind) {
	result := relay.Result{Kind: kind, Counted: q.counted && !q.relayed.Counted, Unavailable: q.relayUnavailable, RetryTaken: q.retryTaken}
	if kind == relay.Response && platform.ReadRequestMeta(h).ID == "" {
		platform.SetRequestID(h, q.meta.ID) // connections to relays are reused, on which responses must have one
		result.IDAdded = true
	}
	if kind == relay.Response || kind == relay.Failed {
		result.Runs = max(1, q.possibleRuns)
	}
	result.Set(h)
	q.edge.metrics.RelayedRequests.WithLabelValues("served", string(kind)).Inc()
}
