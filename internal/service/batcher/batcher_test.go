package batcher_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/service/batcher"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// TestCallersGetTheirOwnResults guards against a caller that gets the conflict
// of another caller, success for a write that did not happen, or a conflict for
// a write that did. Each caller claims one of a few shared rows and writes a
// row of its own.
func TestCallersGetTheirOwnResults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		loseShare := rapid.SampledFrom([]float64{0, 0.5}).Draw(rt, "lost share")
		claims := rapid.SliceOfN(rapid.IntRange(0, 4), 2, 20).Draw(rt, "claimed rows")
		errs := make([]error, len(claims))
		written := make([]int, len(claims))
		synctest.Test(t, func(t *testing.T) {
			table := keeper.New(keeper.WithClock(clockwork.NewRealClock()), keeper.WithFaults(keeper.Faults{LoseShare: loseShare, LoseSeed: seed}))
			_, _ = table.Commit(t.Context(), primrosespar.Txn{Writes: []primrosespar.Write{{Key: "claim/0"}}})
			b := batcher.New(table)
			var group conc.WaitGroup
			for i, claim := range claims {
				group.Go(func() { errs[i] = commitClaim(b, i, claim) })
			}
			group.Wait()
			b.Close()
			for i := range claims {
				rows, err := table.Get(t.Context(), fmt.Sprintf("own/%d", i))
				require.NoError(t, err)
				written[i] = int(rows[0].Version)
			}
		})
		claimed := map[int]int{}
		for i, claim := range claims {
			claimed[claim] += written[i]
			switch primrosespar.CodeOf(errs[i]) {
			case primrosespar.CodeOK:
				require.Equal(rt, 1, written[i])
			case primrosespar.CodeConflict:
				require.Zero(rt, written[i])
			default:
				require.Equal(rt, primrosespar.CodeStoreUnknown, primrosespar.CodeOf(errs[i]))
				require.Positive(rt, loseShare)
			}
		}
		for _, claim := range claims {
			require.Equal(rt, min(1, claim), claimed[claim], "claim %d", claim)
		}
	})
}

// commitClaim claims a row, which must not exist, and writes a row of the
// caller.
func commitClaim(b *batcher.Batcher, caller, claim int) error {
	key := fmt.Sprintf("claim/%d", claim)
	_, err := b.Commit(context.Background(), primrosespar.Txn{
		Conditions: []primrosespar.Condition{{Key: key}},
		Writes:     []primrosespar.Write{{Key: key}, {Key: fmt.Sprintf("own/%d", caller)}},
	})
	return err
}

// TestCommitsShareTransactions guards against a batcher that does not combine
// commits, and against an unbounded queue.
func TestCommitsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		b := batcher.New(table, batcher.WithQueue(10), batcher.WithWindow(time.Second))
		errs := make([]error, 12)
		var group conc.WaitGroup
		for i := range errs {
			group.Go(func() { errs[i] = commitClaim(b, i, i) })
		}
		group.Wait()
		b.Close()
		refused := 0
		for _, err := range errs {
			if primrosespar.CodeOf(err) == primrosespar.CodeStoreUnavailable {
				refused++
			}
		}
		require.Equal(t, 2, refused)
		require.Equal(t, uint64(1), table.Counts().Transactions)
	})
}

// TestOverlappingPartsAreCommittedSeparately guards against two commits that
// both succeed because they share a transaction, although each has a condition
// that the write of the other violates.
func TestOverlappingPartsAreCommittedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := batcher.New(keeper.New(keeper.WithClock(clockwork.NewRealClock())))
		keys := []string{"x", "y"}
		codes := make([]primrosespar.Code, 2)
		var group conc.WaitGroup
		for i := range keys {
			group.Go(func() {
				_, err := b.Commit(context.Background(), primrosespar.Txn{
					Conditions: []primrosespar.Condition{{Key: keys[i]}},
					Writes:     []primrosespar.Write{{Key: keys[1-i]}},
				})
				codes[i] = primrosespar.CodeOf(err)
			})
		}
		group.Wait()
		b.Close()
		require.ElementsMatch(t, []primrosespar.Code{primrosespar.CodeOK, primrosespar.CodeConflict}, codes)
	})
}

// TestCommitsBelowRateDoNotWait guards against a batcher that delays the
// commits of a host with little load. Commits may only wait above the rate.
func TestCommitsBelowRateDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		b := batcher.New(keeper.New(keeper.WithClock(clock)), batcher.WithWindow(time.Second), batcher.WithRate(1, 2))
		defer b.Close()
		var waits []time.Duration
		for i := range 3 {
			start := clock.Now()
			require.NoError(t, commitClaim(b, i, i))
			waits = append(waits, clock.Since(start))
		}
		require.Equal(t, []time.Duration{0, 0, time.Second}, waits)
	})
}
