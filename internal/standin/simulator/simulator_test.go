package simulator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/standin/simulator"
)

// TestSameSeedGivesSameResult guards against results that cannot be reproduced
// from the seed.
func TestSameSeedGivesSameResult(t *testing.T) {
	simulate := func(seed uint64) simulator.Result {
		return simulator.New(simulator.WithWorkers(16), simulator.WithSeed(seed)).Run(20 * time.Second)
	}
	first := simulate(1)
	require.Equal(t, first, simulate(1))
	require.NotEqual(t, first, simulate(2))
	require.Positive(t, first.Jobs)
}

// TestPoliciesDifferInUrgentWaits guards against a simulation in which the
// policy makes no difference, or urgent jobs wait longer with priorities than
// without.
func TestPoliciesDifferInUrgentWaits(t *testing.T) {
	waits := map[string]time.Duration{}
	for _, p := range simulator.Policies() {
		r := simulator.New(simulator.WithWorkers(48), simulator.WithSeed(3), simulator.WithLoad(2), simulator.WithPolicy(p)).
			Run(40 * time.Second)
		waits[p.Name] = r.Wait("urgent", 0.95)
		require.LessOrEqual(t, r.EarnedShare, 1.0)
	}
	require.Less(t, waits["contracts"], time.Second)
	require.Greater(t, waits["one_priority"], 5*waits["contracts"])
}
