package untrusted

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
)

// checkServed checks that one of ten ordinary requests to a service is served.
func (h *host) checkServed(path string) {
	var err error
	for range 10 {
		if err = h.send(path, strings.NewReader("small body"), nil); err == nil {
			break
		}
	}
	qt.Check(h.t, err, qt.IsNil, qt.Commentf("none of ten ordinary requests was served; error of the last; %s", h.logTail()))
}

// Bodies that stop on all connections that a daemon serves: they counted as busy, and each new connection was closed.
func TestSmallBodiesThatStopOnAllConnections(t *testing.T) {
	h := startHost(t, hostOptions{full: true})
	body := strings.Repeat("x", 15_000)
	gather(t, h, 600, func(m *member) {
		m.write(m.head("PUT", fmt.Sprint("Content-Length: ", len(body))) + body[1:])
	})
	h.checkServed(ordinaryPath)
	h.check()
}

// The same bodies byte by byte: none of them ever stops.
func TestTricklingBodiesOnAllConnections(t *testing.T) {
	h := startHost(t, hostOptions{full: true})
	gather(t, h, 600, func(m *member) {
		if !m.write(m.head("PUT", "Content-Length: 15000")) {
			return
		}
		go func() { // not counted, so that the crowd settles; ends when the connection is closed
			for _, err := m.Conn.Write([]byte("x")); err == nil; _, err = m.Conn.Write([]byte("x")) {
				time.Sleep(200 * time.Millisecond)
			}
		}()
	})
	h.checkServed(ordinaryPath)
	h.check()
}

// Streamed bodies that stopped kept the slots of their target until the deadline, and all other requests were refused.
func TestStreamedBodiesThatStop(t *testing.T) {
	tests := []struct {
		name    string
		framing string
		chunks  bool
	}{
		{"chunked", chunked, true},
		{"with a length", fmt.Sprint("Content-Length: ", 4*legalBody), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, hostOptions{slots: 2})
			piece := strings.Repeat("x", legalBody)
			if test.chunks {
				piece = fmt.Sprintf("%x\r\n", legalBody) + piece + "\r\n"
			}
			gather(t, h, 60, func(m *member) {
				ok := m.write(m.head("PUT", test.framing))
				for n := 0; ok && n < 3; n++ {
					ok = m.write(piece)
				}
			})
			h.checkServed(crowdPath)
			h.check()
		})
	}
}

// Callers that send thousands of requests ahead, on as many connections as a daemon serves and on more. None of ten ordinary
// requests was served: they had to wait behind the backlog, or their connections were closed.
func TestPipelinedRequestsOnManyConnections(t *testing.T) {
	tests := []struct{ connections, requests int }{{500, 2000}, {700, 200}}
	for _, test := range tests {
		for _, read := range []bool{false, true} {
			t.Run(fmt.Sprint(test.connections, " read ", read), func(t *testing.T) {
				h := startHost(t, hostOptions{slots: 2, timeout: 2 * time.Second, full: true})
				gather(t, h, test.connections, func(m *member) {
					if read {
						go func() { _, _ = io.Copy(io.Discard, m.Conn) }() // ends when the connection is closed
					}
					var b strings.Builder
					for request := range test.requests {
						b.WriteString(m.headOf(request, "GET"))
					}
					m.write(b.String())
				})
				h.checkServed(crowdPath)
				h.check()
			})
		}
	}
}

// Requests with bodies that are sent ahead: their callers did not count as having a backlog, so that all others waited behind them.
func TestPipelinedBodies(t *testing.T) {
	tests := []struct{ framing, body string }{
		{"Content-Length: 4", "body"},
		{chunked, "4\r\nbody\r\n0\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.framing, func(t *testing.T) {
			h := startHost(t, hostOptions{slots: 2, timeout: 2 * time.Second, full: true})
			gather(t, h, 500, func(m *member) {
				var b strings.Builder
				for request := range 2000 {
					b.WriteString(m.headOf(request, "PUT", test.framing) + test.body)
				}
				m.write(b.String())
			})
			h.checkServed(crowdPath)
			h.check()
		})
	}
}

