package peer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/peer/controlpb"
	"github.com/redwingtally/redwingtally/platform"
)

// HeartbeatStream is a stream of heartbeats to one peer. Each message omits the sender,
// the holdings and the quarantined requests if they equal those of the previous
// message. It is not safe for concurrent use.
type HeartbeatStream struct {
	stream *connect.ClientStreamForClient[controlpb.Heartbeat, controlpb.HeartbeatsEnd]
	// last is the previous heartbeat on the stream.
	last Heartbeat
	// first reports whether no heartbeat has been sent on the stream yet.
	first bool
}

// HeartbeatStream opens a stream of heartbeats to the peer at address a. The stream ends
// with ctx.
func (c *Clients) HeartbeatStream(ctx context.Context, a netip.AddrPort) *HeartbeatStream {
	return &HeartbeatStream{stream: c.client(a).Heartbeats(ctx), first: true}
}

// Send sends a heartbeat. It returns ErrUnreachable if the stream has ended.
func (s *HeartbeatStream) Send(b Heartbeat) error {
	m := &controlpb.Heartbeat{
		RecordsVersion: uint64(b.Versions.Records),
		GroupsVersion:  uint64(b.Versions.Groups),
		IntervalMs:     uint32(b.Interval.Milliseconds()),
	}
	if s.first || b.Sender != s.last.Sender {
		m.Sender = encodeHost(b.Sender)
	}
	if s.first || !slices.Equal(b.Holdings, s.last.Holdings) {
		m.HoldingsChanged = true
		for _, h := range b.Holdings {
			m.Holdings = append(m.Holdings, &controlpb.Holding{Group: h.Group, Term: uint64(h.Term)})
		}
	}
	if s.first || !slices.Equal(b.Quarantined, s.last.Quarantined) {
		for _, a := range b.Quarantined {
			m.SetAsides = append(m.SetAsides, &controlpb.SetAside{Group: a.Group, Fingerprint: a.Fingerprint, UntilUnixMs: a.Until.UnixMilli()})
		}
	}
	if err := s.stream.Send(m); err != nil {
		return eris.Wrapf(ErrUnreachable, "%v", err)
	}
	s.first = false
	s.last = b
	return nil
}

// Close ends the stream.
func (s *HeartbeatStream) Close() {
	_, _ = s.stream.CloseAndReceive()
}

// Heartbeats receives heartbeats from a peer until its stream ends.
func (h handler) Heartbeats(_ context.Context, s *connect.ClientStream[controlpb.Heartbeat]) (*connect.Response[controlpb.HeartbeatsEnd], error) {
	var b Heartbeat
	for s.Receive() {
		m := s.Msg()
		if m.GetSender() != nil {
			b.Sender = decodeHost(m.GetSender())
		}
		if b.Sender.Name == "" || !b.Sender.ControlAddress.IsValid() {
			return nil, connect.NewError(connect.CodeInvalidArgument, eris.New("first heartbeat of the stream has no sender name or no valid control address"))
		}
		h.service.Heartbeat(decodeBeat(b.Sender, &b, m))
	}
	return connect.NewResponse(&controlpb.HeartbeatsEnd{}), nil
}

// decodeBeat decodes a heartbeat. Holdings omitted as unchanged are taken from
// last, which is updated.
func decodeBeat(sender host.Host, last *Heartbeat, m *controlpb.Heartbeat) Heartbeat {
	if m.GetHoldingsChanged() {
		holdings := make([]host.Holding, 0, len(m.GetHoldings()))
		for _, g := range m.GetHoldings() {
			holdings = append(holdings, host.Holding{Group: g.GetGroup(), Term: grant.Term(g.GetTerm())})
		}
		last.Holdings = holdings
	}
	b := Heartbeat{
		Sender:   sender,
		Holdings: last.Holdings,
		Versions: Versions{Records: platform.Version(m.GetRecordsVersion()), Groups: platform.Version(m.GetGroupsVersion())},
		Interval: time.Duration(m.GetIntervalMs()) * time.Millisecond,
	}
	for _, a := range m.GetSetAsides() {
		b.Quarantined = append(b.Quarantined, Quarantine{Group: a.GetGroup(), Fingerprint: a.GetFingerprint(), Until: time.UnixMilli(a.GetUntilUnixMs())})
	}
	return b
}
