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

// recordLostContact records that the leases of runs on the worker have expired.
// Until its address answers again a worker that the platform does not list any
// more is taken for crashed.
func (s *Scheduler) recordLostContact(w *worker, expired []*member, now time.Time) {
	runs := lostRuns(expired)
	if w.plannedToEnd() || len(runs) == 0 {
		return
	}
	if address := w.info.Address; address.IsValid() {
		lost := lostContact{at: now, worker: w.info.Worker, startedAt: w.info.StartedAt, runs: runs}
		if w.startedAt.After(lost.startedAt) {
			lost.startedAt = w.startedAt
		}
		if earlier, ok := s.lostContacts[address]; ok && earlier.worker == lost.worker {
			lost.runs = append(earlier.runs, runs...)
		}
		s.lostContacts[address] = lost
	}
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
	if lost, ok := s.lostContacts[address]; ok {
		delete(s.lostContacts, address)
		s.countCrash(lost.worker, address, lost.runs, now)
	}
}

// observeAnnouncement counts the crash of the worker that lost contact, if any,
// if a later lifetime is announced at its address.
func (s *Scheduler) observeAnnouncement(info primrosespar.WorkerInfo, now time.Time) {
	if lost, ok := s.lostContacts[info.Address]; ok && info.StartedAt.After(lost.startedAt) {
		s.resolveLostContact(info.Address, now)
	}
}

// observeReport forgets the lost contact with a worker that was only cut off
// and reports again.
func (s *Scheduler) observeReport(w *worker) {
	lost, ok := s.lostContacts[w.info.Address]
	if !ok || !lost.startedAt.Equal(w.startedAt) {
		return
	}
	for _, r := range lost.runs {
		s.forgetCrash(r)
	}
	delete(s.lostContacts, w.info.Address)
}
