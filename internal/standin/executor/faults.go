package executor

import (
	"time"

	"primrosespar.example/primrosespar"
)

// SetCut cuts a place off or ends the cut. While it is cut off, Do and Changes
// fail for it; its workers continue until their leases expire.
func (e *Executor) SetCut(place primrosespar.Place, cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.cutOff[place] = cut
}

// SetFailAll sets whether the worker fails every task that it starts from now
// on.
func (e *Executor) SetFailAll(name primrosespar.Worker, fail bool) error {
	return e.updateWorker(name, func(w *worker, _ time.Time) { w.failAll = fail })
}

// SetLeaving sets whether the worker is reported as leaving.
func (e *Executor) SetLeaving(name primrosespar.Worker, leaving bool) error {
	return e.updateWorker(name, func(w *worker, _ time.Time) { w.entry.Leaving = leaving })
}

// SetUnreachable sets whether commands fail to reach the worker. The tasks of
// an unreachable worker continue until its lease expires.
func (e *Executor) SetUnreachable(name primrosespar.Worker, unreachable bool) error {
	return e.updateWorker(name, func(w *worker, now time.Time) {
		if unreachable && !w.unreachable && !w.killed {
			w.silentSince = now
		}
		w.unreachable = unreachable
		w.entry.Alive = w.entry.Alive || (!w.unreachable && !w.killed)
	})
}

// Kill stops the worker and all its tasks immediately.
func (e *Executor) Kill(name primrosespar.Worker) error {
	return e.updateWorker(name, func(w *worker, now time.Time) {
		if w.killed {
			return
		}
		if !w.unreachable {
			w.silentSince = now
		}
		w.killed = true
		w.leased = false
		w.endAllTasks(EventLost, now)
	})
}

// Restore restarts a killed worker without its tasks. The worker keeps the
// highest token and attempts that it has seen, because a real worker stores
// them durably.
func (e *Executor) Restore(name primrosespar.Worker) error {
	return e.updateWorker(name, func(w *worker, _ time.Time) {
		if !w.killed {
			return
		}
		w.killed = false
		clear(w.tasks)
		w.entry.Alive = !w.unreachable
	})
}

// updateWorker applies the change to the worker at the current time.
func (e *Executor) updateWorker(name primrosespar.Worker, change func(*worker, time.Time)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	w, ok := e.workers[name]
	if !ok {
		return primrosespar.Fail(primrosespar.CodeNotFound, "worker %q does not exist", name)
	}
	change(w, e.clock.Now())
	e.markChanged(w)
	e.schedule(w)
	return nil
}
