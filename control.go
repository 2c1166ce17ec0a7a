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

// controlServer serves the control calls, the status, the state dump and the
// metrics. Connect requires net/http; all other addresses are served by hertz.
type controlServer struct {
	listener net.Listener
	server   *http.Server
	mux      *http.ServeMux
}

// readHeaderTimeout limits the reading of a control request's header.
const readHeaderTimeout = 5 * time.Second

// newControlServer listens on address and returns a control server without handlers.
func newControlServer(address netip.AddrPort) (*controlServer, error) {
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &controlServer{
		listener: ln,
		mux:      mux,
		server:   &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, Protocols: protocols},
	}, nil
}

// handle registers the handlers of d.
func (c *controlServer) handle(d *Daemon) {
	p := &d.components
	c.listener = peer.NewCountingListener(c.listener, d.countControl)
	c.mux.Handle(peer.Handler(peer.Handlers{
		Heartbeat:    p.cell.ReceiveHeartbeat,
		Records:      p.cell.RecordsSince,
		ReplicateIDs: func(update once.Update) bool { return p.replicas.Apply(time.Now(), update) },
		FetchIDs:     p.replicas.FenceAndRead,
		Handover:     d.acceptHandover,
	}))
	c.mux.Handle("GET /metrics", p.metrics.Handler())
	c.mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Status()) })
	c.mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Dump()) })
}

// writeJSON responds with v as indented JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// start serves requests in the background.
func (c *controlServer) start(context.Context) error {
	go func() { _ = c.server.Serve(c.listener) }()
	return nil
}

// stop shuts the server down. It closes the remaining connections after
// controlStopTimeout, because heartbeat streams from peers do not end by
// themselves.
func (c *controlServer) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, controlStopTimeout)
	defer cancel()
	_ = c.server.Shutdown(ctx)
	return c.server.Close()
}

// controlStopTimeout limits the wait for control calls in progress on shutdown.
const controlStopTimeout = 100 * time.Millisecond

// Status is a daemon's status report for operators.
type Status struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// Version is the version of the program.
	Version string `json:"version"`
	Leaving bool   `json:"leaving"`
	// RecordsVersion is the highest applied version of records.
	RecordsVersion uint64 `json:"records_version"`
	// Ready reports whether records have been loaded.
	Ready bool `json:"ready"`
	// AliveHosts contains the names of the daemons considered alive.
	AliveHosts     []string                  `json:"alive_hosts"`
	InvalidRecords []catalogue.InvalidRecord `json:"problems"`
	Groups         []holder.Status           `json:"groups"`
}

// Status returns the daemon's status report.
func (d *Daemon) Status() Status {
	p := &d.components
	self := p.cell.Self()
	s := Status{
		Host:           self.Name,
		DataCentre:     self.DataCentre,
		Version:        Version,
		Leaving:        self.Leaving,
		RecordsVersion: uint64(p.catalogue.Version(catalogue.ObjectKind)),
		Ready:          p.catalogue.Ready(),
		AliveHosts:     []string{},
		InvalidRecords: p.catalogue.InvalidRecords(),
		Groups:         p.manager.Status(),
	}
	for _, h := range p.cell.Alive() {
		s.AliveHosts = append(s.AliveHosts, h.Name)
	}
	return s
}

// A Dump is the state dump of a daemon and its services.
type Dump struct {
	Host    string `json:"host"`
	Version string `json:"version"`
	// InFlight is the number of callers' and peers' requests being served.
	InFlight int64 `json:"in_flight"`
	// StoredIDs is the number of request ids stored for other daemons.
	StoredIDs int                   `json:"notes_kept"`
	Services  []kernel.ServiceState `json:"services"`
}

// Dump returns the state dump of the daemon.
func (d *Daemon) Dump() Dump {
	return Dump{
		Host:      d.settings.Host,
		Version:   Version,
		InFlight:  d.components.entry.InFlight(),
		StoredIDs: d.components.replicas.Len(),
		Services:  d.kernel.Dump(),
	}
}

// acceptHandover starts to acquire a group that its holder hands over. It reports
// whether the handover was accepted: the daemon must know the group and must
// not be leaving.
func (d *Daemon) acceptHandover(h peer.Handover) bool {
	g, ok := d.components.manager.Group(h.Group)
	if !ok || d.components.cell.Self().Leaving {
		return false
	}
	g.Acquire(time.Now(), h.Term)
	return true
}

// replicateIDs asks daemon k to store copies of request ids.
func (d *Daemon) replicateIDs(ctx context.Context, k holder.Keeper, update once.Update) (bool, error) {
	return d.components.clients.ReplicateIDs(ctx, k.Control, update)
}

// fetchIDs returns the request ids that daemon k stores for a group. It reads those
// of the local daemon without a control call.
func (d *Daemon) fetchIDs(ctx context.Context, k holder.Keeper, group string, term, storedTerm grant.Term) (once.Snapshot, bool, error) {
	if k.Name == d.settings.Host {
		snapshot, ok := d.components.replicas.FenceAndRead(group, term, storedTerm)
		return snapshot, ok, nil
	}
	return d.components.clients.FetchIDs(ctx, k.Control, group, term, storedTerm)
}

// announceQuarantine announces to all peers a request that the local daemon has
// quarantined.
func (d *Daemon) announceQuarantine(group string, q dispatch.Quarantine) {
	d.components.cell.AnnounceQuarantine(peer.Quarantine{Group: group, Fingerprint: q.Fingerprint, Until: q.Until})
}

// applyQuarantine applies a quarantined request announced by a peer.
func (d *Daemon) applyQuarantine(q peer.Quarantine) {
	d.components.manager.Quarantine(q.Group, dispatch.Quarantine{Fingerprint: q.Fingerprint, Until: q.Until})
}
