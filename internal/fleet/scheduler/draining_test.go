package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// startLongRunning submits a long-running job with one task per worker and
// reports its tasks as running.
func (h *harness) startLongRunning(queue primrosespar.Queue, count, maxUnavailable int) []scheduler.Order {
	starts := h.submitAndStart(job("last", queue, primrosespar.Step{Count: count, Need: needAccelerators(8), LongRunning: true, MaxUnavailable: maxUnavailable}))
	require.Len(h.t, starts, count)
	h.reportRunning(starts)
	return starts
}

// reportRunning reports the started runs as active at 100 percent progress.
func (h *harness) reportRunning(starts []scheduler.Order) {
	for _, o := range starts {
		h.report(h.workerIndex(o.Worker), activeRuns(o, 100))
	}
}

// workerSet returns the set of the workers.
func workerSet(workers ...primrosespar.Worker) map[primrosespar.Worker]bool {
	set := map[primrosespar.Worker]bool{}
	for _, w := range workers {
		set[w] = true
	}
	return set
}

// TestCordonedWorkerGetsNoWork guards against work that is started on a worker
// just before it is taken down for maintenance.
func TestCordonedWorkerGetsNoWork(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	cordoned := workerSet()
	for _, w := range h.workers[1:] {
		cordoned[w.Worker] = true
	}
	h.scheduler.SetCordoned(cordoned, nil)
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: needAccelerators(8)}), h.now)
	starts := h.plan().Starts
	require.Len(t, starts, 1)
	require.Equal(t, h.workers[0].Worker, starts[0].Worker)
	require.False(t, h.scheduler.Idle(starts[0].Worker))
	h.scheduler.SetCordoned(nil, nil)
	h.now = h.now.Add(time.Second)
	require.Len(t, h.plan().Starts, 1)
}

// TestDisruptionLimitMovesTasksOneByOne guards against a step that has more
// tasks unavailable at once than it allows.
func TestDisruptionLimitMovesTasksOneByOne(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	starts := h.startLongRunning("plain", 3, 1)
	cordoned := workerSet(starts[0].Worker, starts[1].Worker)
	h.scheduler.SetCordoned(cordoned, nil)
	h.now = h.now.Add(time.Second)
	require.Empty(t, h.plan().Stops, "tasks on cordoned workers run until they are cleared")
	h.scheduler.SetCordoned(cordoned, cordoned)
	stops := h.plan().Stops
	require.Len(t, stops, 1)
	moved := 0
	if stops[0].Worker == starts[1].Worker {
		moved = 1
	}
	require.True(t, h.scheduler.HasDisruptionLimit(starts[1-moved].Worker))
	h.scheduler.SetCordoned(cordoned, cordoned)
	h.scheduler.HandleStopResult(stops[0], primrosespar.CodeOK, h.now)
	h.now = h.now.Add(time.Second)
	h.report(h.workerIndex(stops[0].Worker), nil, primrosespar.EndedRun{Sequence: 1, Run: stops[0].Run, End: primrosespar.EndStopped})
	again := h.plan()
	require.Empty(t, again.Stops)
	h.now = h.now.Add(200 * time.Millisecond)
	next := append(again.Starts, h.plan().Starts...)
	require.Len(t, next, 1)
	h.acceptStarts(next)
	h.now = h.now.Add(time.Second)
	h.scheduler.SetCordoned(cordoned, cordoned)
	require.Empty(t, h.plan().Stops, "the moved task is not available yet")
	h.reportRunning(next)
	h.reportRunning([]scheduler.Order{starts[1-moved], starts[2]})
	h.scheduler.SetCordoned(cordoned, cordoned)
	h.now = h.now.Add(time.Second)
	stops = h.plan().Stops
	require.Len(t, stops, 1)
	require.Equal(t, starts[1-moved].Worker, stops[0].Worker)
}

// TestGuaranteeIsReclaimedFromLongRunningWork guards against a guarantee that
// is never provided because long-running work does not end by itself.
func TestGuaranteeIsReclaimedFromLongRunningWork(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	starts := h.startLongRunning("plain", workersPerRack-1, 1)
	h.now = h.now.Add(time.Second)
	h.reportRunning(starts)
	h.scheduler.Submit(job("u", "urgent", primrosespar.Step{Count: 2, Need: needAccelerators(8)}), h.now)
	changes := h.plan()
	require.Len(t, changes.Starts, 1, "one worker is free")
	require.Len(t, changes.Stops, 1)
	h.now = h.now.Add(200 * time.Millisecond)
	require.Empty(t, h.plan().Stops, "at most one task may be unavailable")
}

// TestLongRunningTaskUsesReservedRack guards against a long-running task that
// never starts because the only rack with room is reserved for a gang.
func TestLongRunningTaskUsesReservedRack(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	h.startLongRunning("plain", 3, 0)
	h.scheduler.Submit(job("gang", "plain", primrosespar.Step{Count: 2, Need: needAccelerators(8), Gang: true, OneRack: true}), h.now)
	h.scheduler.Submit(job("more", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1), LongRunning: true}), h.now)
	var starts []scheduler.Order
	for range 10 {
		h.now = h.now.Add(time.Second)
		starts = append(starts, h.plan().Starts...)
	}
	require.Len(t, starts, 1)
	require.Equal(t, primrosespar.JobID("more"), starts[0].Run.Task.Job)
}
