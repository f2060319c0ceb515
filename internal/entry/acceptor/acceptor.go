// Package acceptor accepts the connections of one port within a budget of
// memory and descriptors. Clients that hold too much or move too little are
// refused or disconnected, in the order of package budgeter.
//
// # Usage
//
//	a := acceptor.New(listener, budgeter.New(limits), clock, acceptor.WithRequests(100))
//	go acceptor.Run(ctx, clock, func() []*acceptor.Acceptor { return all })
//	a.Configure(server)
//	err := server.Serve(a)
//
// Without Configure, the port speaks another protocol than HTTP, in which each
// write of the host answers what it has read before.
//
// A refused request has not run: it is refused before its handler has seen the
// end of its body. Reading the body then fails with a *primrosespar.Failure.
package acceptor

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/budgeter"
)

// Times of an Acceptor.
const (
	// sweepInterval is the time between two looks for slow clients and between
	// two reports of cuts.
	sweepInterval = time.Second
	// releaseTimeout bounds the wait for connections that were cut.
	releaseTimeout = time.Second
	// turnTimeout is how long a whole request waits for its turn.
	turnTimeout = 2 * time.Second
)

// Options configure an Acceptor.
type Options struct {
	// Requests bounds the requests at work, 0 means no limit. Further ones wait
	// for a short time.
	Requests int
	// Decoders bounds the requests with a body whose handlers have not closed it
	// yet, 0 means no limit.
	Decoders int
	// Limits returns the limits, which may change.
	Limits func() budgeter.Limits
	// OnCuts receives the number of connections that were cut since the last
	// call, by reason, at most once a second.
	OnCuts func(map[budgeter.Reason]int)
}

// Option sets one option.
type Option func(*Options)

// WithRequests bounds the requests at work.
func WithRequests(n int) Option { return func(o *Options) { o.Requests = n } }

// WithDecoders bounds the requests with a body that is being decoded. Their
// handlers close the body when they no longer need it.
func WithDecoders(n int) Option { return func(o *Options) { o.Decoders = n } }

// WithLimits sets the function that returns the limits.
func WithLimits(limits func() budgeter.Limits) Option {
	return func(o *Options) { o.Limits = limits }
}

// WithOnCuts sets the function that receives the number of connections that
// were cut.
func WithOnCuts(onCuts func(map[budgeter.Reason]int)) Option {
	return func(o *Options) { o.OnCuts = onCuts }
}

// Acceptor is a net.Listener with a budget. It is safe for concurrent use.
type Acceptor struct {
	net.Listener

	budget  *budgeter.Budgeter
	clock   primrosespar.Clock
	options Options
	// http is set if a server of package net/http serves the port.
	http     bool
	requests semaphore
	decoders semaphore

	mu    sync.Mutex
	conns map[budgeter.ID]*conn
	cuts  map[budgeter.Reason]int
	// released is closed and replaced once connections that were cut have given
	// their memory back.
	released chan struct{}
}

// New returns an Acceptor for the connections of a listener.
func New(listener net.Listener, budget *budgeter.Budgeter, clock primrosespar.Clock, opts ...Option) *Acceptor {
	a := &Acceptor{
		Listener: listener, budget: budget, clock: clock,
		conns: map[budgeter.ID]*conn{}, cuts: map[budgeter.Reason]int{}, released: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(&a.options)
	}
	a.requests, a.decoders = newSemaphore(a.options.Requests), newSemaphore(a.options.Decoders)
	return a
}

// Accept waits for a connection for which there is room.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		a.awaitRelease(nil)
		accepted, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := a.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// admit adds a connection. It returns nil and closes the connection if there is
// no room for it.
func (a *Acceptor) admit(accepted net.Conn) net.Conn {
	c := &conn{Conn: accepted, acceptor: a, cutOff: make(chan struct{})}
	// The connection is known before another one can displace it.
	a.mu.Lock()
	id, cuts, ok := a.budget.Open(remoteAddress(accepted), a.clock.Now())
	c.id = id
	if ok {
		a.conns[id] = c
	} else {
		a.cuts[budgeter.ShortOfConnections]++
	}
	a.mu.Unlock()
	a.cut(cuts)
	if !ok {
		a.budget.Close(id)
		_ = accepted.Close()
		return nil
	}
	return c
}

// remoteAddress returns the address of the client without its port.
func remoteAddress(c net.Conn) netip.Addr {
	if address, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort().Addr()
	}
	return netip.Addr{}
}

// Run sweeps the ports until ctx ends. One call for all ports of a process wakes
// it up less often than one for each.
func Run(ctx context.Context, clock primrosespar.Clock, ports func() []*Acceptor) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(sweepInterval):
		}
		for _, a := range ports() {
			a.sweep()
		}
	}
}

// sweep adopts the limits, cuts slow clients and reports the cuts.
func (a *Acceptor) sweep() {
	if a.options.Limits != nil {
		a.budget.SetLimits(a.options.Limits())
	}
	a.cut(a.budget.Expire(a.clock.Now()))
	a.report()
}

// report passes the cuts since the last report on.
func (a *Acceptor) report() {
	a.mu.Lock()
	cuts := a.cuts
	if len(cuts) > 0 {
		a.cuts = map[budgeter.Reason]int{}
	}
	a.mu.Unlock()
	if len(cuts) > 0 && a.options.OnCuts != nil {
		a.options.OnCuts(cuts)
	}
}

// cut disconnects clients that the budget has dropped.
func (a *Acceptor) cut(cuts []budgeter.Cut) {
	for _, cut := range cuts {
		a.mu.Lock()
		c := a.conns[cut.ID]
		a.mu.Unlock()
		if c != nil {
			c.cut(cut.Phase, cut.Reason)
		}
	}
}

// countCut counts a cut for the next report.
func (a *Acceptor) countCut(reason budgeter.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cuts[reason]++
}

// forget removes a connection that was closed.
func (a *Acceptor) forget(id budgeter.ID) {
	a.budget.Close(id)
	releasing := a.budget.Releasing()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, id)
	if !releasing {
		close(a.released)
		a.released = make(chan struct{})
	}
}

// awaitRelease waits while connections that were cut still take much memory, at
// most until done is closed. The server closes them as soon as it gets to run.
func (a *Acceptor) awaitRelease(done <-chan struct{}) {
	for {
		a.mu.Lock()
		released := a.released
		a.mu.Unlock()
		if !a.budget.Releasing() {
			return
		}
		select {
		case <-released:
		case <-done:
			return
		case <-a.clock.After(releaseTimeout):
			return
		}
	}
}

// semaphore bounds how many do something at once. A nil one sets no limit.
type semaphore chan struct{}

// newSemaphore returns a semaphore for n, or for any number if n is 0.
func newSemaphore(n int) semaphore {
	if n <= 0 {
		return nil
	}
	return make(semaphore, n)
}

// acquire waits for a place for at most turnTimeout and until done is closed. It
// reports whether it got one.
func (s semaphore) acquire(clock primrosespar.Clock, done <-chan struct{}) bool {
	if s == nil {
		return true
	}
	select {
	case s <- struct{}{}:
		return true
	default:
	}
	select {
	case s <- struct{}{}:
		return true
	case <-clock.After(turnTimeout):
	case <-done:
	}
	return false
}

// release returns a place.
func (s semaphore) release() {
	if s != nil {
		<-s
	}
}
