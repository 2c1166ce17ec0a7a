package ownership

import (
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// An OrderKind is what an order does.
type OrderKind int

// The kinds of orders.
const (
	// GrantKeys gives keys or renews them.
	GrantKeys OrderKind = iota
	// ReleaseKeys takes keys back.
	ReleaseKeys
)

// String returns the kind as logs show it.
func (k OrderKind) String() string {
	if k == ReleaseKeys {
		return "release"
	}
	return "grant"
}

// An Order is to be sent to a target.
type Order struct {
	Kind    OrderKind
	Service string
	To      Life
	Span    platform.KeyRange
	Fence   uint64
	// Hold and Handover belong to grants.
	Hold     time.Duration
	Handover string

	sent time.Time
}

// An OrderResult says how an order ended.
type OrderResult int

// The results of orders.
const (
	// OrderDone means that the target carried the order out.
	OrderDone OrderResult = iota
	// OrderFenced means that the target has seen a higher fencing token.
	OrderFenced
	// OrderUnanswered means that the order may take effect now or later.
	OrderUnanswered
	// OrderUnsent means that no connection was accepted. The target may live: a partition can refuse connections too.
	OrderUnsent
	// OrderOtherTarget means that another target has the address; the process of the expected one has ended.
	OrderOtherTarget
)

// Orders returns the orders that are due. Each must be answered by Ordered.
func (c *Core) Orders(now time.Time) []Order {
	var out []Order
	for _, name := range c.names() {
		for _, st := range c.services[name].ranges {
			out = c.rangeOrders(now, out, name, st)
		}
	}
	return out
}

func (c *Core) rangeOrders(now time.Time, out []Order, service string, st *state) []Order {
	for _, p := range st.previous {
		if !p.released && !p.busy && !now.Before(p.next) && !c.cleared(now, p) {
			p.busy = true
			out = append(out, Order{Kind: ReleaseKeys, Service: service, To: p.Life, Span: st.KeyRange, Fence: p.fence, sent: now})
		}
	}
	if st.Owner.Name == "" || st.busy || st.moving || st.refence || now.Before(st.next) || c.life(st.Owner).dead || !c.vacant(now, st) {
		return out
	}
	st.busy, st.sent = true, now
	return append(out, Order{
		Kind: GrantKeys, Service: service, To: st.Owner, Span: st.KeyRange, Fence: st.Fence,
		Hold: c.options.Hold, Handover: st.handover, sent: now,
	})
}

// vacant reports whether no earlier owner can hold the keys of a range.
func (c *Core) vacant(now time.Time, st *state) bool {
	for _, p := range st.previous {
		if !c.cleared(now, p) {
			return false
		}
	}
	return true
}

func (c *Core) cleared(now time.Time, p *holder) bool {
	if c.life(p.Life).dead || !now.Before(p.mayHold) {
		return true
	}
	return p.released && p.fenced && !now.Before(p.unanswered)
}

// Ordered takes the result of an order; token is the answer to a release.
func (c *Core) Ordered(now time.Time, o Order, result OrderResult, token string) {
	c.heard(now, o.To, result)
	s, ok := c.services[o.Service]
	if !ok {
		return
	}
	for _, st := range s.ranges {
		if o.Kind == GrantKeys && st.KeyRange == o.Span && st.Fence == o.Fence && st.Owner.Is(o.To) {
			c.granted(now, st, o, result)
			continue
		}
		if o.Kind == GrantKeys {
			c.outdated(now, st, o, result)
			continue
		}
		if st.KeyRange != o.Span {
			continue
		}
		for _, p := range st.previous {
			if p.Is(o.To) && p.fence == o.Fence {
				c.released(now, st, p, result, token)
			}
		}
	}
}

// heard learns from an order whether a target's process lives.
func (c *Core) heard(now time.Time, to Life, result OrderResult) {
	l := c.life(to)
	switch result {
	case OrderDone, OrderFenced:
		l.silentSince = time.Time{}
		return
	case OrderOtherTarget:
		c.end(to)
	case OrderUnanswered, OrderUnsent:
	}
	if l.silentSince.IsZero() {
		l.silentSince = now
	}
	l.silentAt = now
}

func (c *Core) granted(now time.Time, st *state, o Order, result OrderResult) {
	st.busy = false
	switch result {
	case OrderDone:
		if !st.granted {
			c.version++
		}
		// The owner has seen this token, so no earlier coordinator can renew it.
		st.mayHold, st.outdated = c.holdEnd(now), time.Time{}
		st.granted, st.fenced, st.handover = true, true, ""
		st.sound = o.sent.Add(time.Duration(float64(o.Hold) * (1 - clockSlack)))
		st.next = o.sent.Add(c.options.Hold / renewals)
		st.previous = nil
	case OrderFenced:
		st.refence = true
	case OrderUnsent, OrderOtherTarget:
		st.next = now.Add(retryDelay)
	case OrderUnanswered:
		st.next = now.Add(retryDelay)
		st.mayHold = later(st.mayHold, c.holdEnd(now))
		st.unanswered = c.holdEnd(now)
	}
}

// outdated takes the result of a grant that was sent before a range changed.
func (c *Core) outdated(now time.Time, st *state, o Order, result OrderResult) {
	if st.Last < o.Span.First || st.First > o.Span.Last || result == OrderUnsent || result == OrderOtherTarget || result == OrderFenced {
		return
	}
	until := c.holdEnd(now)
	if st.Owner.Is(o.To) {
		st.mayHold, st.unanswered = later(st.mayHold, until), later(st.unanswered, until)
	}
	for _, p := range st.previous {
		if p.Is(o.To) {
			p.released = false
			p.mayHold, p.unanswered = later(p.mayHold, until), later(p.unanswered, until)
		}
	}
}

func (c *Core) released(now time.Time, st *state, p *holder, result OrderResult, token string) {
	p.busy = false
	switch result {
	case OrderDone:
		p.released = true
		st.handover = token
		c.version++
	case OrderFenced, OrderUnanswered, OrderUnsent, OrderOtherTarget:
		p.next = now.Add(retryDelay)
	}
}
