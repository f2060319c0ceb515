package scheduler

import (
	"cmp"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// Ranks in the order in which jobs are served; the priority is added. Urgent
// jobs that can no longer meet their objective still come before the rest,
// because they are small for what they are worth. Jobs that would end after
// the last time at which they are worth something come last.
const (
	rankLateUrgent = 1
	rankPlain      = 2
	rankLate       = 100
	rankLost       = 200
	// lateFactor times the objective is the last time at which a job is still
	// worth something.
	lateFactor = 3
)

// ranked is a step with units that wait, and its place in the order.
type ranked struct {
	step     *step
	terms    *primrosespar.QueueTerms
	rank     int
	deadline time.Time
	// onTime is set while the job can still meet its objective.
	onTime bool
	// open are the workers with room for single tasks of the step; they are
	// found once for all of its tasks.
	open []candidate
}

// Plan decides on everything that changed since the last call and returns
// what has to be carried out.
func (s *Scheduler) Plan(now time.Time) Changes {
	if now.Sub(s.tended) >= tendInterval {
		s.tended = now
		s.lapsed(now)
		s.tend(now)
		s.share(now)
		for _, j := range slices.Clone(s.live) {
			s.due(j, now)
		}
	}
	if s.catalog != nil {
		s.place(now)
	}
	s.orders(now)
	return s.collectChanges()
}

// place starts what fits, in order.
func (s *Scheduler) place(now time.Time) {
	s.measure()
	kept, reclaims := 0, 0
	failed := map[shape]bool{}
	for _, r := range s.ranking(now) {
		r.step.advised = r.terms.Advised
		blocked, at := s.placeStep(&r, 0, failed, now)
		// Room for all units of an urgent step is made at once: one after the other
		// would take a stop each.
		for blocked != nil && reclaims < maxReclaims && r.mayReclaim(now) && s.reclaim(blocked, &r, now) {
			reclaims++
			blocked, at = s.placeStep(&r, at+1, failed, now)
		}
		if blocked == nil {
			continue
		}
		if r.terms.Advised {
			s.ask(blocked, &r, now)
		}
		if blocked.size > 1 && kept < maxKept && s.keep(blocked, now) {
			kept++
		}
	}
}

// mayReclaim reports whether room may be made for the step by stopping other
// work. A job that is late anyway is worth less than what it would stop, but
// the guarantee of its account has to be given for some seconds.
func (r *ranked) mayReclaim(now time.Time) bool {
	return r.terms.Priority == 0 && (r.onTime || now.Sub(r.step.readySince) < reclaimTime)
}

// measure brings up to date what a plan looks at often.
func (s *Scheduler) measure() {
	for _, racks := range s.racks {
		for _, k := range racks {
			k.free, k.total = 0, 0
			for _, w := range k.workers {
				w.keptFor = nil
				k.total += w.member.Capacity.Accelerators
				k.free += w.member.Capacity.Accelerators - w.used.Accelerators
			}
		}
	}
}

// shape is what makes one unit as hard to place as another.
type shape struct {
	service primrosespar.Service
	need    primrosespar.Resources
	size    int
	oneRack bool
	label   string
	data    primrosespar.Rack
	urgent  bool
	lasting bool
}

// shape returns the shape of the unit.
func (u *unit) shape(terms *primrosespar.QueueTerms) shape {
	spec := u.step.spec
	return shape{
		terms.Service, spec.Occupies(), u.size, spec.OneRack && u.size > 1,
		spec.Label, spec.DataRack, terms.Priority == 0, spec.LongRunning,
	}
}

// ranking returns the steps with waiting units in the order in which they are
// served.
func (s *Scheduler) ranking(now time.Time) []ranked {
	var out []ranked
	for _, j := range s.live {
		terms := s.terms(j)
		for _, o := range j.occurrences {
			out = o.waiting(out, terms, now)
		}
	}
	slices.SortStableFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline))
	})
	return out
}

