package entry

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/forward"
	"github.com/redwingtally/redwingtally/holder"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/lane"
	"github.com/redwingtally/redwingtally/refusal"
	"github.com/redwingtally/redwingtally/target"
)

// peerPools holds a connection pool for the forward address of each other daemon.
type peerPools struct {
	mu    sync.Mutex
	pools map[netip.AddrPort]*lane.Pool
}

// newPeerPools returns an empty set of pools.
func newPeerPools() *peerPools {
	return &peerPools{pools: map[netip.AddrPort]*lane.Pool{}}
}

// pool returns the connection pool of an address, creating it on first use.
func (p *peerPools) pool(a netip.AddrPort) *lane.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[a]
	if !ok {
		pool = lane.NewPool(a, maxIdlePeerConns)
		p.pools[a] = pool
	}
	return pool
}

// close closes all pools.
func (p *peerPools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.Close()
	}
}

// outcome is the outcome of forwarding a request to another daemon.
type outcome struct {
	// answered reports whether the caller has received a response.
	answered bool
	// retry reports whether the request may be forwarded again, because it has
	// not run or is idempotent.
	retry bool
	// refusal is the response to the caller if the request is not forwarded again.
	refusal refusal.Refusal
}

// forward forwards a request to host h, the presumed holder of the group. If the
// outcome is answered, release is called after the body of the response has been
// copied; otherwise it is not called.
func (e *Entry) forward(ctx context.Context, c *app.RequestContext, r *request, h host.Host, release func()) outcome {
	pool := e.peers.pool(h.ForwardAddress)
	conn, _, err := pool.Take(ctx)
	if err != nil {
		e.deps.MarkUnreachable(h.Name)
		return outcome{retry: true, refusal: unreachableRefusal()}
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	releaseMessages := func() {
		protocol.ReleaseRequest(req)
		protocol.ReleaseResponse(resp)
	}
	e.buildRequest(c, r, req, h)
	attempt, cancel := context.WithCancel(ctx)
	w := e.watchHolder(r, h, cancel)
	err = conn.Do(attempt, req, resp)
	w.stop()
	if err != nil {
		cancel()
		releaseMessages()
		return e.failureOutcome(r, h, err, w.lost.Load())
	}
	if mayTryAnother(resp) && r.incoming.Body.Replayable() {
		if conn.Finish(resp) {
			pool.Put(conn)
		}
		cancel()
		releaseMessages()
		return outcome{retry: true, refusal: unreachableRefusal()}
	}
	if r.mayHaveRun && string(resp.Header.Peek(target.NotRunHeader)) == string(refusal.NotRunTrue) {
		// This attempt did not run, but an earlier one may have.
		code := refusal.Code(resp.Header.Peek(target.ReasonHeader))
		conn.Close()
		cancel()
		releaseMessages()
		return outcome{refusal: refusal.Refusal{Status: 502, Code: code, Message: "an earlier pass has an unknown outcome", NotRun: refusal.NotRunUnknown}}
	}
	e.writeResponse(c, resp, func(complete bool) {
		if !complete {
			conn.Close()
		} else if conn.Finish(resp) {
			pool.Put(conn)
		}
		cancel()
		releaseMessages()
		release()
	})
	return outcome{answered: true}
}

// aliveCheckInterval is the interval at which a forwarded request checks that
// its holder is still alive.
const aliveCheckInterval = 100 * time.Millisecond

// forwardWatch monitors a request that was forwarded to another daemon. An
// idempotent request is cancelled and sent again if that daemon is lost, even if
// its connection reports no error.
type forwardWatch struct {
	// lost reports whether the request was cancelled because its daemon was lost.
	lost atomic.Bool
	// ended reports whether the attempt is over.
	ended atomic.Bool
	timer *time.Timer
}

// watchHolder starts the watch of a request forwarded to h. cancel cancels the
// attempt. A request that is not idempotent or whose body cannot be replayed is
// not watched.
func (e *Entry) watchHolder(r *request, h host.Host, cancel context.CancelFunc) *forwardWatch {
	w := &forwardWatch{}
	if !r.idempotent || !r.incoming.Body.Replayable() {
		return w
	}
	check := func() {
		switch {
		case w.ended.Load():
		case e.stillHolds(r, h):
			w.timer.Reset(aliveCheckInterval)
		default:
			w.lost.Store(true)
			cancel()
		}
	}
	ready := make(chan struct{})
	w.timer = time.AfterFunc(aliveCheckInterval, func() {
		<-ready
		check()
	})
	close(ready)
	return w
}

// stillHolds reports whether h is alive and no other daemon is the presumed
// holder of the group.
func (e *Entry) stillHolds(r *request, h host.Host) bool {
	current, ok := e.holderOf(r.config)
	return e.deps.IsAlive(h.Name) && (!ok || current.Name == h.Name)
}

// stop ends the watch.
func (w *forwardWatch) stop() {
	w.ended.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}

// unreachableRefusal returns the refusal of a request whose holder cannot be reached.
func unreachableRefusal() refusal.Refusal {
	return refusal.Refusal{Status: 503, Code: refusal.CodeNoHolder, Message: "the daemon that holds the service cannot be reached", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
}

// mayTryAnother reports whether the other daemon rejected the request without
// running it because it does not hold the group or has no records. Another
// daemon may then be tried.
func mayTryAnother(resp *protocol.Response) bool {
	if string(resp.Header.Peek(target.NotRunHeader)) != string(refusal.NotRunTrue) {
		return false
	}
	switch refusal.Code(resp.Header.Peek(target.ReasonHeader)) {
	case refusal.CodeNotHolder, refusal.CodeNoHolder, refusal.CodeNoRecords:
		return true
	}
	return false
}

// buildRequest fills req with the request to forward to h.
func (e *Entry) buildRequest(c *app.RequestContext, r *request, req *protocol.Request, h host.Host) {
	forward.CopyRequestHeader(&c.Request.Header, &req.Header)
	req.SetMethod(r.incoming.Method)
	req.SetRequestURI("http://" + h.ForwardAddress.String() + "/" + r.config.Name + r.incoming.Path)
	req.Header.Set(hopsHeader, strconv.Itoa(r.hops+1))
	req.Header.Set(target.BudgetHeader, time.Until(r.deadline).String())
	if body, size := r.incoming.Body.Open(); size != 0 {
		req.SetBodyStream(lane.NewRequestBody(body), size)
	}
}

// failureOutcome returns the outcome of an attempt that failed with err. lost
// reports whether it was cancelled because h was lost.
func (e *Entry) failureOutcome(r *request, h host.Host, err error, lost bool) outcome {
	unknown := refusal.Refusal{Status: 502, Code: refusal.CodeForwardFailed, Message: "the daemon that holds the service was lost", NotRun: refusal.NotRunUnknown}
	switch {
	case eris.Is(err, lane.ErrNotSent):
		return outcome{retry: true, refusal: unreachableRefusal()}
	case lost:
		r.mayHaveRun = true
		return outcome{retry: true, refusal: unknown}
	case eris.Is(err, lane.ErrTimeout):
		unknown.Status = 504
		unknown.Code = refusal.CodeDeadlinePassed
		unknown.Message = "no answer in time"
		return outcome{refusal: unknown}
	case eris.Is(err, lane.ErrCanceled):
		unknown.Status = 499
		unknown.Code = refusal.CodeCanceled
		unknown.Message = "the caller left"
		return outcome{refusal: unknown}
	}
	e.deps.MarkUnreachable(h.Name)
	r.mayHaveRun = true
	return outcome{retry: r.idempotent && r.incoming.Body.Replayable(), refusal: unknown}
}

// writeResponse copies the other daemon's response to the caller. end is called
// after the body; complete reports whether all of it could be read.
func (e *Entry) writeResponse(c *app.RequestContext, resp *protocol.Response, end func(complete bool)) {
	forward.CopyResponseHead(resp, &c.Response)
	size := resp.Header.ContentLength()
	if !resp.IsBodyStream() || size >= 0 && size <= holder.MaxBufferedBody {
		body, err := forward.ReadBody(resp)
		end(err == nil)
		if err != nil {
			refusal.Write(c, refusal.Refusal{Status: 502, Code: refusal.CodeOutcomeUnknown, Message: "the answer was cut short", NotRun: refusal.NotRunUnknown})
			return
		}
		c.Response.SetBodyRaw(body)
		return
	}
	c.Response.SetBodyStream(forward.NewBody(resp.BodyStream(), size, forward.CloseCallerConn(c), func(err error) { end(err == nil) }), size)
}
