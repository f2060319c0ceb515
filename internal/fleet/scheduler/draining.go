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
func (s *Scheduler) SetCordoned(cordoned, evacuate map[primrosespar.Worker]bool) {
	for name, w := range s.workers {
		if w.cordoned != cordoned[name] || w.evacuating != evacuate[name] {
			w.cordoned, w.evacuating = cordoned[name], evacuate[name]
			s.capacityVersion++
		}
		if w.evacuating {
			s.evacuate(w)
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
	for _, m := range w.memberList {
		spec := m.unit.step.spec
		if spec.LongRunning && spec.MaxUnavailable > 0 && !m.unit.step.occurrence.job.state.Ended() {
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
	for _, m := range w.memberList {
		total += m.unit.lostWork(now)
	}
	return total
}

// evacuate stops what runs on the worker, but for runs that must not be stopped
// now.
func (s *Scheduler) evacuate(w *worker) {
	for _, m := range w.snapshot() {
		if !m.unit.stopping && m.unit.phase == encoder.Placed && s.mayDisrupt(m.unit) {
			s.stopUnit(m.unit, "its worker is taken down")
		}
	}
}

// leaving reports whether the worker is about to go.
func (w *worker) leaving() bool { return w.info.Draining || w.cordoned }

// acceptsWork reports whether the worker takes new work, as far as its own end goes.
func (w *worker) acceptsWork(longRunning bool) bool {
	return !w.leaving() || longRunning && !w.info.Draining && !w.evacuating
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

// shouldMove reports whether the unit loses little or nothing if it is stopped
// before its worker goes.
func (s *Scheduler) shouldMove(u *unit) bool {
	if u.step.spec.LongRunning {
		// It is away for a moment; a closing worker may still be left alone.
		return u.onDrainingWorkers()
	}
	return u.step.spec.Checkpointing
}

// mayDisrupt reports whether the unit may be away by decision of the scheduler:
// a long-running step with a bound needs enough other tasks at work. A worker that
// drains ends its tasks anyway.
func (s *Scheduler) mayDisrupt(u *unit) bool { return u.disruptable(0) }

// disruptable is maySpare with more tasks of the step about to be away.
func (u *unit) disruptable(disrupted int) bool {
	spec := u.step.spec
	if !spec.LongRunning || spec.MaxUnavailable == 0 || u.step.occurrence.job.state.Ended() {
		return true
	}
	if len(u.members) > 0 && u.onDrainingWorkers() {
		return true
	}
	unavailable := disrupted
	for _, other := range u.step.units {
		if other != u && !other.available() {
			unavailable += other.size
		}
	}
	return unavailable+u.size <= spec.MaxUnavailable
}

// onDrainingWorkers reports whether all members are on workers that drain.
func (u *unit) onDrainingWorkers() bool {
	for _, m := range u.members {
		if !m.worker.info.Draining {
			return false
		}
	}
	return true
}

// available reports whether all members of a long-running unit are known to be at work.
func (u *unit) available() bool {
	if u.stopping || len(u.members) < u.size {
		return false
	}
	for _, m := range u.members {
		if m.phase != running || m.worker.unresponsive || m.percent < fullPercent {
			return false
		}
	}
	return true
}
