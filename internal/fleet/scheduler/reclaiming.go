package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// dropClaim gives freed capacity back that was kept for the unit.
func (s *Scheduler) dropClaim(u *unit) {
	for w, r := range u.claims {
		w.claimed = w.claimed.Sub(r)
	}
	if u.claims != nil {
		s.freed++
	}
	u.claims = nil
	delete(s.claimants, u)
}

// firstPriorityWeight is how much more the work of the first priority after
// the urgent one counts than that of the others.
const firstPriorityWeight = 2.5

// lastingLoss is how much work a stop of a long-running task is taken to lose,
// because it keeps none; it is more than that of most other tasks.
const lastingLoss = 10 * time.Second

// victim is a unit that may give way, with the work that would be lost.
type victim struct {
	unit *unit
	cost float64
}

// reclaim frees room for an urgent unit by stopping work of lower priority. It
// reports whether room is being freed.
func (s *Scheduler) reclaim(u *unit, r *ranked, now time.Time) bool {
	if u.claims != nil {
		if now.Before(u.claimEnd) {
			return true
		}
		s.dropClaim(u)
	}
	if now.Before(u.reclaimAt) {
		return false
	}
	u.reclaimAt = now.Add(blockedRetry)
	entitled := s.entitled(u)
	var best *eviction
	if u.size == 1 || u.step.spec.OneRack && s.rackHolds(u, r.terms.Service) {
		for _, k := range s.racks[r.terms.Service] {
			if e := s.evict(u, r, k.workers, entitled, now); e != nil && (best == nil || e.cost < best.cost) {
				best = e
			}
		}
	}
	if best == nil {
		best = s.evict(u, r, s.roster, entitled, now)
	}
	if best == nil {
		return false
	}
	s.carryOut(u, best, now)
	return true
}

// eviction is a way to make room for a unit.
type eviction struct {
	victims []*unit
	where   []*worker
	cost    float64
}

// trial is room on a worker as it would be after an eviction.
type trial struct {
	mark uint64
	free primrosespar.Resources
	room int
}

