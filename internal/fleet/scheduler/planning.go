package scheduler

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/ranker"
)

// rankedStep is a step with waiting units and its position in the order.
type rankedStep struct {
	step     *step
	terms    *primrosespar.QueueTerms
	position ranker.Position
	// singleTaskWorkers caches the workers with room for single tasks of the
	// step.
	singleTaskWorkers []candidate
}

// Plan decides on everything that changed since the last call and returns what
// the caller has to carry out.
func (s *Scheduler) Plan(now time.Time) Changes {
	s.updateClosedPlaces()
	s.updateWarming(now)
	if s.firstPlanAt.IsZero() {
		s.firstPlanAt = now
	}
	if now.Sub(s.checkedAt) >= checkInterval {
		s.checkedAt = now
		s.expireLeases(now)
		s.checkRuns(now)
		s.adjustThrottles(now)
		s.reassess(now)
		if s.catalog != nil {
			s.countUse(now)
		}
		for _, j := range slices.Clone(s.liveJobs) {
			s.createDueOccurrences(j, now)
		}
	}
	if s.catalog != nil {
		s.placeWaiting(now)
	}
	s.collectOrders(now)
	return s.collectChanges()
}

// placeWaiting starts the waiting units that fit, in order of their position.
func (s *Scheduler) placeWaiting(now time.Time) {
	s.clearReservations()
	s.failedReclaims = map[reclaimSearch]bool{}
	clear(s.held)
	reservations, reclaims, holds := 0, 0, 0
	blockedSizes := map[blockedShape]int{}
	for _, r := range s.rankSteps(now) {
		r.step.advised, r.step.regions = r.terms.Advised, s.allowedRegions(r.step.occurrence.job)
		blocked, index := s.placeStep(&r, 0, blockedSizes, now)
		// Room for all units of an urgent step is made in one plan. Making it
		// for one unit after the other would take the time of a stop for each.
		for blocked != nil && reclaims < maxReclaims && r.mayReclaim(now) && s.reclaim(blocked, &r, now) {
			reclaims++
			blocked, index = s.placeStep(&r, index+1, blockedSizes, now)
		}
		if blocked == nil {
			continue
		}
		if r.terms.Advised {
			s.requestAdvice(blocked, &r, now)
		}
		if s.hold(blocked, &r, holds) {
			holds++
		}
		if blocked.size > 1 && reservations < maxRackReservations && s.reserveRack(blocked, now) {
			reservations++
		}
	}
}

// mayReclaim reports whether other work may be stopped for the step. A job that
// is late has less value than the work that it would stop, but the guarantee of
// its account still has to be provided for a few seconds.
func (r *rankedStep) mayReclaim(now time.Time) bool {
	return r.terms.Priority == 0 && (r.position.OnTime || now.Sub(r.step.readySince) < reclaimTime)
}

// clearReservations clears the rack reservations of the last plan.
func (s *Scheduler) clearReservations() {
	for _, w := range s.reservedWorkers {
		w.reservedFor = nil
	}
	s.reservedWorkers = s.reservedWorkers[:0]
}

// shape holds the properties that determine where a unit fits.
type shape struct {
	service     primrosespar.Service
	need        primrosespar.Resources
	size        int
	oneRack     bool
	label       string
	dataRack    primrosespar.Rack
	urgent      bool
	longRunning bool
}

// blockedShape holds the properties that determine whether a unit of at least
// some size fits, beside its size.
type blockedShape struct {
	shape
	// fitsRack, dataRackOnly and oneRackOnly say which racks the unit may use
	// now.
	fitsRack     bool
	dataRackOnly bool
	oneRackOnly  bool
	// reserve is what the unit has to leave free.
	reserve int
}

// blockedShape returns the properties that determine whether a unit like u fits
// now.
func (s *Scheduler) blockedShape(u *unit, r *rankedStep, now time.Time) blockedShape {
	waited := now.Sub(u.step.readySince)
	b := blockedShape{shape: u.shape(r.terms), reserve: s.reserve(u, r)}
	// Sizes are compared by the caller: what blocks a unit blocks larger ones.
	b.size = 0
	b.dataRackOnly = b.dataRack != "" && waited < dataRackWait
	if b.oneRack {
		b.fitsRack = s.fitsEmptyRack(u, r.terms.Service)
		b.oneRackOnly = waited < r.oneRackWait()
	}
	return b
}

// oneRackWait returns how long a gang of the step that prefers one rack waits
// for it.
func (r *rankedStep) oneRackWait() time.Duration {
	if r.terms.Priority == 0 {
		return urgentOneRackWait
	}
	return oneRackWait
}

