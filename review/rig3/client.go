package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// class is a kind of requests.
type class struct {
	method, path string
	deadline     time.Duration
}

// outcome is how a client attempt ended.
type outcome struct {
	id, path string
	at       time.Time // when it was sent
	took     time.Duration
	status   int // 0 if the connection ended without a complete answer
	answer   string
	kept     bool // it was sent on a connection that had carried a request before
}

// client sends requests one after the other on kept connections.
type client struct {
	entry string
	conn  net.Conn
	r     *bufio.Reader
	used  bool
}

// record collects outcomes.
type record struct {
	mu       sync.Mutex
	outcomes []outcome
	next     int
}

func (r *record) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return "r" + strconv.Itoa(r.next)
}

func (r *record) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// send sends one request and records its outcome.
func (c *client) send(rec *record, k class) outcome {
	o := outcome{id: rec.newID(), path: k.path, at: time.Now(), kept: c.used}
	o.status, o.answer = c.exchange(o.id, k)
	o.took = time.Since(o.at)
	rec.add(o)
	return o
}

func (c *client) exchange(id string, k class) (int, string) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.entry, time.Second)
		if err != nil {
			return -1, err.Error() // nothing was sent
		}
		c.conn, c.r, c.used = conn, bufio.NewReader(conn), false
	}
	_ = c.conn.SetDeadline(time.Now().Add(k.deadline + 500*time.Millisecond))
	req, err := http.NewRequest(k.method, "http://shop.example"+k.path, nil)
	if err != nil {
		return -1, err.Error()
	}
	platform.SetRequestMeta(req.Header, platform.RequestMeta{ID: id, Timeout: k.deadline})
	err = req.Write(c.conn)
	if err != nil {
		c.close()
		return 0, err.Error()
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: k.method})
	if err != nil {
		c.close()
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()
		return 0, err.Error()
	}
	c.used = true
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, string(body)
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.used = nil, false
}
