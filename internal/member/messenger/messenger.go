// Package messenger carries the messages between the hosts of a place over
// drpc.
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
//	answer, err := m.Heartbeat(ctx, address, beat)
//
//	err := messenger.Serve(ctx, listener, handler, messenger.WithClock(clock))
//
// Errors are *primrosespar.Failure. Heartbeat and Notify fail with
// CodePeerUnavailable. Execute fails with CodePeerUnavailable if no byte was
// sent and with CodeOutcomeUnknown if the call may have run.
package messenger

import (
	"context"
	"crypto/tls"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/dialer"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// Bounds of one messenger.
const (
	// maxCallsInFlight is the number of forwarded calls in flight to one peer.
	maxCallsInFlight = 8
	// defaultTimeout is below the time between two heartbeats.
	defaultTimeout = 900 * time.Millisecond
	// responseGrace is the time that an answer may take beyond the deadline.
	responseGrace = 200 * time.Millisecond
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

// newOptions applies the options to the defaults.
func newOptions(opts []Option) Options {
	o := Options{Timeout: defaultTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Messenger implements primrosespar.Peers. It is safe for concurrent use.
type Messenger struct {
	options Options
	dialer  *dialer.Dialer
}

// The compiler checks the interface.
var _ primrosespar.Peers = (*Messenger)(nil)

// New returns a Messenger without connections.
func New(opts ...Option) *Messenger {
	o := newOptions(opts)
	return &Messenger{options: o, dialer: dialer.New(dialer.WithTLS(o.TLS))}
}

// Close closes the idle connections; those in use close after their call.
func (m *Messenger) Close() error { return m.dialer.Close() }

// Forget closes the idle connections to a peer that left.
func (m *Messenger) Forget(to netip.AddrPort) { m.dialer.Forget(to) }

// heartbeatLane is the lane of heartbeats and notices.
func heartbeatLane(to netip.AddrPort) dialer.Lane {
	return dialer.Lane{Address: to, Name: "beat", Size: 1}
}

// callLane is the lane of forwarded calls.
func callLane(to netip.AddrPort) dialer.Lane {
	return dialer.Lane{Address: to, Name: "call", Size: maxCallsInFlight}
}

// Heartbeat implements primrosespar.Peers.
func (m *Messenger) Heartbeat(ctx context.Context, to netip.AddrPort, heartbeat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	var reply replier.Reply[primrosespar.Heartbeat]
	if _, err := m.dialer.Invoke(ctx, heartbeatLane(to), rpcHeartbeat, &heartbeat, &reply); err != nil {
		return primrosespar.Heartbeat{}, unavailable(to, err)
	}
	return reply.Value, reply.Failure()
}

// Notify implements primrosespar.Peers.
func (m *Messenger) Notify(ctx context.Context, to netip.AddrPort, place primrosespar.Place, id primrosespar.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	var reply replier.Reply[struct{}]
	if _, err := m.dialer.Invoke(ctx, heartbeatLane(to), rpcNotify, &notification{Place: place, Job: id}, &reply); err != nil {
		return unavailable(to, err)
	}
	return reply.Failure()
}

// Execute implements primrosespar.Peers.
func (m *Messenger) Execute(ctx context.Context, to netip.AddrPort, call primrosespar.Call) (primrosespar.Answer, error) {
	if !call.Deadline.IsZero() {
		call.Remaining = call.Deadline.Sub(m.options.Clock.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, call.Remaining+responseGrace)
	defer cancel()
	var reply replier.Reply[primrosespar.Answer]
	sent, err := m.dialer.Invoke(ctx, callLane(to), rpcExecute, &call, &reply)
	switch {
	case err != nil && sent:
		return primrosespar.Answer{}, primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "call %s at %s", call.ID, to).WithCause(err)
	case err != nil:
		return primrosespar.Answer{}, unavailable(to, err)
	}
	return reply.Value, reply.Failure()
}

// unavailable returns the failure for a peer that did not answer.
func unavailable(to netip.AddrPort, err error) error {
	return primrosespar.Fail(primrosespar.CodePeerUnavailable, "%s", to).WithCause(err)
}
