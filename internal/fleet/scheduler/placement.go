package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// maxRackReservations limits the number of blocked gangs that racks are
// reserved for.
const maxRackReservations = 2

// rackScoreRange is the weight of a worker's free accelerators relative to
// those of its rack in a score. It exceeds the free accelerators of any rack
// that are taken into account.
const rackScoreRange = 4096

// eligible reports whether the unit may run on the worker now, apart from room.
func (w *worker) eligible(u *unit, service primrosespar.Service, now time.Time) bool {
	return w.eligibleWithoutAdvice(u, service, now) && (!u.step.advised || u.step.hasValidTicket(w, now))
}

// eligibleWithoutAdvice is eligible without the check for a ticket of the
// advice service.
func (w *worker) eligibleWithoutAdvice(u *unit, service primrosespar.Service, now time.Time) bool {
	return w.polled && !w.unresponsive && w.suits(u, service, now)
}

// suits reports whether the unit may run on the worker if that responds.
func (w *worker) suits(u *unit, service primrosespar.Service, now time.Time) bool {
	spec := u.step.spec
	if !w.announced || w.closed || !w.acceptsWork(spec.LongRunning) || w.info.Service != service {
		return false
	}
	if now.Before(w.quarantinedUntil) || now.Before(w.probationUntil) || u.avoid[w.info.Worker] {
		return false
	}
	return u.step.hasRequiredLabel(w) && u.step.allowedAt(w)
}

// room returns how many members of the unit fit into the free capacity.
func (w *worker) room(u *unit, free primrosespar.Resources) int {
	return w.roomUpTo(u, free, u.size)
}

// roomUpTo returns how many tasks like those of the unit fit into the free
// capacity, at most limit.
func (w *worker) roomUpTo(u *unit, free primrosespar.Resources, limit int) int {
	spec := u.step.spec
	n := free.Fits(spec.Occupies(), limit)
	if spec.PerWorker > 0 {
		n = min(n, spec.PerWorker-w.tasksOf(u.step))
	}
	return max(n, 0)
}

// tasksOf returns the number of tasks of the step on the worker.
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

// candidates returns the workers with room for the unit, without those reserved
// for another unit.
func (s *Scheduler) candidates(u *unit, workers []*worker, service primrosespar.Service, now time.Time) []candidate {
	return s.candidatesUpTo(u, workers, service, u.size, now)
}

// candidatesUpTo is candidates with room for up to limit tasks like those of
// the unit on each worker.
func (s *Scheduler) candidatesUpTo(u *unit, workers []*worker, service primrosespar.Service, limit int, now time.Time) []candidate {
	var candidates []candidate
	for _, w := range workers {
		if !w.mayHoldOne(u) {
			continue
		}
		// Long-running tasks ignore reservations. Otherwise they could wait
		// forever for room that is reserved for a gang.
		reserved := w.reservedFor != nil && w.reservedFor != u && !u.step.spec.LongRunning
		if reserved || !w.eligible(u, service, now) {
			continue
		}
		free := w.freeFor(u)
		n := w.roomUpTo(u, free, limit)
		if s.yieldsToCold(u) {
			n = w.warming.limit(n)
		}
		if n > 0 {
			candidates = append(candidates, candidate{w, n, free})
		}
	}
	return candidates
}

// findWorkers returns a worker for each member of the unit, or nil if there is
// no room now.
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

// maySpread reports whether a gang that prefers one rack may run across racks,
// where it is slow: because no rack could hold it, or because it has waited
// long enough. A gang that is not urgent also needs room for twice its size.
func (s *Scheduler) maySpread(u *unit, r *rankedStep, waited time.Duration, now time.Time) bool {
	if !s.fitsEmptyRack(u, r.terms.Service) {
		return true
	}
	if waited < r.oneRackWait() {
		return false
	}
	if r.terms.Priority == 0 {
		return true
	}
	free := 0
	if s.pool(r.terms.Service).index.Room(u.step.spec.Need.Accelerators, 2*u.size) < 2*u.size {
		return false
	}
	for _, c := range s.candidates(u, s.announced, r.terms.Service, now) {
		free += c.free.Fits(u.step.spec.Occupies(), 2*u.size)
	}
	return free >= 2*u.size
}

// fitsEmptyRack reports whether the unit would fit into any rack if the rack
// were empty. The result is cached until the announced workers change.
func (s *Scheduler) fitsEmptyRack(u *unit, service primrosespar.Service) bool {
	spec := u.step.spec
	key := emptyRackShape{service, spec.Occupies(), spec.PerWorker, u.size}
	if fits, known := s.emptyRackFits[key]; known {
		return fits
	}
	fits := slices.ContainsFunc(s.pool(service).racks, func(k *rack) bool { return k.holdsWhenEmpty(u) })
	s.emptyRackFits[key] = fits
	return fits
}

// emptyRackShape holds the properties that determine whether a unit fits into
// an empty rack.
type emptyRackShape struct {
	service   primrosespar.Service
	need      primrosespar.Resources
	perWorker int
	size      int
}

