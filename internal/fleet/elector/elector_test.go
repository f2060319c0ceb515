package elector_test

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/committer"
	"primrosespar.example/primrosespar/internal/fleet/elector"
	"primrosespar.example/primrosespar/internal/fleet/fencer"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// takeoverLimit is the time within which a lost holder has to be replaced: a
// second or two, plus the step in which the loss is noticed.
const takeoverLimit = 2500 * time.Millisecond

// fakePeers answers heartbeats with the reply that a test sets.
type fakePeers struct {
	primrosespar.FleetPeers
	mu    sync.Mutex
	reply func() (primrosespar.FleetHeartbeatReply, error)
}

// Heartbeat implements primrosespar.FleetPeers.
func (p *fakePeers) Heartbeat(context.Context, netip.AddrPort, primrosespar.FleetHeartbeat) (primrosespar.FleetHeartbeatReply, error) {
	p.mu.Lock()
	reply := p.reply
	p.mu.Unlock()
	return reply()
}

// setReply sets the function that makes the replies.
func (p *fakePeers) setReply(reply func() (primrosespar.FleetHeartbeatReply, error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reply = reply
}

// fixture is an elector on host b beside a holder on host a, which the test
// simulates.
type fixture struct {
	table   *keeper.Keeper
	holder  *committer.Committer
	peers   *fakePeers
	elector *elector.Elector
	led     atomic.Bool
	// earlierCommitAt is when the elector takes the last commit of the holder to
	// have been sent at the latest, in nanoseconds.
	earlierCommitAt atomic.Int64
}

// newFixture acquires the lease for the holder and starts the elector.
func newFixture(ctx context.Context, t *testing.T) *fixture {
	clock := clockwork.NewRealClock()
	f := &fixture{table: keeper.New(keeper.WithClock(clock)), peers: &fakePeers{}}
	f.holder = committer.New(f.table, clock, committer.Identity{Host: "a", Incarnation: "1", Address: netip.MustParseAddrPort("10.0.0.1:1")})
	seen, err := f.holder.Read(ctx)
	require.NoError(t, err)
	require.NoError(t, f.holder.Acquire(ctx, seen))
	f.peers.setReply(f.leadingReply)
	self := primrosespar.FleetHeartbeat{Host: "b", Address: netip.MustParseAddrPort("10.0.0.2:1"), Weight: 1}
	el := elector.New(elector.Parts{
		Committer: committer.New(f.table, clock, committer.Identity{Host: "b", Incarnation: "2", Address: self.Address}),
		Peers:     f.peers, Clock: clock,
		OwnHeartbeat:     func() primrosespar.FleetHeartbeat { return self },
		OnHeartbeatReply: func(primrosespar.FleetHeartbeatReply, time.Time) {},
		OnChange:         func(primrosespar.Host, primrosespar.Token, string) {},
		OnError:          func(string, error) {},
		Lead: func(ctx context.Context, earlierCommitAt time.Time) error {
			f.earlierCommitAt.Store(earlierCommitAt.UnixNano())
			f.led.Store(true)
			<-ctx.Done()
			return ctx.Err()
		},
	})
	f.elector = el
	go func() { _ = el.Run(ctx) }()
	time.Sleep(3 * time.Second)
	require.False(t, f.led.Load(), "a holder that answers must keep its lease")
	return f
}

// leadingReply returns the reply of a healthy holder.
func (f *fixture) leadingReply() (primrosespar.FleetHeartbeatReply, error) {
	return primrosespar.FleetHeartbeatReply{
		Leading: true, Token: fencer.Stride, LeaseVersion: f.holder.Version(), Hosts: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1")},
	}, nil
}

// noReply returns the failure of a heartbeat to a dead holder.
func noReply() (primrosespar.FleetHeartbeatReply, error) {
	return primrosespar.FleetHeartbeatReply{}, primrosespar.Fail(primrosespar.CodePeerUnavailable, "no answer")
}

// runWithFixture runs the body with a new fixture in a synctest bubble.
func runWithFixture(t *testing.T, body func(ctx context.Context, t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(silentTimeout)
		defer cancel()
		body(ctx, t, newFixture(ctx, t))
	})
}

