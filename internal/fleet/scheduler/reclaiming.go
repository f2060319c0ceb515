package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// dropClaim releases the freed capacity that was kept for the unit.
func (s *Scheduler) dropClaim(u *unit) {
	for w, r := range u.claims {
		w.claimed = w.claimed.Sub(r)
	}
	if u.claims != nil {
		s.capacityVersion++
	}
	u.claims = nil
	delete(s.claimants, u)
}

// firstPriorityWeight is the weight of lost work of urgent jobs and of the
// first priority after them, relative to that of lower priorities.
const firstPriorityWeight = 2.5

// maxLongRunningLoss limits the run time that stopping a long-running task
// counts as lost. Such a task keeps no work, but the cost of stopping it should
// still exceed that of most other tasks.
const maxLongRunningLoss = 10 * time.Second

// victim is a unit that may be stopped to make room, with the cost of stopping
// it.
type victim struct {
	unit *unit
	cost float64
}

// reclaim makes room for an urgent unit by stopping other work. It reports
// whether room is being made.
func (s *Scheduler) reclaim(u *unit, r *rankedStep, now time.Time) bool {
	if u.claims != nil {
		if now.Before(u.claimUntil) {
			return true
		}
		s.dropClaim(u)
	}
	if now.Before(u.nextReclaimAt) {
		return false
	}
	u.nextReclaimAt = now.Add(blockedRetryDelay)
	if s.awaitsRoom(u, r, now) {
		return false
	}
	withinGuarantee := s.fitsGuarantee(u)
	search := reclaimSearch{u.shape(r.terms), withinGuarantee}
	if u.unrestricted() && s.failedReclaims[search] {
		return false
	}
	var best *preemption
	if u.size == 1 || u.step.spec.OneRack && s.fitsEmptyRack(u, r.terms.Service) {
		for _, k := range s.pool(r.terms.Service).racks {
			if p := s.findPreemption(u, r, k.workers, withinGuarantee, now); p != nil && (best == nil || p.cost < best.cost) {
				best = p
			}
		}
	}
	if best == nil {
		best = s.findPreemption(u, r, s.announced, withinGuarantee, now)
	}
	if best == nil {
		if u.unrestricted() {
			s.failedReclaims[search] = true
		}
		return false
	}
	s.applyPreemption(u, best, now)
	return true
}

// awaitsRoom reports whether the unit probably fits as soon as all workers have
// reported to a new holder, so that no work has to be stopped for it.
func (s *Scheduler) awaitsRoom(u *unit, r *rankedStep, now time.Time) bool {
	if now.Sub(s.firstPlanAt) > firstReportsWait {
		return false
	}
	if u.size == 1 || !u.step.spec.OneRack || !s.fitsEmptyRack(u, r.terms.Service) {
		return s.expectedRoom(u, s.announced, r.terms.Service, now) >= u.size
	}
	return slices.ContainsFunc(s.pool(r.terms.Service).racks, func(k *rack) bool {
		return s.expectedRoom(u, k.workers, r.terms.Service, now) >= u.size
	})
}

// expectedRoom returns the room for the unit on the workers, with those that have
// not reported yet.
func (s *Scheduler) expectedRoom(u *unit, workers []*worker, service primrosespar.Service, now time.Time) int {
	room := 0
	for _, w := range workers {
		if w.eligible(u, service, now) || s.AwaitsFirstReport(w.info.Worker) && w.suits(u, service, now) {
			room += w.room(u, w.freeFor(u))
		}
	}
	return room
}

// reclaimSearch identifies equal searches for victims within one plan.
type reclaimSearch struct {
	shape           shape
	withinGuarantee bool
}

// unrestricted reports whether the unit may use any worker that others of its
// shape may use.
func (u *unit) unrestricted() bool {
	return len(u.avoid) == 0 && u.step.spec.PerWorker == 0 && !u.step.advised && len(u.step.regions) == 0
}

// preemption is a set of units to stop, the workers that the unit then runs on,
// and the total cost.
type preemption struct {
	victims []*unit
	workers []*worker
	cost    float64
}

// trialRoom is the room on a worker while a preemption is simulated.
type trialRoom struct {
	searchID uint64
	free     primrosespar.Resources
	room     int
}