// holdsWhenEmpty reports whether the unit would fit into the rack if it were
// empty.
func (k *rack) holdsWhenEmpty(u *unit) bool {
	n, limit := 0, u.size
	if perWorker := u.step.spec.PerWorker; perWorker > 0 {
		limit = min(limit, perWorker)
	}
	for _, w := range k.workers {
		if !w.info.Draining {
			n += w.info.Capacity.Fits(u.step.spec.Occupies(), limit)
		}
	}
	return n >= u.size
}

// findWorkersInRack returns workers in the rack with the fewest free
// accelerators that has room for the unit.
func (s *Scheduler) findWorkersInRack(u *unit, r *rankedStep, now time.Time, allowed func(*rack) bool) []*worker {
	var best []candidate
	bestScore := math.MaxInt
	p := s.pool(r.terms.Service)
	if !mayHold(&p.index, u) {
		return nil
	}
	for _, k := range p.racks {
		if !mayHold(&k.index, u) || allowed != nil && !allowed(k) {
			continue
		}
		score := k.free()
		if u.step.spec.DataRack != "" && k.key.rack != u.step.spec.DataRack {
			score += math.MaxInt / 4
		}
		if score >= bestScore {
			continue
		}
		found := s.candidates(u, k.workers, r.terms.Service, now)
		if totalRoom(found) < u.size {
			continue
		}
		if sureRoom(found) < u.size {
			score += math.MaxInt / 8
		}
		if score < bestScore {
			best, bestScore = found, score
		}
	}
	return pack(best, u)
}

// findWorkersAnywhere returns workers for the unit across racks, starting with
// the racks with the fewest free accelerators.
func (s *Scheduler) findWorkersAnywhere(u *unit, r *rankedStep, now time.Time) []*worker {
	if u.size == 1 && u.claims == nil && len(u.avoid) == 0 {
		if r.singleTaskWorkers == nil {
			r.singleTaskWorkers = s.candidatesUpTo(u, s.announced, r.terms.Service, u.step.spec.Count, now)
		}
		return takeBest(r.singleTaskWorkers, u)
	}
	// The cached candidates do not account for what this unit takes.
	r.singleTaskWorkers = nil
	if !mayHold(&s.pool(r.terms.Service).index, u) {
		return nil
	}
	found := s.candidates(u, s.announced, r.terms.Service, now)
	if totalRoom(found) < u.size {
		return nil
	}
	if u.size == 1 {
		return takeBest(found, u)
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return a.worker.rack.free() - b.worker.rack.free()
	})
	return pack(found, u)
}

// totalRoom returns the total room of the candidates.
func totalRoom(candidates []candidate) int {
	n := 0
	for _, c := range candidates {
		n += c.room
	}
	return n
}

// pack assigns the unit to the candidates that will have the fewest free
// accelerators left, so that whole workers stay free for large tasks. Workers
// that are unsure to finish their tasks come last.
func pack(candidates []candidate, u *unit) []*worker {
	if totalRoom(candidates) < u.size || u.size == 0 {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(a.unsureRank()-b.unsureRank(), a.worker.warming.score()-b.worker.warming.score(), a.acceleratorsLeft(u)-b.acceleratorsLeft(u))
	})
	workers := make([]*worker, 0, u.size)
	for _, c := range candidates {
		for range min(c.room, u.size-len(workers)) {
			workers = append(workers, c.worker)
		}
	}
	return workers
}

// acceleratorsLeft returns the accelerators that stay free when all of the
// candidate's room is used.
func (c candidate) acceleratorsLeft(u *unit) int {
	return c.free.Accelerators - c.room*u.step.spec.Need.Accelerators
}

// atDisruptionLimit reports whether the worker already has as many tasks of a
// long-running step as may be unavailable at once. With more of them it could
// not be cleared in one go.
func (w *worker) atDisruptionLimit(st *step) bool {
	return st.spec.LongRunning && st.spec.MaxUnavailable > 0 && w.tasksOf(st) >= st.spec.MaxUnavailable
}

// takeBest picks the worker for a single task and takes the room from its
// candidate: in the rack of its data if there is room, else the worker with the
// fewest free accelerators, with the rack's free accelerators as tie-breaker.
// A task under which workers have crashed goes to an idle worker that has not
// crashed, if there is one, so that its next crash harms no other task and has
// no other explanation. Workers that are unsure to finish their tasks and those
// where the task would interfere with others come after the rest, and cordoned
// workers and those at the disruption limit come last.
func takeBest(candidates []candidate, u *unit) []*worker {
	var best *candidate
	bestScore := math.MaxInt
	dataRack := u.step.spec.DataRack
	for i := range candidates {
		c := &candidates[i]
		if c.room == 0 {
			continue
		}
		score := c.free.Accelerators*rackScoreRange + min(c.worker.rack.free(), rackScoreRange-1)
		if u.suspected() && (c.worker.crashedLately || len(c.worker.memberList) > 0) {
			score += math.MaxInt / 32
		}
		score += c.worker.warming.score()
		if c.worker.unsure {
			score += math.MaxInt / 64
		}
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
