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
	maxCollectionSize = 16_384
	maxNestingDepth   = 16
)

// Encoding is the CBOR drpc.Encoding.
type Encoding struct{}

// EncodedMessage is a message that was marshalled before.
type EncodedMessage []byte

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(message drpc.Message) ([]byte, error) {
	if data, ok := message.(EncodedMessage); ok {
		return data, nil
	}
	// The default cuts times to whole seconds.
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "encoder options")
	}
	data, err := mode.Marshal(message)
	return data, eris.Wrap(err, "encode message")
}

// Unmarshal implements drpc.Encoding.
func (Encoding) Unmarshal(data []byte, message drpc.Message) error {
	mode, err := cbor.DecOptions{MaxArrayElements: maxCollectionSize, MaxMapPairs: maxCollectionSize, MaxNestedLevels: maxNestingDepth}.DecMode()
	if err != nil {
		return eris.Wrap(err, "decoder options")
	}
	return eris.Wrap(mode.Unmarshal(data, message), "decode message")
}
