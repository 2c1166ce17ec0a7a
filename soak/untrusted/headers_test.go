package untrusted

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/redwingtally/redwingtally/internal/standin"
)

// shortLines returns as many header lines with different names as fit into size bytes.
func shortLines(size int) []string {
	var lines []string
	for n := 0; ; n++ {
		name := ""
		for rest := n; rest >= 0; rest = rest/26 - 1 {
			name = string(rune('a'+rest%26)) + name
		}
		if name == "te" {
			continue // changes how a request is read
		}
		if size -= len(name) + len(":\r\n"); size < 0 {
			return lines
		}
		lines = append(lines, name+":")
	}
}

// otherLines is the room in bytes that the crowd's heads leave for the other lines of a request.
const otherLines = 400

// Headers of legal size were not counted: 2,000 requests with short lines took more than 284 MB while their bodies stopped.
func TestLongHeadersOfBodiesThatStop(t *testing.T) {
	tests := []struct {
		name  string
		lines []string
	}{
		{"short lines", shortLines(maxHeaderBytes - otherLines)},
		{"one long line", []string{"a: " + strings.Repeat("x", maxHeaderBytes-otherLines)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, hostOptions{})
			gather(t, h, 300, func(m *member) {
				lines := append([]string{"Content-Length: 4000"}, test.lines...)
				m.write(m.head("PUT", lines...) + strings.Repeat("x", 3999))
			})
			h.check()
		})
	}
}

// The same headers without their end.
func TestLongHeadersThatStop(t *testing.T) {
	h := startHost(t, hostOptions{})
	lines := shortLines(maxHeaderBytes - otherLines)
	gather(t, h, 300, func(m *member) {
		head := m.head("GET", lines...)
		m.write(head[:len(head)-2])
	})
	h.check()
}

// The same headers of requests that are sent ahead: the bytes of their heads were counted, not what they take when parsed.
func TestLongHeadersOfRequestsAhead(t *testing.T) {
	h := startHost(t, hostOptions{})
	lines := append(shortLines(7<<10), standin.ServiceTimeHeader+": 1m")
	gather(t, h, 100, func(m *member) {
		var b strings.Builder
		for request := range 30 {
			b.WriteString(m.headOf(request, "GET", lines...))
		}
		m.write(b.String())
	})
	h.check()
}

// Trailers were kept until the end of their requests, though they are not passed on.
func TestTrailersOfWaitingRequests(t *testing.T) {
	h := startHost(t, hostOptions{memory: 44, slots: 70})
	trailers := strings.Join(shortLines(4000), "\r\n") + "\r\n\r\n"
	gather(t, h, 345, func(m *member) {
		m.write(m.head("PUT", chunked, standin.ServiceTimeHeader+": 1m") + "1\r\nx\r\n0\r\n" + trailers)
	})
	h.check()
}

// A connection whose header was incomplete was closed for another one with a lock held, after which none was accepted any more.
func TestUnfinishedHeadersOnAllConnections(t *testing.T) {
	h := startHost(t, hostOptions{full: true})
	gather(t, h, 600, func(m *member) { m.write(m.head("GET")[:40]) })
	h.check()
}

// A request with a header of the configured size is served if nothing else is going on, also with little memory.
func TestLargestHeaderIsServed(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *http.Request)
	}{
		{"short lines", func(r *http.Request) {
			for _, line := range shortLines(maxHeaderBytes * 3 / 4) {
				r.Header[http.CanonicalHeaderKey(strings.TrimSuffix(line, ":"))] = []string{""} // written with a space more in each
			}
		}},
		{"long line", func(r *http.Request) { r.Header.Set("A", strings.Repeat("x", maxHeaderBytes-2*otherLines)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := startHost(t, hostOptions{})
			qt.Check(t, h.send(crowdPath, io.LimitReader(endless{}, legalBody), func(r *http.Request) {
				r.ContentLength = legalBody
				test.change(r)
			}), qt.IsNil, qt.Commentf("%s", h.logTail()))
			h.check()
		})
	}
}

// Trailers that a header announces took many times its bytes for as long as the body lasted.
func TestAnnouncedTrailers(t *testing.T) {
	h := startHost(t, hostOptions{})
	names := strings.ReplaceAll(strings.Join(shortLines(2*maxHeaderBytes), ","), ":", "")
	gather(t, h, 300, func(m *member) {
		m.write(m.head("PUT", chunked, "Trailer: "+names[:maxHeaderBytes-2*otherLines]) + "4\r\nbody\r\n")
	})
	h.check()
}
