// Package messenger is the drpc client and server for messages between the
// hosts of a place.
//
// A drpc connection carries one call at a time. Heartbeats and notifications
// share one connection per peer, which is dialled again after an error.
// Forwarded calls, which may take seconds, use a few connections of their own,
// so that they never delay a heartbeat. No message is sent twice.
//
// # Usage
//
//	m := messenger.New(messenger.WithClock(clock))
//	defer m.Close()
//	reply, err := m.Heartbeat(ctx, address, heartbeat)
//
//	err := messenger.Serve(ctx, listener, handler, messenger.WithClock(clock))
//
// Errors are of type *primrosespar.Failure. If the peer does not reply,
// Heartbeat and Notify fail with CodePeerUnavailable; Execute fails with
// CodePeerUnavailable if no byte was sent and with CodeOutcomeUnknown if the
// call may have run. Other codes come from the peer.
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

// Limits and timeouts of a Messenger.
const (
	// maxCallsInFlight limits the forwarded calls in flight to one peer.
	maxCallsInFlight = 8
	// defaultTimeout is less than the interval between two heartbeats.
	defaultTimeout = 900 * time.Millisecond
	// responseGrace is how long after the deadline of a call its answer may
	// arrive.
	responseGrace = 200 * time.Millisecond
)

// Options are the settings of a Messenger or a server.
type Options struct {
	Clock primrosespar.Clock
	// Timeout limits a heartbeat or notification.
	Timeout time.Duration
	// TLS returns the TLS configuration of the next connection; if TLS is nil,
	// connections are not encrypted.
	TLS func() *tls.Config
	// OnPanic receives a panic in a call that Serve handles, with the name of
	// the method. The call fails, the process goes on.
	OnPanic func(method string, err error)
}

// Option sets one option.
type Option func(*Options)

// WithClock sets the clock; it is required.
func WithClock(clock primrosespar.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithTimeout sets the timeout of a heartbeat or notification.
func WithTimeout(timeout time.Duration) Option { return func(o *Options) { o.Timeout = timeout } }

// WithTLS encrypts the connections; with nil they are not encrypted.
func WithTLS(config *tls.Config) Option {
	if config == nil {
		return WithCurrentTLS(nil)
	}
	return WithCurrentTLS(func() *tls.Config { return config })
}

// WithCurrentTLS encrypts each new connection with the configuration that the
// function returns at that time, so that keys can change while the process
// runs.
func WithCurrentTLS(current func() *tls.Config) Option {
	return func(o *Options) { o.TLS = current }
}

// WithOnPanic sets the function that receives a panic in a call.
func WithOnPanic(onPanic func(method string, err error)) Option {
	return func(o *Options) { o.OnPanic = onPanic }
}

// newOptions applies the options to the defaults.
func newOptions(opts []Option) Options {
	o := Options{Timeout: defaultTimeout, OnPanic: func(string, error) {}}
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

var _ primrosespar.Peers = (*Messenger)(nil)

// New returns a Messenger without connections.
func New(opts ...Option) *Messenger {
	o := newOptions(opts)
	return &Messenger{options: o, dialer: dialer.New(dialer.WithTLS(o.TLS))}
}

// Close closes the idle connections; those in use are closed after their call.
func (m *Messenger) Close() error { return m.dialer.Close() }

// Forget closes the idle connections to a peer that left.
func (m *Messenger) Forget(to netip.AddrPort) { m.dialer.Forget(to) }

// heartbeatLane returns the lane of heartbeats and notifications.
func heartbeatLane(to netip.AddrPort) dialer.Lane {
	return dialer.Lane{Address: to, Name: "beat", Size: 1}
}

// callLane returns the lane of forwarded calls.
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
		return primrosespar.Answer{}, primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no complete reply to call %s from %s", call.ID, to).WithCause(err)
	case err != nil:
		return primrosespar.Answer{}, unavailable(to, err)
	}
	return reply.Value, reply.Failure()
}

// unavailable returns the failure for a peer that did not reply.
func unavailable(to netip.AddrPort, err error) error {
	return primrosespar.Fail(primrosespar.CodePeerUnavailable, "call to %s failed", to).WithCause(err)
}
