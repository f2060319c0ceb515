package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// maxShownWorkers bounds the workers that a view of a step names.
const maxShownWorkers = 16

// View returns what is scheduled, for operators.
func (s *Scheduler) View(now time.Time) primrosespar.FleetState {
	v := primrosespar.FleetState{Workers: len(s.roster), Jobs: len(s.live), Waiting: s.Waiting()}
	for _, w := range s.roster {
		v.Accelerators += w.member.Capacity.Accelerators
		v.Free += max(0, w.member.Capacity.Accelerators-w.used.Accelerators)
		v.Tasks += len(w.list)
		if !w.looked || w.suspect {
			v.Silent++
		}
		if now.Before(w.quarantine) {
			v.Quarantined++
		}
		if w.leaving() {
			v.Leaving++
		}
	}
	if s.catalog == nil {
		return v
	}
	for _, c := range s.catalog.Contracts {
		if c.Reserved > 0 {
			v.Guarantees = append(v.Guarantees, primrosespar.FleetGuarantee{
				Account: c.Account, Reserved: c.Reserved, InUse: s.urgent[c.Account],
			})
		}
	}
	slices.SortFunc(v.Guarantees, func(a, b primrosespar.FleetGuarantee) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return v
}

// Explain returns where a job stands and what it waits for.
func (s *Scheduler) Explain(id primrosespar.JobID, now time.Time) (primrosespar.JobView, bool) {
	j := s.jobs[id]
	if j == nil {
		return primrosespar.JobView{}, false
	}
	terms := s.terms(j)
	v := primrosespar.JobView{
		Job: id, Queue: j.sub.Queue, Account: j.sub.Account, State: j.state, Priority: terms.Priority, Arrived: j.arrived,
	}
	if r := j.sub.Repeat; j.created < r.Count && !j.state.Ended() {
		v.Due = r.Start.Add(time.Duration(j.created) * r.Every)
	}
	s.measure()
	for _, o := range j.occurrences {
		ranks := map[*step]ranked{}
		for _, r := range o.waiting(nil, terms, now) {
			ranks[r.step] = r
		}
		for _, st := range o.steps {
			v.Steps = append(v.Steps, s.viewStep(st, ranks, terms, now))
		}
	}
	return v, true
}

// viewStep returns where a step stands.
func (s *Scheduler) viewStep(st *step, ranks map[*step]ranked, terms *primrosespar.QueueTerms, now time.Time) primrosespar.StepView {
	v := primrosespar.StepView{Occurrence: st.occ.index, Step: st.index, Tasks: st.spec.Count}
	var waits *unit
	for _, u := range st.units {
		if u.phase == encoder.Done {
			v.Done += u.size
		}
		v.Running += len(u.members)
		v.FailedRuns = max(v.FailedRuns, len(u.failed))
		for _, m := range u.members {
			if len(v.Workers) < maxShownWorkers && !slices.Contains(v.Workers, m.worker.member.Worker) {
				v.Workers = append(v.Workers, m.worker.member.Worker)
			}
		}
		if waits == nil && u.phase == encoder.Waiting {
			waits = u
		}
	}
	if waits != nil && !st.occ.job.state.Ended() {
		r, ok := ranks[st]
		if !ok {
			r = ranked{step: st, terms: terms}
		}
		v.Reason = s.why(waits, &r, now)
	}
	return v
}

// why says what a unit without a worker waits for.
func (s *Scheduler) why(u *unit, r *ranked, now time.Time) string {
	st := u.step
	switch {
	case st.readySince.IsZero():
		return fmt.Sprintf("waits for the steps %v", st.spec.After)
	case now.Before(u.notBefore):
		return "waits to be tried again after its last run"
	case r.terms.Priority > 0 && !s.leavesReserve(u, r):
		return "held back: what is free is kept for guarantees"
	}
	return s.whyNoRoom(u, r, now)
}

// whyNoRoom says why no workers can be given to the unit now.
func (s *Scheduler) whyNoRoom(u *unit, r *ranked, now time.Time) string {
	var able, barred, unanswered, room, granted int
	for _, w := range s.roster {
		if w.member.Service != r.terms.Service || w.room(u, w.member.Capacity) == 0 || !u.step.allows(w) {
			continue
		}
		able++
		switch {
		case !w.looked || w.suspect:
			unanswered++
		case !w.fitting(u, r.terms.Service, now):
			barred++
		case w.room(u, w.free(u)) > 0:
			room += w.room(u, w.free(u))
			if u.step.approved(w, now) {
				granted++
			}
		}
	}
	switch {
	case able == 0:
		return "no worker of its service could hold one of its tasks, even if it were empty"
	case room < u.size:
		return fmt.Sprintf("no room: %d workers could hold a task, of which %d do not answer and %d are kept off; %d of its %d tasks would fit now",
			able, unanswered, barred, room, u.size)
	case u.step.advised && granted == 0:
		return fmt.Sprintf("waits for the advice service: there is room for %d tasks on workers without a ticket", room)
	case u.step.spec.DataRack != "" || u.step.spec.OneRack:
		return "waits for room in one rack, or in the rack of its data"
	}
	return fmt.Sprintf("other work comes first, or room is kept for a gang; %d tasks would fit now", room)
}

// allows reports whether the worker has the label that the step needs.
func (st *step) allows(w *worker) bool {
	return st.spec.Label == "" || slices.Contains(w.member.Labels, st.spec.Label)
}
