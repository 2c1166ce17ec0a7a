package standin

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"io"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/redwingtally/redwingtally/forward"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/internal/httpd"
	"github.com/redwingtally/redwingtally/target"
)

// ServiceTimeHeader is the header with the service time that a caller requests, as a
// duration with a unit.
const ServiceTimeHeader = "Standin-Work"

// CrashHeader is the header that makes a target crash.
const CrashHeader = "Standin-Crash"

// TruncateHeader is the header with the number of bytes after which a target aborts a
// streamed response.
const TruncateHeader = "Standin-Cut"

// ChunkedHeader is the header that makes a target stream a response without a
// Content-Length.
const ChunkedHeader = "Standin-Chunked"

// maxServiceTime is the maximum service time of a request.
const maxServiceTime = time.Minute

// TargetOptions configure a Target.
type TargetOptions struct {
	Name string
	// ChecksGrants makes the target reject requests for shards that it does not own.
	ChecksGrants bool
	// Slots is the number of requests that run concurrently; 0 means 2.
	Slots int
	// QueueLimit is the number of requests that wait for a slot before the target rejects
	// further ones as overloaded; 0 means 64.
	QueueLimit int
	// ColdFactor slows the first requests down: the service time of the n-th request is
	// multiplied by the larger of ColdFactor-n and 1.
	ColdFactor int
	// IgnoreCancel makes the target continue a request until its deadline when the caller
	// has disconnected.
	IgnoreCancel bool
	// Journal is a file to which the target appends the id of each request that it
	// runs; empty means none.
	Journal string
	// OnStart is called when a request starts, with its key if it has one. The function
	// that it returns is called at the end of the request. OnStart may be nil.
	OnStart func(target, key string) func()
	// OnCrash is called for a request with CrashHeader; nil exits the process.
	OnCrash func()
}

// TargetFaults are faults that a Target injects.
type TargetFaults struct {
	// SilenceConnections makes the target stop responding on the connections that are
	// open when it is set. New connections work.
	SilenceConnections bool `json:"silent"`
	// Draining makes the health endpoint report that the target is draining.
	Draining bool `json:"draining"`
	// Overloaded makes the target reject all requests as overloaded.
	Overloaded bool `json:"shed"`
	// HangHealthChecks leaves health checks unanswered.
	HangHealthChecks bool `json:"health_hangs"`
	// ReportedLoad is a load that the health endpoint reports instead of the actual one;
	// 0 reports the actual one.
	ReportedLoad float64 `json:"health_lie"`
}

// A Target is a stand-in for a target that speaks the protocol of package target.
type Target struct {
	options        TargetOptions
	http           *httpd.Server
	started        time.Time
	incarnation    uint64
	slots          chan struct{}
	mu             sync.Mutex
	voter          *grant.Voter
	faults         TargetFaults
	silentConns    map[string]bool // remote addresses of connections that get no response
	seenConns      map[string]bool // remote addresses of all connections so far
	runs           map[string]int  // number of runs by request id
	waiting        int
	served         int
	completeBodies int
	journal        *os.File
}

// StartTarget starts a target on address.
func StartTarget(address netip.AddrPort, o TargetOptions) (*Target, error) {
	var journal *os.File
	if o.Journal != "" {
		var err error
		if journal, err = os.OpenFile(o.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
			return nil, err
		}
	}
	srv, err := httpd.New(address)
	if err != nil {
		return nil, err
	}
	if o.Slots == 0 {
		o.Slots = 2
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = 64
	}
	if o.OnCrash == nil {
		o.OnCrash = func() { os.Exit(3) }
	}
	var id [8]byte
	_, _ = rand.Read(id[:])
	t := &Target{
		options:     o,
		http:        srv,
		started:     time.Now(),
		incarnation: binary.BigEndian.Uint64(id[:]) >> 1,
		slots:       make(chan struct{}, o.Slots),
		silentConns: map[string]bool{},
		seenConns:   map[string]bool{},
		runs:        map[string]int{},
		journal:     journal,
	}
	t.voter = grant.NewVoter(t.incarnation)
	srv.Engine.POST(target.OrderPath, t.order)
	srv.Engine.GET(target.HealthPath, t.health)
	srv.Engine.PUT("/standin/faults", t.putFaults)
	srv.Engine.GET("/standin/runs", t.getRuns)
	srv.Handle(t.serve)
	srv.Start()
	return t, nil
}

// Address returns the address on which the target listens.
func (t *Target) Address() netip.AddrPort { return t.http.Address() }

// Stop stops the target and waits for open connections until ctx ends.
func (t *Target) Stop(ctx context.Context) error { return t.http.Stop(ctx) }

// Runs returns the number of runs by request id.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		out[id] = n
	}
	return out
}

// CompleteBodies returns the number of requests that arrived with a complete body.
func (t *Target) CompleteBodies() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completeBodies
}

// SetFaults replaces the injected faults. Connections that are silent already
// remain so.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	if f.SilenceConnections {
		for a := range t.seenConns {
			t.silentConns[a] = true
		}
	}
}

// checkConn records the connection of a request. If the connection is silent, it
// blocks until ctx ends and returns false.
func (t *Target) checkConn(ctx context.Context, c *app.RequestContext) bool {
	remote := c.RemoteAddr().String()
	t.mu.Lock()
	t.seenConns[remote] = true
	silent := t.silentConns[remote]
	t.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return !silent
}

func (t *Target) order(ctx context.Context, c *app.RequestContext) {
	if !t.checkConn(ctx, c) {
		return
	}
	var o grant.Order
	if !decodeBody(c, &o) {
		return
	}
	t.mu.Lock()
	ack := t.voter.Handle(time.Since(t.started), o)
	t.mu.Unlock()
	c.JSON(200, ack)
}

