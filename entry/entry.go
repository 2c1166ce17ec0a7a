// Package entry accepts callers' requests and forwards each to the daemon that
// holds the service's group.
//
// The first segment of the path names the service; the rest is the path of the
// request to the target. The header Redwing-Key carries the key, which a service
// divided by key requires. Redwing-Request-Id carries the id of a request that
// must run at most once, and Redwing-Budget the caller's timeout as a Go duration.
//
// # Usage
//
//	e := entry.New(entry.Dependencies{...})
//	callers.Handle(e.ServeCaller)  // the address for callers
//	peers.Handle(e.ServePeer)      // the address for other daemons
package entry

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/holder"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/metric"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/refusal"
	"github.com/redwingtally/redwingtally/service"
	"github.com/redwingtally/redwingtally/target"
)

const (
	// KeyHeader is the header with a request's key.
	KeyHeader = "Redwing-Key"
	// hopsHeader is the header with the number of daemons that forwarded the request.
	hopsHeader = "Redwing-Hops"
	// idPath is the path that issues request ids.
	idPath = "/redwingtally/request-id"
	// maxHops is the maximum number of times that a request is forwarded.
	maxHops = 3
	// holderPollInterval is the interval at which a request that cannot be
	// forwarded yet checks again for a holder or for records.
	holderPollInterval = 15 * time.Millisecond
	// maxRecordsWait is the maximum time that a request waits for the first records.
	maxRecordsWait = time.Second
	// maxIdlePeerConns is the maximum number of idle connections to a peer.
	maxIdlePeerConns = 256
)

// Dependencies holds the components and callbacks that an Entry uses.
type Dependencies struct {
	Log       *slog.Logger
	Catalogue *catalogue.Catalogue
	Metrics   *metric.Set
	// Self returns the local daemon.
	Self func() host.Host
	// Holder returns the presumed holder of a service's group.
	Holder func(service string, dataCentres []string) (host.Host, bool)
	// IsAlive reports whether a daemon is considered alive.
	IsAlive func(name string) bool
	// MarkUnreachable marks a daemon as lost after a failed connection.
	MarkUnreachable func(name string)
	// Group returns the local daemon's group of a service.
	Group func(service string) (*holder.Group, bool)
}

// An Entry serves requests of callers and of other daemons. It is safe for
// concurrent use.
type Entry struct {
	deps     Dependencies
	peers    *peerPools
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// New returns an Entry with the given dependencies.
func New(d Dependencies) *Entry {
	d.Log = d.Log.With("part", "entry")
	return &Entry{deps: d, peers: newPeerPools()}
}

// DisableKeepAlives makes the Entry close each caller's connection after the next response.
func (e *Entry) DisableKeepAlives() { e.leaving.Store(true) }

// InFlight returns the number of requests being served.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Close closes the connections to other daemons.
func (e *Entry) Close() { e.peers.close() }

// ServeCaller serves a request from a caller.
func (e *Entry) ServeCaller(ctx context.Context, c *app.RequestContext) {
	if string(c.Path()) == idPath {
		e.issueID(c)
		return
	}
	c.Request.Header.Del(hopsHeader)
	e.serve(ctx, c, 0)
	if e.leaving.Load() {
		c.Response.SetConnectionClose()
	}
}

// ServePeer serves a request forwarded by another daemon.
func (e *Entry) ServePeer(ctx context.Context, c *app.RequestContext) {
	hops, _ := strconv.Atoi(string(c.GetHeader(hopsHeader)))
	e.serve(ctx, c, max(1, hops))
}

// issueID responds with a new request id.
func (e *Entry) issueID(c *app.RequestContext) {
	id, err := once.NewID(time.Now(), nil)
	if err != nil {
		c.AbortWithMsg("no random numbers", 500)
		return
	}
	c.JSON(200, struct {
		RequestID string `json:"request_id"`
	}{id})
}

// serve parses and routes a request that was forwarded hops times.
func (e *Entry) serve(ctx context.Context, c *app.RequestContext, hops int) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.awaitRecords(ctx)
	r, problem := e.parse(c, hops)
	if problem != nil {
		e.reject(c, r, *problem)
		return
	}
	e.route(ctx, c, r)
}

// awaitRecords waits up to maxRecordsWait until the daemon has loaded records. A
// request that arrives right after the start is delayed instead of rejected.
func (e *Entry) awaitRecords(ctx context.Context) {
	for end := time.Now().Add(maxRecordsWait); !e.deps.Catalogue.Ready() && time.Now().Before(end); {
		if !pause(ctx, holderPollInterval) {
			return
		}
	}
}

// request is a parsed request that is to be forwarded to the holder.
type request struct {
	config *catalogue.ServiceConfig
	// hops is the number of times that the request has been forwarded.
	hops     int
	incoming holder.IncomingRequest
	// deadline is the time by which the caller must have the response.
	deadline time.Time
	// idempotent reports whether the request may be sent again after an attempt
	// with an unknown outcome.
	idempotent bool
	// mayHaveRun reports whether an earlier attempt has an unknown outcome.
	mayHaveRun bool
}

// malformed returns the refusal of a malformed request, with status 400.
func malformed(code refusal.Code, message string) *refusal.Refusal {
	return &refusal.Refusal{Status: 400, Code: code, Message: message, NotRun: refusal.NotRunTrue}
}

