package scheduler

import (
	"cmp"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// Bounds of the questions to the advice service.
const (
	// questionSize is the number of workers that one question names.
	questionSize = 30
	// ticketMargin is the life that a ticket needs to be used for a start.
	ticketMargin = 500 * time.Millisecond
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

// ask puts a question for workers that might run the unit. One question of a
// step is out at a time.
func (s *Scheduler) ask(u *unit, r *ranked, now time.Time) {
	st := u.step
	if st.asking || now.Before(st.askAt) {
		return
	}
	// Room may be made on workers that are full, but only with a ticket.
	reclaim := r.mayReclaim(now)
	var open, full []*worker
	for _, w := range s.roster {
		if st.denied[w.member.Worker] || st.approved(w, now) || !w.fitting(u, r.terms.Service, now) {
			continue
		}
		switch {
		case w.room(u, w.free(u)) > 0:
			open = append(open, w)
		case reclaim && w.room(u, w.member.Capacity) > 0:
			full = append(full, w)
		}
	}
	if len(open)+len(full) == 0 {
		return
	}
	data := st.spec.DataRack
	for _, list := range [][]*worker{open, full} {
		slices.SortStableFunc(list, func(a, b *worker) int {
			near := func(w *worker) int {
				if data != "" && w.member.Rack == data {
					return 0
				}
				return 1
			}
			return cmp.Or(near(a)-near(b), b.rack.free-a.rack.free)
		})
	}
	open = append(open, full...)
	q := primrosespar.Question{
		Job: st.occ.job.sub.ID, Occurrence: st.occ.index, Step: st.index, Urgent: r.terms.Priority == 0,
	}
	for _, w := range open[:min(len(open), questionSize)] {
		q.Workers = append(q.Workers, w.member.Worker)
	}
	st.asking = true
	s.questions = append(s.questions, q)
}

// Advised takes the answer to a question that was put at the time; without an
// answer the question is put again later.
func (s *Scheduler) Advised(q primrosespar.Question, advice primrosespar.Advice, answered bool, asked, now time.Time) {
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
func (s *Scheduler) stepOf(q primrosespar.Question) *step {
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
