package committer_test

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/committer"
	"primrosespar.example/primrosespar/internal/fleet/fencer"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// unresponsiveTable does not answer the given number of commits. If applied is
// set, they take effect nevertheless.
type unresponsiveTable struct {
	*keeper.Keeper
	unanswered int
	applied    bool
}

// Commit implements primrosespar.Table.
func (s *unresponsiveTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	if s.unanswered == 0 {
		return s.Keeper.Commit(ctx, txn)
	}
	s.unanswered--
	if s.applied {
		if _, err := s.Keeper.Commit(ctx, txn); err != nil {
			return nil, err
		}
	}
	<-ctx.Done()
	return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
}

// newCommitter returns a committer for the host.
func newCommitter(table primrosespar.Table, host primrosespar.Host) *committer.Committer {
	return committer.New(table, clockwork.NewRealClock(), committer.Identity{
		Host: host, Incarnation: primrosespar.Incarnation(host) + "-1", Address: netip.MustParseAddrPort("10.0.0.1:1"),
	})
}

// write returns a write of one row with the value.
func write(value string) []primrosespar.Write {
	return []primrosespar.Write{{Key: "progress/x", Value: []byte(value)}}
}

// TestUnansweredCommitIsRetried guards against a commit that waits forever on a
// connection that has stopped responding, whether or not the commit took
// effect.
func TestUnansweredCommitIsRetried(t *testing.T) {
	for _, applied := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			table := &unresponsiveTable{Keeper: keeper.New(keeper.WithClock(clockwork.NewRealClock())), applied: applied}
			c := newCommitter(table, "a")
			seen, err := c.Read(ctx)
			require.NoError(t, err)
			require.NoError(t, c.Acquire(ctx, seen))
			table.unanswered = 2
			if applied {
				table.unanswered = 1
			}
			require.NoError(t, c.Commit(ctx, write("1")))
			require.NoError(t, c.Commit(ctx, write("2")))
			rows, err := table.Get(ctx, "progress/x")
			require.NoError(t, err)
			require.Equal(t, "2", string(rows[0].Value))
		})
	}
}

// TestUnansweredCommitIsConfirmedFromItsFirstAttempt guards against a holder
// that counts its leases from a read of the row, while the next holder counts
// from its own earlier read of the same row.
func TestUnansweredCommitIsConfirmedFromItsFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &unresponsiveTable{Keeper: keeper.New(keeper.WithClock(clockwork.NewRealClock())), applied: true}
		c := newCommitter(table, "a")
		seen, err := c.Read(t.Context())
		require.NoError(t, err)
		require.NoError(t, c.Acquire(t.Context(), seen))
		time.Sleep(time.Second)
		table.unanswered = 1
		sentAt := time.Now()
		require.NoError(t, c.Commit(t.Context(), write("1")))
		require.Greater(t, time.Since(sentAt), 100*time.Millisecond)
		require.Equal(t, sentAt, c.ConfirmedAt().At)
		time.Sleep(time.Second)
		sentAt = time.Now()
		require.NoError(t, c.Commit(t.Context(), write("2")))
		require.Equal(t, sentAt, c.ConfirmedAt().At)
	})
}

// TestEarlierHolderNeverWrites guards against a paused holder that writes after
// another host has acquired the lease.
func TestEarlierHolderNeverWrites(t *testing.T) {
	ctx := t.Context()
	table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
	a, b := newCommitter(table, "a"), newCommitter(table, "b")
	seen, err := a.Read(ctx)
	require.NoError(t, err)
	require.NoError(t, a.Acquire(ctx, seen))
	require.NoError(t, a.Commit(ctx, write("a")))
	seen, err = b.Read(ctx)
	require.NoError(t, err)
	require.NoError(t, b.Acquire(ctx, seen))
	err = a.Commit(ctx, write("late"))
	require.Equal(t, primrosespar.CodeLeaseLost, primrosespar.CodeOf(err))
	require.Greater(t, b.Token(), a.Token())
	rows, err := table.Get(ctx, "progress/x")
	require.NoError(t, err)
	require.Equal(t, "a", string(rows[0].Value))
}

