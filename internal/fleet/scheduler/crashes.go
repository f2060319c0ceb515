package scheduler

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/assessor"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// Limits on the crashes of workers under one task, which is given up after
// either, with its gang if it belongs to one.
const (
	// maxCrashes limits the runs that ended with a worker. The platform accepts
	// two starts after the third crash. One of them is left for an order that is
	// carried out twice.
	maxCrashes = 4
	// maxSuspicion limits the suspicion against a task. A crash that only its
	// start explains adds blameWeight, any other crash 1.
	maxSuspicion = 6
	blameWeight  = 2
)

// Times for which crashes are related to each other and to runs.
const (
	// crashWindow is how long a run may have been at work for the crash of its
	// worker to be related to it. A run that works for longer clears its task.
	crashWindow = 20 * time.Second
	// startWindow is how long after its start a run is suspected first of the
	// crash of its worker.
	startWindow = 500 * time.Millisecond
	// probationTime is how long a worker that a suspected task was placed on gets
	// no other work.
	probationTime = time.Second
	// crashMemory is how long the crash of a worker is remembered.
	crashMemory = 60 * time.Second
)

// crash is the end of a task's run with its worker. index is the position of the
// task in its unit.
type crash struct {
	index int
	run   uint64
	// blamed is set if nothing but the start of the run explains the crash.
	blamed bool
}

// lostRun is a task's run that ended with its worker.
type lostRun struct {
	unit  *unit
	index int
	run   uint64
	// lifetime is the lifetime of the worker that the run was placed in.
	lifetime lifetimeMark
	// fresh is set if this holder sent the start order and the worker did not
	// list the run later than startWindow after that, so that the start may have
	// caused the crash.
	fresh bool
}

// newLostRun returns the run of a member.
func newLostRun(m *member) lostRun {
	fresh := m.phase != restored && m.seenAt.Before(m.unit.firstSentAt.Add(startWindow))
	return lostRun{unit: m.unit, index: m.index - m.unit.firstIndex, run: m.run, lifetime: m.lifetime, fresh: fresh}
}

// lostRuns returns those of the runs on one worker that its crash may be related
// to: the worker may have begun them, and they had not been at work for longer
// than crashWindow.
func lostRuns(members []*member) []lostRun {
	var runs []lostRun
	for _, m := range members {
		begun := m.phase == running || m.phase == restored || m.unanswered
		if begun && m.seenAt.Sub(m.unit.placedAt) <= crashWindow {
			runs = append(runs, newLostRun(m))
		}
	}
	return runs
}

// plannedToEnd reports whether the worker is about to leave or to be restarted,
// so that its end is no crash.
func (w *worker) plannedToEnd() bool { return w.info.Draining || w.cleared }

// recordCrash records that the worker's lifetime has ended with its runs, which
// are still attached to it.
func (s *Scheduler) recordCrash(w *worker, now time.Time) {
	s.resolveLostContact(w.info.Address, now)
	if !w.plannedToEnd() {
		s.observeOutcome(w, assessor.Crashed, 1, now)
		s.countCrash(w.info.Worker, w.info.Address, lostRuns(w.memberList), now)
	}
}

// countCrash counts the crash of a worker to the units whose runs ended with
// it. If runs had just started there, only they are suspected.
func (s *Scheduler) countCrash(worker primrosespar.Worker, address netip.AddrPort, runs []lostRun, now time.Time) {
	var suspects []lostRun
	units := map[*unit]bool{}
	for _, r := range runs {
		if r.fresh {
			suspects = append(suspects, r)
			units[r.unit] = true
		}
	}
	if len(runs) > 0 {
		s.logWorkerEvent("worker_crashed", worker, fmt.Sprintf("%d runs ended, %d of them had just started", len(runs), len(suspects)))
	}
	// A worker that crashed a moment ago may have crashed by itself again.
	blamed := len(units) == 1 && !s.crashedLately(address, now)
	s.crashedAt[address] = now
	if len(suspects) == 0 {
		suspects = runs
	}
	for _, r := range suspects {
		s.countRunCrash(worker, r, blamed, now)
	}
}

// countRunCrash counts the crash of a worker to the task of one run.
func (s *Scheduler) countRunCrash(worker primrosespar.Worker, r lostRun, blamed bool, now time.Time) {
	u := r.unit
	i := slices.IndexFunc(u.crashes, r.matches)
	if i < 0 {
		i = len(u.crashes)
		u.crashes = append(u.crashes, crash{index: r.index, run: r.run})
	}
	u.crashes[i].blamed = u.crashes[i].blamed || blamed
	s.markUnitDirty(u)
	task := u.task(r.index)
	crashes, _ := u.crashesOf(r.index)
	s.events = append(s.events, Event{
		Kind: "run_crashed", Job: task.Job, Worker: worker, Run: r.run,
		Detail: fmt.Sprintf("task %d.%d.%d, just started %t, only explanation %t, crash %d of its task",
			task.Occurrence, task.Step, task.Index, r.fresh, blamed, crashes),
	})
	if u.phase == encoder.Waiting {
		s.requeue(u, now)
	}
}

