package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections from one party to another, until the link between
// them is cut: then nothing passes in either direction, and nothing is reset.
type proxy struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	cut bool
	// healed is closed when the cut ends.
	healed chan struct{}
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, healed: make(chan struct{})}
	close(p.healed)
	go p.serve()
	return p, nil
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == p.cut {
		return
	}
	p.cut = cut
	if cut {
		p.healed = make(chan struct{})
	} else {
		close(p.healed)
	}
}

// await waits while the link is cut.
func (p *proxy) await() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	p.await()
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	go p.pipe(t, c)
	p.pipe(c, t)
}

// pipe copies what arrives from one connection to the other. What is under way
// while the link is cut passes afterwards, unless its sender has gone.
func (p *proxy) pipe(to, from net.Conn) {
	defer func() {
		p.await()
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