// findPreemption finds the cheapest victims whose stop makes room for the unit
// on the workers, or returns nil.
func (s *Scheduler) findPreemption(u *unit, r *rankedStep, workers []*worker, withinGuarantee bool, now time.Time) *preemption {
	s.searchID++
	room := 0
	var eligible []*worker
	var victims []victim
	// disrupted counts the victims' tasks by long-running step. longRunning is
	// set if a long-running unit could be stopped.
	var disrupted map[*step]int
	longRunning := false
	for _, w := range workers {
		if !w.eligible(u, r.terms.Service, now) {
			continue
		}
		eligible = append(eligible, w)
		w.trial = trialRoom{searchID: s.searchID, free: w.freeFor(u)}
		w.trial.room = w.room(u, w.trial.free)
		room += w.trial.room
		for _, m := range w.memberList {
			v := m.unit
			// Units that are already being stopped free their room soon by
			// themselves.
			if v.searchID == s.searchID || v.stopping || v.phase != encoder.Placed {
				continue
			}
			v.searchID = s.searchID
			if !s.mayPreempt(v, withinGuarantee) {
				continue
			}
			longRunning = longRunning || v.step.spec.LongRunning
			if !v.disruptable(disrupted[v.step]) {
				continue
			}
			if v.step.spec.LongRunning {
				if disrupted == nil {
					disrupted = map[*step]int{}
				}
				disrupted[v.step] += v.size
			}
			victims = append(victims, victim{v, s.preemptionCost(v, now)})
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	p := s.pickVictims(u, eligible, room, victims)
	if !longRunning || p != nil && !p.stopsLongRunning() {
		return p
	}
	if byWorker := s.findPreemptionByWorker(u, eligible, withinGuarantee, now); byWorker != nil && (p == nil || byWorker.cost < p.cost) {
		return byWorker
	}
	return p
}

// stopsLongRunning reports whether a victim is long-running.
func (p *preemption) stopsLongRunning() bool {
	return slices.ContainsFunc(p.victims, func(v *unit) bool { return v.step.spec.LongRunning })
}

// findPreemptionByWorker picks victims worker by worker, cheapest first, until
// the unit fits. Where long-running steps limit how many of their tasks
// may be unavailable, the cheapest victims across all workers may free no
// single worker.
func (s *Scheduler) findPreemptionByWorker(u *unit, eligible []*worker, withinGuarantee bool, now time.Time) *preemption {
	s.searchID++
	p := &preemption{}
	room := 0
	for _, w := range eligible {
		w.trial = trialRoom{searchID: s.searchID, free: w.freeFor(u)}
		w.trial.room = w.room(u, w.trial.free)
		room += w.trial.room
	}
	disrupted := map[*step]int{}
	for room < u.size {
		var best []victim
		bestCost := math.Inf(1)
		for _, w := range eligible {
			if found, cost := s.victimsOnWorker(u, w, disrupted, withinGuarantee, now); found != nil && cost < bestCost {
				best, bestCost = found, cost
			}
		}
		if best == nil {
			return nil
		}
		for _, v := range best {
			v.unit.searchID = s.searchID
			room += s.simulateStop(u, v.unit, 1)
			p.victims = append(p.victims, v.unit)
			p.cost += v.cost
			if v.unit.step.spec.LongRunning {
				disrupted[v.unit.step] += v.unit.size
			}
		}
	}
	for _, w := range eligible {
		for range min(w.trial.room, u.size-len(p.workers)) {
			p.workers = append(p.workers, w)
		}
	}
	return p
}

// victimsOnWorker finds the cheapest victims on one worker that make room for
// at least one more member of the unit, and their cost per member that then
// fits.
func (s *Scheduler) victimsOnWorker(u *unit, w *worker, disrupted map[*step]int, withinGuarantee bool, now time.Time) ([]victim, float64) {
	var found []victim
	for _, m := range w.memberList {
		v := m.unit
		if v.searchID != s.searchID && !v.stopping && v.phase == encoder.Placed && s.mayPreempt(v, withinGuarantee) {
			found = append(found, victim{v, s.preemptionCost(v, now)})
		}
	}
	slices.SortStableFunc(found, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	free, cost := w.trial.free, 0.0
	taken := found[:0]
	added := map[*step]int{}
	for _, v := range found {
		st := v.unit.step
		if !v.unit.disruptable(disrupted[st] + added[st]) {
			continue
		}
		if st.spec.LongRunning {
			added[st] += v.unit.size
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

// pickVictims takes victims, cheapest first, until the unit fits, and then
// drops those that turn out not to be needed, most expensive first.
func (s *Scheduler) pickVictims(u *unit, eligible []*worker, room int, victims []victim) *preemption {
	taken := 0
	for ; room < u.size; taken++ {
		if taken == len(victims) {
			return nil
		}
		room += s.simulateStop(u, victims[taken].unit, 1)
	}
	p := &preemption{}
	for i := taken - 1; i >= 0; i-- {
		change := s.simulateStop(u, victims[i].unit, -1)
		if room+change >= u.size {
			room += change
			continue
		}
		s.simulateStop(u, victims[i].unit, 1)
		p.victims = append(p.victims, victims[i].unit)
		p.cost += victims[i].cost
	}
	for _, w := range eligible {
		for range min(w.trial.room, u.size-len(p.workers)) {
			p.workers = append(p.workers, w)
		}
	}
	return p
}

// simulateStop frees the victim's resources in the simulation if sign is 1,
// takes them again if it is -1, and returns the change of the room for the unit
// in members.
func (s *Scheduler) simulateStop(u, victim *unit, sign int) int {
	change := 0
	need := victim.step.spec.Occupies()
	for _, m := range victim.members {
		t := &m.worker.trial
		if t.searchID != s.searchID {
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

// mayPreempt reports whether the victim may be stopped for an urgent unit.
// Long-running work may be stopped only for a unit within a guarantee. Urgent
// work may also be stopped only for such a unit, and only if it is not within a
// guarantee itself.
func (s *Scheduler) mayPreempt(v *unit, withinGuarantee bool) bool {
	if v.step.spec.LongRunning && !withinGuarantee {
		return false
	}
	if s.terms(v.step.occurrence.job).Priority > 0 {
		return true
	}
	return withinGuarantee && !v.withinGuarantee
}

// preemptionCost returns the work lost by stopping the unit, weighted by its
// priority.
func (s *Scheduler) preemptionCost(v *unit, now time.Time) float64 {
	weight := 1.0
	if s.terms(v.step.occurrence.job).Priority <= 1 {
		weight = firstPriorityWeight
	}
	return weight * v.lostWork(now)
}

// lostWork returns the work in core-seconds that is lost if the unit is stopped
// now.
func (u *unit) lostWork(now time.Time) float64 {
	need := u.step.spec.Need
	cores := float64(need.Millicores)/1000 + coresPerAccelerator*float64(need.Accelerators)
	lost := u.workedTime(now)
	if u.step.spec.LongRunning {
		lost = min(lost, maxLongRunningLoss)
	}
	if u.step.spec.Checkpointing {
		// A stop saves a checkpoint, so only the time to resume is lost.
		lost = min(lost, time.Second)
	}
	return cores * float64(u.size) * (lost.Seconds() + 0.5)
}

// applyPreemption stops the victims and keeps the freed capacity for the unit.
func (s *Scheduler) applyPreemption(u *unit, p *preemption, now time.Time) {
	u.claims = map[*worker]primrosespar.Resources{}
	s.claimants[u] = true
	u.claimUntil = now.Add(claimTime)
	need := u.step.spec.Occupies()
	for _, w := range p.workers {
		u.claims[w] = u.claims[w].Add(need)
		w.claimed = w.claimed.Add(need)
	}
	for _, v := range p.victims {
		s.stopUnit(v, primrosespar.LossPreempted, "preempted by job "+string(u.step.occurrence.job.submission.ID))
	}
}

// longRunningEstimate is the assumed remaining run time of a long-running task.
// A rack is not reserved for a gang that would wait longer than
// rackReservationHorizon for it.
const (
	longRunningEstimate    = time.Hour
	rackReservationHorizon = time.Minute
)

// reserveRack reserves the rack in which a blocked gang will fit soonest, so
// that a stream of small tasks cannot delay it forever. Only gangs that fit
// into one rack get a reservation: reserving the whole fleet would stop all
// other work.
func (s *Scheduler) reserveRack(u *unit, now time.Time) bool {
	service := s.terms(u.step.occurrence.job).Service
	if !u.step.spec.OneRack || !s.fitsEmptyRack(u, service) {
		return false
	}
	if !now.Before(u.reservedUntil) {
		u.reservedRack, u.reservedUntil = s.soonestRack(u, service, now), now.Add(rackReservationTime)
	}
	if u.reservedRack == nil {
		return false
	}
	for _, w := range u.reservedRack.workers {
		if w.reservedFor == nil {
			w.reservedFor = u
			s.reservedWorkers = append(s.reservedWorkers, w)
		}
	}
	return true
}

// soonestRack returns the rack in which the unit will fit first, or nil if none
// is expected to have room soon enough.
func (s *Scheduler) soonestRack(u *unit, service primrosespar.Service, now time.Time) *rack {
	var best *rack
	var bestAt time.Time
	for _, k := range s.pool(service).racks {
		at, ok := s.estimateFit(u, k.workers, service, now)
		if ok && at.Sub(now) < rackReservationHorizon && (best == nil || at.Before(bestAt)) {
			best, bestAt = k, at
		}
	}
	return best
}

// estimateFit estimates when the unit will fit on the workers. It returns false
// if it will not.
func (s *Scheduler) estimateFit(u *unit, workers []*worker, service primrosespar.Service, now time.Time) (time.Time, bool) {
	type ending struct {
		member *member
		at     time.Time
	}
	s.searchID++
	room := 0
	var ends []ending
	for _, w := range workers {
		if !w.eligible(u, service, now) || w.reservedFor != nil {
			continue
		}
		w.trial = trialRoom{searchID: s.searchID, free: w.freeFor(u)}
		w.trial.room = w.room(u, w.trial.free)
		room += w.trial.room
		for _, m := range w.memberList {
			ends = append(ends, ending{m, m.estimateEnd(now)})
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

// estimateEnd estimates when the member will end: from its progress if there is
// any, else from the step's estimate.
func (m *member) estimateEnd(now time.Time) time.Time {
	u := m.unit
	if u.stopping {
		return now
	}
	if u.step.spec.LongRunning {
		return now.Add(longRunningEstimate)
	}
	if m.percent > 0 && m.percent < 100 {
		elapsed := m.percentAt.Sub(u.placedAt)
		if u.run == u.restoredRun {
			elapsed = u.workedTime(m.percentAt)
		}
		return m.percentAt.Add(time.Duration(float64(elapsed) * (100 - m.percent) / m.percent))
	}
	return u.placedAt.Add(u.step.spec.Estimate)
}
