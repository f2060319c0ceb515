package server_test

import (
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/service/commander"
	"primrosespar.example/primrosespar/internal/service/tabler"
	"primrosespar.example/primrosespar/internal/standin/executor"
	"primrosespar.example/primrosespar/internal/standin/keeper"
	"primrosespar.example/primrosespar/internal/standin/server"
)

// TestClientsMatchServer guards against clients that differ from the server in
// a route, a field or a result code, and against a cut that ignores X-Place.
func TestClientsMatchServer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	k, e := keeper.New(keeper.WithClock(clock)), executor.New(executor.WithClock(clock))
	e.Add(primrosespar.WorkerEntry{Worker: "w", Place: "a", Accelerators: 8})
	k.SetHost(primrosespar.HostEntry{Host: "h", Place: "a"})
	httpServer := httptest.NewServer(server.New(k, e))
	defer httpServer.Close()
	table, ctx := tabler.New(httpServer.URL, "a"), t.Context()
	txn := primrosespar.Txn{Conditions: []primrosespar.Condition{{Key: "x"}}, Writes: []primrosespar.Write{{Key: "x", Value: []byte("v")}}}
	versions, err := table.Commit(ctx, txn)
	require.NoError(t, err)
	require.Equal(t, []primrosespar.Version{1}, versions)
	_, err = table.Commit(ctx, txn)
	require.Equal(t, primrosespar.CodeConflict, primrosespar.CodeOf(err))
	rows, err := table.Scan(ctx, "x", "", 5)
	require.NoError(t, err)
	rowsByKey, err := table.Get(ctx, "x")
	require.NoError(t, err)
	require.Equal(t, rows, rowsByKey)
	require.NoError(t, table.Put(ctx, "o/1", []byte("data")))
	data, err := table.Fetch(ctx, "o/1")
	require.NoError(t, err)
	require.Equal(t, "data", string(data))
	_, err = table.Fetch(ctx, "o/2")
	require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(err))
	names, err := table.Names(ctx, "o/", "", 5)
	require.NoError(t, err)
	require.Equal(t, []string{"o/1"}, names)
	list, err := table.List(ctx, "a")
	require.NoError(t, err)
	require.Len(t, list.Hosts, 1)
	workers := commander.New(httpServer.URL, "a")
	entries, _, err := workers.Changes(ctx, "a", 0)
	require.NoError(t, err)
	require.Len(t, entries, 1)
	results, err := workers.Do(ctx, "a", 1, []primrosespar.Command{{Worker: "w", Kind: primrosespar.CommandRenew, Lease: 1}})
	require.NoError(t, err)
	require.Equal(t, primrosespar.CodeOK, results[0].Code)
	k.SetFaults(keeper.Faults{Cut: []primrosespar.Place{"a"}})
	_, err = table.Get(ctx, "x")
	require.Equal(t, primrosespar.CodeStoreUnavailable, primrosespar.CodeOf(err))
	k.SetFaults(keeper.Faults{LoseEvery: 1})
	_, err = table.Commit(ctx, primrosespar.Txn{})
	require.Equal(t, primrosespar.CodeStoreUnknown, primrosespar.CodeOf(err))
}
