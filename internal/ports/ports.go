// Package ports reserves loopback addresses on which the programs under test listen.
//
// A port stays reserved until the end of its test, even while the program that
// uses it is restarted. The reservation is a socket on the UDP port of the same
// number: Free tries to bind that port first, and the programs use only TCP.
package ports

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
)

const (
	// firstPort and portCount define a range below the ephemeral ports, from which
	// outgoing connections are made.
	firstPort = 23000
	portCount = 9000
	// pidSpacing is the distance between the first ports of test processes with
	// consecutive process ids, which often run at the same time.
	pidSpacing = 100
)

// lastOffset is the offset from firstPort of the port that Free tried last.
var lastOffset atomic.Int32

func init() {
	lastOffset.Store(int32(os.Getpid() % (portCount / pidSpacing) * pidSpacing))
}

// Free returns a loopback address on which no process listens, and reserves it
// until the end of the test.
func Free(tb testing.TB) netip.AddrPort {
	tb.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastOffset.Add(1)%portCount)
		if reserve(tb, address) {
			return netip.MustParseAddrPort(address)
		}
	}
	tb.Fatal("ports: every port of the range is in use")
	return netip.AddrPort{}
}

// reserve reserves a port until the end of the test. It reports whether the port
// was free.
func reserve(tb testing.TB, address string) bool {
	held, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		_ = held.Close()
		return false
	}
	_ = ln.Close()
	tb.Cleanup(func() { _ = held.Close() })
	return true
}
