package messenger

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/dialer"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// Names of the methods on the wire.
const (
	rpcHeartbeat = "/primrosespar.Peers/Beat"
	rpcExecute   = "/primrosespar.Peers/Execute"
	rpcNotify    = "/primrosespar.Peers/Notify"
)

// notification is the message of Notify.
type notification struct {
	Place primrosespar.Place `json:"place"`
	Job   primrosespar.JobID `json:"job"`
}

// service is the drpc service; it passes messages to the handler.
type service struct {
	handler primrosespar.PeerHandler
	clock   primrosespar.Clock
}

// Serve serves peers on the listener until the context ends. It then closes the
// listener and cancels the calls in flight, so for a planned stop the context
// must end only after the host has drained.
func Serve(ctx context.Context, listener net.Listener, handler primrosespar.PeerHandler, opts ...Option) error {
	o := newOptions(opts)
	mux := drpcmux.New()
	if err := mux.Register(&service{handler: handler, clock: o.Clock}, methods().Guarded(o.OnPanic)); err != nil {
		return eris.Wrap(err, "register peer service")
	}
	if o.TLS != nil {
		listener = tls.NewListener(listener, &tls.Config{
			MinVersion:         tls.VersionTLS13,
			GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return o.TLS(), nil },
		})
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.ManagerOptions()})
	return eris.Wrap(server.Serve(ctx, listener), "serve peers")
}

// heartbeat handles a heartbeat.
func (s *service) heartbeat(ctx context.Context, in *primrosespar.Heartbeat) *replier.Reply[primrosespar.Heartbeat] {
	return replier.Of(s.handler.HandleHeartbeat(ctx, *in))
}

// execute handles a forwarded call. It sets the deadline from the remaining
// time, by the clock of this process.
func (s *service) execute(ctx context.Context, in *primrosespar.Call) *replier.Reply[primrosespar.Answer] {
	in.Deadline = s.clock.Now().Add(in.Remaining)
	return replier.Of(s.handler.HandleExecute(ctx, *in))
}

// notify handles a notification.
func (s *service) notify(ctx context.Context, in *notification) *replier.Reply[struct{}] {
	return replier.Of(struct{}{}, s.handler.HandleNotify(ctx, in.Place, in.Job))
}

// methods returns the description of the service for drpc.
func methods() replier.Methods {
	return replier.Methods{
		replier.Handle(rpcHeartbeat, (*service).heartbeat),
		replier.Handle(rpcExecute, (*service).execute),
		replier.Handle(rpcNotify, (*service).notify),
	}
}
