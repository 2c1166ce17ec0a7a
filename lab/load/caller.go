// Package load generates load against running daemons and checks three
// guarantees: every caller gets the complete response to its own request, a
// request reported as not run did not run, and an at-most-once request runs at most
// once.
//
// # Usage
//
//	r := load.New(load.Config{Entries: addresses, Duration: 20 * time.Second, Groups: load.DemoGroups()})
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

// A CallerGroup describes a group of callers that send requests of the same form.
type CallerGroup struct {
	// Name labels the row in the report.
	Name string
	// Service, Method and Path address the request.
	Service string
	Method  string
	Path    string
	// KeyCount is the number of distinct keys; 0 sends requests without a key.
	KeyCount int
	// ServiceTime is the service time of a request at the target.
	ServiceTime time.Duration
	// RequestBytes is the size of the request body in bytes.
	RequestBytes int
	// ResponseBytes is the size of the response body in bytes; 0 requests no particular size.
	ResponseBytes int
	// AtMostOnce sends a request id and retries with the same id until the timeout
	// while the request has neither been answered nor reported as run.
	AtMostOnce bool
	// Callers is the number of concurrent callers.
	Callers int
	// MeanPause is the mean pause between two requests of a caller; pauses are
	// exponentially distributed.
	MeanPause time.Duration
	// Timeout bounds one attempt, and the retries of a request with an id.
	Timeout time.Duration
}

// caller sends the requests of one caller in a group, one after the other.
type caller struct {
	group   CallerGroup
	entries []netip.AddrPort
	pools   map[netip.AddrPort]*lane.Pool
	random  *rand.Rand
	index   int
	sent    int
}

// result is the outcome of one request as seen by its caller.
type result struct {
	outcome outcome
	latency time.Duration
	id      string
	notRun  bool
	detail  string
}

type outcome int

const (
	outcomeOK outcome = iota
	outcomeNotRun
	outcomeUnknown
	outcomeRan
	outcomeConnectionFailed
	outcomeMismatched
)

// exchange is the outcome of one attempt: the relevant parts of the response, or err.
type exchange struct {
	status int
	notRun string
	reason string
	echo   string
	digest string
	length int
	err    error
}

func (c *caller) newBody() []byte {
	b := make([]byte, c.group.RequestBytes)
	for i := range b {
		b[i] = byte(c.index + c.sent + i)
	}
	return b
}

// call sends one request, with retries if it carries an id, and checks the response.
func (c *caller) call(ctx context.Context) result {
	c.sent++
	mark := fmt.Sprintf("%s-%d-%d", c.group.Name, c.index, c.sent)
	began := time.Now()
	body := c.newBody()
	id := ""
	if c.group.AtMostOnce {
		if id = c.newID(ctx); id == "" {
			return result{outcome: outcomeNotRun, latency: time.Since(began)}
		}
	}
	var r result
	for {
		e := c.exchange(ctx, mark, id, body)
		r = c.classify(e, mark, body)
		r.id = id
		r.latency = time.Since(began)
		if !c.group.AtMostOnce || r.outcome == outcomeOK || r.outcome == outcomeMismatched || r.outcome == outcomeRan {
			return r
		}
		if time.Since(began) > c.group.Timeout || ctx.Err() != nil {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// classify determines the outcome of an attempt. A response is the complete one to
// its request if it echoes mark, has the digest of the request body and has the
// requested size. A stored response, which is marked as run, is not checked.
func (c *caller) classify(e exchange, mark string, body []byte) result {
	switch {
	case e.err != nil:
		return result{outcome: outcomeConnectionFailed, detail: e.err.Error()}
	case e.notRun == "true":
		return result{outcome: outcomeNotRun, notRun: true, detail: e.reason}
	case e.notRun == "false" && e.status != 200:
		return result{outcome: outcomeRan, detail: e.reason}
	case e.notRun == "unknown" || e.status != 200:
		return result{outcome: outcomeUnknown, detail: e.reason}
	case e.notRun == "false":
		return result{outcome: outcomeOK}
	}
	want := fnv.New64a()
	_, _ = want.Write(body)
	if e.echo != mark || e.digest != hex.EncodeToString(want.Sum(nil)) || c.group.ResponseBytes > 0 && e.length != c.group.ResponseBytes {
		return result{outcome: outcomeMismatched, detail: fmt.Sprintf("response to request %s echoes %s and has %d bytes", mark, e.echo, e.length)}
	}
	return result{outcome: outcomeOK}
}

func (c *caller) randomPool() *lane.Pool {
	a := c.entries[c.random.IntN(len(c.entries))]
	p, ok := c.pools[a]
	if !ok {
		p = lane.NewPool(a, 1)
		c.pools[a] = p
	}
	return p
}

// dial returns a connection to a random entry. If an entry does not accept the
// connection, it tries another random one, as a load balancer would.
func (c *caller) dial(ctx context.Context) (*lane.Conn, *lane.Pool, error) {
	var err error
	for range 4 * len(c.entries) {
		p := c.randomPool()
		var l *lane.Conn
		if l, _, err = p.Take(ctx); err == nil {
			return l, p, nil
		}
	}
	return nil, nil, err
}

// newID requests a new request id and returns it, or "" after ten failed attempts.
func (c *caller) newID(ctx context.Context) string {
	for range 10 {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		resp, err := c.randomPool().RoundTrip(callCtx, lane.Request{Method: "POST", Path: "/redwingtally/request-id"})
		cancel()
		var v struct {
			RequestID string `json:"request_id"`
		}
		if err == nil && json.Unmarshal(resp.Body, &v) == nil && v.RequestID != "" {
			return v.RequestID
		}
	}
	return ""
}

// exchange sends one attempt and reads the complete response.
func (c *caller) exchange(ctx context.Context, mark, id string, body []byte) exchange {
	ctx, cancel := context.WithTimeout(ctx, c.group.Timeout)
	defer cancel()
	l, p, err := c.dial(ctx)
	if err != nil {
		return exchange{err: err}
	}
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.fillRequest(req, mark, id, body)
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
	e.length, e.err = discardBody(resp)
	if e.err != nil {
		l.Close()
		return e
	}
	if l.Finish(resp) {
		p.Put(l)
	}
	return e
}

func (c *caller) fillRequest(req *protocol.Request, mark, id string, body []byte) {
	req.SetMethod(c.group.Method)
	req.SetRequestURI("http://entry/" + c.group.Service + c.group.Path)
	req.Header.Set("Standin-Echo", mark)
	req.Header.Set(standin.ServiceTimeHeader, c.group.ServiceTime.String())
	if c.group.ResponseBytes > 0 {
		req.Header.Set("Standin-Answer-Bytes", strconv.Itoa(c.group.ResponseBytes))
	}
	if c.group.KeyCount > 0 {
		req.Header.Set(entry.KeyHeader, "key-"+strconv.Itoa(c.random.IntN(c.group.KeyCount)))
	}
	if id != "" {
		req.Header.Set(target.RequestIDHeader, id)
	}
	if len(body) > 0 {
		req.SetBodyStream(bytes.NewReader(body), len(body))
	}
}
