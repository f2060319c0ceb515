package daemon_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/entry/daemon"
)

// suspendableStopwatch is the stopwatch of a machine whose suspensions take no
// time.
type suspendableStopwatch struct {
	started   time.Time
	suspended atomic.Int64
}

// Elapsed implements primrosespar.Stopwatch.
func (s *suspendableStopwatch) Elapsed() time.Duration {
	return time.Since(s.started) + time.Duration(s.suspended.Load())
}

// TestSuspensionCounts guards against a daemon whose parts do not count the time
// for which the machine was suspended: its contracts pass for current and its
// slots for its own.
func TestSuspensionCounts(t *testing.T) {
	platform := newInstallation()
	platform.addUpstream(0, netip.MustParseAddrPort("127.0.0.1:9"))
	platform.addContracts(t, 1)
	watch := &suspendableStopwatch{started: time.Now()}
	d := daemon.New(newSettings(t, "h-00"), daemon.Platform{
		Table: platform.table, Objects: platform.table, Hosts: platform.table, Workers: platform.executor,
	}, daemon.WithStopwatch(watch))
	const suspended = 20 * time.Second
	before, after, err := d.StatusAroundSuspension(t.Context(), func(d time.Duration) { watch.suspended.Add(int64(d)) }, suspended)
	require.NoError(t, err)
	require.False(t, before.Restricted)
	require.Equal(t, 8, before.Upstreams[0].Slots)
	require.True(t, after.Restricted)
	require.GreaterOrEqual(t, time.Duration(after.ViewAge), suspended)
	require.Zero(t, after.Upstreams[0].Slots)
}
