package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
)

// Parameters for throttling filler tasks on workers that also run tasks which
// serve users.
const (
	// highLatencyShare and lowLatencyShare are shares of the latency target:
	// above the first, filler tasks are paused; below the second, they may
	// speed up.
	highLatencyShare = 0.85
	lowLatencyShare  = 0.6
	// throttleStep is the increase of the throttle percentage at one time.
	throttleStep = 25
	// minRecoveryTime is how long the tail latency has to be low before filler
	// tasks speed up. The time doubles, up to maxRecoveryTime, each time they
	// have to be paused.
	minRecoveryTime = 2 * time.Second
	maxRecoveryTime = 30 * time.Second
	// unknownThrottle marks a run that may work at any percentage.
	unknownThrottle = -1
	// throttleRepeatInterval is how often paused filler tasks are paused again
	// while the tail latency stays high, because an earlier order may have been
	// carried out late.
	throttleRepeatInterval = 700 * time.Millisecond
	// throttleRetryDelay is the delay before a throttle order is repeated.
	throttleRetryDelay = 150 * time.Millisecond
)

// throttling is the throttle state of a worker that runs filler tasks beside
// tasks which serve users.
type throttling struct {
	// percent is the percentage of full speed for filler tasks. It is valid if
	// set is true.
	percent int
	set     bool
	// recoveryTime is how long the tail latency has to be low before the next
	// increase, and lowSince the time since which it has been low.
	recoveryTime time.Duration
	lowSince     time.Time
	// lastReportAt is the time of the last report that was taken into account.
	lastReportAt time.Time
}

// servesUsers reports whether the tasks of the step serve users with a latency
// target.
func (st *step) servesUsers() bool { return st.spec.Target > 0 }

// interferes reports whether a task of the step would slow down tasks on the
// worker that serve users, or be slowed down by filler tasks there.
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

// Shared reports whether the worker runs both tasks that serve users and filler
// tasks.
func (s *Scheduler) Shared(name primrosespar.Worker) bool {
	w := s.workers[name]
	return w != nil && w.shared()
}

// shared reports whether the worker runs both tasks that serve users and filler
// tasks.
func (w *worker) shared() bool {
	serving, filling := false, false
	for _, m := range w.memberList {
		serving = serving || m.unit.step.servesUsers()
		filling = filling || m.unit.step.spec.Filler
	}
	return serving && filling
}

// adjustThrottles adjusts the throttling of filler tasks on all workers.
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

// adjustThrottle sets the percentage of full speed for filler tasks on a worker.
// It depends on the highest tail latency, relative to its target, that was
// reported since the last adjustment. Filler tasks are paused at once, because
// interference changes within seconds, and resume in steps.
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
			s.logEvent("fillers_held", nil, w, 0, "tail latency is near its target")
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
		s.logEvent("fillers_let_go", nil, w, 0, "tail latency is low")
	}
}

// forgetThrottles marks the throttle percentage of filler runs as unknown if it
// was last ordered some time ago, so that it is ordered again.
func (w *worker) forgetThrottles(now time.Time) {
	for _, m := range w.memberList {
		if m.unit.step.spec.Filler && now.Sub(m.throttledAt) >= throttleRepeatInterval {
			m.throttlePercent = unknownThrottle
		}
	}
}

// sendThrottles orders the current percentage for filler runs that work at
// another one.
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

// HandleThrottleResult handles the result of a throttle order. An order without
// an answer is repeated.
func (s *Scheduler) HandleThrottleResult(throttle Throttle, code primrosespar.Code, now time.Time) {
	m := s.findMember(Order{Worker: throttle.Worker, Run: throttle.Run})
	if m == nil {
		return
	}
	m.throttleInFlight, m.throttledAt = false, now
	if code == primrosespar.CodeOK {
		m.throttlePercent, m.percentAt = throttle.Percent, now
		m.pace.Restart(now)
	}
}