// shape returns the shape of the unit.
func (u *unit) shape(terms *primrosespar.QueueTerms) shape {
	spec := u.step.spec
	return shape{
		terms.Service, spec.Occupies(), u.size, spec.OneRack && u.size > 1,
		spec.Label, spec.DataRack, terms.Priority == 0, spec.LongRunning,
	}
}

// rankSteps returns the steps with waiting units in order.
func (s *Scheduler) rankSteps(now time.Time) []rankedStep {
	ranked := s.ranked[:0]
	for _, j := range s.liveJobs {
		if j.waitingUnits == 0 {
			continue
		}
		terms := s.terms(j)
		for _, o := range j.occurrences {
			ranked = s.appendWaiting(ranked, o, terms, now)
		}
	}
	slices.SortStableFunc(ranked, func(a, b rankedStep) int {
		return a.position.Compare(b.position)
	})
	s.ranked = ranked
	return ranked
}

// appendWaiting appends the ready steps of the occurrence that have units to
// start.
func (s *Scheduler) appendWaiting(ranked []rankedStep, o *occurrence, terms *primrosespar.QueueTerms, now time.Time) []rankedStep {
	for _, st := range o.steps {
		if st.readySince.IsZero() || st.waitingUnits == 0 || !st.hasWaiting(now) {
			continue
		}
		ranked = append(ranked, rankedStep{step: st, terms: terms, position: s.ranker.Rank(s.work(st, terms), now)})
	}
	return ranked
}

// hasWaiting reports whether a unit of the step may start now.
func (st *step) hasWaiting(now time.Time) bool {
	for i, u := st.nextWaiting(0); i < st.unitCount(); i, u = st.nextWaiting(i + 1) {
		if u == nil || u.waiting(now) {
			return true
		}
	}
	return false
}

// waiting reports whether the unit waits for workers and may start now.
func (u *unit) waiting(now time.Time) bool {
	return u.phase == encoder.Waiting && len(u.members) == 0 && u.strays == 0 && !now.Before(u.notBefore)
}

// placeStep starts the waiting units of a step, beginning at index from, and
// returns the first one that does not fit, with its index. A unit without
// claims is not tried if a smaller one of its shape did not fit earlier in this
// plan, or if no capacity was freed since it last did not fit and its retry time
// has not come.
func (s *Scheduler) placeStep(r *rankedStep, from int, blockedSizes map[blockedShape]int, now time.Time) (*unit, int) {
	r.singleTaskWorkers = nil
	for i, _ := r.step.nextWaiting(from); i < r.step.unitCount(); i, _ = r.step.nextWaiting(i + 1) {
		u := r.step.at(i)
		if !u.waiting(now) {
			continue
		}
		if u.claims == nil && u.blockedVersion == s.capacityVersion && now.Before(u.retryAt) {
			return u, i
		}
		blocked := s.blockedShape(u, r, now)
		if size, known := blockedSizes[blocked]; known && u.claims == nil && u.size >= size {
			return u, i
		}
		var workers []*worker
		if s.leavesReserve(u, r) {
			workers = s.findWorkers(u, r, now)
		}
		if workers == nil {
			if u.unrestricted() && u.claims == nil {
				blockedSizes[blocked] = u.size
			}
			if now.Sub(u.progressAt) > avoidTime {
				u.avoid = nil
			}
			u.blockedVersion, u.retryAt = s.capacityVersion, now.Add(blockedRetryDelay)
			return u, i
		}
		s.start(u, r, workers, now)
	}
	return nil, 0
}

// start assigns the unit to workers. The start orders are sent once the record
// of the assignment is stored.
func (s *Scheduler) start(u *unit, r *rankedStep, workers []*worker, now time.Time) {
	j := u.step.occurrence.job
	s.dropClaim(u)
	u.withinGuarantee = r.terms.Priority == 0 && s.fitsGuarantee(u)
	u.setPhase(encoder.Placed)
	u.run++
	u.placedAt, u.progressAt, u.firstEndAt, u.firstSentAt = now, now, time.Time{}, time.Time{}
	for i, w := range workers {
		s.attach(&member{unit: u, index: u.firstIndex + i, run: u.run, worker: w, lifetime: markLifetime(w.startedAt)})
		w.warming.countStart(now)
		if u.suspected() {
			w.probationUntil = now.Add(probationTime)
		}
	}
	if j.state == primrosespar.JobQueued {
		j.state = primrosespar.JobActive
	}
	s.markDirty(j)
	s.logEvent("run_placed", j, workers[0], u.run, "")
}

// fitsGuarantee reports whether the unit fits into the guarantee of its
// account, beside the account's running urgent work.
func (s *Scheduler) fitsGuarantee(u *unit) bool {
	account := u.step.occurrence.job.submission.Account
	reserved := s.catalog.Reserved(account)
	if reserved == 0 {
		return false
	}
	inUse := u.size*u.step.spec.Need.Accelerators + s.urgentAccelerators[account]
	return inUse <= reserved
}

