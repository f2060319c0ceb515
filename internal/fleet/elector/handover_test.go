package elector_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/fencer"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// handoverLimit is the time in which a host that the holder has asked takes the
// lease over from it.
const handoverLimit = 100 * time.Millisecond

// lastRank makes the host of the fixture the fourth in the order of succession.
func (f *fixture) lastRank() (primrosespar.FleetHeartbeatReply, error) {
	reply, err := f.leadingReply()
	reply.Hosts = []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.3:1"), netip.MustParseAddrPort("10.0.0.4:1"), netip.MustParseAddrPort("10.0.0.5:1"), reply.Hosts[0],
	}
	return reply, err
}

// TestReleasedLeaseGoesToTheAskedHostAtOnce guards against a planned stop beside
// an outage: a successor that waited 180 ms for its rank and weight found the
// store gone, and the fleet had no holder for 7 s.
func TestReleasedLeaseGoesToTheAskedHostAtOnce(t *testing.T) {
	runWithFixture(t, func(ctx context.Context, t *testing.T, f *fixture) {
		f.peers.setReply(f.lastRank)
		time.Sleep(time.Second)
		require.NoError(t, f.holder.Release(ctx))
		f.elector.TakeOver(fencer.Stride)
		time.Sleep(handoverLimit)
		require.True(t, f.led.Load())
	})
}

// TestHolderThatAsksIsReplacedAtOnce guards against callers that wait until the
// lease row has not changed for some time, although the holder itself says that
// the store refuses it.
func TestHolderThatAsksIsReplacedAtOnce(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.elector.TakeOver(fencer.Stride)
		time.Sleep(handoverLimit)
		require.True(t, f.led.Load())
	})
}

// TestSlowStoreKeepsTheHolderThatAsks guards against a change of holder that
// does not help, because the store is slow for every host.
func TestSlowStoreKeepsTheHolderThatAsks(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.table.SetFaults(keeper.Faults{Slow: 300 * time.Millisecond})
		f.elector.TakeOver(fencer.Stride)
		time.Sleep(700 * time.Millisecond)
		require.False(t, f.led.Load())
	})
}

// TestRequestDoesNotOutliveAnOutage guards against a takeover from a holder that
// asked during an outage of the store for all hosts and has recovered since.
func TestRequestDoesNotOutliveAnOutage(t *testing.T) {
	runWithFixture(t, func(ctx context.Context, t *testing.T, f *fixture) {
		f.table.SetFaults(keeper.Faults{Outage: true})
		for range 5 {
			f.elector.TakeOver(fencer.Stride)
			time.Sleep(500 * time.Millisecond)
		}
		f.table.SetFaults(keeper.Faults{})
		for range 6 {
			require.NoError(t, f.holder.Commit(ctx, nil))
			time.Sleep(500 * time.Millisecond)
		}
		require.False(t, f.led.Load())
	})
}

// TestAskedHostLeavesALaterHolderAlone guards against a request that names an
// earlier holder.
func TestAskedHostLeavesALaterHolderAlone(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.elector.TakeOver(fencer.Stride - 1)
		time.Sleep(handoverLimit)
		require.False(t, f.led.Load())
	})
}

// TestSlowStoreKeepsAStalledHolder guards against successors whose attempts to
// take over fill the store's queue, behind which the commit of the holder that
// lives has to wait.
func TestSlowStoreKeepsAStalledHolder(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.table.SetFaults(keeper.Faults{Slow: 300 * time.Millisecond})
		f.peers.setReply(func() (primrosespar.FleetHeartbeatReply, error) {
			reply, err := f.leadingReply()
			reply.CommitStalled = true
			return reply, err
		})
		time.Sleep(2 * time.Second)
		require.False(t, f.led.Load())
	})
}

// TestSearchKeepsTheHolderInAnOutage guards against hosts that know no holder,
// and cannot ask it for states, since they searched for another one while the
// store was down.
func TestSearchKeepsTheHolderInAnOutage(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.table.SetFaults(keeper.Faults{Outage: true})
		f.elector.Search()
		f.elector.TakeOver(fencer.Stride)
		time.Sleep(time.Second)
		_, ok := f.elector.Holder()
		require.True(t, ok)
	})
}

// TestSilentHolderIsNotCalled guards against calls that wait for a host without
// power beside an outage, after which their outcome is unknown.
func TestSilentHolderIsNotCalled(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.table.SetFaults(keeper.Faults{Outage: true})
		f.peers.setReply(silence)
		time.Sleep(1200 * time.Millisecond)
		require.False(t, f.led.Load())
		_, ok := f.elector.Holder()
		require.False(t, ok)
	})
}

// TestSharedOutageKeepsItsHolder guards against a change of holder at the end of
// an outage of the store for all hosts: the holder has asked this one all the
// while, and commits again a moment after the store has returned.
func TestSharedOutageKeepsItsHolder(t *testing.T) {
	runWithFixture(t, func(ctx context.Context, t *testing.T, f *fixture) {
		f.table.SetFaults(keeper.Faults{Outage: true})
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			f.elector.TakeOver(fencer.Stride)
		}
		time.Sleep(500 * time.Millisecond)
		f.table.SetFaults(keeper.Faults{})
		f.elector.TakeOver(fencer.Stride)
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, f.holder.Commit(ctx, nil))
		require.False(t, f.led.Load())
	})
}
