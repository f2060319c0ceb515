package executor

import (
	"time"

	"primrosespar.example/primrosespar"
)

// SetCut cuts the commands and reports of a place off or restores them; its
// workers continue until their leases lapse.
func (h *Executor) SetCut(place primrosespar.Place, cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	h.cut[place] = cut
}

// SetFailAll makes the worker fail every task that it starts from now on.
func (h *Executor) SetFailAll(name primrosespar.Worker, fail bool) error {
	return h.with(name, func(w *worker, _ time.Time) { w.failAll = fail })
}

// SetLeaving marks the worker as leaving.
func (h *Executor) SetLeaving(name primrosespar.Worker, leaving bool) error {
	return h.with(name, func(w *worker, _ time.Time) { w.entry.Leaving = leaving })
}

// SetUnreachable cuts the worker off from commands or restores it; its tasks
// continue until its lease lapses.
func (h *Executor) SetUnreachable(name primrosespar.Worker, unreachable bool) error {
	return h.with(name, func(w *worker, now time.Time) {
		if unreachable && !w.unreachable && !w.killed {
			w.silentSince = now
		}
		w.unreachable = unreachable
		w.entry.Alive = w.entry.Alive || (!w.unreachable && !w.killed)
	})
}

// Kill ends the worker and all its tasks at once.
func (h *Executor) Kill(name primrosespar.Worker) error {
	return h.with(name, func(w *worker, now time.Time) {
		if w.killed {
			return
		}
		if !w.unreachable {
			w.silentSince = now
		}
		w.killed = true
		w.leased = false
		w.endAll(EventLost, now)
	})
}

// Restore starts a killed worker again. Its tasks are gone; it keeps the
// highest token and attempts, because a real worker stores them.
func (h *Executor) Restore(name primrosespar.Worker) error {
	return h.with(name, func(w *worker, _ time.Time) {
		if !w.killed {
			return
		}
		w.killed = false
		clear(w.tasks)
		w.entry.Alive = !w.unreachable
	})
}

// with changes one worker.
func (h *Executor) with(name primrosespar.Worker, change func(*worker, time.Time)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	w, ok := h.workers[name]
	if !ok {
		return primrosespar.Fail(primrosespar.CodeNotFound, "no worker %q", name)
	}
	change(w, h.clock.Now())
	h.touch(w)
	h.schedule(w)
	return nil
}
