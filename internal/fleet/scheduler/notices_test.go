package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// announceLeave announces that the worker leaves after the given time.
func (h *harness) announceLeave(worker primrosespar.Worker, remaining time.Duration) {
	i := h.workerIndex(worker)
	h.workers[i].Draining, h.workers[i].DrainRemaining = true, remaining
	h.scheduler.SetWorkers(h.workers, h.now)
}

// TestGangThatCannotEndBeforeAWorkerLeavesIsStopped guards against gangs that
// work on until one of their workers leaves, which loses the work of all
// members. Load: workers are taken away at short notice below running gangs.
func TestGangThatCannotEndBeforeAWorkerLeavesIsStopped(t *testing.T) {
	for name, test := range map[string]struct {
		percent   float64
		remaining time.Duration
		stops     int
	}{
		"ends too late":     {30, 2 * time.Second, 3},
		"ends in time":      {70, 2 * time.Second, 0},
		"ends a bit later":  {60, 1500 * time.Millisecond, 0},
		"time is not known": {30, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.reportAllIdle()
			starts := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 3, Need: needAccelerators(8), Gang: true}))
			require.Len(t, starts, 3)
			h.now = h.now.Add(3 * time.Second)
			for _, o := range starts {
				h.report(h.workerIndex(o.Worker), activeRuns(o, test.percent))
			}
			h.announceLeave(starts[0].Worker, test.remaining)
			require.Len(t, h.plan().Stops, test.stops)
			if test.stops == 0 {
				return
			}
			h.end(primrosespar.EndStopped, "", starts...)
			h.now = h.now.Add(time.Second)
			again := h.plan().Starts
			require.Len(t, again, 3)
			for _, o := range again {
				require.NotEqual(t, starts[0].Worker, o.Worker)
			}
			require.Equal(t, primrosespar.LossMoved, h.scheduler.View(h.now).Losses[0].Cause)
		})
	}
}
