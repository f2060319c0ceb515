// Package proxier is a TCP proxy on the loopback interface that injects faults
// into the connections that it forwards.
//
// # Usage
//
//	p, err := proxier.New(target, proxier.WithSource(address))
//	defer p.Close()
//	p.Set(proxier.Silent)
//	address := p.Address()
package proxier

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// Mode selects the fault that the proxy injects.
type Mode int

// Modes of the proxy.
const (
	// Pass forwards all bytes without a fault.
	Pass Mode = iota
	// Silent holds back the bytes of both directions and closes the connections
	// that held any when the mode changes.
	Silent
	// Answerless is Silent for the bytes from the target only.
	Answerless
	// Reset closes all connections, open and new.
	Reset
	// Delay forwards each chunk after delayTime.
	Delay
	// Cut holds back the bytes and the ends of connections of both directions
	// and forwards them late, when the mode changes. See WithLoss.
	Cut
	// CutToTarget and CutFromTarget are Cut for one direction.
	CutToTarget
	CutFromTarget
)

// delayTime is the delay of a chunk in mode Delay.
const delayTime = 150 * time.Millisecond

// Options configure a Proxier.
type Options struct {
	// Source is the address from which the target is called.
	Source netip.Addr
	// Lossy makes the proxy lose what a cut holds back, with its connection.
	Lossy bool
}

// Option sets one option.
type Option func(*Options)

// WithSource sets the address from which the target is called, so that it can
// tell its callers apart.
func WithSource(source netip.Addr) Option { return func(o *Options) { o.Source = source } }

// WithLoss makes the proxy lose what a cut holds back, with its connection,
// instead of forwarding it late.
func WithLoss() Option { return func(o *Options) { o.Lossy = true } }

// Proxier forwards connections to one target. It is safe for concurrent use.
type Proxier struct {
	target     string
	dialer     net.Dialer
	lossy      bool
	listener   net.Listener
	goroutines conc.WaitGroup

	mu   sync.Mutex
	mode Mode
	// changed is closed when the mode changes or the proxy is closed.
	changed chan struct{}
	// conns holds the open connections of both sides.
	conns  map[net.Conn]bool
	closed bool
}

// New starts a proxy to the target on a free port of 127.0.0.1.
func New(target netip.AddrPort, opts ...Option) (*Proxier, error) {
	var o Options
	for _, opt := range opts {
		opt(&o)
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "proxy cannot listen on 127.0.0.1")
	}
	p := &Proxier{target: target.String(), lossy: o.Lossy, listener: listener, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	if o.Source.IsValid() {
		p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(o.Source, 0))
	}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxier) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Set changes the mode. Reset also closes the open connections.
func (p *Proxier) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.signalChange()
	if mode == Reset {
		p.closeConns()
	}
}

// Close stops listening, closes all connections and waits until their
// goroutines have ended.
func (p *Proxier) Close() {
	p.mu.Lock()
	p.closed = true
	p.signalChange()
	p.closeConns()
	p.mu.Unlock()
	_ = p.listener.Close()
	p.goroutines.Wait()
}

// signalChange wakes the connections that wait for another mode. The caller
// holds the lock.
func (p *Proxier) signalChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// closeConns closes the open connections. The caller holds the lock.
func (p *Proxier) closeConns() {
	for c := range p.conns {
		_ = c.Close()
	}
}

// state returns the current mode, whether the proxy is closed, and a channel
// that is closed when either changes.
func (p *Proxier) state() (mode Mode, closed bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.closed, p.changed
}

// register adds an open connection, or closes it and reports false if the proxy
// keeps no connections now.
func (p *Proxier) register(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Reset {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

// closeBoth closes both sides of a connection. Either may be nil.
func (p *Proxier) closeBoth(a, b net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if c != nil {
			_ = c.Close()
			delete(p.conns, c)
		}
	}
}

// accept forwards the connections of clients until the listener is closed.
func (p *Proxier) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.register(client) {
			p.goroutines.Go(func() { p.connect(client) })
		}
	}
}

// connect connects a client to the target, once the link is not cut, and
// forwards both directions.
func (p *Proxier) connect(client net.Conn) {
	if !p.waitWhileCut(false) {
		p.closeBoth(client, nil)
		return
	}
	target, err := p.dialer.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		p.closeBoth(client, nil)
		return
	}
	if !p.register(target) {
		p.closeBoth(client, target)
		return
	}
	p.goroutines.Go(func() { p.forward(target, client, true) })
	p.forward(client, target, false)
}

// forward copies one direction of a connection and closes both ends when it
// stops. fromTarget reports whether the source is the target.
func (p *Proxier) forward(source, destination net.Conn, fromTarget bool) {
	defer p.closeBoth(source, destination)
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if n > 0 && (!p.waitToForward(fromTarget) || wasReset(source)) {
			return
		}
		if n > 0 {
			if _, err := destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			p.waitWhileCut(fromTarget)
			return
		}
	}
}

// wasReset reports whether the peer has reset the connection. What it had sent
// and was held back is lost then.
func wasReset(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	controlErr := raw.Control(func(fd uintptr) {
		_, _, peekErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return controlErr == nil && errors.Is(peekErr, unix.ECONNRESET)
}

// waitToForward waits for as long as the mode holds the bytes back and reports
// whether to forward them. It reports false if the connection has to be closed:
// in mode Reset, after Close, and after a wait in mode Silent or Answerless,
// because bytes that were held back there are lost together with their
// connection.
func (p *Proxier) waitToForward(fromTarget bool) bool {
	lost := false
	for {
		mode, closed, changed := p.state()
		switch {
		case closed, mode == Reset:
			return false
		case mode == Silent, mode == Answerless && fromTarget:
			lost = true
			<-changed
			continue
		case cuts(mode, fromTarget):
			lost = lost || p.lossy
			<-changed
			continue
		case mode == Delay:
			time.Sleep(delayTime)
		}
		return !lost
	}
}

// waitWhileCut waits while the direction is cut. It reports false in mode Reset
// and after Close.
func (p *Proxier) waitWhileCut(fromTarget bool) bool {
	for {
		mode, closed, changed := p.state()
		if closed || mode == Reset {
			return false
		}
		if !cuts(mode, fromTarget) {
			return true
		}
		<-changed
	}
}

// cuts reports whether the mode cuts the direction.
func cuts(mode Mode, fromTarget bool) bool {
	return mode == Cut || mode == CutToTarget && !fromTarget || mode == CutFromTarget && fromTarget
}
