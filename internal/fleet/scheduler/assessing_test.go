package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// workersOf returns the workers of the start orders.
func workersOf(starts []scheduler.Order) map[primrosespar.Worker]bool {
	set := workerSet()
	for _, o := range starts {
		set[o.Worker] = true
	}
	return set
}

// TestGangAvoidsAWorkerThatLatelyFailed guards against a worker that fails what
// it gets and, idle again at once, gets a member of the next gang, whose work is
// lost with it. Load: gangs arrive while some workers fail all that they start.
func TestGangAvoidsAWorkerThatLatelyFailed(t *testing.T) {
	gang := primrosespar.Step{Count: 3, Need: needAccelerators(8), Gang: true}
	for name, harm := range map[string]func(h *harness, starts []scheduler.Order){
		"a run failed": func(h *harness, starts []scheduler.Order) {
			h.end(primrosespar.EndMemberFailed, "", starts[1:]...)
			h.end(primrosespar.EndFailed, "", starts[0])
		},
		"it crashed": func(h *harness, starts []scheduler.Order) {
			h.end(primrosespar.EndMemberFailed, "", starts[1:]...)
			h.crashUnderName(starts[0].Worker)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.reportAllIdle()
			starts := h.submitAndStart(job("a", "plain", gang))
			require.Len(t, starts, 3)
			h.now = h.now.Add(time.Second)
			harm(h, starts)
			h.scheduler.Cancel("a", h.now)
			next := h.submitAndStart(job("b", "plain", gang))
			require.Len(t, next, 3)
			require.NotContains(t, workersOf(next), starts[0].Worker)
			h.now = h.now.Add(time.Second)
			h.end(primrosespar.EndDone, "", next...)
			// It still counts as room where no other is left.
			whole := gang
			whole.Count = workersPerRack
			require.Len(t, h.submitAndStart(job("c", "plain", whole)), workersPerRack)
		})
	}
}

// TestTaskAvoidsASlowWorker guards against urgent tasks on a worker that takes
// several times as long as others. Load: some workers turn slow below a step of
// many tasks.
func TestTaskAvoidsASlowWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	slow := h.workers[0].Worker
	ended := 0
	for round := range 4 {
		starts := h.submitAndStart(job(string(rune('a'+round)), "plain", primrosespar.Step{Count: 4, Need: needAccelerators(8)}))
		for _, o := range starts {
			if o.Worker != slow {
				h.now = h.now.Add(50 * time.Millisecond)
				h.end(primrosespar.EndDone, "", o)
			}
		}
		h.now = h.now.Add(time.Second)
		for _, o := range starts {
			if o.Worker == slow {
				h.end(primrosespar.EndDone, "", o)
				ended++
			}
		}
	}
	require.NotZero(t, ended)
	urgent := h.submitAndStart(job("u", "urgent", primrosespar.Step{Count: 3, Need: needAccelerators(8)}))
	require.Len(t, urgent, 3)
	require.NotContains(t, workersOf(urgent), slow)
}

// TestWorkersAreNotAssessedUnlessAskedFor guards a deployment whose workers have
// no health of their own: it places work as before.
func TestWorkersAreNotAssessedUnlessAskedFor(t *testing.T) {
	gang := primrosespar.Step{Count: 3, Need: needAccelerators(8), Gang: true}
	h := newHarness(t, 1, scheduler.WithAssessment(false))
	h.reportAllIdle()
	starts := h.submitAndStart(job("a", "plain", gang))
	h.end(primrosespar.EndMemberFailed, "", starts[1:]...)
	h.end(primrosespar.EndFailed, "", starts[0])
	h.scheduler.Cancel("a", h.now)
	require.Equal(t, workersOf(starts), workersOf(h.submitAndStart(job("b", "plain", gang))))
}
