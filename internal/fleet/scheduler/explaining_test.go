package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// reason returns what the first step of the job waits for.
func (r *rig) reason(id primrosespar.JobID) string {
	r.plan()
	view, known := r.s.Explain(id, r.now)
	require.True(r.t, known)
	require.NotEmpty(r.t, view.Steps)
	return view.Steps[0].Reason
}

// TestExplainNamesWhatAJobWaitsFor guards against an explanation that sends an
// operator the wrong way.
func TestExplainNamesWhatAJobWaitsFor(t *testing.T) {
	r := newRig(t, 1)
	catalog := testCatalog()
	catalog.Queues = append(catalog.Queues, primrosespar.QueueTerms{
		Queue: "advised", Service: service, Priority: 0, Attempts: 2, Slack: 1.5, Target: time.Minute, Advised: true,
	})
	r.s.SetCatalog(catalog)
	r.lookAll()
	_, known := r.s.Explain("none", r.now)
	require.False(t, known)

	r.s.Submit(job("huge", "plain", primrosespar.Step{Count: 1, Need: gpus(9)}), r.now)
	require.Equal(t, "no worker of its service could hold one of its tasks, even if it were empty", r.reason("huge"))
	r.s.Submit(job("label", "plain", primrosespar.Step{Count: 1, Need: gpus(1), Label: "none"}), r.now)
	require.Equal(t, r.reason("huge"), r.reason("label"))
	r.s.Submit(job("ticket", "advised", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	require.Equal(t, "waits for the advice service: there is room for 4 tasks on workers without a ticket", r.reason("ticket"))
	for i := range perRack {
		r.s.Submit(job(fmt.Sprintf("p%d", i), "plain", primrosespar.Step{Count: 1, Need: gpus(8)}), r.now)
	}
	require.Equal(t, "held back: what is free is kept for guarantees", r.reason("p3"))
	for i := range perRack + 1 {
		r.s.Submit(job(fmt.Sprintf("u%d", i), "urgent", primrosespar.Step{Count: 1, Need: gpus(8), LongRunning: true}), r.now)
	}
	require.Contains(t, r.reason("u4"), "no room: 4 workers could hold a task, of which 0 do not answer and 0 are kept off")

	chain := job("chain", "plain", primrosespar.Step{Count: 1, Need: gpus(1)})
	chain.Steps = append(chain.Steps, primrosespar.Step{Count: 1, Need: gpus(1), After: []int{0}})
	r.s.Submit(chain, r.now)
	r.plan()
	view, _ := r.s.Explain("chain", r.now)
	require.Equal(t, "waits for the steps [0]", view.Steps[1].Reason)

	timed := job("timed", "plain", primrosespar.Step{Count: 1, Need: gpus(1)})
	timed.Repeat = primrosespar.Repeat{Count: 2, Start: r.now.Add(time.Hour), Every: time.Minute}
	r.s.Submit(timed, r.now)
	r.plan()
	view, _ = r.s.Explain("timed", r.now)
	require.Equal(t, r.now.Add(time.Hour), view.Due)
	require.Empty(t, view.Steps)
}

// TestViewCountsTheFleet guards against a status that hides workers which do
// not answer, or guarantees in use.
func TestViewCountsTheFleet(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Silent(r.members[0].Worker, r.now)
	r.s.Submit(job("u", "urgent", primrosespar.Step{Count: 1, Need: gpus(2)}), r.now)
	r.s.Submit(job("huge", "plain", primrosespar.Step{Count: 1, Need: gpus(9)}), r.now)
	r.plan()
	require.Equal(t, primrosespar.FleetState{
		Workers: perRack, Silent: 1, Accelerators: 8 * perRack, Free: 8*perRack - 2, Jobs: 2, Tasks: 1,
		Waiting:    map[primrosespar.Queue]int{"plain": 1},
		Guarantees: []primrosespar.FleetGuarantee{{Account: "nord", Reserved: 16, InUse: 2}},
	}, r.s.View(r.now))
}
