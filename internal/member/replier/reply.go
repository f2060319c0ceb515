package replier

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/panics"
	"storj.io/drpc"

	"primrosespar.example/primrosespar"
)

// Reply is the message that answers a call: a value, or a failure with its
// code.
type Reply[T any] struct {
	Value   T                 `json:"value"`
	Code    primrosespar.Code `json:"code,omitempty"`
	Message string            `json:"message,omitempty"`
	Ran     primrosespar.Ran  `json:"ran,omitempty"`
}

// Of returns the reply for the result of a handler. For an error that is not a
// primrosespar.Failure it is unknown whether the work ran.
func Of[T any](value T, err error) *Reply[T] {
	if err == nil {
		return &Reply[T]{Value: value}
	}
	r := &Reply[T]{Code: primrosespar.CodeOf(err), Message: err.Error(), Ran: primrosespar.RanUnknown}
	var failure *primrosespar.Failure
	if eris.As(err, &failure) {
		r.Message, r.Ran = failure.Message, failure.Ran
	}
	return r
}

// Failure returns the error in the reply, nil if there is none.
func (r Reply[T]) Failure() error {
	if r.Code == primrosespar.CodeOK {
		return nil
	}
	return &primrosespar.Failure{Code: r.Code, Message: r.Message, Ran: r.Ran}
}

// Method describes one method of a service for drpc.
type Method struct {
	name     string
	receiver drpc.Receiver
	// signature is a function with the parameters and results that drpc
	// inspects by reflection; drpc does not call it.
	signature any
}

// Handle returns the description of a method; name is its name on the wire.
func Handle[S, In, Out any](name string, method func(S, context.Context, *In) *Out) Method {
	return Method{
		name: name,
		receiver: func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
			service, serviceOK := srv.(S)
			message, messageOK := in.(*In)
			if !serviceOK || !messageOK {
				return nil, eris.New("unexpected type of service or message")
			}
			return method(service, ctx, message), nil
		},
		signature: func(service S, ctx context.Context, in *In) (*Out, error) {
			return method(service, ctx, in), nil
		},
	}
}

// Methods implements drpc.Description.
type Methods []Method

// Guarded returns the methods with a panic in one turned into the failure of
// that call, which is passed to onPanic with the name of the method. Without it
// a panic ends the process, because drpc does not recover from it.
func (m Methods) Guarded(onPanic func(method string, err error)) Methods {
	guarded := slices.Clone(m)
	for i := range guarded {
		name, receive := guarded[i].name, guarded[i].receiver
		guarded[i].receiver = func(srv any, ctx context.Context, in1, in2 any) (drpc.Message, error) {
			var out drpc.Message
			var err error
			if recovered := panics.Try(func() { out, err = receive(srv, ctx, in1, in2) }); recovered != nil {
				err = eris.Wrapf(recovered.AsError(), "%s panicked", name)
				onPanic(name, err)
				return nil, eris.Errorf("%s failed unexpectedly", name)
			}
			return out, err
		}
	}
	return guarded
}

// NumMethods implements drpc.Description.
func (m Methods) NumMethods() int { return len(m) }

// Method implements drpc.Description.
func (m Methods) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(m) {
		return "", nil, nil, nil, false
	}
	return m[n].name, Encoding{}, m[n].receiver, m[n].signature, true
}
