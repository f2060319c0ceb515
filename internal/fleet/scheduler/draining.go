package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// fullPercent is the progress of a long-running task that is fully running, and
// the throttle percentage of a run at full speed.
const fullPercent = 100

// SetCordoned sets the workers that are cordoned for maintenance, and those of
// them whose runs have to be stopped now. Cordoned workers get no new work
// except long-running tasks that fit nowhere else; cleared ones get none.
// Checkpointing tasks are moved off all cordoned workers, because they lose
// little.
func (s *Scheduler) SetCordoned(cordoned, cleared map[primrosespar.Worker]bool) {
	for name, w := range s.workers {
		if w.cordoned != cordoned[name] || w.cleared != cleared[name] {
			w.cordoned, w.cleared = cordoned[name], cleared[name]
			s.capacityVersion++
		}
		if w.cleared {
			s.clearWorker(w)
		}
	}
}

// Idle reports whether the worker has no runs.
func (s *Scheduler) Idle(name primrosespar.Worker) bool {
	w := s.workers[name]
	return w == nil || len(w.members) == 0
}

// HasDisruptionLimit reports whether the worker runs long-running tasks of a
// step that limits how many may be unavailable. Losing the worker would stop
// all of them at once.
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

// Loss returns the work in core-seconds that would be lost if all runs on the
// worker were stopped.
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

// clearWorker stops the runs on the worker, except those that must not be
// disrupted now.
func (s *Scheduler) clearWorker(w *worker) {
	for _, m := range w.snapshot() {
		if !m.unit.stopping && m.unit.phase == encoder.Placed && s.mayDisrupt(m.unit) {
			s.stopUnit(m.unit, primrosespar.LossMoved, "worker is cordoned for maintenance")
		}
	}
}

// leaving reports whether the worker is draining or cordoned.
func (w *worker) leaving() bool { return w.info.Draining || w.cordoned }

// acceptsWork reports whether the worker's draining and cordon state allows new
// work.
func (w *worker) acceptsWork(longRunning bool) bool {
	return !w.leaving() || longRunning && !w.info.Draining && !w.cleared
}

// leaving reports whether any worker of the unit is draining or cordoned.
func (u *unit) leaving() bool {
	for _, m := range u.members {
		if m.worker.leaving() {
			return true
		}
	}
	return false
}

// shouldMove reports whether the unit should be stopped before its worker goes
// away, because that loses little or no work.
func (s *Scheduler) shouldMove(u *unit) bool {
	if u.step.spec.LongRunning {
		// Stopping makes the task briefly unavailable, and a cordoned worker
		// may still be left in service.
		return u.onDrainingWorkers()
	}
	return u.step.spec.Checkpointing
}

// mayDisrupt reports whether the scheduler may stop the unit. A long-running
// step with a disruption limit needs enough other tasks available. A draining
// worker ends its tasks in any case.
func (s *Scheduler) mayDisrupt(u *unit) bool { return u.disruptable(0) }

// disruptable is mayDisrupt with the given number of further tasks of the step
// about to be stopped.
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
		if other != u && (other == nil || !other.available()) {
			unavailable += u.size
		}
	}
	return unavailable+u.size <= spec.MaxUnavailable
}

// onDrainingWorkers reports whether all members are on draining workers.
func (u *unit) onDrainingWorkers() bool {
	for _, m := range u.members {
		if !m.worker.info.Draining {
			return false
		}
	}
	return true
}

// available reports whether all members of a long-running unit are known to be
// fully running.
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