// TestManyWritesAreSplit guards against a transaction with more rows than the
// store accepts.
func TestManyWritesAreSplit(t *testing.T) {
	ctx := t.Context()
	table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
	c := newCommitter(table, "a")
	seen, err := c.Read(ctx)
	require.NoError(t, err)
	require.NoError(t, c.Acquire(ctx, seen))
	var writes []primrosespar.Write
	for i := range 250 {
		writes = append(writes, primrosespar.Write{Key: "progress/" + string(rune('A'+i)), Value: []byte("x")})
	}
	require.NoError(t, c.Commit(ctx, writes))
	require.EqualValues(t, 4, table.Counts().Transactions, "one to acquire the lease and three for the rows")
}

// slowTable takes a while to answer a commit, which takes effect.
type slowTable struct {
	*keeper.Keeper
	latency time.Duration
}

// Commit implements primrosespar.Table.
func (s *slowTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	versions, err := s.Keeper.Commit(ctx, txn)
	select {
	case <-time.After(s.latency):
		return versions, err
	case <-ctx.Done():
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
	}
}

// TestCommitWaitsForASlowStore guards against commits that are given up one
// after the other just before their answer comes: each then takes a second
// attempt and a read as well.
func TestCommitWaitsForASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &slowTable{Keeper: keeper.New(keeper.WithClock(clockwork.NewRealClock()))}
		c := newCommitter(table, "a")
		seen, err := c.Read(t.Context())
		require.NoError(t, err)
		require.NoError(t, c.Acquire(t.Context(), seen))
		table.latency = 600 * time.Millisecond
		require.NoError(t, c.Commit(t.Context(), write("1")))
		for range 5 {
			startedAt := time.Now()
			require.NoError(t, c.Commit(t.Context(), write("2")))
			require.Equal(t, table.latency, time.Since(startedAt))
		}
	})
}

// busyTable takes the first commit, whose answer is lost, and refuses all
// others as too many.
type busyTable struct {
	*keeper.Keeper
	commits int
}

// Commit implements primrosespar.Table.
func (s *busyTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	if s.commits++; s.commits > 1 {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "too many transactions")
	}
	if _, err := s.Keeper.Commit(ctx, txn); err != nil {
		return nil, err
	}
	<-ctx.Done()
	return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
}

// TestUnansweredAcquisitionIsReadBack guards against a host that has acquired
// the lease and does not learn it while the store refuses transactions: others
// then take over from it.
func TestUnansweredAcquisitionIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &busyTable{Keeper: keeper.New(keeper.WithClock(clockwork.NewRealClock()))}
		c := newCommitter(table, "a")
		seen, err := c.Read(t.Context())
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.NoError(t, c.Acquire(ctx, seen))
		require.Equal(t, primrosespar.Token(fencer.Stride), c.Token())
		require.Equal(t, 1, table.commits)
	})
}

// pickyTable refuses transactions with certain keys for good.
type pickyTable struct {
	*keeper.Keeper
	refused map[string]bool
}

// Commit implements primrosespar.Table.
func (s *pickyTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	for _, w := range txn.Writes {
		if s.refused[w.Key] {
			return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "refused")
		}
	}
	return s.Keeper.Commit(ctx, txn)
}

// TestRefusedCommitIsNarrowed guards against writes that are not stored because
// of others in their transaction, and against blaming them if it is the lease
// row that the table refuses.
func TestRefusedCommitIsNarrowed(t *testing.T) {
	ctx := t.Context()
	table := &pickyTable{Keeper: keeper.New(keeper.WithClock(clockwork.NewRealClock())), refused: map[string]bool{}}
	c := newCommitter(table, "a")
	seen, err := c.Read(ctx)
	require.NoError(t, err)
	require.NoError(t, c.Acquire(ctx, seen))
	var groups [][]primrosespar.Write
	for i := range 120 {
		key := "progress/" + string(rune('A'+i))
		groups = append(groups, []primrosespar.Write{{Key: key, Value: []byte("x")}, {Key: key + "2", Value: []byte("y")}})
	}
	for _, i := range []int{0, 7, 8, 119} {
		table.refused[groups[i][1].Key] = true
	}
	refused, err := c.CommitGroups(ctx, groups)
	require.NoError(t, err)
	require.Len(t, refused, 4)
	for i, group := range groups {
		rows, err := table.Get(ctx, group[0].Key, group[1].Key)
		require.NoError(t, err)
		stored := !table.refused[group[1].Key]
		require.Equal(t, !stored, refused[i] != nil, "group %d", i)
		require.Equal(t, stored, rows[0].Version > 0 && rows[1].Version > 0, "group %d", i)
	}
	table.refused[primrosespar.FleetLeaseKey()] = true
	refused, err = c.CommitGroups(ctx, groups[:1])
	require.Empty(t, refused)
	require.Equal(t, primrosespar.CodeBadRequest, primrosespar.CodeOf(err))
}

