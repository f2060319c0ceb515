package executor

import (
	"encoding/json"
	"time"

	"primrosespar.example/primrosespar"
)

// payload is the work of a task.
type payload struct {
	RunTimeMS int64 `json:"run_time_ms"`
	Fail      bool  `json:"fail"`
	// Members is the size of the gang, for the verdict; 0 if not stated.
	Members         int     `json:"members"`
	UsedCores       float64 `json:"used_cores"`
	UsedMemoryBytes int64   `json:"used_memory_bytes"`
}

// task is one task of a worker.
type task struct {
	status primrosespar.TaskStatus
	first  int
	count  int
	work   payload
	// runTime is the work in total, worked what was done before resumed.
	runTime       time.Duration
	worked        time.Duration
	resumed       time.Time
	usageAt       time.Time
	checkpointing bool
	checkpointAt  time.Time
}

// live reports whether the task holds its accelerators.
func (t *task) live() bool {
	return t.status.State == primrosespar.TaskHeld || t.status.State == primrosespar.TaskRunning
}

// workedBy returns the work done up to a moment.
func (t *task) workedBy(at time.Time) time.Duration {
	if t.status.State != primrosespar.TaskRunning {
		return t.worked
	}
	return t.worked + at.Sub(t.resumed)
}

// finishAt returns when a running task ends.
func (t *task) finishAt() time.Time {
	return t.resumed.Add(t.runTime - t.worked)
}

// next returns when the task next changes by itself.
func (t *task) next() (time.Time, bool) {
	if !t.live() {
		return time.Time{}, false
	}
	var first time.Time
	found := false
	if t.checkpointing {
		first, found = t.checkpointAt, true
	}
	if t.status.State != primrosespar.TaskRunning {
		return first, found
	}
	if at := t.finishAt(); !found || at.Before(first) {
		first, found = at, true
	}
	if !t.usageAt.IsZero() && t.usageAt.Before(first) {
		first = t.usageAt
	}
	return first, found
}

// start loads a task held. A repeated start of a live task of the same attempt
// succeeds without effect, because the answer to the first may have been lost.
func (w *worker) start(key taskKey, c primrosespar.Command) *primrosespar.Failure {
	if c.Attempt <= w.stopped[key] {
		w.executor.counts.StaleAttempts++
		return primrosespar.Fail(primrosespar.CodeStaleAttempt, "attempt %d was stopped", c.Attempt)
	}
	if old := w.tasks[key]; old != nil && old.status.Attempt == c.Attempt {
		if old.live() && old.first == c.First && old.count == c.Count {
			return nil
		}
		return primrosespar.Fail(primrosespar.CodeConflict, "the task of this attempt is %s", old.status.State)
	} else if old != nil && old.live() {
		return primrosespar.Fail(primrosespar.CodeConflict, "attempt %d of the task has not ended", old.status.Attempt)
	}
	if err := w.fits(c); err != nil {
		return err
	}
	work, err := w.executor.parse(c.Payload)
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
	t := &task{first: c.First, count: c.Count, work: work, worked: w.executor.saved[key]}
	t.runTime = time.Duration(work.RunTimeMS) * time.Millisecond
	t.status = primrosespar.TaskStatus{Gang: c.Gang, Member: c.Member, Attempt: c.Attempt, State: primrosespar.TaskHeld}
	w.tasks[key] = t
	now := w.executor.clock.Now()
	w.executor.log(EventStarted, w, t, now)
	w.executor.touch(w)
	if w.failAll {
		w.end(t, primrosespar.TaskFailed, EventFailed, now)
	}
	return nil
}

// fits refuses accelerators that do not exist or that another task has. A task
// may use none: the target has ten tasks per accelerator.
func (w *worker) fits(c primrosespar.Command) *primrosespar.Failure {
	if c.First < 0 || c.Count < 0 || c.First+c.Count > w.entry.Accelerators {
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "accelerators %d+%d of %d", c.First, c.Count, w.entry.Accelerators)
	}
	for _, t := range w.tasks {
		if t.live() && c.First < t.first+t.count && t.first < c.First+c.Count {
			w.executor.counts.DoubleStarts++
			return primrosespar.Fail(primrosespar.CodeConflict, "task %s/%d has accelerators %d+%d", t.status.Gang, t.status.Member, t.first, t.count)
		}
	}
	return nil
}

// parse reads the payload; an empty one gets the default run time.
func (h *Executor) parse(data []byte) (payload, *primrosespar.Failure) {
	var work payload
	if len(data) > 0 {
		if err := json.Unmarshal(data, &work); err != nil {
			return work, primrosespar.Fail(primrosespar.CodeBadSyntax, "work payload").WithCause(err)
		}
	}
	if work.RunTimeMS <= 0 {
		work.RunTimeMS = h.options.RunTime.Milliseconds()
	}
	return work, nil
}
