package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

const (
	// heartbeat is the time between two writes of a server's entry.
	heartbeat = 500 * time.Millisecond
	// serverWork is the time that a request takes when its caller asks for none.
	serverWork = 20 * time.Millisecond
)

// ServerOptions configure a Server.
type ServerOptions struct {
	Name       string
	Service    string
	DataCentre string
	Slots      int
	// Queue is how many requests wait for a slot before the server turns them away.
	Queue int
	// Keyed makes the server run only requests for keys that it was granted.
	Keyed bool
	// Advertise is the address in the server's entry when it is reached through a proxy.
	Advertise netip.AddrPort
	// Speed is how many times longer than asked work takes.
	Speed float64
}

// SizeHeader is the header in which callers ask a Server for the size of the answer in bytes.
const SizeHeader = "Standin-Size"

// A Run is one run of a request, for checks.
type Run struct {
	ID     string    `json:"id"`
	Server string    `json:"server"`
	Key    int       `json:"key"`
	Begun  time.Time `json:"begun"`
	Ended  time.Time `json:"ended"`
	Fence  uint64    `json:"fence"`
	Whole  bool      `json:"whole"`
	// Patience is how long the server was told that the answer is awaited.
	Patience time.Duration `json:"patience"`
	// Left says that the sender closed the connection before the end.
	Left bool `json:"left"`
}

// A Server is a stand-in for a target on the users' platform: it writes an entry
// of itself, takes fenced grants, and signs its answers.
type Server struct {
	o        ServerOptions
	born     time.Time
	listener net.Listener
	http     *http.Server
	store    *platform.Client
	cancel   context.CancelFunc
	done     chan struct{}

	mu       sync.Mutex
	running  int
	waiting  int
	wake     chan struct{}
	grants   []granted
	seen     []granted // highest token seen, by span
	work     map[platform.KeyRange]int
	runs     []Run
	draining bool
	faults   ServerFaults
}

// ServerFaults are faults that a Server shows.
type ServerFaults struct {
	// Fail is the part of the requests that are answered with a failure.
	Fail float64 `json:"fail"`
	// Lose is the part of the requests whose answers are lost.
	Lose float64 `json:"lose"`
	// Cut is the part of the answers that break off.
	Cut float64 `json:"cut"`
	// Slow is how many times longer work takes; 0 means once.
	Slow float64 `json:"slow"`
}

// StartServer starts a server on address that registers itself at the platform.
func StartServer(address, store netip.AddrPort, o ServerOptions) (*Server, error) {
	ln, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	if o.Slots == 0 {
		o.Slots = 2
	}
	if o.Queue == 0 {
		o.Queue = 8
	}
	if o.Speed == 0 {
		o.Speed = 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		o: o, born: time.Now(), listener: ln, store: platform.NewClient(store),
		cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}), work: map[platform.KeyRange]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.GrantPath, s.grant)
	mux.HandleFunc("POST "+platform.ReleasePath, s.release)
	mux.HandleFunc("GET /standin/runs", s.getRuns)
	mux.HandleFunc("PUT /standin/faults", s.putFaults)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(ln) }() // ends with Stop
	go s.beat(ctx)
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *Server) advertised() netip.AddrPort {
	if s.o.Advertise.IsValid() {
		return s.o.Advertise
	}
	return s.Address()
}

// Leave removes the server's entry, as its platform does some time after it ended.
func (s *Server) Leave(ctx context.Context) error {
	return s.store.Delete(ctx, platform.KindTargets, s.o.Name, platform.Unconditional())
}

// Drain makes the server say that it is leaving.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetFaults sets the faults that the server shows from now on.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Stop ends the server at once; its entry goes after some heartbeats, or now when it drained.
func (s *Server) Stop() {
	s.cancel()
	<-s.done
	_ = s.http.Close() // what runs is cut, as in a crash
}

// crash ends the server as a process does that a request crashes: nothing listens any more.
func (s *Server) crash() {
	s.cancel()
	_ = s.http.Close() // connections are reset or closed at once
}

// beat keeps the entry of the server up to date.
func (s *Server) beat(ctx context.Context) {
	defer close(s.done)
	for sequence := 1; ; sequence++ {
		s.register(ctx, sequence)
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *Server) register(ctx context.Context, sequence int) {
	s.mu.Lock()
	entry, err := platform.EncodeTarget(platform.Target{
		Name: s.o.Name, StartedAt: s.born, Service: s.o.Service, Address: s.advertised(), DataCentre: s.o.DataCentre,
		Slots: s.o.Slots, Draining: s.draining,
	}, sequence)
	s.mu.Unlock()
	if err != nil {
		return // plain fields always encode
	}
	_, _ = s.store.Put(ctx, platform.KindTargets, s.o.Name, entry, platform.Unconditional()) // the next heartbeat tries again
}

// Runs returns what the server has run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs()) // the caller sees a broken answer
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f ServerFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
