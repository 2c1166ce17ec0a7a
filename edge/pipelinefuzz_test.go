package edge

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// FuzzPipelineEqualsSequential compares the bytes of the responses with those of a server that handles one request after the
// other, for requests that arrive in pieces.
func FuzzPipelineEqualsSequential(f *testing.F) {
	kinds := []string{
		get("/a"), get("/b?size=5000"), "HEAD /c HTTP/1.1\r\nHost: h\r\n\r\n", post("/p", "x=1"), post("/p", get("/inner")), post("/p", ""),
		"POST /q HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
		"GET /g HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "GET /f HTTP/1.1\r\nhost:h\r\nConnection: Keep-Alive\r\nX: y\r\n\r\n",
		"GET /lf HTTP/1.1\nHost: h\n\n", "PUT /u HTTP/1.1\r\nHost: h\r\ncontent-length:  2 \r\n\r\nhi", get("/" + strings.Repeat("l", 9000)),
		"GET /fold HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", "GET /u%20u?x=%41 HTTP/1.1\r\nHost: h:80\r\nX-Y: \xe9\r\n\r\n",
		"GET /ws HTTP/1.1\r\nHost: h\r\n \r\n" + get("/after"),
	}
	for _, seed := range []string{"\x00\x00\x00", "\x00\x03\x00\x06\x00", "\x01\x04\x02\x08\x0b\x00", "\x09\x00\x00\x0c\x01", "\x05\x07\x0a\x0d\x00", "\x0e\x00"} {
		f.Add([]byte(seed), []byte{1, 0, 40, 200, 7})
		f.Add([]byte(seed), []byte{})
	}
	pipelined, sequential := newPipelineServer(f, testAhead), newPipelineServer(f, aheadLimits{})
	run := func(c *qt.C, s *pipelineServer, pieces [][]byte) (string, error) {
		caller := s.connectIn(c)
		defer func() { _ = caller.Close() }()
		go func() {
			for _, piece := range pieces {
				if _, err := caller.Write(piece); err != nil {
					return // the server rejected a request
				}
			}
		}()
		b, err := io.ReadAll(caller)
		return string(b), err
	}
	f.Fuzz(func(t *testing.T, order, cuts []byte) {
		if len(order) > 40 {
			return
		}
		var b bytes.Buffer
		for _, i := range order {
			b.WriteString(kinds[int(i)%len(kinds)])
		}
		b.WriteString("GET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		var pieces [][]byte
		all := b.Bytes()
		for _, cut := range cuts {
			if n := 1 + int(cut)*3; n < len(all) {
				pieces, all = append(pieces, all[:n]), all[n:]
			}
		}
		pieces = append(pieces, all)
		want, err := run(qt.New(t), sequential, pieces)
		if err != nil {
			return // reset with unread bytes behind a rejected request
		}
		got, err := run(qt.New(t), pipelined, pieces)
		if err != nil && !strings.HasSuffix(want, "GET /end ") && strings.HasPrefix(want, got) {
			return // the same
		}
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, want)
	})
}

// BenchmarkSequentialRequests measures requests of a caller that sends one at a time.
func BenchmarkSequentialRequests(b *testing.B) {
	for _, limits := range []aheadLimits{{}, newAheadLimits(8 << 20)} {
		b.Run(fmt.Sprint("ahead=", limits.requests), func(b *testing.B) {
			s := newPipelineServer(b, limits)
			caller := s.connect()
			s.c.Assert(caller.SetDeadline(time.Time{}), qt.IsNil)
			request := []byte("GET /quotes/1 HTTP/1.1\r\nHost: quotes.example\r\nUser-Agent: caller\r\nAccept: */*\r\nX-A: 12345678\r\nX-B: 2000\r\n\r\n")
			in := make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := caller.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := caller.Read(in); err != nil {
					b.Fatal(err)
				}
				s.started = s.started[:0]
			}
		})
	}
}
