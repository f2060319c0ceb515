package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// shrink announces a smaller capacity of a worker.
func (h *harness) shrink(worker primrosespar.Worker, accelerators int) {
	h.workers[h.workerIndex(worker)].Capacity.Accelerators = accelerators
	h.scheduler.SetWorkers(h.workers, h.now)
}

// startWithUnansweredAndUnsent returns the starts of four tasks on one worker:
// one was answered, one was not, and two were not sent yet.
func startWithUnansweredAndUnsent(t *testing.T) (*harness, []scheduler.Order) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 4, Need: needAccelerators(2)}), h.now)
	starts := h.plan().Starts
	require.Len(t, starts, 4)
	for _, start := range starts[:2] {
		require.Equal(t, starts[0].Worker, start.Worker)
		require.True(t, h.scheduler.ShouldSend(start, h.now))
	}
	h.scheduler.HandleStartResult(starts[0], primrosespar.CodeOK, h.now)
	h.scheduler.HandleStartResult(starts[1], primrosespar.CodeWorkerLost, h.now)
	return h, starts
}

// TestShrunkWorkerGetsNoFurtherStart guards against starts that bring a worker
// over a capacity which has shrunk since they were placed: while their record
// was being stored, or before they were repeated.
func TestShrunkWorkerGetsNoFurtherStart(t *testing.T) {
	h, starts := startWithUnansweredAndUnsent(t)
	h.shrink(starts[0].Worker, 3)
	for _, start := range starts[2:] {
		require.False(t, h.scheduler.ShouldSend(start, h.now))
	}
	for range 10 {
		h.now = h.now.Add(200 * time.Millisecond)
		for _, start := range h.plan().Starts {
			require.NotEqual(t, starts[0].Worker, start.Worker)
			require.Greater(t, start.Run.Number, uint64(1))
		}
	}
}

// TestShrunkWorkerKeepsWhatFits guards against runs that end because the
// capacity of their worker has shrunk.
func TestShrunkWorkerKeepsWhatFits(t *testing.T) {
	h, starts := startWithUnansweredAndUnsent(t)
	h.shrink(starts[0].Worker, 6)
	sent := 0
	for _, start := range starts[2:] {
		if h.scheduler.ShouldSend(start, h.now) {
			sent++
		}
	}
	require.Equal(t, 1, sent)
	h.shrink(starts[0].Worker, 0)
	h.now = h.now.Add(200 * time.Millisecond)
	for _, stop := range h.plan().Stops {
		require.NotEqual(t, starts[0].Run, stop.Run, "a task at work must not be stopped")
	}
}

// TestWorkerThatGrowsAgainIsUsed guards against room that stays unused after a
// worker's capacity has grown again.
func TestWorkerThatGrowsAgainIsUsed(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	for _, info := range h.workers {
		h.shrink(info.Worker, 1)
	}
	h.scheduler.Submit(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(2)}), h.now)
	require.Empty(t, h.plan().Starts)
	h.shrink("w02", 2)
	h.now = h.now.Add(200 * time.Millisecond)
	starts := h.plan().Starts
	require.Len(t, starts, 1)
	require.EqualValues(t, "w02", starts[0].Worker)
}
