package edge

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/metric"
)

// startReader starts a server that reads bodies of up to a limit and passes the results on.
func startReader(t *testing.T, limit int64) (*httptest.Server, <-chan readResult) {
	budget := newRequestBudget(8<<20, 6<<20, slog.New(slog.DiscardHandler), metric.New())
	results := make(chan readResult, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		memory := budget.open(func() {})
		defer memory.close()
		b, err := readBody(w, r, memory, limit, time.Now().Add(5*time.Second))
		result := readResult{b.length, b.rest != nil, nil, err}
		if err == nil {
			parts := []io.Reader{bytes.NewReader(b.head)}
			for _, block := range b.more {
				parts = append(parts, bytes.NewReader(block))
			}
			if b.rest != nil {
				parts = append(parts, b.rest)
			}
			result.text, result.err = io.ReadAll(io.MultiReader(parts...))
		}
		results <- result
	}))
	t.Cleanup(server.Close)
	return server, results
}

type readResult struct {
	length   int64
	streamed bool
	text     []byte
	err      error
}

// Bodies at the borders of the blocks were cut or taken for longer ones.
func TestReadBodyKeepsAllBytes(t *testing.T) {
	server, results := startReader(t, 0)
	sizes := []int{
		0, 1, firstBodyBlock - 1, firstBodyBlock, firstBodyBlock + 1, 3 * firstBodyBlock, maxJoinedBody, maxJoinedBody + 1,
		maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 3 * maxBufferedBody,
	}
	for _, size := range sizes {
		for _, chunked := range []bool{false, true} {
			c := qt.New(t)
			text := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
			var sent io.Reader = bytes.NewReader(text)
			if chunked {
				sent = io.MultiReader(sent) // hides the length
			}
			resp, err := http.Post(server.URL, "", sent)
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			got := <-results
			comment := qt.Commentf("%d bytes, chunked: %v", size, chunked)
			c.Check(got.err, qt.IsNil, comment)
			c.Check(bytes.Equal(got.text, text), qt.IsTrue, comment)
			c.Check(got.streamed, qt.Equals, size > maxBufferedBody, comment)
			if !chunked || !got.streamed {
				c.Check(got.length, qt.Equals, int64(size), comment)
			}
		}
	}
}

// A body that breaks off must not be taken for a complete one.
func TestBodyThatBreaksOffIsIncomplete(t *testing.T) {
	tests := []struct {
		name string
		text string
	}{
		{"with a length", "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 99)},
		{"in a chunk", "Transfer-Encoding: chunked\r\n\r\n64\r\n" + strings.Repeat("x", 99)},
		{"after a chunk", "Transfer-Encoding: chunked\r\n\r\n64\r\n" + strings.Repeat("x", 100) + "\r\n"},
		{"after the first block", "Content-Length: 10000\r\n\r\n" + strings.Repeat("x", firstBodyBlock)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server, results := startReader(t, 0)
			conn, err := net.Dial("tcp4", server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, "PUT / HTTP/1.1\r\nHost: quotes.example\r\n"+test.text)
			c.Assert(err, qt.IsNil)
			c.Assert(conn.Close(), qt.IsNil)
			c.Check((<-results).err, qt.Equals, io.ErrUnexpectedEOF)
		})
	}
}
