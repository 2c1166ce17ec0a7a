// Package entry takes callers' requests and brings them to the daemon that
// holds the service's group.
//
// The first part of a path names the service; the rest goes to the target. The
// header Redwing-Key carries the key of a divided service, Redwing-Request-Id
// the id of a request that may run only once, Redwing-Budget the time that the
// caller gives, as a duration.
//
// # Usage
//
//	e := entry.New(entry.Dependencies{...})
//	server.Handle(e.ServeCaller)   // callers
//	peers.Handle(e.ServePeer)      // other daemons
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
	// KeyHeader carries a request's key.
	KeyHeader = "Redwing-Key"
	// hopsHeader counts the daemons that a request has passed.
	hopsHeader = "Redwing-Hops"
	// idPath issues request ids.
	idPath = "/redwingtally/request-id"
	// maxHops bounds the daemons that a request passes.
	maxHops = 3
	// holderPoll is the pause before a holder is looked for again.
	holderPoll = 15 * time.Millisecond
	// recordsWait is how long a request waits for the first records.
	recordsWait = time.Second
	// maxPeerLanes bounds the idle connections to one peer.
	maxPeerLanes = 256
)

// Dependencies are what an Entry needs.
type Dependencies struct {
	Log       *slog.Logger
	Catalogue *catalogue.Catalogue
	Metrics   *metric.Set
	// Self returns the daemon itself.
	Self func() host.Host
	// Holder returns the daemon that is believed to hold a service's group.
	Holder func(service string, dataCentres []string) (host.Host, bool)
	// Alive reports whether a daemon is believed alive.
	Alive func(name string) bool
	// Lost notes that a daemon refused a connection.
	Lost func(name string)
	// Group returns the daemon's own part in a service.
	Group func(service string) (*holder.Group, bool)
}

// An Entry takes requests. It is safe for concurrent use.
type Entry struct {
	d        Dependencies
	peers    *peers
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// New returns an Entry.
func New(d Dependencies) *Entry {
	d.Log = d.Log.With("part", "entry")
	return &Entry{d: d, peers: newPeers()}
}

// Leave closes callers' connections after their next answer.
func (e *Entry) Leave() { e.leaving.Store(true) }

// InFlight returns the number of requests that have not been answered.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Close closes the connections to other daemons.
func (e *Entry) Close() { e.peers.close() }

// ServeCaller answers a caller.
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

// ServePeer answers a request that another daemon passed on.
func (e *Entry) ServePeer(ctx context.Context, c *app.RequestContext) {
	hops, _ := strconv.Atoi(string(c.GetHeader(hopsHeader)))
	e.serve(ctx, c, max(1, hops))
}

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

func (e *Entry) serve(ctx context.Context, c *app.RequestContext, hops int) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.awaitRecords(ctx)
	r, problem := e.parse(c, hops)
	if problem != nil {
		e.refuse(c, r, *problem)
		return
	}
	e.route(ctx, c, r)
}

// awaitRecords gives a daemon that has just started a moment to learn records.
func (e *Entry) awaitRecords(ctx context.Context) {
	for end := time.Now().Add(recordsWait); !e.d.Catalogue.Ready() && time.Now().Before(end); {
		if !pause(ctx, holderPoll) {
			return
		}
	}
}

// request is a parsed request on its way to a holder.
type request struct {
	bundle *catalogue.Bundle
	hops   int
	in     holder.IncomingRequest
	// deadline is when the answer is of no more use.
	deadline   time.Time
	repeatable bool
	// mayHaveRun says that an earlier pass has an unknown outcome.
	mayHaveRun bool
}

func malformed(code refusal.Code, message string) *refusal.Refusal {
	return &refusal.Refusal{Status: 400, Code: code, Message: message, NotRun: refusal.NotRunTrue}
}

