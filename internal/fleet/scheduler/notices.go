package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
)

// leaveDelay is how much longer than announced a draining worker may be expected
// to run.
const leaveDelay = time.Second

// observeNotice records when a worker that drains will leave.
func (s *Scheduler) observeNotice(w *worker, info primrosespar.WorkerInfo, now time.Time) {
	if !info.Draining || info.DrainRemaining == 0 {
		w.leavesAt = time.Time{}
		return
	}
	if w.leavesAt.IsZero() {
		s.logEvent("worker_leaving", nil, w, 0, "it still runs for at least "+info.DrainRemaining.String())
	}
	if w.info.DrainRemaining != info.DrainRemaining {
		w.leavesAt = now.Add(info.DrainRemaining)
	}
}

// endsTooLate reports whether a worker of the unit leaves before the run there
// can end at the pace that was observed. Its work is lost then in any case, so
// that an earlier stop saves the work until the worker leaves, that of the whole
// gang if it is one, and the task starts again earlier.
func (s *Scheduler) endsTooLate(u *unit, now time.Time) bool {
	if u.step.spec.LongRunning || u.size > 1 && u.gatheredRun != u.run {
		return false
	}
	for _, m := range u.members {
		if m.phase != running || m.worker.leavesAt.IsZero() {
			continue
		}
		startedAt := u.gatheredAt
		if m.resumed {
			startedAt = time.Time{}
		}
		left, known := m.pace.LeastRemaining(startedAt, now)
		if known && now.Add(left).After(m.worker.leavesAt.Add(leaveDelay)) {
			return true
		}
	}
	return false
}
