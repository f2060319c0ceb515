// Package messenger carries the messages between the hosts that schedule a fleet
// over drpc.
//
// # Usage
//
//	m := messenger.New()
//	defer m.Close()
//	reply, err := m.Heartbeat(ctx, holder, beat)
//
//	err := messenger.Serve(ctx, listener, handler)
//
// Errors are *primrosespar.Failure: CodePeerUnavailable if the peer gave no
// answer to a question, CodeOutcomeUnknown if it gave none to a submission or
// cancellation that may have reached it.
package messenger

import (
	"context"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/dialer"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// Bounds of one host's calls to one peer.
const (
	// beatTimeout bounds a beat; with it a lost holder is noticed within two
	// beats.
	beatTimeout = 500 * time.Millisecond
	// submitLines and queryLines are the calls in flight; submissions wait for
	// the store and are few.
	submitLines = 16
	queryLines  = 4
)

// Messenger implements primrosespar.FleetPeers. It is safe for concurrent use.
type Messenger struct {
	dialer *dialer.Dialer
}

var _ primrosespar.FleetPeers = (*Messenger)(nil)

// New returns a Messenger without connections.
func New() *Messenger { return &Messenger{dialer: dialer.New()} }

// Close closes the idle connections.
func (c *Messenger) Close() error { return c.dialer.Close() }

// Heartbeat implements primrosespar.FleetPeers.
func (c *Messenger) Heartbeat(ctx context.Context, to netip.AddrPort, beat primrosespar.FleetHeartbeat) (primrosespar.FleetHeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	return ask[primrosespar.FleetHeartbeatReply](ctx, c, dialer.Lane{Address: to, Name: "beat", Size: 1}, rpcBeat, &beat)
}

// Submit implements primrosespar.FleetPeers.
func (c *Messenger) Submit(ctx context.Context, to netip.AddrPort, job primrosespar.Submission) error {
	return c.tell(ctx, to, rpcSubmit, &job)
}

// Cancel implements primrosespar.FleetPeers.
func (c *Messenger) Cancel(ctx context.Context, to netip.AddrPort, id primrosespar.JobID) error {
	return c.tell(ctx, to, rpcCancel, &subject{Job: id})
}

// Advise implements primrosespar.FleetPeers.
func (c *Messenger) Advise(ctx context.Context, to netip.AddrPort, question primrosespar.AdviceRequest) (primrosespar.Advice, error) {
	return ask[primrosespar.Advice](ctx, c, dialer.Lane{Address: to, Name: "advise", Size: 1}, rpcAdvise, &question)
}

// TakeOver implements primrosespar.FleetPeers.
func (c *Messenger) TakeOver(ctx context.Context, to netip.AddrPort) error {
	return c.tell(ctx, to, rpcSucceed, &succession{})
}

// State implements primrosespar.FleetPeers.
func (c *Messenger) State(ctx context.Context, to netip.AddrPort, id primrosespar.JobID) (primrosespar.JobState, error) {
	return ask[primrosespar.JobState](ctx, c, dialer.Lane{Address: to, Name: "query", Size: queryLines}, rpcState, &subject{Job: id})
}

// tell makes a call that changes something.
func (c *Messenger) tell(ctx context.Context, to netip.AddrPort, rpc string, in any) error {
	var out replier.Reply[struct{}]
	sent, err := c.dialer.Invoke(ctx, dialer.Lane{Address: to, Name: "submit", Size: submitLines}, rpc, in, &out)
	switch {
	case err != nil && sent:
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no answer of %s", to).WithCause(err)
	case err != nil:
		return primrosespar.Fail(primrosespar.CodePeerUnavailable, "%s", to).WithCause(err)
	}
	return out.Failure()
}

// ask makes a call that changes nothing.
func ask[Out any](ctx context.Context, c *Messenger, lane dialer.Lane, rpc string, in any) (Out, error) {
	var out replier.Reply[Out]
	if _, err := c.dialer.Invoke(ctx, lane, rpc, in, &out); err != nil {
		return out.Value, primrosespar.Fail(primrosespar.CodePeerUnavailable, "%s", lane.Address).WithCause(err)
	}
	return out.Value, out.Failure()
}
