// Package dialer keeps pools of drpc connections to other hosts and makes calls
// on them.
//
// A drpc connection carries one call at a time. Each peer has lanes, each with
// a bounded pool of connections of its own, so that slow calls on one lane do
// not delay those on another. A connection is dialled again after an error. No
// message is sent twice.
//
// # Usage
//
//	d := dialer.New(dialer.WithTLS(current))
//	defer d.Close()
//	sent, err := d.Invoke(ctx, dialer.Lane{Address: peer, Name: "beat", Size: 1}, rpc, &in, &out)
package dialer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"primrosespar.example/primrosespar/internal/member/replier"
)

// maxIdlePerLane is the number of idle connections that a lane keeps. Hundreds
// of hosts each have lanes to the holder.
const maxIdlePerLane = 2

// maxMessageBytes limits the size of one message; the body of a call has at
// most 1 MiB.
const maxMessageBytes = 2 << 20

// Options are the settings of a Dialer.
type Options struct {
	// TLS returns the TLS configuration of the next connection; if TLS is nil,
	// connections are not encrypted.
	TLS func() *tls.Config
}

// Option sets one option.
type Option func(*Options)

// WithTLS encrypts each new connection with the configuration that the function
// returns at that time; with nil connections are not encrypted.
func WithTLS(current func() *tls.Config) Option { return func(o *Options) { o.TLS = current } }

// Lane identifies a bounded pool of connections to one peer.
type Lane struct {
	Address netip.AddrPort
	Name    string
	// Size is the greatest number of calls in flight. Lanes that differ in size
	// are different lanes.
	Size int
}

// Dialer holds the connections of one host. It is safe for concurrent use.
type Dialer struct {
	options Options

	mu     sync.Mutex
	pools  map[Lane]*connPool
	closed bool
}

// connPool is the pool of connections of one lane.
type connPool struct {
	// inUse is a semaphore with one place for each call in flight.
	inUse chan struct{}
	idle  []*drpcconn.Conn
}

// New returns a Dialer without connections.
func New(opts ...Option) *Dialer {
	d := &Dialer{pools: map[Lane]*connPool{}}
	for _, opt := range opts {
		opt(&d.options)
	}
	return d
}

// Close closes the idle connections; those in use are closed after their call.
func (d *Dialer) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	var firstErr error
	for _, pool := range d.pools {
		for _, c := range pool.idle {
			if err := c.Close(); err != nil && firstErr == nil {
				firstErr = eris.Wrap(err, "close peer connection")
			}
		}
		pool.idle = nil
	}
	return firstErr
}

// Forget closes the idle connections to a peer that left.
func (d *Dialer) Forget(to netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for lane, pool := range d.pools {
		if lane.Address != to {
			continue
		}
		for _, c := range pool.idle {
			_ = c.Close()
		}
		pool.idle = nil
		delete(d.pools, lane)
	}
}

// Invoke makes one call and reports whether any byte of it may have been sent.
func (d *Dialer) Invoke(ctx context.Context, lane Lane, rpc string, in, out drpc.Message) (sent bool, err error) {
	// The size is checked here so that no part of an oversized message is sent.
	data, err := replier.Encoding{}.Marshal(in)
	if err != nil {
		return false, err
	}
	if len(data) > maxMessageBytes {
		return false, eris.Errorf("message has %d bytes, the limit is %d", len(data), maxMessageBytes)
	}
	pool := d.pool(lane)
	select {
	case pool.inUse <- struct{}{}:
		defer func() { <-pool.inUse }()
	case <-ctx.Done():
		return false, eris.Wrap(ctx.Err(), "wait for a connection")
	}
	conn, err := d.connect(ctx, lane, pool)
	if err != nil {
		return false, err
	}
	if err := conn.Invoke(ctx, rpc, replier.Encoding{}, replier.EncodedMessage(data), out); err != nil {
		_ = conn.Close()
		return true, eris.Wrap(err, rpc)
	}
	d.release(pool, lane, conn)
	return true, nil
}

// pool returns the pool of the lane and creates it on first use.
func (d *Dialer) pool(lane Lane) *connPool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := d.pools[lane]
	if pool == nil {
		pool = &connPool{inUse: make(chan struct{}, max(1, lane.Size))}
		d.pools[lane] = pool
	}
	return pool
}

// connect returns an idle connection that is still open, or a new one.
func (d *Dialer) connect(ctx context.Context, lane Lane, pool *connPool) (*drpcconn.Conn, error) {
	d.mu.Lock()
	for len(pool.idle) > 0 {
		conn := pool.idle[len(pool.idle)-1]
		pool.idle = pool.idle[:len(pool.idle)-1]
		select {
		case <-conn.Closed():
			continue
		default:
			d.mu.Unlock()
			return conn, nil
		}
	}
	d.mu.Unlock()
	transport, err := d.dial(ctx, lane.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: ManagerOptions()}), nil
}

// dial opens a TCP or TLS connection.
func (d *Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if d.options.TLS != nil {
		return (&tls.Dialer{Config: d.options.TLS()}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// release returns the connection to its pool, or closes it if the pool is full,
// the Dialer was closed or the peer forgotten during the call.
func (d *Dialer) release(pool *connPool, lane Lane, conn *drpcconn.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.pools[lane] != pool || len(pool.idle) >= maxIdlePerLane {
		_ = conn.Close()
		return
	}
	pool.idle = append(pool.idle, conn)
}

// ManagerOptions limits how much a peer can make this process buffer. Servers
// use it too.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes + 1<<10}}
}