// waiting appends the steps of the occurrence that have units to start.
func (o *occurrence) waiting(out []ranked, terms *primrosespar.QueueTerms, now time.Time) []ranked {
	for _, st := range o.steps {
		if st.readySince.IsZero() || st.left == 0 || !st.hasWaiting(now) {
			continue
		}
		r := ranked{step: st, terms: terms, rank: terms.Priority}
		if terms.Priority > 0 {
			r.rank += rankPlain
		}
		begin := o.job.seen
		if o.job.sub.Repeat.Count > 0 {
			begin = o.due
		}
		objective := time.Duration(terms.Slack*float64(o.chain(0))) + terms.Target
		r.deadline = begin.Add(objective)
		finish := now.Add(o.chain(st.index))
		r.onTime = !finish.After(r.deadline)
		switch {
		case st.spec.LongRunning:
			// It earns as long as it is at work, however late it started.
			r.onTime = true
		case finish.After(begin.Add(lateFactor * objective)):
			r.rank += rankLost
		case !r.onTime && terms.Priority == 0:
			r.rank = rankLateUrgent
		case !r.onTime:
			r.rank += rankLate
		}
		out = append(out, r)
	}
	return out
}

// hasWaiting reports whether a unit of the step may start.
func (st *step) hasWaiting(now time.Time) bool {
	for _, u := range st.units {
		if u.waiting(now) {
			return true
		}
	}
	return false
}

// waiting reports whether the unit may start now.
func (u *unit) waiting(now time.Time) bool {
	return u.phase == encoder.Waiting && len(u.members) == 0 && !now.Before(u.notBefore)
}

// chain returns the longest chain of estimated work from the step on.
func (o *occurrence) chain(from int) time.Duration {
	longest := make([]time.Duration, len(o.steps))
	var total time.Duration
	for i := from; i < len(o.steps); i++ {
		spec := o.steps[i].spec
		longest[i] = spec.Estimate
		for _, before := range spec.After {
			if before >= from && before < i {
				longest[i] = max(longest[i], longest[before]+spec.Estimate)
			}
		}
		total = max(total, longest[i])
	}
	return total
}

// placeStep starts the waiting units of a step from an index on and returns the
// first that does not fit, with its index. Units of a shape that failed before in this plan are not tried
// unless they may go where the others may not.
func (s *Scheduler) placeStep(r *ranked, from int, failed map[shape]bool, now time.Time) (*unit, int) {
	r.open = nil
	for i := from; i < len(r.step.units); i++ {
		u := r.step.units[i]
		if !u.waiting(now) {
			continue
		}
		form := u.shape(r.terms)
		if u.claims == nil && (failed[form] || u.blockedAt == s.freed && now.Before(u.retryAt)) {
			return u, i
		}
		var where []*worker
		if r.terms.Priority == 0 || s.leavesReserve(u, r) {
			where = s.fit(u, r, now)
		}
		if where == nil {
			if len(u.avoid) == 0 && u.step.spec.PerWorker == 0 && !u.step.advised && now.Sub(u.step.readySince) > settledWait {
				failed[form] = true
			}
			if now.Sub(u.workedAt) > avoidTime {
				u.avoid = nil
			}
			u.blockedAt, u.retryAt = s.freed, now.Add(blockedRetry)
			return u, i
		}
		s.start(u, r, where, now)
	}
	return nil, 0
}

// leavesReserve reports whether enough accelerators stay free for the
// guarantees, so that a burst of urgent work does not have to stop what runs.
// The reserve does not shrink with the urgent work that runs: where there is
// some, more is to come. A service that is mostly idle, and a unit that is too
// large to ever leave the reserve, are not held back.
func (s *Scheduler) leavesReserve(u *unit, r *ranked) bool {
	free, total := 0, 0
	for _, k := range s.racks[r.terms.Service] {
		free += k.free
		total += k.total
	}
	need := u.size * u.step.spec.Need.Accelerators
	reserve := int(min(s.opts.Reserve*float64(s.guaranteed()), reserveMost*float64(total)))
	switch {
	case free-need >= reserve || need > total-reserve:
		return true
	case u.step.spec.LongRunning:
		// A task that has to go on is started while there is room for it twice
		// over; it gives way if a guarantee is claimed.
		return 2*need <= free
	default:
		return 2*need <= free && float64(total-free) < idleShare*float64(total)
	}
}

// guaranteed returns the accelerators that all accounts are guaranteed.
func (s *Scheduler) guaranteed() int {
	n := 0
	for i := range s.catalog.Contracts {
		n += s.catalog.Contracts[i].Reserved
	}
	return n
}

