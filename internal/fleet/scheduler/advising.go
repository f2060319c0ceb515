package scheduler

import (
	"cmp"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// Bounds of the questions to the advice service.
const (
	// questionSize is the number of workers that one question names.
	questionSize = 30
	// ticketMargin is the life that a ticket needs to be used for a start.
	ticketMargin = 500 * time.Millisecond
	// approvalPrior is the number of workers of which one is taken to be approved
	// before the service has answered.
	approvalPrior = 4
	// adviceSurplus is how much more room than is needed a question asks for,
	// because others take some of it before the answer.
	adviceSurplus = 3
	// adviceRetry is the wait after a question without an answer.
	adviceRetry = 500 * time.Millisecond
)

// ticket is the approval of one worker for one step.
type ticket struct {
	text  string
	until time.Time
	born  time.Time
}

// approved reports whether the step may be started at the worker now.
func (st *step) approved(w *worker, now time.Time) bool {
	t, ok := st.tickets[w.member.Worker]
	return ok && t.born.Equal(w.born) && now.Add(ticketMargin).Before(t.until)
}

// SetMaxAdviceRequests sets how many questions may be out at once.
func (s *Scheduler) SetMaxAdviceRequests(n int) { s.askers = n }

// ask puts a question for workers that might run the unit, unless it waits for
// something else than tickets. One question of a step is out at a time, and no
// more at all than there are hosts to put them, so that the next is for the
// step that comes first then. It names no more workers than are needed: the
// service takes its time for each and answers one question of a host after the
// other.
func (s *Scheduler) ask(u *unit, r *ranked, now time.Time) {
	st := u.step
	if st.asking || s.asking >= s.askers || now.Before(st.askAt) || r.terms.Priority > 0 && !s.leavesReserve(u, r) {
		return
	}
	q := primrosespar.AdviceRequest{Job: st.occ.job.sub.ID, Occurrence: st.occ.index, Step: st.index}
	need := adviceSurplus * float64(st.waitingTasks())
	for _, c := range s.askable(u, r, now) {
		if need <= 0 || len(q.Workers) == questionSize {
			break
		}
		q.Workers = append(q.Workers, c.worker.member.Worker)
		if st.granted(c.worker) {
			need -= float64(c.room)
		} else {
			need -= float64(c.room) * s.approval()
		}
	}
	if len(q.Workers) == 0 {
		return
	}
	st.asking = true
	s.asking++
	s.questions = append(s.questions, q)
}

// askable returns the workers to ask about, in order: those that were approved
// before and those in the rack of the data first, and those with room before
// those where it would have to be made. Room may be made only with a ticket.
func (s *Scheduler) askable(u *unit, r *ranked, now time.Time) []candidate {
	st := u.step
	reclaim := r.mayReclaim(now)
	var open, full []candidate
	for _, w := range s.roster {
		if st.denied[w.member.Worker] || st.approved(w, now) || !w.fitting(u, r.terms.Service, now) {
			continue
		}
		limit := len(st.units) * u.size
		if n := w.roomFor(u, w.free(u), limit); n > 0 {
			open = append(open, candidate{worker: w, room: n})
		} else if n := w.roomFor(u, w.member.Capacity, limit); reclaim && n > 0 {
			full = append(full, candidate{worker: w, room: n})
		}
	}
	for _, list := range [][]candidate{open, full} {
		slices.SortStableFunc(list, func(a, b candidate) int {
			return cmp.Or(st.distance(a.worker)-st.distance(b.worker), b.worker.rack.free-a.worker.rack.free)
		})
	}
	return append(open, full...)
}

// distance ranks the workers to ask about.
func (st *step) distance(w *worker) int {
	n := 0
	if !st.granted(w) {
		n += 2
	}
	if st.spec.DataRack != "" && w.member.Rack != st.spec.DataRack {
		n++
	}
	return n
}

// granted reports whether the worker has had a ticket for the step in this
// lifetime; the policy does not change, so it gets another.
func (st *step) granted(w *worker) bool {
	t, ok := st.tickets[w.member.Worker]
	return ok && t.born.Equal(w.born)
}

// waitingTasks returns the tasks of the step that have no worker.
func (st *step) waitingTasks() int {
	n := 0
	for _, u := range st.units {
		if u.phase == encoder.Waiting {
			n += u.size
		}
	}
	return n
}

// approval is the share of the workers that the advice service has approved
// so far.
func (s *Scheduler) approval() float64 {
	return float64(s.granted+1) / float64(s.asked+approvalPrior)
}

// Advised takes the answer to a question that was put at the time; without an
// answer the question is put again later.
func (s *Scheduler) Advised(q primrosespar.AdviceRequest, advice primrosespar.Advice, answered bool, asked, now time.Time) {
	s.asking--
	st := s.stepOf(q)
	if st == nil {
		return
	}
	st.asking = false
	if !answered {
		st.askAt = now.Add(adviceRetry)
		return
	}
	if st.tickets == nil {
		st.tickets = map[primrosespar.Worker]ticket{}
		st.denied = map[primrosespar.Worker]bool{}
	}
	for _, name := range q.Workers {
		text, ok := advice.Tickets[name]
		w := s.workers[name]
		if w == nil || !st.granted(w) {
			s.asked++
			if ok {
				s.granted++
			}
		}
		switch {
		case !ok:
			st.denied[name] = true
		case w != nil:
			st.tickets[name] = ticket{text, asked.Add(advice.Validity), w.born}
		}
	}
	s.freed++
	s.log("advice_taken", st.occ.job, nil, 0, "")
}

// stepOf returns the step that a question is about.
func (s *Scheduler) stepOf(q primrosespar.AdviceRequest) *step {
	j := s.jobs[q.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.occurrences {
		if o.index == q.Occurrence && q.Step < len(o.steps) {
			return o.steps[q.Step]
		}
	}
	return nil
}
