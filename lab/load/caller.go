// Package load drives callers against running daemons and checks what they are
// promised: each gets the whole answer to its own request, "not run" is true,
// and a request that may not be repeated runs at most once.
//
// # Usage
//
//	r := load.New(load.Config{Entries: addresses, Duration: 20 * time.Second, Kinds: load.Demo()})
//	report, err := r.Run(ctx)
package load

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/redwingtally/redwingtally/entry"
	"github.com/redwingtally/redwingtally/internal/standin"
	"github.com/redwingtally/redwingtally/lane"
	"github.com/redwingtally/redwingtally/target"
)

// A Kind is one kind of callers.
type Kind struct {
	// Name is the row in the report.
	Name string
	// Service, Method and Path say what is asked for.
	Service string
	Method  string
	Path    string
	// Keys is the number of different keys; 0 sends none.
	Keys int
	// Work is how long a target works on a request.
	Work time.Duration
	// Body is the size of a request's body in bytes.
	Body int
	// Answer is the size of an answer's body in bytes; 0 leaves it to the target.
	Answer int
	// OnceOnly sends a request id, and repeats with it while the outcome is unknown.
	OnceOnly bool
	// Callers is how many send at a time.
	Callers int
	// Pause is the mean time between two requests of a caller.
	Pause time.Duration
	// Timeout is how long a caller waits.
	Timeout time.Duration
}

// A caller sends requests of one kind, one after the other.
type caller struct {
	kind    Kind
	entries []netip.AddrPort
	pools   map[netip.AddrPort]*lane.Pool
	random  *rand.Rand
	number  int
	sent    int
}

// result is what a caller saw of one request.
type result struct {
	class   class
	latency time.Duration
	id      string
	notRun  bool
	detail  string
}

type class int

const (
	classOK class = iota
	classNotRun
	classUnknown
	classRan
	classBroken
	classWrong
)

// exchange is one request and its answer.
type exchange struct {
	status int
	notRun string
	reason string
	echo   string
	digest string
	length int
	err    error
}

func (c *caller) body() []byte {
	b := make([]byte, c.kind.Body)
	for i := range b {
		b[i] = byte(c.number + c.sent + i)
	}
	return b
}

// one sends a request and checks the answer.
func (c *caller) one(ctx context.Context) result {
	c.sent++
	mark := fmt.Sprintf("%s-%d-%d", c.kind.Name, c.number, c.sent)
	began := time.Now()
	body := c.body()
	id := ""
	if c.kind.OnceOnly {
		if id = c.newID(ctx); id == "" {
			return result{class: classNotRun, latency: time.Since(began)}
		}
	}
	var r result
	for {
		e := c.exchange(ctx, mark, id, body)
		r = c.judge(e, mark, body)
		r.id = id
		r.latency = time.Since(began)
		if !c.kind.OnceOnly || r.class == classOK || r.class == classWrong || r.class == classRan {
			return r
		}
		if time.Since(began) > c.kind.Timeout || ctx.Err() != nil {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *caller) judge(e exchange, mark string, body []byte) result {
	switch {
	case e.err != nil:
		return result{class: classBroken, detail: e.err.Error()}
	case e.notRun == "true":
		return result{class: classNotRun, notRun: true, detail: e.reason}
	case e.notRun == "false" && e.status != 200:
		return result{class: classRan, detail: e.reason}
	case e.notRun == "unknown" || e.status != 200:
		return result{class: classUnknown, detail: e.reason}
	case e.notRun == "false":
		return result{class: classOK}
	}
	want := fnv.New64a()
	_, _ = want.Write(body)
	if e.echo != mark || e.digest != hex.EncodeToString(want.Sum(nil)) || c.kind.Answer > 0 && e.length != c.kind.Answer {
		return result{class: classWrong, detail: fmt.Sprintf("asked as %s, answered as %s with %d bytes", mark, e.echo, e.length)}
	}
	return result{class: classOK}
}

func (c *caller) pick() *lane.Pool {
	a := c.entries[c.random.IntN(len(c.entries))]
	p, ok := c.pools[a]
	if !ok {
		p = lane.NewPool(a, 1)
		c.pools[a] = p
	}
	return p
}

// dial takes a connection to any entry that accepts one, as a balancer would.
func (c *caller) dial(ctx context.Context) (*lane.Conn, *lane.Pool, error) {
	var err error
	for range 4 * len(c.entries) {
		p := c.pick()
		var l *lane.Conn
		if l, _, err = p.Take(ctx); err == nil {
			return l, p, nil
		}
	}
	return nil, nil, err
}

func (c *caller) newID(ctx context.Context) string {
	for range 10 {
		call, cancel := context.WithTimeout(ctx, time.Second)
		reply, err := c.pick().RoundTrip(call, lane.Request{Method: "POST", Path: "/redwingtally/request-id"})
		cancel()
		var v struct {
			RequestID string `json:"request_id"`
		}
		if err == nil && json.Unmarshal(reply.Body, &v) == nil && v.RequestID != "" {
			return v.RequestID
		}
	}
	return ""
}

func (c *caller) exchange(ctx context.Context, mark, id string, body []byte) exchange {
	ctx, cancel := context.WithTimeout(ctx, c.kind.Timeout)
	defer cancel()
	l, p, err := c.dial(ctx)
	if err != nil {
		return exchange{err: err}
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.build(req, mark, id, body)
	if err := l.Do(ctx, req, resp); err != nil {
		return exchange{err: err}
	}
	e := exchange{
		status: resp.StatusCode(),
		notRun: string(resp.Header.Peek(target.NotRunHeader)),
		reason: string(resp.Header.Peek(target.ReasonHeader)),
		echo:   string(resp.Header.Peek("Standin-Echo")),
		digest: string(resp.Header.Peek("Standin-Digest")),
	}
	e.length, e.err = drain(resp)
	if e.err != nil {
		l.Close()
		return e
	}
	if l.Finish(resp) {
		p.Put(l)
	}
	return e
}

func (c *caller) build(req *protocol.Request, mark, id string, body []byte) {
	req.SetMethod(c.kind.Method)
	req.SetRequestURI("http://entry/" + c.kind.Service + c.kind.Path)
	req.Header.Set("Standin-Echo", mark)
	req.Header.Set(standin.WorkHeader, c.kind.Work.String())
	if c.kind.Answer > 0 {
		req.Header.Set("Standin-Answer-Bytes", strconv.Itoa(c.kind.Answer))
	}
	if c.kind.Keys > 0 {
		req.Header.Set(entry.KeyHeader, "key-"+strconv.Itoa(c.random.IntN(c.kind.Keys)))
	}
	if id != "" {
		req.Header.Set(target.RequestIDHeader, id)
	}
	if len(body) > 0 {
		req.SetBodyStream(bytes.NewReader(body), len(body))
	}
}
