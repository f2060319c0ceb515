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
	// maxAdviceWorkers is the number of workers that one question names.
	maxAdviceWorkers = 30
	// minTicketValidity is the life that a ticket needs to be used for a start.
	minTicketValidity = 500 * time.Millisecond
	// approvalPriorWorkers is the number of workers of which one is taken to be approved
	// before the service has answered.
	approvalPriorWorkers = 4
	// adviceRoomFactor is how much more room than is needed a question asks for,
	// because others take some of it before the answer.
	adviceRoomFactor = 3
	// adviceRetry is the wait after a question without an answer.
	adviceRetry = 500 * time.Millisecond
)

// ticket is the approval of one worker for one step.
type ticket struct {
	text            string
	expiresAt       time.Time
	workerStartedAt time.Time
}

// hasValidTicket reports whether the step may be started at the worker now.
func (st *step) hasValidTicket(w *worker, now time.Time) bool {
	t, ok := st.tickets[w.info.Worker]
	return ok && t.workerStartedAt.Equal(w.startedAt) && now.Add(minTicketValidity).Before(t.expiresAt)
}

// SetMaxAdviceRequests sets how many questions may be out at once.
func (s *Scheduler) SetMaxAdviceRequests(n int) { s.maxAdviceRequests = n }

// requestAdvice puts a question for workers that might run the unit, unless it waits for
// something else than tickets. One question of a step is out at a time, and no
// more at all than there are hosts to put them, so that the next is for the
// step that comes first then. It names no more workers than are needed: the
// service takes its time for each and answers one question of a host after the
// other.
func (s *Scheduler) requestAdvice(u *unit, r *rankedStep, now time.Time) {
	st := u.step
	if st.adviceInFlight || s.adviceInFlight >= s.maxAdviceRequests || now.Before(st.nextAdviceAt) || r.terms.Priority > 0 && !s.leavesReserve(u, r) {
		return
	}
	request := primrosespar.AdviceRequest{Job: st.occurrence.job.submission.ID, Occurrence: st.occurrence.index, Step: st.index}
	neededRoom := adviceRoomFactor * float64(st.waitingTasks())
	for _, c := range s.adviceCandidates(u, r, now) {
		if neededRoom <= 0 || len(request.Workers) == maxAdviceWorkers {
			break
		}
		request.Workers = append(request.Workers, c.worker.info.Worker)
		if st.hadTicket(c.worker) {
			neededRoom -= float64(c.room)
		} else {
			neededRoom -= float64(c.room) * s.approvalRate()
		}
	}
	if len(request.Workers) == 0 {
		return
	}
	st.adviceInFlight = true
	s.adviceInFlight++
	s.adviceRequests = append(s.adviceRequests, request)
}

// adviceCandidates returns the workers to ask about, in order: those that were approved
// before and those in the rack of the data first, and those with room before
// those where it would have to be made. Room may be made only with a ticket.
func (s *Scheduler) adviceCandidates(u *unit, r *rankedStep, now time.Time) []candidate {
	st := u.step
	reclaim := r.mayReclaim(now)
	var withRoom, full []candidate
	for _, w := range s.announced {
		if st.denied[w.info.Worker] || st.hasValidTicket(w, now) || !w.eligibleWithoutAdvice(u, r.terms.Service, now) {
			continue
		}
		limit := len(st.units) * u.size
		if n := w.roomUpTo(u, w.freeFor(u), limit); n > 0 {
			withRoom = append(withRoom, candidate{worker: w, room: n})
		} else if n := w.roomUpTo(u, w.info.Capacity, limit); reclaim && n > 0 {
			full = append(full, candidate{worker: w, room: n})
		}
	}
	for _, list := range [][]candidate{withRoom, full} {
		slices.SortStableFunc(list, func(a, b candidate) int {
			return cmp.Or(st.advicePreference(a.worker)-st.advicePreference(b.worker), b.worker.rack.free-a.worker.rack.free)
		})
	}
	return append(withRoom, full...)
}

// advicePreference ranks the workers to ask about.
func (st *step) advicePreference(w *worker) int {
	rank := 0
	if !st.hadTicket(w) {
		rank += 2
	}
	if st.spec.DataRack != "" && w.info.Rack != st.spec.DataRack {
		rank++
	}
	return rank
}

// hadTicket reports whether the worker has had a ticket for the step in this
// lifetime; the policy does not change, so it gets another.
func (st *step) hadTicket(w *worker) bool {
	t, ok := st.tickets[w.info.Worker]
	return ok && t.workerStartedAt.Equal(w.startedAt)
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

// approvalRate is the share of the workers that the advice service has approved
// so far.
func (s *Scheduler) approvalRate() float64 {
	return float64(s.adviceApproved+1) / float64(s.adviceAsked+approvalPriorWorkers)
}

// Advised takes the answer to a question that was put at the time; without an
// answer the question is put again later.
func (s *Scheduler) Advised(request primrosespar.AdviceRequest, advice primrosespar.Advice, answered bool, requestedAt, now time.Time) {
	s.adviceInFlight--
	st := s.findStep(request)
	if st == nil {
		return
	}
	st.adviceInFlight = false
	if !answered {
		st.nextAdviceAt = now.Add(adviceRetry)
		return
	}
	if st.tickets == nil {
		st.tickets = map[primrosespar.Worker]ticket{}
		st.denied = map[primrosespar.Worker]bool{}
	}
	for _, name := range request.Workers {
		text, ok := advice.Tickets[name]
		w := s.workers[name]
		if w == nil || !st.hadTicket(w) {
			s.adviceAsked++
			if ok {
				s.adviceApproved++
			}
		}
		switch {
		case !ok:
			st.denied[name] = true
		case w != nil:
			st.tickets[name] = ticket{text, requestedAt.Add(advice.Validity), w.startedAt}
		}
	}
	s.capacityVersion++
	s.logEvent("advice_taken", st.occurrence.job, nil, 0, "")
}

// findStep returns the step that a question is about.
func (s *Scheduler) findStep(request primrosespar.AdviceRequest) *step {
	j := s.jobs[request.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.occurrences {
		if o.index == request.Occurrence && request.Step < len(o.steps) {
			return o.steps[request.Step]
		}
	}
	return nil
}
