package executor

import (
	"encoding/json"
	"time"

	"primrosespar.example/primrosespar"
)

// payload is the work of a task, decoded from Command.Work.
type payload struct {
	RunTimeMS int64 `json:"run_time_ms"`
	// Fail makes the task fail at the end of its run time.
	Fail bool `json:"fail"`
	// Members is the size of the gang, or 0 if it is not declared. Only
	// Summarize uses it.
	Members         int     `json:"members"`
	UsedCores       float64 `json:"used_cores"`
	UsedMemoryBytes int64   `json:"used_memory_bytes"`
}

// task is the task of a gang member on a worker.
type task struct {
	status           primrosespar.TaskStatus
	firstAccelerator int
	acceleratorCount int
	payload          payload
	// runTime is the total time that the task needs; progress is the part of it
	// that was done before resumedAt.
	runTime   time.Duration
	progress  time.Duration
	resumedAt time.Time
	// usageReportTime is when the usage appears in the status, zero if it is
	// not pending.
	usageReportTime time.Time
	// checkpointing reports whether a checkpoint is being taken, which ends at
	// checkpointEnd.
	checkpointing bool
	checkpointEnd time.Time
}

// live reports whether the task holds its accelerators.
func (t *task) live() bool {
	return t.status.State == primrosespar.TaskHeld || t.status.State == primrosespar.TaskRunning
}

// progressAt returns the run time completed by the given time.
func (t *task) progressAt(at time.Time) time.Duration {
	if t.status.State != primrosespar.TaskRunning {
		return t.progress
	}
	return t.progress + at.Sub(t.resumedAt)
}

// finishTime returns when a running task completes its run time.
func (t *task) finishTime() time.Time {
	return t.resumedAt.Add(t.runTime - t.progress)
}

// nextChange returns the time of the next change that no command causes, and
// whether there is one.
func (t *task) nextChange() (time.Time, bool) {
	if !t.live() {
		return time.Time{}, false
	}
	var earliest time.Time
	found := false
	if t.checkpointing {
		earliest, found = t.checkpointEnd, true
	}
	if t.status.State != primrosespar.TaskRunning {
		return earliest, found
	}
	if at := t.finishTime(); !found || at.Before(earliest) {
		earliest, found = at, true
	}
	if !t.usageReportTime.IsZero() && t.usageReportTime.Before(earliest) {
		earliest = t.usageReportTime
	}
	return earliest, found
}

// start loads a task in state TaskHeld. A repeated start of a live task of the
// same attempt succeeds without effect, because the answer to the first may
// have been lost.
func (w *worker) start(key taskKey, c primrosespar.Command) *primrosespar.Failure {
	if c.Attempt <= w.stoppedAttempts[key] {
		w.executor.counts.StaleAttempts++
		return primrosespar.Fail(primrosespar.CodeStaleAttempt, "attempt %d was stopped", c.Attempt)
	}
	if existing := w.tasks[key]; existing != nil && existing.status.Attempt == c.Attempt {
		if existing.live() && existing.firstAccelerator == c.First && existing.acceleratorCount == c.Count {
			return nil
		}
		return primrosespar.Fail(primrosespar.CodeConflict, "the task of this attempt is %s", existing.status.State)
	} else if existing != nil && existing.live() {
		return primrosespar.Fail(primrosespar.CodeConflict, "attempt %d of the task has not ended", existing.status.Attempt)
	}
	if err := w.checkAccelerators(c); err != nil {
		return err
	}
	p, err := w.executor.parsePayload(c.Payload)
	if err != nil {
		return err
	}
	if c.Lease > 0 {
		if err := w.renew(c.Lease); err != nil {
			return err
		}
	}
	if !w.leased {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "worker %s has no lease", c.Worker)
	}
	t := &task{firstAccelerator: c.First, acceleratorCount: c.Count, payload: p, progress: w.executor.checkpoints[key]}
	t.runTime = time.Duration(p.RunTimeMS) * time.Millisecond
	t.status = primrosespar.TaskStatus{Gang: c.Gang, Member: c.Member, Attempt: c.Attempt, State: primrosespar.TaskHeld}
	w.tasks[key] = t
	now := w.executor.clock.Now()
	w.executor.recordEvent(EventStarted, w, t, now)
	w.executor.markChanged(w)
	if w.failAll {
		w.endTask(t, primrosespar.TaskFailed, EventFailed, now)
	}
	return nil
}

// checkAccelerators returns an error if an accelerator of the command does not
// exist or another task holds it. A command may ask for none, because the
// design target is ten tasks per accelerator.
func (w *worker) checkAccelerators(c primrosespar.Command) *primrosespar.Failure {
	if c.First < 0 || c.Count < 0 || c.First+c.Count > w.entry.Accelerators {
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "accelerators with first index %d and count %d are not within the worker's %d", c.First, c.Count, w.entry.Accelerators)
	}
	for _, t := range w.tasks {
		if t.live() && c.First < t.firstAccelerator+t.acceleratorCount && t.firstAccelerator < c.First+c.Count {
			w.executor.counts.DoubleStarts++
			return primrosespar.Fail(primrosespar.CodeConflict, "task %s/%d holds accelerators with first index %d and count %d", t.status.Gang, t.status.Member, t.firstAccelerator, t.acceleratorCount)
		}
	}
	return nil
}

// parsePayload decodes a payload. One without a run time gets the default.
func (e *Executor) parsePayload(data []byte) (payload, *primrosespar.Failure) {
	var p payload
	if len(data) > 0 {
		if err := json.Unmarshal(data, &p); err != nil {
			return p, primrosespar.Fail(primrosespar.CodeBadSyntax, "invalid work payload").WithCause(err)
		}
	}
	if p.RunTimeMS <= 0 {
		p.RunTimeMS = e.options.RunTime.Milliseconds()
	}
	return p, nil
}
