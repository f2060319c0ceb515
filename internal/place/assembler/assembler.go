// Package assembler starts and stops all members of a gang together.
//
// Members are first started in the held state, in which they are loaded but do
// no work. They are released only after every member is held and the table has
// the gang as running. The loss of one member stops all.
//
// # Usage
//
//	a := assembler.New(gang, now)
//	step := a.Step(now)
//	if step.Commit {
//		// commit a.Gang() on condition of the lease and the row version, then
//		a.Committed(state, now)
//	}
//	for _, c := range step.Commands {
//		// send c, then
//		a.HandleResult(c, result, now)
//	}
//	a.Observe(entry, now) // for each changed worker
//
// The caller drops the Assembler once Ended reports true.
package assembler

import (
	"time"

	"primrosespar.example/primrosespar"
)

// phase is the step of the protocol that the gang is in.
type phase int

const (
	// phaseCommitReserved waits for the commit of GangReserved.
	phaseCommitReserved phase = iota
	// phaseHold starts the members and waits until all are held.
	phaseHold
	// phaseCommitRunning waits for the commit of GangRunning.
	phaseCommitRunning
	// phaseRelease releases the members and waits until all have confirmed.
	phaseRelease
	phaseRun
	// phaseCheckpoint lets the members save their work before they are stopped.
	phaseCheckpoint
	phaseStop
	// phaseCommitFinal waits for the commit of the state that follows this
	// attempt.
	phaseCommitFinal
	phaseEnded
)

// task is one slice of the gang on its worker.
type task struct {
	slice primrosespar.Slice
	// confirmed is the last command that the worker has accepted or, by its
	// report, carried out.
	confirmed primrosespar.CommandKind
	// pending is the command that was sent last and is not confirmed.
	pending primrosespar.CommandKind
	sentAt  time.Time
	// reported is set once a report of the worker has shown the task.
	reported bool
	// endState is how the task ended, empty before.
	endState     primrosespar.TaskState
	checkpointed bool
	// lostAt is when the worker was found lost, zero if it was not.
	lostAt time.Time
	// unheard is set while the worker does not answer and an earlier holder may
	// renew its lease.
	unheard bool
	// inactive is set once the task cannot do any more work.
	inactive bool
}

// Step is what the caller has to do next.
type Step struct {
	// Commit is set if the caller has to commit Gang to the table.
	Commit bool
	// Commands have to be sent to the workers.
	Commands []primrosespar.Command
}

// Assembler is the state machine of one attempt of a gang. It does no I/O and
// is not safe for concurrent use.
type Assembler struct {
	gang    primrosespar.Gang
	options Options
	phase   phase
	// released is set if an earlier holder may have released the members.
	released bool
	// enteredAt is when the phase began.
	enteredAt time.Time
	tasks     []*task
	// commitRequested is set while a commit for this phase is in progress.
	commitRequested bool
}

// New starts an attempt of a gang whose slices the planner has just reserved.
func New(gang primrosespar.Gang, now time.Time, opts ...Option) *Assembler {
	gang.State = primrosespar.GangReserved
	gang.Attempt++
	gang.Reason = primrosespar.CodePlaced
	gang.NextState = ""
	return newAssembler(gang, phaseCommitReserved, now, opts)
}

// Resume continues a gang that another holder committed. A reserved gang is
// stopped and queued again, since it is unknown which members are held. The
// members of a running gang are released again, which changes nothing for those
// that were released before. A member whose worker this holder has never reached
// belongs to that worker until it is heard of: the gang neither ends nor starts
// again before.
func Resume(gang primrosespar.Gang, now time.Time, opts ...Option) *Assembler {
	if gang.State == primrosespar.GangRunning {
		a := newAssembler(gang, phaseRelease, now, opts)
		a.released = true
		return a
	}
	a := newAssembler(gang, phaseStop, now, opts)
	a.released = a.gang.State == primrosespar.GangStopping
	if a.gang.State != primrosespar.GangStopping {
		a.gang.State = primrosespar.GangStopping
		a.gang.NextState = primrosespar.GangQueued
		a.gang.Reason = primrosespar.CodeLeaseLost
	}
	return a
}

func newAssembler(gang primrosespar.Gang, start phase, now time.Time, opts []Option) *Assembler {
	a := &Assembler{gang: gang, options: newOptions(opts), phase: start, enteredAt: now}
	for _, s := range gang.Slices {
		a.tasks = append(a.tasks, &task{slice: s})
	}
	return a
}

// Gang returns the gang as it has to be committed to the table.
func (a *Assembler) Gang() primrosespar.Gang {
	return a.gang
}

// Ended reports whether the final state of this attempt is committed and no
// member can do any more work.
func (a *Assembler) Ended() bool {
	return a.phase == phaseEnded
}

// Running reports whether all members are released.
func (a *Assembler) Running() bool {
	return a.phase == phaseRun
}

