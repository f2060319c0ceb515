package keeper_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// TestTableMatchesModel guards against partly applied transactions, versions
// that restart after a delete, and a lost answer whose write did not take
// effect. It compares the table with a map after each of a series of random
// transactions.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		k := keeper.New(keeper.WithClock(clockwork.NewFakeClock()),
			keeper.WithFaults(keeper.Faults{WritesPerSecond: -1, ReadsPerSecond: -1, LoseShare: 0.3, LoseSeed: rapid.Uint64().Draw(rt, "seed")}))
		rows := map[string]primrosespar.Row{}
		lastVersions := map[string]primrosespar.Version{}
		keys := rapid.SampledFrom([]string{"a/1", "a/2", "a/3", "b/1"})
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			var txn primrosespar.Txn
			conditionsHold := true
			for _, c := range rapid.SliceOfN(keys, 0, 2).Draw(rt, "conditions") {
				version := rows[c].Version + primrosespar.Version(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(rt, "off"))
				conditionsHold = conditionsHold && version == rows[c].Version
				txn.Conditions = append(txn.Conditions, primrosespar.Condition{Key: c, Version: version})
			}
			for _, w := range rapid.SliceOfNDistinct(keys, 0, 3, rapid.ID).Draw(rt, "writes") {
				txn.Writes = append(txn.Writes, primrosespar.Write{Key: w, Value: []byte(w), Delete: rapid.Bool().Draw(rt, "delete")})
			}
			versions, err := k.Commit(t.Context(), txn)
			if !conditionsHold {
				require.Equal(rt, primrosespar.CodeConflict, primrosespar.CodeOf(err))
				continue
			}
			var want []primrosespar.Version
			for _, w := range txn.Writes {
				lastVersions[w.Key]++
				want = append(want, lastVersions[w.Key])
				rows[w.Key] = primrosespar.Row{Key: w.Key, Version: lastVersions[w.Key], Value: w.Value}
				if w.Delete {
					delete(rows, w.Key)
				}
			}
			if err != nil {
				require.Equal(rt, primrosespar.CodeStoreUnknown, primrosespar.CodeOf(err))
			} else {
				require.ElementsMatch(rt, want, versions)
			}
			requireReadsMatch(rt, k, rows, keys)
		}
	})
}

// requireReadsMatch checks that Get and Scan return the rows of the model.
func requireReadsMatch(rt *rapid.T, k *keeper.Keeper, rows map[string]primrosespar.Row, keys *rapid.Generator[string]) {
	key := keys.Draw(rt, "read")
	got, err := k.Get(context.Background(), key)
	require.NoError(rt, err)
	require.Equal(rt, rows[key].Version, got[0].Version)
	after, limit := keys.Draw(rt, "after"), rapid.IntRange(1, 3).Draw(rt, "limit")
	page, err := k.Scan(context.Background(), "a/", after, limit)
	require.NoError(rt, err)
	var want []string
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		if strings.HasPrefix(name, "a/") && name > after && len(want) < limit {
			want = append(want, name)
		}
	}
	require.Len(rt, page, len(want))
	for i, row := range page {
		require.Equal(rt, rows[want[i]], row)
	}
}

// TestFaults guards against a fault that cannot be turned on and off again, and
// against a cut that affects a place that is not cut off.
func TestFaults(t *testing.T) {
	clock := clockwork.NewFakeClock()
	k := keeper.New(keeper.WithClock(clock), keeper.WithFaults(keeper.Faults{WritesPerSecond: 2}))
	write := func(place primrosespar.Place) primrosespar.Code {
		_, err := k.Commit(keeper.WithPlace(t.Context(), place), primrosespar.Txn{Writes: []primrosespar.Write{{Key: "x"}}})
		return primrosespar.CodeOf(err)
	}
	require.Equal(t, primrosespar.CodeOK, write("a"))
	require.Equal(t, primrosespar.CodeOK, write("a"))
	require.Equal(t, primrosespar.CodeStoreUnavailable, write("a"), "2 writes per second are allowed")
	clock.Advance(time.Second)
	require.Equal(t, primrosespar.CodeOK, write("a"))
	k.SetFaults(keeper.Faults{Cut: []primrosespar.Place{"a"}})
	require.Equal(t, primrosespar.CodeStoreUnavailable, write("a"))
	require.Equal(t, primrosespar.CodeOK, write("b"))
	k.SetFaults(keeper.Faults{Outage: true})
	require.Equal(t, primrosespar.CodeStoreUnavailable, write("b"))
	k.SetFaults(keeper.Faults{LoseEvery: 1})
	require.Equal(t, primrosespar.CodeStoreUnknown, write("b"))
	require.Equal(t, uint64(5), k.Counts().Transactions)
	require.Equal(t, uint64(1), k.Counts().Throttled)
}

// TestHostListLags guards against a host list that shows a change before
// Faults.ListLag has passed.
func TestHostListLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	k := keeper.New(keeper.WithClock(clock), keeper.WithFaults(keeper.Faults{ListLag: 2 * time.Second}))
	for i := range 3 {
		k.SetHost(primrosespar.HostEntry{Host: primrosespar.Host(fmt.Sprint(i)), Place: "a"})
		clock.Advance(time.Second)
	}
	list, err := k.List(t.Context(), "a")
	require.NoError(t, err)
	require.Len(t, list.Hosts, 2)
	clock.Advance(time.Second)
	list, err = k.List(t.Context(), "a")
	require.NoError(t, err)
	require.Len(t, list.Hosts, 3)
}
