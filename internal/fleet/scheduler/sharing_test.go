package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

const tailTarget = 100 * time.Millisecond

// sharedRig is a rig of one worker with a task that serves users and one that
// fills the rest.
type sharedRig struct {
	*rig
	serves, fills scheduler.Order
	// done is the progress of the filling task.
	done float64
}

// newSharedRig starts both tasks.
func newSharedRig(t *testing.T) *sharedRig {
	r := &sharedRig{rig: newRig(t, 1)}
	r.members = r.members[:1]
	r.s.SetWorkers(r.members, r.now)
	r.look(0, nil)
	r.s.Submit(job("serves", "plain", primrosespar.Step{Count: 1, Need: gpus(1), LongRunning: true, Image: "a", Target: tailTarget}), r.now)
	starts := r.begin(job("fills", "plain", primrosespar.Step{Count: 1, Need: gpus(1), Filler: true, Image: "b"}))
	require.Len(t, starts, 2)
	r.serves, r.fills = starts[0], starts[1]
	if r.serves.Run.Task.Job != "serves" {
		r.serves, r.fills = r.fills, r.serves
	}
	require.True(t, r.s.Shared(r.serves.Worker))
	return r
}

// step lets half a second pass, reports the tail and returns the orders on pace.
func (r *sharedRig) step(tail time.Duration) []scheduler.Throttle {
	r.now = r.now.Add(500 * time.Millisecond)
	active := listed(r.serves, 100)
	active[0].Tail = tail
	r.look(0, append(active, listed(r.fills, r.done)...))
	changes := r.plan()
	require.Empty(r.t, changes.Stops)
	return changes.Throttles
}

// answer lets the orders succeed.
func (r *sharedRig) answer(paces []scheduler.Throttle) {
	for _, p := range paces {
		r.s.Throttled(p, primrosespar.CodeOK, r.now)
	}
}

// TestFillingTaskIsHeldUp guards against a task that serves users over its
// target because of one that fills its worker.
func TestFillingTaskIsHeldUp(t *testing.T) {
	r := newSharedRig(t)
	require.Empty(t, r.step(tailTarget/2))
	paces := r.step(tailTarget + 1)
	require.Equal(t, []scheduler.Throttle{{Worker: r.fills.Worker, Run: r.fills.Run, Percent: 0}}, paces)
	// Without an answer it is repeated.
	r.s.Throttled(paces[0], primrosespar.CodeWorkerLost, r.now)
	r.now = r.now.Add(200 * time.Millisecond)
	again := r.plan().Throttles
	require.Equal(t, paces, again)
	r.answer(again)
	// An earlier order may be carried out late and let it go.
	require.Empty(t, r.step(2*tailTarget))
	require.Equal(t, paces, r.step(2*tailTarget))
}

// TestFillingTaskComesBackInSteps guards against a filling task that is held up
// for good, or let go at once so that the tail swings.
func TestFillingTaskComesBackInSteps(t *testing.T) {
	r := newSharedRig(t)
	r.answer(r.step(2 * tailTarget))
	var percents []int
	for range 60 {
		r.done++
		paces := r.step(tailTarget / 2)
		r.answer(paces)
		for _, p := range paces {
			percents = append(percents, p.Percent)
		}
	}
	require.Equal(t, []int{25, 50, 75, 100}, percents)
}

// TestHeldTaskIsNotTakenForStanding guards against a quarantine of a worker
// whose run makes no progress because it is held up.
func TestHeldTaskIsNotTakenForStanding(t *testing.T) {
	r := newSharedRig(t)
	for range 20 {
		r.answer(r.step(2 * tailTarget))
	}
}

// TestServingTasksKeepApartFromFillingOnes guards against tasks that disturb
// each other though there is room elsewhere.
func TestServingTasksKeepApartFromFillingOnes(t *testing.T) {
	r := newRig(t, 1)
	r.lookAll()
	r.s.Submit(job("serves", "plain", primrosespar.Step{Count: 4, Need: gpus(1), LongRunning: true, Target: tailTarget}), r.now)
	r.s.Submit(job("fills", "plain", primrosespar.Step{Count: 4, Need: gpus(1), Filler: true}), r.now)
	starts := r.plan().Starts
	require.Len(t, starts, 8)
	for _, m := range r.members {
		require.False(t, r.s.Shared(m.Worker))
	}
}
