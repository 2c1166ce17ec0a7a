package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleTimeout returns the time for which a connection may be kept idle. It
// follows the timeout parameter of the Keep-Alive header, if there is one.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(s)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}

// hopByHop holds the headers that apply to a single connection or are written
// separately, and are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// CopyEndToEndHeaders copies the end-to-end headers from src to dst. It omits
// hop-by-hop headers and those that the Connection header names.
func CopyEndToEndHeaders(dst, src http.Header) {
	named := map[string]bool{}
	for _, v := range src["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !hopByHop[name] && !named[name] {
			dst[name] = values
		}
	}
}