// start binds the unit to workers; the order leaves once that is stored.
func (s *Scheduler) start(u *unit, r *ranked, where []*worker, now time.Time) {
	j := u.step.occ.job
	s.dropClaim(u)
	u.entitled = r.terms.Priority == 0 && s.entitled(u)
	u.phase = encoder.Placed
	u.run++
	u.placedAt, u.workedAt, u.brokenAt, u.leftAt = now, now, time.Time{}, time.Time{}
	for i, w := range where {
		if w.rack != nil {
			w.rack.free -= u.step.spec.Need.Accelerators
		}
		s.attach(&member{unit: u, index: u.first + i, run: u.run, worker: w})
	}
	j.begun = true
	if j.state == primrosespar.JobQueued {
		j.state = primrosespar.JobActive
	}
	s.touch(j)
	s.log("run_placed", j, where[0], u.run, "")
}

// entitled reports whether the unit runs within the guarantee of its account.
func (s *Scheduler) entitled(u *unit) bool {
	account := u.step.occ.job.sub.Account
	reserved := s.catalog.Reserved(account)
	if reserved == 0 {
		return false
	}
	inUse := u.size*u.step.spec.Need.Accelerators + s.urgent[account]
	return inUse <= reserved
}

// tend watches over the runs: it stops the rest of a broken gang, moves runs
// that stand still, and ends claims whose unit may not have them any more.
func (s *Scheduler) tend(now time.Time) {
	for u := range s.claimants {
		if now.After(u.claimEnd) {
			s.dropClaim(u)
		}
	}
	for _, j := range s.live {
		if j.running == 0 {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				for _, u := range st.units {
					s.tendUnit(u, now)
				}
			}
		}
	}
}

// tendUnit watches over one unit.
func (s *Scheduler) tendUnit(u *unit, now time.Time) {
	if u.phase != encoder.Placed || u.stopping || len(u.members) == 0 {
		return
	}
	if !u.brokenAt.IsZero() && now.Sub(u.brokenAt) > stragglerDelay {
		s.stopUnit(u, "another member ended")
		return
	}
	if u.leaving() && s.mayMove(u) {
		s.stopUnit(u, "its worker is leaving")
		return
	}
	if s.scattered(u, now) {
		for _, m := range u.members {
			if m.phase != running {
				u.avoidWorker(m.worker)
			}
		}
		s.stopUnit(u, "its members did not gather")
		return
	}
	if u.stalled(now) {
		for _, m := range u.members {
			if m.standing(now) {
				u.avoidWorker(m.worker)
				s.quarantine(m.worker, now, "a run stands still")
			}
		}
		s.stopUnit(u, "it stands still")
	}
}

// scattered reports whether members of a gang have waited for the others so
// long that their workers are about to give them up.
func (s *Scheduler) scattered(u *unit, now time.Time) bool {
	gather := time.Duration(gatherShare * float64(s.opts.GangTimeout))
	if u.size < 2 || u.leftAt.IsZero() || now.Sub(u.leftAt) < gather {
		return false
	}
	for _, m := range u.members {
		if m.phase != running {
			return true
		}
	}
	return false
}

// stalled reports whether all members run at workers that answer and none has
// made progress for a while.
func (u *unit) stalled(now time.Time) bool {
	if u.step.spec.LongRunning || len(u.members) < u.size {
		return false
	}
	for _, m := range u.members {
		if m.phase != running || m.worker.suspect || m.percent >= 100 {
			return false
		}
	}
	for _, m := range u.members {
		if m.standing(now) {
			return true
		}
	}
	return false
}

// orders collects the starts and stops that are due.
func (s *Scheduler) orders(now time.Time) {
	for _, w := range s.roster {
		s.workerOrders(w, now)
	}
	for _, w := range s.workers {
		if !w.present {
			s.workerOrders(w, now)
		}
	}
}

// workerOrders collects the orders for one worker.
func (s *Scheduler) workerOrders(w *worker, now time.Time) {
	if len(w.list) == 0 || !w.looked && w.born.IsZero() {
		return
	}
	for i := len(w.list) - 1; i >= 0; i-- {
		m := w.list[i]
		if m.inFlight || now.Before(m.retryAt) {
			continue
		}
		switch {
		case m.stopping && m.phase == placed && !m.unanswered && m.retryAt.IsZero() && !m.stopped:
			// The start was never sent.
			s.ended(m, "", "", now)
		case m.stopping && !m.stopped:
			m.inFlight = true
			s.stops = append(s.stops, m)
		case !m.stopping && (m.phase == placed || m.phase == sent && !w.suspect):
			// A repetition carries a lease, so that a worker that does not answer
			// would never be given up.
			m.inFlight = true
			m.phase = sent
			s.starts = append(s.starts, m)
		}
	}
}
