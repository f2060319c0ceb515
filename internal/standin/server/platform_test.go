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

// TestClientsAgree guards against clients and server that differ in a route,
// a field or a result code, and against a cut that ignores the place header.
func TestClientsAgree(t *testing.T) {
	clock := clockwork.NewFakeClock()
	k, h := keeper.New(keeper.WithClock(clock)), executor.New(executor.WithClock(clock))
	h.Add(primrosespar.WorkerEntry{Worker: "w", Place: "a", Accelerators: 8})
	k.SetHost(primrosespar.HostEntry{Host: "h", Place: "a"})
	s := httptest.NewServer(server.New(k, h))
	defer s.Close()
	c, ctx := tabler.New(s.URL, "a"), t.Context()
	txn := primrosespar.Txn{Conditions: []primrosespar.Condition{{Key: "x"}}, Writes: []primrosespar.Write{{Key: "x", Value: []byte("v")}}}
	versions, err := c.Commit(ctx, txn)
	require.NoError(t, err)
	require.Equal(t, []primrosespar.Version{1}, versions)
	_, err = c.Commit(ctx, txn)
	require.Equal(t, primrosespar.CodeConflict, primrosespar.CodeOf(err))
	rows, err := c.Scan(ctx, "x", "", 5)
	require.NoError(t, err)
	same, err := c.Get(ctx, "x")
	require.NoError(t, err)
	require.Equal(t, rows, same)
	require.NoError(t, c.Put(ctx, "o/1", []byte("data")))
	data, err := c.Fetch(ctx, "o/1")
	require.NoError(t, err)
	require.Equal(t, "data", string(data))
	_, err = c.Fetch(ctx, "o/2")
	require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(err))
	names, err := c.Names(ctx, "o/", "", 5)
	require.NoError(t, err)
	require.Equal(t, []string{"o/1"}, names)
	list, err := c.List(ctx, "a")
	require.NoError(t, err)
	require.Len(t, list.Hosts, 1)
	w := commander.New(s.URL, "a")
	entries, _, err := w.Changes(ctx, "a", 0)
	require.NoError(t, err)
	require.Len(t, entries, 1)
	results, err := w.Do(ctx, "a", 1, []primrosespar.Command{{Worker: "w", Kind: primrosespar.CommandRenew, Lease: 1}})
	require.NoError(t, err)
	require.Equal(t, primrosespar.CodeOK, results[0].Code)
	k.SetFaults(keeper.Faults{Cut: []primrosespar.Place{"a"}})
	_, err = c.Get(ctx, "x")
	require.Equal(t, primrosespar.CodeStoreUnavailable, primrosespar.CodeOf(err))
	k.SetFaults(keeper.Faults{LoseEvery: 1})
	_, err = c.Commit(ctx, primrosespar.Txn{})
	require.Equal(t, primrosespar.CodeStoreUnknown, primrosespar.CodeOf(err))
}
