// Package assembler starts and stops one gang as a whole.
//
// Members are first started held, which loads them but lets them do no work.
// Only after every member is held and the table has the gang as running are
// they released. The loss of one member stops all.
//
// # Usage
//
//	a := assembler.New(gang, now)
//	step := a.Step(now)
//	if step.Commit {
//		// write a.Gang() under the conditions of the lease and the row, then
//		a.Committed(state, now)
//	}
//	for _, c := range step.Commands {
//		// send c, then
//		a.Answered(c, result, now)
//	}
//	a.Observe(entry, now) // for each changed worker
//
// The caller drops the Assembler once Ended reports true.
package assembler

import (
	"time"

	"primrosespar.example/primrosespar"
)

// phase is where the gang is between two committed states.
type phase int

const (
	// phaseReserve waits for the commit of the reserved state.
	phaseReserve phase = iota
	// phaseStart waits until all members are held.
	phaseStart
	// phaseConfirm waits for the commit of the running state.
	phaseConfirm
	// phaseRelease waits until all members are released.
	phaseRelease
	phaseRun
	// phaseCheckpoint lets members save their work before they are stopped.
	phaseCheckpoint
	phaseStop
	// phaseSettle waits for the commit of the state after stopping.
	phaseSettle
	phaseEnded
)

// task is one slice of the gang at its worker.
type task struct {
	slice primrosespar.Slice
	// confirmed is the last command that the worker accepted or that its
	// report shows as carried out.
	confirmed primrosespar.CommandKind
	// pending is the command that waits for its confirmation.
	pending  primrosespar.CommandKind
	sent     time.Time
	reported bool
	ended    primrosespar.TaskState
	saved    bool
	// lost is when the worker stopped answering; zero while it answers.
	lost time.Time
	// gone is true once the task can no longer do any work.
	gone bool
}

// Step is what the caller has to do next.
type Step struct {
	// Commit asks for a write of the gang to the table.
	Commit bool
	// Commands are to be sent to the workers.
	Commands []primrosespar.Command
}

// Assembler is the state machine of one gang. It does no input or output and
// is not safe for concurrent use.
type Assembler struct {
	gang    primrosespar.Gang
	options Options
	phase   phase
	since   time.Time
	tasks   []*task
	asked   bool
}

// New starts a gang whose slices were just reserved by the planner.
func New(gang primrosespar.Gang, now time.Time, opts ...Option) *Assembler {
	gang.State = primrosespar.GangReserved
	gang.Attempt++
	gang.Reason = primrosespar.CodePlaced
	gang.NextState = ""
	return build(gang, phaseReserve, now, opts)
}

// Resume continues a gang that another holder had committed. A gang that was
// reserved is stopped and queued again, since its members may be held or not;
// a running one gets its releases again, which changes nothing where they had
// arrived.
func Resume(gang primrosespar.Gang, now time.Time, opts ...Option) *Assembler {
	if gang.State == primrosespar.GangRunning {
		return build(gang, phaseRelease, now, opts)
	}
	a := build(gang, phaseStop, now, opts)
	if a.gang.State != primrosespar.GangStopping {
		a.gang.State = primrosespar.GangStopping
		a.gang.NextState = primrosespar.GangQueued
		a.gang.Reason = primrosespar.CodeLeaseLost
	}
	return a
}

func build(gang primrosespar.Gang, start phase, now time.Time, opts []Option) *Assembler {
	a := &Assembler{gang: gang, options: newOptions(opts), phase: start, since: now}
	for _, s := range gang.Slices {
		a.tasks = append(a.tasks, &task{slice: s})
	}
	return a
}

// Gang returns the gang as it should stand in the table.
func (a *Assembler) Gang() primrosespar.Gang {
	return a.gang
}

// Ended reports whether the last state of this attempt is committed and no
// member can do any more work.
func (a *Assembler) Ended() bool {
	return a.phase == phaseEnded
}

