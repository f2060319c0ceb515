package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// newColdHarness returns a harness with four workers, of which the first two are
// cold for 10 s, and a service whose cold workers take perSecond starts a second.
func newColdHarness(t *testing.T, perSecond float64) *harness {
	h := newHarness(t, 1)
	for i := range 2 {
		h.workers[i].ColdRemaining = 10 * time.Second
	}
	h.scheduler.SetWorkers(h.workers, h.now)
	catalog := testCatalog()
	catalog.Contracts = nil
	catalog.ColdStarts = map[primrosespar.Service]float64{service: perSecond}
	h.scheduler.SetCatalog(catalog)
	h.reportAllIdle()
	return h
}

// TestWarmWorkersComeFirst guards against work on slow workers while others are
// idle, also of a gang, and against work that waits for them.
func TestWarmWorkersComeFirst(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newColdHarness(t, 0)
		step := primrosespar.Step{Count: 2, Need: needAccelerators(8), Gang: gang}
		for _, o := range h.submitAndStart(job("a", "plain", step)) {
			require.GreaterOrEqual(t, h.workerIndex(o.Worker), 2, "gang %t", gang)
		}
		require.Len(t, h.submitAndStart(job("b", "plain", step)), 2, "gang %t", gang)
	}
}

// TestColdWorkersAreFilledInSteps guards against a place that is taken back and
// gets all waiting work at once, and against workers that stay limited once they
// are warm.
func TestColdWorkersAreFilledInSteps(t *testing.T) {
	h := newColdHarness(t, 2)
	starts := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 32, Need: needAccelerators(1), Estimate: time.Minute}))
	require.Len(t, starts, 2*8+2*2, "warm workers are filled at once")
	h.now = h.now.Add(500 * time.Millisecond)
	require.Empty(t, h.plan().Starts)
	h.scheduler.SetWorkers(h.workers, h.now)
	h.now = h.now.Add(500 * time.Millisecond)
	require.Len(t, h.plan().Starts, 2*2)
	h.now = h.now.Add(9 * time.Second)
	require.Len(t, h.plan().Starts, 2*4, "an announcement that is read again does not make them cold again")
}

// TestUrgentWorkDoesNotWaitForWarmWorkers guards against urgent work within a
// guarantee that waits until cold workers take its starts one by one, and a gang
// that waits until all of them are warm.
func TestUrgentWorkDoesNotWaitForWarmWorkers(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newColdHarness(t, 1)
		require.Len(t, h.submitAndStart(job("warm", "plain", primrosespar.Step{Count: 2, Need: needAccelerators(8), Gang: true})), 2)
		require.Len(t, h.submitAndStart(job("a", "urgent", primrosespar.Step{Count: 8, Need: needAccelerators(1), Gang: gang})), 8, "gang %t", gang)
	}
}
