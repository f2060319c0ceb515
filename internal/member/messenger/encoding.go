package messenger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"primrosespar.example/primrosespar"
)

// Bounds of the shape of a received message.
const (
	maxElements = 16_384
	maxNesting  = 16
)

// encoding is the CBOR drpc.Encoding.
type encoding struct{}

// encoded is a message that was marshalled before.
type encoded []byte

// Marshal implements drpc.Encoding.
func (encoding) Marshal(msg drpc.Message) ([]byte, error) {
	if data, ok := msg.(encoded); ok {
		return data, nil
	}
	data, err := cbor.Marshal(msg)
	return data, eris.Wrap(err, "encode message")
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(data []byte, msg drpc.Message) error {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		return eris.Wrap(err, "decoder options")
	}
	return eris.Wrap(mode.Unmarshal(data, msg), "decode message")
}

// notice is the message of Notify.
type notice struct {
	Place primrosespar.Place `json:"place"`
	Job   primrosespar.JobID `json:"job"`
}

// reply carries a value or a failure with its code.
type reply[T any] struct {
	Value   T                 `json:"value"`
	Code    primrosespar.Code `json:"code,omitempty"`
	Message string            `json:"message,omitempty"`
	Ran     primrosespar.Ran  `json:"ran,omitempty"`
}

// replyOf packs the result of a handler. An error without a code leaves it
// open whether the work ran.
func replyOf[T any](value T, err error) *reply[T] {
	if err == nil {
		return &reply[T]{Value: value}
	}
	r := &reply[T]{Code: primrosespar.CodeOf(err), Message: err.Error(), Ran: primrosespar.RanUnknown}
	var f *primrosespar.Failure
	if eris.As(err, &f) {
		r.Message, r.Ran = f.Message, f.Ran
	}
	return r
}

// failure returns the error of the reply.
func (r reply[T]) failure() error {
	if r.Code == primrosespar.CodeOK {
		return nil
	}
	return &primrosespar.Failure{Code: r.Code, Message: r.Message, Ran: r.Ran}
}
