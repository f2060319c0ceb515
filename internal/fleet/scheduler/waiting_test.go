package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// waiting returns the number of jobs that wait in the plain queue.
func (h *harness) waiting() int { return h.scheduler.Waiting()["plain"] }

// TestPlacedJobWaitsUntilATaskStarts guards against jobs that are not counted as
// waiting although no worker has begun a task of them.
func TestPlacedJobWaitsUntilATaskStarts(t *testing.T) {
	for name, c := range map[string]struct {
		then  func(h *harness, start scheduler.Order)
		waits int
	}{
		"not answered": {func(h *harness, start scheduler.Order) {
			h.scheduler.HandleStartResult(start, primrosespar.CodeWorkerLost, h.now)
		}, 1},
		"refused": {func(h *harness, start scheduler.Order) {
			h.scheduler.HandleStartResult(start, primrosespar.CodeWorkerFull, h.now)
		}, 1},
		"ruled out by a stop": {func(h *harness, start scheduler.Order) {
			h.scheduler.HandleStartResult(start, primrosespar.CodeStaleAttempt, h.now)
		}, 1},
		"answered": {func(h *harness, start scheduler.Order) {
			h.scheduler.HandleStartResult(start, primrosespar.CodeOK, h.now)
		}, 0},
		"listed": {func(h *harness, start scheduler.Order) {
			h.report(h.workerIndex(start.Worker), activeRuns(start, 0))
		}, 0},
		"ended": {func(h *harness, start scheduler.Order) {
			h.report(h.workerIndex(start.Worker), nil, primrosespar.EndedRun{Sequence: 1, Run: start.Run, End: primrosespar.EndFailed})
		}, 0},
	} {
		h := newHarness(t, 1)
		h.reportAllIdle()
		h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: needAccelerators(1)}), h.now)
		start := h.plan().Starts[0]
		require.Equal(t, 1, h.waiting(), name)
		c.then(h, start)
		require.Equal(t, c.waits, h.waiting(), name)
	}
}

// TestRestoredJobWaitsUntilATaskStarts guards against a new holder that takes
// each stored start for one that was carried out, and against one that forgets
// which jobs have begun.
func TestRestoredJobWaitsUntilATaskStarts(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	step := primrosespar.Step{Count: 1, Need: needAccelerators(1)}
	start := h.submitAndStart(job("a", "plain", step))[0]
	h.submitAndStart(job("b", "plain", step))
	h.submitAndStart(job("c", "plain", primrosespar.Step{Count: 2, Need: needAccelerators(1)}))
	h.report(h.workerIndex(h.started[2].Worker), nil,
		primrosespar.EndedRun{Sequence: 1, Run: h.started[2].Run, End: primrosespar.EndDone})
	h.plan()
	require.Zero(t, h.waiting())
	h = h.succeed()
	require.Equal(t, 2, h.waiting(), "only a task of job c is known to have begun")
	h.now = h.now.Add(time.Second)
	h.report(h.workerIndex(start.Worker), activeRuns(start, 10))
	require.Equal(t, 1, h.waiting())
}
