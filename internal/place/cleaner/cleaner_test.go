package cleaner_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/leaser"
	"primrosespar.example/primrosespar/internal/place/cleaner"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

const retention = time.Hour

// host is one process with a cleaner that competes for the lease of the place.
type host struct {
	lease *leaser.Leaser
	*cleaner.Cleaner
}

func newHost(table primrosespar.Table, name primrosespar.Host, opts ...cleaner.Option) host {
	clock := clockwork.NewRealClock()
	lease := leaser.New(table, clock, leaser.Identity{Place: "a", Host: name, Incarnation: primrosespar.Incarnation(name)})
	return host{lease, cleaner.New(cleaner.Parts{
		Place: "a", Table: table, Clock: clock, Lease: lease,
		Retention: func(account primrosespar.Account) (time.Duration, bool) { return retention, account == "nord" },
	}, opts...)}
}

// renewFor keeps the lease renewed for the duration, as the controller does.
func (h host) renewFor(t *testing.T, d time.Duration) {
	const renewal = 2 * time.Second
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(renewal) {
		require.NoError(t, h.lease.Step(t.Context()))
	}
}

// runPass renews the lease and returns the number of rows that one pass
// deletes.
func (h host) runPass(t *testing.T) int {
	require.NoError(t, h.lease.Step(t.Context()))
	deleted, err := h.Pass(t.Context())
	require.NoError(t, err)
	return deleted
}

// putGang writes the row of a gang in this state.
func putGang(t *testing.T, table primrosespar.Table, id primrosespar.JobID, account primrosespar.Account, state primrosespar.GangState) {
	value, err := json.Marshal(primrosespar.Gang{Job: primrosespar.Job{ID: id, Account: account}, State: state})
	require.NoError(t, err)
	_, err = table.Commit(t.Context(), primrosespar.Txn{Writes: []primrosespar.Write{{Key: primrosespar.GangKey("a", id), Value: value}}})
	require.NoError(t, err)
}

func remainingIDs(t *testing.T, table primrosespar.Table) (ids []string) {
	rows, err := table.Scan(t.Context(), primrosespar.GangPrefix("a"), "", 1000)
	require.NoError(t, err)
	for _, row := range rows {
		ids = append(ids, row.Key[len(primrosespar.GangPrefix("a")):])
	}
	return ids
}

// TestKeepsRecentAndRunningRows guards against deleting the row of a gang that
// runs, that ended less than the retention ago or whose account has no known
// retention.
func TestKeepsRecentAndRunningRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		h := newHost(table, "one", cleaner.WithPageSize(2))
		putGang(t, table, "old", "nord", primrosespar.GangDone)
		putGang(t, table, "runs", "nord", primrosespar.GangRunning)
		putGang(t, table, "other", "gone", primrosespar.GangDone)
		require.Zero(t, h.runPass(t))
		h.renewFor(t, retention/2)
		putGang(t, table, "runs", "nord", primrosespar.GangFailed)
		require.Zero(t, h.runPass(t))
		h.renewFor(t, retention/2)
		require.Equal(t, 1, h.runPass(t))
		require.Equal(t, []string{"other", "runs"}, remainingIDs(t, table))
	})
}

// TestNewHolderRestartsRetention guards against deletes that rely on what
// another process saw, and against a former holder that continues to delete.
func TestNewHolderRestartsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		first, second := newHost(table, "one"), newHost(table, "two")
		putGang(t, table, "job", "nord", primrosespar.GangDone)
		require.Zero(t, first.runPass(t))
		first.renewFor(t, retention/2)
		require.NoError(t, first.lease.Release(t.Context()))
		require.Zero(t, second.runPass(t))
		second.renewFor(t, retention/2)
		require.Zero(t, first.runPass(t), "a host without the lease deleted a row")
		require.NoError(t, second.lease.Release(t.Context()))
		require.Zero(t, first.runPass(t), "the age still counts from before another host held the lease")
		first.renewFor(t, retention)
		require.Equal(t, 1, first.runPass(t))
	})
}

// TestRateAndMemoryAreBounded guards against a rate of deletes that slows down
// other users of the table, and against tracking an unlimited number of rows.
func TestRateAndMemoryAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		h := newHost(table, "one", cleaner.WithPageSize(2), cleaner.WithDeletesPerSecond(4), cleaner.WithMaxTracked(3))
		for _, id := range []primrosespar.JobID{"a", "b", "c", "d", "e"} {
			putGang(t, table, id, "nord", primrosespar.GangCancelled)
		}
		require.Zero(t, h.runPass(t))
		h.renewFor(t, retention)
		start := time.Now()
		require.Equal(t, 3, h.runPass(t))
		require.GreaterOrEqual(t, time.Since(start), 3*time.Second/4)
		require.Equal(t, []string{"d", "e"}, remainingIDs(t, table))
		h.renewFor(t, retention)
		require.Equal(t, 2, h.runPass(t))
	})
}

// TestFailedDeleteIsTriedAgain guards against a row that remains after a delete
// whose answer was lost, and against a pass that does not return the error.
func TestFailedDeleteIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		h := newHost(table, "one")
		putGang(t, table, "a", "nord", primrosespar.GangDone)
		putGang(t, table, "b", "nord", primrosespar.GangDone)
		require.Zero(t, h.runPass(t))
		h.renewFor(t, retention)
		table.SetFaults(keeper.Faults{LoseEvery: 1})
		_, err := h.Pass(context.Background())
		require.Equal(t, primrosespar.CodeStoreUnknown, primrosespar.CodeOf(err))
		table.SetFaults(keeper.Faults{})
		require.Equal(t, 1, h.runPass(t))
		require.Empty(t, remainingIDs(t, table))
	})
}
