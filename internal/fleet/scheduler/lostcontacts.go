package scheduler

import (
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
)

// lostContact holds the runs whose lease expired at a worker that stopped to
// answer. Whether it crashed shows when its address answers again.
type lostContact struct {
	at        time.Time
	worker    primrosespar.Worker
	startedAt time.Time
	runs      []lostRun
}

// contact identifies where a worker that lost contact may be heard of again: at
// its address or, if this holder never knew it, under its name.
type contact struct {
	address netip.AddrPort
	worker  primrosespar.Worker
}

// contact returns where the worker may be heard of again.
func (w *worker) contact() contact {
	if w.info.Address.IsValid() {
		return contact{address: w.info.Address}
	}
	return contact{worker: w.info.Worker}
}

// recordLostContact records that the leases of runs on the worker have expired.
// Until its address answers again a worker that the platform does not list any
// more is taken for crashed.
func (s *Scheduler) recordLostContact(w *worker, expired []*member, now time.Time) {
	runs := lostRuns(expired)
	if w.plannedToEnd() || len(runs) == 0 {
		return
	}
	lost := lostContact{at: now, worker: w.info.Worker, startedAt: w.info.StartedAt, runs: runs}
	if w.startedAt.After(lost.startedAt) {
		lost.startedAt = w.startedAt
	}
	if earlier, ok := s.lostContacts[w.contact()]; ok && earlier.worker == lost.worker {
		lost.runs = append(earlier.runs, runs...)
	}
	s.lostContacts[w.contact()] = lost
	if w.announced {
		return
	}
	for _, r := range runs {
		s.countRunCrash(w.info.Worker, r, false, now)
	}
}

// resolveLostContact counts the crash of the worker that lost contact at the
// address, if any: a later lifetime answers there.
func (s *Scheduler) resolveLostContact(address netip.AddrPort, now time.Time) {
	key := contact{address: address}
	if lost, ok := s.lostContacts[key]; ok {
		delete(s.lostContacts, key)
		s.countCrash(lost.worker, address, lost.runs, now)
	}
}

// observeAnnouncement counts the crash of the worker that lost contact, if any,
// if a later lifetime is announced at its address.
func (s *Scheduler) observeAnnouncement(info primrosespar.WorkerInfo, now time.Time) {
	if lost, ok := s.lostContacts[contact{address: info.Address}]; ok && info.StartedAt.After(lost.startedAt) {
		s.resolveLostContact(info.Address, now)
	}
}

// observeReport forgets the lost contact with a worker that was only cut off
// and reports again. For a worker whose address was not known, the mark of the
// run tells whether it is the same lifetime.
func (s *Scheduler) observeReport(w *worker) {
	if key := w.contact(); s.lostContacts[key].startedAt.Equal(w.startedAt) {
		for _, r := range s.lostContacts[key].runs {
			s.forgetCrash(r)
		}
		delete(s.lostContacts, key)
	}
	unknown := contact{worker: w.info.Worker}
	for _, r := range s.lostContacts[unknown].runs {
		if r.lifetime == markLifetime(w.startedAt) {
			s.forgetCrash(r)
		}
	}
	delete(s.lostContacts, unknown)
}
