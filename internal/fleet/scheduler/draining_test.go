package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// lasting submits a long-running job of one task a worker and lets it work.
func (r *rig) lasting(queue primrosespar.Queue, count, mostAway int) []scheduler.Order {
	starts := r.begin(job("last", queue, primrosespar.Step{Count: count, Need: gpus(8), LongRunning: true, MaxUnavailable: mostAway}))
	require.Len(r.t, starts, count)
	r.atWork(starts)
	return starts
}

// atWork lets the workers of the runs list them as working.
func (r *rig) atWork(starts []scheduler.Order) {
	for _, o := range starts {
		r.look(r.index(o.Worker), listed(o, 100))
	}
}

// closing returns the set of workers.
func closing(workers ...primrosespar.Worker) map[primrosespar.Worker]bool {
	set := map[primrosespar.Worker]bool{}
	for _, w := range workers {
		set[w] = true
	}
	return set
}

// TestClosingWorkerGetsNoWork guards against work that is started on a machine
// just before it is taken down.
func TestClosingWorkerGetsNoWork(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	names := closing()
	for _, m := range r.members[1:] {
		names[m.Worker] = true
	}
	r.s.SetCordoned(names, nil)
	r.s.Submit(job("a", "plain", primrosespar.Step{Count: 2, Need: gpus(8)}), r.now)
	starts := r.plan().Starts
	require.Len(t, starts, 1)
	require.Equal(t, r.members[0].Worker, starts[0].Worker)
	require.False(t, r.s.Idle(starts[0].Worker))
	r.s.SetCordoned(nil, nil)
	r.now = r.now.Add(time.Second)
	require.Len(t, r.plan().Starts, 1)
}

// TestLastingTasksMoveOneAfterTheOther guards against a step that loses more
// tasks at once than it allows.
func TestLastingTasksMoveOneAfterTheOther(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	starts := r.lasting("plain", 3, 1)
	leaving := closing(starts[0].Worker, starts[1].Worker)
	r.s.SetCordoned(leaving, nil)
	r.now = r.now.Add(time.Second)
	require.Empty(t, r.plan().Stops, "they may go on until their turn comes")
	r.s.SetCordoned(leaving, leaving)
	stops := r.plan().Stops
	require.Len(t, stops, 1)
	moved := 0
	if stops[0].Worker == starts[1].Worker {
		moved = 1
	}
	require.True(t, r.s.HasDisruptionLimit(starts[1-moved].Worker))
	r.s.SetCordoned(leaving, leaving)
	r.s.Stopped(stops[0], primrosespar.CodeOK, r.now)
	r.now = r.now.Add(time.Second)
	r.look(r.index(stops[0].Worker), nil, primrosespar.EndedRun{Sequence: 1, Run: stops[0].Run, End: primrosespar.EndStopped})
	again := r.plan()
	require.Empty(t, again.Stops)
	r.now = r.now.Add(200 * time.Millisecond)
	next := append(again.Starts, r.plan().Starts...)
	require.Len(t, next, 1)
	r.started(next)
	r.now = r.now.Add(time.Second)
	r.s.SetCordoned(leaving, leaving)
	require.Empty(t, r.plan().Stops, "the moved task is not at work yet")
	r.atWork(next)
	r.atWork([]scheduler.Order{starts[1-moved], starts[2]})
	r.s.SetCordoned(leaving, leaving)
	r.now = r.now.Add(time.Second)
	stops = r.plan().Stops
	require.Len(t, stops, 1)
	require.Equal(t, starts[1-moved].Worker, stops[0].Worker)
}

// TestGuaranteeIsReclaimedFromLastingWork guards against a guarantee that is
// not given because long-running work never ends.
func TestGuaranteeIsReclaimedFromLastingWork(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	starts := r.lasting("plain", perRack-1, 1)
	r.now = r.now.Add(time.Second)
	r.atWork(starts)
	r.s.Submit(job("u", "urgent", primrosespar.Step{Count: 2, Need: gpus(8)}), r.now)
	changes := r.plan()
	require.Len(t, changes.Starts, 1, "one worker is free")
	require.Len(t, changes.Stops, 1)
	r.now = r.now.Add(200 * time.Millisecond)
	require.Empty(t, r.plan().Stops, "one task may be away, no more")
}

// TestLastingTaskTakesKeptRoom guards against a long-running task that never runs
// because a gang waits for the rack that has room.
func TestLastingTaskTakesKeptRoom(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.lasting("plain", 3, 0)
	r.s.Submit(job("gang", "plain", primrosespar.Step{Count: 2, Need: gpus(8), Gang: true, OneRack: true}), r.now)
	r.s.Submit(job("more", "plain", primrosespar.Step{Count: 1, Need: gpus(1), LongRunning: true}), r.now)
	var starts []scheduler.Order
	for range 10 {
		r.now = r.now.Add(time.Second)
		starts = append(starts, r.plan().Starts...)
	}
	require.Len(t, starts, 1)
	require.Equal(t, primrosespar.JobID("more"), starts[0].Run.Task.Job)
}
