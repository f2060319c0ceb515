package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// latencyTarget is the tail latency that the serving task must not exceed.
const latencyTarget = 100 * time.Millisecond

// sharedHarness is a harness with one worker that runs a task which serves
// users and a filler task.
type sharedHarness struct {
	*harness
	serving, filler scheduler.Order
	// fillerPercent is the progress of the filler task.
	fillerPercent float64
}

// newSharedHarness returns a harness with both tasks started.
func newSharedHarness(t *testing.T) *sharedHarness {
	h := &sharedHarness{harness: newHarness(t, 1)}
	h.workers = h.workers[:1]
	h.scheduler.SetWorkers(h.workers, h.now)
	h.report(0, nil)
	h.scheduler.Submit(job("serves", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1), LongRunning: true, Image: "a", Target: latencyTarget}), h.now)
	starts := h.submitAndStart(job("fills", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1), Filler: true, Image: "b"}))
	require.Len(t, starts, 2)
	h.serving, h.filler = starts[0], starts[1]
	if h.serving.Run.Task.Job != "serves" {
		h.serving, h.filler = h.filler, h.serving
	}
	require.True(t, h.scheduler.Shared(h.serving.Worker))
	return h
}

// reportTail advances the clock by half a second, reports the tail latency and
// returns the throttle orders.
func (h *sharedHarness) reportTail(tail time.Duration) []scheduler.Throttle {
	h.now = h.now.Add(500 * time.Millisecond)
	active := activeRuns(h.serving, 100)
	active[0].Tail = tail
	h.report(0, append(active, activeRuns(h.filler, h.fillerPercent)...))
	changes := h.plan()
	require.Empty(h.t, changes.Stops)
	return changes.Throttles
}

// acceptThrottles answers the throttle orders with success.
func (h *sharedHarness) acceptThrottles(throttles []scheduler.Throttle) {
	for _, throttle := range throttles {
		h.scheduler.HandleThrottleResult(throttle, primrosespar.CodeOK, h.now)
	}
}

// TestFillerIsPausedOnHighLatency guards against a serving task that exceeds
// its latency target because of a filler task on the same worker.
func TestFillerIsPausedOnHighLatency(t *testing.T) {
	h := newSharedHarness(t)
	require.Empty(t, h.reportTail(latencyTarget/2))
	throttles := h.reportTail(latencyTarget + 1)
	require.Equal(t, []scheduler.Throttle{{Worker: h.filler.Worker, Run: h.filler.Run, Percent: 0}}, throttles)
	// An order without an answer is repeated.
	h.scheduler.HandleThrottleResult(throttles[0], primrosespar.CodeWorkerLost, h.now)
	h.now = h.now.Add(200 * time.Millisecond)
	again := h.plan().Throttles
	require.Equal(t, throttles, again)
	h.acceptThrottles(again)
	// An earlier order that is carried out late could resume the filler, so the
	// pause is repeated while the latency stays high.
	require.Empty(t, h.reportTail(2*latencyTarget))
	require.Equal(t, throttles, h.reportTail(2*latencyTarget))
}

// TestFillerResumesInSteps guards against a filler task that stays paused
// forever, or that resumes at full speed and makes the tail latency oscillate.
func TestFillerResumesInSteps(t *testing.T) {
	h := newSharedHarness(t)
	h.acceptThrottles(h.reportTail(2 * latencyTarget))
	var percents []int
	for range 60 {
		h.fillerPercent++
		throttles := h.reportTail(latencyTarget / 2)
		h.acceptThrottles(throttles)
		for _, throttle := range throttles {
			percents = append(percents, throttle.Percent)
		}
	}
	require.Equal(t, []int{25, 50, 75, 100}, percents)
}

// TestPausedFillerIsNotStalled guards against the quarantine of a worker
// because its paused filler task makes no progress.
func TestPausedFillerIsNotStalled(t *testing.T) {
	h := newSharedHarness(t)
	for range 20 {
		h.acceptThrottles(h.reportTail(2 * latencyTarget))
	}
}

// TestServingTasksAvoidFillers guards against tasks that share a worker and
// interfere although other workers have room.
func TestServingTasksAvoidFillers(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	h.scheduler.Submit(job("serves", "plain", primrosespar.Step{Count: 4, Need: needAccelerators(1), LongRunning: true, Target: latencyTarget}), h.now)
	h.scheduler.Submit(job("fills", "plain", primrosespar.Step{Count: 4, Need: needAccelerators(1), Filler: true}), h.now)
	starts := h.plan().Starts
	require.Len(t, starts, 8)
	for _, w := range h.workers {
		require.False(t, h.scheduler.Shared(w.Worker))
	}
}
