package replier

import (
	"context"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"primrosespar.example/primrosespar"
)

// Reply carries a value or a failure with its code.
type Reply[T any] struct {
	Value   T                 `json:"value"`
	Code    primrosespar.Code `json:"code,omitempty"`
	Message string            `json:"message,omitempty"`
	Ran     primrosespar.Ran  `json:"ran,omitempty"`
}

// Of packs the result of a handler. An error without a code leaves it open
// whether the work ran.
func Of[T any](value T, err error) *Reply[T] {
	if err == nil {
		return &Reply[T]{Value: value}
	}
	r := &Reply[T]{Code: primrosespar.CodeOf(err), Message: err.Error(), Ran: primrosespar.RanUnknown}
	var f *primrosespar.Failure
	if eris.As(err, &f) {
		r.Message, r.Ran = f.Message, f.Ran
	}
	return r
}

// Failure returns the error of the reply.
func (r Reply[T]) Failure() error {
	if r.Code == primrosespar.CodeOK {
		return nil
	}
	return &primrosespar.Failure{Code: r.Code, Message: r.Message, Ran: r.Ran}
}

// Receive adapts a method to the receiver that drpc calls.
func Receive[S, In, Out any](method func(S, context.Context, *In) *Out) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		s, okService := srv.(S)
		msg, okMessage := in.(*In)
		if !okService || !okMessage {
			return nil, eris.New("unexpected type of service or message")
		}
		return method(s, ctx, msg), nil
	}
}

// Typed gives the method the shape that drpc inspects: it returns an error.
func Typed[S, In, Out any](method func(S, context.Context, *In) *Out) any {
	return func(s S, ctx context.Context, in *In) (*Out, error) {
		return method(s, ctx, in), nil
	}
}
