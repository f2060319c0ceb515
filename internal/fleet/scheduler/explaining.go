package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// maxShownWorkers limits the number of workers listed for a step.
const maxShownWorkers = 16

// View returns a summary of the fleet for operators.
func (s *Scheduler) View(now time.Time) primrosespar.FleetState {
	v := primrosespar.FleetState{Workers: len(s.announced), Jobs: len(s.liveJobs), Waiting: s.Waiting()}
	for _, w := range s.announced {
		v.Accelerators += w.info.Capacity.Accelerators
		v.Free += max(0, w.info.Capacity.Accelerators-w.used.Accelerators)
		v.Tasks += len(w.memberList)
		if !w.polled || w.unresponsive {
			v.Silent++
		}
		if now.Before(w.quarantinedUntil) {
			v.Quarantined++
		}
		if w.leaving() {
			v.Leaving++
		}
	}
	v.Losses = s.opts.Accountant.Losses()
	if s.catalog == nil {
		return v
	}
	for _, c := range s.catalog.Contracts {
		if c.Reserved > 0 {
			v.Guarantees = append(v.Guarantees, primrosespar.FleetGuarantee{
				Account: c.Account, Reserved: c.Reserved, InUse: s.urgentAccelerators[c.Account],
			})
		}
	}
	slices.SortFunc(v.Guarantees, func(a, b primrosespar.FleetGuarantee) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return v
}

// Explain returns the state of a job and what its steps wait for. It returns
// false if the job is not known.
func (s *Scheduler) Explain(id primrosespar.JobID, now time.Time) (primrosespar.JobView, bool) {
	j := s.jobs[id]
	if j == nil {
		return primrosespar.JobView{}, false
	}
	terms := s.terms(j)
	v := primrosespar.JobView{
		Job: id, Queue: j.submission.Queue, Account: j.submission.Account, State: j.state, Priority: terms.Priority, Arrived: j.arrived,
	}
	if r := j.submission.Repeat; j.created < r.Count && !j.state.Ended() {
		v.Due = r.Start.Add(time.Duration(j.created) * r.Every)
	}
	var ranked []rankedStep
	if s.catalog != nil {
		ranked = s.rankSteps(now)
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			r, place := rankedStep{step: st, terms: terms}, slices.IndexFunc(ranked, func(r rankedStep) bool { return r.step == st })
			if place >= 0 {
				r = ranked[place]
			}
			view := s.viewStep(st, &r, now)
			if place >= 0 && view.Reason != "" {
				view.Order = fmt.Sprintf("%d of %d: %s", place+1, len(ranked), r.urgency())
			}
			v.Steps = append(v.Steps, view)
		}
	}
	return v, true
}

// urgency describes what the job of the step loses by waiting.
func (r *rankedStep) urgency() string {
	slack := r.position.Slack.Round(100 * time.Millisecond)
	switch {
	case r.step.spec.LongRunning:
		return "has value whenever it runs"
	case slack < 0:
		return "too late to have any value"
	case r.position.OnTime:
		return fmt.Sprintf("in time if it starts within %s", slack)
	default:
		return fmt.Sprintf("late, of value if it starts within %s", slack)
	}
}

// viewStep returns the state of a step.
func (s *Scheduler) viewStep(st *step, r *rankedStep, now time.Time) primrosespar.StepView {
	v := primrosespar.StepView{
		Occurrence: st.occurrence.index, Step: st.index, Tasks: st.spec.Count, FailedRuns: st.mostFailedRuns, Crashes: st.mostCrashes,
	}
	for _, u := range st.units {
		if u == nil {
			continue
		}
		if u.phase == encoder.Done {
			v.Done += u.size
		}
		v.Running += len(u.members)
		v.FailedRuns = max(v.FailedRuns, u.failedRunCount())
		v.Crashes = max(v.Crashes, u.mostCrashes())
		for _, m := range u.members {
			if len(v.Workers) < maxShownWorkers && !slices.Contains(v.Workers, m.worker.info.Worker) {
				v.Workers = append(v.Workers, m.worker.info.Worker)
			}
		}
	}
	if i, _ := st.nextWaiting(0); i < st.unitCount() && !st.occurrence.job.state.Ended() {
		v.Reason = s.waitReason(st.at(i), r, now)
	}
	return v
}

// waitReason describes what a unit without a worker waits for.
func (s *Scheduler) waitReason(u *unit, r *rankedStep, now time.Time) string {
	st := u.step
	switch {
	case st.readySince.IsZero():
		return fmt.Sprintf("waiting for steps %v to finish", st.spec.After)
	case u.strays > 0:
		return "waiting for an earlier run to stop"
	case now.Before(u.notBefore):
		return "waiting to retry after a refused start"
	case !s.leavesReserve(u, r) && s.reserverRoom(r).Free >= u.size*st.spec.Need.Accelerators:
		return "held back: free accelerators are reserved for guarantees"
	}
	return s.noRoomReason(u, r, now)
}

// noRoomReason describes why no workers can be assigned to the unit now.
func (s *Scheduler) noRoomReason(u *unit, r *rankedStep, now time.Time) string {
	var capable, closed, ineligible, unresponsive, room, withTicket int
	for _, w := range s.announced {
		if w.info.Service != r.terms.Service || w.room(u, w.info.Capacity) == 0 || !u.step.hasRequiredLabel(w) || !u.step.allowedAt(w) {
			continue
		}
		capable++
		switch {
		case w.closed:
			closed++
		case !w.polled || w.unresponsive:
			unresponsive++
		case !w.eligibleWithoutAdvice(u, r.terms.Service, now):
			ineligible++
		case w.room(u, w.freeFor(u)) > 0:
			room += w.room(u, w.freeFor(u))
			if u.step.hasValidTicket(w, now) {
				withTicket++
			}
		}
	}
	switch {
	case capable == 0 && len(u.step.regions) > 0:
		return "no worker of its service in the regions that its queue and account allow could run one of its tasks, even when empty"
	case capable == 0:
		return "no worker of its service could run one of its tasks, even when empty"
	case room < u.size && closed > 0:
		return fmt.Sprintf("not enough room: %d workers could run a task, of which %d are at places that are emptied, %d are not responding and %d are ineligible; %d of its %d tasks fit now",
			capable, closed, unresponsive, ineligible, room, u.size)
	case room < u.size:
		return fmt.Sprintf("not enough room: %d workers could run a task, of which %d are not responding and %d are ineligible; %d of its %d tasks fit now",
			capable, unresponsive, ineligible, room, u.size)
	case u.step.advised && withTicket == 0:
		return fmt.Sprintf("waiting for the advice service: %d tasks fit on workers without a ticket", room)
	case u.step.spec.DataRack != "" || u.step.spec.OneRack:
		return "waiting for room in one rack or in the rack of its data"
	}
	return fmt.Sprintf("waiting behind other work or for room that is reserved for a gang; %d tasks fit now", room)
}

// hasRequiredLabel reports whether the worker has the label that the step
// requires.
func (st *step) hasRequiredLabel(w *worker) bool {
	return st.spec.Label == "" || slices.Contains(w.info.Labels, st.spec.Label)
}
