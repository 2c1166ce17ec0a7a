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

// ErrUnreachable reports that no connection to the target could be opened, or that
// it failed before the request was sent. The request did not run.
var ErrUnreachable = eris.New("target: unreachable")

// ErrNotRun reports that the target rejected the request without running it.
var ErrNotRun = eris.New("target: not run")

// ErrNotOwner reports that the target rejected the request because it does not
// own the shard.
var ErrNotOwner = eris.New("target: not the owner")

// ErrOutcomeUnknown reports that the connection was lost after the request was
// sent, so that it is unknown whether the request ran.
var ErrOutcomeUnknown = eris.New("target: outcome unknown")

// ErrDeadlinePassed reports that the deadline passed after the request was sent, so that
// it is unknown whether the request ran.
var ErrDeadlinePassed = eris.New("target: deadline passed")

// ErrCanceled reports that the context was cancelled after the request was sent,
// so that it is unknown whether the request ran.
var ErrCanceled = eris.New("target: cancelled")

// ErrConnectionRefused reports that a connection was refused: no process listens at the
// target's address.
var ErrConnectionRefused = eris.New("target: connection refused")

// ErrControlCall reports that an order or a health check failed.
var ErrControlCall = eris.New("target: control call failed")

// maxIdleControlConns is the maximum number of idle connections for orders and health
// checks.
const maxIdleControlConns = 2

// Client is the client of one target. It is safe for concurrent use.
type Client struct {
	// Name is the target's name.
	Name string
	// Address is where the target listens.
	Address netip.AddrPort
	// Order sends an order and returns its acknowledgement.
	Order func(ctx context.Context, o grant.Order) (grant.Ack, error)
	// Health performs a health check.
	Health func(ctx context.Context) (Health, error)

	// requests holds the connections for requests.
	requests *lane.Pool
	// control holds the connections for orders and health checks. It is separate
	// from requests because Probe closes its idle connections.
	control *lane.Pool
}

// New returns the client of a target. It keeps at most the given number of idle
// connections for requests.
func New(name string, address netip.AddrPort, connections int) *Client {
	c := &Client{
		Name:     name,
		Address:  address,
		requests: lane.NewPool(address, connections),
		control:  lane.NewPool(address, maxIdleControlConns),
	}
	c.Order = c.sendOrder
	c.Health = c.fetchHealth
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.requests.Close()
	c.control.Close()
}

// CloseIdle closes the idle connections and returns the number of those for
// requests. It is called after a connection stopped responding, so that the next
// request opens a new one.
func (c *Client) CloseIdle() int {
	c.control.CloseIdle()
	return c.requests.CloseIdle()
}

func (c *Client) sendOrder(ctx context.Context, o grant.Order) (grant.Ack, error) {
	var ack grant.Ack
	body, err := json.Marshal(o)
	if err != nil {
		return ack, eris.Wrapf(ErrControlCall, "%v", err)
	}
	return ack, c.controlCall(ctx, lane.Request{Method: "POST", Path: OrderPath, Body: body}, &ack)
}

func (c *Client) fetchHealth(ctx context.Context) (Health, error) {
	var h Health
	return h, c.controlCall(ctx, lane.Request{Method: "GET", Path: HealthPath}, &h)
}

// controlCall sends an order or a health check and decodes its JSON response into out.
func (c *Client) controlCall(ctx context.Context, request lane.Request, out any) error {
	resp, err := c.control.RoundTrip(ctx, request)
	if eris.Is(err, lane.ErrConnectionRefused) {
		return eris.Wrap(ErrConnectionRefused, c.Name)
	}
	if err != nil {
		if eris.Is(err, lane.ErrTimeout) {
			c.control.CloseIdle()
		}
		return eris.Wrapf(ErrControlCall, "%s: %v", c.Name, err)
	}
	if resp.Status != 200 {
		return eris.Wrapf(ErrControlCall, "%s: status %d", c.Name, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return eris.Wrapf(ErrControlCall, "%s: malformed response: %v", c.Name, err)
	}
	return nil
}

// Probe performs a health check on a new connection.
func (c *Client) Probe(ctx context.Context) (Health, error) {
	c.control.CloseIdle()
	return c.Health(ctx)
}

// Attempt is a request in progress. No other request uses its connection.
type Attempt struct {
	target *Client
	conn   *lane.Conn
}

// Send sends req and reads the header of the response into resp. The body is
// streamed from resp until Finish, which the caller must call after reading it.
// On failure Send returns ErrUnreachable, ErrNotRun, ErrNotOwner,
// ErrOutcomeUnknown, ErrDeadlinePassed or ErrCanceled, and Finish must not be called.
func (c *Client) Send(ctx context.Context, req *protocol.Request, resp *protocol.Response) (*Attempt, error) {
	conn, _, err := c.requests.Take(ctx)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", c.Name, err)
	}
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(BudgetHeader, time.Until(d).String())
	}
	if err := conn.Do(ctx, req, resp); err != nil {
		return nil, c.classifyError(err)
	}
	a := &Attempt{target: c, conn: conn}
	if string(resp.Header.Peek(NotRunHeader)) == "true" {
		reason := string(resp.Header.Peek(ReasonHeader))
		a.Finish(resp)
		if reason == ReasonNotOwner {
			return nil, eris.Wrap(ErrNotOwner, c.Name)
		}
		return nil, eris.Wrapf(ErrNotRun, "%s: %s", c.Name, reason)
	}
	return a, nil
}

// classifyError wraps an error of a sent request in an error of this package.
func (c *Client) classifyError(err error) error {
	switch {
	case eris.Is(err, lane.ErrNotSent):
		return eris.Wrapf(ErrUnreachable, "%s: %v", c.Name, err)
	case eris.Is(err, lane.ErrTimeout):
		return eris.Wrapf(ErrDeadlinePassed, "%s: %v", c.Name, err)
	case eris.Is(err, lane.ErrCanceled):
		return eris.Wrapf(ErrCanceled, "%s: %v", c.Name, err)
	}
	return eris.Wrapf(ErrOutcomeUnknown, "%s: %v", c.Name, err)
}

// Finish ends the attempt after the body was read. It returns the connection to
// the pool if it can be reused.
func (a *Attempt) Finish(resp *protocol.Response) {
	if a.conn.Finish(resp) {
		a.target.requests.Put(a.conn)
	}
}

// TargetName returns the name of the target that the request was sent to.
func (a *Attempt) TargetName() string { return a.target.Name }

// Abort closes the connection, which cancels the request.
func (a *Attempt) Abort() {
	a.conn.Close()
}
