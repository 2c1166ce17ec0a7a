// Package peer implements the control protocol between daemons on top of
// Connect.
//
// # Usage
//
//	clients := peer.NewClients(count)
//	stream := clients.HeartbeatStream(ctx, address)
//	err := stream.Send(heartbeat)
//
//	mux.Handle(peer.Handler(peer.Handlers{Heartbeat: ..., Records: ...}))
package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/peer/controlpb"
	"github.com/redwingtally/redwingtally/peer/controlpb/controlpbconnect"
	"github.com/redwingtally/redwingtally/platform"
)

// ErrUnreachable reports that a control call to a peer failed.
var ErrUnreachable = eris.New("peer: unreachable")

const (
	// maxMessageBytes is the maximum size of a control message in bytes.
	maxMessageBytes = 64 << 20
	// dialTimeout limits the dialling of a connection.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 10 * time.Second
	// pingIdleTime is the time without received frames after which a ping is sent.
	pingIdleTime = 2 * time.Second
	// pingTimeout is the time to wait for the reply to a ping before the
	// connection is closed.
	pingTimeout = time.Second
)

// protocols returns unencrypted HTTP/2: it needs one connection per peer, and
// its header compression keeps frequent small messages small.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// A Heartbeat is the message that a daemon sends to its peers periodically.
type Heartbeat struct {
	Sender host.Host
	// Holdings are the groups that the sender holds.
	Holdings []host.Holding
	Versions Versions
	// Quarantined are the requests quarantined in the sender's groups.
	Quarantined []Quarantine
	// Interval is the maximum time until the next heartbeat.
	Interval time.Duration
}

// Versions holds the highest store versions of records and of group objects
// that a daemon has applied.
type Versions struct {
	Records platform.Version `json:"records"`
	Groups  platform.Version `json:"groups"`
}

// A Quarantine describes a quarantined request: until the given time, the group
// rejects all requests with the fingerprint.
type Quarantine struct {
	Group       string
	Fingerprint uint64
	Until       time.Time
}

// A Handover is a request to a successor to take over a group.
type Handover struct {
	Group string
	Term  grant.Term
}

// Clients makes control calls to peers. It is safe for concurrent use.
type Clients struct {
	http      *http.Client
	mu        sync.Mutex
	byAddress map[netip.AddrPort]controlpbconnect.ControlClient
}

// NewClients returns Clients whose connections report their traffic to count.
func NewClients(count ByteCounter) *Clients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:        countingDial(dialer.DialContext, count),
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          protocols(),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
	return &Clients{
		http:      &http.Client{Transport: transport},
		byAddress: map[netip.AddrPort]controlpbconnect.ControlClient{},
	}
}

// Close closes idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

// client returns the client for the peer at address a, creating it on first use.
func (c *Clients) client(a netip.AddrPort) controlpbconnect.ControlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl, ok := c.byAddress[a]
	if !ok {
		cl = controlpbconnect.NewControlClient(c.http, "http://"+a.String(), connect.WithReadMaxBytes(maxMessageBytes))
		c.byAddress[a] = cl
	}
	return cl
}

// call performs a unary call. Any error is returned as ErrUnreachable.
func call[Q, R any](ctx context.Context, f func(context.Context, *connect.Request[Q]) (*connect.Response[R], error), q *Q) (*R, error) {
	r, err := f(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%v", err)
	}
	return r.Msg, nil
}

// Records returns a peer's objects of a kind that are newer than a version, and
// reports whether the peer has loaded any records.
func (c *Clients) Records(ctx context.Context, a netip.AddrPort, kind string, after platform.Version) ([]platform.Object, bool, error) {
	r, err := call(ctx, c.client(a).Records, &controlpb.RecordsRequest{Kind: kind, After: uint64(after)})
	if err != nil {
		return nil, false, err
	}
	out := make([]platform.Object, 0, len(r.GetObjects()))
	for _, o := range r.GetObjects() {
		out = append(out, platform.Object{
			Kind:    o.GetKind(),
			Name:    o.GetName(),
			Version: platform.Version(o.GetVersion()),
			Deleted: o.GetDeleted(),
			Value:   o.GetValue(),
		})
	}
	return out, r.GetKnown(), nil
}

// ReplicateIDs asks a peer to store copies of request ids and reports whether the peer
// accepted them.
func (c *Clients) ReplicateIDs(ctx context.Context, a netip.AddrPort, update once.Update) (bool, error) {
	q := &controlpb.NoteRequest{
		Group:          update.Group,
		Term:           uint64(update.Term),
		Ids:            encodeEntries(update.Entries),
		Baseline:       update.Full,
		CompleteUnixMs: update.CompleteSince.UnixMilli(),
	}
	r, err := call(ctx, c.client(a).Note, q)
	if err != nil {
		return false, err
	}
	return r.GetAccepted(), nil
}

// FetchIDs returns the request ids that a peer stored for a group under storedTerm,
// and reports whether they are complete. From then on, the peer rejects request ids
// under terms below term.
func (c *Clients) FetchIDs(ctx context.Context, a netip.AddrPort, group string, term, storedTerm grant.Term) (once.Snapshot, bool, error) {
	r, err := call(ctx, c.client(a).Recall, &controlpb.RecallRequest{Group: group, Term: uint64(term), NotedTerm: uint64(storedTerm)})
	if err != nil {
		return once.Snapshot{}, false, err
	}
	out := once.Snapshot{Entries: decodeEntries(r.GetIds()), CompleteSince: time.UnixMilli(r.GetCompleteUnixMs())}
	return out, r.GetFound(), nil
}

// Handover asks a peer to take over a group and reports whether the peer accepted.
func (c *Clients) Handover(ctx context.Context, a netip.AddrPort, h Handover) (bool, error) {
	r, err := call(ctx, c.client(a).Handover, &controlpb.HandoverRequest{Group: h.Group, Term: uint64(h.Term)})
	if err != nil {
		return false, err
	}
	return r.GetAccepted(), nil
}