// parse reads the parts of a request that decide where it goes.
func (e *Entry) parse(c *app.RequestContext, hops int) (*request, *refusal.Refusal) {
	if !e.d.Catalogue.Ready() {
		return nil, &refusal.Refusal{Status: 503, Code: refusal.CodeNoRecords, Message: "no records are known yet", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
	}
	name, rest := split(string(c.URI().PathOriginal()))
	b, ok := e.d.Catalogue.Service(name)
	if !ok {
		return nil, &refusal.Refusal{Status: 404, Code: refusal.CodeUnknownService, Message: "no service of this name", NotRun: refusal.NotRunTrue}
	}
	r := &request{bundle: b, hops: hops}
	if q := c.URI().QueryString(); len(q) > 0 {
		rest += "?" + string(q)
	}
	r.in = holder.IncomingRequest{
		Method:     string(c.Method()),
		Path:       rest,
		Key:        string(c.GetHeader(KeyHeader)),
		RequestID:  string(c.GetHeader(target.RequestIDHeader)),
		ReceivedAt: time.Now(),
	}
	if b.Service.Division != nil && r.in.Key == "" {
		return r, malformed(refusal.CodeKeyRequired, "the service is divided by key and needs the header "+KeyHeader)
	}
	if len(r.in.Key) > service.MaxKeyLength {
		return r, malformed(refusal.CodeKeyTooLong, "the key is too long")
	}
	if text := string(c.GetHeader(target.BudgetHeader)); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return r, malformed(refusal.CodeBadBudget, target.BudgetHeader+" is not a positive duration such as 500ms")
		}
		r.in.Timeout = d
	}
	return r, e.classify(c, r)
}

// classify finds the deadline of a request and reads its body where that is small.
func (e *Entry) classify(c *app.RequestContext, r *request) *refusal.Refusal {
	m, ok := r.bundle.Policy.Match(r.in.Method, r.in.Path)
	if !ok {
		return &refusal.Refusal{Status: 404, Code: refusal.CodeNoRoute, Message: "no route of the policy matches", NotRun: refusal.NotRunTrue}
	}
	budget := r.bundle.Policy.Classes[m.ClassIndex].Deadline.Duration
	if r.in.Timeout > 0 {
		budget = min(budget, r.in.Timeout)
	}
	r.deadline = r.in.ReceivedAt.Add(budget)
	r.repeatable = r.bundle.Policy.Routes[m.RouteIndex].Idempotent
	body, err := holder.NewBody(c)
	if err != nil {
		return malformed(refusal.CodeMalformedRequest, "the body is shorter than its length")
	}
	r.in.Body = body
	return nil
}

// split divides a path into the service's name and the rest.
func split(path string) (name, rest string) {
	path = strings.TrimPrefix(path, "/")
	name, rest, _ = strings.Cut(path, "/")
	return name, "/" + rest
}

// refuse answers with a refusal of the entry and counts it.
func (e *Entry) refuse(c *app.RequestContext, r *request, p refusal.Refusal) {
	name := "unknown"
	if r != nil {
		name = r.bundle.Name
	}
	if r != nil && (r.mayHaveRun || r.in.RequestID != "" && p.Status >= 500) {
		// A request with this id may have run before; nobody was asked.
		p.NotRun = refusal.NotRunUnknown
	}
	e.d.Metrics.Requests.WithLabelValues(name, "entry", string(p.Code)).Inc()
	e.d.Log.Debug("Request refused.", "service", name, "code", string(p.Code), "not_run", string(p.NotRun), "request_id", string(c.GetHeader(target.RequestIDHeader)))
	refusal.Write(c, p)
}

// route brings a request to the holder, and looks for a new one while the
// request has not run and time remains.
func (e *Entry) route(caller context.Context, c *app.RequestContext, r *request) {
	last := refusal.Refusal{Status: 503, Code: refusal.CodeNoHolder, Message: "no daemon holds the service now", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
	ctx, cancel := context.WithDeadline(caller, r.deadline)
	for {
		h, ok := e.holder(r.bundle)
		switch {
		case ok && h.Name == e.d.Self().Name:
			if e.local(caller, c, r) {
				cancel()
				return
			}
		case ok && r.hops < maxHops:
			out := e.forward(ctx, c, r, h, cancel)
			if out.answered {
				return
			}
			last = out.refusal
			if !out.again {
				cancel()
				e.refuse(c, r, last)
				return
			}
		}
		if !r.in.Body.Replayable() || !pause(ctx, holderPoll) {
			break
		}
	}
	cancel()
	e.refuse(c, r, last)
}

// holder returns the daemon that a request goes to: this one when it holds the group.
func (e *Entry) holder(b *catalogue.Bundle) (host.Host, bool) {
	if g, ok := e.d.Group(b.Name); ok {
		if g.Healthy() {
			return e.d.Self(), true
		}
	}
	return e.d.Holder(b.Name, b.Placement.DataCentres)
}

// local serves a request from the daemon's own group. It returns false when
// the group is not held here and nothing was run or answered.
func (e *Entry) local(caller context.Context, c *app.RequestContext, r *request) bool {
	g, ok := e.d.Group(r.bundle.Name)
	if !ok {
		return false
	}
	in := r.in
	in.Timeout = time.Until(r.deadline)
	in.ReceivedAt = time.Now()
	return g.Serve(caller, c, in)
}

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
