package scheduler

import (
	"cmp"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// Limits and estimates for requests to the advice service.
const (
	// maxAdviceWorkers is the maximum number of workers that one request names.
	// Each unanswered request of a step halves it, maxAdviceHalvings times at most.
	maxAdviceWorkers  = 30
	maxAdviceHalvings = 3
	// adviceValidityShare is the share of the validity of its tickets that an
	// answer may take. The rest is left to use them.
	adviceValidityShare = 0.5
	// minAdviceTimeout bounds the wait for an answer if the configuration does not
	// say how long it takes; adviceMargin is added if it does. Each unanswered
	// request of a step doubles the wait: the service may be at work on the request
	// that was given up.
	minAdviceTimeout = 3 * time.Second
	adviceMargin     = 1500 * time.Millisecond
	// minTicketValidity is the remaining validity that a ticket needs to be
	// used for a start.
	minTicketValidity = 500 * time.Millisecond
	// approvalPriorWorkers sets the estimated approval rate before the service
	// has answered: one in this many workers.
	approvalPriorWorkers = 4
	// adviceRoomFactor is the ratio of the room that a request asks for to the
	// room that is needed, because other steps take some of it before the
	// answer arrives.
	adviceRoomFactor = 3
	// adviceRetryDelay is the delay before a request that got no answer is
	// repeated.
	adviceRetryDelay = 500 * time.Millisecond
)

// ticket is the advice service's approval to run a step on a worker. It is
// valid for one lifetime of the worker only.
type ticket struct {
	text            string
	expiresAt       time.Time
	workerStartedAt time.Time
}

// hasValidTicket reports whether the step has a ticket for the worker that is
// valid for long enough to start a task now.
func (st *step) hasValidTicket(w *worker, now time.Time) bool {
	t, ok := st.tickets[w.info.Worker]
	return ok && t.workerStartedAt.Equal(w.startedAt) && now.Add(minTicketValidity).Before(t.expiresAt)
}

// SetMaxAdviceRequests sets the maximum number of advice requests in flight.
func (s *Scheduler) SetMaxAdviceRequests(n int) { s.maxAdviceRequests = n }

// requestAdvice requests tickets for workers that could run the unit, unless
// the unit waits for something other than tickets. A step has at most one
// request in flight, and the scheduler at most as many as there are hosts to
// send them, so that a later request is for the step that ranks first at that
// time. The request names no more workers than needed: the service takes time
// for each worker and answers the requests of a host one after the other.
func (s *Scheduler) requestAdvice(u *unit, r *rankedStep, now time.Time) {
	st := u.step
	if st.adviceInFlight || s.adviceInFlight >= s.maxAdviceRequests || now.Before(st.nextAdviceAt) || !s.leavesReserve(u, r) {
		return
	}
	request := primrosespar.AdviceRequest{Job: st.occurrence.job.submission.ID, Occurrence: st.occurrence.index, Step: st.index}
	neededRoom := adviceRoomFactor * float64(st.waitingTasks())
	limit := st.adviceLimit(r.terms.Advice)
	for _, c := range s.adviceCandidates(u, r, now) {
		if neededRoom <= 0 || len(request.Workers) == limit {
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
	request.Timeout = st.adviceTimeout(r.terms.Advice, len(request.Workers))
	st.adviceInFlight = true
	s.adviceInFlight++
	s.adviceRequests = append(s.adviceRequests, request)
}

// adviceLimit returns how many workers a request for the step may name.
func (st *step) adviceLimit(terms primrosespar.AdviceTerms) int {
	limit := maxAdviceWorkers >> st.unansweredAdvice
	if terms.Validity == 0 {
		return limit
	}
	longest := time.Duration(adviceValidityShare * float64(terms.Validity))
	for limit > 1 && terms.AnswerTime(limit) > longest {
		limit--
	}
	return limit
}

// adviceTimeout returns how long to wait for the answer to a request for the step
// that names so many workers.
func (st *step) adviceTimeout(terms primrosespar.AdviceTerms, workers int) time.Duration {
	return max(minAdviceTimeout, terms.AnswerTime(workers)+adviceMargin) << st.unansweredAdvice
}

// adviceCandidates returns the workers to request tickets for, best first.
// Workers with enough free room come before those where other work would have
// to be stopped; these are included because stopping work for the unit requires
// a ticket first. Within each group, workers that had a ticket before and
// workers in the rack of the data come first.
func (s *Scheduler) adviceCandidates(u *unit, r *rankedStep, now time.Time) []candidate {
	st := u.step
	reclaim := r.mayReclaim(now)
	var withRoom, full []candidate
	for _, w := range s.announced {
		if st.denied[w.info.Worker] || st.hasValidTicket(w, now) || !w.eligibleWithoutAdvice(u, r.terms.Service, now) {
			continue
		}
		limit := st.spec.Count
		if n := w.roomUpTo(u, w.freeFor(u), limit); n > 0 {
			withRoom = append(withRoom, candidate{worker: w, room: n})
		} else if n := w.roomUpTo(u, w.info.Capacity, limit); reclaim && n > 0 {
			full = append(full, candidate{worker: w, room: n})
		}
	}
	for _, list := range [][]candidate{withRoom, full} {
		slices.SortStableFunc(list, func(a, b candidate) int {
			return cmp.Or(st.advicePreference(a.worker)-st.advicePreference(b.worker), b.worker.rack.free()-a.worker.rack.free())
		})
	}
	return append(withRoom, full...)
}

// advicePreference returns the sort key of a worker in an advice request; a
// lower key is better.
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

// hadTicket reports whether the step has received a ticket for the current
// lifetime of the worker, valid or expired. The policy does not change, so the
// service approves the worker again.
func (st *step) hadTicket(w *worker) bool {
	t, ok := st.tickets[w.info.Worker]
	return ok && t.workerStartedAt.Equal(w.startedAt)
}

// waitingTasks returns the number of tasks of the step that wait for a worker.
func (st *step) waitingTasks() int { return st.waitingUnits * st.unitSize() }

// approvalRate estimates the share of workers that the advice service approves.
func (s *Scheduler) approvalRate() float64 {
	return float64(s.adviceApproved+1) / float64(s.adviceAsked+approvalPriorWorkers)
}

// HandleAdvice handles the answer to an advice request that was sent at
// requestedAt. If answered is false, the request is repeated later.
func (s *Scheduler) HandleAdvice(request primrosespar.AdviceRequest, advice primrosespar.Advice, answered bool, requestedAt, now time.Time) {
	s.adviceInFlight--
	st := s.findStep(request)
	if st == nil {
		return
	}
	st.adviceInFlight = false
	if !answered {
		st.unansweredAdvice = min(st.unansweredAdvice+1, maxAdviceHalvings)
		st.nextAdviceAt = now.Add(adviceRetryDelay)
		return
	}
	st.unansweredAdvice = 0
	if !advice.Complete {
		st.nextAdviceAt = now.Add(adviceRetryDelay)
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
			st.denied[name] = st.denied[name] || advice.Complete
		case w != nil:
			st.tickets[name] = ticket{text, requestedAt.Add(advice.Validity), w.startedAt}
		}
	}
	s.capacityVersion++
	s.logEvent("advice_taken", st.occurrence.job, nil, 0, "")
}

// findStep returns the step that an advice request is for, or nil.
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
