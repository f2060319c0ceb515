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

// jobMemory is the limit of the tests on the memory of a job.
const jobMemory = 1 << 20

// failingPeers fails every call with err.
type failingPeers struct {
	primrosespar.FleetPeers
	err error
}

// Submit implements primrosespar.FleetPeers.
func (p failingPeers) Submit(context.Context, netip.AddrPort, primrosespar.Submission) error {
	return p.err
}

// Cancel implements primrosespar.FleetPeers.
func (p failingPeers) Cancel(context.Context, netip.AddrPort, primrosespar.JobRequest) error {
	return p.err
}

// State implements primrosespar.FleetPeers.
func (p failingPeers) State(context.Context, netip.AddrPort, primrosespar.JobRequest) (primrosespar.JobState, error) {
	return "", p.err
}

// newSubmitter returns a submitter whose calls to the holder fail with err, and
// its table.
func newSubmitter(t *testing.T, err error) (*submitter.Submitter, *keeper.Keeper) {
	return newSubmitterOf(t, err, false)
}

// newSubmitterOf is newSubmitter with a store that is slow or not.
func newSubmitterOf(t *testing.T, err error, storeSlow bool) (*submitter.Submitter, *keeper.Keeper) {
	clock := clockwork.NewRealClock()
	table := keeper.New(keeper.WithClock(clock))
	s, newErr := submitter.New(submitter.Parts{
		Table: table, Peers: failingPeers{err: err}, Clock: clock,
		Term:      func() submitter.Term { return nil },
		Holder:    func() (netip.AddrPort, bool) { return netip.MustParseAddrPort("10.0.0.1:1"), true },
		Catalog:   func() *primrosespar.Catalog { return &primrosespar.Catalog{} },
		Search:    func() {},
		StoreSlow: func() bool { return storeSlow },
		JobMemory: jobMemory,
	})
	require.NoError(t, newErr)
	return s, table
}

// TestUnreachableHolderIsBypassedThroughStore guards against jobs that are
// refused or reported as not found because the holder cannot be reached,
// although the store can.
func TestUnreachableHolderIsBypassedThroughStore(t *testing.T) {
	ctx := t.Context()
	s, table := newSubmitter(t, primrosespar.Fail(primrosespar.CodePeerUnavailable, "holder unreachable"))
	job := primrosespar.Submission{ID: "a", Queue: "q"}
	_, err := s.State(ctx, primrosespar.JobRequest{Job: "a", Queue: "q"})
	require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(err))
	require.NoError(t, s.Submit(ctx, job))
	require.NoError(t, s.Submit(ctx, job), "a repeated submission must be the same job")
	state, err := s.State(ctx, primrosespar.JobRequest{Job: "a", Queue: "q"})
	require.NoError(t, err)
	require.Equal(t, primrosespar.JobQueued, state)
	require.NoError(t, s.Cancel(ctx, primrosespar.JobRequest{Job: "a", Queue: "q"}))
	require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(s.Cancel(ctx, primrosespar.JobRequest{Job: "b", Queue: "q"})))
	rows, err := table.Scan(ctx, primrosespar.FleetInboxPrefix(), "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 2)
}

// TestUnknownOutcomeIsNotReportedAsRefusal guards against a refusal, which says
// that the job never runs, after an attempt without an answer that may have
// stored it.
func TestUnknownOutcomeIsNotReportedAsRefusal(t *testing.T) {
	s, table := newSubmitter(t, primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "no answer"))
	table.SetFaults(keeper.Faults{Outage: true})
	err := s.Submit(t.Context(), primrosespar.Submission{ID: "a"})
	require.Equal(t, primrosespar.CodeOutcomeUnknown, primrosespar.CodeOf(err))
}

// TestStaleCountIsNotReturned guards against a queue that is reported as empty
// by a host without a recent count of its jobs.
func TestStaleCountIsNotReturned(t *testing.T) {
	age, known := time.Second, false
	s, err := submitter.New(submitter.Parts{
		Clock: clockwork.NewRealClock(), Term: func() submitter.Term { return nil },
		Waiting: func() (map[primrosespar.Queue]int, time.Duration, bool) {
			return map[primrosespar.Queue]int{"q": 3}, age, known
		},
	})
	require.NoError(t, err)
	_, err = s.Waiting(t.Context(), "q")
	require.Equal(t, primrosespar.CodeStarting, primrosespar.CodeOf(err))
	known = true
	n, err := s.Waiting(t.Context(), "q")
	require.NoError(t, err)
	require.Equal(t, 3, n)
	age = 4 * time.Second
	_, err = s.Waiting(t.Context(), "q")
	require.Equal(t, primrosespar.CodeStarting, primrosespar.CodeOf(err))
}

// TestSlowStoreIsLeftToTheNextHolder guards against writes to the inbox that
// hold up the takeover while the store makes a few transactions a second. On a
// day of the users' bench that left the fleet without a holder for 5 s.
func TestSlowStoreIsLeftToTheNextHolder(t *testing.T) {
	s, table := newSubmitterOf(t, primrosespar.Fail(primrosespar.CodePeerUnavailable, "holder unreachable"), true)
	err := s.Submit(t.Context(), primrosespar.Submission{ID: "a", Queue: "q"})
	require.Equal(t, primrosespar.CodeStoreUnavailable, primrosespar.CodeOf(err))
	rows, err := table.Scan(t.Context(), primrosespar.FleetInboxPrefix(), "", 10)
	require.NoError(t, err)
	require.Empty(t, rows)
}

// TestRejectedJobIsNotLeftInTheInbox guards against a job that the holder has
// rejected for good and that the inbox then accepts.
func TestRejectedJobIsNotLeftInTheInbox(t *testing.T) {
	for _, code := range []primrosespar.Code{primrosespar.CodeSetAside, primrosespar.CodeJobTooLarge, primrosespar.CodeQueueFull, primrosespar.CodeImpossibleShape} {
		s, table := newSubmitter(t, primrosespar.Fail(code, "refused"))
		err := s.Submit(t.Context(), primrosespar.Submission{ID: "a", Queue: "q"})
		require.Equal(t, code, primrosespar.CodeOf(err))
		requireEmptyInbox(t, table)
	}
}

// TestJobThatCannotBeCarriedIsNotLeftInTheInbox guards against a job that is
// accepted while there is no holder and that no holder has memory for.
func TestJobThatCannotBeCarriedIsNotLeftInTheInbox(t *testing.T) {
	s, table := newSubmitter(t, primrosespar.Fail(primrosespar.CodePeerUnavailable, "holder unreachable"))
	err := s.Submit(t.Context(), primrosespar.Submission{ID: "a", Queue: "q", Steps: []primrosespar.Step{{Count: jobMemory}}})
	require.Equal(t, primrosespar.CodeJobTooLarge, primrosespar.CodeOf(err))
	requireEmptyInbox(t, table)
}

// requireEmptyInbox requires that the inbox has no messages.
func requireEmptyInbox(t *testing.T, table *keeper.Keeper) {
	rows, err := table.Scan(t.Context(), primrosespar.FleetInboxPrefix(), "", 10)
	require.NoError(t, err)
	require.Empty(t, rows)
}
