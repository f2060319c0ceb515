package indexer_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar/internal/fleet/indexer"
)

// TestRoomIsNeverBelowTheSumOverWorkers compares the index with a look at every
// worker, through any sequence of changes.
func TestRoomIsNeverBelowTheSumOverWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x indexer.Indexer
		free := rapid.SliceOfN(rapid.IntRange(-8, 16), 1, 20).Draw(t, "free")
		for _, n := range free {
			x.Add(n)
		}
		for range rapid.IntRange(0, 30).Draw(t, "moves") {
			i, to := rapid.IntRange(0, len(free)-1).Draw(t, "worker"), rapid.IntRange(-8, 16).Draw(t, "to")
			x.Move(free[i], to)
			free[i] = to
		}
		need, limit := rapid.IntRange(0, 9).Draw(t, "need"), rapid.IntRange(1, 40).Draw(t, "limit")
		sum, room := 0, 0
		for _, n := range free {
			sum += max(n, 0)
			if need > 0 {
				room += max(n, 0) / need
			} else {
				room = limit
			}
		}
		require.Equal(t, sum, x.Free())
		require.Equal(t, min(room, limit), x.Room(need, limit))
	})
}

// TestMemoryIsBoundedByAnyCapacity guards against a worker whose announced
// accelerators set the memory of the holder.
func TestMemoryIsBoundedByAnyCapacity(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var x indexer.Indexer
	x.Add(1 << 22)
	x.Add(8)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
	require.Equal(t, 1<<22+8, x.Free())
	require.Equal(t, 5, x.Room(1<<20, 5), "the bound may be too high, never too low")
	require.Equal(t, 1, x.Room(8, 1))
	x.Move(1<<22, 8)
	require.Equal(t, 16, x.Free())
	require.Equal(t, 2, x.Room(8, 5))
}
