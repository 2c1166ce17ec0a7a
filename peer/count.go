package peer

import (
	"context"
	"net"
)

// A Counter is told of bytes that were received and sent.
type Counter func(received, sent int)

// countedConn tells a Counter of its bytes.
type countedConn struct {
	net.Conn
	count Counter
}

// Read reads and counts.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n, 0)
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(0, n)
	return n, err
}

type countedListener struct {
	net.Listener
	count Counter
}

// Accept accepts a connection whose bytes are counted.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, count: l.count}, nil
}

// CountListener returns a listener whose connections' bytes are counted.
func CountListener(l net.Listener, count Counter) net.Listener {
	return countedListener{Listener: l, count: count}
}

// countDial wraps a dial function so that its connections' bytes are counted.
func countDial(dial func(ctx context.Context, network, address string) (net.Conn, error), count Counter) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: c, count: count}, nil
	}
}