func (t *Target) health(ctx context.Context, c *app.RequestContext) {
	if !t.checkConn(ctx, c) {
		return
	}
	t.mu.Lock()
	hangs := t.faults.HangHealthChecks
	t.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return
	}
	t.mu.Lock()
	h := target.Health{Incarnation: t.incarnation, Draining: t.faults.Draining, Load: float64(len(t.slots)) / float64(t.options.Slots)}
	if t.faults.ReportedLoad != 0 {
		h.Load = t.faults.ReportedLoad
	}
	t.mu.Unlock()
	c.JSON(200, h)
}

func (t *Target) putFaults(_ context.Context, c *app.RequestContext) {
	var f TargetFaults
	if decodeBody(c, &f) {
		t.SetFaults(f)
	}
}

func (t *Target) getRuns(_ context.Context, c *app.RequestContext) {
	c.JSON(200, t.Runs())
}

func (t *Target) serve(ctx context.Context, c *app.RequestContext) {
	if !t.checkConn(ctx, c) {
		return
	}
	if reason := t.rejectionReason(c); reason != "" {
		t.rejectNotRun(c, reason)
		return
	}
	if t.options.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := withDeadline(ctx, c)
	defer cancel()
	if !t.acquireSlot(ctx) {
		t.rejectNotRun(c, "overloaded")
		return
	}
	defer func() { <-t.slots }()
	if t.options.OnStart != nil {
		defer t.options.OnStart(t.options.Name, string(c.GetHeader("Redwing-Key")))()
	}
	t.execute(ctx, c)
}

// withDeadline returns a context that ends with the time budget of the request.
func withDeadline(ctx context.Context, c *app.RequestContext) (context.Context, context.CancelFunc) {
	d, err := time.ParseDuration(string(c.GetHeader(target.BudgetHeader)))
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, d)
}

// rejectionReason returns the reason for which the target rejects a request, or "" if
// it accepts the request.
func (t *Target) rejectionReason(c *app.RequestContext) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Overloaded {
		return "overloaded"
	}
	if !t.options.ChecksGrants {
		return ""
	}
	shard, err := strconv.Atoi(string(c.GetHeader(target.ShardHeader)))
	term, termErr := strconv.ParseUint(string(c.GetHeader(target.TermHeader)), 10, 64)
	if err != nil || termErr != nil || grant.Term(term) < t.voter.Term() || !t.voter.Owns(time.Since(t.started), shard) {
		return target.ReasonNotOwner
	}
	return ""
}

// rejectNotRun rejects a request and marks it as not run.
func (t *Target) rejectNotRun(c *app.RequestContext, reason string) {
	c.AbortWithMsg(reason, 503) // resets the headers of the response
	c.Header(target.NotRunHeader, "true")
	c.Header(target.ReasonHeader, reason)
}

// acquireSlot waits for a slot. It returns false if the backlog is full or ctx ends.
func (t *Target) acquireSlot(ctx context.Context) bool {
	t.mu.Lock()
	if t.waiting >= t.options.QueueLimit {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// execute reads the complete body, waits for the requested service time, and
// responds with a digest of the body. A caller can verify with the digest that the
// response belongs to its request.
func (t *Target) execute(ctx context.Context, c *app.RequestContext) {
	t.mu.Lock()
	t.served++
	cold := max(1, t.options.ColdFactor-t.served)
	if id := string(c.GetHeader(target.RequestIDHeader)); id != "" {
		t.runs[id]++
		if t.journal != nil {
			_, _ = t.journal.WriteString(id + "\n")
		}
	}
	t.mu.Unlock()
	if len(c.GetHeader(CrashHeader)) > 0 {
		t.options.OnCrash()
		<-ctx.Done()
		return
	}
	digest := fnv.New64a()
	_, err := io.Copy(digest, c.RequestBodyStream())
	if err != nil {
		c.AbortWithMsg("request body is incomplete", 400)
		return
	}
	t.mu.Lock()
	t.completeBodies++
	t.mu.Unlock()
	serviceTime, _ := time.ParseDuration(string(c.GetHeader(ServiceTimeHeader)))
	sleep(ctx, min(maxServiceTime, serviceTime*time.Duration(cold)))
	c.Header("Standin-Target", t.options.Name)
	c.Header("Standin-Digest", hex.EncodeToString(digest.Sum(nil)))
	c.Header("Standin-Echo", string(c.GetHeader("Standin-Echo")))
	t.respond(c)
}

// respond streams the number of bytes that the caller requested, or sends a short
// text if it requested none.
func (t *Target) respond(c *app.RequestContext) {
	n, err := strconv.Atoi(string(c.GetHeader("Standin-Answer-Bytes")))
	if err != nil {
		c.String(200, "served %s by %s\n", c.Path(), t.options.Name)
		return
	}
	c.SetStatusCode(200)
	size := n
	if len(c.GetHeader(ChunkedHeader)) > 0 {
		size = -1
	}
	if cut, err := strconv.Atoi(string(c.GetHeader(TruncateHeader))); err == nil {
		c.SetBodyStream(io.MultiReader(io.LimitReader(patternReader{}, int64(cut)), abortReader{forward.CloseCallerConn(c)}), size)
		return
	}
	c.SetBodyStream(io.LimitReader(patternReader{}, int64(n)), size)
}

// abortReader is a reader that closes the caller's connection and returns an error.
type abortReader struct{ abort func() }

// Read closes the connection and returns io.ErrUnexpectedEOF.
func (b abortReader) Read([]byte) (int, error) {
	b.abort()
	return 0, io.ErrUnexpectedEOF
}

// patternReader is an endless reader that returns one fixed byte.
type patternReader struct{}

func (patternReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'w'
	}
	return len(p), nil
}
