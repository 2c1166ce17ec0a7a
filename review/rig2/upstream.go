package rig2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// heartbeat is the time between two writes of an upstream to the store, as in wickgate.
	heartbeat = 870 * time.Millisecond
	// leavingRetry is the time after which an upstream repeats its report that it is draining.
	leavingRetry = 200 * time.Millisecond
	// slots and queue are those of an upstream of wickgate.
	slots = 2
	queue = 8
)

// An Upstream is a stand-in of an upstream that does work of a fixed length.
type Upstream struct {
	Name, Service, Zone string
	// Work is how long a request runs.
	Work time.Duration

	deployment *Deployment
	address    netip.AddrPort
	startedAt  time.Time
	server     *http.Server
	cancel     context.CancelFunc
	slots      chan struct{}

	mu       sync.Mutex
	waiting  int
	leaving  bool
	accepted bool // the store has the report that the upstream is draining
	sequence int
	arrivals []Arrival
}

// An Arrival is a request that reached an upstream.
type Arrival struct {
	Upstream string
	ID       string
	At       time.Time
	// Ran and Ended report whether the request began to run and whether its run came to an end.
	Ran, Ended bool
}

// StartUpstream starts an upstream and writes its entry.
func (d *Deployment) StartUpstream(name, service, zone string, work time.Duration) *Upstream {
	u := &Upstream{
		Name: name, Service: service, Zone: zone, Work: work, deployment: d, startedAt: time.Now().Add(-time.Minute).Truncate(time.Millisecond), slots: make(chan struct{}, slots),
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	d.Require("upstream", err)
	u.address = netip.MustParseAddrPort(ln.Addr().String())
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(ln) }() // ends with Stop
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	d.Require("entry of an upstream", u.register())
	go u.beat(ctx)
	d.atEnd(u.Stop)
	return u
}

// register writes the entry of the upstream.
func (u *Upstream) register() error {
	u.mu.Lock()
	u.sequence++
	leaving := u.leaving
	value, err := platform.EncodeTarget(platform.Target{
		Name: u.Name, StartedAt: u.startedAt, Service: u.Service, Address: u.address, DataCentre: u.Zone, Slots: slots, Draining: leaving,
	}, u.sequence)
	u.mu.Unlock()
	if err != nil {
		return err
	}
	if err := u.deployment.Put(platform.KindTargets, u.Name, value); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if leaving && !u.accepted {
		u.accepted = true
		u.deployment.Logf("the store accepts that %s is draining", u.Name)
	}
	return nil
}

func (u *Upstream) beat(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeat
		u.mu.Lock()
		if u.leaving && !u.accepted {
			pause = leavingRetry
		}
		u.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		_ = u.register() // the next one repeats it
	}
}

// Leave makes the upstream report that it is draining, and say so in all its answers.
func (u *Upstream) Leave() {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.deployment.Logf("%s is told to leave, and says so in all its answers", u.Name)
	_ = u.register() // repeated until the store has accepted it
}

// Stop ends the upstream: its connections are closed.
func (u *Upstream) Stop() {
	u.cancel()
	_ = u.server.Close()
}

// Arrivals returns the requests that reached the upstream.
func (u *Upstream) Arrivals() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Arrival(nil), u.arrivals...)
}

// arrive records a request and returns its index.
func (u *Upstream) arrive(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = append(u.arrivals, Arrival{Upstream: u.Name, ID: id, At: time.Now()})
	return len(u.arrivals) - 1
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	meta := platform.ReadRequestMeta(r.Header)
	u.mu.Lock()
	if u.leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	u.mu.Unlock()
	if expected := platform.ExpectedTarget(r.Header); expected != "" && expected != u.Name {
		platform.SetResponseMeta(w.Header(), u.Name, platform.ResponseMeta{ID: meta.ID, TargetReplaced: true})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	index := u.arrive(meta.ID)
	if !u.admit(r.Context()) {
		platform.SetResponseMeta(w.Header(), u.Name, platform.ResponseMeta{ID: meta.ID, NotExecuted: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.mu.Lock()
	u.arrivals[index].Ran = true
	u.mu.Unlock()
	select {
	case <-time.After(u.Work):
	case <-r.Context().Done():
		return
	}
	u.mu.Lock()
	u.arrivals[index].Ended = true
	u.mu.Unlock()
	platform.SetResponseMeta(w.Header(), u.Name, platform.ResponseMeta{ID: meta.ID, Signed: true})
	_, _ = fmt.Fprintf(w, "%s took %d bytes\n", u.Name, len(body)) // fails only if the daemon has disconnected
}

// admit waits for a slot if the queue has room.
func (u *Upstream) admit(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	u.mu.Lock()
	if u.waiting >= queue {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