// TestUnreadableLeaseRowIsReplaced guards against a lease row that cannot be
// decoded and that no host can ever acquire again. The token must be higher than
// any before it, which the row does not name any more.
func TestUnreadableLeaseRowIsReplaced(t *testing.T) {
	for _, value := range [][]byte{nil, {0xff}, append(bytes.Repeat([]byte{0x81}, 60_000), 0), {0x63, 'o', 'd', 'd'}} {
		ctx := t.Context()
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		first := newCommitter(table, "a")
		for range 5 {
			seen, err := first.Read(ctx)
			require.NoError(t, err)
			require.NoError(t, first.Acquire(ctx, seen))
		}
		_, err := table.Commit(ctx, primrosespar.Txn{Writes: []primrosespar.Write{{Key: primrosespar.FleetLeaseKey(), Value: value}}})
		require.NoError(t, err)
		require.Equal(t, primrosespar.CodeLeaseLost, primrosespar.CodeOf(first.Commit(ctx, write("1"))))
		second := newCommitter(table, "b")
		seen, err := second.Read(ctx)
		require.NoError(t, err)
		require.NotEmpty(t, seen.Host, "the lease was not released")
		require.NoError(t, second.Acquire(ctx, seen))
		require.Greater(t, second.Token(), first.Token())
	}
}

// FuzzLeaseRow feeds any lease row to a host that takes over. It guards against
// a row after which no host can lead.
func FuzzLeaseRow(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x65, 'T', 'o', 'k', 'e', 'n', 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(append(bytes.Repeat([]byte{0x81}, 20_000), 0))
	f.Fuzz(func(t *testing.T, value []byte) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		_, err := table.Commit(t.Context(), primrosespar.Txn{Writes: []primrosespar.Write{{Key: primrosespar.FleetLeaseKey(), Value: value}}})
		require.NoError(t, err)
		c := newCommitter(table, "b")
		seen, err := c.Read(t.Context())
		require.NoError(t, err)
		require.NoError(t, c.Acquire(t.Context(), seen))
		require.Positive(t, c.Token())
	})
}

// TestFailingTimeCountsFromTheFirstFailure guards against a holder that accepts
// work and keeps its lease although the store refuses its commits, and against
// one that gives it up for a commit that takes long.
func TestFailingTimeCountsFromTheFirstFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		table := keeper.New(keeper.WithClock(clock))
		c := committer.New(table, clock, committer.Identity{Host: "a", Incarnation: "1"})
		seen, err := c.Read(t.Context())
		require.NoError(t, err)
		require.NoError(t, c.Acquire(t.Context(), seen))
		table.SetFaults(keeper.Faults{Slow: 400 * time.Millisecond})
		committed := make(chan error, 1)
		go func() { committed <- c.Commit(t.Context(), nil) }()
		time.Sleep(300 * time.Millisecond)
		require.Zero(t, c.FailingTime())
		require.NoError(t, <-committed)
		table.SetFaults(keeper.Faults{Outage: true})
		go func() { _ = c.Commit(t.Context(), nil) }()
		time.Sleep(time.Second)
		require.Equal(t, time.Second, c.FailingTime())
		table.SetFaults(keeper.Faults{})
		time.Sleep(time.Second)
		require.Zero(t, c.FailingTime())
	})
}
