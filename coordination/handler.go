package coordination

import (
	"context"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"

	"github.com/redwingtally/redwingtally/platform"
)

// client calls the Sync procedure of a coordinator.
type client = connect.Client[Report, Reply]

// Handler returns the path and the handler that receives the reports of other hosts.
func (m *Member) Handler() (string, http.Handler) {
	return syncProcedure, connect.NewUnaryHandler(syncProcedure, func(ctx context.Context, r *connect.Request[Report]) (*connect.Response[Reply], error) {
		l := m.currentLeader()
		if l == nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, ErrNotCoordinator)
		}
		reply, err := l.sync(ctx, r.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
		return connect.NewResponse(reply), nil
	}, connect.WithCodec(codec{}))
}

// yieldProcedure is the path of the call that ends the coordination of earlier terms.
const yieldProcedure = "/redwingtally.coordination.v1/Yield"

// A YieldRequest asks a host to end its coordination of every term before Term.
type YieldRequest struct {
	Term uint64 `json:"term"`
}

// yieldTo ends this process's coordination of any earlier term, including one
// whose takeover is in progress.
func (m *Member) yieldTo(term uint64) {
	m.mu.Lock()
	m.yieldTerm = max(m.yieldTerm, term)
	l := m.leader
	m.mu.Unlock()
	if l != nil {
		l.yieldTo(term)
	}
}

// A YieldResponse confirms that the host sends no more orders of terms before the requested one.
type YieldResponse struct {
	// Process is the process that answered.
	Process string `json:"process"`
}

// YieldHandler returns the path and the handler of the call that ends the
// coordination of earlier terms.
func (m *Member) YieldHandler() (string, http.Handler) {
	return yieldProcedure, connect.NewUnaryHandler(yieldProcedure, func(_ context.Context, r *connect.Request[YieldRequest]) (*connect.Response[YieldResponse], error) {
		m.yieldTo(r.Msg.Term)
		return connect.NewResponse(&YieldResponse{Process: m.options.Process}), nil
	}, connect.WithCodec(codec{}))
}

// newClient returns a client that sends reports to the host at an address.
func (m *Member) newClient(address netip.AddrPort) *client {
	return connect.NewClient[Report, Reply](m.httpClient(), "http://"+address.String()+syncProcedure, connect.WithCodec(codec{}))
}

// httpClient returns a client that shares no connections with others.
func (m *Member) httpClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: platform.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}
