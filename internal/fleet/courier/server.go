package courier

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/dialer"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// Names of the methods on the wire.
const (
	rpcBeat    = "/primrosespar.FleetPeers/Beat"
	rpcSubmit  = "/primrosespar.FleetPeers/Submit"
	rpcState   = "/primrosespar.FleetPeers/State"
	rpcCancel  = "/primrosespar.FleetPeers/Cancel"
	rpcSucceed = "/primrosespar.FleetPeers/Succeed"
)

// subject is the message of State and Cancel.
type subject struct {
	Job primrosespar.JobID `json:"job"`
}

// succession is the message of Succeed, which says nothing but that it came.
type succession struct{}

// service passes messages to the handler.
type service struct {
	handler primrosespar.FleetHandler
}

// Serve answers peers on the listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler primrosespar.FleetHandler) error {
	mux := drpcmux.New()
	if err := mux.Register(&service{handler: handler}, description{}); err != nil {
		return eris.Wrap(err, "register fleet service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	return eris.Wrap(server.Serve(ctx, listener), "serve fleet peers")
}

// beat serves a beat.
func (s *service) beat(ctx context.Context, in *primrosespar.FleetBeat) *replier.Reply[primrosespar.FleetNews] {
	return replier.Of(s.handler.HandleBeat(ctx, *in))
}

// submit serves a submission.
func (s *service) submit(ctx context.Context, in *primrosespar.Submission) *replier.Reply[struct{}] {
	return replier.Of(struct{}{}, s.handler.HandleSubmit(ctx, *in))
}

// state serves a question for a job.
func (s *service) state(ctx context.Context, in *subject) *replier.Reply[primrosespar.JobState] {
	return replier.Of(s.handler.HandleState(ctx, in.Job))
}

// cancel serves a cancellation.
func (s *service) cancel(ctx context.Context, in *subject) *replier.Reply[struct{}] {
	return replier.Of(struct{}{}, s.handler.HandleCancel(ctx, in.Job))
}

// succeed serves a handover.
func (s *service) succeed(ctx context.Context, _ *succession) *replier.Reply[struct{}] {
	return replier.Of(struct{}{}, s.handler.HandleSucceed(ctx))
}

// description lists the methods for drpc.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 5 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcBeat, replier.Encoding{}, replier.Receive((*service).beat), replier.Typed((*service).beat), true
	case 1:
		return rpcSubmit, replier.Encoding{}, replier.Receive((*service).submit), replier.Typed((*service).submit), true
	case 2:
		return rpcState, replier.Encoding{}, replier.Receive((*service).state), replier.Typed((*service).state), true
	case 3:
		return rpcCancel, replier.Encoding{}, replier.Receive((*service).cancel), replier.Typed((*service).cancel), true
	case 4:
		return rpcSucceed, replier.Encoding{}, replier.Receive((*service).succeed), replier.Typed((*service).succeed), true
	}
	return "", nil, nil, nil, false
}