// parse reads the service, the key, the request id and the timeout of a request.
func (e *Entry) parse(c *app.RequestContext, hops int) (*request, *refusal.Refusal) {
	if !e.deps.Catalogue.Ready() {
		return nil, &refusal.Refusal{Status: 503, Code: refusal.CodeNoRecords, Message: "no records are known yet", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
	}
	name, rest := splitPath(string(c.URI().PathOriginal()))
	config, ok := e.deps.Catalogue.Service(name)
	if !ok {
		return nil, &refusal.Refusal{Status: 404, Code: refusal.CodeUnknownService, Message: "no service of this name", NotRun: refusal.NotRunTrue}
	}
	r := &request{config: config, hops: hops}
	if q := c.URI().QueryString(); len(q) > 0 {
		rest += "?" + string(q)
	}
	r.incoming = holder.IncomingRequest{
		Method:     string(c.Method()),
		Path:       rest,
		Key:        string(c.GetHeader(KeyHeader)),
		RequestID:  string(c.GetHeader(target.RequestIDHeader)),
		ReceivedAt: time.Now(),
	}
	if config.Service.Division != nil && r.incoming.Key == "" {
		return r, malformed(refusal.CodeKeyRequired, "the service is divided by key and needs the header "+KeyHeader)
	}
	if len(r.incoming.Key) > service.MaxKeyLength {
		return r, malformed(refusal.CodeKeyTooLong, "the key is too long")
	}
	if text := string(c.GetHeader(target.BudgetHeader)); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return r, malformed(refusal.CodeBadBudget, target.BudgetHeader+" is not a positive duration such as 500ms")
		}
		r.incoming.Timeout = d
	}
	return r, e.classify(c, r)
}

// classify matches a request to a route and class of the service's policy, sets
// its deadline, and buffers the body if it is small.
func (e *Entry) classify(c *app.RequestContext, r *request) *refusal.Refusal {
	m, ok := r.config.Policy.Match(r.incoming.Method, r.incoming.Path)
	if !ok {
		return &refusal.Refusal{Status: 404, Code: refusal.CodeNoRoute, Message: "no route of the policy matches", NotRun: refusal.NotRunTrue}
	}
	timeout := r.config.Policy.Classes[m.ClassIndex].Deadline.Duration
	if r.incoming.Timeout > 0 {
		timeout = min(timeout, r.incoming.Timeout)
	}
	r.deadline = r.incoming.ReceivedAt.Add(timeout)
	r.idempotent = r.config.Policy.Routes[m.RouteIndex].Idempotent
	body, err := holder.NewBody(c)
	if err != nil {
		return malformed(refusal.CodeMalformedRequest, "the body is shorter than its length")
	}
	r.incoming.Body = body
	return nil
}

// splitPath splits a path into the service's name and the remaining path, which
// begins with a slash.
func splitPath(path string) (name, rest string) {
	path = strings.TrimPrefix(path, "/")
	name, rest, _ = strings.Cut(path, "/")
	return name, "/" + rest
}

// reject responds with a refusal and counts it. r is nil if no service could be
// determined.
func (e *Entry) reject(c *app.RequestContext, r *request, p refusal.Refusal) {
	name := "unknown"
	if r != nil {
		name = r.config.Name
	}
	if r != nil && (r.mayHaveRun || r.incoming.RequestID != "" && p.Status >= 500) {
		// An earlier request with this id may have run. No holder has checked
		// the id, so the outcome is unknown.
		p.NotRun = refusal.NotRunUnknown
	}
	e.deps.Metrics.Requests.WithLabelValues(name, "entry", string(p.Code)).Inc()
	e.deps.Log.Debug("Request refused.", "service", name, "code", string(p.Code), "not_run", string(p.NotRun), "request_id", string(c.GetHeader(target.RequestIDHeader)))
	refusal.Write(c, p)
}

// route forwards a request to the holder of its group, or serves it locally if
// this daemon is the holder. It polls for a holder and tries again as long as that
// is safe, the body can be replayed and the deadline has not passed.
func (e *Entry) route(caller context.Context, c *app.RequestContext, r *request) {
	last := refusal.Refusal{Status: 503, Code: refusal.CodeNoHolder, Message: "no daemon holds the service now", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
	ctx, cancel := context.WithDeadline(caller, r.deadline)
	for {
		h, ok := e.holderOf(r.config)
		switch {
		case ok && h.Name == e.deps.Self().Name:
			if e.serveLocally(caller, c, r) {
				cancel()
				return
			}
		case ok && r.hops < maxHops:
			out := e.forward(ctx, c, r, h, cancel)
			if out.answered {
				return
			}
			last = out.refusal
			if !out.retry {
				cancel()
				e.reject(c, r, last)
				return
			}
		}
		if !r.incoming.Body.Replayable() || !pause(ctx, holderPollInterval) {
			break
		}
	}
	cancel()
	e.reject(c, r, last)
}

// holderOf returns the daemon to forward a request to: the local one if it is a
// healthy holder of the group, or else the presumed holder.
func (e *Entry) holderOf(config *catalogue.ServiceConfig) (host.Host, bool) {
	if g, ok := e.deps.Group(config.Name); ok {
		if g.Healthy() {
			return e.deps.Self(), true
		}
	}
	return e.deps.Holder(config.Name, config.Placement.DataCentres)
}

// serveLocally serves a request with the local daemon's group. It returns false
// if the group is not held here; then the request has neither run nor been
// answered.
func (e *Entry) serveLocally(caller context.Context, c *app.RequestContext, r *request) bool {
	g, ok := e.deps.Group(r.config.Name)
	if !ok {
		return false
	}
	in := r.incoming
	in.Timeout = time.Until(r.deadline)
	in.ReceivedAt = time.Now()
	return g.Serve(caller, c, in)
}

// pause waits for d and returns true, or returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
