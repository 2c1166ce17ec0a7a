package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in for an upstream. It runs up to slots requests at once, queues as many again, and rejects the others.
type upstream struct {
	id, service string
	work        time.Duration
	slots       chan struct{}
	queue       chan struct{}
	listener    net.Listener
	born        int64
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
		born: time.Now().UnixMilli(), runs: runs, conns: map[net.Conn]bool{},
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
		spec := map[string]any{
			"address": u.listener.Addr().String(), "born": u.born,
			"info": map[string]any{"service": u.service, "zone": "leicester", "version": "1", "slots": cap(u.slots)},
		}
		status := map[string]any{"state": "ready", "sequence": u.sequence, "warmupLeftMs": 0}
		if !s.isDown() {
			s.put("servers", u.id, spec, status)
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
	removed := s.remove("servers", u.id)
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
	id := q.Header.Get("X-Redwingtally-Request-Id")
	if q.URL.Path == "/health" {
		return u.write(c, "200 OK", "X-Redwingtally-Instance-Id: "+u.id+"\r\n", "")
	}
	if expected := q.Header.Get("X-Redwingtally-Expect-Instance"); expected != "" && expected != u.id {
		return u.write(c, "421 Misdirected Request", "X-Redwingtally-Instance-Id: "+u.id+"\r\n", "")
	}
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	echo := "X-Redwingtally-Request-Id: " + id + "\r\n"
	rejected := echo + "X-Redwingtally-Not-Executed: 1\r\n"
	deadline := time.Now().Add(10 * time.Second)
	if ms, err := strconv.Atoi(q.Header.Get("X-Redwingtally-Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	select {
	case u.queue <- struct{}{}:
	default:
		return u.write(c, "503 Service Unavailable", rejected, "full\n")
	}
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	select {
	case u.slots <- struct{}{}:
		<-u.queue
	case <-late.C:
		<-u.queue
		return u.write(c, "503 Service Unavailable", rejected, "late\n")
	}
	defer func() { <-u.slots }()
	u.runs.add(id, u.id)
	time.Sleep(u.work)
	if time.Now().After(deadline) {
		return u.write(c, "504 Gateway Timeout", echo+"X-Redwingtally-Server-Stamp: "+u.id+"."+id+"\r\n", "late\n")
	}
	return u.write(c, "200 OK", echo+"X-Redwingtally-Server-Stamp: "+u.id+"."+id+"\r\n", "answer to "+id+"\n")
}

// write sends a response and reports whether that succeeded.
func (u *upstream) write(c net.Conn, status, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return err == nil
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
