// Package replier encodes messages and replies with result codes for drpc, and
// describes drpc services. Messages are CBOR, and a service is described by the
// list of its methods, so no code is generated.
//
// # Usage
//
//	func (s *service) heartbeat(ctx context.Context, in *Heartbeat) *replier.Reply[Heartbeat] {
//		return replier.Of(s.handler.HandleHeartbeat(ctx, *in))
//	}
//
//	mux.Register(&service{}, replier.Methods{replier.Handle(rpcHeartbeat, (*service).heartbeat)})
package replier

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

// Limits of a received message.
const (
	maxCollectionSize = 16_384
	maxNestingDepth   = 16
)

// Encoding implements drpc.Encoding with CBOR.
type Encoding struct{}

// EncodedMessage is a message that is already encoded; Marshal returns it
// unchanged.
type EncodedMessage []byte

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(message drpc.Message) ([]byte, error) {
	if data, ok := message.(EncodedMessage); ok {
		return data, nil
	}
	// By default the encoder truncates times to whole seconds.
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