// Stop ends the attempt, after which the gang gets the state next. With
// checkpoint the members of a running gang save their work first, for at most
// Options.CheckpointTimeout.
func (a *Assembler) Stop(reason primrosespar.Code, next primrosespar.GangState, checkpoint bool, now time.Time) {
	if a.phase >= phaseCommitFinal {
		return
	}
	stopping := a.phase == phaseCheckpoint || a.phase == phaseStop
	if stopping && a.gang.NextState != primrosespar.GangQueued {
		return
	}
	a.gang.Reason = reason
	a.gang.NextState = next
	a.gang.State = primrosespar.GangStopping
	if stopping {
		return
	}
	if checkpoint && a.phase == phaseRun {
		a.enterPhase(phaseCheckpoint, now)
		return
	}
	a.enterPhase(phaseStop, now)
}

// Step advances through the phases as far as possible and returns what the
// caller has to do next.
func (a *Assembler) Step(now time.Time) Step {
	for a.advance(now) {
	}
	step := Step{Commit: a.requestCommit()}
	if kind, ok := a.phaseCommand(); ok {
		step.Commands = a.dueCommands(kind, now)
	}
	return step
}

// Committed reports that the table has the gang in this state. It has no effect
// if the gang has left the state in the meantime.
func (a *Assembler) Committed(state primrosespar.GangState, now time.Time) {
	if state != a.gang.State {
		return
	}
	a.commitRequested = false
	switch a.phase {
	case phaseCommitReserved:
		a.enterPhase(phaseHold, now)
	case phaseCommitRunning:
		a.enterPhase(phaseRelease, now)
	case phaseCommitFinal:
		a.enterPhase(phaseEnded, now)
	default:
	}
}

// CommitFailed reports that the commit failed and may be tried again.
func (a *Assembler) CommitFailed() {
	a.commitRequested = false
}

// advance changes the phase at most once and reports whether it did.
func (a *Assembler) advance(now time.Time) bool {
	switch a.phase {
	case phaseHold:
		return a.advanceHold(now)
	case phaseRelease:
		return a.advanceRelease(now)
	case phaseRun:
		return a.advanceRun(now)
	case phaseCheckpoint:
		return a.advanceCheckpoint(now)
	case phaseStop:
		return a.advanceStop(now)
	default:
		return false
	}
}

func (a *Assembler) advanceHold(now time.Time) bool {
	if a.stopIfFailed(now) {
		return true
	}
	if a.allTasks(func(t *task) bool { return t.confirmed == primrosespar.CommandStart }) {
		a.gang.State = primrosespar.GangRunning
		a.enterPhase(phaseCommitRunning, now)
		return true
	}
	return a.stopOnTimeout(a.options.StartTimeout, now)
}

func (a *Assembler) advanceRelease(now time.Time) bool {
	if a.stopIfFailed(now) {
		return true
	}
	if a.allTasks(func(t *task) bool { return t.confirmed == primrosespar.CommandRelease || t.inactive }) {
		a.enterPhase(phaseRun, now)
		return true
	}
	if !a.allTasks(func(t *task) bool { return !t.unheard }) {
		// The time that the others have begins when all are heard of.
		a.enteredAt = now
		return false
	}
	return a.stopOnTimeout(a.options.ReleaseTimeout, now)
}

func (a *Assembler) advanceRun(now time.Time) bool {
	if a.stopIfFailed(now) {
		return true
	}
	if a.allTasks(func(t *task) bool { return t.endState == primrosespar.TaskFinished }) {
		a.gang.State = primrosespar.GangDone
		a.gang.Reason = primrosespar.CodeGangDone
		a.enterPhase(phaseCommitFinal, now)
		return true
	}
	return false
}

func (a *Assembler) advanceCheckpoint(now time.Time) bool {
	done := a.allTasks(func(t *task) bool { return t.checkpointed || t.inactive })
	if done || now.Sub(a.enteredAt) >= a.options.CheckpointTimeout {
		a.enterPhase(phaseStop, now)
		return true
	}
	return false
}

// renewalMargin is added to the worker lease, since a renewal may have been in
// flight when the worker was reported lost.
const renewalMargin = 2 * time.Second

func (a *Assembler) advanceStop(now time.Time) bool {
	for _, t := range a.tasks {
		lapsed := !t.lostAt.IsZero() && now.Sub(t.lostAt) >= a.options.WorkerLease+renewalMargin
		if lapsed || t.confirmed == primrosespar.CommandStop {
			t.inactive = true
		}
	}
	if !a.allTasks(func(t *task) bool { return t.inactive }) {
		return false
	}
	a.gang.State = a.gang.NextState
	a.gang.NextState = ""
	if a.gang.State == primrosespar.GangQueued {
		a.gang.Slices, a.gang.Bindings = nil, nil
	}
	a.enterPhase(phaseCommitFinal, now)
	return true
}

