package scheduler

import (
	"time"

	"primrosespar.example/primrosespar"
)

// Bounds of the pace of tasks that fill a worker beside tasks that serve users.
const (
	// highTail and lowTail are shares of the target: above the first the filling
	// tasks get slower, below the second they may get faster.
	highTail = 0.85
	lowTail  = 0.6
	// paceStep is by how much they get faster at once.
	paceStep = 25
	// paceCalm is how long the tail has to be low before they get faster. It
	// doubles up to paceMost each time they have to be held up.
	paceCalm = 2 * time.Second
	paceMost = 30 * time.Second
	// unknownPace is the share of a run that may work at any.
	unknownPace = -1
	// assertTime is when filling tasks that are held up are held up again while
	// a tail stays high: an earlier order may have been carried out late.
	assertTime = 700 * time.Millisecond
	// paceRetry is the wait before an order on pace is repeated.
	paceRetry = 150 * time.Millisecond
)

// sharing is how fast the tasks that fill a worker may work beside those that
// serve users.
type sharing struct {
	// percent is the share for filling tasks; it is used once set.
	percent int
	set     bool
	// calm is how long the tail has to be low now, and lowSince since when it
	// is.
	calm     time.Duration
	lowSince time.Time
	// judged is the last report that was taken into account.
	judged time.Time
}

// serving reports whether the step has users with a target.
func (st *step) serving() bool { return st.spec.Target > 0 }

// disturbs reports whether the step would share the worker with tasks that
// disturb it, or that it would disturb.
func (w *worker) disturbs(st *step) bool {
	if !st.serving() && !st.spec.Filler {
		return false
	}
	for _, m := range w.list {
		other := m.unit.step
		if st.serving() && other.spec.Filler || st.spec.Filler && other.serving() {
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
	serves, fills := false, false
	for _, m := range w.list {
		serves = serves || m.unit.step.serving()
		fills = fills || m.unit.step.spec.Filler
	}
	return serves && fills
}

// share sets the pace of filling tasks at all workers.
func (s *Scheduler) share(now time.Time) {
	if s.fillers == 0 {
		return
	}
	for _, w := range s.workers {
		if w.shared() {
			s.judgeTail(w, now)
		} else {
			w.sharing = sharing{}
		}
		s.setPace(w, now)
	}
}

// judgeTail moves the share of the filling tasks by the worst tail that was
// reported since the last judgement. They are held up at once, because what
// disturbs changes within seconds, and come back in steps.
func (s *Scheduler) judgeTail(w *worker, now time.Time) {
	h := &w.sharing
	if !h.set {
		*h = sharing{percent: fullPercent, set: true, calm: paceCalm}
	}
	worst, seen := 0.0, time.Time{}
	for _, m := range w.list {
		if m.unit.step.serving() && m.seenAt.After(h.judged) {
			worst = max(worst, float64(m.tail)/float64(m.unit.step.spec.Target))
			seen = m.seenAt
		}
	}
	if seen.IsZero() {
		return
	}
	h.judged = seen
	switch {
	case worst > highTail:
		if h.percent > 0 {
			s.log("fillers_held", nil, w, 0, "a tail is near its target")
			h.calm = min(2*h.calm, paceMost)
		}
		h.percent, h.lowSince = 0, time.Time{}
		w.assertPace(now)
	case worst > lowTail:
		h.lowSince = time.Time{}
	case h.lowSince.IsZero():
		h.lowSince = seen
	case h.percent < fullPercent && seen.Sub(h.lowSince) >= h.calm:
		h.percent, h.lowSince = min(h.percent+paceStep, fullPercent), seen
		s.log("fillers_let_go", nil, w, 0, "the tails are low")
	}
}

// assertPace forgets the shares at which filling tasks are taken to work for a
// while, so that they are ordered again.
func (w *worker) assertPace(now time.Time) {
	for _, m := range w.list {
		if m.unit.step.spec.Filler && now.Sub(m.pacedAt) >= assertTime {
			m.paced = unknownPace
		}
	}
}

// setPace orders the pace of filling tasks that work at another one.
func (s *Scheduler) setPace(w *worker, now time.Time) {
	want := fullPercent
	if w.sharing.set {
		want = w.sharing.percent
	}
	for _, m := range w.list {
		if !m.unit.step.spec.Filler || m.phase != running || m.stopping || m.pacing || m.paced == want {
			continue
		}
		if now.Sub(m.pacedAt) < paceRetry {
			continue
		}
		m.pacing, m.pacedAt = true, now
		s.paces = append(s.paces, Throttle{
			Worker: w.member.Worker, Run: primrosespar.Run{Task: m.task(), Number: m.run}, Percent: want,
		})
	}
}

// Throttled takes the result of an order on pace. Without an answer it is
// repeated.
func (s *Scheduler) Throttled(p Throttle, code primrosespar.Code, now time.Time) {
	m := s.find(Order{Worker: p.Worker, Run: p.Run})
	if m == nil {
		return
	}
	m.pacing, m.pacedAt = false, now
	if code == primrosespar.CodeOK {
		m.paced, m.percentAt = p.Percent, now
	}
}
