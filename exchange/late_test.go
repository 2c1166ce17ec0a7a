package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/platform"
)

// startRepeatingTarget starts a target that responds to each request with the next of texts, in which ID stands for the
// request's ID. On each connection it sends every response a second time when the next request has arrived.
func startRepeatingTarget(t *testing.T, texts ...string) (*Client, *int) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	next := make(chan string, len(texts))
	for _, text := range texts {
		next <- text
	}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader, last := bufio.NewReader(c), ""
		for req, err := http.ReadRequest(reader); err == nil; req, err = http.ReadRequest(reader) {
			_, _ = io.Copy(io.Discard, req.Body)
			text := strings.ReplaceAll(<-next, "ID", platform.ReadRequestMeta(req.Header).ID)
			_, _ = io.WriteString(c, last+text) // fails if the client has closed the connection
			last = text
		}
	}
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go serve(c)
		}
	}()
	dials := 0
	client := New(netip.MustParseAddrPort(ln.Addr().String()), Options{
		MaxIdle: 4,
		Spawn:   func(f func()) error { go f(); return nil },
		OnDial:  func() { dials++ },
	})
	t.Cleanup(client.Close)
	return client, &dials
}

// A late second copy of a response was taken for the response to the retry of the same request, so that an upload was answered as
// not run while it ran.
func TestLateCopyIsNotTakenForTheResponseToARetry(t *testing.T) {
	refused := "HTTP/1.1 503 Full\r\n" + responseHeaders(platform.ResponseMeta{ID: "ID", NotExecuted: true}) + "Content-Length: 0\r\n\r\n"
	failed := "HTTP/1.1 500 Oops\r\n" + signedHeaders + "Content-Length: 0\r\n\r\n"
	tests := []struct {
		name  string
		ids   []string
		texts []string
		want  []int
		dials int
	}{
		{"retry after a refusal", []string{"a", "a"}, []string{refused, okResponse}, []int{503, 200}, 2},
		{"retry after a failure", []string{"a", "a"}, []string{failed, okResponse}, []int{500, 200}, 2},
		{"second retry", []string{"a", "a", "a"}, []string{refused, refused, okResponse}, []int{503, 503, 200}, 3},
		{"another request", []string{"a", "b"}, []string{refused, okResponse}, []int{503, 200}, 1},
		{"retry leaves the connection to others", []string{"a", "a", "b", "c"}, []string{refused, okResponse, okResponse, okResponse}, []int{503, 200, 200, 200}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			client, dials := startRepeatingTarget(t, test.texts...)
			for i, id := range test.ids {
				resp, err := client.Do(context.Background(), newRequest(id, "body"))
				c.Assert(err, qt.IsNil)
				resp.Close()
				c.Check(resp.Status, qt.Equals, test.want[i], qt.Commentf("request %d", i))
			}
			c.Check(*dials, qt.Equals, test.dials)
		})
	}
}

// Peers that send no response twice get requests with one ID over one connection.
func TestReuseIDs(t *testing.T) {
	c := qt.New(t)
	client, dials := startTarget(t, okResponse, okResponse)
	client.reuseIDs = true
	for range 2 {
		resp, err := client.Do(context.Background(), newRequest("check", ""))
		c.Assert(err, qt.IsNil)
		resp.Close()
	}
	c.Check(*dials, qt.Equals, 1)
}

func TestCarriedIDs(t *testing.T) {
	c := qt.New(t)
	var ids carriedIDs
	c.Check(ids.has("a"), qt.IsFalse)
	ids.add("a")
	for range carriedIDCount - 1 {
		c.Check(ids.has("a"), qt.IsTrue)
		ids.add("b")
	}
	c.Check(ids.has("a"), qt.IsTrue)
	ids.add("b")
	c.Check(ids.has("a"), qt.IsFalse)
	c.Check(ids.has("b"), qt.IsTrue)
}
