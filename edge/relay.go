package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/exchange"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/relay"
)

const (
	// maxRelays bounds the number of relays that a request is passed on to.
	maxRelays = 3
	// relayAnswerTime is how long before the deadline a relay ends a request, so that its response arrives in time.
	relayAnswerTime = 20 * time.Millisecond
	// reasonCutOff is the reason of a rejection by a host that is cut off from all targets.
	reasonCutOff = "cut_off"
)

// relaying reports whether this host passes requests on and takes those of other hosts.
func (e *Edge) relaying() bool { return e.settings.RelayAddress.IsValid() }

// passOn passes the request on to one relay. It reports whether the request is
// finished.
func (q *request) passOn(ctx context.Context) bool {
	if ctx.Err() != nil {
		q.finishCancelled()
		return true
	}
	if len(q.triedRelays) >= maxRelays || q.possibleRuns > 0 && q.attemptsLeft() == 0 {
		q.finish(http.StatusServiceUnavailable, reasonCutOff, rejectedRetryAfter)
		return true
	}
	ticket, client, ok := q.edge.relays.choose(q.triedRelays)
	if !ok {
		q.countPassed("no_relay")
		q.finish(http.StatusServiceUnavailable, reasonCutOff, rejectedRetryAfter)
		return true
	}
	q.triedRelays = append(q.triedRelays, ticket.Relay.Host)
	attempts := relay.AttemptsFor(q.attemptsLeft())
	q.retryTaken = false
	q.edge.log.Info("relay: Request passed on.", "request", q.meta.ID, "service", q.service.name, "relay", ticket.Relay.Host,
		"try", len(q.triedRelays), "attempts", attempts, "left_ms", time.Until(q.deadline).Milliseconds())
	watched, detach := q.watchRelay(ctx, ticket, client, attempts)
	response, err := client.Do(watched, q.relayRequest(attempts))
	if givenUp := detach(); givenUp && err == nil {
		response.Close() // the connection is closed already, with the rest of the response
		err = eris.Wrap(exchange.ErrCancelled, "given up")
	}
	if err != nil {
		return q.handleRelayError(ctx, ticket, client, attempts, err)
	}
	result, err := relay.ReadResult(response.Header)
	relay.Strip(response.Header)
	if result.IDAdded {
		platform.RemoveRequestID(response.Header)
	}
	if err != nil {
		response.Close()
		return q.handleRelayError(ctx, ticket, client, attempts, eris.Wrapf(exchange.ErrInvalidResponse, "status %d: %v", response.Status, err))
	}
	return q.handleRelayResponse(ctx, ticket, client, response, result)
}

// attemptsLeft returns how many further attempts of the request may run.
func (q *request) attemptsLeft() int {
	if q.route.Repeat != platform.Idempotent {
		return max(0, 1-q.possibleRuns)
	}
	return max(0, q.route.Attempts-q.possibleRuns)
}

// relayRequest returns the request to send to a relay.
func (q *request) relayRequest(attempts int) *exchange.Request {
	h := make(http.Header, len(q.r.Header)+6)
	exchange.CopyEndToEndHeaders(h, q.r.Header)
	stated := relay.Request{Attempts: attempts, Elapsed: time.Since(q.started), Counted: q.counted, CallerRetry: q.callerRetry, Service: q.service.name}
	if table := q.edge.table.Load(); table != nil {
		stated.Configuration = table.Configuration.Version
	}
	stated.Set(h)
	left := time.Until(q.deadline)
	platform.SetDeadline(h, left-min(relayAnswerTime, left/2))
	return q.outgoing(h)
}

// handleRelayError handles an exchange with a relay that ended without a usable response.
// It reports whether the request is finished.
func (q *request) handleRelayError(ctx context.Context, t relay.Ticket, client *exchange.Client, attempts int, err error) bool {
	q.err = err
	timedOut := eris.Is(err, exchange.ErrTimeout) || errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case eris.Is(err, exchange.ErrRequestBody), !timedOut && ctx.Err() != nil:
		q.edge.relays.done(t, relay.Abandoned)
	case timedOut:
		client.CloseIdle()
		q.edge.relays.done(t, relay.TimedOut)
	default:
		q.edge.relays.done(t, relay.Lost)
	}
	ran := exchange.MayHaveRun(err)
	if ran {
		q.possibleRuns += attempts
		q.counted = true
	}
	switch {
	case timedOut, ctx.Err() != nil:
		q.countPassed("cancelled")
		q.finishCancelled()
		return true
	case eris.Is(err, exchange.ErrRequestBody):
		q.countPassed("body_broke_off")
		q.abort("body_broke_off")
	case !ran: // nothing was sent, also nothing of a streamed body
		q.logNotServed(t, "not_sent", err)
		return false
	case q.takeRetry(ctx, true):
		q.logNotServed(t, "lost", err)
		return false
	}
	q.logNotServed(t, "lost", err)
	q.finish(http.StatusBadGateway, "relay_failed", 0)
	return true
}

// handleRelayResponse handles the response of a relay. It reports whether the request
// is finished.
func (q *request) handleRelayResponse(ctx context.Context, t relay.Ticket, client *exchange.Client, resp *exchange.Response, result relay.Result) bool {
	outcome := relay.Answered
	if result.Unavailable { // it may be stopping
		outcome = relay.Refused
		client.CloseIdle()
	}
	q.edge.relays.done(t, outcome)
	q.possibleRuns += result.Runs
	q.counted = q.counted || result.Counted
	q.retryTaken = q.retryTaken || result.RetryTaken
	switch result.Kind {
	case relay.NotTaken:
		resp.Close()
		q.logNotServed(t, string(result.Kind), nil)
		if q.body.rest == nil {
			return false
		}
		q.finish(http.StatusServiceUnavailable, reasonCutOff, rejectedRetryAfter)
		return true
	case relay.Rejected:
		if q.possibleRuns > 0 { // an earlier attempt may have run, so the promise of the status does not hold
			resp.Close()
			q.countPassed(string(result.Kind))
			q.finish(http.StatusServiceUnavailable, "relay_rejected", 0)
			return true
		}
	default:
		deadlinePassed := result.Kind == relay.Failed && resp.Status == http.StatusGatewayTimeout
		if resp.Status >= http.StatusInternalServerError && !deadlinePassed && q.takeRetry(ctx, true) {
			q.setFallback(resp)
			q.logNotServed(t, "status_"+strconv.Itoa(resp.Status), nil)
			return false
		}
	}
	q.countPassed(string(result.Kind))
	q.writeResponse(resp)
	return true
}

// logNotServed counts and logs that a relay did not serve the request.
func (q *request) logNotServed(t relay.Ticket, result string, err error) {
	q.countPassed(result)
	q.edge.log.Info("relay: Request was not served.", "request", q.meta.ID, "relay", t.Relay.Host, "try", len(q.triedRelays),
		"result", result, "left_ms", time.Until(q.deadline).Milliseconds(), "error", errorText(err))
}

// countPassed counts the result of passing a request on.
func (q *request) countPassed(result string) {
	q.edge.metrics.RelayedRequests.WithLabelValues("sent", result).Inc()
}
