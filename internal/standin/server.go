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
	// heartbeatInterval is the interval at which a server writes its entry to the store.
	heartbeatInterval = 500 * time.Millisecond
	// defaultServiceTime is the service time of requests without ServiceTimeHeader.
	defaultServiceTime = 20 * time.Millisecond
)

// ServerOptions configure a Server.
type ServerOptions struct {
	Name       string
	Service    string
	DataCentre string
	// Slots is the number of requests that run concurrently; 0 means 2.
	Slots int
	// QueueLimit is the number of requests that wait for a slot before the server rejects
	// further ones; 0 means 8.
	QueueLimit int
	// Keyed makes the server run only requests for keys for which it has a grant.
	Keyed bool
	// Advertise is the address in the server's entry if it is reached through a proxy;
	// the zero value means the server's own address.
	Advertise netip.AddrPort
	// ServiceTimeFactor is the factor by which service times are multiplied; 0 means 1.
	ServiceTimeFactor float64
	// RegistrationDelay is the time from the start to the first write of the server's entry. Until then the store
	// may have the entry of an earlier start.
	RegistrationDelay time.Duration
	// StatesLoad makes the server state its load in responses.
	StatesLoad bool
	// Warmup is the time from the start for which the server's entry says that it is cold.
	Warmup time.Duration
}

// ResponseSizeHeader is the header with the size in bytes of the response body that a
// caller requests from a Server.
const ResponseSizeHeader = "Standin-Size"

// ReadDelayHeader is the header with the time that a Server works on a request before it reads the
// body, as a duration with a unit.
const ReadDelayHeader = "Standin-Read-Delay"

// A Run records one run of a request, for checks in tests.
type Run struct {
	ID        string    `json:"id"`
	Server    string    `json:"server"`
	Key       int       `json:"key"`
	StartedAt time.Time `json:"begun"`
	EndedAt   time.Time `json:"ended"`
	// FencingToken is the fencing token of the grant under which the request ran.
	FencingToken uint64 `json:"fence"`
	// BodyComplete reports whether the request body was complete.
	BodyComplete bool `json:"whole"`
	// Timeout is the time for which the caller waits, as sent with the request.
	Timeout time.Duration `json:"patience"`
	// SenderDisconnected reports whether the sender closed the connection before the
	// end of the run.
	SenderDisconnected bool `json:"left"`
	// Faulty reports whether an injected fault replaced the response or a part of it.
	Faulty bool `json:"faulty"`
}

// A Server is a stand-in for a target on the users' platform. It writes its own
// entry, accepts grants with fencing tokens, and signs its responses.
type Server struct {
	options   ServerOptions
	startedAt time.Time
	listener  net.Listener
	http      *http.Server
	store     *platform.Client
	cancel    context.CancelFunc
	done      chan struct{}

	mu           sync.Mutex
	running      int
	waiting      int
	slotFreed    chan struct{}
	grants       []heldGrant
	latestGrants []heldGrant // grant with the highest token seen for each key, kept after its release
	runningByKey map[platform.KeyRange]int
	runs         []Run
	arrivals     []time.Time // of all requests of callers, rejected ones included
	draining     bool
	leaving      bool
	faults       ServerFaults
}

// ServerFaults are faults that a Server injects.
type ServerFaults struct {
	// ErrorShare is the fraction of requests that are answered with an internal error.
	ErrorShare float64 `json:"fail"`
	// UnansweredShare is the fraction of requests that run but are not answered.
	UnansweredShare float64 `json:"lose"`
	// TruncatedShare is the fraction of responses that are truncated.
	TruncatedShare float64 `json:"cut"`
	// ServiceTimeFactor is the factor by which service times are multiplied; values
	// below 1 have no effect.
	ServiceTimeFactor float64 `json:"slow"`
	// RateLimit is the number of requests per second that the server states in its
	// responses as its limit; 0 states none.
	RateLimit float64 `json:"rate_limit"`
}

