package rig2

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/redwingtally/redwingtally/platform"
)

// HostName is the host of all routes.
const HostName = "hulo84.example"

// A Request is one attempt of a client on a connection of its own.
type Request struct {
	Method, Path, ID string
	Body             string
	// Deadline is the time that the client waits.
	Deadline time.Duration
}

// An Answer is what a client got. Status is 0 if there was no complete answer.
type Answer struct {
	Status int
	Stamp  string
	Body   string
	Header http.Header
	Took   time.Duration
	Err    error
}

// String describes the answer.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.Took.Milliseconds(), a.Err)
	}
	return fmt.Sprintf("%d after %d ms, stamp %q", a.Status, a.Took.Milliseconds(), a.Stamp)
}

// connectTimeout is the time that clients allow a new connection, according to the pages.
const connectTimeout = time.Second

// Head returns the head of the request.
func (r Request) Head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, HostName)
	h := http.Header{}
	platform.SetRequestMeta(h, platform.RequestMeta{ID: r.ID, Timeout: r.Deadline})
	_ = h.Write(&b) // a strings.Builder returns no error
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// stamp returns the stamp of an upstream in the headers of an answer, or "" if there is none.
func stamp(h http.Header) string {
	signature := http.Header{}
	platform.CopySignature(signature, h)
	for _, values := range signature {
		return strings.Join(values, ",")
	}
	return ""
}

// Send sends the request to a daemon on a new connection and reads the answer.
func Send(to netip.AddrPort, r Request) Answer {
	started := time.Now()
	dialer := net.Dialer{Timeout: connectTimeout}
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return Answer{Err: err, Took: time.Since(started)}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(started.Add(r.Deadline))
	if _, err := io.WriteString(conn, r.Head()+r.Body); err != nil {
		return Answer{Err: err, Took: time.Since(started)}
	}
	return ReadAnswer(bufio.NewReader(conn), r.Method, started)
}

// ReadAnswer reads one answer to a request that was sent at a time.
func ReadAnswer(reader *bufio.Reader, method string, started time.Time) Answer {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err, Took: time.Since(started)}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return Answer{Err: fmt.Errorf("status %d, body: %w", resp.StatusCode, err), Took: time.Since(started)}
	}
	return Answer{Status: resp.StatusCode, Stamp: stamp(resp.Header), Body: string(body), Header: resp.Header, Took: time.Since(started)}
}
