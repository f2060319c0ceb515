// Package messenger carries the messages between the hosts of a place over
// drpc. Messages are encoded as CBOR by a drpc.Encoding, and the
// drpc.Description is written by hand, so no generator is needed.
//
// A drpc connection carries one call at a time. Heartbeats and notices share
// one connection per peer that is dialled again after an error; forwarded
// calls, which may take seconds, use a few connections of their own, so that
// they never delay a heartbeat. Nothing is ever sent twice.
//
// # Usage
//
//	m := messenger.New(messenger.WithClock(clock))
//	defer m.Close()
//	answer, err := m.Beat(ctx, address, beat)
//
//	err := messenger.Serve(ctx, listener, handler, messenger.WithClock(clock))
//
// Errors are *primrosespar.Failure. Beat and Notify fail with
// CodePeerUnavailable. Execute fails with CodePeerUnavailable if no byte was
// sent and with CodeOutcomeUnknown if the call may have run.
package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"primrosespar.example/primrosespar"
)

// Bounds of one messenger.
const (
	// maxMessage bounds one message; a call's body is at most 1 MiB.
	maxMessage = 2 << 20
	// callLines is the number of forwarded calls in flight to one peer.
	callLines = 8
	// defaultTimeout is below the time between two heartbeats.
	defaultTimeout = 900 * time.Millisecond
	// answerGrace is the time that an answer may take beyond the deadline.
	answerGrace = 200 * time.Millisecond
)

