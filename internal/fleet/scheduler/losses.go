package scheduler

import (
	"fmt"
	"time"

	"primrosespar.example/primrosespar"
)

// minLoggedLoss is the loss in core-seconds below which none is logged.
const minLoggedLoss = 1

// clearProgress is the progress in percent from which on a run has not just
// begun.
const clearProgress = 10

// recordLoss accounts for the work that is lost by the end of a member's run.
// It is called before the end is applied to the unit.
func (s *Scheduler) recordLoss(m *member, end primrosespar.RunEnd, now time.Time) {
	u := m.unit
	if m.runningAt.IsZero() || u.step.spec.LongRunning {
		return
	}
	from, until := m.runningAt, now
	if end == "" || end == primrosespar.EndLeaseExpired {
		until = m.seenAt
	}
	if u.size > 1 && u.gatheredRun == m.run && u.restoredRun != m.run {
		s.addLoss(m, primrosespar.LossGangWaiting, u.gatheredAt.Sub(from))
		from = u.gatheredAt
	}
	if end == primrosespar.EndDone {
		return
	}
	if u.savedAt.After(from) {
		from = u.savedAt
	}
	s.addLoss(m, m.lossCause(end), until.Sub(from))
}

// workedTime returns for how long the unit's run has worked. A run that an earlier
// holder started would otherwise seem to have just begun, and be the first to be
// stopped for others.
func (u *unit) workedTime(now time.Time) time.Duration {
	worked := now.Sub(u.placedAt)
	if u.run != u.restoredRun {
		return worked
	}
	return max(worked, u.estimateWorked(now))
}

// estimateWorked estimates for how long a run of an earlier holder has worked.
// Most jobs start soon after their arrival, so that the first run of a first step
// which has made progress is about as old as the job. That of other runs is
// estimated from their progress and the estimate of the step, which may be wrong.
func (u *unit) estimateWorked(now time.Time) time.Duration {
	o := u.step.occurrence
	age := now.Sub(o.job.arrivedMonotonic)
	progress := fullPercent / 2.0
	for _, m := range u.members {
		if m.phase == running {
			progress = m.percent
			break
		}
	}
	if u.run == 1 && len(u.step.spec.After) == 0 && o.job.submission.Repeat.Count == 0 && progress >= clearProgress {
		return age
	}
	return min(time.Duration(progress/fullPercent*float64(u.step.spec.Estimate)), age)
}

// addLoss counts the lost work of a member's run.
func (s *Scheduler) addLoss(m *member, cause primrosespar.LossCause, worked time.Duration) {
	lost := s.opts.Accountant.Add(cause, m.unit.step.spec.Need, worked)
	if lost >= minLoggedLoss {
		s.logEvent("work_lost", m.unit.step.occurrence.job, m.worker, m.run, fmt.Sprintf("%s: %.1f core-seconds", cause, lost))
	}
}

// lossCause returns why the work of the member's run is lost.
func (m *member) lossCause(end primrosespar.RunEnd) primrosespar.LossCause {
	switch end {
	case primrosespar.EndFailed:
		return primrosespar.LossFailed
	case primrosespar.EndGangTimeout:
		return primrosespar.LossGangGather
	case primrosespar.EndMemberFailed, primrosespar.EndStopped:
		if m.unit.stopping {
			return m.unit.stopCause
		}
		if end == primrosespar.EndMemberFailed {
			return primrosespar.LossGangPartner
		}
		return primrosespar.LossOther
	default:
		return m.worker.lossCause()
	}
}

// lossCause returns why the work on the worker is lost that went with it.
func (w *worker) lossCause() primrosespar.LossCause {
	switch {
	case w.plannedToEnd():
		return primrosespar.LossWorkerLeft
	case w.announced && !w.polled && !w.restarted:
		return primrosespar.LossLeaseExpired
	default:
		return primrosespar.LossWorkerCrashed
	}
}
