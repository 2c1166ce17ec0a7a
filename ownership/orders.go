package ownership

import (
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// An OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	// GrantKeys grants keys to a target or renews the grant.
	GrantKeys OrderKind = iota
	// ReleaseKeys revokes a grant.
	ReleaseKeys
)

// String returns the name of the kind for log messages.
func (k OrderKind) String() string {
	if k == ReleaseKeys {
		return "release"
	}
	return "grant"
}

// An Order grants keys to a target or revokes them.
type Order struct {
	Kind    OrderKind
	Service string
	To      Incarnation
	Span    platform.KeyRange
	Fence   uint64
	// HoldTime is how long a grant lasts. It is unused in a release.
	HoldTime time.Duration
	// HandoverToken is the token that the previous owner returned on release. It is
	// unused in a release.
	HandoverToken string

	sent time.Time
}

// An OrderResult is the outcome of an order.
type OrderResult int

// The results of orders.
const (
	// OrderDone means that the target carried out the order.
	OrderDone OrderResult = iota
	// OrderFenced means that the target refused the order because it has received a higher fencing token.
	OrderFenced
	// OrderUnanswered means that no answer arrived. The order may have taken effect or may still do so.
	OrderUnanswered
	// OrderNotSent means that the order was not sent, usually because no connection was
	// accepted. The target may still run, because a partition can refuse connections too.
	OrderNotSent
	// OrderTargetReplaced means that another target uses the address, so that the process
	// of the expected one has ended.
	OrderTargetReplaced
	// OrderWithheld means that the coordinator did not send a grant, as no connection to the target is older than the last
	// confirmation of its lease.
	OrderWithheld
)

// Orders returns the orders that are due. The caller must report the result of
// each with RecordResult.
func (c *Core) Orders(now time.Time) []Order {
	var out []Order
	for _, name := range c.serviceNames() {
		for _, st := range c.services[name].ranges {
			out = c.rangeOrders(now, out, name, st)
		}
	}
	return out
}

// rangeOrders appends the orders that are due for one range to out.
func (c *Core) rangeOrders(now time.Time, out []Order, service string, st *rangeState) []Order {
	for _, f := range st.formers {
		if !f.released && !f.orderPending && !now.Before(f.nextRelease) && !f.replacedBy(st.Owner) && !c.cleared(now, f) {
			f.orderPending = true
			out = append(out, Order{Kind: ReleaseKeys, Service: service, To: f.Incarnation, Span: st.KeyRange, Fence: f.fence, sent: now})
		}
	}
	if now.Before(c.unknownOwnersUntil) {
		return out
	}
	if st.Owner.Name == "" || st.orderPending || st.moving || st.needsNewFence || now.Before(st.nextGrant) || c.incarnation(st.Owner).over() || !c.formersCleared(now, st) {
		return out
	}
	st.orderPending, st.grantSentAt = true, now
	return append(out, Order{
		Kind: GrantKeys, Service: service, To: st.Owner, Span: st.KeyRange, Fence: st.Fence,
		HoldTime: c.options.HoldTime, HandoverToken: st.handoverToken, sent: now,
	})
}

// formersCleared reports whether no former owner can still hold the keys of a range.
func (c *Core) formersCleared(now time.Time, st *rangeState) bool {
	for _, f := range st.formers {
		if !f.replacedBy(st.Owner) && !c.cleared(now, f) {
			return false
		}
	}
	return true
}

// replacedBy reports whether owner is a later start of f in the same place. What it holds by grants that were addressed to f
// does not keep it from being granted the same keys.
func (f *formerState) replacedBy(owner Incarnation) bool {
	return f.samePlace(owner) && !f.SameAs(owner)
}

// over reports whether the process of an incarnation has ended, with or without another one in its place.
func (v *incarnationState) over() bool { return v.ended || v.restarted }

// cleared reports whether a former owner can no longer hold its keys: its process
// has ended, its longest possible hold has run out, or it has released them and
// no earlier grant can reach it any more.
func (c *Core) cleared(now time.Time, f *formerState) bool {
	if c.incarnation(f.Incarnation).ended || !now.Before(f.possiblyHeldUntil) {
		return true
	}
	return f.released && f.fenced && !now.Before(f.unansweredUntil)
}

