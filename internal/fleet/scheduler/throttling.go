package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
)

// Bounds of the pace of tasks that fill a worker beside tasks that serve users.
const (
	// highLatencyShare and lowTail are shares of the target: above the first the filling
	// tasks get slower, below the second they may get faster.
	highLatencyShare = 0.85
	lowLatencyShare  = 0.6
	// throttleStep is by how much they get faster at once.
	throttleStep = 25
	// minRecoveryTime is how long the tail has to be low before they get faster. It
	// doubles up to paceMost each time they have to be held up.
	minRecoveryTime = 2 * time.Second
	maxRecoveryTime = 30 * time.Second
	// unknownThrottle is the share of a run that may work at any.
	unknownThrottle = -1
	// throttleRepeatInterval is when filling tasks that are held up are held up again while
	// a tail stays high: an earlier order may have been carried out late.
	throttleRepeatInterval = 700 * time.Millisecond
	// throttleRetryDelay is the wait before an order on pace is repeated.
	throttleRetryDelay = 150 * time.Millisecond
)

// throttling is how fast the tasks that fill a worker may work beside those that
// serve users.
type throttling struct {
	// percent is the share for filling tasks; it is used once set.
	percent int
	set     bool
	// recoveryTime is how long the tail has to be low now, and lowSince since when it
	// is.
	recoveryTime time.Duration
	lowSince     time.Time
	// lastReportAt is the last report that was taken into account.
	lastReportAt time.Time
}

// servesUsers reports whether the step has users with a target.
func (st *step) servesUsers() bool { return st.spec.Target > 0 }

// interferes reports whether the step would share the worker with tasks that
// disturb it, or that it would disturb.
func (w *worker) interferes(st *step) bool {
	if !st.servesUsers() && !st.spec.Filler {
		return false
	}
	for _, m := range w.memberList {
		other := m.unit.step
		if st.servesUsers() && other.spec.Filler || st.spec.Filler && other.servesUsers() {
			return true
		}
	}
	return false
}

// Shared reports whether tasks that fill the worker may disturb others there.
func (s *Scheduler) Shared(name primrosespar.Worker) bool {
	w := s.workers[name]
	return w != nil && w.shared()
}

// shared reports whether the worker has both serving and filling tasks.
func (w *worker) shared() bool {
	serving, filling := false, false
	for _, m := range w.memberList {
		serving = serving || m.unit.step.servesUsers()
		filling = filling || m.unit.step.spec.Filler
	}
	return serving && filling
}

// adjustThrottles sets the pace of filling tasks at all workers.
func (s *Scheduler) adjustThrottles(now time.Time) {
	if s.fillerRuns == 0 {
		return
	}
	for _, w := range s.workers {
		if w.shared() {
			s.adjustThrottle(w, now)
		} else {
			w.throttling = throttling{}
		}
		s.sendThrottles(w, now)
	}
}

// adjustThrottle moves the share of the filling tasks by the worst tail that was
// reported since the last judgement. They are held up at once, because what
// disturbs changes within seconds, and come back in steps.
func (s *Scheduler) adjustThrottle(w *worker, now time.Time) {
	state := &w.throttling
	if !state.set {
		*state = throttling{percent: fullPercent, set: true, recoveryTime: minRecoveryTime}
	}
	worst, reportAt := 0.0, time.Time{}
	for _, m := range w.memberList {
		if m.unit.step.servesUsers() && m.seenAt.After(state.lastReportAt) {
			worst = max(worst, float64(m.tailLatency)/float64(m.unit.step.spec.Target))
			reportAt = m.seenAt
		}
	}
	if reportAt.IsZero() {
		return
	}
	state.lastReportAt = reportAt
	switch {
	case worst > highLatencyShare:
		if state.percent > 0 {
			s.logEvent("fillers_held", nil, w, 0, "a tail is near its target")
			state.recoveryTime = min(2*state.recoveryTime, maxRecoveryTime)
		}
		state.percent, state.lowSince = 0, time.Time{}
		w.forgetThrottles(now)
	case worst > lowLatencyShare:
		state.lowSince = time.Time{}
	case state.lowSince.IsZero():
		state.lowSince = reportAt
	case state.percent < fullPercent && reportAt.Sub(state.lowSince) >= state.recoveryTime:
		state.percent, state.lowSince = min(state.percent+throttleStep, fullPercent), reportAt
		s.logEvent("fillers_let_go", nil, w, 0, "the tails are low")
	}
}

// forgetThrottles forgets the shares at which filling tasks are taken to work for a
// while, so that they are ordered again.
func (w *worker) forgetThrottles(now time.Time) {
	for _, m := range w.memberList {
		if m.unit.step.spec.Filler && now.Sub(m.throttledAt) >= throttleRepeatInterval {
			m.throttlePercent = unknownThrottle
		}
	}
}

// sendThrottles orders the pace of filling tasks that work at another one.
func (s *Scheduler) sendThrottles(w *worker, now time.Time) {
	percent := fullPercent
	if w.throttling.set {
		percent = w.throttling.percent
	}
	for _, m := range w.memberList {
		if !m.unit.step.spec.Filler || m.phase != running || m.stopping || m.throttleInFlight || m.throttlePercent == percent {
			continue
		}
		if now.Sub(m.throttledAt) < throttleRetryDelay {
			continue
		}
		m.throttleInFlight, m.throttledAt = true, now
		s.throttles = append(s.throttles, Throttle{
			Worker: w.info.Worker, Run: primrosespar.Run{Task: m.task(), Number: m.run}, Percent: percent,
		})
	}
}

// Throttled takes the result of an order on pace. Without an answer it is
// repeated.
func (s *Scheduler) Throttled(throttle Throttle, code primrosespar.Code, now time.Time) {
	m := s.findMember(Order{Worker: throttle.Worker, Run: throttle.Run})
	if m == nil {
		return
	}
	m.throttleInFlight, m.throttledAt = false, now
	if code == primrosespar.CodeOK {
		m.throttlePercent, m.percentAt = throttle.Percent, now
	}
}