// Running reports whether all members are released.
func (a *Assembler) Running() bool {
	return a.phase == phaseRun
}

// Stop ends the attempt. With checkpoint the members save their work first,
// for at most Options.Checkpoint. Then is the state that follows.
func (a *Assembler) Stop(reason primrosespar.Code, then primrosespar.GangState, checkpoint bool, now time.Time) {
	if a.phase >= phaseSettle {
		return
	}
	stopping := a.phase == phaseCheckpoint || a.phase == phaseStop
	if stopping && a.gang.NextState != primrosespar.GangQueued {
		return
	}
	a.gang.Reason = reason
	a.gang.NextState = then
	a.gang.State = primrosespar.GangStopping
	if stopping {
		return
	}
	if checkpoint && a.phase == phaseRun {
		a.enter(phaseCheckpoint, now)
		return
	}
	a.enter(phaseStop, now)
}

// Step moves on as far as what is known allows and returns what to do next.
func (a *Assembler) Step(now time.Time) Step {
	for a.advance(now) {
	}
	step := Step{Commit: a.wantsCommit()}
	if kind, ok := a.command(); ok {
		step.Commands = a.commands(kind, now)
	}
	return step
}

// Committed says that the table has the gang in this state. A state that the
// gang has left meanwhile changes nothing.
func (a *Assembler) Committed(state primrosespar.GangState, now time.Time) {
	if state != a.gang.State {
		return
	}
	a.asked = false
	switch a.phase {
	case phaseReserve:
		a.enter(phaseStart, now)
	case phaseConfirm:
		a.enter(phaseRelease, now)
	case phaseSettle:
		a.enter(phaseEnded, now)
	default:
	}
}

// CommitFailed says that the write failed and may be tried again.
func (a *Assembler) CommitFailed() {
	a.asked = false
}