// matches reports whether the crash is the end of the run.
func (r lostRun) matches(c crash) bool { return c.run == r.run && c.index == r.index }

// forgetCrash removes the run from the crashes of its unit.
func (s *Scheduler) forgetCrash(r lostRun) {
	before := len(r.unit.crashes)
	r.unit.crashes = slices.DeleteFunc(r.unit.crashes, r.matches)
	if len(r.unit.crashes) != before {
		s.markUnitDirty(r.unit)
	}
}

// crashedLately reports whether a worker has crashed at the address within
// crashMemory.
func (s *Scheduler) crashedLately(address netip.AddrPort, now time.Time) bool {
	at, ok := s.crashedAt[address]
	return ok && now.Sub(at) < crashMemory
}

// expireCrashes forgets crashes and lost contacts that are older than
// crashMemory.
func (s *Scheduler) expireCrashes(now time.Time) {
	for address, at := range s.crashedAt {
		if now.Sub(at) >= crashMemory {
			delete(s.crashedAt, address)
		}
	}
	for key, lost := range s.lostContacts {
		if now.Sub(lost.at) >= crashMemory {
			delete(s.lostContacts, key)
		}
	}
}

// clearCrashes forgets the crashes under a unit whose current run has been at
// work for longer than crashWindow.
func (s *Scheduler) clearCrashes(u *unit, now time.Time) {
	if len(u.crashes) > 0 && now.Sub(u.placedAt) > crashWindow {
		u.crashes = nil
		s.markUnitDirty(u)
	}
}

// crashesOf returns the number of crashes under the task with the index, and the
// suspicion against it.
func (u *unit) crashesOf(index int) (crashes, suspicion int) {
	for _, c := range u.crashes {
		if c.index != index {
			continue
		}
		crashes++
		suspicion++
		if c.blamed {
			suspicion += blameWeight - 1
		}
	}
	return crashes, suspicion
}

// mostCrashes returns the highest number of crashes under one task of the unit.
func (u *unit) mostCrashes() int {
	most := 0
	for _, c := range u.crashes {
		crashes, _ := u.crashesOf(c.index)
		most = max(most, crashes)
	}
	return most
}

// deadlyTask returns the index of a task of the unit that crashes the workers
// that start it, and the number of its crashes. It reports false if there is
// none.
func (u *unit) deadlyTask() (index, crashes int, found bool) {
	for _, c := range u.crashes {
		if crashes, suspicion := u.crashesOf(c.index); suspicion >= maxSuspicion || crashes >= maxCrashes {
			return c.index, crashes, true
		}
	}
	return 0, 0, false
}

// suspected reports whether workers have crashed under the unit.
func (u *unit) suspected() bool { return len(u.crashes) > 0 }

// Parts of the stored number of a crash, which is kept with the numbers of the
// failed runs: two marks, the index of the task and the number of the run.
const (
	crashMark  = 1 << 63
	blameMark  = 1 << 62
	indexShift = 40
	indexMask  = 1<<(62-indexShift) - 1
	runMask    = 1<<indexShift - 1
)

// earlierMark marks the stored number of failed runs before those whose numbers
// are stored.
const earlierMark = blameMark

// storedFailures returns the failed runs and the crashes in their stored form.
func (u *unit) storedFailures() []uint64 {
	stored := slices.Clone(u.failedRuns)
	if u.earlierFailedRuns > 0 {
		stored = append(stored, earlierMark|uint64(u.earlierFailedRuns))
	}
	for _, c := range u.crashes {
		number := crashMark | uint64(c.index)<<indexShift | c.run
		if c.blamed {
			number |= blameMark
		}
		stored = append(stored, number)
	}
	return stored
}

// restoreFailures sets the failed runs and the crashes from their stored form.
func (u *unit) restoreFailures(stored []uint64) {
	u.failedRuns, u.earlierFailedRuns, u.crashes = nil, 0, nil
	for _, number := range stored {
		switch {
		case number&crashMark != 0:
			u.crashes = append(u.crashes, parseCrash(number))
		case number&earlierMark != 0:
			u.earlierFailedRuns = int(number & runMask)
		default:
			u.failedRuns = append(u.failedRuns, number)
		}
	}
}

// parseCrash returns the crash with the stored number.
func parseCrash(number uint64) crash {
	return crash{index: int(number >> indexShift & indexMask), run: number & runMask, blamed: number&blameMark != 0}
}
