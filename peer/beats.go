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

// Beats is a stream of heartbeats to one peer. What did not change since the
// last heartbeat is left out. It is not safe for concurrent use.
type Beats struct {
	stream *connect.ClientStreamForClient[controlpb.Heartbeat, controlpb.HeartbeatsEnd]
	last   Beat
	first  bool
}

// Beats opens a stream of heartbeats; it ends with ctx.
func (c *Clients) Beats(ctx context.Context, a netip.AddrPort) *Beats {
	return &Beats{stream: c.client(a).Heartbeats(ctx), first: true}
}

// Send sends a heartbeat, or returns ErrUnreachable when the stream has ended.
func (s *Beats) Send(b Beat) error {
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
	if s.first || !slices.Equal(b.SetAsides, s.last.SetAsides) {
		for _, a := range b.SetAsides {
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
func (s *Beats) Close() {
	_, _ = s.stream.CloseAndReceive()
}

// Heartbeats takes a peer's heartbeats until its stream ends.
func (h handler) Heartbeats(_ context.Context, s *connect.ClientStream[controlpb.Heartbeat]) (*connect.Response[controlpb.HeartbeatsEnd], error) {
	var b Beat
	for s.Receive() {
		m := s.Msg()
		if m.GetSender() != nil {
			b.Sender = decodeHost(m.GetSender())
		}
		if b.Sender.Name == "" || !b.Sender.Control.IsValid() {
			return nil, connect.NewError(connect.CodeInvalidArgument, eris.New("the first heartbeat names no sender"))
		}
		h.s.Heartbeat(decodeBeat(b.Sender, &b, m))
	}
	return connect.NewResponse(&controlpb.HeartbeatsEnd{}), nil
}

// decodeBeat completes a heartbeat with what the stream told before.
func decodeBeat(sender host.Host, last *Beat, m *controlpb.Heartbeat) Beat {
	if m.GetHoldingsChanged() {
		holdings := make([]host.Holding, 0, len(m.GetHoldings()))
		for _, g := range m.GetHoldings() {
			holdings = append(holdings, host.Holding{Group: g.GetGroup(), Term: grant.Term(g.GetTerm())})
		}
		last.Holdings = holdings
	}
	b := Beat{
		Sender:   sender,
		Holdings: last.Holdings,
		Versions: Versions{Records: platform.Version(m.GetRecordsVersion()), Groups: platform.Version(m.GetGroupsVersion())},
		Interval: time.Duration(m.GetIntervalMs()) * time.Millisecond,
	}
	for _, a := range m.GetSetAsides() {
		b.SetAsides = append(b.SetAsides, SetAside{Group: a.GetGroup(), Fingerprint: a.GetFingerprint(), Until: time.UnixMilli(a.GetUntilUnixMs())})
	}
	return b
}