// advance makes at most one change of phase and reports whether it did.
func (a *Assembler) advance(now time.Time) bool {
	switch a.phase {
	case phaseStart:
		return a.advanceStart(now)
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

func (a *Assembler) advanceStart(now time.Time) bool {
	if a.failed(now) {
		return true
	}
	if a.all(func(t *task) bool { return t.confirmed == primrosespar.CommandStart }) {
		a.gang.State = primrosespar.GangRunning
		a.enter(phaseConfirm, now)
		return true
	}
	return a.timeout(a.options.Start, now)
}

func (a *Assembler) advanceRelease(now time.Time) bool {
	if a.failed(now) {
		return true
	}
	if a.all(func(t *task) bool { return t.confirmed == primrosespar.CommandRelease || t.gone }) {
		a.enter(phaseRun, now)
		return true
	}
	return a.timeout(a.options.Release, now)
}

func (a *Assembler) advanceRun(now time.Time) bool {
	if a.failed(now) {
		return true
	}
	if a.all(func(t *task) bool { return t.ended == primrosespar.TaskFinished }) {
		a.gang.State = primrosespar.GangDone
		a.gang.Reason = primrosespar.CodeGangDone
		a.enter(phaseSettle, now)
		return true
	}
	return false
}

func (a *Assembler) advanceCheckpoint(now time.Time) bool {
	saved := a.all(func(t *task) bool { return t.saved || t.gone })
	if saved || now.Sub(a.since) >= a.options.Checkpoint {
		a.enter(phaseStop, now)
		return true
	}
	return false
}

// renewalMargin covers a renewal that was under way when the worker was
// reported lost.
const renewalMargin = 2 * time.Second

func (a *Assembler) advanceStop(now time.Time) bool {
	for _, t := range a.tasks {
		lapsed := !t.lost.IsZero() && now.Sub(t.lost) >= a.options.WorkerLease+renewalMargin
		if lapsed || t.confirmed == primrosespar.CommandStop {
			t.gone = true
		}
	}
	if !a.all(func(t *task) bool { return t.gone }) {
		return false
	}
	a.gang.State = a.gang.NextState
	a.gang.NextState = ""
	if a.gang.State == primrosespar.GangQueued {
		a.gang.Slices, a.gang.Bindings = nil, nil
	}
	a.enter(phaseSettle, now)
	return true
}

// failed stops the gang if a member failed or was lost.
func (a *Assembler) failed(now time.Time) bool {
	reason := primrosespar.CodeOK
	for _, t := range a.tasks {
		switch {
		case t.ended == primrosespar.TaskFailed:
			reason = primrosespar.CodeGangFailed
		case t.ended == primrosespar.TaskStopped, !t.lost.IsZero() && !t.gone:
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
	a.Stop(reason, a.next(), false, now)
	return true
}

// next is the state after an attempt that did not finish. Only failures of the
// job itself count against it: at 44 failed machines a day a long job on many
// workers meets several losses that it did not cause.
func (a *Assembler) next() primrosespar.GangState {
	worked := a.phase >= phaseRelease
	if worked && !a.gang.Job.Idempotent {
		return primrosespar.GangFailed
	}
	if a.gang.Failures >= a.options.Attempts {
		return primrosespar.GangFailed
	}
	return primrosespar.GangQueued
}

// FailedWorkers returns the workers on which a task failed or was lost.
func (a *Assembler) FailedWorkers() []primrosespar.Worker {
	var workers []primrosespar.Worker
	for _, t := range a.tasks {
		if t.ended == primrosespar.TaskFailed || !t.lost.IsZero() {
			workers = append(workers, t.slice.Worker)
		}
	}
	return workers
}

// timeout stops the gang if the phase took too long. The job is not to blame,
// so this does not count as a failure.
func (a *Assembler) timeout(limit time.Duration, now time.Time) bool {
	if now.Sub(a.since) < limit {
		return false
	}
	a.Stop(primrosespar.CodeStartTimeout, a.next(), false, now)
	return true
}

func (a *Assembler) wantsCommit() bool {
	waits := a.phase == phaseReserve || a.phase == phaseConfirm || a.phase == phaseSettle
	if !waits || a.asked {
		return false
	}
	a.asked = true
	return true
}

// command is what the members are to do in this phase.
func (a *Assembler) command() (primrosespar.CommandKind, bool) {
	switch a.phase {
	case phaseStart:
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

// commands returns the command for each task that has not confirmed it and was
// not asked lately.
func (a *Assembler) commands(kind primrosespar.CommandKind, now time.Time) []primrosespar.Command {
	var out []primrosespar.Command
	for _, t := range a.tasks {
		waiting := t.pending == kind && now.Sub(t.sent) < a.options.Resend
		if t.confirmed == kind || waiting || t.gone {
			continue
		}
		t.pending = kind
		t.sent = now
		out = append(out, a.build(t, kind))
	}
	return out
}

func (a *Assembler) build(t *task, kind primrosespar.CommandKind) primrosespar.Command {
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
		c.Work = a.gang.Job.Work
	}
	return c
}

func (a *Assembler) all(hold func(*task) bool) bool {
	for _, t := range a.tasks {
		if !hold(t) {
			return false
		}
	}
	return true
}

func (a *Assembler) enter(next phase, now time.Time) {
	a.phase = next
	a.since = now
	a.asked = false
}

// Finish writes the last state of a gang that has no members, such as a
// queued job that was cancelled.
func Finish(gang primrosespar.Gang, now time.Time, opts ...Option) *Assembler {
	gang.Slices, gang.Bindings = nil, nil
	return build(gang, phaseSettle, now, opts)
}

// Preempt stops the gang for a claim; its members save their work first.
func (a *Assembler) Preempt(now time.Time) {
	if a.phase < phaseCheckpoint {
		a.gang.Preemptions++
	}
	a.Stop(primrosespar.CodePreempted, primrosespar.GangQueued, true, now)
}
