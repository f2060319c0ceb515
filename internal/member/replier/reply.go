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

// Method is one method of a service, as drpc takes it.
type Method struct {
	name     string
	receiver drpc.Receiver
	// typed has the shape that drpc inspects: it returns an error.
	typed any
}

// Handle returns the method with its name on the wire.
func Handle[S, In, Out any](name string, method func(S, context.Context, *In) *Out) Method {
	return Method{
		name: name,
		receiver: func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
			s, okService := srv.(S)
			msg, okMessage := in.(*In)
			if !okService || !okMessage {
				return nil, eris.New("unexpected type of service or message")
			}
			return method(s, ctx, msg), nil
		},
		typed: func(s S, ctx context.Context, in *In) (*Out, error) {
			return method(s, ctx, in), nil
		},
	}
}

// Methods describe a service for drpc.
type Methods []Method

// NumMethods implements drpc.Description.
func (m Methods) NumMethods() int { return len(m) }

// Method implements drpc.Description.
func (m Methods) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(m) {
		return "", nil, nil, nil, false
	}
	return m[n].name, Encoding{}, m[n].receiver, m[n].typed, true
}
