package messenger

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/dialer"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// Names of the RPC methods on the wire.
const (
	rpcHeartbeat = "/primrosespar.FleetPeers/Beat"
	rpcSubmit    = "/primrosespar.FleetPeers/Submit"
	rpcState     = "/primrosespar.FleetPeers/State"
	rpcCancel    = "/primrosespar.FleetPeers/Cancel"
	rpcAdvise    = "/primrosespar.FleetPeers/Advise"
	rpcTakeOver  = "/primrosespar.FleetPeers/Succeed"
)

// takeOverRequest is the request message of TakeOver. Hosts of earlier releases
// send no token.
type takeOverRequest struct {
	Token primrosespar.Token `json:"token,omitempty"`
}

// service passes requests to the handler.
type service struct {
	handler primrosespar.FleetHandler
}

// Serve serves other hosts on the listener until the context ends. A panic in a
// call fails that call and is passed to onPanic.
func Serve(ctx context.Context, listener net.Listener, handler primrosespar.FleetHandler, onPanic func(method string, err error)) error {
	mux := drpcmux.New()
	if err := mux.Register(&service{handler: handler}, methods().Guarded(onPanic)); err != nil {
		return eris.Wrap(err, "register fleet service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	return eris.Wrap(server.Serve(ctx, listener), "serve fleet peers")
}

// heartbeat serves a heartbeat.
func (s *service) heartbeat(ctx context.Context, in *primrosespar.FleetHeartbeat) *replier.Reply[primrosespar.FleetHeartbeatReply] {
	return replier.Of(s.handler.HandleHeartbeat(ctx, *in))
}

// submit serves a submission.
func (s *service) submit(ctx context.Context, in *primrosespar.Submission) *replier.Reply[struct{}] {
	return replier.Of(struct{}{}, s.handler.HandleSubmit(ctx, *in))
}

// state serves a query for the state of a job.
func (s *service) state(ctx context.Context, in *primrosespar.JobRequest) *replier.Reply[primrosespar.JobState] {
	return replier.Of(s.handler.HandleState(ctx, *in))
}

// cancel serves a cancellation.
func (s *service) cancel(ctx context.Context, in *primrosespar.JobRequest) *replier.Reply[struct{}] {
	return replier.Of(struct{}{}, s.handler.HandleCancel(ctx, *in))
}

// advise serves a request to the advice service.
func (s *service) advise(ctx context.Context, in *primrosespar.AdviceRequest) *replier.Reply[primrosespar.Advice] {
	return replier.Of(s.handler.HandleAdvise(ctx, *in))
}

// takeOver serves a request to take over the lease.
func (s *service) takeOver(ctx context.Context, in *takeOverRequest) *replier.Reply[struct{}] {
	return replier.Of(struct{}{}, s.handler.HandleTakeOver(ctx, in.Token))
}

// methods returns the method table of the service for drpc.
func methods() replier.Methods {
	return replier.Methods{
		replier.Handle(rpcHeartbeat, (*service).heartbeat),
		replier.Handle(rpcSubmit, (*service).submit),
		replier.Handle(rpcState, (*service).state),
		replier.Handle(rpcCancel, (*service).cancel),
		replier.Handle(rpcAdvise, (*service).advise),
		replier.Handle(rpcTakeOver, (*service).takeOver),
	}
}