// All that untrusted callers send, at the same time, on a host with the memory of the smallest ones, with and without their
// little processor time, and on one of the usual size, on more connections than it serves.
func TestMixedCrowd(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s", legalBody, strings.Repeat("x", legalBody-1))
	lines := shortLines(maxHeaderBytes - otherLines)
	kinds := []func(m *member){
		func(m *member) { m.write(m.head("PUT", chunked) + chunk) },
		func(m *member) {
			m.write(m.head("PUT", append([]string{"Content-Length: 4000"}, lines...)...) + strings.Repeat("x", 3999))
		},
		func(m *member) { m.write(strings.TrimSuffix(m.head("GET", lines...), "\r\n")) },
		func(m *member) {
			m.write(m.head("PUT", "Content-Length: 15000", standin.ServiceTimeHeader+": 1m") + strings.Repeat("x", 15_000))
		},
		func(m *member) {
			var b strings.Builder
			for request := range 100 {
				b.WriteString(m.headOf(request, "GET", lines[:1000]...))
			}
			m.write(b.String())
		},
		func(m *member) { m.write(m.head("GET", standin.ResponseSizeHeader+": 250000")) },
		func(m *member) {
			m.write(m.head("PUT", chunked, standin.ServiceTimeHeader+": 1m") + "1\r\nx\r\n0\r\n" + strings.Join(lines[:600], "\r\n") + "\r\n\r\n")
		},
	}
	tests := []struct {
		memory int
		share  float64 // of a core; 0 means all of it
	}{{144, 0}, {144, 0.12}, {284, 0}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.memory, " MB, share ", test.share), func(t *testing.T) {
			h := startHost(t, hostOptions{memory: test.memory, slots: 20, full: true})
			if test.share > 0 {
				h.slowDown(test.share)
			}
			gather(t, h, connectionsPerMB*test.memory+50, func(m *member) { kinds[m.n%len(kinds)](m) })
			h.checkServed(ordinaryPath)
			h.check()
		})
	}
}

// Responses that are not read on all connections that a daemon serves: each new connection was closed until the deadlines of the
// responses.
func TestUnreadResponsesOnAllConnections(t *testing.T) {
	h := startHost(t, hostOptions{respond: 8 << 20, full: true, descriptors: 600})
	gather(t, h, 330, func(m *member) { m.write(m.head("GET")) })
	for range 10 { // a caller that comes back
		if h.ordinary() == nil {
			break
		}
		time.Sleep(time.Second)
	}
	h.check()
}

// Bytes that a host did not read, as it had no memory for them, stayed in the kernel, which counts them as memory of the process.
func TestUnreadBytesOfBodies(t *testing.T) {
	h := startHost(t, hostOptions{})
	body := strings.Repeat("x", maxBodyBytes)
	gather(t, h, 150, func(m *member) {
		if m.write(m.head("PUT", fmt.Sprint("Content-Length: ", maxBodyBytes), standin.ReadDelayHeader+": 1m")) {
			m.write(body)
		}
	})
	h.check()
}

// Bodies that stop of requests that are refused without their body: the server waited for the rest without a bound.
func TestRefusedBodiesThatStop(t *testing.T) {
	tests := []struct{ name, from, to string }{
		{"no route", "PUT " + crowdPath, "PUT /unknown/"},
		{"no request ID", "crowd-", "\r\nNothing: "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, hostOptions{full: true})
			gather(t, h, 600, func(m *member) {
				head := strings.Replace(m.head("PUT", "Content-Length: 4000"), test.from, test.to, 1)
				m.write(head + strings.Repeat("x", 3999))
			})
			h.checkServed(ordinaryPath)
			h.check()
		})
	}
}
