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

// WorkHeader is the header in which callers ask a stand-in target for work, as a duration.
const WorkHeader = "Standin-Work"

// CrashHeader is the header that makes a stand-in target crash.
const CrashHeader = "Standin-Crash"

// CutHeader is the number of bytes after which a stand-in target cuts a streamed answer.
const CutHeader = "Standin-Cut"

// ChunkedHeader makes a stand-in target stream an answer without telling its size.
const ChunkedHeader = "Standin-Chunked"

// maxWork bounds the work of one request.
const maxWork = time.Minute

// TargetOptions configure a stand-in target.
type TargetOptions struct {
	Name string
	// ChecksGrants makes the target refuse work for shards that it does not own.
	ChecksGrants bool
	// Slots is how many requests run at a time; 0 means 2.
	Slots int
	// Backlog is how many requests wait for a slot before the target sheds; 0 means 64.
	Backlog int
	// Cold slows the first requests down by a factor that falls to one.
	Cold int
	// Stubborn makes the target work on after its caller left, until the deadline.
	Stubborn bool
	// Journal is a file to which the target appends the id of each request that it runs.
	Journal string
	// Began is called when a request for a key begins to run; what it returns is
	// called at the end. It may be nil.
	Began func(target, key string) func()
	// Crash is called for a request with the crash header; nil exits the process.
	Crash func()
}

// TargetFaults are faults that a stand-in target shows.
type TargetFaults struct {
	// Silent makes connections that are open now go silent; new ones work.
	Silent bool `json:"silent"`
	// Draining makes the target say that it is leaving.
	Draining bool `json:"draining"`
	// Shed makes the target refuse all work for load.
	Shed bool `json:"shed"`
	// HealthHangs leaves health checks without an answer.
	HealthHangs bool `json:"health_hangs"`
	// HealthLie is a load that the health endpoint reports in place of the true one.
	HealthLie float64 `json:"health_lie"`
}

// A Target is a stand-in target.
type Target struct {
	o           TargetOptions
	http        *httpd.Server
	started     time.Time
	incarnation uint64
	slots       chan struct{}
	mu          sync.Mutex
	voter       *grant.Voter
	faults      TargetFaults
	silent      map[string]bool
	seen        map[string]bool
	runs        map[string]int
	waiting     int
	served      int
	whole       int
	journal     *os.File
}

// StartTarget starts a stand-in target on address.
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
	if o.Backlog == 0 {
		o.Backlog = 64
	}
	if o.Crash == nil {
		o.Crash = func() { os.Exit(3) }
	}
	var id [8]byte
	_, _ = rand.Read(id[:])
	t := &Target{
		o:           o,
		http:        srv,
		started:     time.Now(),
		incarnation: binary.BigEndian.Uint64(id[:]) >> 1,
		slots:       make(chan struct{}, o.Slots),
		silent:      map[string]bool{},
		seen:        map[string]bool{},
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

// Address returns the address of the target.
func (t *Target) Address() netip.AddrPort { return t.http.Address() }

// Stop stops the target.
func (t *Target) Stop(ctx context.Context) error { return t.http.Stop(ctx) }

// Runs returns how often each request id has run.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		out[id] = n
	}
	return out
}

// Whole returns how many requests came with their whole bodies.
func (t *Target) Whole() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.whole
}

// SetFaults sets the faults that the target shows from now on.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	if f.Silent {
		for a := range t.seen {
			t.silent[a] = true
		}
	}
}

// hear notes the connection of a request and blocks when it is silent.
func (t *Target) hear(ctx context.Context, c *app.RequestContext) bool {
	remote := c.RemoteAddr().String()
	t.mu.Lock()
	t.seen[remote] = true
	silent := t.silent[remote]
	t.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return !silent
}

func (t *Target) order(ctx context.Context, c *app.RequestContext) {
	if !t.hear(ctx, c) {
		return
	}
	var o grant.Order
	if !decode(c, &o) {
		return
	}
	t.mu.Lock()
	ack := t.voter.Handle(time.Since(t.started), o)
	t.mu.Unlock()
	c.JSON(200, ack)
}

func (t *Target) health(ctx context.Context, c *app.RequestContext) {
	if !t.hear(ctx, c) {
		return
	}
	t.mu.Lock()
	hangs := t.faults.HealthHangs
	t.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return
	}
	t.mu.Lock()
	h := target.Health{Incarnation: t.incarnation, Draining: t.faults.Draining, Load: float64(len(t.slots)) / float64(t.o.Slots)}
	if t.faults.HealthLie != 0 {
		h.Load = t.faults.HealthLie
	}
	t.mu.Unlock()
	c.JSON(200, h)
}

