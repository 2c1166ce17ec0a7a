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

// peers are the connections to other daemons' forward addresses.
type peers struct {
	mu    sync.Mutex
	pools map[netip.AddrPort]*lane.Pool
}

func newPeers() *peers {
	return &peers{pools: map[netip.AddrPort]*lane.Pool{}}
}

func (p *peers) pool(a netip.AddrPort) *lane.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[a]
	if !ok {
		pool = lane.NewPool(a, maxPeerLanes)
		p.pools[a] = pool
	}
	return pool
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.pools {
		pool.Close()
	}
}

// outcome is what became of a request that was passed to another daemon.
type outcome struct {
	// answered says that the caller has an answer.
	answered bool
	// again says that the request has not run and another daemon may be tried.
	again bool
	// refusal is what to answer when no other daemon is tried.
	refusal refusal.Refusal
}

// forward passes a request to the daemon that holds the group. release is
// called when the answer's body has been passed on; it is not called unless
// the outcome is answered.
func (e *Entry) forward(ctx context.Context, c *app.RequestContext, r *request, h host.Host, release func()) outcome {
	pool := e.peers.pool(h.Forward)
	l, _, err := pool.Take(ctx)
	if err != nil {
		e.d.Lost(h.Name)
		return outcome{again: true, refusal: unreachable()}
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	done := func() {
		protocol.ReleaseRequest(req)
		protocol.ReleaseResponse(resp)
	}
	e.build(c, r, req, h)
	pass, cancel := context.WithCancel(ctx)
	w := e.watch(r, h, cancel)
	err = l.Do(pass, req, resp)
	w.stop()
	if err != nil {
		cancel()
		done()
		return e.failed(r, h, err, w.lost.Load())
	}
	if again(resp) && r.in.Body.Replayable() {
		if l.Finish(resp) {
			pool.Put(l)
		}
		cancel()
		done()
		return outcome{again: true, refusal: unreachable()}
	}
	if r.mayHaveRun && string(resp.Header.Peek(target.NotRunHeader)) == string(refusal.NotRunTrue) {
		// The second pass was refused, but the first may have run.
		code := refusal.Code(resp.Header.Peek(target.ReasonHeader))
		l.Close()
		cancel()
		done()
		return outcome{refusal: refusal.Refusal{Status: 502, Code: code, Message: "an earlier pass has an unknown outcome", NotRun: refusal.NotRunUnknown}}
	}
	e.answer(c, resp, func(whole bool) {
		if !whole {
			l.Close()
		} else if l.Finish(resp) {
			pool.Put(l)
		}
		cancel()
		done()
		release()
	})
	return outcome{answered: true}
}

// lossCheck is how often a waiting request looks whether its holder is still alive.
const lossCheck = 100 * time.Millisecond

// passWatch looks after a request that was passed to another daemon. One that
// may be repeated is taken back when that daemon is lost, even if its
// connection says nothing.
type passWatch struct {
	lost  atomic.Bool
	ended atomic.Bool
	timer *time.Timer
}

func (e *Entry) watch(r *request, h host.Host, cancel context.CancelFunc) *passWatch {
	w := &passWatch{}
	if !r.repeatable || !r.in.Body.Replayable() {
		return w
	}
	check := func() {
		switch {
		case w.ended.Load():
		case e.stillHolds(r, h):
			w.timer.Reset(lossCheck)
		default:
			w.lost.Store(true)
			cancel()
		}
	}
	ready := make(chan struct{})
	w.timer = time.AfterFunc(lossCheck, func() {
		<-ready
		check()
	})
	close(ready)
	return w
}

// stillHolds reports whether h is alive and nobody else is known to hold the group.
func (e *Entry) stillHolds(r *request, h host.Host) bool {
	now, ok := e.holder(r.bundle)
	return e.d.Alive(h.Name) && (!ok || now.Name == h.Name)
}

func (w *passWatch) stop() {
	w.ended.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}

func unreachable() refusal.Refusal {
	return refusal.Refusal{Status: 503, Code: refusal.CodeNoHolder, Message: "the daemon that holds the service cannot be reached", NotRun: refusal.NotRunTrue, RetryAfter: time.Second}
}

// again reports whether the other daemon does not hold the group and ran nothing.
func again(resp *protocol.Response) bool {
	if string(resp.Header.Peek(target.NotRunHeader)) != string(refusal.NotRunTrue) {
		return false
	}
	switch refusal.Code(resp.Header.Peek(target.ReasonHeader)) {
	case refusal.CodeNotHolder, refusal.CodeNoHolder, refusal.CodeNoRecords:
		return true
	}
	return false
}

func (e *Entry) build(c *app.RequestContext, r *request, req *protocol.Request, h host.Host) {
	forward.CopyRequestHeader(&c.Request.Header, &req.Header)
	req.SetMethod(r.in.Method)
	req.SetRequestURI("http://" + h.Forward.String() + "/" + r.bundle.Name + r.in.Path)
	req.Header.Set(hopsHeader, strconv.Itoa(r.hops+1))
	req.Header.Set(target.BudgetHeader, time.Until(r.deadline).String())
	if body, size := r.in.Body.Open(); size != 0 {
		req.SetBodyStream(lane.NewRequestBody(body), size)
	}
}

// failed says what a failed pass means for the caller.
func (e *Entry) failed(r *request, h host.Host, err error, lost bool) outcome {
	unknown := refusal.Refusal{Status: 502, Code: refusal.CodeForwardFailed, Message: "the daemon that holds the service was lost", NotRun: refusal.NotRunUnknown}
	switch {
	case eris.Is(err, lane.ErrNotSent):
		return outcome{again: true, refusal: unreachable()}
	case lost:
		r.mayHaveRun = true
		return outcome{again: true, refusal: unknown}
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
	e.d.Lost(h.Name)
	r.mayHaveRun = true
	return outcome{again: r.repeatable && r.in.Body.Replayable(), refusal: unknown}
}

// answer passes the other daemon's answer to the caller; end is called after the body.
func (e *Entry) answer(c *app.RequestContext, resp *protocol.Response, end func(whole bool)) {
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
