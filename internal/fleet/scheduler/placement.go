package scheduler

import (
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// maxRackReservations bounds the blocked gangs that workers are kept for.
const maxRackReservations = 2

// rackScoreRange keeps the free accelerators of a worker above those of
// its rack in a score.
const rackScoreRange = 4096

// eligible reports whether the worker may get the unit now.
func (w *worker) eligible(u *unit, service primrosespar.Service, now time.Time) bool {
	return w.eligibleWithoutAdvice(u, service, now) && (!u.step.advised || u.step.hasValidTicket(w, now))
}

// eligibleWithoutAdvice reports whether the worker may get the unit but for advice.
func (w *worker) eligibleWithoutAdvice(u *unit, service primrosespar.Service, now time.Time) bool {
	spec := u.step.spec
	if !w.announced || !w.polled || w.unresponsive || !w.acceptsWork(spec.LongRunning) || w.info.Service != service {
		return false
	}
	if now.Before(w.quarantinedUntil) || u.avoid[w.info.Worker] {
		return false
	}
	return u.step.hasRequiredLabel(w)
}

// room returns how many members of the unit fit the worker.
func (w *worker) room(u *unit, free primrosespar.Resources) int {
	return w.roomUpTo(u, free, u.size)
}

// roomUpTo returns how many tasks like those of the unit fit the worker, at
// most limit.
func (w *worker) roomUpTo(u *unit, free primrosespar.Resources, limit int) int {
	spec := u.step.spec
	n := free.Fits(spec.Occupies(), limit)
	if spec.PerWorker > 0 {
		n = min(n, spec.PerWorker-w.tasksOf(u.step))
	}
	return max(n, 0)
}

// tasksOf returns the members of the step at the worker.
func (w *worker) tasksOf(st *step) int {
	n := 0
	for _, m := range w.memberList {
		if m.unit.step == st {
			n++
		}
	}
	return n
}

// candidate is a worker with room for members of a unit.
type candidate struct {
	worker *worker
	room   int
	free   primrosespar.Resources
}

// candidates returns the workers with room for the unit; those kept for
// another unit are left out.
func (s *Scheduler) candidates(u *unit, workers []*worker, service primrosespar.Service, now time.Time) []candidate {
	return s.candidatesUpTo(u, workers, service, u.size, now)
}

// candidatesUpTo returns the workers with room for up to limit tasks like those
// of the unit.
func (s *Scheduler) candidatesUpTo(u *unit, workers []*worker, service primrosespar.Service, limit int, now time.Time) []candidate {
	var candidates []candidate
	for _, w := range workers {
		// A long-running task would wait for ever for room that is kept for a gang.
		reserved := w.reservedFor != nil && w.reservedFor != u && !u.step.spec.LongRunning
		if reserved || !w.eligible(u, service, now) {
			continue
		}
		free := w.freeFor(u)
		if n := w.roomUpTo(u, free, limit); n > 0 {
			candidates = append(candidates, candidate{w, n, free})
		}
	}
	return candidates
}

// findWorkers returns a worker for each member of the unit, or nil if there is no room
// now.
func (s *Scheduler) findWorkers(u *unit, r *rankedStep, now time.Time) []*worker {
	spec := u.step.spec
	waited := now.Sub(u.step.readySince)
	if spec.DataRack != "" && waited < dataRackWait {
		r.singleTaskWorkers = nil
		return s.findWorkersInRack(u, r, now, func(k *rack) bool { return k.key.rack == spec.DataRack })
	}
	if u.size > 1 && spec.OneRack {
		if found := s.findWorkersInRack(u, r, now, nil); found != nil {
			return found
		}
		if !s.maySpread(u, r, waited, now) {
			return nil
		}
	}
	return s.findWorkersAnywhere(u, r, now)
}

// maySpread reports whether a gang for one rack may run across racks, where it
// is slow: no rack could hold it, or it has waited long.
func (s *Scheduler) maySpread(u *unit, r *rankedStep, waited time.Duration, now time.Time) bool {
	if !s.fitsEmptyRack(u, r.terms.Service) {
		return true
	}
	if r.terms.Priority == 0 {
		return waited > urgentOneRackWait
	}
	if waited < oneRackWait {
		return false
	}
	free := 0
	for _, c := range s.candidates(u, s.announced, r.terms.Service, now) {
		free += c.free.Fits(u.step.spec.Occupies(), 2*u.size)
	}
	return free >= 2*u.size
}

// fitsEmptyRack reports whether any rack could hold the unit if it were empty.
func (s *Scheduler) fitsEmptyRack(u *unit, service primrosespar.Service) bool {
	if u.fitsEmptyRackRoster == s.rosterVersion {
		return u.fitsEmptyRack
	}
	u.fitsEmptyRackRoster, u.fitsEmptyRack = s.rosterVersion, false
	for _, k := range s.racks[service] {
		n := 0
		for _, w := range k.workers {
			if !w.info.Draining {
				n += w.room(u, w.info.Capacity)
			}
		}
		if n >= u.size {
			u.fitsEmptyRack = true
			break
		}
	}
	return u.fitsEmptyRack
}

// findWorkersInRack returns places in the fullest rack that has room for the unit.
func (s *Scheduler) findWorkersInRack(u *unit, r *rankedStep, now time.Time, allowed func(*rack) bool) []*worker {
	var best []candidate
	bestScore := math.MaxInt
	need := u.size * u.step.spec.Need.Accelerators
	for _, k := range s.racks[r.terms.Service] {
		if k.free < need || allowed != nil && !allowed(k) {
			continue
		}
		score := k.free
		if u.step.spec.DataRack != "" && k.key.rack != u.step.spec.DataRack {
			score += math.MaxInt / 4
		}
		if score >= bestScore {
			continue
		}
		if found := s.candidates(u, k.workers, r.terms.Service, now); totalRoom(found) >= u.size {
			best, bestScore = found, score
		}
	}
	return pack(best, u)
}

// findWorkersAnywhere returns places on any workers, in the fullest racks first.
func (s *Scheduler) findWorkersAnywhere(u *unit, r *rankedStep, now time.Time) []*worker {
	if u.size == 1 && u.claims == nil && len(u.avoid) == 0 {
		if r.singleTaskWorkers == nil {
			r.singleTaskWorkers = s.candidatesUpTo(u, s.announced, r.terms.Service, u.step.spec.Count, now)
		}
		return takeBest(r.singleTaskWorkers, u)
	}
	// What this unit takes is not taken from the candidates of the step.
	r.singleTaskWorkers = nil
	found := s.candidates(u, s.announced, r.terms.Service, now)
	if totalRoom(found) < u.size {
		return nil
	}
	if u.size == 1 {
		return takeBest(found, u)
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return a.worker.rack.free - b.worker.rack.free
	})
	return pack(found, u)
}

