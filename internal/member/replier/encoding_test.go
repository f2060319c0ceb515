package replier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/replier"
)

// TestEncodingKeepsSubsecondTimes guards against messages in which the wall
// clocks of hosts and the due times of jobs are truncated to whole seconds.
func TestEncodingKeepsSubsecondTimes(t *testing.T) {
	wall := time.UnixMilli(1_792_281_980_778)
	data, err := replier.Encoding{}.Marshal(primrosespar.FleetHeartbeat{Host: "a", WallClock: wall})
	require.NoError(t, err)
	var decoded primrosespar.FleetHeartbeat
	require.NoError(t, replier.Encoding{}.Unmarshal(data, &decoded))
	require.WithinDuration(t, wall, decoded.WallClock, time.Millisecond)
}
