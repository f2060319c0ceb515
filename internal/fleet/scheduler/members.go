package scheduler

import (
	"fmt"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/assessor"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/pacer"
)

// memberPhase is the phase of a member of a run.
type memberPhase uint8

const (
	// placed members wait for their record to be stored.
	placed memberPhase = iota
	// sent members have a start order that is not answered yet.
	sent
	// running members are on their worker.
	running
	// restored members were placed by an earlier holder.
	restored
)

// member is one task of a unit's current run on its worker.
type member struct {
	unit   *unit
	index  int
	run    uint64
	worker *worker
	phase  memberPhase
	// lifetime is the lifetime of the worker that the member was placed in.
	lifetime lifetimeMark
	// inFlight is set while an order for the member is in flight. unanswered is
	// set when a start order got no answer and may still be carried out.
	inFlight   bool
	unanswered bool
	// everSent is set once a start order was sent, whatever its result.
	// unconfirmed is set from then on until a report lists the run: a lifetime of
	// the worker that this holder does not know of may have taken the order.
	everSent    bool
	unconfirmed bool
	// lostStartAt is when a start order last got no answer.
	lostStartAt time.Time
	stopping    bool
	stopped     bool
	retryAt     time.Time
	// answeredAt is when the last order was answered, or when a report first
	// listed the run. A report that was requested later and does not list it
	// proves that it is not on the worker.
	answeredAt time.Time
	percent    float64
	percentAt  time.Time
	// runningAt is when the run was first known to be on the worker.
	runningAt time.Time
	// resumed is set if the run did not begin from nothing under this holder.
	resumed bool
	pace    pacer.Pacer
	// seenAt is when the worker last listed the run.
	seenAt time.Time
	// tailLatency is the tail latency that the run last reported.
	tailLatency time.Duration
	// throttlePercent is the percentage of full speed at which the run works.
	// throttleInFlight is set while an order to change it is in flight.
	throttlePercent  int
	throttleInFlight bool
	throttledAt      time.Time
}

// mayRun reports whether the member may be on its worker. A start order that
// waits for its record to be stored was not sent, so a lease that expires
// meanwhile says nothing about it.
func (m *member) mayRun() bool {
	return m.everSent || m.unanswered || m.phase == running || m.phase == restored
}

// mayStartLate reports whether a start order of the member may still be carried
// out, by whichever lifetime of its worker.
func (m *member) mayStartLate(now time.Time) bool {
	return m.unanswered || m.inFlight || !m.lostStartAt.IsZero() && now.Sub(m.lostStartAt) < lateOrderTime
}

// task returns the name of the member's task.
func (m *member) task() primrosespar.TaskName { return m.unit.task(m.index - m.unit.firstIndex) }

// task returns the name of the unit's task with the index.
func (u *unit) task(index int) primrosespar.TaskName {
	o := u.step.occurrence
	return primrosespar.TaskName{Job: o.job.submission.ID, Occurrence: o.index, Step: u.step.index, Index: u.firstIndex + index}
}

// order returns the start or stop order for the member.
func (m *member) order() Order {
	return Order{
		Worker:     m.worker.info.Worker,
		Run:        primrosespar.Run{Task: m.task(), Number: m.run},
		Spec:       m.unit.step.occurrence.job.submission.Spec,
		Checkpoint: m.unit.checkpoint,
		Ticket:     m.unit.step.tickets[m.worker.info.Worker].text,
		Gang:       m.unit.step.spec.Gang,
	}
}

// attach adds a member to its unit and worker and accounts for its resources.
func (s *Scheduler) attach(m *member) {
	m.unit.members = append(m.unit.members, m)
	m.worker.members[primrosespar.Run{Task: m.task(), Number: m.run}] = m
	m.worker.memberList = append(m.worker.memberList, m)
	m.worker.used = m.worker.used.Add(m.unit.step.spec.Occupies())
	m.worker.ordersDue = true
	m.worker.reindex()
	m.unit.step.memberCount++
	m.unit.step.occurrence.job.memberCount++
	m.unit.touch()
	s.countUrgentAccelerators(m, 1)
	s.countFillerRuns(m, 1)
}

