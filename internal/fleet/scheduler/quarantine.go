package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/assessor"
)

// recordFailure records that a run of the job failed on the worker. Failures of
// a single job do not count against the worker, because that job may fail
// everywhere.
func (s *Scheduler) recordFailure(w *worker, j *job, now time.Time) {
	if w.failedJobs == nil {
		w.failedJobs = map[primrosespar.JobID]bool{}
	}
	w.failedJobs[j.submission.ID] = true
	if len(w.failedJobs) >= quarantineFailures {
		s.quarantine(w, now, "runs of several jobs failed or made no progress")
	}
}

// recordStall records that a run made no progress. If it had worked on its
// worker before, that worker is likely to be at fault; if not, it counts as a
// failure of the job there, once for each unit.
func (s *Scheduler) recordStall(u *unit, now time.Time) {
	proven := false
	for _, m := range u.members {
		if !m.stalled(now) {
			continue
		}
		u.avoidWorker(m.worker)
		s.observeOutcome(m.worker, assessor.Stalled, 1/float64(1+u.stalls), now)
		switch {
		case m.pace.Proven():
			proven = true
			s.quarantine(m.worker, now, "a run made no progress")
		case u.stalls == 0:
			s.recordFailure(m.worker, u.step.occurrence.job, now)
		}
	}
	if !proven {
		u.stalls++
	}
}

// clearFailures forgets the failures on the worker.
func (w *worker) clearFailures() { w.failedJobs = nil }

// quarantine keeps new work off the worker for a while, unless too many workers
// of its service are in quarantine already.
func (s *Scheduler) quarantine(w *worker, now time.Time, reason string) {
	total, quarantined := 0, 0
	for _, other := range s.announced {
		if other.info.Service != w.info.Service {
			continue
		}
		total++
		if now.Before(other.quarantinedUntil) {
			quarantined++
		}
	}
	if now.Before(w.quarantinedUntil) || float64(quarantined+1) > quarantineShare*float64(total) {
		return
	}
	w.quarantinedUntil = now.Add(quarantineTime)
	w.failedJobs = nil
	s.logEvent("worker_quarantined", nil, w, 0, reason)
}
