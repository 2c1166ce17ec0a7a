package ports

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Another test must not get a port while its program is being restarted, although
// no process listens on the port then.
func TestPortStaysReserved(t *testing.T) {
	c := qt.New(t)
	mine := Free(t)
	lastOffset.Add(-1) // makes Free try the same port again, as another process would
	c.Check(Free(t), qt.Not(qt.Equals), mine)
}

func TestPortIsReleasedAtEndOfTest(t *testing.T) {
	c := qt.New(t)
	var address string
	t.Run("user", func(t *testing.T) { address = Free(t).String() })
	held, err := net.ListenPacket("udp4", address)
	c.Assert(err, qt.IsNil)
	c.Check(held.Close(), qt.IsNil)
}
