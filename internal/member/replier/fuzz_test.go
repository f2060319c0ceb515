package replier_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// FuzzUnmarshal feeds any bytes to the decoder of each message that hosts send
// each other. It guards against a message that panics, and against one that is
// decoded and cannot be passed on.
func FuzzUnmarshal(f *testing.F) {
	for _, message := range []any{
		primrosespar.FleetHeartbeat{Host: "a", Weight: math.NaN(), WallClock: time.UnixMilli(math.MaxInt64)},
		primrosespar.FleetHeartbeatReply{Leading: true, Waiting: map[primrosespar.Queue]int{"q": -1}},
		primrosespar.Submission{ID: "a", Steps: []primrosespar.Step{{Count: -1, After: []int{-1}}}},
		primrosespar.AdviceRequest{Job: "a", Workers: []primrosespar.Worker{"w"}},
		primrosespar.Heartbeat{Host: "a", ViewAge: math.MinInt64, Usage: []primrosespar.SlotUsage{{Used: -1}}},
		primrosespar.Call{Account: "a"},
		primrosespar.Answer{},
		replier.Reply[primrosespar.JobState]{Value: primrosespar.JobQueued},
	} {
		data, err := replier.Encoding{}.Marshal(message)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var encoding replier.Encoding
		for _, message := range []any{
			new(primrosespar.FleetHeartbeat), new(primrosespar.FleetHeartbeatReply), new(primrosespar.Submission),
			new(primrosespar.AdviceRequest), new(primrosespar.JobRequest), new(primrosespar.Advice), new(primrosespar.Heartbeat), new(primrosespar.Call),
			new(primrosespar.Answer), new(replier.Reply[primrosespar.JobState]), new(replier.Reply[primrosespar.FleetHeartbeatReply]),
		} {
			if encoding.Unmarshal(data, message) == nil {
				_, err := encoding.Marshal(message)
				require.NoError(t, err)
			}
		}
	})
}
