package main

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// link forwards the connections of one host to one worker and can reset them.
type link struct {
	target   netip.AddrPort
	source   netip.Addr
	listener net.Listener

	mu    sync.Mutex
	pairs map[*pair]bool
	// onSent is called with the bytes that the host sends, before they are
	// forwarded. If it returns true, the answer to them is not forwarded.
	onSent func(p *pair, data []byte) bool
	// down makes the link reset new connections.
	down bool
	// cut makes the link lose what either side sends.
	cut    bool
	closed bool
}

// pair is one connection of a host and the one to the worker.
type pair struct {
	host, worker *net.TCPConn
	mu           sync.Mutex
	// mute keeps the answers of the worker from the host.
	mute bool
	// lost is set once a cut has lost something of the connection.
	lost bool
}

// newLink starts a link.
func newLink(target netip.AddrPort, source netip.Addr) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, source: source, listener: listener, pairs: map[*pair]bool{}}
	go l.accept()
	return l, nil
}

// address returns the address at which the host reaches the worker.
func (l *link) address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// accept forwards connections until the link is closed.
func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn.(*net.TCPConn))
	}
}

// forward forwards one connection.
func (l *link) forward(host *net.TCPConn) {
	_ = host.SetLinger(0)
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(l.source, 0))}
	l.mu.Lock()
	down := l.down || l.closed
	l.mu.Unlock()
	if down {
		_ = host.Close()
		return
	}
	conn, err := dialer.DialContext(context.Background(), "tcp", l.target.String())
	if err != nil {
		_ = host.Close()
		return
	}
	if l.waitWhileCut(host) {
		_ = host.Close()
		_ = conn.Close()
		return
	}
	p := &pair{host: host, worker: conn.(*net.TCPConn)}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	go l.copyAnswers(p)
	l.copyOrders(p)
	l.reset(p)
}

// copyOrders forwards what the host sends.
func (l *link) copyOrders(p *pair) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := p.host.Read(buffer)
		if err != nil {
			return
		}
		l.mu.Lock()
		onSent := l.onSent
		l.mu.Unlock()
		if onSent != nil && onSent(p, buffer[:n]) {
			p.mu.Lock()
			p.mute = true
			p.mu.Unlock()
		}
		if l.isCut() {
			p.setLost()
			continue
		}
		if _, err := p.worker.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// copyAnswers forwards what the worker answers.
func (l *link) copyAnswers(p *pair) {
	defer l.reset(p)
	buffer := make([]byte, 64<<10)
	for {
		n, err := p.worker.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		mute := p.mute
		p.mu.Unlock()
		if mute {
			continue
		}
		if l.isCut() {
			p.setLost()
			continue
		}
		if _, err := p.host.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// setLost records that a cut has lost something of the connection.
func (p *pair) setLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = true
}

// isCut reports whether the link is cut.
func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// waitWhileCut keeps a new connection of the host without an answer while the
// link is cut, and reports whether it was.
func (l *link) waitWhileCut(host *net.TCPConn) bool {
	wasCut := false
	for l.isCut() {
		wasCut = true
		_ = host.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := host.Read(make([]byte, 4096)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
	return wasCut
}

// setCut begins or ends a cut. Connections of which it has lost something are
// reset at its end.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
	if cut {
		return
	}
	for _, p := range l.open() {
		p.mu.Lock()
		lost := p.lost
		p.mu.Unlock()
		if lost {
			l.reset(p)
		}
	}
}

// open returns the open connections.
func (l *link) open() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	var pairs []*pair
	for p := range l.pairs {
		pairs = append(pairs, p)
	}
	return pairs
}

// reset resets one connection.
func (l *link) reset(p *pair) {
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
	_ = p.host.Close()
	_ = p.worker.Close()
}

// setDown sets whether new connections are reset, and resets the open ones.
func (l *link) setDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		for _, p := range l.open() {
			l.reset(p)
		}
	}
}

// setOnSent sets the function that sees what the host sends.
func (l *link) setOnSent(onSent func(p *pair, data []byte) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onSent = onSent
}

// close closes the link.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.setDown(true)
}
