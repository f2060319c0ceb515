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

// work lets job a work for a time that its worker reports each second, a percent
// after each given time, and starts it again when it is stopped. It returns the
// events of the time.
func (h *harness) work(start scheduler.Order, d, percentTime time.Duration) (scheduler.Order, []scheduler.Event) {
	var events []scheduler.Event
	began := h.now
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(time.Second)
		h.reportOnly(start, float64(h.now.Sub(began)/percentTime))
		changes := h.plan()
		events = append(events, changes.Events...)
		for _, stop := range changes.Stops {
			h.scheduler.HandleStopResult(stop, primrosespar.CodeOK, h.now)
			h.now = h.now.Add(200 * time.Millisecond)
			h.reportAllIdle()
		}
		h.acceptStarts(changes.Starts)
		if last := h.started[len(h.started)-1]; last.Run.Number > start.Run.Number {
			start, began = last, h.now
		}
	}
	return start, events
}

// reportOnly lets all workers report, that of the run with its percent.
func (h *harness) reportOnly(start scheduler.Order, percent float64) {
	for i := range h.workers {
		if i == h.workerIndex(start.Worker) {
			h.report(i, activeRuns(start, percent))
		} else {
			h.report(i, nil)
		}
	}
}

// count returns the number of events of the kind.
func count(events []scheduler.Event, kind string) int {
	n := 0
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// TestLongTaskIsNotStopped guards against a long task that is stopped because
// its percent changes seldom, also where it works more slowly than estimated.
func TestLongTaskIsNotStopped(t *testing.T) {
	for _, slowness := range []time.Duration{1, 3, 8} {
		for _, estimate := range []time.Duration{5 * time.Minute, 3 * time.Hour} {
			h := newHarness(t, 1)
			h.reportAllIdle()
			start := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1), Estimate: estimate}))[0]
			_, events := h.work(start, 20*time.Minute, slowness*estimate/100)
			require.Zero(t, count(events, "run_stopped"), "estimate %v, %d times as slow", estimate, slowness)
		}
	}
}

// TestTaskWithWrongEstimateWorks guards against a long task that never ends
// because its estimate is far too short, and against the quarantine of sound
// workers for it.
func TestTaskWithWrongEstimateWorks(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	start := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1), Estimate: time.Second}))[0]
	start, events := h.work(start, 15*time.Minute, 108*time.Second)
	require.Zero(t, count(events, "worker_quarantined"))
	_, events = h.work(start, 3*time.Hour, 108*time.Second)
	require.Zero(t, count(events, "run_stopped"))
}

// TestStallQuarantinesWorker guards against a worker on which tasks stand still
// and that gets more of them.
func TestStallQuarantinesWorker(t *testing.T) {
	for name, jobs := range map[string][]string{"after work": {"a"}, "of two jobs": {"a", "b"}} {
		h := newHarness(t, 1)
		h.reportAllIdle()
		var active []primrosespar.ActiveRun
		for _, id := range jobs {
			start := h.submitAndStart(job(id, "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1)}))[0]
			active = append(active, activeRuns(start, 0)...)
		}
		index := h.workerIndex(h.started[0].Worker)
		quarantined := 0
		for i := range 10 {
			h.now = h.now.Add(time.Second)
			if len(jobs) == 1 {
				active[0].Percent = 10 * float64(min(i, 3))
			}
			h.report(index, active)
			quarantined += count(h.plan().Events, "worker_quarantined")
		}
		require.Equal(t, 1, quarantined, name)
	}
}