// Options set up a Messenger or a server.
type Options struct {
	Clock primrosespar.Clock
	// Timeout bounds a heartbeat or notice.
	Timeout time.Duration
	// TLS returns the encryption of the next connection; nil leaves them plain.
	TLS func() *tls.Config
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock; it is required.
func WithClock(clock primrosespar.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithTimeout sets the timeout of a heartbeat or notice.
func WithTimeout(timeout time.Duration) Option { return func(o *Options) { o.Timeout = timeout } }

// WithTLS encrypts the connections; nil leaves them plain.
func WithTLS(config *tls.Config) Option {
	if config == nil {
		return WithCurrentTLS(nil)
	}
	return WithCurrentTLS(func() *tls.Config { return config })
}

// WithCurrentTLS encrypts each new connection by what the function returns
// then, so that keys can change while the process runs.
func WithCurrentTLS(current func() *tls.Config) Option {
	return func(o *Options) { o.TLS = current }
}

// collect applies the options to the defaults.
func collect(opts []Option) Options {
	o := Options{Timeout: defaultTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Messenger implements primrosespar.Peers. It is safe for concurrent use.
type Messenger struct {
	opts Options

	mu     sync.Mutex
	lines  map[lineKey]*line
	closed bool
}

// The compiler checks the interface.
var _ primrosespar.Peers = (*Messenger)(nil)

// lineKey tells the connections for calls from those for the rest.
type lineKey struct {
	address netip.AddrPort
	calls   bool
}

// line is a bounded set of connections to one peer.
type line struct {
	busy chan struct{}
	idle []*drpcconn.Conn
}

// New returns a Messenger without connections.
func New(opts ...Option) *Messenger {
	return &Messenger{opts: collect(opts), lines: map[lineKey]*line{}}
}

// Close closes the idle connections; those in use close after their call.
func (m *Messenger) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	var first error
	for _, l := range m.lines {
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
func (m *Messenger) Forget(to netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, calls := range []bool{false, true} {
		if l := m.lines[lineKey{to, calls}]; l != nil {
			for _, c := range l.idle {
				_ = c.Close()
			}
			l.idle = nil
			delete(m.lines, lineKey{to, calls})
		}
	}
}

// Beat implements primrosespar.Peers.
func (m *Messenger) Beat(ctx context.Context, to netip.AddrPort, beat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timeout)
	defer cancel()
	var out reply[primrosespar.Heartbeat]
	if _, err := m.invoke(ctx, lineKey{to, false}, rpcBeat, &beat, &out); err != nil {
		return primrosespar.Heartbeat{}, unavailable(to, err)
	}
	return out.Value, out.failure()
}

// Notify implements primrosespar.Peers.
func (m *Messenger) Notify(ctx context.Context, to netip.AddrPort, place primrosespar.Place, id primrosespar.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timeout)
	defer cancel()
	var out reply[struct{}]
	if _, err := m.invoke(ctx, lineKey{to, false}, rpcNotify, &notice{Place: place, Job: id}, &out); err != nil {
		return unavailable(to, err)
	}
	return out.failure()
}

// Execute implements primrosespar.Peers.
func (m *Messenger) Execute(ctx context.Context, to netip.AddrPort, call primrosespar.Call) (primrosespar.Answer, error) {
	if !call.Deadline.IsZero() {
		call.Left = call.Deadline.Sub(m.opts.Clock.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, call.Left+answerGrace)
	defer cancel()
	var out reply[primrosespar.Answer]
	sent, err := m.invoke(ctx, lineKey{to, true}, rpcExecute, &call, &out)
	switch {
	case err != nil && sent:
		return primrosespar.Answer{}, primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "call %s at %s", call.ID, to).Because(err)
	case err != nil:
		return primrosespar.Answer{}, unavailable(to, err)
	}
	return out.Value, out.failure()
}

// unavailable returns the failure for a peer that did not answer.
func unavailable(to netip.AddrPort, err error) error {
	return primrosespar.Fail(primrosespar.CodePeerUnavailable, "%s", to).Because(err)
}

// invoke makes one call and reports whether any byte of it can have left.
func (m *Messenger) invoke(ctx context.Context, key lineKey, rpc string, in, out drpc.Message) (sent bool, err error) {
	// The size is checked first so that an oversized message is surely not sent.
	data, err := encoding{}.Marshal(in)
	if err != nil {
		return false, err
	}
	if len(data) > maxMessage {
		return false, eris.Errorf("message of %d bytes, limit %d", len(data), maxMessage)
	}
	l := m.line(key)
	select {
	case l.busy <- struct{}{}:
		defer func() { <-l.busy }()
	case <-ctx.Done():
		return false, eris.Wrap(ctx.Err(), "wait for a connection")
	}
	conn, err := m.connect(ctx, key, l)
	if err != nil {
		return false, err
	}
	if err := conn.Invoke(ctx, rpc, encoding{}, encoded(data), out); err != nil {
		_ = conn.Close()
		return true, eris.Wrap(err, rpc)
	}
	m.keep(l, key, conn)
	return true, nil
}

// line returns the connections for the key.
func (m *Messenger) line(key lineKey) *line {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.lines[key]
	if l == nil {
		size := 1
		if key.calls {
			size = callLines
		}
		l = &line{busy: make(chan struct{}, size)}
		m.lines[key] = l
	}
	return l
}

// connect returns an idle connection that is still open or dials.
func (m *Messenger) connect(ctx context.Context, key lineKey, l *line) (*drpcconn.Conn, error) {
	m.mu.Lock()
	for len(l.idle) > 0 {
		conn := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		select {
		case <-conn.Closed():
			continue
		default:
			m.mu.Unlock()
			return conn, nil
		}
	}
	m.mu.Unlock()
	raw, err := m.dial(ctx, key.address.String())
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// dial opens the transport.
func (m *Messenger) dial(ctx context.Context, address string) (net.Conn, error) {
	if m.opts.TLS != nil {
		return (&tls.Dialer{Config: m.opts.TLS()}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// keep puts the connection back unless the peer was forgotten meanwhile.
func (m *Messenger) keep(l *line, key lineKey, conn *drpcconn.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.lines[key] != l {
		_ = conn.Close()
		return
	}
	l.idle = append(l.idle, conn)
}

// managerOptions bounds what a peer can make this process buffer.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage + 1<<10}}
}