// StartServer starts a server on address. The server registers itself in the store
// at the address store.
func StartServer(address, store netip.AddrPort, o ServerOptions) (*Server, error) {
	ln, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	if o.Slots == 0 {
		o.Slots = 2
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = 8
	}
	if o.ServiceTimeFactor == 0 {
		o.ServiceTimeFactor = 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options: o, startedAt: time.Now(), listener: ln, store: platform.NewClient(store),
		cancel: cancel, done: make(chan struct{}), slotFreed: make(chan struct{}), runningByKey: map[platform.KeyRange]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.GrantPath, s.grant)
	mux.HandleFunc("POST "+platform.ReleasePath, s.release)
	mux.HandleFunc("GET /standin/runs", s.getRuns)
	mux.HandleFunc("PUT /standin/faults", s.putFaults)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(ln) }() // ends with Stop
	go s.registerLoop(ctx)
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Name returns the name of the server.
func (s *Server) Name() string { return s.options.Name }

func (s *Server) advertised() netip.AddrPort {
	if s.options.Advertise.IsValid() {
		return s.options.Advertise
	}
	return s.Address()
}

// Deregister removes the server's entry, as the users' platform does some time after
// a target has ended.
func (s *Server) Deregister(ctx context.Context) error {
	return s.store.Delete(ctx, platform.KindTargets, s.options.Name, platform.Unconditional())
}

// Drain marks the server as draining from its next heartbeat on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Leave marks the server as draining, and makes it state in all its responses that it leaves.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.leaving = true, true
}

// StateLeaving makes the server state in all its responses that it leaves, while its entry stays as it is.
func (s *Server) StateLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// states returns what the server states of itself in every response.
func (s *Server) states(m platform.ResponseMeta) platform.ResponseMeta {
	m.RateLimit, m.Load, m.Leaving = s.rateLimit(), s.load(), s.leaves()
	return m
}

// leaves reports whether the server states that it leaves.
func (s *Server) leaves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// UpdateFaults changes some of the injected faults and keeps the others.
func (s *Server) UpdateFaults(change func(*ServerFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Stop stops the server without waiting for running requests. The users' platform
// removes an entry after some missed heartbeats, or immediately if the target was
// draining; the stand-in keeps it until Deregister.
func (s *Server) Stop() {
	s.cancel()
	<-s.done
	_ = s.http.Close() // closes the connections of running requests, as a crash does
}

// crash stops the server as if a request had crashed its process: its connections
// and its listener are closed.
func (s *Server) crash() {
	s.cancel()
	_ = s.http.Close() // connections are closed or reset immediately
}

// registerLoop writes the entry of the server at every heartbeat until ctx ends.
func (s *Server) registerLoop(ctx context.Context) {
	defer close(s.done)
	select {
	case <-ctx.Done():
		return
	case <-time.After(s.options.RegistrationDelay):
	}
	for sequence := 1; ; sequence++ {
		s.register(ctx, sequence)
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *Server) register(ctx context.Context, sequence int) {
	s.mu.Lock()
	entry, err := platform.EncodeTarget(platform.Target{
		Name: s.options.Name, StartedAt: s.startedAt, Service: s.options.Service, Address: s.advertised(), DataCentre: s.options.DataCentre,
		Slots: s.options.Slots, Draining: s.draining, WarmupLeft: max(0, s.options.Warmup-time.Since(s.startedAt)),
	}, sequence)
	s.mu.Unlock()
	if err != nil {
		return // cannot occur: plain fields always encode
	}
	_, _ = s.store.Put(ctx, platform.KindTargets, s.options.Name, entry, platform.Unconditional()) // the next heartbeat retries
}

// Runs returns the runs so far, in order of their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Arrivals returns the times at which callers' requests arrived, rejected ones
// included, in order.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs()) // fails only if the caller has disconnected
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f ServerFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
