package scheduler

import (
	"slices"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// closedReason is why starts at a place that accepts no work are stopped.
const closedReason = "the place accepts no work"

// WithAccepts sets the function that reports whether work may be started at the
// workers of a place now. By default it may at all places.
func WithAccepts(accepts func(primrosespar.Place) bool) Option {
	return func(o *Options) { o.Accepts = accepts }
}

// WithMayStart sets the function that reports whether starts may leave now. By
// default they may at any time.
func WithMayStart(mayStart func() bool) Option {
	return func(o *Options) { o.MayStart = mayStart }
}

// updateClosedPlaces asks which places accept work. Where one does not any more,
// starts that may not have reached their worker are stopped; what runs there
// goes on.
func (s *Scheduler) updateClosedPlaces() {
	if !s.askPlaces() {
		return
	}
	changed := false
	for _, w := range s.workers {
		closed := s.closedPlaces[w.info.Place]
		changed = changed || w.closed != closed
		w.closed = closed
	}
	if !changed {
		return
	}
	s.capacityVersion++
	s.groupRacks()
	for _, w := range s.workers {
		if w.closed {
			s.withdrawFrom(w)
		}
	}
	for u := range s.claimants {
		for w := range u.claims {
			if w.closed {
				s.dropClaim(u)
				break
			}
		}
	}
}

// askPlaces asks of each place whether it accepts work, and reports whether the
// workers have to be updated.
func (s *Scheduler) askPlaces() bool {
	changed := s.placesChanged
	if changed {
		s.placesChanged = false
		clear(s.closedPlaces)
		for _, w := range s.workers {
			s.closedPlaces[w.info.Place] = false
		}
	}
	for place, closed := range s.closedPlaces {
		if accepts := s.opts.Accepts(place); accepts == closed {
			s.closedPlaces[place] = !accepts
			changed = true
		}
	}
	return changed
}

// withdrawFrom stops the units on the worker of which a start order has not left
// or would have to be repeated. Orders in flight may arrive in time, and their
// tasks then run on; those that still wait to be sent are withdrawn.
func (s *Scheduler) withdrawFrom(w *worker) {
	for _, m := range w.snapshot() {
		u := m.unit
		if u.stopping || u.phase != encoder.Placed || !u.starting() {
			continue
		}
		if !u.allSent() {
			s.stopUnit(u, primrosespar.LossMoved, closedReason)
			continue
		}
		for _, other := range u.members {
			if other.inFlight {
				s.withdrawals = append(s.withdrawals, Order{Worker: other.worker.info.Worker, Run: primrosespar.Run{Task: other.task(), Number: other.run}})
			}
		}
	}
}

// starting reports whether a start order of the unit has not been answered yet.
func (u *unit) starting() bool {
	return slices.ContainsFunc(u.members, func(m *member) bool { return m.phase == placed || m.phase == sent })
}

// allSent reports whether the start orders of all members were answered or are in
// flight.
func (u *unit) allSent() bool {
	return !slices.ContainsFunc(u.members, func(m *member) bool {
		return m.phase == placed || m.phase == sent && (!m.inFlight || !m.everSent)
	})
}

// mayStart reports whether all places of the unit accept work now, and its work.
// A gang starts everywhere when its last member arrives.
func (s *Scheduler) mayStart(u *unit) bool {
	u.step.regions = s.allowedRegions(u.step.occurrence.job)
	for _, m := range u.members {
		if !s.opts.Accepts(m.worker.info.Place) || !u.step.allowedAt(m.worker) {
			return false
		}
	}
	return true
}

// RunsAt returns the number of runs at the workers of the place.
func (s *Scheduler) RunsAt(place primrosespar.Place) int {
	n := 0
	for _, w := range s.workers {
		if w.info.Place == place {
			n += len(w.memberList)
		}
	}
	return n
}
