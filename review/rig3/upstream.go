package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// upstream is a stand-in for an upstream. It runs up to slots requests at once, queues as many again, and rejects the others.
type upstream struct {
	id, service string
	work        time.Duration
	slots       chan struct{}
	queue       chan struct{}
	listener    net.Listener
	born        time.Time
	runs        *journal

	mu       sync.Mutex
	sequence int
	left     bool // its entry was removed
	arrivals []time.Time
	conns    map[net.Conn]bool
}

// startUpstream serves an upstream on a free port and registers it in the store.
func startUpstream(s *store, id, service string, slots int, work time.Duration, runs *journal) (*upstream, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, work: work, slots: make(chan struct{}, slots), queue: make(chan struct{}, 2*slots), listener: ln,
		born: time.Now(), runs: runs, conns: map[net.Conn]bool{},
	}
	go u.accept()
	go u.beat(s)
	return u, nil
}

// beat writes the entry of the upstream at every heartbeat.
func (u *upstream) beat(s *store) {
	for {
		u.mu.Lock()
		if u.left {
			u.mu.Unlock()
			return
		}
		u.sequence++
		entry, err := platform.EncodeTarget(platform.Target{
			Name: u.id, StartedAt: u.born, Service: u.service, Address: netip.MustParseAddrPort(u.listener.Addr().String()),
			DataCentre: "leicester", Slots: cap(u.slots),
		}, u.sequence)
		if err == nil && !s.isDown() {
			s.put(platform.KindTargets, u.id, entry)
		}
		u.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// leave removes the entry of the upstream, which reports nothing before, and returns the time of the removal. The upstream
// serves on for the given time and then ends.
func (u *upstream) leave(s *store, serves time.Duration) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.left = true
	removed := s.remove(platform.KindTargets, u.id)
	time.AfterFunc(serves, u.end)
	return removed
}

// end closes all that the upstream has open.
func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.Close()
	}
}

// arrivedAfter returns how long after t requests arrived, of those later than that.
func (u *upstream) arrivedAfter(t time.Time) []time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []time.Duration
	for _, at := range u.arrivals {
		if at.After(t) {
			out = append(out, at.Sub(t))
		}
	}
	return out
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(c)
	}
}

// serve answers the requests of a connection one after the other.
func (u *upstream) serve(c net.Conn) {
	u.mu.Lock()
	u.conns[c] = true
	u.mu.Unlock()
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !u.answer(c, q) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (u *upstream) answer(c net.Conn, q *http.Request) bool {
	meta := platform.ReadRequestMeta(q.Header)
	if q.URL.Path == healthPath {
		return u.write(c, http.StatusOK, platform.ResponseMeta{Signed: true}, "")
	}
	if expected := platform.ExpectedTarget(q.Header); expected != "" && expected != u.id {
		return u.write(c, http.StatusMisdirectedRequest, platform.ResponseMeta{}, "")
	}
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	rejected := platform.ResponseMeta{ID: meta.ID, NotExecuted: true}
	deadline := time.Now().Add(meta.Timeout)
	select {
	case u.queue <- struct{}{}:
	default:
		return u.write(c, http.StatusServiceUnavailable, rejected, "full\n")
	}
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	select {
	case u.slots <- struct{}{}:
		<-u.queue
	case <-late.C:
		<-u.queue
		return u.write(c, http.StatusServiceUnavailable, rejected, "late\n")
	}
	defer func() { <-u.slots }()
	u.runs.add(meta.ID, u.id)
	time.Sleep(u.work)
	signed := platform.ResponseMeta{ID: meta.ID, Signed: true}
	if time.Now().After(deadline) {
		return u.write(c, http.StatusGatewayTimeout, signed, "late\n")
	}
	return u.write(c, http.StatusOK, signed, "answer to "+meta.ID+"\n")
}

// healthPath is the path of the health check.
const healthPath = "/health"

// write sends a response and reports whether that succeeded.
func (u *upstream) write(c net.Conn, status int, meta platform.ResponseMeta, body string) bool {
	h := http.Header{"Keep-Alive": {"timeout=10"}}
	platform.SetResponseMeta(h, u.id, meta)
	resp := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	return resp.Write(c) == nil
}

// journal records which upstreams ran which request.
type journal struct {
	mu   sync.Mutex
	runs map[string][]string
}

func newJournal() *journal { return &journal{runs: map[string][]string{}} }

func (j *journal) add(request, upstream string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[request] = append(j.runs[request], upstream)
}

// of returns the upstreams that ran a request.
func (j *journal) of(request string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[request]
}
