package executor

import (
	"time"

	"primrosespar.example/primrosespar"
)

// SetCut cuts the commands and reports of a place off or restores them; its
// workers continue until their leases lapse.
func (e *Executor) SetCut(place primrosespar.Place, cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.cutOff[place] = cut
}

// SetFailAll makes the worker fail every task that it starts from now on.
func (e *Executor) SetFailAll(name primrosespar.Worker, fail bool) error {
	return e.updateWorker(name, func(w *worker, _ time.Time) { w.failAll = fail })
}

// SetLeaving marks the worker as leaving.
func (e *Executor) SetLeaving(name primrosespar.Worker, leaving bool) error {
	return e.updateWorker(name, func(w *worker, _ time.Time) { w.entry.Leaving = leaving })
}

// SetUnreachable cuts the worker off from commands or restores it; its tasks
// continue until its lease lapses.
func (e *Executor) SetUnreachable(name primrosespar.Worker, unreachable bool) error {
	return e.updateWorker(name, func(w *worker, now time.Time) {
		if unreachable && !w.unreachable && !w.killed {
			w.silentSince = now
		}
		w.unreachable = unreachable
		w.entry.Alive = w.entry.Alive || (!w.unreachable && !w.killed)
	})
}

// Kill ends the worker and all its tasks at once.
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

// Restore starts a killed worker again. Its tasks are gone; it keeps the
// highest token and attempts, because a real worker stores them.
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

// updateWorker changes one worker.
func (e *Executor) updateWorker(name primrosespar.Worker, change func(*worker, time.Time)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	w, ok := e.workers[name]
	if !ok {
		return primrosespar.Fail(primrosespar.CodeNotFound, "no worker %q", name)
	}
	change(w, e.clock.Now())
	e.markChanged(w)
	e.schedule(w)
	return nil
}
