package accountant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/accountant"
)

// TestLossesAreAddedUpByCause guards against work that is counted for another
// cause or without its accelerators.
func TestLossesAreAddedUpByCause(t *testing.T) {
	a := accountant.New()
	need := primrosespar.Resources{Millicores: 500, Accelerators: 1}
	require.InDelta(t, 17, a.Add(primrosespar.LossPreempted, need, 2*time.Second), 1e-9)
	a.Add(primrosespar.LossPreempted, need, time.Second)
	a.Add(primrosespar.LossCancelled, need, time.Second)
	require.Zero(t, a.Add(primrosespar.LossFailed, need, -time.Second))
	require.Equal(t, []primrosespar.FleetLoss{
		{Cause: primrosespar.LossPreempted, Runs: 2, CoreSeconds: 25.5}, {Cause: primrosespar.LossCancelled, Runs: 1, CoreSeconds: 8.5},
	}, a.Losses())
	require.InDelta(t, 25.5, a.Lost(primrosespar.LossPreempted), 1e-9)
	require.Zero(t, a.Lost(primrosespar.LossFailed))
}
