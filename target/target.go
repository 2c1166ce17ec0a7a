package target

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/lane"
)

// ErrUnreachable reports that no connection to the target could be opened; nothing ran.
var ErrUnreachable = eris.New("target: unreachable")

// ErrNotRun reports that the target ran nothing.
var ErrNotRun = eris.New("target: not run")

// ErrNotOwner reports that the target ran nothing because it does not own the shard.
var ErrNotOwner = eris.New("target: not the owner")

// ErrOutcomeUnknown reports that the connection was lost; the request may have run.
var ErrOutcomeUnknown = eris.New("target: outcome unknown")

// ErrDeadline reports that the deadline passed; the request may have run.
var ErrDeadline = eris.New("target: deadline passed")

// ErrCanceled reports that the caller left.
var ErrCanceled = eris.New("target: canceled")

// ErrGone reports that nothing listens at the target's address: its process is gone.
var ErrGone = eris.New("target: gone")

// ErrControl reports that an order or a health check failed.
var ErrControl = eris.New("target: control call failed")

// controlLanes is how many idle connections for orders and health checks are kept.
const controlLanes = 2

// A Target is the client of one target. It is safe for concurrent use.
type Target struct {
	// Name is the target's name.
	Name string
	// Address is where the target listens.
	Address netip.AddrPort
	// Order sends an order.
	Order func(ctx context.Context, o grant.Order) (grant.Ack, error)
	// Health asks for health and load.
	Health func(ctx context.Context) (Health, error)

	work    *lane.Pool
	control *lane.Pool
}

// New returns the client of a target; it keeps at most connections idle connections.
func New(name string, address netip.AddrPort, connections int) *Target {
	t := &Target{
		Name:    name,
		Address: address,
		work:    lane.NewPool(address, connections),
		control: lane.NewPool(address, controlLanes),
	}
	t.Order = t.order
	t.Health = t.health
	return t
}

// Close closes idle connections.
func (t *Target) Close() {
	t.work.Close()
	t.control.Close()
}

// Suspect closes the idle connections after one of them went silent, so that
// the next request opens a new one.
func (t *Target) Suspect() int {
	t.control.Drain()
	return t.work.Drain()
}

func (t *Target) order(ctx context.Context, o grant.Order) (grant.Ack, error) {
	var ack grant.Ack
	body, err := json.Marshal(o)
	if err != nil {
		return ack, eris.Wrapf(ErrControl, "%v", err)
	}
	return ack, t.call(ctx, lane.Request{Method: "POST", Path: OrderPath, Body: body}, &ack)
}

func (t *Target) health(ctx context.Context) (Health, error) {
	var h Health
	return h, t.call(ctx, lane.Request{Method: "GET", Path: HealthPath}, &h)
}

func (t *Target) call(ctx context.Context, c lane.Request, out any) error {
	reply, err := t.control.RoundTrip(ctx, c)
	if eris.Is(err, lane.ErrConnectionRefused) {
		return eris.Wrap(ErrGone, t.Name)
	}
	if err != nil {
		if eris.Is(err, lane.ErrTimeout) {
			t.control.Drain()
		}
		return eris.Wrapf(ErrControl, "%s: %v", t.Name, err)
	}
	if reply.Status != 200 {
		return eris.Wrapf(ErrControl, "%s: status %d", t.Name, reply.Status)
	}
	if err := json.Unmarshal(reply.Body, out); err != nil {
		return eris.Wrapf(ErrControl, "%s: malformed answer: %v", t.Name, err)
	}
	return nil
}

// Probe reports whether the target answers on a new connection.
func (t *Target) Probe(ctx context.Context) (Health, error) {
	t.control.Drain()
	return t.Health(ctx)
}

// An Attempt is one request in progress on a connection of its own.
type Attempt struct {
	target *Target
	lane   *lane.Conn
}

// Send sends req and reads the head of the answer into resp. The answer's body
// streams until Finish. It returns ErrUnreachable, ErrNotRun, ErrOutcomeUnknown,
// ErrDeadline or ErrCanceled, and then no Finish is due.
func (t *Target) Send(ctx context.Context, req *protocol.Request, resp *protocol.Response) (*Attempt, error) {
	l, _, err := t.work.Take(ctx)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", t.Name, err)
	}
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(BudgetHeader, time.Until(d).String())
	}
	if err := l.Do(ctx, req, resp); err != nil {
		return nil, t.translate(err)
	}
	a := &Attempt{target: t, lane: l}
	if string(resp.Header.Peek(NotRunHeader)) == "true" {
		reason := string(resp.Header.Peek(ReasonHeader))
		a.Finish(resp)
		if reason == ReasonNotOwner {
			return nil, eris.Wrap(ErrNotOwner, t.Name)
		}
		return nil, eris.Wrapf(ErrNotRun, "%s: %s", t.Name, reason)
	}
	return a, nil
}

func (t *Target) translate(err error) error {
	switch {
	case eris.Is(err, lane.ErrNotSent):
		return eris.Wrapf(ErrUnreachable, "%s: %v", t.Name, err)
	case eris.Is(err, lane.ErrTimeout):
		return eris.Wrapf(ErrDeadline, "%s: %v", t.Name, err)
	case eris.Is(err, lane.ErrCanceled):
		return eris.Wrapf(ErrCanceled, "%s: %v", t.Name, err)
	}
	return eris.Wrapf(ErrOutcomeUnknown, "%s: %v", t.Name, err)
}

// Finish ends the attempt after the body was read, and keeps the connection if it can be used again.
func (a *Attempt) Finish(resp *protocol.Response) {
	if a.lane.Finish(resp) {
		a.target.work.Put(a.lane)
	}
}

// Target returns the name of the target that the attempt is at.
func (a *Attempt) Target() string { return a.target.Name }

// Abort closes the connection of an attempt whose answer is not wanted.
func (a *Attempt) Abort() {
	a.lane.Close()
}
