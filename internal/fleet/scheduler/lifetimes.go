package scheduler

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// lifetimeMark identifies the lifetime of a worker in the stored form of a run.
// Two lifetimes of a worker have the same mark in one of 127 cases; a crash that
// is overlooked so is within the starts that the platform accepts.
type lifetimeMark byte

const (
	// unknownLifetime is the mark of runs that were stored without one.
	unknownLifetime lifetimeMark = 0
	// lifetimeMarks is the number of other marks. They are ASCII characters.
	lifetimeMarks = 127
	// hashFactor spreads start times over the marks (Fibonacci hashing).
	hashFactor = 0x9E3779B97F4A7C15
	hashShift  = 32
)

// markLifetime returns the mark of the lifetime that began at the given time.
func markLifetime(startedAt time.Time) lifetimeMark {
	if startedAt.IsZero() {
		return unknownLifetime
	}
	hash := uint64(startedAt.UnixMilli()) * hashFactor >> hashShift //nolint:gosec // only a hash
	return lifetimeMark(1 + hash%lifetimeMarks)
}

// restartedSince reports whether the worker's present lifetime is known to be
// later than the one that a run was placed in.
func (w *worker) restartedSince(placed lifetimeMark) bool {
	return placed != unknownLifetime && !w.startedAt.IsZero() && placed != markLifetime(w.startedAt)
}

// storedWorkers returns the stored form of the unit's members.
func (u *unit) storedWorkers() []primrosespar.Worker {
	if len(u.members) == 0 {
		return nil
	}
	workers, marks := make([]primrosespar.Worker, u.size, u.size+1), make([]byte, u.size)
	for _, m := range u.members {
		workers[m.index-u.firstIndex] = m.worker.info.Worker
		marks[m.index-u.firstIndex] = byte(m.lifetime)
	}
	return append(workers, primrosespar.Worker(marks))
}

// storedLifetime returns the mark of the lifetime that the member with the index
// was placed in.
func (u *unit) storedLifetime(stored encoder.Unit, index int) lifetimeMark {
	if len(stored.Workers) <= u.size || index >= len(stored.Workers[u.size]) {
		return unknownLifetime
	}
	return lifetimeMark(stored.Workers[u.size][index])
}

// observeEnd forgets the crash that was counted for a run, if any: a worker that
// lists its end has outlived it. The stop of a start that an earlier lifetime
// did not survive, and that was carried out again, says nothing.
func (s *Scheduler) observeEnd(u *unit, ended primrosespar.EndedRun) {
	if ended.End == primrosespar.EndStopped || len(u.crashes) == 0 {
		return
	}
	index := ended.Run.Task.Index - u.firstIndex
	if slices.ContainsFunc(u.crashes, func(c crash) bool { return c.index == index && c.run == ended.Run.Number }) {
		s.forgetCrash(lostRun{unit: u, index: index, run: ended.Run.Number})
	}
}