// totalRoom returns the members that fit all candidates together.
func totalRoom(candidates []candidate) int {
	n := 0
	for _, c := range candidates {
		n += c.room
	}
	return n
}

// pack fills the workers that are left with least, so that whole workers stay
// free for large shapes.
func pack(candidates []candidate, u *unit) []*worker {
	if totalRoom(candidates) < u.size || u.size == 0 {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return a.acceleratorsLeft(u) - b.acceleratorsLeft(u)
	})
	workers := make([]*worker, 0, u.size)
	for _, c := range candidates {
		for range min(c.room, u.size-len(workers)) {
			workers = append(workers, c.worker)
		}
	}
	return workers
}

// acceleratorsLeft returns the accelerators that stay free once the candidate is filled.
func (c candidate) acceleratorsLeft(u *unit) int {
	return c.free.Accelerators - c.room*u.step.spec.Need.Accelerators
}

// atDisruptionLimit reports whether the worker has as many tasks of a long-running step as may
// be away at once: with more of them it could not be cleared.
func (w *worker) atDisruptionLimit(st *step) bool {
	return st.spec.LongRunning && st.spec.MaxUnavailable > 0 && w.tasksOf(st) >= st.spec.MaxUnavailable
}

// takeBest picks the worker for a single task and takes the room from the
// candidates: in the rack of its data if there is room, else the one with the
// fewest free accelerators, in the fullest rack among equals.
func takeBest(candidates []candidate, u *unit) []*worker {
	var best *candidate
	bestScore := math.MaxInt
	dataRack := u.step.spec.DataRack
	for i := range candidates {
		c := &candidates[i]
		if c.room == 0 {
			continue
		}
		score := c.free.Accelerators*rackScoreRange + min(c.worker.rack.free, rackScoreRange-1)
		if c.worker.interferes(u.step) {
			score += math.MaxInt / 16
		}
		if c.worker.cordoned || c.worker.atDisruptionLimit(u.step) {
			score += math.MaxInt / 8
		}
		if dataRack != "" && c.worker.info.Rack == dataRack {
			score -= math.MaxInt / 4
		}
		if score < bestScore {
			best, bestScore = c, score
		}
	}
	if best == nil {
		return nil
	}
	best.room--
	best.free = best.free.Sub(u.step.spec.Occupies())
	return []*worker{best.worker}
}
