// Package proxier is a loopback proxy that harms the connections through it.
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

// Mode is what the proxy does to what passes.
type Mode int

// Modes. Silent holds all bytes back, Answerless those of the answers only,
// Reset breaks connections off and Delay slows them.
const (
	Pass Mode = iota
	Silent
	Answerless
	Reset
	Delay
)

// Times of the proxy.
const (
	delayTime    = 150 * time.Millisecond
	pollInterval = 5 * time.Millisecond
)

// Proxier forwards connections to one target. It is safe for concurrent use.
type Proxier struct {
	target     string
	listener   net.Listener
	goroutines conc.WaitGroup

	mu     sync.Mutex
	mode   Mode
	conns  map[net.Conn]bool
	closed bool
}

// New starts a proxy on a free port of loopback.
func New(target netip.AddrPort) (*Proxier, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	p := &Proxier{target: target.String(), listener: listener, conns: map[net.Conn]bool{}}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxier) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Set changes the mode; Reset also breaks off what is open.
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

// Close ends the proxy and its connections.
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

// state returns the mode and whether the proxy is closed.
func (p *Proxier) state() (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.closed
}

// accept takes connections until the proxy is closed.
func (p *Proxier) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, closed := p.state(); closed || mode == Reset {
			_ = client.Close()
			continue
		}
		server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		p.goroutines.Go(func() { p.forward(client, server, false) })
		p.goroutines.Go(func() { p.forward(server, client, true) })
	}
}

// forward copies one direction and closes both ends after it.
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

// waitToForward waits while bytes are held back; it reports false once the connection
// has to end. What was held back by a cut is lost with its connection.
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