// stopIfFailed stops the gang if a member failed or was lost, and reports
// whether it did.
func (a *Assembler) stopIfFailed(now time.Time) bool {
	reason := primrosespar.CodeOK
	for _, t := range a.tasks {
		switch {
		case t.endState == primrosespar.TaskFailed:
			reason = primrosespar.CodeGangFailed
		case t.endState == primrosespar.TaskStopped, !t.lostAt.IsZero() && !t.inactive:
			if reason == primrosespar.CodeOK {
				reason = primrosespar.CodeMemberLost
			}
		}
	}
	if reason == primrosespar.CodeOK {
		return false
	}
	if reason == primrosespar.CodeGangFailed {
		a.gang.Failures++
	}
	a.Stop(reason, a.nextState(), false, now)
	return true
}

// nextState returns the state after an attempt that did not finish. Only
// failures of the job itself count towards MaxAttempts: at 44 failed machines a
// day, a long job on many workers loses several members through no fault of its
// own.
func (a *Assembler) nextState() primrosespar.GangState {
	released := a.phase >= phaseRelease
	if released && !a.gang.Job.Idempotent {
		return primrosespar.GangFailed
	}
	if a.gang.Failures >= a.options.MaxAttempts {
		return primrosespar.GangFailed
	}
	return primrosespar.GangQueued
}

// FailedWorkers returns the workers on which a task failed or was lost.
func (a *Assembler) FailedWorkers() []primrosespar.Worker {
	var workers []primrosespar.Worker
	for _, t := range a.tasks {
		if t.endState == primrosespar.TaskFailed || !t.lostAt.IsZero() {
			workers = append(workers, t.slice.Worker)
		}
	}
	return workers
}

// stopOnTimeout stops the gang if the phase has lasted longer than the limit,
// and reports whether it did. This is not a failure of the job and is not
// counted as one.
func (a *Assembler) stopOnTimeout(limit time.Duration, now time.Time) bool {
	if now.Sub(a.enteredAt) < limit {
		return false
	}
	a.Stop(primrosespar.CodeStartTimeout, a.nextState(), false, now)
	return true
}

// requestCommit reports whether a commit is due, once until it succeeds or
// fails.
func (a *Assembler) requestCommit() bool {
	awaitsCommit := a.phase == phaseCommitReserved || a.phase == phaseCommitRunning || a.phase == phaseCommitFinal
	if !awaitsCommit || a.commitRequested {
		return false
	}
	a.commitRequested = true
	return true
}

// phaseCommand returns the command that the members have to confirm in this
// phase; it reports false if there is none.
func (a *Assembler) phaseCommand() (primrosespar.CommandKind, bool) {
	switch a.phase {
	case phaseHold:
		return primrosespar.CommandStart, true
	case phaseRelease:
		return primrosespar.CommandRelease, true
	case phaseCheckpoint:
		return primrosespar.CommandCheckpoint, true
	case phaseStop:
		return primrosespar.CommandStop, true
	default:
		return "", false
	}
}

// dueCommands returns the command for each task that has not confirmed it and
// was not sent it within the resend interval.
func (a *Assembler) dueCommands(kind primrosespar.CommandKind, now time.Time) []primrosespar.Command {
	var out []primrosespar.Command
	for _, t := range a.tasks {
		waiting := t.pending == kind && now.Sub(t.sentAt) < a.options.ResendInterval
		if t.confirmed == kind || waiting || t.inactive {
			continue
		}
		t.pending = kind
		t.sentAt = now
		out = append(out, a.newCommand(t, kind))
	}
	return out
}

func (a *Assembler) newCommand(t *task, kind primrosespar.CommandKind) primrosespar.Command {
	c := primrosespar.Command{
		Worker:  t.slice.Worker,
		Kind:    kind,
		Gang:    a.gang.Job.ID,
		Member:  t.slice.Member,
		Attempt: a.gang.Attempt,
	}
	if kind == primrosespar.CommandStart {
		c.First = t.slice.First
		c.Count = t.slice.Count
		c.Lease = a.options.WorkerLease
		c.Payload = a.gang.Job.Payload
	}
	return c
}

func (a *Assembler) allTasks(condition func(*task) bool) bool {
	for _, t := range a.tasks {
		if !condition(t) {
			return false
		}
	}
	return true
}

func (a *Assembler) enterPhase(next phase, now time.Time) {
	a.phase = next
	a.enteredAt = now
	a.commitRequested = false
}

// Finish commits the final state of a gang without members, such as a queued
// job that was cancelled.
func Finish(gang primrosespar.Gang, now time.Time, opts ...Option) *Assembler {
	gang.Slices, gang.Bindings = nil, nil
	return newAssembler(gang, phaseCommitFinal, now, opts)
}

// Preempt stops the gang to free its cells for a claim or urgent job, and
// queues it again. Its members save their work first.
func (a *Assembler) Preempt(now time.Time) {
	if a.phase < phaseCheckpoint {
		a.gang.Preemptions++
	}
	a.Stop(primrosespar.CodePreempted, primrosespar.GangQueued, true, now)
}
