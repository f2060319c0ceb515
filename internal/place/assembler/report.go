package assembler

import (
	"time"

	"primrosespar.example/primrosespar"
)

// HandleResult handles the result of a command. A result for a command of an
// earlier phase is ignored, since another command is pending by then.
func (a *Assembler) HandleResult(c primrosespar.Command, result primrosespar.CommandResult, now time.Time) {
	t := a.findTask(c.Worker, c.Member)
	if t == nil || c.Attempt != a.gang.Attempt || t.pending != c.Kind {
		return
	}
	switch result.Code {
	case primrosespar.CodeOK:
		t.confirmed = c.Kind
		t.pending = ""
	case primrosespar.CodeNotFound:
		a.handleUnknownTask(t, c.Kind)
	case primrosespar.CodeWorkerLost:
		a.markLost(t, now)
	default:
		// The command is sent again after the resend interval. When it was sent
		// again at once, a refused start caused 300,000 commands a second.
	}
}

// handleUnknownTask processes the answer of a worker that does not know the
// task.
func (a *Assembler) handleUnknownTask(t *task, kind primrosespar.CommandKind) {
	switch kind {
	case primrosespar.CommandStop:
		t.confirmed = kind
		t.inactive = true
	default:
		t.endState = primrosespar.TaskStopped
		t.inactive = true
	}
}

// Observe processes a worker's report.
func (a *Assembler) Observe(entry primrosespar.WorkerEntry, now time.Time) {
	for _, t := range a.tasks {
		if t.slice.Worker == entry.Worker {
			a.observeTask(t, entry, now)
		}
	}
}

func (a *Assembler) observeTask(t *task, entry primrosespar.WorkerEntry, now time.Time) {
	if !entry.Alive {
		a.markLost(t, now)
		return
	}
	t.unheard = false
	for _, status := range entry.Tasks {
		if status.Gang == a.gang.Job.ID && status.Member == t.slice.Member && status.Attempt == a.gang.Attempt {
			a.applyStatus(t, status)
			return
		}
	}
	// Reports lag behind, so a task that was never reported may have started.
	if t.reported && t.endState == "" {
		t.endState = primrosespar.TaskStopped
		t.inactive = true
	}
}

// applyStatus updates the task from the worker's report. A report may be older
// than the last answer, so it never revokes a confirmation.
func (a *Assembler) applyStatus(t *task, status primrosespar.TaskStatus) {
	t.reported = true
	t.checkpointed = t.checkpointed || status.Checkpointed
	switch status.State {
	case primrosespar.TaskRunning:
		if t.confirmed == primrosespar.CommandStart || t.confirmed == "" {
			t.confirmed = primrosespar.CommandRelease
		}
	case primrosespar.TaskFinished, primrosespar.TaskFailed, primrosespar.TaskStopped:
		t.endState = status.State
		t.inactive = true
	case primrosespar.TaskHeld:
	}
}

// markLost records that the worker does not answer. The task may continue until
// the worker's lease expires, which only this holder may extend. If an earlier
// holder may do so as well, the task is not lost: nothing tells when it ends.
func (a *Assembler) markLost(t *task, now time.Time) {
	t.unheard = a.mayBeRenewed(t)
	if t.lostAt.IsZero() && !t.inactive && !t.unheard {
		t.lostAt = now
	}
}

// mayBeRenewed reports whether an earlier holder, which this one cannot reach
// either, may still renew the lease of the task's worker.
func (a *Assembler) mayBeRenewed(t *task) bool {
	return a.released && !a.options.Reached(t.slice.Worker)
}

func (a *Assembler) findTask(worker primrosespar.Worker, member int) *task {
	for _, t := range a.tasks {
		if t.slice.Worker == worker && t.slice.Member == member {
			return t
		}
	}
	return nil
}
