package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// activeRuns returns the run as a worker lists it with the given progress.
func activeRuns(o scheduler.Order, percent float64) []primrosespar.ActiveRun {
	return []primrosespar.ActiveRun{{Run: o.Run, Percent: percent}}
}

// TestStalledRunIsStopped guards against a run that makes no progress and holds
// its capacity forever.
func TestStalledRunIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	start := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1)}))[0]
	for _, percent := range []float64{10, 10} {
		h.now = h.now.Add(2 * time.Second)
		h.report(h.workerIndex(start.Worker), activeRuns(start, percent))
	}
	h.now = h.now.Add(700 * time.Millisecond)
	require.Len(t, h.plan().Stops, 1)
}

// TestUnreportedRunIsNotStalled guards against stopping a run that is working:
// a lost poll or answer is noticed only after 2.9 s, and the run may have made
// progress by then.
func TestUnreportedRunIsNotStalled(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	start := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1)}))[0]
	h.now = h.now.Add(2 * time.Second)
	h.report(h.workerIndex(start.Worker), activeRuns(start, 10))
	h.now = h.now.Add(2800 * time.Millisecond)
	require.Empty(t, h.plan().Stops)
	h.report(h.workerIndex(start.Worker), activeRuns(start, 40))
	require.Empty(t, h.plan().Stops)
}

// TestLateGangIsNotStalled guards against stopping a gang that could not make
// progress because the start of its last member was answered late.
func TestLateGangIsNotStalled(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: needAccelerators(8), Gang: true}), h.now)
	starts := h.plan().Starts
	require.Len(t, starts, 2)
	h.scheduler.HandleStartResult(starts[0], primrosespar.CodeOK, h.now)
	h.scheduler.HandleStartResult(starts[1], primrosespar.CodeWorkerLost, h.now)
	for range 2 {
		h.now = h.now.Add(1200 * time.Millisecond)
		h.report(h.workerIndex(starts[0].Worker), activeRuns(starts[0], 0))
	}
	require.Len(t, h.plan().Starts, 1)
	h.scheduler.HandleStartResult(starts[1], primrosespar.CodeOK, h.now)
	h.now = h.now.Add(200 * time.Millisecond)
	h.report(h.workerIndex(starts[0].Worker), activeRuns(starts[0], 0))
	require.Empty(t, h.plan().Stops)
}

// TestGangThatDoesNotGatherIsStopped guards against gang members that hold
// capacity while they wait for the others until their workers give up.
func TestGangThatDoesNotGatherIsStopped(t *testing.T) {
	h := newHarness(t, 1, scheduler.WithGangTimeout(3*time.Second))
	h.reportAllIdle()
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: needAccelerators(8), Gang: true}), h.now)
	starts := h.plan().Starts
	require.Len(t, starts, 2)
	for _, o := range starts {
		require.True(t, h.scheduler.ShouldSend(o, h.now))
	}
	h.scheduler.HandleStartResult(starts[0], primrosespar.CodeOK, h.now)
	h.scheduler.HandleStartResult(starts[1], primrosespar.CodeWorkerLost, h.now)
	h.now = h.now.Add(1500 * time.Millisecond)
	require.Empty(t, h.plan().Stops)
	h.now = h.now.Add(500 * time.Millisecond)
	require.Len(t, h.plan().Stops, 1, "the start order of the other member is in flight")
	h.scheduler.HandleStartResult(starts[1], primrosespar.CodeWorkerLost, h.now)
	h.now = h.now.Add(500 * time.Millisecond)
	require.Len(t, h.plan().Stops, 1)
}
