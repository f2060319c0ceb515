// Package dialer keeps drpc connections to other hosts and makes calls on them.
//
// A drpc connection carries one call at a time. Each peer has lanes, which are
// bounded sets of connections of their own, so that slow calls on one lane do
// not delay those on another. A connection is dialled again after an error;
// nothing is ever sent twice.
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

// maxMessage bounds one message; a call's body is at most 1 MiB.
const maxMessage = 2 << 20

// Options set up a Dialer.
type Options struct {
	// TLS returns the encryption of the next connection; nil leaves them plain.
	TLS func() *tls.Config
}

// Option changes Options.
type Option func(*Options)

// WithTLS encrypts each new connection by what the function returns then; nil
// leaves them plain.
func WithTLS(current func() *tls.Config) Option { return func(o *Options) { o.TLS = current } }

// Lane names a bounded set of connections to one peer.
type Lane struct {
	Address netip.AddrPort
	Name    string
	// Size is the number of calls in flight; the first use of a lane sets it.
	Size int
}

// Dialer holds the connections of one host. It is safe for concurrent use.
type Dialer struct {
	opts Options

	mu     sync.Mutex
	lines  map[Lane]*line
	closed bool
}

// line is the set of connections of one lane.
type line struct {
	busy chan struct{}
	idle []*drpcconn.Conn
}

// New returns a Dialer without connections.
func New(opts ...Option) *Dialer {
	d := &Dialer{lines: map[Lane]*line{}}
	for _, opt := range opts {
		opt(&d.opts)
	}
	return d
}

// Close closes the idle connections; those in use close after their call.
func (d *Dialer) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	var first error
	for _, l := range d.lines {
		for _, c := range l.idle {
			if err := c.Close(); err != nil && first == nil {
				first = eris.Wrap(err, "close peer connection")
			}
		}
		l.idle = nil
	}
	return first
}

// Forget closes the idle connections to a peer that left.
func (d *Dialer) Forget(to netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for lane, l := range d.lines {
		if lane.Address != to {
			continue
		}
		for _, c := range l.idle {
			_ = c.Close()
		}
		l.idle = nil
		delete(d.lines, lane)
	}
}

// Invoke makes one call and reports whether any byte of it can have left.
func (d *Dialer) Invoke(ctx context.Context, lane Lane, rpc string, in, out drpc.Message) (sent bool, err error) {
	// The size is checked first so that an oversized message is surely not sent.
	data, err := replier.Encoding{}.Marshal(in)
	if err != nil {
		return false, err
	}
	if len(data) > maxMessage {
		return false, eris.Errorf("message of %d bytes, limit %d", len(data), maxMessage)
	}
	l := d.line(lane)
	select {
	case l.busy <- struct{}{}:
		defer func() { <-l.busy }()
	case <-ctx.Done():
		return false, eris.Wrap(ctx.Err(), "wait for a connection")
	}
	conn, err := d.connect(ctx, lane, l)
	if err != nil {
		return false, err
	}
	if err := conn.Invoke(ctx, rpc, replier.Encoding{}, replier.EncodedMessage(data), out); err != nil {
		_ = conn.Close()
		return true, eris.Wrap(err, rpc)
	}
	d.keep(l, lane, conn)
	return true, nil
}

// line returns the connections of the lane.
func (d *Dialer) line(lane Lane) *line {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lines[lane]
	if l == nil {
		l = &line{busy: make(chan struct{}, max(1, lane.Size))}
		d.lines[lane] = l
	}
	return l
}

// connect returns an idle connection that is still open or dials.
func (d *Dialer) connect(ctx context.Context, lane Lane, l *line) (*drpcconn.Conn, error) {
	d.mu.Lock()
	for len(l.idle) > 0 {
		conn := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		select {
		case <-conn.Closed():
			continue
		default:
			d.mu.Unlock()
			return conn, nil
		}
	}
	d.mu.Unlock()
	raw, err := d.dial(ctx, lane.Address.String())
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: ManagerOptions()}), nil
}

// dial opens the transport.
func (d *Dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if d.opts.TLS != nil {
		return (&tls.Dialer{Config: d.opts.TLS()}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// keep puts the connection back unless the peer was forgotten meanwhile.
func (d *Dialer) keep(l *line, lane Lane, conn *drpcconn.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.lines[lane] != l {
		_ = conn.Close()
		return
	}
	l.idle = append(l.idle, conn)
}

// ManagerOptions bounds what a peer can make this process buffer; servers use
// it too.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage + 1<<10}}
}
