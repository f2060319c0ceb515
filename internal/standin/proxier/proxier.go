// Package proxier is a TCP proxy on the loopback interface that injects faults
// into the connections that it forwards.
//
// # Usage
//
//	p, err := proxier.New(target)
//	defer p.Close()
//	p.Set(proxier.Silent)
//	address := p.Address()
package proxier

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Mode selects the fault that the proxy injects.
type Mode int

// Modes of the proxy.
const (
	// Pass forwards all bytes without a fault.
	Pass Mode = iota
	// Silent holds back the bytes of both directions.
	Silent
	// Answerless holds back the bytes from the target only.
	Answerless
	// Reset closes all connections, open and new.
	Reset
	// Delay forwards each chunk after delayTime.
	Delay
)

const (
	// delayTime is the delay of a chunk in mode Delay.
	delayTime = 150 * time.Millisecond
	// pollInterval is how often the mode is checked while bytes are held back.
	pollInterval = 5 * time.Millisecond
)

// Proxier forwards connections to one target. It is safe for concurrent use.
type Proxier struct {
	target     string
	listener   net.Listener
	goroutines conc.WaitGroup

	mu   sync.Mutex
	mode Mode
	// conns holds the open connections of both sides.
	conns  map[net.Conn]bool
	closed bool
}

// New starts a proxy to the target on a free port of 127.0.0.1.
func New(target netip.AddrPort) (*Proxier, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "proxy cannot listen on 127.0.0.1")
	}
	p := &Proxier{target: target.String(), listener: listener, conns: map[net.Conn]bool{}}
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
	if mode == Reset {
		for c := range p.conns {
			_ = c.Close()
		}
	}
}

// Close stops listening, closes all connections and waits until their
// goroutines have ended.
func (p *Proxier) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	p.goroutines.Wait()
}

// state returns the current mode and whether the proxy is closed.
func (p *Proxier) state() (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.closed
}

// accept connects each client to the target until the listener is closed.
func (p *Proxier) accept() {
	for {
		clientConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, closed := p.state(); closed || mode == Reset {
			_ = clientConn.Close()
			continue
		}
		targetConn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
		if err != nil {
			_ = clientConn.Close()
			continue
		}
		p.mu.Lock()
		p.conns[clientConn], p.conns[targetConn] = true, true
		p.mu.Unlock()
		p.goroutines.Go(func() { p.forward(clientConn, targetConn, false) })
		p.goroutines.Go(func() { p.forward(targetConn, clientConn, true) })
	}
}

// forward copies one direction of a connection and closes both ends when it
// stops. fromTarget reports whether the source is the target.
func (p *Proxier) forward(source, destination net.Conn, fromTarget bool) {
	defer func() {
		_ = source.Close()
		_ = destination.Close()
		p.mu.Lock()
		delete(p.conns, source)
		delete(p.conns, destination)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := source.Read(buffer)
		if n > 0 && !p.waitToForward(fromTarget) {
			return
		}
		if n > 0 {
			if _, err := destination.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToForward waits for as long as the mode holds the bytes back and reports
// whether to forward them. It reports false if the connection has to be closed:
// in mode Reset, after Close, and after a wait, because bytes that were held
// back are lost together with their connection.
func (p *Proxier) waitToForward(fromTarget bool) bool {
	held := false
	for {
		mode, closed := p.state()
		switch {
		case closed, mode == Reset:
			return false
		case mode == Silent, mode == Answerless && fromTarget:
			held = true
			time.Sleep(pollInterval)
			continue
		case mode == Delay:
			time.Sleep(delayTime)
		}
		return !held
	}
}
