package submitter_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/submitter"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// peers fails every call with the error.
type peers struct {
	primrosespar.FleetPeers
	err error
}

// Submit implements primrosespar.FleetPeers.
func (p peers) Submit(context.Context, netip.AddrPort, primrosespar.Submission) error { return p.err }

// Cancel implements primrosespar.FleetPeers.
func (p peers) Cancel(context.Context, netip.AddrPort, primrosespar.JobID) error { return p.err }

// State implements primrosespar.FleetPeers.
func (p peers) State(context.Context, netip.AddrPort, primrosespar.JobID) (primrosespar.JobState, error) {
	return "", p.err
}

// newClerk returns a submitter whose holder answers with the error.
func newClerk(t *testing.T, err error) (*submitter.Submitter, *keeper.Keeper) {
	clock := clockwork.NewRealClock()
	table := keeper.New(keeper.WithClock(clock))
	c, failed := submitter.New(submitter.Parts{
		Table: table, Peers: peers{err: err}, Clock: clock,
		Term:    func() submitter.Term { return nil },
		Holder:  func() (netip.AddrPort, bool) { return netip.MustParseAddrPort("10.0.0.1:1"), true },
		Catalog: func() *primrosespar.Catalog { return &primrosespar.Catalog{} },
	})
	require.NoError(t, failed)
	return c, table
}

// TestHolderOutOfReachLeavesTheStore guards against jobs that are refused, or
// not known, though the host reaches the store.
func TestHolderOutOfReachLeavesTheStore(t *testing.T) {
	ctx := t.Context()
	c, table := newClerk(t, primrosespar.Fail(primrosespar.CodePeerUnavailable, "cut off"))
	job := primrosespar.Submission{ID: "a", Queue: "q"}
	_, err := c.State(ctx, "a")
	require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(err))
	require.NoError(t, c.Submit(ctx, job))
	require.NoError(t, c.Submit(ctx, job), "a repetition is the same job")
	state, err := c.State(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, primrosespar.JobQueued, state)
	require.NoError(t, c.Cancel(ctx, "a"))
	require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(c.Cancel(ctx, "b")))
	rows, err := table.Scan(ctx, primrosespar.FleetInboxPrefix(), "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 2)
}

// TestDoubtIsNotARefusal guards against a refusal that says a job never runs
// though an attempt was not answered and may have been stored.
func TestDoubtIsNotARefusal(t *testing.T) {
	c, table := newClerk(t, primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no answer"))
	table.SetFaults(keeper.Faults{Outage: true})
	err := c.Submit(t.Context(), primrosespar.Submission{ID: "a"})
	require.Equal(t, primrosespar.CodeOutcomeUnknown, primrosespar.CodeOf(err))
}

// TestOldCountIsNotGiven guards against a queue that is said to be empty by a
// host that has not heard of its jobs.
func TestOldCountIsNotGiven(t *testing.T) {
	age, known := time.Second, false
	c, err := submitter.New(submitter.Parts{
		Clock: clockwork.NewRealClock(), Term: func() submitter.Term { return nil },
		Waiting: func() (map[primrosespar.Queue]int, time.Duration, bool) {
			return map[primrosespar.Queue]int{"q": 3}, age, known
		},
	})
	require.NoError(t, err)
	_, err = c.Waiting(t.Context(), "q")
	require.Equal(t, primrosespar.CodeStarting, primrosespar.CodeOf(err))
	known = true
	n, err := c.Waiting(t.Context(), "q")
	require.NoError(t, err)
	require.Equal(t, 3, n)
	age = 4 * time.Second
	_, err = c.Waiting(t.Context(), "q")
	require.Equal(t, primrosespar.CodeStarting, primrosespar.CodeOf(err))
}