func (t *Target) putFaults(_ context.Context, c *app.RequestContext) {
	var f TargetFaults
	if decode(c, &f) {
		t.SetFaults(f)
	}
}

func (t *Target) getRuns(_ context.Context, c *app.RequestContext) {
	c.JSON(200, t.Runs())
}

func (t *Target) serve(ctx context.Context, c *app.RequestContext) {
	if !t.hear(ctx, c) {
		return
	}
	if reason := t.refuse(c); reason != "" {
		t.notRun(c, reason)
		return
	}
	if t.o.Stubborn {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := deadline(ctx, c)
	defer cancel()
	if !t.acquire(ctx) {
		t.notRun(c, "overloaded")
		return
	}
	defer func() { <-t.slots }()
	if t.o.Began != nil {
		defer t.o.Began(t.o.Name, string(c.GetHeader("Redwing-Key")))()
	}
	t.run(ctx, c)
}

func deadline(ctx context.Context, c *app.RequestContext) (context.Context, context.CancelFunc) {
	d, err := time.ParseDuration(string(c.GetHeader(target.BudgetHeader)))
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, d)
}

// refuse returns why the target does not run a request; empty when it does.
func (t *Target) refuse(c *app.RequestContext) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Shed {
		return "overloaded"
	}
	if !t.o.ChecksGrants {
		return ""
	}
	shard, err := strconv.Atoi(string(c.GetHeader(target.ShardHeader)))
	term, termErr := strconv.ParseUint(string(c.GetHeader(target.TermHeader)), 10, 64)
	if err != nil || termErr != nil || grant.Term(term) < t.voter.Term() || !t.voter.Owns(time.Since(t.started), shard) {
		return target.ReasonNotOwner
	}
	return ""
}

func (t *Target) notRun(c *app.RequestContext, reason string) {
	c.Header(target.NotRunHeader, "true")
	c.Header(target.ReasonHeader, reason)
	c.AbortWithMsg(reason, 503)
}

func (t *Target) acquire(ctx context.Context) bool {
	t.mu.Lock()
	if t.waiting >= t.o.Backlog {
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

// run does the work: it reads the whole body, waits, and answers with a digest
// of the body, so that a caller can tell its own whole answer.
func (t *Target) run(ctx context.Context, c *app.RequestContext) {
	t.mu.Lock()
	t.served++
	cold := max(1, t.o.Cold-t.served)
	if id := string(c.GetHeader(target.RequestIDHeader)); id != "" {
		t.runs[id]++
		if t.journal != nil {
			_, _ = t.journal.WriteString(id + "\n")
		}
	}
	t.mu.Unlock()
	if len(c.GetHeader(CrashHeader)) > 0 {
		t.o.Crash()
		<-ctx.Done()
		return
	}
	digest := fnv.New64a()
	_, err := io.Copy(digest, c.RequestBodyStream())
	if err != nil {
		c.AbortWithMsg("body is incomplete", 400)
		return
	}
	t.mu.Lock()
	t.whole++
	t.mu.Unlock()
	work, _ := time.ParseDuration(string(c.GetHeader(WorkHeader)))
	pause(ctx, min(maxWork, work*time.Duration(cold)))
	c.Header("Standin-Target", t.o.Name)
	c.Header("Standin-Digest", hex.EncodeToString(digest.Sum(nil)))
	c.Header("Standin-Echo", string(c.GetHeader("Standin-Echo")))
	t.answer(c)
}

// answer streams as many bytes as the caller asked for, or a short text.
func (t *Target) answer(c *app.RequestContext) {
	n, err := strconv.Atoi(string(c.GetHeader("Standin-Answer-Bytes")))
	if err != nil {
		c.String(200, "served %s by %s\n", c.Path(), t.o.Name)
		return
	}
	c.SetStatusCode(200)
	size := n
	if len(c.GetHeader(ChunkedHeader)) > 0 {
		size = -1
	}
	if cut, err := strconv.Atoi(string(c.GetHeader(CutHeader))); err == nil {
		c.SetBodyStream(io.MultiReader(io.LimitReader(pattern{}, int64(cut)), broken{forward.CloseCallerConn(c)}), size)
		return
	}
	c.SetBodyStream(io.LimitReader(pattern{}, int64(n)), size)
}

// broken is a reader that closes the connection and fails.
type broken struct{ abort func() }

// Read fails.
func (b broken) Read([]byte) (int, error) {
	b.abort()
	return 0, io.ErrUnexpectedEOF
}

// pattern is an endless reader of a fixed byte.
type pattern struct{}

func (pattern) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'w'
	}
	return len(p), nil
}
