package edge

import (
	"bytes"
	"net/url"
	"strings"
)

// maxAheadHead bounds the size of a head that can be split from the bytes that follow it. Longer ones are handled
// without reading ahead.
const maxAheadHead = 8 << 10

// framing tells where a request ends.
type framing int

const (
	// incomplete is the framing of a head whose end has not arrived.
	incomplete framing = iota
	// bodyless is that of a GET or HEAD request that ends with its head and leaves the connection open.
	bodyless
	// sized is that of a request that states the length of its body, or of one without a body and with another method.
	sized
	// unknown is that of all others. Only net/http reads them.
	unknown
)

var (
	headEnd       = []byte("\r\n\r\n")
	versionSuffix = []byte(" HTTP/1.1")
)

// frameHead returns how a request that begins with b is framed, the length of its head, and that of its body.
//
// The result is unknown unless every parser finds the same end: lines end with CR LF, none begins with a space, and no
// header that is present changes the framing other than one Content-Length. It does not validate the rest of the head, which
// net/http does before it calls a handler.
func frameHead(b []byte) (f framing, head int, body int64) {
	end := bytes.Index(b, headEnd)
	if end < 0 {
		return incomplete, 0, 0
	}
	head = end + len(headEnd)
	line, rest, _ := bytes.Cut(b[:end+2], headEnd[:2])
	if !bytes.HasSuffix(line, versionSuffix) || bytes.IndexByte(line, '\n') >= 0 {
		return unknown, head, 0
	}
	f = sized
	if bytes.HasPrefix(line, []byte("GET /")) || bytes.HasPrefix(line, []byte("HEAD /")) {
		f = bodyless
	} else if line[0] < 'A' || line[0] > 'Z' || bytes.HasPrefix(line, []byte("CONNECT ")) || bytes.HasPrefix(line, []byte("PRI ")) {
		return unknown, head, 0
	}
	stated := false
	for len(rest) > 0 {
		i := bytes.IndexByte(rest, '\n')
		if i < 1 || rest[i-1] != '\r' || rest[0] == ' ' || rest[0] == '\t' {
			return unknown, head, 0
		}
		line, rest = rest[:i-1], rest[i+1:]
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			return unknown, head, 0
		}
		switch {
		case !mayFrame(len(name)):
		case equalFold(name, "Content-Length"):
			n, ok := parseLength(value)
			if !ok || stated {
				return unknown, head, 0
			}
			f, body, stated = sized, n, true
		case equalFold(name, "Connection"):
			if !equalFold(bytes.Trim(value, " \t"), "keep-alive") {
				return unknown, head, 0
			}
		case equalFold(name, "Transfer-Encoding"), equalFold(name, "Expect"), equalFold(name, "Upgrade"), equalFold(name, "Trailer"),
			equalFold(name, "TE"), equalFold(name, "Proxy-Connection"):
			return unknown, head, 0
		}
	}
	return f, head, body
}

// mayFrame reports whether one of the headers that frameHead looks for has a name of n bytes.
func mayFrame(n int) bool {
	switch n {
	case len("TE"), len("Expect"), len("Upgrade"), len("Connection"), len("Content-Length"), len("Proxy-Connection"), len("Transfer-Encoding"):
		return true
	}
	return false
}

func equalFold(b []byte, s string) bool { return len(b) == len(s) && strings.EqualFold(string(b), s) }

// parseLength returns the value of a Content-Length header of up to 18 digits.
func parseLength(value []byte) (int64, bool) {
	value = bytes.Trim(value, " \t")
	if len(value) == 0 || len(value) > 18 {
		return 0, false
	}
	var n int64
	for _, d := range value {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = 10*n + int64(d-'0')
	}
	return n, true
}

// isPlainHead reports whether a bodyless head is one that net/http certainly accepts. A request that net/http answered with
// 400 would close the connection, which those behind it must not have been passed on for.
func isPlainHead(head []byte) bool {
	line, rest, _ := bytes.Cut(head, headEnd[:2])
	target := string(bytes.TrimSuffix(line[bytes.IndexByte(line, ' ')+1:], versionSuffix))
	if strings.HasPrefix(target, "//") || !isURIText(target) {
		return false
	}
	if _, err := url.ParseRequestURI(target); err != nil {
		return false
	}
	hosts := 0
	for len(rest) > len(headEnd)-2 {
		line, rest, _ = bytes.Cut(rest, headEnd[:2])
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) == 0 || bytes.ContainsFunc(name, func(r rune) bool { return !isNameChar(r) }) {
			return false
		}
		if bytes.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r > '~' }) {
			return false
		}
		if equalFold(name, "Host") {
			hosts++
			if !isHost(bytes.Trim(value, " \t")) {
				return false
			}
		}
	}
	return hosts == 1
}

func isAlphanumeric(r rune) bool {
	return '0' <= r && r <= '9' || 'A' <= r && r <= 'Z' || 'a' <= r && r <= 'z'
}

func isNameChar(r rune) bool { return isAlphanumeric(r) || r == '-' || r == '_' }

func isURIText(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return !isAlphanumeric(r) && !strings.ContainsRune("/-._~!$&'()*+,;=:@?%", r) })
}

func isHost(b []byte) bool {
	return len(b) > 0 && !bytes.ContainsFunc(b, func(r rune) bool { return !isAlphanumeric(r) && !strings.ContainsRune("-.:", r) })
}
