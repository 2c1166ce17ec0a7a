package peer

import (
	"net/netip"
	"time"

	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/peer/controlpb"
)

// encodeHost converts a host to its protobuf message.
func encodeHost(h host.Host) *controlpb.Host {
	return &controlpb.Host{
		Name:           h.Name,
		DataCentre:     h.DataCentre,
		ControlAddress: h.ControlAddress.String(),
		ForwardAddress: h.ForwardAddress.String(),
		Incarnation:    h.Incarnation,
		Leaving:        h.Leaving,
	}
}

// decodeHost converts a protobuf message to a host. A malformed address becomes
// the zero AddrPort.
func decodeHost(h *controlpb.Host) host.Host {
	control, _ := netip.ParseAddrPort(h.GetControlAddress())
	forward, _ := netip.ParseAddrPort(h.GetForwardAddress())
	return host.Host{
		Name:           h.GetName(),
		DataCentre:     h.GetDataCentre(),
		ControlAddress: control,
		ForwardAddress: forward,
		Incarnation:    h.GetIncarnation(),
		Leaving:        h.GetLeaving(),
	}
}

// encodeEntries converts entries of a request id table to protobuf messages.
func encodeEntries(entries []once.Entry) []*controlpb.RequestId {
	out := make([]*controlpb.RequestId, 0, len(entries))
	for _, e := range entries {
		out = append(out, &controlpb.RequestId{Id: e.ID, IssuedUnixMs: e.IssuedAt.UnixMilli(), State: uint32(e.State)})
	}
	return out
}

// decodeEntries converts protobuf messages to entries of a request id table.
func decodeEntries(ids []*controlpb.RequestId) []once.Entry {
	out := make([]once.Entry, 0, len(ids))
	for _, e := range ids {
		out = append(out, once.Entry{ID: e.GetId(), IssuedAt: time.UnixMilli(e.GetIssuedUnixMs()), State: once.State(e.GetState())})
	}
	return out
}
