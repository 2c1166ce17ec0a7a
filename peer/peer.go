// Package peer is the control protocol between daemons, over Connect.
//
// # Usage
//
//	clients := peer.NewClients(count)
//	beats := clients.Beats(ctx, address)
//	err := beats.Send(beat)
//
//	mux.Handle(peer.Handler(peer.Service{Heartbeat: ..., Records: ...}))
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

// ErrUnreachable reports that a peer gave no answer.
var ErrUnreachable = eris.New("peer: unreachable")

const (
	// maxMessage bounds a control message in bytes.
	maxMessage = 64 << 20
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 10 * time.Second
	// pingAfter is the silence after which a connection is probed.
	pingAfter = 2 * time.Second
	// pingTimeout is how long the probe may take before the connection is closed.
	pingTimeout = time.Second
)

// protocols is HTTP/2 without encryption: one connection to each peer, and
// headers that cost a few bytes.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// A Beat is what a daemon tells its peers with each heartbeat.
type Beat struct {
	Sender    host.Host
	Holdings  []host.Holding
	Versions  Versions
	SetAsides []SetAside
	// Interval is when the next heartbeat follows at the latest.
	Interval time.Duration
}

// Versions are how far a daemon knows the store's objects.
type Versions struct {
	Records platform.Version `json:"records"`
	Groups  platform.Version `json:"groups"`
}

// A SetAside is a request fingerprint that a group refuses.
type SetAside struct {
	Group       string
	Fingerprint uint64
	Until       time.Time
}

// A Handover passes a group to a successor.
type Handover struct {
	Group string
	Term  grant.Term
}

// Clients are the connections to all peers. They are safe for concurrent use.
type Clients struct {
	http *http.Client
	mu   sync.Mutex
	by   map[netip.AddrPort]controlpbconnect.ControlClient
}

// NewClients returns Clients without connections, whose bytes are counted.
func NewClients(count Counter) *Clients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:        countDial(dialer.DialContext, count),
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          protocols(),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &Clients{
		http: &http.Client{Transport: transport},
		by:   map[netip.AddrPort]controlpbconnect.ControlClient{},
	}
}

// Close closes idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

func (c *Clients) client(a netip.AddrPort) controlpbconnect.ControlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl, ok := c.by[a]
	if !ok {
		cl = controlpbconnect.NewControlClient(c.http, "http://"+a.String(), connect.WithReadMaxBytes(maxMessage))
		c.by[a] = cl
	}
	return cl
}

// call performs one unary call and turns its error into ErrUnreachable.
func call[Q, R any](ctx context.Context, f func(context.Context, *connect.Request[Q]) (*connect.Response[R], error), q *Q) (*R, error) {
	r, err := f(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%v", err)
	}
	return r.Msg, nil
}

// Records returns the objects of a kind that changed at a peer after a version,
// and false when the peer has learned none itself.
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

// Note asks a peer to keep request ids and reports whether it does.
func (c *Clients) Note(ctx context.Context, a netip.AddrPort, n once.Update) (bool, error) {
	q := &controlpb.NoteRequest{
		Group:          n.Group,
		Term:           uint64(n.Term),
		Ids:            encodeEntries(n.Entries),
		Baseline:       n.Full,
		CompleteUnixMs: n.CompleteSince.UnixMilli(),
	}
	r, err := call(ctx, c.client(a).Note, q)
	if err != nil {
		return false, err
	}
	return r.GetAccepted(), nil
}

// Recall returns the request ids that a peer keeps for a group, and false when it has not all of them.
func (c *Clients) Recall(ctx context.Context, a netip.AddrPort, group string, term, noted grant.Term) (once.Snapshot, bool, error) {
	r, err := call(ctx, c.client(a).Recall, &controlpb.RecallRequest{Group: group, Term: uint64(term), NotedTerm: uint64(noted)})
	if err != nil {
		return once.Snapshot{}, false, err
	}
	out := once.Snapshot{Entries: decodeEntries(r.GetIds()), CompleteSince: time.UnixMilli(r.GetCompleteUnixMs())}
	return out, r.GetFound(), nil
}

// Handover asks a peer to take a group and reports whether it will.
func (c *Clients) Handover(ctx context.Context, a netip.AddrPort, h Handover) (bool, error) {
	r, err := call(ctx, c.client(a).Handover, &controlpb.HandoverRequest{Group: h.Group, Term: uint64(h.Term)})
	if err != nil {
		return false, err
	}
	return r.GetAccepted(), nil
}