// TestLostHolderIsReplaced guards against a long time without a holder after
// the holder was killed.
func TestLostHolderIsReplaced(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.peers.setReply(noReply)
		time.Sleep(takeoverLimit)
		require.True(t, f.led.Load())
	})
}

// silentTimeout is how long a heartbeat to a host without power takes to fail.
const silentTimeout = 500 * time.Millisecond

// silence is noReply of a holder without power, which does not refuse
// connections.
func silence() (primrosespar.FleetHeartbeatReply, error) {
	time.Sleep(silentTimeout)
	return noReply()
}

// TestHolderWithoutPowerIsReplacedInTime guards against a takeover that begins
// to watch the lease row only after the heartbeats have failed. A holder that
// was killed has to be replaced early enough for the next job to be accepted
// within 2 s; half a second of that is left for loading the jobs.
func TestHolderWithoutPowerIsReplacedInTime(t *testing.T) {
	for offset := time.Duration(0); offset < elector.HeartbeatInterval; offset += 50 * time.Millisecond {
		runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
			time.Sleep(offset)
			f.peers.setReply(silence)
			time.Sleep(1500 * time.Millisecond)
			require.True(t, f.led.Load())
		})
	}
}

// TestTermCountsFromTheLastCommit guards against a holder that gives up the runs
// of the earlier one too early, because it counts from before its last commit,
// or needlessly late.
func TestTermCountsFromTheLastCommit(t *testing.T) {
	runWithFixture(t, func(ctx context.Context, t *testing.T, f *fixture) {
		require.NoError(t, f.holder.Commit(ctx, nil))
		committedAt := f.holder.ConfirmedAt().At
		time.Sleep(elector.HeartbeatInterval)
		f.peers.setReply(silence)
		time.Sleep(takeoverLimit)
		require.True(t, f.led.Load())
		counted := time.Unix(0, f.earlierCommitAt.Load()).Sub(committedAt)
		require.GreaterOrEqual(t, counted, time.Duration(0))
		require.LessOrEqual(t, counted, elector.HeartbeatInterval)
	})
}

// TestHolderThatOnlyWritesKeepsItsLease guards against a takeover by a host
// whose heartbeats fail while the holder goes on writing the lease row, at the
// slowest rate that it keeps to.
func TestHolderThatOnlyWritesKeepsItsLease(t *testing.T) {
	for offset := time.Duration(0); offset < 500*time.Millisecond; offset += 50 * time.Millisecond {
		runWithFixture(t, func(ctx context.Context, t *testing.T, f *fixture) {
			require.NoError(t, f.holder.Commit(ctx, nil))
			time.Sleep(offset)
			f.peers.setReply(silence)
			time.Sleep(500*time.Millisecond - offset)
			for range 20 {
				require.NoError(t, f.holder.Commit(ctx, nil))
				time.Sleep(500 * time.Millisecond)
			}
			require.False(t, f.led.Load())
		})
	}
}

// TestResignedHolderIsReplacedAtOnce guards against a planned stop after which
// the fleet has no holder for seconds: with a slow store the holder ends before
// it has released the lease, and its process still answers heartbeats.
func TestResignedHolderIsReplacedAtOnce(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.peers.setReply(func() (primrosespar.FleetHeartbeatReply, error) {
			return primrosespar.FleetHeartbeatReply{Resigned: true}, nil
		})
		time.Sleep(time.Second)
		require.True(t, f.led.Load())
	})
}

// TestSuccessorOfResignedHolderKeepsItsLease guards against a takeover from the
// host that has just replaced a holder which resigned.
func TestSuccessorOfResignedHolderKeepsItsLease(t *testing.T) {
	runWithFixture(t, func(ctx context.Context, t *testing.T, f *fixture) {
		clock := clockwork.NewRealClock()
		next := committer.New(f.table, clock, committer.Identity{Host: "c", Incarnation: "3", Address: netip.MustParseAddrPort("10.0.0.3:1")})
		acquired := make(chan struct{})
		f.peers.setReply(func() (primrosespar.FleetHeartbeatReply, error) {
			if next.Version() > 0 {
				return primrosespar.FleetHeartbeatReply{Leading: true, Token: 2 * fencer.Stride, LeaseVersion: next.Version()}, nil
			}
			// The other successor is faster than this reply.
			seen, err := next.Read(ctx)
			if err != nil {
				return noReply()
			}
			if err := next.Acquire(ctx, seen); err != nil {
				return noReply()
			}
			close(acquired)
			return primrosespar.FleetHeartbeatReply{Resigned: true}, nil
		})
		<-acquired
		for range 10 {
			require.NoError(t, next.Commit(ctx, nil))
			time.Sleep(500 * time.Millisecond)
		}
		require.False(t, f.led.Load())
	})
}

