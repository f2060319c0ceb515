package ranker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/fleet/ranker"
)

// TestOrder guards against work that is placed before other work which loses
// more by waiting.
func TestOrder(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	work := func(priority int, waited time.Duration) ranker.Work {
		return ranker.Work{Priority: priority, Since: now.Add(-waited), Objective: 10 * time.Second, Remaining: 4 * time.Second}
	}
	longRunning := work(1, time.Hour)
	longRunning.LongRunning = true
	// In order: on time by priority, then late, then worthless.
	ordered := []ranker.Work{
		work(0, 5*time.Second), work(0, time.Second), // on time, by deadline
		work(0, 8*time.Second), // late, but urgent
		longRunning,
		work(1, 6*time.Second), work(1, 0), // 6 s plus 4 s just meets the objective
		work(2, 6*time.Second), work(2, 0),
		work(1, 8*time.Second), work(2, 20*time.Second),
		work(0, 27*time.Second), // worthless
		work(1, 40*time.Second), work(1, 27*time.Second),
		work(2, 30*time.Second),
	}
	positions := make([]ranker.Position, 0, len(ordered))
	for _, w := range ordered {
		positions = append(positions, ranker.Rank(w, now))
	}
	require.True(t, slices.IsSortedFunc(positions, ranker.Position.Compare), "%+v", positions)
	for i, onTime := range []bool{true, true, false, true, true, true, true, true, false, false, false, false, false, false} {
		require.Equal(t, onTime, positions[i].OnTime, "%+v", ordered[i])
	}
}
