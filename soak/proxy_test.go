package soak

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// proxyMode is the network fault that a proxy injects.
type proxyMode int

const (
	// passThrough forwards data in both directions.
	passThrough proxyMode = iota
	// delayAll forwards each read after proxyDelay.
	delayAll
	// stallAll holds data back in both directions; connections stay open.
	stallAll
	// stallResponses forwards requests and holds responses back.
	stallResponses
	// resetAll resets open and new connections.
	resetAll
)

// proxyDelay is the delay of each forwarded read in mode delayAll.
const proxyDelay = 150 * time.Millisecond

// proxy is a TCP proxy on the loopback interface that injects network faults.
type proxy struct {
	listener    net.Listener
	upstream    netip.AddrPort
	mu          sync.Mutex
	mode        proxyMode
	modeChanged chan struct{}
	conns       map[net.Conn]bool
	faults      spans // times in another mode than passThrough
}

func startProxy(upstream netip.AddrPort) (*proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, upstream: upstream, modeChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// setMode sets the mode for open and new connections.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.faults.end()
	if m != passThrough {
		p.faults.begin()
	}
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m == resetAll {
		for c := range p.conns {
			resetConn(c)
		}
	}
}

// resetConn closes c with a TCP reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // makes Close send a reset
	_ = c.Close()
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.setMode(resetAll)
}

func (p *proxy) acceptLoop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(in)
	}
}

func (p *proxy) handle(in net.Conn) {
	p.mu.Lock()
	m := p.mode
	p.mu.Unlock()
	if m == resetAll {
		resetConn(in)
		return
	}
	out, err := net.DialTimeout("tcp4", p.upstream.String(), time.Second)
	if err != nil {
		resetConn(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.relay(out, in, true) })
	wg.Go(func() { p.relay(in, out, false) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// relay forwards data from src to dst according to the mode and closes both
// connections at the end of either.
func (p *proxy) relay(dst, src net.Conn, toUpstream bool) {
	defer func() { _, _ = dst.Close(), src.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !p.awaitMode(toUpstream) || wasReset(src) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// awaitMode blocks while the mode holds data of this direction back, and reports
// whether the data is to be forwarded.
func (p *proxy) awaitMode(toUpstream bool) bool {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.modeChanged
		p.mu.Unlock()
		switch {
		case m == resetAll:
			return false
		case m == delayAll:
			time.Sleep(proxyDelay) // the fault itself
			return true
		case m == stallAll, m == stallResponses && !toUpstream:
			<-changed
		default:
			return true
		}
	}
}

// wasReset reports whether the peer has reset a connection. What it sent before is then not forwarded any more: a host
// that resets a connection takes back what has not been acknowledged.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reset = errors.Is(err, syscall.ECONNRESET)
		return true
	})
	return err != nil || reset
}

// TestStalledDataOfResetConnectionsIsDropped guards against orders that the proxy delivers seconds after their host has taken
// them back, which no host could tell from a second owner.
func TestStalledDataOfResetConnectionsIsDropped(t *testing.T) {
	tests := []struct {
		name  string
		reset bool
		want  string
	}{
		{"reset", true, ""},
		{"closed", false, "order"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = ln.Close() }()
			p, err := startProxy(netip.MustParseAddrPort(ln.Addr().String()))
			c.Assert(err, qt.IsNil)
			defer p.stop()
			host, err := net.Dial("tcp4", p.address().String())
			c.Assert(err, qt.IsNil)
			target, err := ln.Accept()
			c.Assert(err, qt.IsNil)
			defer func() { _ = target.Close() }()
			p.setMode(stallAll)
			_, err = io.WriteString(host, "order")
			c.Assert(err, qt.IsNil)
			time.Sleep(50 * time.Millisecond) // the proxy has read the order
			if test.reset {
				resetConn(host)
			} else {
				_ = host.Close()
			}
			time.Sleep(50 * time.Millisecond) // the end of the connection has arrived
			p.setMode(passThrough)
			got, _ := io.ReadAll(target)
			c.Check(string(got), qt.Equals, test.want)
		})
	}
}