// TestHolderCutOffFromStoreIsReplaced guards against a holder that keeps the
// lease while the store answers all hosts but the holder.
func TestHolderCutOffFromStoreIsReplaced(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.peers.setReply(func() (primrosespar.FleetHeartbeatReply, error) {
			reply, err := f.leadingReply()
			reply.CommitStalled = true
			return reply, err
		})
		time.Sleep(takeoverLimit)
		require.True(t, f.led.Load())
	})
}

// TestHostCutOffFromHolderDoesNotTakeOver guards against a host that cannot
// reach the holder and takes over although the holder serves all other hosts.
func TestHostCutOffFromHolderDoesNotTakeOver(t *testing.T) {
	runWithFixture(t, func(ctx context.Context, t *testing.T, f *fixture) {
		f.peers.setReply(noReply)
		for range 40 {
			require.NoError(t, f.holder.Commit(ctx, nil))
			time.Sleep(500 * time.Millisecond)
		}
		require.False(t, f.led.Load())
	})
}

// TestStoreOutageKeepsHolder guards against a change of holder after each
// outage of the store for all hosts.
func TestStoreOutageKeepsHolder(t *testing.T) {
	runWithFixture(t, func(ctx context.Context, t *testing.T, f *fixture) {
		f.table.SetFaults(keeper.Faults{Outage: true})
		f.peers.setReply(func() (primrosespar.FleetHeartbeatReply, error) {
			reply, err := f.leadingReply()
			reply.CommitStalled = true
			return reply, err
		})
		time.Sleep(5 * time.Second)
		f.table.SetFaults(keeper.Faults{})
		time.Sleep(400 * time.Millisecond)
		require.NoError(t, f.holder.Commit(ctx, nil))
		f.peers.setReply(f.leadingReply)
		time.Sleep(3 * time.Second)
		require.False(t, f.led.Load())
	})
}

// TestStartingHolderKeepsLease guards against hosts that take over from each
// other in turn with a slow store, because each learns late that it has
// acquired the lease.
func TestStartingHolderKeepsLease(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		f.peers.setReply(func() (primrosespar.FleetHeartbeatReply, error) { return primrosespar.FleetHeartbeatReply{}, nil })
		time.Sleep(2 * time.Second)
		require.False(t, f.led.Load())
		time.Sleep(2 * time.Second)
		require.True(t, f.led.Load(), "a holder that never leads must be replaced")
	})
}

// TestWaitingCountSurvivesChangeOfHolder guards against a count of waiting jobs
// that is lost with the first reply of a new holder, which still loads the
// jobs.
func TestWaitingCountSurvivesChangeOfHolder(t *testing.T) {
	runWithFixture(t, func(_ context.Context, t *testing.T, f *fixture) {
		_, _, known := f.elector.Waiting()
		require.False(t, known)
		replyWith := func(counted bool) func() (primrosespar.FleetHeartbeatReply, error) {
			return func() (primrosespar.FleetHeartbeatReply, error) {
				reply, err := f.leadingReply()
				if reply.WaitingKnown = counted; counted {
					reply.Waiting = map[primrosespar.Queue]int{"q": 2}
				}
				return reply, err
			}
		}
		f.peers.setReply(replyWith(true))
		time.Sleep(time.Second)
		f.peers.setReply(replyWith(false))
		time.Sleep(2 * time.Second)
		waiting, age, known := f.elector.Waiting()
		require.True(t, known)
		require.Equal(t, map[primrosespar.Queue]int{"q": 2}, waiting)
		require.Greater(t, age, time.Second)
	})
}
