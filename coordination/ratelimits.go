package coordination

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/ratelimit"
)

// ErrNoCoordinator reports that this host knows no coordinator that could give out permits.
var ErrNoCoordinator = eris.New("coordination: no coordinator gives out permits")

// permitTimeout limits a call for permits. Requests wait for its reply.
const permitTimeout = 300 * time.Millisecond

// permitsProcedure is the path of the call by which hosts get permits for limited targets.
const permitsProcedure = "/redwingtally.coordination.v1/Permits"

// A PermitRequest asks for permits to send requests to limited targets.
type PermitRequest struct {
	Host  string           `json:"host"`
	Wants []ratelimit.Want `json:"wants"`
}

// A PermitReply holds the permits that are given out. Targets for which there is none are left out.
type PermitReply struct {
	Permits []ratelimit.Permit `json:"permits,omitempty"`
}

// permitClient calls the Permits procedure of a coordinator.
type permitClient = connect.Client[PermitRequest, PermitReply]

// newPermitClient returns a client that gets permits from the host at an address.
func (m *Member) newPermitClient(address netip.AddrPort) *permitClient {
	return connect.NewClient[PermitRequest, PermitReply](m.httpClient(), "http://"+address.String()+permitsProcedure, connect.WithCodec(codec{}))
}

// PermitsHandler returns the path and the handler that gives out permits to other hosts.
func (m *Member) PermitsHandler() (string, http.Handler) {
	return permitsProcedure, connect.NewUnaryHandler(permitsProcedure, func(_ context.Context, r *connect.Request[PermitRequest]) (*connect.Response[PermitReply], error) {
		l := m.currentLeader()
		if l == nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, ErrNotCoordinator)
		}
		permits, err := l.givePermits(r.Msg.Wants)
		if err != nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
		return connect.NewResponse(&PermitReply{Permits: permits}), nil
	}, connect.WithCodec(codec{}))
}

// RequestPermits gets permits from the coordinator. It returns ErrNoCoordinator, or the error of
// the call, if no coordinator answers.
func (m *Member) RequestPermits(ctx context.Context, wants []ratelimit.Want) ([]ratelimit.Permit, error) {
	m.mu.Lock()
	l, c := m.leader, m.permitClient
	m.mu.Unlock()
	if l != nil {
		return l.givePermits(wants)
	}
	if c == nil {
		return nil, ErrNoCoordinator
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := c.CallUnary(ctx, connect.NewRequest(&PermitRequest{Host: m.options.Host, Wants: wants}))
	if err != nil {
		return nil, err
	}
	return reply.Msg.Permits, nil
}

// givePermits gives out permits. It returns ErrNotCoordinator if the lease has expired.
func (l *leader) givePermits(wants []ratelimit.Want) ([]ratelimit.Permit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holdsLeaseLocked() {
		return nil, ErrNotCoordinator
	}
	var out []ratelimit.Permit
	for _, w := range wants {
		l.paces.record(w)
		if perSecond, ok := l.member.options.RateLimits.PerSecond(w.Target); ok {
			w.PerSecond = perSecond // the sender may not have the newest limit
		}
		if n := l.permits.Take(now(), w, 1); n > 0 {
			out = append(out, ratelimit.Permit{Target: w.Target, Count: n})
		}
	}
	return out, nil
}

// tablesExchange records up to which versions a host and its coordinator have exchanged their tables of rate limits and notices.
type tablesExchange struct {
	received        RateLimitsVersion // version of the coordinator's rate limits that this host has
	sent            uint64            // version of this host's rate limits that the coordinator has
	receivedNotices uint64            // the same for notices, of the process that received names
	sentNotices     uint64
}

// addRateLimits adds to a report the limits that the coordinator lacks and returns the version of this
// host's table up to which they are complete.
func (m *Member) addRateLimits(r *Report) uint64 {
	m.mu.Lock()
	exchanged := m.exchanged
	m.mu.Unlock()
	r.KnownRateLimits = exchanged.received
	limits, version := m.options.RateLimits.ChangesSince(time.Now(), exchanged.sent)
	r.RateLimits = limits
	return version
}

// receiveTables applies the limits and notices of a reply to a report that contained those up to the versions sentLimits and
// sentNotices.
func (m *Member) receiveTables(r *Reply, sentLimits, sentNotices uint64) {
	m.mu.Lock()
	x := &m.exchanged
	if process := r.RateLimitsVersion.Process; process != x.received.Process {
		// The process may have replaced another one that this host has exchanged its tables with.
		*x = tablesExchange{received: RateLimitsVersion{Process: process}}
		sentLimits, sentNotices = 0, 0
	}
	x.sent, x.sentNotices = max(x.sent, sentLimits), max(x.sentNotices, sentNotices)
	x.received.Number = max(x.received.Number, r.RateLimitsVersion.Number)
	x.receivedNotices = max(x.receivedNotices, r.NoticesVersion)
	m.mu.Unlock()
	m.mergeRateLimits(r.RateLimits)
	m.mergeNotices(r.Notices)
}

// mergeRateLimits applies limits that another host sent and reports whether any has changed.
func (m *Member) mergeRateLimits(limits []ratelimit.Limit) bool {
	var changed []ratelimit.Limit
	for _, l := range limits {
		if m.options.RateLimits.Observe(time.Now(), l) {
			changed = append(changed, l)
		}
	}
	if len(changed) > 0 {
		m.options.RateLimitsChanged(changed)
	}
	return len(changed) > 0
}

// mergeRateLimits applies the limits of a report and wakes the waiting reports if any has changed.
func (l *leader) mergeRateLimits(limits []ratelimit.Limit) {
	if l.member.mergeRateLimits(limits) {
		l.notify()
	}
}

// rateLimitsVersion returns the version of the coordinator's rate limits.
func (l *leader) rateLimitsVersion() RateLimitsVersion {
	return RateLimitsVersion{Process: l.process, Number: l.member.options.RateLimits.Version()}
}

// hasRateLimitsFor reports whether the sender of a report lacks changed limits. A sender that names no version, such as an
// earlier build, receives them with the next reply.
func (l *leader) hasRateLimitsFor(r *Report) bool {
	return r.KnownRateLimits.Process != "" && r.KnownRateLimits != l.rateLimitsVersion()
}

// rateLimitsSince returns the limits that changed after a version, and the version up to which they are complete.
func (l *leader) rateLimitsSince(known RateLimitsVersion) ([]ratelimit.Limit, RateLimitsVersion) {
	if known.Process != l.process {
		known = RateLimitsVersion{}
	}
	limits, number := l.member.options.RateLimits.ChangesSince(time.Now(), known.Number)
	return limits, RateLimitsVersion{Process: l.process, Number: number}
}

// updateRateLimits passes changed limits of the owners of keys to the core, which moves keys off targets
// that accept fewer requests than come for them. The caller holds l.mu.
func (l *leader) updateRateLimits(targets Targets) {
	version := l.member.options.RateLimits.Version()
	if version == l.limitsVersion && targets.Version == l.limitedTargets {
		return
	}
	l.limitsVersion, l.limitedTargets = version, targets.Version
	for name, ts := range targets.ByService {
		l.core.SetRateLimits(name, l.member.options.RateLimits.ByName(ts))
	}
}