// evict finds the cheapest victims on the workers that make room for the unit.
func (s *Scheduler) evict(u *unit, r *ranked, workers []*worker, entitled bool, now time.Time) *eviction {
	s.mark++
	room := 0
	var open []*worker
	var victims []victim
	// spared counts the tasks of long-running steps among the victims.
	spared := map[*step]int{}
	for _, w := range workers {
		if !w.usable(u, r.terms.Service, now) {
			continue
		}
		open = append(open, w)
		w.trial = trial{mark: s.mark, free: w.free(u)}
		w.trial.room = w.room(u, w.trial.free)
		room += w.trial.room
		for _, m := range w.list {
			v := m.unit
			// What is being stopped ends soon by itself; its room counts then.
			if v.mark == s.mark || v.stopping || v.phase != encoder.Placed {
				continue
			}
			v.mark = s.mark
			if s.mayEvict(v, entitled) && v.spare(spared[v.step]) {
				if v.step.spec.LongRunning {
					spared[v.step] += v.size
				}
				victims = append(victims, victim{v, s.price(v, now)})
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	e := s.choose(u, open, room, victims)
	if e != nil && !e.lasting() {
		return e
	}
	if other := s.evictByWorker(u, open, entitled, now); other != nil && (e == nil || other.cost < e.cost) {
		return other
	}
	return e
}

// lasting reports whether a victim is long-running work.
func (e *eviction) lasting() bool {
	return slices.ContainsFunc(e.victims, func(v *unit) bool { return v.step.spec.LongRunning })
}

// evictByWorker clears the workers that cost least, one after the other, until
// the unit fits. Where long-running steps bound how many of their tasks may be away,
// the cheapest victims of all workers together may clear none of them.
func (s *Scheduler) evictByWorker(u *unit, open []*worker, entitled bool, now time.Time) *eviction {
	s.mark++
	e := &eviction{}
	room := 0
	for _, w := range open {
		w.trial = trial{mark: s.mark, free: w.free(u)}
		w.trial.room = w.room(u, w.trial.free)
		room += w.trial.room
	}
	spared := map[*step]int{}
	for room < u.size {
		var best []victim
		bestCost := math.Inf(1)
		for _, w := range open {
			if found, cost := s.clear(u, w, spared, entitled, now); found != nil && cost < bestCost {
				best, bestCost = found, cost
			}
		}
		if best == nil {
			return nil
		}
		for _, v := range best {
			v.unit.mark = s.mark
			room += s.tryWithout(u, v.unit, 1)
			e.victims = append(e.victims, v.unit)
			e.cost += v.cost
			if v.unit.step.spec.LongRunning {
				spared[v.unit.step] += v.unit.size
			}
		}
	}
	for _, w := range open {
		for range min(w.trial.room, u.size-len(e.where)) {
			e.where = append(e.where, w)
		}
	}
	return e
}

// clear finds the cheapest victims on one worker that make room for one more
// member of the unit, and their cost for each member that then fits.
func (s *Scheduler) clear(u *unit, w *worker, spared map[*step]int, entitled bool, now time.Time) ([]victim, float64) {
	var found []victim
	for _, m := range w.list {
		v := m.unit
		if v.mark != s.mark && !v.stopping && v.phase == encoder.Placed && s.mayEvict(v, entitled) {
			found = append(found, victim{v, s.price(v, now)})
		}
	}
	slices.SortStableFunc(found, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	free, cost := w.trial.free, 0.0
	taken := found[:0]
	more := map[*step]int{}
	for _, v := range found {
		st := v.unit.step
		if !v.unit.spare(spared[st] + more[st]) {
			continue
		}
		if st.spec.LongRunning {
			more[st] += v.unit.size
		}
		for _, m := range v.unit.members {
			if m.worker == w {
				free = free.Add(st.spec.Occupies())
			}
		}
		taken, cost = append(taken, v), cost+v.cost
		if gain := w.room(u, free) - w.trial.room; gain > 0 {
			return taken, cost / float64(gain)
		}
	}
	return nil, 0
}

// choose takes victims, cheapest first, until the unit fits, and then spares
// those that were not needed.
func (s *Scheduler) choose(u *unit, open []*worker, room int, victims []victim) *eviction {
	taken := 0
	for ; room < u.size; taken++ {
		if taken == len(victims) {
			return nil
		}
		room += s.tryWithout(u, victims[taken].unit, 1)
	}
	e := &eviction{}
	for i := taken - 1; i >= 0; i-- {
		change := s.tryWithout(u, victims[i].unit, -1)
		if room+change >= u.size {
			room += change
			continue
		}
		s.tryWithout(u, victims[i].unit, 1)
		e.victims = append(e.victims, victims[i].unit)
		e.cost += victims[i].cost
	}
	for _, w := range open {
		for range min(w.trial.room, u.size-len(e.where)) {
			e.where = append(e.where, w)
		}
	}
	return e
}

// tryWithout takes the victim off the trial or, with -1, puts it back, and
// returns by how many members the room for the unit changes.
func (s *Scheduler) tryWithout(u, v *unit, sign int) int {
	change := 0
	need := v.step.spec.Occupies()
	for _, m := range v.members {
		t := &m.worker.trial
		if t.mark != s.mark {
			continue
		}
		if sign > 0 {
			t.free = t.free.Add(need)
		} else {
			t.free = t.free.Sub(need)
		}
		before := t.room
		t.room = m.worker.room(u, t.free)
		change += t.room - before
	}
	return change
}

// mayEvict reports whether the unit may give way to an urgent one. Long-running
// work has to go on, unless a guarantee is claimed.
func (s *Scheduler) mayEvict(v *unit, entitled bool) bool {
	if v.step.spec.LongRunning && !entitled {
		return false
	}
	if s.terms(v.step.occ.job).Priority > 0 {
		return true
	}
	return entitled && !v.entitled
}

// price is the loss by stopping the unit, weighed by its priority.
func (s *Scheduler) price(v *unit, now time.Time) float64 {
	weight := 1.0
	if s.terms(v.step.occ.job).Priority <= 1 {
		weight = firstPriorityWeight
	}
	return weight * v.loss(now)
}

// loss returns the work, in core-seconds, that is lost if the unit stops now.
func (v *unit) loss(now time.Time) float64 {
	need := v.step.spec.Need
	cores := float64(need.Millicores)/1000 + acceleratorCores*float64(need.Accelerators)
	since := now.Sub(v.placedAt)
	if v.step.spec.LongRunning {
		since = min(since, lastingLoss)
	}
	if v.step.spec.Checkpointing {
		// A stop saves the work; only the way back is lost.
		since = min(since, time.Second)
	}
	return cores * float64(v.size) * (since.Seconds() + 0.5)
}

// carryOut stops the victims and keeps the room for the unit.
func (s *Scheduler) carryOut(u *unit, e *eviction, now time.Time) {
	u.claims = map[*worker]primrosespar.Resources{}
	s.claimants[u] = true
	u.claimEnd = now.Add(claimTime)
	need := u.step.spec.Occupies()
	for _, w := range e.where {
		u.claims[w] = u.claims[w].Add(need)
		w.claimed = w.claimed.Add(need)
	}
	for _, v := range e.victims {
		s.stopUnit(v, "gives way to "+string(u.step.occ.job.sub.ID))
	}
}

// lastingTime is when a long-running task is taken to end. A rack whose gang would
// wait longer than keepHorizon is not kept for it.
const (
	lastingTime = time.Hour
	keepHorizon = time.Minute
)

// keep chooses the rack in which a blocked gang will fit soonest and keeps
// later work off it, so that a stream of small work cannot hold it up for
// ever. Only gangs that fit one rack are helped: keeping the whole fleet would
// stop all other work.
func (s *Scheduler) keep(u *unit, now time.Time) bool {
	service := s.terms(u.step.occ.job).Service
	if !u.step.spec.OneRack || !s.rackHolds(u, service) {
		return false
	}
	if u.kept == nil || !now.Before(u.keptUntil) {
		u.kept, u.keptUntil = s.soonest(u, service, now), now.Add(keepTime)
	}
	if u.kept == nil {
		return false
	}
	for _, w := range u.kept.workers {
		if w.keptFor == nil {
			w.keptFor = u
		}
	}
	return true
}

// soonest returns the rack in which the unit will fit first.
func (s *Scheduler) soonest(u *unit, service primrosespar.Service, now time.Time) *rack {
	var best *rack
	var bestAt time.Time
	for _, k := range s.racks[service] {
		at, ok := s.fitsAt(u, k.workers, service, now)
		if ok && at.Sub(now) < keepHorizon && (best == nil || at.Before(bestAt)) {
			best, bestAt = k, at
		}
	}
	return best
}

// fitsAt estimates when the unit will fit the workers.
func (s *Scheduler) fitsAt(u *unit, workers []*worker, service primrosespar.Service, now time.Time) (time.Time, bool) {
	type ending struct {
		member *member
		at     time.Time
	}
	s.mark++
	room := 0
	var ends []ending
	for _, w := range workers {
		if !w.usable(u, service, now) || w.keptFor != nil {
			continue
		}
		w.trial = trial{mark: s.mark, free: w.free(u)}
		w.trial.room = w.room(u, w.trial.free)
		room += w.trial.room
		for _, m := range w.list {
			ends = append(ends, ending{m, m.endsAt(now)})
		}
	}
	slices.SortStableFunc(ends, func(a, b ending) int { return a.at.Compare(b.at) })
	at := now
	for _, e := range ends {
		if room >= u.size {
			return at, true
		}
		t := &e.member.worker.trial
		t.free = t.free.Add(e.member.unit.step.spec.Occupies())
		before := t.room
		t.room = e.member.worker.room(u, t.free)
		room += t.room - before
		at = e.at
	}
	return at, room >= u.size
}

// endsAt estimates when the member will end, from its progress if it has made
// any.
func (m *member) endsAt(now time.Time) time.Time {
	u := m.unit
	if u.stopping {
		return now
	}
	if u.step.spec.LongRunning {
		return now.Add(lastingTime)
	}
	if m.percent > 0 && m.percent < 100 {
		spent := m.percentAt.Sub(u.placedAt)
		return m.percentAt.Add(time.Duration(float64(spent) * (100 - m.percent) / m.percent))
	}
	return u.placedAt.Add(u.step.spec.Estimate)
}
