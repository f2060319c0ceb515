// Package replier carries messages and replies with result codes over drpc.
// Messages are CBOR, and a service is described by the list of its methods, so
// no generator is needed.
//
// # Usage
//
//	func (s *service) beat(ctx context.Context, in *beat) *replier.Reply[beat] {
//		return replier.Of(s.handler.HandleHeartbeat(ctx, *in))
//	}
//
//	mux.Register(&service{}, replier.Methods{replier.Handle(rpcBeat, (*service).beat)})
package replier

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

// Bounds of the shape of a received message.
const (
	maxElements = 16_384
	maxNesting  = 16
)

// Encoding is the CBOR drpc.Encoding.
type Encoding struct{}

// Encoded is a message that was marshalled before.
type Encoded []byte

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(msg drpc.Message) ([]byte, error) {
	if data, ok := msg.(Encoded); ok {
		return data, nil
	}
	// The default cuts times to whole seconds.
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "encoder options")
	}
	data, err := mode.Marshal(msg)
	return data, eris.Wrap(err, "encode message")
}

// Unmarshal implements drpc.Encoding.
func (Encoding) Unmarshal(data []byte, msg drpc.Message) error {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		return eris.Wrap(err, "decoder options")
	}
	return eris.Wrap(mode.Unmarshal(data, msg), "decode message")
}
