package messenger

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"primrosespar.example/primrosespar"
)

// Names of the methods on the wire.
const (
	rpcBeat    = "/primrosespar.Peers/Beat"
	rpcExecute = "/primrosespar.Peers/Execute"
	rpcNotify  = "/primrosespar.Peers/Notify"
)

// service passes messages to the handler.
type service struct {
	handler primrosespar.PeerHandler
	clock   primrosespar.Clock
}

// Serve answers peers on the listener until the context ends. It then closes
// the listener and cancels the calls in flight, so a planned stop ends the
// context only after the host has drained.
func Serve(ctx context.Context, listener net.Listener, handler primrosespar.PeerHandler, opts ...Option) error {
	o := collect(opts)
	mux := drpcmux.New()
	if err := mux.Register(&service{handler: handler, clock: o.Clock}, description{}); err != nil {
		return eris.Wrap(err, "register peer service")
	}
	if o.TLS != nil {
		listener = tls.NewListener(listener, &tls.Config{
			MinVersion:         tls.VersionTLS13,
			GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return o.TLS(), nil },
		})
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return eris.Wrap(server.Serve(ctx, listener), "serve peers")
}

// beat serves a heartbeat.
func (s *service) beat(ctx context.Context, in *primrosespar.Heartbeat) *reply[primrosespar.Heartbeat] {
	return replyOf(s.handler.HandleBeat(ctx, *in))
}

// execute serves a call; its deadline is set on the clock of this process.
func (s *service) execute(ctx context.Context, in *primrosespar.Call) *reply[primrosespar.Answer] {
	in.Deadline = s.clock.Now().Add(in.Left)
	return replyOf(s.handler.HandleExecute(ctx, *in))
}

// notify serves a notice.
func (s *service) notify(ctx context.Context, in *notice) *reply[struct{}] {
	return replyOf(struct{}{}, s.handler.HandleNotify(ctx, in.Place, in.Job))
}

// description lists the methods for drpc.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 3 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcBeat, encoding{}, receive((*service).beat), typed((*service).beat), true
	case 1:
		return rpcExecute, encoding{}, receive((*service).execute), typed((*service).execute), true
	case 2:
		return rpcNotify, encoding{}, receive((*service).notify), typed((*service).notify), true
	}
	return "", nil, nil, nil, false
}

// receive adapts a method to the receiver that drpc calls.
func receive[In, Out any](method func(*service, context.Context, *In) *Out) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		s, okService := srv.(*service)
		msg, okMessage := in.(*In)
		if !okService || !okMessage {
			return nil, eris.New("unexpected type of service or message")
		}
		return method(s, ctx, msg), nil
	}
}

// typed gives the method the shape that drpc inspects: it returns an error.
func typed[In, Out any](method func(*service, context.Context, *In) *Out) any {
	return func(s *service, ctx context.Context, in *In) (*Out, error) {
		return method(s, ctx, in), nil
	}
}
