package scheduler

import (
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// maxKept bounds the blocked gangs that workers are kept for.
const maxKept = 2

// maxRackAccelerators keeps the free accelerators of a worker above those of
// its rack in a score.
const maxRackAccelerators = 4096

// usable reports whether the worker may get the unit now.
func (w *worker) usable(u *unit, service primrosespar.Service, now time.Time) bool {
	return w.fitting(u, service, now) && (!u.step.advised || u.step.approved(w, now))
}

// fitting reports whether the worker may get the unit but for advice.
func (w *worker) fitting(u *unit, service primrosespar.Service, now time.Time) bool {
	spec := u.step.spec
	if !w.present || !w.looked || w.suspect || !w.open(spec.LongRunning) || w.member.Service != service {
		return false
	}
	if now.Before(w.quarantine) || u.avoid[w.member.Worker] {
		return false
	}
	return u.step.allows(w)
}

// room returns how many members of the unit fit the worker.
func (w *worker) room(u *unit, free primrosespar.Resources) int {
	return w.roomFor(u, free, u.size)
}

// roomFor returns how many tasks like those of the unit fit the worker, at
// most limit.
func (w *worker) roomFor(u *unit, free primrosespar.Resources, limit int) int {
	spec := u.step.spec
	n := free.Fits(spec.Occupies(), limit)
	if spec.PerWorker > 0 {
		n = min(n, spec.PerWorker-w.count(u.step))
	}
	return max(n, 0)
}

// count returns the members of the step at the worker.
func (w *worker) count(st *step) int {
	n := 0
	for _, m := range w.list {
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
	return s.candidatesFor(u, workers, service, u.size, now)
}

// candidatesFor returns the workers with room for up to limit tasks like those
// of the unit.
func (s *Scheduler) candidatesFor(u *unit, workers []*worker, service primrosespar.Service, limit int, now time.Time) []candidate {
	var out []candidate
	for _, w := range workers {
		// A long-running task would wait for ever for room that is kept for a gang.
		kept := w.keptFor != nil && w.keptFor != u && !u.step.spec.LongRunning
		if kept || !w.usable(u, service, now) {
			continue
		}
		free := w.free(u)
		if n := w.roomFor(u, free, limit); n > 0 {
			out = append(out, candidate{w, n, free})
		}
	}
	return out
}

// fit returns a worker for each member of the unit, or nil if there is no room
// now.
func (s *Scheduler) fit(u *unit, r *ranked, now time.Time) []*worker {
	spec := u.step.spec
	waited := now.Sub(u.step.readySince)
	if spec.DataRack != "" && waited < remoteWait {
		r.open = nil
		return s.fitRacks(u, r, now, func(k *rack) bool { return k.key.rack == spec.DataRack })
	}
	if u.size > 1 && spec.OneRack {
		if where := s.fitRacks(u, r, now, nil); where != nil {
			return where
		}
		if !s.maySpread(u, r, waited, now) {
			return nil
		}
	}
	return s.fitAnywhere(u, r, now)
}

// maySpread reports whether a gang for one rack may run across racks, where it
// is slow: no rack could hold it, or it has waited long.
func (s *Scheduler) maySpread(u *unit, r *ranked, waited time.Duration, now time.Time) bool {
	if !s.rackHolds(u, r.terms.Service) {
		return true
	}
	if r.terms.Priority == 0 {
		return waited > urgentSpreadWait
	}
	if waited < spreadWait {
		return false
	}
	free := 0
	for _, c := range s.candidates(u, s.roster, r.terms.Service, now) {
		free += c.free.Fits(u.step.spec.Occupies(), 2*u.size)
	}
	return free >= 2*u.size
}

// rackHolds reports whether any rack could hold the unit if it were empty.
func (s *Scheduler) rackHolds(u *unit, service primrosespar.Service) bool {
	if u.holdsOf == s.rosters {
		return u.holds
	}
	u.holdsOf, u.holds = s.rosters, false
	for _, k := range s.racks[service] {
		n := 0
		for _, w := range k.workers {
			if !w.member.Draining {
				n += w.room(u, w.member.Capacity)
			}
		}
		if n >= u.size {
			u.holds = true
			break
		}
	}
	return u.holds
}

// fitRacks returns places in the fullest rack that has room for the unit.
func (s *Scheduler) fitRacks(u *unit, r *ranked, now time.Time, allowed func(*rack) bool) []*worker {
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
		if found := s.candidates(u, k.workers, r.terms.Service, now); sum(found) >= u.size {
			best, bestScore = found, score
		}
	}
	return pack(best, u)
}

// fitAnywhere returns places on any workers, in the fullest racks first.
func (s *Scheduler) fitAnywhere(u *unit, r *ranked, now time.Time) []*worker {
	if u.size == 1 && u.claims == nil && len(u.avoid) == 0 {
		if r.open == nil {
			r.open = s.candidatesFor(u, s.roster, r.terms.Service, u.step.spec.Count, now)
		}
		return takeOne(r.open, u)
	}
	// What this unit takes is not taken from the candidates of the step.
	r.open = nil
	found := s.candidates(u, s.roster, r.terms.Service, now)
	if sum(found) < u.size {
		return nil
	}
	if u.size == 1 {
		return takeOne(found, u)
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return a.worker.rack.free - b.worker.rack.free
	})
	return pack(found, u)
}

// sum returns the members that fit all candidates together.
func sum(found []candidate) int {
	n := 0
	for _, c := range found {
		n += c.room
	}
	return n
}

// pack fills the workers that are left with least, so that whole workers stay
// free for large shapes.
func pack(found []candidate, u *unit) []*worker {
	if sum(found) < u.size || u.size == 0 {
		return nil
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return a.left(u) - b.left(u)
	})
	out := make([]*worker, 0, u.size)
	for _, c := range found {
		for range min(c.room, u.size-len(out)) {
			out = append(out, c.worker)
		}
	}
	return out
}

// left returns the accelerators that stay free once the candidate is filled.
func (c candidate) left(u *unit) int {
	return c.free.Accelerators - c.room*u.step.spec.Need.Accelerators
}

// crowded reports whether the worker has as many tasks of a long-running step as may
// be away at once: with more of them it could not be cleared.
func (w *worker) crowded(st *step) bool {
	return st.spec.LongRunning && st.spec.MaxUnavailable > 0 && w.count(st) >= st.spec.MaxUnavailable
}

// takeOne picks the worker for a single task and takes the room from the
// candidates: in the rack of its data if there is room, else the one with the
// fewest free accelerators, in the fullest rack among equals.
func takeOne(found []candidate, u *unit) []*worker {
	var best *candidate
	bestScore := math.MaxInt
	data := u.step.spec.DataRack
	for i := range found {
		c := &found[i]
		if c.room == 0 {
			continue
		}
		score := c.free.Accelerators*maxRackAccelerators + min(c.worker.rack.free, maxRackAccelerators-1)
		if c.worker.disturbs(u.step) {
			score += math.MaxInt / 16
		}
		if c.worker.closing || c.worker.crowded(u.step) {
			score += math.MaxInt / 8
		}
		if data != "" && c.worker.member.Rack == data {
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
