package redwingtally

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/redwingtally/redwingtally/catalogue"
	"github.com/redwingtally/redwingtally/dispatch"
	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/holder"
	"github.com/redwingtally/redwingtally/kernel"
	"github.com/redwingtally/redwingtally/once"
	"github.com/redwingtally/redwingtally/peer"
)

// control serves control calls, status, dump and metrics. Connect needs
// net/http, so this address alone is not served by hertz.
type control struct {
	listener net.Listener
	server   *http.Server
	mux      *http.ServeMux
}

// readHeaderTimeout bounds the reading of a control request's head.
const readHeaderTimeout = 5 * time.Second

func newControl(address netip.AddrPort) (*control, error) {
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &control{
		listener: ln,
		mux:      mux,
		server:   &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, Protocols: protocols},
	}, nil
}

func (c *control) handle(d *Daemon) {
	p := &d.parts
	c.listener = peer.CountListener(c.listener, d.countControl)
	c.mux.Handle(peer.Handler(peer.Service{
		Heartbeat: p.cell.Heartbeat,
		Records:   p.cell.Records,
		Note:      func(n once.Update) bool { return p.notes.Apply(time.Now(), n) },
		Recall:    p.notes.FenceAndRead,
		Handover:  d.takeOver,
	}))
	c.mux.Handle("GET /metrics", p.metrics.Handler())
	c.mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Status()) })
	c.mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Dump()) })
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

func (c *control) start(context.Context) error {
	go func() { _ = c.server.Serve(c.listener) }()
	return nil
}

// stop ends control calls; streams of heartbeats from peers would never end by themselves.
func (c *control) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, controlStop)
	defer cancel()
	_ = c.server.Shutdown(ctx)
	return c.server.Close()
}

// controlStop bounds the wait for control calls at the end.
const controlStop = 100 * time.Millisecond

// Status is what a daemon reports to operators.
type Status struct {
	Host       string              `json:"host"`
	DataCentre string              `json:"data_centre"`
	Version    string              `json:"version"`
	Leaving    bool                `json:"leaving"`
	Records    uint64              `json:"records_version"`
	Ready      bool                `json:"ready"`
	Alive      []string            `json:"alive_hosts"`
	Problems   []catalogue.Problem `json:"problems"`
	Groups     []holder.Status     `json:"groups"`
}

// Status returns the daemon's report.
func (d *Daemon) Status() Status {
	p := &d.parts
	self := p.cell.Self()
	s := Status{
		Host:       self.Name,
		DataCentre: self.DataCentre,
		Version:    Version,
		Leaving:    self.Leaving,
		Records:    uint64(p.catalogue.Version(catalogue.ObjectKind)),
		Ready:      p.catalogue.Ready(),
		Alive:      []string{},
		Problems:   p.catalogue.Problems(),
		Groups:     p.manager.Status(),
	}
	for _, h := range p.cell.Alive() {
		s.Alive = append(s.Alive, h.Name)
	}
	return s
}

// A Dump is the state of all services of a daemon.
type Dump struct {
	Host     string                `json:"host"`
	Version  string                `json:"version"`
	InFlight int64                 `json:"in_flight"`
	NotesLen int                   `json:"notes_kept"`
	Services []kernel.ServiceState `json:"services"`
}

// Dump returns the state of the daemon.
func (d *Daemon) Dump() Dump {
	return Dump{
		Host:     d.settings.Host,
		Version:  Version,
		InFlight: d.parts.entry.InFlight(),
		NotesLen: d.parts.notes.Len(),
		Services: d.kernel.Dump(),
	}
}

// takeOver takes a group that its holder passes on.
func (d *Daemon) takeOver(h peer.Handover) bool {
	g, ok := d.parts.manager.Group(h.Group)
	if !ok || d.parts.cell.Self().Leaving {
		return false
	}
	g.Acquire(time.Now(), h.Term)
	return true
}

func (d *Daemon) note(ctx context.Context, k holder.Keeper, n once.Update) (bool, error) {
	return d.parts.clients.Note(ctx, k.Control, n)
}

func (d *Daemon) recall(ctx context.Context, k holder.Keeper, group string, term, noted grant.Term) (once.Snapshot, bool, error) {
	if k.Name == d.settings.Host {
		found, ok := d.parts.notes.FenceAndRead(group, term, noted)
		return found, ok, nil
	}
	return d.parts.clients.Recall(ctx, k.Control, group, term, noted)
}

func (d *Daemon) tellSetAside(group string, s dispatch.Quarantine) {
	d.parts.cell.TellSetAside(peer.SetAside{Group: group, Fingerprint: s.Fingerprint, Until: s.Until})
}

func (d *Daemon) takeSetAside(s peer.SetAside) {
	d.parts.manager.Quarantine(s.Group, dispatch.Quarantine{Fingerprint: s.Fingerprint, Until: s.Until})
}
