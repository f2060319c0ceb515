// Package limiter limits the open connections of a listener. Connections above
// the limit wait in the kernel's accept queue until another one closes; this
// package drops none.
//
// # Usage
//
//	l := limiter.New(listener, 4096)
//	err := server.Serve(l)
package limiter

import (
	"net"
	"sync"
)

// Limiter is a net.Listener with a limit on its open connections. It is safe
// for concurrent use.
type Limiter struct {
	net.Listener

	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a listener with at most limit accepted connections open at once.
func New(listener net.Listener, limit int) *Limiter {
	return &Limiter{Listener: listener, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits until fewer connections than the limit are open and then for a
// new one. After Close it returns net.ErrClosed.
func (l *Limiter) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &conn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close closes the listener and ends an Accept that waits for another
// connection to close. Open connections stay open.
func (l *Limiter) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn is an accepted connection. It releases its slot once, however often it
// is closed.
type conn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
