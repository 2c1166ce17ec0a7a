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

// HeartbeatStream is a stream of heartbeats to one peer. A message omits the sender,
// the holdings or the quarantined requests if they have not changed since the
// previous message. It is not safe for concurrent use.
type HeartbeatStream struct {
	stream *connect.ClientStreamForClient[controlpb.Heartbeat, controlpb.HeartbeatsEnd]
	// last is the previous heartbeat on the stream.
	last Heartbeat
	// first reports whether no heartbeat has been sent on the stream yet.
	first bool
}

// HeartbeatStream opens a stream of heartbeats to the peer at address a. The stream
// ends with ctx.
func (c *Clients) HeartbeatStream(ctx context.Context, a netip.AddrPort) *HeartbeatStream {
	return &HeartbeatStream{stream: c.client(a).Heartbeats(ctx), first: true}
}

// Send sends a heartbeat. It returns ErrUnreachable if the stream has ended.
func (s *HeartbeatStream) Send(heartbeat Heartbeat) error {
	m := &controlpb.Heartbeat{
		RecordsVersion: uint64(heartbeat.Versions.Records),
		GroupsVersion:  uint64(heartbeat.Versions.Groups),
		IntervalMs:     uint32(heartbeat.Interval.Milliseconds()),
	}
	if s.first || heartbeat.Sender != s.last.Sender {
		m.Sender = encodeHost(heartbeat.Sender)
	}
	if s.first || !slices.Equal(heartbeat.Holdings, s.last.Holdings) {
		m.HoldingsChanged = true
		for _, h := range heartbeat.Holdings {
			m.Holdings = append(m.Holdings, &controlpb.Holding{Group: h.Group, Term: uint64(h.Term)})
		}
	}
	if s.first || !slices.Equal(heartbeat.Quarantined, s.last.Quarantined) {
		for _, q := range heartbeat.Quarantined {
			m.SetAsides = append(m.SetAsides, &controlpb.SetAside{Group: q.Group, Fingerprint: q.Fingerprint, UntilUnixMs: q.Until.UnixMilli()})
		}
	}
	if err := s.stream.Send(m); err != nil {
		return eris.Wrapf(ErrUnreachable, "%v", err)
	}
	s.first = false
	s.last = heartbeat
	return nil
}

// Close ends the stream.
func (s *HeartbeatStream) Close() {
	_, _ = s.stream.CloseAndReceive()
}

// Heartbeats receives heartbeats from a peer until its stream ends.
func (h handler) Heartbeats(_ context.Context, s *connect.ClientStream[controlpb.Heartbeat]) (*connect.Response[controlpb.HeartbeatsEnd], error) {
	var last Heartbeat
	for s.Receive() {
		m := s.Msg()
		if m.GetSender() != nil {
			last.Sender = decodeHost(m.GetSender())
		}
		if last.Sender.Name == "" || !last.Sender.ControlAddress.IsValid() {
			return nil, connect.NewError(connect.CodeInvalidArgument, eris.New("the first heartbeat names no sender"))
		}
		h.handlers.Heartbeat(decodeHeartbeat(last.Sender, &last, m))
	}
	return connect.NewResponse(&controlpb.HeartbeatsEnd{}), nil
}

// decodeHeartbeat decodes a heartbeat. Holdings omitted as unchanged are taken from
// last, which is updated.
func decodeHeartbeat(sender host.Host, last *Heartbeat, m *controlpb.Heartbeat) Heartbeat {
	if m.GetHoldingsChanged() {
		holdings := make([]host.Holding, 0, len(m.GetHoldings()))
		for _, holding := range m.GetHoldings() {
			holdings = append(holdings, host.Holding{Group: holding.GetGroup(), Term: grant.Term(holding.GetTerm())})
		}
		last.Holdings = holdings
	}
	heartbeat := Heartbeat{
		Sender:   sender,
		Holdings: last.Holdings,
		Versions: Versions{Records: platform.Version(m.GetRecordsVersion()), Groups: platform.Version(m.GetGroupsVersion())},
		Interval: time.Duration(m.GetIntervalMs()) * time.Millisecond,
	}
	for _, q := range m.GetSetAsides() {
		heartbeat.Quarantined = append(heartbeat.Quarantined, Quarantine{Group: q.GetGroup(), Fingerprint: q.GetFingerprint(), Until: time.UnixMilli(q.GetUntilUnixMs())})
	}
	return heartbeat
}
