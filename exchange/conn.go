package exchange

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingtally/redwingtally/platform"
)

// isConnectionError reports whether err is a failure of the connection, as
// opposed to an invalid response.
func isConnectionError(err error) bool {
	var ne net.Error
	var se syscall.Errno
	return errors.As(err, &ne) || errors.As(err, &se) || errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// conn is a connection to a target.
type conn struct {
	*net.TCPConn
	limit   *limitedReader // bounds the bytes of a response's head
	reader  *bufio.Reader
	expires time.Time // when an idle connection must no longer be used
	carried carriedIDs
	closed  atomic.Bool
}

// carriedIDCount is the number of request IDs that a connection remembers. A stray response arrives where the next
// response is expected, and ends the reuse of its connection.
const carriedIDCount = 32

// carriedIDs holds the hashes of the last IDs that a connection has carried.
type carriedIDs struct {
	hashes [carriedIDCount]uint64
	count  int // IDs that were added
}

// idSeed is the seed of the hashes of request IDs.
var idSeed = maphash.MakeSeed()

func (c *carriedIDs) add(id string) {
	c.hashes[c.count%carriedIDCount] = maphash.String(idSeed, id)
	c.count++
}

func (c *carriedIDs) has(id string) bool {
	return slices.Contains(c.hashes[:min(c.count, carriedIDCount)], maphash.String(idSeed, id))
}

// dial opens a connection with open. Its errors are ErrNoListener, ErrClosedAtOnce, ErrNotSent and ErrUnreachable.
func dial(ctx context.Context, open platform.DialFunc, address netip.AddrPort) (*conn, error) {
	tcp, err := open(ctx, address, dialTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, eris.Wrapf(ErrNoListener, "%s", address)
	case errors.Is(err, syscall.ECONNRESET): // accepted, and reset before the dialer noticed
		return nil, eris.Wrapf(ErrClosedAtOnce, "%s", address)
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, eris.Wrapf(ErrNotSent, "%s: canceled", address)
	case err != nil:
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	limit := &limitedReader{source: tcp}
	return &conn{TCPConn: tcp, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize), expires: time.Now().Add(defaultIdleTimeout)}, nil
}

// limitedReader reads from a connection, counts the bytes and fails beyond a limit. A
// faulty target may send bytes without end.
type limitedReader struct {
	source io.Reader
	read   int64 // bytes read from the connection
	limit  int64 // value of read at which reading fails; 0 means that there is no limit
}

// limitTo makes reading fail after n further bytes.
func (l *limitedReader) limitTo(n int64) { l.limit = l.read + n }

// unlimit removes the limit.
func (l *limitedReader) unlimit() { l.limit = 0 }

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limit > 0 {
		left := l.limit - l.read
		if left <= 0 {
			return 0, eris.Wrapf(ErrInvalidResponse, "head is longer than %d bytes", maxHeadBytes)
		}
		p = p[:min(int64(len(p)), left)]
	}
	n, err := l.source.Read(p)
	l.read += int64(n)
	return n, err
}

// close closes the connection. It may be called more than once.
func (c *conn) close() {
	if !c.closed.Swap(true) {
		_ = c.Close() // the connection is discarded in any case
	}
}

// reusable reports whether an idle connection is open, has no unread bytes and
// has not expired.
func (c *conn) reusable() bool {
	return !c.closed.Load() && time.Now().Before(c.expires) && c.reader.Buffered() == 0 && platform.Quiet(c.TCPConn)
}
