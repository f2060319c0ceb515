package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// waitReason plans and returns what the first step of the job waits for.
func (h *harness) waitReason(id primrosespar.JobID) string {
	h.plan()
	view, known := h.scheduler.Explain(id, h.now)
	require.True(h.t, known)
	require.NotEmpty(h.t, view.Steps)
	return view.Steps[0].Reason
}

// TestExplainNamesWaitReason guards against an explanation that misleads an
// operator.
func TestExplainNamesWaitReason(t *testing.T) {
	h := newHarness(t, 1)
	catalog := testCatalog()
	catalog.Queues = append(catalog.Queues, primrosespar.QueueTerms{
		Queue: "advised", Service: service, Priority: 0, Attempts: 2, Slack: 1.5, Target: time.Minute, Advised: true,
	})
	h.scheduler.SetCatalog(catalog)
	h.reportAllIdle()
	_, known := h.scheduler.Explain("none", h.now)
	require.False(t, known)

	h.scheduler.Submit(job("huge", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(9)}), h.now)
	require.Equal(t, "no worker of its service could run one of its tasks, even when empty", h.waitReason("huge"))
	h.scheduler.Submit(job("label", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1), Label: "none"}), h.now)
	require.Equal(t, h.waitReason("huge"), h.waitReason("label"))
	h.scheduler.Submit(job("ticket", "advised", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	require.Equal(t, "waiting for the advice service: 4 tasks fit on workers without a ticket", h.waitReason("ticket"))
	for i := range workersPerRack {
		h.scheduler.Submit(job(fmt.Sprintf("p%d", i), "plain", primrosespar.Step{Count: 1, Need: needAccelerators(8)}), h.now)
	}
	require.Equal(t, "held back: free accelerators are reserved for guarantees", h.waitReason("p3"))
	for i := range workersPerRack + 1 {
		h.scheduler.Submit(job(fmt.Sprintf("u%d", i), "urgent", primrosespar.Step{Count: 1, Need: needAccelerators(8), LongRunning: true}), h.now)
	}
	require.Contains(t, h.waitReason("u4"), "not enough room: 4 workers could run a task, of which 0 are not responding and 0 are ineligible")

	chain := job("chain", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1)})
	chain.Steps = append(chain.Steps, primrosespar.Step{Count: 1, Need: needAccelerators(1), After: []int{0}})
	h.scheduler.Submit(chain, h.now)
	h.plan()
	view, _ := h.scheduler.Explain("chain", h.now)
	require.Equal(t, "waiting for steps [0] to finish", view.Steps[1].Reason)

	timed := job("timed", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(1)})
	timed.Repeat = primrosespar.Repeat{Count: 2, Start: h.now.Add(time.Hour), Every: time.Minute}
	h.scheduler.Submit(timed, h.now)
	h.plan()
	view, _ = h.scheduler.Explain("timed", h.now)
	require.Equal(t, h.now.Add(time.Hour), view.Due)
	require.Empty(t, view.Steps)
}

// TestViewCountsWorkersAndGuarantees guards against a summary that omits
// unresponsive workers or guarantees in use.
func TestViewCountsWorkersAndGuarantees(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	h.scheduler.MarkUnresponsive(h.workers[0].Worker, h.now)
	h.scheduler.Submit(job("u", "urgent", primrosespar.Step{Count: 1, Need: needAccelerators(2)}), h.now)
	h.scheduler.Submit(job("huge", "plain", primrosespar.Step{Count: 1, Need: needAccelerators(9)}), h.now)
	h.acceptStarts(h.plan().Starts)
	require.Equal(t, primrosespar.FleetState{
		Workers: workersPerRack, Silent: 1, Accelerators: 8 * workersPerRack, Free: 8*workersPerRack - 2, Jobs: 2, Tasks: 1,
		Waiting:    map[primrosespar.Queue]int{"plain": 1},
		Guarantees: []primrosespar.FleetGuarantee{{Account: "nord", Reserved: 16, InUse: 2}},
	}, h.scheduler.View(h.now))
}

// TestExplainNamesPlaceInOrder guards against an operator who cannot see why
// other work comes first.
func TestExplainNamesPlaceInOrder(t *testing.T) {
	h := newHarness(t, 1)
	h.reportAllIdle()
	for i := range workersPerRack {
		h.submitAndStart(job(fmt.Sprintf("u%d", i), "urgent", primrosespar.Step{Count: 1, Need: needAccelerators(8)}))
	}
	order := func(id primrosespar.JobID) string {
		h.plan()
		view, _ := h.scheduler.Explain(id, h.now)
		return view.Steps[0].Order
	}
	step := primrosespar.Step{Count: 1, Need: needAccelerators(8)}
	h.scheduler.Submit(job("first", "plain", step), h.now)
	h.now = h.now.Add(time.Second)
	h.scheduler.Submit(job("second", "plain", step), h.now)
	require.Empty(t, order("u0"))
	require.Equal(t, "1 of 2: in time if it starts within 10s", order("first"))
	require.Equal(t, "2 of 2: in time if it starts within 11s", order("second"))
	h.now = h.now.Add(15 * time.Second)
	require.Contains(t, order("first"), "late, of value if it starts within 27s")
	h.now = h.now.Add(time.Minute)
	require.Contains(t, order("first"), "too late to have any value")
}
