package stopwatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/fleet/stopwatch"
)

// TestElapsedAdvances guards against a clock that is not there: no age would
// ever exceed a limit.
func TestElapsedAdvances(t *testing.T) {
	w, err := stopwatch.New()
	require.NoError(t, err)
	before := w.Elapsed()
	require.Positive(t, before)
	time.Sleep(2 * time.Millisecond)
	require.GreaterOrEqual(t, w.Elapsed()-before, 2*time.Millisecond)
}
