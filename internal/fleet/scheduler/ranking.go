package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/ranker"
	"primrosespar.example/primrosespar/internal/fleet/reserver"
)

// work returns what the position of a waiting step depends on.
func (s *Scheduler) work(st *step, terms *primrosespar.QueueTerms) ranker.Work {
	o, account := st.occurrence, st.occurrence.job.submission.Account
	since := o.job.arrivedMonotonic
	if o.job.submission.Repeat.Count > 0 {
		since = o.due
	}
	w := ranker.Work{
		Priority: terms.Priority, Since: since, LongRunning: st.spec.LongRunning,
		Objective: time.Duration(terms.Slack*float64(o.criticalPaths[0])) + terms.Target,
		Remaining: o.criticalPaths[st.index], Room: st.waitingRoom(),
		AccountUse: o.job.accountUse, QueueUse: o.job.queueUse,
	}
	if terms.Priority == 0 {
		need := st.unitSize() * st.spec.Need.Accelerators
		w.Guaranteed = need+s.urgentAccelerators[account] <= s.catalog.Reserved(account)
	}
	return w
}

// waitingRoom returns the core-seconds that the waiting units of the step will
// hold.
func (st *step) waitingRoom() float64 {
	need := st.spec.Occupies()
	cores := float64(need.Millicores)/1000 + coresPerAccelerator*float64(need.Accelerators)
	return cores * float64(st.waitingTasks()) * st.spec.Estimate.Seconds()
}

// countUse updates what the accounts and queues use relative to what they are
// entitled to: the guarantee of an account, or an equal share if that is more.
func (s *Scheduler) countUse(now time.Time) {
	urgent := 0
	for _, use := range s.urgentAccelerators {
		urgent += use
	}
	s.reserver.Observe(urgent, now)
	clear(s.accountUse)
	clear(s.queueUse)
	for _, j := range s.liveJobs {
		use := 0
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				use += st.memberCount * st.spec.Need.Accelerators
			}
		}
		s.accountUse[j.submission.Account] += float64(use)
		s.queueUse[j.submission.Queue] += float64(use)
	}
	total := 0
	for _, p := range s.pools {
		total += p.total
	}
	for account, use := range s.accountUse {
		share := float64(total) / float64(len(s.accountUse))
		s.accountUse[account] = use / max(1, share, float64(s.catalog.Reserved(account)))
	}
	for queue, use := range s.queueUse {
		s.queueUse[queue] = use / max(1, float64(total)/float64(len(s.queueUse)))
	}
	for _, j := range s.liveJobs {
		j.accountUse, j.queueUse = s.accountUse[j.submission.Account], s.queueUse[j.submission.Queue]
	}
}

// hold keeps the accelerators that a blocked gang waits for from the work after
// it in the order, if the gang is due and there are few others. Otherwise smaller
// work would take the room piece by piece.
func (s *Scheduler) hold(u *unit, r *rankedStep, holds int) bool {
	need := u.size * u.step.spec.Need.Accelerators
	if r.terms.Priority == 0 || u.size == 1 || !r.position.Due || holds >= maxHolds {
		return false
	}
	if float64(need) > maxHeldShare*float64(s.pool(r.terms.Service).total) {
		return false
	}
	s.held[r.terms.Service] += need
	return true
}

// leavesReserve reports whether the unit may start without using what is kept
// free for the guarantees. Urgent units may use it.
func (s *Scheduler) leavesReserve(u *unit, r *rankedStep) bool {
	return r.terms.Priority == 0 || s.reserver.Admits(u.reserverWork(r), s.reserverRoom(r))
}

// reserve returns the accelerators that the unit has to leave free.
func (s *Scheduler) reserve(u *unit, r *rankedStep) int {
	if r.terms.Priority == 0 {
		return 0
	}
	return s.reserver.Reserve(u.reserverWork(r), s.reserverRoom(r))
}

// reserverWork returns what the reserve depends on of the unit.
func (u *unit) reserverWork(r *rankedStep) reserver.Work {
	spec := u.step.spec
	return reserver.Work{
		Need: u.size * spec.Need.Accelerators, Due: r.position.Due,
		Checkpointing: spec.Checkpointing, LongRunning: spec.LongRunning,
	}
}

// reserverRoom returns the room of the service that the step runs on.
func (s *Scheduler) reserverRoom(r *rankedStep) reserver.Room {
	p := s.pool(r.terms.Service)
	return reserver.Room{
		Total: p.total, Free: p.index.Free(), Closed: p.closed, Guaranteed: s.guaranteed, Held: s.held[r.terms.Service],
	}
}
