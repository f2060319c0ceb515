package estimator_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/place/estimator"
)

// TestRunCoversUnreliableDeclarations guards against estimates that follow
// declared run times when these are off by a factor of ten in both directions.
func TestRunCoversUnreliableDeclarations(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	e := estimator.New()
	exceeded := 0
	const jobs = 2000
	for i := range jobs {
		actual := time.Duration((30 + 30*r.Float64()) * float64(time.Minute))
		declared := time.Duration(float64(actual) * math.Pow(10, 2*r.Float64()-1))
		run := e.Run("bascule", "reconciliation", declared)
		if i >= 100 {
			require.True(t, run.Reliable)
			require.Less(t, run.High, 2*time.Hour)
			if run.High < actual {
				exceeded++
			}
		}
		e.ObserveRun("bascule", "reconciliation", declared, actual)
	}
	require.Less(t, exceeded, jobs/10)
}

// TestRunUsesProportionalDeclarations guards against ignoring declared run
// times that are off by a constant factor only.
func TestRunUsesProportionalDeclarations(t *testing.T) {
	e := estimator.New()
	for i := range 32 {
		declared := time.Duration(i+1) * 10 * time.Minute
		e.ObserveRun("a", "c", declared, declared/10)
	}
	run := e.Run("a", "c", 100*time.Minute)
	require.InDelta(t, (10 * time.Minute).Seconds(), run.Typical.Seconds(), 1)
}

// TestEstimatesWithFewSamples guards against reliable estimates without
// samples, and against sizes smaller than the declared ones.
func TestEstimatesWithFewSamples(t *testing.T) {
	e := estimator.New()
	run := e.Run("a", "c", time.Hour)
	require.False(t, run.Reliable)
	require.Equal(t, 10*time.Hour, run.High)
	declared := estimator.Size{Cores: 4, MemoryBytes: 100}
	require.Equal(t, declared, e.Size("a", "c", declared))
	for range 8 {
		e.ObserveSize("a", "c", estimator.Size{Cores: 9, MemoryBytes: 50})
	}
	require.Equal(t, estimator.Size{Cores: 9, MemoryBytes: 100}, e.Size("a", "c", declared))
}