// checkRuns drops expired claims and checks every unit that is placed.
func (s *Scheduler) checkRuns(now time.Time) {
	for u := range s.claimants {
		if now.After(u.claimUntil) {
			s.dropClaim(u)
		}
	}
	for _, j := range s.liveJobs {
		if j.memberCount == 0 {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if st.memberCount == 0 {
					continue
				}
				for _, u := range st.units {
					if u != nil {
						s.checkUnit(u, now)
					}
				}
			}
		}
	}
}

// checkUnit stops the unit if a member of its gang ended, if it should move off
// a worker that is leaving, if its gang did not gather in time or if it
// stalled.
func (s *Scheduler) checkUnit(u *unit, now time.Time) {
	if u.phase != encoder.Placed || u.stopping || len(u.members) == 0 {
		return
	}
	if !u.firstEndAt.IsZero() && now.Sub(u.firstEndAt) > stragglerDelay {
		s.stopUnit(u, primrosespar.LossGangPartner, "another member of the gang ended")
		return
	}
	if u.leaving() && s.shouldMove(u) {
		s.stopUnit(u, primrosespar.LossMoved, "worker is draining or cordoned")
		return
	}
	if s.endsTooLate(u, now) {
		s.stopUnit(u, primrosespar.LossMoved, "worker leaves before the run can end")
		return
	}
	if s.gatherTimedOut(u, now) {
		for _, m := range u.members {
			if m.phase != running {
				u.avoidWorker(m.worker)
			}
		}
		s.stopUnit(u, primrosespar.LossGangGather, "members of the gang did not start in time")
		return
	}
	if u.stalled(now) {
		s.recordStall(u, now)
		s.stopUnit(u, primrosespar.LossStalled, "run made no progress")
	}
}

// gatherTimedOut reports whether members of a gang have waited for the others
// for so long that their workers are about to give up.
func (s *Scheduler) gatherTimedOut(u *unit, now time.Time) bool {
	limit := time.Duration(gatherShare * float64(s.opts.GangTimeout))
	if u.size < 2 || u.firstSentAt.IsZero() || now.Sub(u.firstSentAt) < limit {
		return false
	}
	for _, m := range u.members {
		if m.phase != running {
			return true
		}
	}
	return false
}

// stalled reports whether all members are running on responsive workers and at
// least one has made no progress for a while.
func (u *unit) stalled(now time.Time) bool {
	if u.step.spec.LongRunning || len(u.members) < u.size {
		return false
	}
	for _, m := range u.members {
		if m.phase != running || m.worker.unresponsive || m.percent >= 100 {
			return false
		}
	}
	for _, m := range u.members {
		if m.stalled(now) {
			return true
		}
	}
	return false
}

// collectOrders collects the start and stop orders that are due.
func (s *Scheduler) collectOrders(now time.Time) {
	for _, w := range s.announced {
		s.collectWorkerOrders(w, now)
	}
	if len(s.workers) == len(s.announced) {
		return
	}
	for _, w := range s.workers {
		if !w.announced {
			s.collectWorkerOrders(w, now)
		}
	}
}

// needsOrder reports whether an order for the member is due, in flight or to be
// repeated.
func (m *member) needsOrder() bool {
	if m.stopping {
		return !m.stopped
	}
	return m.phase == placed || m.phase == sent
}

// collectWorkerOrders collects the orders that are due for one worker.
func (s *Scheduler) collectWorkerOrders(w *worker, now time.Time) {
	if !w.ordersDue || !w.polled && w.startedAt.IsZero() {
		return
	}
	w.ordersDue = false
	for i := len(w.memberList) - 1; i >= 0; i-- {
		m := w.memberList[i]
		if !m.needsOrder() {
			continue
		}
		w.ordersDue = true
		if m.inFlight || now.Before(m.retryAt) {
			continue
		}
		switch {
		case m.stopping && (m.phase == placed || m.phase == sent && !m.everSent) && !m.unanswered && m.retryAt.IsZero() && !m.stopped:
			// The start order was never sent.
			s.endMember(m, "", "", now)
		case m.stopping && !m.stopped:
			m.inFlight = true
			s.pendingStops = append(s.pendingStops, m)
		case !m.stopping && (m.phase == placed || m.phase == sent && !w.unresponsive):
			// Starts are not repeated on unresponsive workers: each carries a
			// lease, so the lease would never expire and the worker would never
			// be given up.
			m.inFlight = true
			m.phase = sent
			s.pendingStarts = append(s.pendingStarts, m)
		}
	}
}
