package coordination

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/directory"
	"github.com/redwingtally/redwingtally/ownership"
	"github.com/redwingtally/redwingtally/platform"
)

// batchOrders groups the grants by target, so that they share a connection. Each
// release is a batch of its own, as it waits for requests to end.
func batchOrders(orders []ownership.Order) [][]ownership.Order {
	var out [][]ownership.Order
	grants := map[string]int{}
	for _, o := range orders {
		if i, ok := grants[o.To.Name]; ok && o.Kind == ownership.GrantKeys {
			out[i] = append(out[i], o)
			continue
		}
		if o.Kind == ownership.GrantKeys {
			grants[o.To.Name] = len(out)
		}
		out = append(out, []ownership.Order{o})
	}
	return out
}

// sendBatch sends the orders of a batch in turn and records their results. After
// an unanswered or withheld order, and when the lease is about to expire, the rest is recorded as unsent.
func (l *leader) sendBatch(ctx context.Context, batch []ownership.Order) {
	result := ownership.OrderDone
	for _, o := range batch {
		token := ""
		if result == ownership.OrderUnanswered || !l.leaseOutlastsOrder() {
			result = ownership.OrderNotSent
		}
		if result != ownership.OrderNotSent && result != ownership.OrderWithheld {
			result, token = l.sendOrder(ctx, o)
		}
		l.recordResult(o, result, token)
	}
}

// leaseOutlastsOrder reports whether an order that is sent now arrives, if at all, while
// the lease is valid. A successor counts no order after the lease.
func (l *leader) leaseOutlastsOrder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && now().Before(l.confirmedAt.Add(LeaseTime-platform.UnackedTimeout))
}

// submit runs f in the background, in a goroutine of its own if Submit rejects it.
func (l *leader) submit(f func()) {
	if err := l.member.options.Submit(f); err != nil {
		l.member.options.Log.Error("coordination: Background task was rejected.", "error", err.Error())
		go f()
	}
}

// recordResult passes the result of an order to the core. token is the handover
// token that a release returned.
func (l *leader) recordResult(o ownership.Order, result ownership.OrderResult, token string) {
	l.mu.Lock()
	l.core.RecordResult(now(), o, result, token)
	l.publish()
	l.mu.Unlock()
	if result == ownership.OrderDone {
		l.wakeUp()
	}
}

// sendOrder sends one order and returns its result, and the handover token of a release.
func (l *leader) sendOrder(ctx context.Context, o ownership.Order) (ownership.OrderResult, string) {
	var err error
	token := ""
	to := platform.Recipient{Name: o.To.Name, Address: o.To.Address, Leaving: func() {
		if leaves := l.member.options.TargetLeaves; leaves != nil {
			leaves(directory.Notice{Service: o.Service, Target: o.To.Name, StartedAt: o.To.StartedAt.UTC()})
		}
	}}
	if o.Kind == ownership.GrantKeys {
		ctx, cancel := context.WithTimeout(ctx, ownership.GrantTimeout)
		defer cancel()
		err = l.sendGrant(ctx, to, platform.Grant{Keys: o.Span, FencingToken: o.Fence, TTL: o.HoldTime, HandoverToken: o.HandoverToken})
		if eris.Is(err, platform.ErrConnectionTooNew) || eris.Is(err, platform.ErrConnectionBusy) {
			l.member.options.Log.Info("coordination: Grant withheld.", "target", o.To.Name, "service", o.Service, "first", o.Span.First,
				"last", o.Span.Last, "fence", o.Fence, "confirmed_ms_ago", l.confirmationAge().Milliseconds(), "reason", err.Error())
			return ownership.OrderWithheld, ""
		}
	} else {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		token, err = l.member.options.TargetClient.Release(ctx, to, o.Span, o.Fence)
	}
	l.reportOrderResult(ctx, o.To.Name, err)
	if err == nil {
		return ownership.OrderDone, token
	}
	l.member.options.Log.Warn("coordination: Order failed.", "target", o.To.Name, "service", o.Service, "kind", o.Kind.String(),
		"first", o.Span.First, "last", o.Span.Last, "fence", o.Fence, "error", err.Error())
	switch {
	case eris.Is(err, platform.ErrFenced):
		return ownership.OrderFenced, ""
	case eris.Is(err, platform.ErrTargetReplaced):
		return ownership.OrderTargetReplaced, ""
	case eris.Is(err, platform.ErrNotSent):
		return ownership.OrderNotSent, ""
	}
	return ownership.OrderUnanswered, ""
}

// sendGrant sends a grant to a process that already ran when the lease was last confirmed. If the connection to the target is
// newer than that, it waits for the next confirmation, so that no process that has started after a successor took over, and that
// remembers none of its tokens, accepts the grant. A connection that does not last until then counts as none.
func (l *leader) sendGrant(ctx context.Context, to platform.Recipient, g platform.Grant) error {
	err := l.grantIfConfirmed(ctx, to, g)
	if !eris.Is(err, platform.ErrConnectionTooNew) {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, ownership.GrantTimeout/2) // leaves time for the response
	defer cancel()
	if !l.awaitConfirmation(wait, now()) {
		return err
	}
	err = l.grantIfConfirmed(ctx, to, g)
	if eris.Is(err, platform.ErrConnectionTooNew) {
		return eris.Wrapf(platform.ErrNotSent, "%s: connection was closed", to.Address)
	}
	return err
}

// grantIfConfirmed sends a grant if the lease outlasts it and the connection to the target is older than the last confirmation.
func (l *leader) grantIfConfirmed(ctx context.Context, to platform.Recipient, g platform.Grant) error {
	if !l.leaseOutlastsOrder() {
		return eris.Wrapf(platform.ErrNotSent, "%s: lease has ended", to.Address)
	}
	l.mu.Lock()
	confirmedAt := l.confirmedAt
	l.mu.Unlock()
	return l.member.options.TargetClient.Grant(ctx, to, g, confirmedAt)
}

// confirmationAge returns the time since the call that last confirmed the lease was sent.
func (l *leader) confirmationAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now().Sub(l.confirmedAt)
}

// reportOrderResult passes on whether a target responded to an order, unless the order was
// given up as ctx had ended.
func (l *leader) reportOrderResult(ctx context.Context, target string, err error) {
	if report := l.member.options.OrderResult; report != nil && ctx.Err() == nil {
		report(target, err == nil || eris.Is(err, platform.ErrFenced) || eris.Is(err, platform.ErrTargetReplaced))
	}
}
