package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/assessor"
)

// paceShare is the weight of one run in the mean duration of its step.
const paceShare = 0.2

// observeOutcome records what the worker did with a task. Share is the part of
// it that the worker may account for.
func (s *Scheduler) observeOutcome(w *worker, outcome assessor.Outcome, share float64, now time.Time) {
	if !s.opts.AssessWorkers || !w.info.Address.IsValid() {
		return
	}
	s.assessor.Observe(w.info.Address, outcome, share, now)
	s.assess(w, now)
}

// assess sets whether other workers are preferred to this one.
func (s *Scheduler) assess(w *worker, now time.Time) {
	unsure := s.assessor.Assess(w.info.Address, now).Unsure()
	if unsure && !w.unsure {
		s.logEvent("worker_unsure", nil, w, 0, "other workers are preferred for a while")
	}
	w.unsure = unsure
}

// reassess assesses again the workers that were set aside, whose evidence fades.
func (s *Scheduler) reassess(now time.Time) {
	for _, w := range s.announced {
		if w.unsure {
			s.assess(w, now)
		}
	}
	s.assessor.Expire(now)
}

// assessEnd records the end of a member's run for its worker. The more runs of
// the unit have failed, the less its failures say of the worker.
func (s *Scheduler) assessEnd(m *member, end primrosespar.RunEnd, now time.Time) {
	switch end {
	case primrosespar.EndDone:
		s.observeOutcome(m.worker, assessor.Done, 1, now)
		s.observePace(m, now)
	case primrosespar.EndFailed:
		s.observeOutcome(m.worker, assessor.Failed, 1/float64(1+m.unit.failedRunCount()), now)
	default:
		// The other ends are not caused by the worker, or recorded elsewhere.
	}
}

// observePace compares the time that a run took with the mean of its step. A
// gang is as slow as its slowest member, so its runs say nothing of one worker.
func (s *Scheduler) observePace(m *member, now time.Time) {
	st := m.unit.step
	if !s.opts.AssessWorkers || m.unit.size > 1 || m.runningAt.IsZero() || m.resumed || st.spec.LongRunning {
		return
	}
	took := now.Sub(m.runningAt)
	if st.meanTime > 0 && took > 0 {
		s.assessor.ObservePace(m.worker.info.Address, took.Seconds()/st.meanTime.Seconds(), now)
		s.assess(m.worker, now)
		st.meanTime += time.Duration(paceShare * float64(took-st.meanTime))
		return
	}
	st.meanTime = took
}

// sureRoom returns the room on the candidates that are not set aside.
func sureRoom(candidates []candidate) int {
	n := 0
	for _, c := range candidates {
		if !c.worker.unsure {
			n += c.room
		}
	}
	return n
}

// unsureRank orders the candidates that are set aside behind the others.
func (c candidate) unsureRank() int {
	if c.worker.unsure {
		return 1
	}
	return 0
}
