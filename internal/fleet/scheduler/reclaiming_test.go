package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// TestVictimsOfAnEarlierHolderAreChosenByTheirWork guards against a new holder
// that takes all runs to have just begun, and stops one that is almost done.
// Load: urgent jobs arrive at a full fleet after a change of the holder.
func TestVictimsOfAnEarlierHolderAreChosenByTheirWork(t *testing.T) {
	h := newHarness(t, 1, scheduler.WithReserve(0))
	h.reportAllIdle()
	old := h.submitAndStart(job("old", "plain", primrosespar.Step{Count: workersPerRack - 1, Need: needAccelerators(8), Estimate: 20 * time.Second}))
	h.now = h.now.Add(15 * time.Second)
	for _, o := range old {
		h.report(h.workerIndex(o.Worker), activeRuns(o, 75))
	}
	h.report(workersPerRack-1, nil)
	young := h.submitAndStart(job("young", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8), Estimate: 20 * time.Second}))
	require.Len(t, young, 1)
	h.now = h.now.Add(time.Second)
	next := h.succeed()
	for _, o := range h.started {
		percent := 80.0
		if o.Run.Task.Job == "young" {
			percent = 5
		}
		next.report(next.workerIndex(o.Worker), activeRuns(o, percent))
	}
	next.now = next.now.Add(100 * time.Millisecond)
	next.scheduler.Submit(job("u", "urgent", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), next.now)
	stops := next.plan().Stops
	require.Len(t, stops, 1)
	require.Equal(t, young[0].Run, stops[0].Run)
}

// TestNewHolderStopsNoWorkForRoomThatWorkersStillReport guards against a new
// holder that stops work on the first workers that report, though others are
// idle. Load: urgent jobs have gathered while the fleet had no holder.
func TestNewHolderStopsNoWorkForRoomThatWorkersStillReport(t *testing.T) {
	for name, silent := range map[string]bool{"idle workers report": false, "idle workers are silent": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.reportAllIdle()
			starts := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 2, Need: needAccelerators(8)}))
			require.Len(t, starts, 2)
			next := h.succeed()
			next.reportRunning(starts)
			next.scheduler.Submit(job("u", "urgent", primrosespar.Step{Count: 2, Need: needAccelerators(8)}), next.now)
			require.Empty(t, next.plan().Stops)
			next.now = next.now.Add(200 * time.Millisecond)
			busy := workersOf(starts)
			for i, w := range next.workers {
				switch {
				case busy[w.Worker]:
				case silent:
					next.scheduler.MarkUnresponsive(w.Worker, next.now)
				default:
					next.report(i, nil)
				}
			}
			changes := next.plan()
			if silent {
				require.Len(t, changes.Stops, 2)
				return
			}
			require.Empty(t, changes.Stops)
			require.Len(t, changes.Starts, 2)
		})
	}
}
