package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// listed returns a listed run.
func listed(o scheduler.Order, percent float64) []primrosespar.ActiveRun {
	return []primrosespar.ActiveRun{{Run: o.Run, Percent: percent}}
}

// TestStandingRunIsMoved guards against a run that holds its capacity for good
// without progress.
func TestStandingRunIsMoved(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	start := r.begin(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(1)}))[0]
	for _, percent := range []float64{10, 10} {
		r.now = r.now.Add(2 * time.Second)
		r.look(r.index(start.Worker), listed(start, percent))
	}
	r.now = r.now.Add(700 * time.Millisecond)
	require.Len(t, r.plan().Stops, 1)
}

// TestUnseenRunIsNotTakenForStanding guards against a stop of a run that works:
// a look that is lost with its answer is noticed only after 2.9 s, and the run
// may have made progress meanwhile.
func TestUnseenRunIsNotTakenForStanding(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	start := r.begin(job("a", "plain", primrosespar.Step{Count: 1, Need: gpus(1)}))[0]
	r.now = r.now.Add(2 * time.Second)
	r.look(r.index(start.Worker), listed(start, 10))
	r.now = r.now.Add(2800 * time.Millisecond)
	require.Empty(t, r.plan().Stops)
	r.look(r.index(start.Worker), listed(start, 40))
	require.Empty(t, r.plan().Stops)
}

// TestGangThatGathersLateIsNotTakenForStanding guards against a stop of a gang
// that could not work before the start of its last member was answered.
func TestGangThatGathersLateIsNotTakenForStanding(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: gpus(8), Gang: true}), r.now)
	starts := r.plan().Starts
	require.Len(t, starts, 2)
	r.s.Started(starts[0], primrosespar.CodeOK, r.now)
	r.s.Started(starts[1], primrosespar.CodeWorkerLost, r.now)
	for range 2 {
		r.now = r.now.Add(1200 * time.Millisecond)
		r.look(r.index(starts[0].Worker), listed(starts[0], 0))
	}
	require.Len(t, r.plan().Starts, 1)
	r.s.Started(starts[1], primrosespar.CodeOK, r.now)
	r.now = r.now.Add(200 * time.Millisecond)
	r.look(r.index(starts[0].Worker), listed(starts[0], 0))
	require.Empty(t, r.plan().Stops)
}

// TestGangThatDoesNotGatherIsStopped guards against members that wait for the
// others until their worker gives them up, which takes room for nothing.
func TestGangThatDoesNotGatherIsStopped(t *testing.T) {
	r := newRig(t, 1, scheduler.WithGangTimeout(3*time.Second))
	r.lookAll()
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: gpus(8), Gang: true}), r.now)
	starts := r.plan().Starts
	require.Len(t, starts, 2)
	for _, o := range starts {
		require.True(t, r.s.ShouldSend(o, r.now))
	}
	r.s.Started(starts[0], primrosespar.CodeOK, r.now)
	r.s.Started(starts[1], primrosespar.CodeWorkerLost, r.now)
	r.now = r.now.Add(1500 * time.Millisecond)
	require.Empty(t, r.plan().Stops)
	r.now = r.now.Add(500 * time.Millisecond)
	require.Len(t, r.plan().Stops, 1, "the other has a start that is out")
	r.s.Started(starts[1], primrosespar.CodeWorkerLost, r.now)
	r.now = r.now.Add(500 * time.Millisecond)
	require.Len(t, r.plan().Stops, 1)
}
