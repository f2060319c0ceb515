package scheduler

import (
	"fmt"
	"time"
)

// crashWindow is how long a run may have been at work for the crash of its
// worker to be related to it.
const crashWindow = 20 * time.Second

// lostRun is a run that ended with the crash of its worker.
type lostRun struct {
	member *member
	// fresh is set if this holder sent the start order and the worker had not
	// listed the run yet, so that the start may have caused the crash.
	fresh bool
}

// lostRuns returns the runs that a crash of the worker ended, without those that
// had been at work for longer than crashWindow.
func (w *worker) lostRuns() []lostRun {
	var lostRuns []lostRun
	for _, m := range w.memberList {
		onWorker := m.phase == running || m.phase == restored || m.unanswered
		if !onWorker || m.seenAt.Sub(m.unit.placedAt) > crashWindow {
			continue
		}
		lostRuns = append(lostRuns, lostRun{member: m, fresh: m.phase != restored && m.seenAt.IsZero()})
	}
	return lostRuns
}

// plannedToEnd reports whether the end of the worker's lifetime was announced,
// so that it is no crash.
func (w *worker) plannedToEnd() bool { return w.info.Draining || w.cordoned || w.evacuating }

// recordCrash records that the worker's lifetime has ended with its runs, which
// are still attached to it.
func (s *Scheduler) recordCrash(w *worker) {
	if w.plannedToEnd() {
		return
	}
	lostRuns := w.lostRuns()
	fresh := 0
	for _, v := range lostRuns {
		if v.fresh {
			fresh++
		}
	}
	s.logEvent("worker_crashed", nil, w, 0, fmt.Sprintf("%d runs ended, %d of them had just started", len(lostRuns), fresh))
	for _, v := range lostRuns {
		detail := "had been at work"
		if v.fresh {
			detail = "had just started"
		}
		task := v.member.task()
		s.logEvent("run_crashed", v.member.unit.step.occurrence.job, w, v.member.run,
			fmt.Sprintf("task %d.%d.%d %s", task.Occurrence, task.Step, task.Index, detail))
	}
}