// detach removes a member from its unit and worker and frees its resources.
func (s *Scheduler) detach(m *member) {
	delete(m.worker.members, primrosespar.Run{Task: m.task(), Number: m.run})
	m.worker.memberList = removeMember(m.worker.memberList, m)
	m.worker.used = m.worker.used.Sub(m.unit.step.spec.Occupies())
	m.worker.reindex()
	m.unit.step.memberCount--
	m.unit.step.occurrence.job.memberCount--
	m.unit.touch()
	m.unit.members = removeMember(m.unit.members, m)
	s.countUrgentAccelerators(m, -1)
	s.countFillerRuns(m, -1)
	s.capacityVersion++
}

// removeMember removes the member from the list.
func removeMember(list []*member, m *member) []*member {
	if i := slices.Index(list, m); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// countFillerRuns updates the number of runs of filler tasks.
func (s *Scheduler) countFillerRuns(m *member, delta int) {
	if m.unit.step.spec.Filler {
		s.fillerRuns += delta
	}
}

// countUrgentAccelerators updates the accelerators that urgent work of the
// member's account uses.
func (s *Scheduler) countUrgentAccelerators(m *member, delta int) {
	j := m.unit.step.occurrence.job
	if s.catalog != nil && s.terms(j).Priority == 0 {
		s.urgentAccelerators[j.submission.Account] += delta * m.unit.step.spec.Need.Accelerators
	}
}

// stopUnit stops all members of the current run. The cause is that of the work
// which is lost with it; the first one counts.
func (s *Scheduler) stopUnit(u *unit, cause primrosespar.LossCause, reason string) {
	if len(u.members) == 0 {
		return
	}
	if !u.stopping {
		u.stopCause = cause
	}
	u.stopping = true
	for _, m := range append([]*member(nil), u.members...) {
		s.stopMember(m)
	}
	s.logEvent("run_stopped", u.step.occurrence.job, u.firstWorker(), u.run, reason)
}

// runningMembers returns the number of members that are on their workers.
func (u *unit) runningMembers() int {
	n := 0
	for _, m := range u.members {
		if m.phase == running {
			n++
		}
	}
	return n
}

// firstWorker returns the worker of the first member, for the log.
func (u *unit) firstWorker() *worker {
	if len(u.members) == 0 {
		return nil
	}
	return u.members[0].worker
}

// stopMember marks the member to be stopped; the next plan sends the order.
func (s *Scheduler) stopMember(m *member) {
	if !m.stopping {
		m.stopping = true
		if m.inFlight {
			s.withdrawals = append(s.withdrawals, Order{Worker: m.worker.info.Worker, Run: primrosespar.Run{Task: m.task(), Number: m.run}})
		}
		m.worker.ordersDue = true
		m.retryAt = time.Time{}
	}
}

// HandleStartResult handles the result of a start order. CodeOK means that the
// run is on the worker, CodeWorkerLost that the order got no answer.
func (s *Scheduler) HandleStartResult(o Order, code primrosespar.Code, now time.Time) {
	m := s.findMember(o)
	if m == nil {
		return
	}
	m.inFlight = false
	if code == primrosespar.CodeWorkerLost {
		m.lostStartAt = now
	}
	if m.phase == running {
		// A report has listed the run in the meantime, so only a report can end
		// it.
		m.answeredAt = now
		return
	}
	switch code {
	case primrosespar.CodeOK, primrosespar.CodeStaleAttempt:
		// A stale attempt was on the worker before. The next report shows its
		// state.
		m.answeredAt = now
		m.markRunning(now)
		if code == primrosespar.CodeOK {
			m.unit.step.occurrence.job.started = true
		}
	case primrosespar.CodeWorkerLost, primrosespar.CodeWorkerLate:
		if code == primrosespar.CodeWorkerLost {
			m.unanswered = true
			s.observeOutcome(m.worker, assessor.Unanswered, 1, now)
		}
		m.retryAt = now.Add(orderRetryDelay)
	default:
		s.handleRefusal(m, code, now)
	}
}

// markRunning records that the run is on its worker.
func (m *member) markRunning(now time.Time) {
	m.throttlePercent = fullPercent
	m.resumed = m.phase == restored || m.unit.checkpoint != ""
	if m.phase == restored {
		// An earlier holder may have throttled it.
		m.throttlePercent = unknownThrottle
	}
	m.phase, m.unanswered = running, false
	m.percentAt, m.runningAt = now, now
	m.pace = pacer.New(m.unit.step.spec.Estimate, now)
	m.unit.gatheredAt = now
	if m.unit.runningMembers() == m.unit.size {
		m.unit.gatheredRun = m.run
	}
}

// stalled reports whether the member was observed for a while without progress.
// Time in which its worker did not respond does not count as observed.
func (m *member) stalled(now time.Time) bool {
	if m.unit.step.spec.Filler && m.throttlePercent < fullPercent {
		return false
	}
	return m.pace.Stalled(m.unit.gatheredAt, now, m.unit.stalls-1)
}

// handleRefusal handles a start order that was refused.
func (s *Scheduler) handleRefusal(m *member, code primrosespar.Code, now time.Time) {
	s.logEvent("start_refused", m.unit.step.occurrence.job, m.worker, m.run, code.String())
	w := m.worker
	if code == primrosespar.CodeWorkerUnhealthy {
		s.observeOutcome(w, assessor.Refused, 1, now)
		s.quarantine(w, now, "worker refused a start as unhealthy")
	}
	if code == primrosespar.CodeForbidden {
		delete(m.unit.step.tickets, w.info.Worker)
	}
	m.unit.notBefore = now.Add(refusalRetryDelay)
	if m.unanswered {
		// An earlier attempt may still be carried out. A stop prevents that.
		s.stopMember(m)
	} else {
		s.endMember(m, "", "", now)
	}
	if len(m.unit.members) > 0 {
		s.stopUnit(m.unit, primrosespar.LossGangGather, "start of a gang member was refused")
	}
}

// HandleStopResult handles the result of a stop order.
func (s *Scheduler) HandleStopResult(o Order, code primrosespar.Code, now time.Time) {
	m := s.findMember(o)
	if m == nil {
		return
	}
	m.inFlight = false
	if code == primrosespar.CodeOK || code == primrosespar.CodeStaleAttempt {
		m.stopped, m.answeredAt, m.unanswered = true, now, false
		return
	}
	m.retryAt = now.Add(orderRetryDelay)
}

// findMember returns the member that an order is for, or nil.
func (s *Scheduler) findMember(o Order) *member {
	w := s.workers[o.Worker]
	if w == nil {
		return nil
	}
	return w.members[o.Run]
}

// endMember records that a member's run is over. An empty end means that the
// run never started or was lost with its worker.
func (s *Scheduler) endMember(m *member, end primrosespar.RunEnd, checkpoint string, now time.Time) {
	u := m.unit
	s.detach(m)
	s.markDirty(u.step.occurrence.job)
	u.setCheckpoint(checkpoint, now)
	s.recordLoss(m, end, now)
	if u.phase == encoder.Placed && m.run == u.run {
		s.recordEnd(u, m, end, now)
	}
	if len(u.members) > 0 || u.phase != encoder.Placed {
		return
	}
	s.requeue(u, now)
}

// recordEnd applies the end of a member to the unit's current run.
func (s *Scheduler) recordEnd(u *unit, m *member, end primrosespar.RunEnd, now time.Time) {
	j := u.step.occurrence.job
	switch end {
	case primrosespar.EndDone:
		m.worker.clearFailures()
		if !u.step.spec.LongRunning {
			s.completeUnit(u, now)
			return
		}
	case primrosespar.EndFailed:
		u.countFailure(m.run)
		u.avoidWorker(m.worker)
		s.recordFailure(m.worker, j, now)
	default:
		// The other ends are not caused by the task.
	}
	if u.firstEndAt.IsZero() {
		u.firstEndAt = now
	}
}

// setCheckpoint keeps the checkpoint, unless there is none or it is too long to
// be stored. The unit then resumes from an earlier one.
func (u *unit) setCheckpoint(checkpoint string, now time.Time) {
	if checkpoint != "" && checkpoint != u.checkpoint && len(checkpoint) <= encoder.MaxCheckpoint {
		u.checkpoint, u.savedAt = checkpoint, now
	}
}

// countFailure counts a failed run once, however many members report it.
func (u *unit) countFailure(run uint64) {
	if !slices.Contains(u.failedRuns, run) {
		u.failedRuns = append(u.failedRuns, run)
		u.trimFailures()
	}
}

// trimFailures keeps the numbers of the last failed runs only; the ends of
// earlier ones were acknowledged long ago. The failures of a long-running task
// have no limit, and no number is kept.
func (u *unit) trimFailures() {
	kept := encoder.MaxFailedRuns
	if u.step.spec.LongRunning {
		kept = 0
	}
	if n := len(u.failedRuns) - kept; n > 0 {
		u.failedRuns = slices.Delete(u.failedRuns, 0, n)
		u.earlierFailedRuns += n
	}
}

// failedRunCount returns the number of runs that failed.
func (u *unit) failedRunCount() int { return u.earlierFailedRuns + len(u.failedRuns) }

// avoidWorker excludes the worker from the next run.
func (u *unit) avoidWorker(w *worker) {
	if u.avoid == nil {
		u.avoid = map[primrosespar.Worker]bool{}
	}
	u.avoid[w.info.Worker] = true
}

// requeue makes a unit whose run is over wait for its next run, or fails the
// job if its attempts are used up or it crashes its workers.
func (s *Scheduler) requeue(u *unit, now time.Time) {
	j := u.step.occurrence.job
	u.setPhase(encoder.Waiting)
	u.stopping, u.firstEndAt = false, time.Time{}
	s.markDirty(j)
	if j.state.Ended() {
		return
	}
	if index, crashes, found := u.deadlyTask(); found {
		task := u.task(index)
		s.logEvent("task_given_up", j, nil, u.run,
			fmt.Sprintf("task %d.%d.%d: %d workers crashed under it", task.Occurrence, task.Step, task.Index, crashes))
		u.setPhase(encoder.Failed)
		s.endJob(j, primrosespar.JobFailed, now)
		return
	}
	attempts := s.terms(j).Attempts
	if !u.step.spec.LongRunning && attempts > 0 && u.failedRunCount() >= attempts {
		u.setPhase(encoder.Failed)
		s.endJob(j, primrosespar.JobFailed, now)
	}
}

// ShouldSend reports whether a start order whose record is stored should still
// be sent. If not, and no earlier attempt was sent, the run ends without an
// order, or the start is tried again if it only may not leave now.
func (s *Scheduler) ShouldSend(o Order, now time.Time) bool {
	m := s.findMember(o)
	if m == nil {
		return false
	}
	if !m.stopping && !s.mayStart(m.unit) {
		s.stopUnit(m.unit, primrosespar.LossMoved, closedReason)
	}
	if !m.stopping && !s.opts.MayStart() {
		m.inFlight, m.retryAt = false, now.Add(orderRetryDelay)
		return false
	}
	if !m.stopping {
		m.everSent = true
		m.unconfirmed = m.phase != running
		if m.unit.firstSentAt.IsZero() {
			m.unit.firstSentAt = now
		}
		return true
	}
	m.inFlight = false
	if !m.everSent {
		s.endMember(m, "", "", now)
	}
	return false
}