// RecordResult records the result of an order. token is the handover token that the
// target returned on release.
func (c *Core) RecordResult(now time.Time, o Order, result OrderResult, token string) {
	c.recordResponse(now, o.To, result)
	s, ok := c.services[o.Service]
	if !ok {
		return
	}
	for _, st := range s.ranges {
		if o.Kind == GrantKeys && st.KeyRange == o.Span && st.Fence == o.Fence && st.Owner.SameAs(o.To) {
			c.handleGrantResult(now, st, o, result)
			continue
		}
		if o.Kind == GrantKeys {
			c.handleStaleGrantResult(now, st, o, result)
			continue
		}
		if st.KeyRange != o.Span {
			continue
		}
		for _, f := range st.formers {
			if f.SameAs(o.To) && f.fence == o.Fence {
				c.handleReleaseResult(now, st, f, result, token)
			}
		}
	}
}

// recordResponse updates the liveness of a target's process from the result of an order.
func (c *Core) recordResponse(now time.Time, to Incarnation, result OrderResult) {
	v := c.incarnation(to)
	switch result {
	case OrderDone, OrderFenced:
		v.unansweredSince = time.Time{}
		return
	case OrderWithheld:
		return
	case OrderTargetReplaced:
		c.markEnded(to)
	case OrderUnanswered, OrderNotSent:
	}
	if v.unansweredSince.IsZero() {
		v.unansweredSince = now
	}
	v.lastUnanswered = now
	c.withdrawFencing(now, to)
}

// handleGrantResult records the result of a grant that matches the current range.
func (c *Core) handleGrantResult(now time.Time, st *rangeState, o Order, result OrderResult) {
	st.orderPending = false
	switch result {
	case OrderDone:
		if !st.granted {
			c.version++
		}
		// The owner has received this token, so no earlier coordinator can renew its grant.
		st.possiblyHeldUntil, st.staleGrantUntil = c.holdEnd(now), time.Time{}
		st.granted, st.fenced, st.handoverToken = true, true, ""
		st.surelyHeldUntil = o.sent.Add(time.Duration(float64(o.HoldTime) * (1 - maxClockDrift)))
		st.nextGrant = o.sent.Add(c.options.HoldTime / renewalsPerHold)
		st.formers = nil
	case OrderFenced:
		st.needsNewFence = true
	case OrderNotSent, OrderTargetReplaced, OrderWithheld:
		st.nextGrant = now.Add(orderRetryDelay)
	case OrderUnanswered:
		st.nextGrant = now.Add(orderRetryDelay)
		st.possiblyHeldUntil = later(st.possiblyHeldUntil, c.holdEnd(now))
		st.unansweredUntil = c.holdEnd(now)
	}
}

// handleStaleGrantResult records the result of a grant that was sent before a
// range changed. A grant that may have taken effect extends the time for which
// its target may hold the keys, and a release that was already answered is sent again.
func (c *Core) handleStaleGrantResult(now time.Time, st *rangeState, o Order, result OrderResult) {
	if st.Last < o.Span.First || st.First > o.Span.Last || result != OrderDone && result != OrderUnanswered {
		return
	}
	until := c.holdEnd(now)
	if st.Owner.samePlace(o.To) {
		st.possiblyHeldUntil, st.unansweredUntil = later(st.possiblyHeldUntil, until), later(st.unansweredUntil, until)
	}
	for _, f := range st.formers {
		if f.samePlace(o.To) {
			f.released = false
			f.possiblyHeldUntil, f.unansweredUntil = later(f.possiblyHeldUntil, until), later(f.unansweredUntil, until)
		}
	}
}

// handleReleaseResult records the result of a release sent to a former owner.
func (c *Core) handleReleaseResult(now time.Time, st *rangeState, f *formerState, result OrderResult, token string) {
	f.orderPending = false
	switch result {
	case OrderDone:
		f.released = true
		st.handoverToken = token
		c.version++
	case OrderFenced, OrderUnanswered, OrderNotSent, OrderTargetReplaced, OrderWithheld:
		f.nextRelease = now.Add(orderRetryDelay)
	}
}
