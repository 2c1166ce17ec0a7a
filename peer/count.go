package peer

import (
	"context"
	"net"
)

// A ByteCounter is called with the numbers of bytes received and sent.
type ByteCounter func(received, sent int)

// countingConn is a connection that reports its traffic to a ByteCounter.
type countingConn struct {
	net.Conn
	count ByteCounter
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n, 0)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(0, n)
	return n, err
}

// countingListener is a listener whose connections report their traffic to a
// ByteCounter.
type countingListener struct {
	net.Listener
	count ByteCounter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, count: l.count}, nil
}

// NewCountingListener returns a listener whose connections report their traffic to
// count.
func NewCountingListener(l net.Listener, count ByteCounter) net.Listener {
	return countingListener{Listener: l, count: count}
}

// countingDial wraps a dial function so that its connections report their traffic
// to count.
func countingDial(dial func(ctx context.Context, network, address string) (net.Conn, error), count ByteCounter) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: c, count: count}, nil
	}
}
