package replier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// TestMessagesKeepTimes guards against the wall clocks of hosts and the due
// times of jobs that are cut to whole seconds on their way.
func TestMessagesKeepTimes(t *testing.T) {
	wall := time.UnixMilli(1_792_281_980_778)
	data, err := replier.Encoding{}.Marshal(primrosespar.FleetHeartbeat{Host: "a", WallClock: wall})
	require.NoError(t, err)
	var got primrosespar.FleetHeartbeat
	require.NoError(t, replier.Encoding{}.Unmarshal(data, &got))
	require.WithinDuration(t, wall, got.WallClock, time.Millisecond)
}
