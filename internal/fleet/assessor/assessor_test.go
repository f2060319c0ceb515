package assessor_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/fleet/assessor"
)

// worker is the address of the observed worker.
func worker() netip.AddrPort { return netip.MustParseAddrPort("10.0.0.1:80") }

// start is when the observation begins.
func start() time.Time { return time.Unix(1000, 0) }

// setAsideFor returns for how long the worker is set aside from the start on.
func setAsideFor(a *assessor.Assessor) time.Duration {
	for passed := time.Duration(0); ; passed += 100 * time.Millisecond {
		if !a.Assess(worker(), start().Add(passed)).Unsure() {
			return passed
		}
	}
}

// TestWorkerIsTriedAgainLaterAfterMoreFailures guards against a worker that is
// excluded for good, or that gets work at once however often it fails.
func TestWorkerIsTriedAgainLaterAfterMoreFailures(t *testing.T) {
	before := time.Duration(-1)
	for failures := range 4 {
		a := assessor.New()
		for range failures {
			a.Observe(worker(), assessor.Failed, 1, start())
		}
		lasted := setAsideFor(a)
		require.Greater(t, lasted, before)
		require.Less(t, lasted, 30*time.Second)
		before = lasted
	}
}

// TestBusyWorkerIsNotSetAsideForOneFailure guards against sound workers that are
// set aside for the faults of tasks.
func TestBusyWorkerIsNotSetAsideForOneFailure(t *testing.T) {
	a := assessor.New()
	for range 3 {
		a.Observe(worker(), assessor.Done, 1, start())
	}
	a.Observe(worker(), assessor.Failed, 1, start())
	assessment := a.Assess(worker(), start())
	require.False(t, assessment.Unsure())
	require.Greater(t, assessment.Confidence, 0.5)
	b := assessor.New()
	b.Observe(worker(), assessor.Failed, 0.25, start())
	require.False(t, b.Assess(worker(), start()).Unsure())
}

// TestCrashAndSlowRunsSetAside guards against workers that flap or have turned
// slow and still get the tasks that depend on each other.
func TestCrashAndSlowRunsSetAside(t *testing.T) {
	crashed, slow, once := assessor.New(), assessor.New(), assessor.New()
	crashed.Observe(worker(), assessor.Crashed, 1, start())
	require.Greater(t, setAsideFor(crashed), 5*time.Second)
	for range 3 {
		slow.ObservePace(worker(), 6, start())
	}
	require.Greater(t, setAsideFor(slow), time.Second)
	once.ObservePace(worker(), 3, start())
	once.ObservePace(worker(), 0, start())
	require.Zero(t, setAsideFor(once))
}

// TestEvidenceExpires guards against evidence that is kept for each worker that
// ever was.
func TestEvidenceExpires(t *testing.T) {
	a := assessor.New()
	a.Observe(worker(), assessor.Crashed, 1, start())
	later := start().Add(2 * time.Minute)
	a.Expire(later)
	require.Zero(t, a.Assess(worker(), start()).Confidence)
}
