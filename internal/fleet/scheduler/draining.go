package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// fullPercent is the progress of a long-running task that is at work.
const fullPercent = 100

// SetCordoned names the workers that are to be taken down and get no new work
// but long-running tasks that fit nowhere else, and those among them whose runs have
// to stop now. What can go on elsewhere without loss is moved off all of them.
func (s *Scheduler) SetCordoned(closing, vacate map[primrosespar.Worker]bool) {
	for name, w := range s.workers {
		if w.closing != closing[name] || w.vacating != vacate[name] {
			w.closing, w.vacating = closing[name], vacate[name]
			s.freed++
		}
		if w.vacating {
			s.vacate(w)
		}
	}
}

// Idle reports whether nothing runs on the worker.
func (s *Scheduler) Idle(name primrosespar.Worker) bool {
	w := s.workers[name]
	return w == nil || len(w.members) == 0
}

// HasDisruptionLimit reports whether the worker has long-running tasks of a step that bounds how
// many may be away. Its loss would end them all at once.
func (s *Scheduler) HasDisruptionLimit(name primrosespar.Worker) bool {
	w := s.workers[name]
	if w == nil {
		return false
	}
	for _, m := range w.list {
		spec := m.unit.step.spec
		if spec.LongRunning && spec.MaxUnavailable > 0 && !m.unit.step.occ.job.state.Ended() {
			return true
		}
	}
	return false
}

// Loss is the work in core-seconds that a stop of all runs on the worker would
// lose.
func (s *Scheduler) Loss(name primrosespar.Worker, now time.Time) float64 {
	w := s.workers[name]
	if w == nil {
		return 0
	}
	total := 0.0
	for _, m := range w.list {
		total += m.unit.loss(now)
	}
	return total
}

// vacate stops what runs on the worker, but for runs that must not be stopped
// now.
func (s *Scheduler) vacate(w *worker) {
	for _, m := range w.all() {
		if !m.unit.stopping && m.unit.phase == encoder.Placed && s.maySpare(m.unit) {
			s.stopUnit(m.unit, "its worker is taken down")
		}
	}
}

// leaving reports whether the worker is about to go.
func (w *worker) leaving() bool { return w.member.Draining || w.closing }

// open reports whether the worker takes new work, as far as its own end goes.
func (w *worker) open(lasting bool) bool {
	return !w.leaving() || lasting && !w.member.Draining && !w.vacating
}

// leaving reports whether a worker of the unit is about to go.
func (u *unit) leaving() bool {
	for _, m := range u.members {
		if m.worker.leaving() {
			return true
		}
	}
	return false
}

// mayMove reports whether the unit loses little or nothing if it is stopped
// before its worker goes.
func (s *Scheduler) mayMove(u *unit) bool {
	if u.step.spec.LongRunning {
		// It is away for a moment; a closing worker may still be left alone.
		return u.drained()
	}
	return u.step.spec.Checkpointing
}

// maySpare reports whether the unit may be away by decision of the scheduler:
// a long-running step with a bound needs enough other tasks at work. A worker that
// drains ends its tasks anyway.
func (s *Scheduler) maySpare(u *unit) bool { return u.spare(0) }

// spare is maySpare with more tasks of the step about to be away.
func (u *unit) spare(more int) bool {
	spec := u.step.spec
	if !spec.LongRunning || spec.MaxUnavailable == 0 || u.step.occ.job.state.Ended() {
		return true
	}
	if len(u.members) > 0 && u.drained() {
		return true
	}
	away := more
	for _, other := range u.step.units {
		if other != u && !other.atWork() {
			away += other.size
		}
	}
	return away+u.size <= spec.MaxUnavailable
}

// drained reports whether all members are on workers that drain.
func (u *unit) drained() bool {
	for _, m := range u.members {
		if !m.worker.member.Draining {
			return false
		}
	}
	return true
}

// atWork reports whether all members of a long-running unit are known to be at work.
func (u *unit) atWork() bool {
	if u.stopping || len(u.members) < u.size {
		return false
	}
	for _, m := range u.members {
		if m.phase != running || m.worker.suspect || m.percent < fullPercent {
			return false
		}
	}
	return true
}
