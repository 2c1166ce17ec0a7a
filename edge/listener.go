package edge

import (
	"errors"
	"net"
)

// A lastingListener reports all errors of Accept as temporary until it is closed. net/http gives a listener up at errors that Linux
// passes on from a new connection, such as EPROTO or ENETDOWN, and at ENOBUFS; all of these pass.
type lastingListener struct {
	net.Listener
}

func (l lastingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return nil, temporaryError{err}
	}
	return conn, err
}

// A temporaryError makes net/http call Accept again after a pause of 5 ms to 1 s. It implements net.Error.
type temporaryError struct {
	error
}

func (e temporaryError) Unwrap() error { return e.error }
func (e temporaryError) Timeout() bool { return false }

// Temporary reports true.
func (e temporaryError) Temporary() bool { return true }
