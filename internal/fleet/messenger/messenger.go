// Package messenger sends and serves messages between the hosts that schedule a
// fleet, over drpc.
//
// # Usage
//
//	m := messenger.New()
//	defer m.Close()
//	reply, err := m.Heartbeat(ctx, holder, heartbeat)
//
//	err := messenger.Serve(ctx, listener, handler, onPanic)
//
// Errors are *primrosespar.Failure. Without an answer, a heartbeat, query or
// advice request fails with CodePeerUnavailable. A submission, cancellation or
// takeover fails with CodeOutcomeUnknown if it may have reached the peer, else
// with CodePeerUnavailable.
package messenger

import (
	"context"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/dialer"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// Limits of one host's calls to one peer.
const (
	// heartbeatTimeout bounds a heartbeat, so that a lost holder is noticed
	// within two heartbeats.
	heartbeatTimeout = 500 * time.Millisecond
	// maxSubmitCalls and maxQueryCalls bound the calls in flight. Submissions
	// are few, but each waits for the store.
	maxSubmitCalls = 16
	maxQueryCalls  = 4
)

// Messenger implements primrosespar.FleetPeers. It is safe for concurrent use.
type Messenger struct {
	dialer *dialer.Dialer
}

var _ primrosespar.FleetPeers = (*Messenger)(nil)

// New returns a Messenger without connections.
func New() *Messenger { return &Messenger{dialer: dialer.New()} }

// Close closes the idle connections.
func (m *Messenger) Close() error { return m.dialer.Close() }

// Heartbeat implements primrosespar.FleetPeers.
func (m *Messenger) Heartbeat(ctx context.Context, to netip.AddrPort, heartbeat primrosespar.FleetHeartbeat) (primrosespar.FleetHeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return callRead[primrosespar.FleetHeartbeatReply](ctx, m, dialer.Lane{Address: to, Name: "beat", Size: 1}, rpcHeartbeat, &heartbeat)
}

// Submit implements primrosespar.FleetPeers.
func (m *Messenger) Submit(ctx context.Context, to netip.AddrPort, job primrosespar.Submission) error {
	return m.callWrite(ctx, to, rpcSubmit, &job)
}

// Cancel implements primrosespar.FleetPeers.
func (m *Messenger) Cancel(ctx context.Context, to netip.AddrPort, request primrosespar.JobRequest) error {
	return m.callWrite(ctx, to, rpcCancel, &request)
}

// Advise implements primrosespar.FleetPeers.
func (m *Messenger) Advise(ctx context.Context, to netip.AddrPort, request primrosespar.AdviceRequest) (primrosespar.Advice, error) {
	return callRead[primrosespar.Advice](ctx, m, dialer.Lane{Address: to, Name: "advise", Size: 1}, rpcAdvise, &request)
}

// TakeOver implements primrosespar.FleetPeers.
func (m *Messenger) TakeOver(ctx context.Context, to netip.AddrPort, token primrosespar.Token) error {
	return m.callWrite(ctx, to, rpcTakeOver, &takeOverRequest{Token: token})
}

// State implements primrosespar.FleetPeers.
func (m *Messenger) State(ctx context.Context, to netip.AddrPort, request primrosespar.JobRequest) (primrosespar.JobState, error) {
	return callRead[primrosespar.JobState](ctx, m, dialer.Lane{Address: to, Name: "query", Size: maxQueryCalls}, rpcState, &request)
}

// callWrite makes a call that changes a job or the lease.
func (m *Messenger) callWrite(ctx context.Context, to netip.AddrPort, rpc string, in any) error {
	var out replier.Reply[struct{}]
	sent, err := m.dialer.Invoke(ctx, dialer.Lane{Address: to, Name: "submit", Size: maxSubmitCalls}, rpc, in, &out)
	switch {
	case err != nil && sent:
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "host %s did not answer", to).WithCause(err)
	case err != nil:
		return primrosespar.Fail(primrosespar.CodePeerUnavailable, "the call to host %s was not sent", to).WithCause(err)
	}
	return out.Failure()
}

// callRead makes a call that changes neither a job nor the lease.
func callRead[Out any](ctx context.Context, m *Messenger, lane dialer.Lane, rpc string, in any) (Out, error) {
	var out replier.Reply[Out]
	if _, err := m.dialer.Invoke(ctx, lane, rpc, in, &out); err != nil {
		return out.Value, primrosespar.Fail(primrosespar.CodePeerUnavailable, "host %s did not answer", lane.Address).WithCause(err)
	}
	return out.Value, out.Failure()
}
