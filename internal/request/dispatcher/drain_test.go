package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/dispatcher"
)

// TestDrainServesWaitingCalls guards against a planned shutdown that drops
// waiting calls or gives up the slots that they need.
func TestDrainServesWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		var wg conc.WaitGroup
		for range 3 * slotsPerUpstream {
			wg.Go(func() {
				grant, err := d.Acquire(t.Context(), primrosespar.Call{Account: "x", Class: "c", Deadline: time.Now().Add(30 * time.Second)})
				require.NoError(t, err)
				time.Sleep(2 * time.Second)
				grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeOK, Sent: true, Latency: 2 * time.Second})
			})
		}
		synctest.Wait()
		d.SetDraining(true)
		_, err := d.Acquire(t.Context(), primrosespar.Call{Account: "x", Class: "c", Deadline: time.Now().Add(time.Second)})
		require.Equal(t, primrosespar.CodeDraining, primrosespar.CodeOf(err))
		tick(d, 1)
		require.False(t, d.Heartbeat("peer").Draining)
		tick(d, 7)
		wg.Wait()
		require.True(t, d.Heartbeat("peer").Draining)
		require.Empty(t, d.Heartbeat("peer").Usage)
	})
}

// TestUpstreamsReportSlotsAndLeaving guards against a status that lacks
// upstreams, their slots in use or the announcement that one is leaving.
func TestUpstreamsReportSlotsAndLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		grant, err := d.Acquire(t.Context(), primrosespar.Call{Account: "x", Class: "c", Deadline: time.Now().Add(time.Second)})
		require.NoError(t, err)
		want := dispatcher.UpstreamState{Upstream: "u", Slots: slotsPerUpstream, Used: 1}
		require.Equal(t, []dispatcher.UpstreamState{want}, d.Upstreams())
		grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeOK, Sent: true, Leaving: true})
		want.Used, want.Leaving = 0, true
		require.Equal(t, []dispatcher.UpstreamState{want}, d.Upstreams())
	})
}
