package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// listedEnds is how many ends the worker of the tests lists at most.
const listedEnds = 500

// longList is a worker whose runs have all ended and that lists listedEnds of
// the ends that are not acknowledged.
type longList struct {
	h     *harness
	index int
	ends  []primrosespar.EndedRun
}

// newLongList returns a worker that has done all tasks of a job.
func newLongList(t *testing.T, tasks int) *longList {
	h := newHarness(t, 1, scheduler.WithInlineTasks(tasks))
	for i := range h.workers {
		h.workers[i].Capacity = primrosespar.Resources{Millicores: 10_000, MemoryMiB: 10_000}
	}
	h.scheduler.SetWorkers(h.workers, h.now)
	h.reportAllIdle()
	need := primrosespar.Resources{Millicores: 1, MemoryMiB: 1}
	starts := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: tasks, Need: need}))
	require.Len(t, starts, tasks)
	l := &longList{h: h, index: h.workerIndex(starts[0].Worker)}
	var active []primrosespar.ActiveRun
	for i, start := range starts {
		require.Equal(t, starts[0].Worker, start.Worker)
		require.True(t, h.scheduler.ShouldSend(start, h.now))
		active = append(active, primrosespar.ActiveRun{Run: start.Run, Percent: 1})
		l.ends = append(l.ends, primrosespar.EndedRun{Sequence: uint64(i + 1), Run: start.Run, End: primrosespar.EndDone})
	}
	h.now = h.now.Add(time.Second)
	h.report(l.index, active)
	return l
}

// report lets all workers report. The one with the ends drops those that are
// acknowledged before.
func (l *longList) report(acknowledged uint64) {
	for len(l.ends) > 0 && l.ends[0].Sequence <= acknowledged {
		l.ends = l.ends[1:]
	}
	l.h.now = l.h.now.Add(500 * time.Millisecond)
	for i, info := range l.h.workers {
		report := primrosespar.WorkerReport{StartedAt: info.StartedAt, Complete: true}
		if i == l.index {
			report.Ended = append(report.Ended, l.ends[:min(listedEnds, len(l.ends))]...)
			report.Complete = len(report.Ended) < listedEnds
		}
		l.h.scheduler.HandleReport(info.Worker, report, l.h.now, l.h.now.Add(leaseTime), l.h.now)
	}
}

// TestRunsBeyondTheListedEndsAreNotStartedAgain guards against a second run of a
// task that is done, because its end has no room in the report of its worker
// yet: after a takeover, a cut or a silent store many ends are not acknowledged.
func TestRunsBeyondTheListedEndsAreNotStartedAgain(t *testing.T) {
	for _, tasks := range []int{listedEnds - 1, listedEnds, listedEnds + 1, 2 * listedEnds, 10 * listedEnds} {
		for _, newHolder := range []bool{false, true} {
			for _, silence := range []time.Duration{0, 9 * time.Second} {
				t.Run(fmt.Sprintf("%d ends, new holder %t, store silent for %v", tasks, newHolder, silence), func(t *testing.T) {
					l := newLongList(t, tasks)
					if newHolder {
						l.h = l.h.succeed()
					}
					// Nothing that the holder decides is stored or sent.
					for silentUntil := l.h.now.Add(silence); l.h.now.Before(silentUntil); {
						l.report(0)
						require.Zero(t, len(l.h.scheduler.Plan(l.h.now).Starts), "tasks are started again")
					}
					var acknowledged uint64
					for range tasks/listedEnds + 2 {
						l.report(acknowledged)
						changes := l.h.plan()
						require.Zero(t, len(changes.Starts), "tasks are started again")
						acknowledged = changes.Acknowledged[l.h.workers[l.index].Worker].Sequence
					}
					state, _ := l.h.scheduler.State("a")
					require.Equal(t, primrosespar.JobCompleted, state)
					require.Empty(t, l.ends)
				})
			}
		}
	}
}
