package executor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// worker is one simulated worker.
type worker struct {
	executor *Executor
	entry    primrosespar.WorkerEntry
	// changeCursor is the cursor of the worker's last change.
	changeCursor uint64
	// token is the highest fencing token seen.
	token primrosespar.Token
	// highestAttempts holds the highest attempt seen of each gang.
	highestAttempts map[primrosespar.JobID]uint64
	// stoppedAttempts holds the last attempt of each task that was stopped, so
	// that a start that arrives after its stop is refused.
	stoppedAttempts map[taskKey]uint64
	tasks           map[taskKey]*task
	// leased reports whether the worker has a lease, which expires at leaseEnd.
	leased   bool
	leaseEnd time.Time
	killed   bool
	// unreachable reports whether commands fail to reach the worker.
	unreachable bool
	// failAll makes every task that starts fail.
	failAll bool
	// silentSince is when the worker was killed or became unreachable.
	silentSince time.Time
	// scheduled reports whether the worker is in Executor.dueTimes, under
	// scheduledFor.
	scheduled    bool
	scheduledFor time.Time
}

// taskKey identifies a task of a worker, and the checkpoint of a gang member.
type taskKey struct {
	gang   primrosespar.JobID
	member int
}

// newWorker returns a worker without tasks and without a lease.
func newWorker(e *Executor, entry primrosespar.WorkerEntry) *worker {
	return &worker{
		executor:        e,
		entry:           entry,
		highestAttempts: map[primrosespar.JobID]uint64{},
		stoppedAttempts: map[taskKey]uint64{},
		tasks:           map[taskKey]*task{},
	}
}

// reportedEntry returns the worker's entry with its tasks, as Changes reports
// it.
func (w *worker) reportedEntry() primrosespar.WorkerEntry {
	entry := w.entry
	for _, t := range w.sortedTasks() {
		entry.Tasks = append(entry.Tasks, t.status)
	}
	return entry
}

// sortedTasks returns the tasks sorted by gang and member.
func (w *worker) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.status.Gang, b.status.Gang), cmp.Compare(a.status.Member, b.status.Member))
	})
}

// execute executes a command whose token was accepted.
func (w *worker) execute(c primrosespar.Command) *primrosespar.Failure {
	if c.Kind == primrosespar.CommandRenew {
		return w.renew(c.Lease)
	}
	if c.Attempt < w.highestAttempts[c.Gang] {
		w.executor.counts.StaleAttempts++
		return primrosespar.Fail(primrosespar.CodeStaleAttempt, "attempt %d is below %d, the highest seen", c.Attempt, w.highestAttempts[c.Gang])
	}
	w.highestAttempts[c.Gang] = c.Attempt
	key := taskKey{c.Gang, c.Member}
	switch c.Kind {
	case primrosespar.CommandStart:
		return w.start(key, c)
	case primrosespar.CommandStop:
		w.stoppedAttempts[key] = c.Attempt
		if t := w.tasks[key]; t != nil && t.live() {
			w.endTask(t, primrosespar.TaskStopped, EventStopped, w.executor.clock.Now())
		}
		return nil
	case primrosespar.CommandForget:
		return w.forget(key)
	default:
		return w.executeOnTask(key, c)
	}
}

// executeOnTask applies a command to the existing task of its attempt.
func (w *worker) executeOnTask(key taskKey, c primrosespar.Command) *primrosespar.Failure {
	t := w.tasks[key]
	if t == nil {
		return primrosespar.Fail(primrosespar.CodeNotFound, "task %s/%d does not exist", c.Gang, c.Member)
	}
	if t.status.Attempt != c.Attempt {
		return primrosespar.Fail(primrosespar.CodeConflict, "the task belongs to attempt %d", t.status.Attempt)
	}
	return w.applyToTask(t, c.Kind)
}

// renew sets the worker's lease to end after the given time from now.
func (w *worker) renew(lease time.Duration) *primrosespar.Failure {
	if lease <= 0 {
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "lease %s is not positive", lease)
	}
	w.leased = true
	w.leaseEnd = w.executor.clock.Now().Add(lease)
	return nil
}

// forget removes an ended task, which is then no longer reported.
func (w *worker) forget(key taskKey) *primrosespar.Failure {
	t := w.tasks[key]
	if t == nil {
		return nil
	}
	if t.live() {
		return primrosespar.Fail(primrosespar.CodeConflict, "task %s/%d has not ended", key.gang, key.member)
	}
	delete(w.tasks, key)
	w.executor.markChanged(w)
	return nil
}

// applyToTask releases, throttles or checkpoints a live task.
func (w *worker) applyToTask(t *task, kind primrosespar.CommandKind) *primrosespar.Failure {
	now := w.executor.clock.Now()
	if !t.live() {
		return primrosespar.Fail(primrosespar.CodeConflict, "the task is %s", t.status.State)
	}
	switch kind {
	case primrosespar.CommandRelease:
		if t.status.State == primrosespar.TaskHeld {
			t.status.State = primrosespar.TaskRunning
			t.resumedAt = now
			t.usageReportTime = now.Add(w.executor.options.UsageLag)
			w.executor.recordEvent(EventReleased, w, t, now)
		}
	case primrosespar.CommandThrottle:
		if t.status.State == primrosespar.TaskRunning {
			t.progress = t.progressAt(now)
			t.status.State = primrosespar.TaskHeld
			w.executor.recordEvent(EventThrottled, w, t, now)
		}
	case primrosespar.CommandCheckpoint:
		if !t.checkpointing {
			t.checkpointing = true
			t.checkpointEnd = now.Add(w.executor.options.CheckpointTime)
		}
	default:
		return primrosespar.Fail(primrosespar.CodeBadRequest, "command %q does not exist", kind)
	}
	w.executor.markChanged(w)
	return nil
}

// endTask moves a live task to the given end state.
func (w *worker) endTask(t *task, state primrosespar.TaskState, kind EventKind, at time.Time) {
	t.progress = t.progressAt(at)
	t.status.State = state
	t.checkpointing = false
	w.executor.recordEvent(kind, w, t, at)
	w.executor.markChanged(w)
}

// endAllTasks stops all live tasks.
func (w *worker) endAllTasks(kind EventKind, at time.Time) {
	for _, t := range w.sortedTasks() {
		if t.live() {
			w.endTask(t, primrosespar.TaskStopped, kind, at)
		}
	}
}

// nextChange returns the time of the next change that no command causes, and
// whether there is one.
func (w *worker) nextChange() (time.Time, bool) {
	var earliest time.Time
	found := false
	consider := func(at time.Time) {
		if !found || at.Before(earliest) {
			earliest, found = at, true
		}
	}
	if w.leased {
		consider(w.leaseEnd)
	}
	if w.entry.Alive && (w.killed || w.unreachable) {
		consider(w.silentSince.Add(w.executor.options.SilenceTimeout))
	}
	for _, t := range w.tasks {
		if at, ok := t.nextChange(); ok {
			consider(at)
		}
	}
	return earliest, found
}

// advance processes what is due at the given time. Tasks that finish at the
// time at which the lease expires count as finished.
func (w *worker) advance(at time.Time) {
	for _, t := range w.sortedTasks() {
		w.advanceTask(t, at)
	}
	if w.leased && !w.leaseEnd.After(at) {
		w.leased = false
		w.executor.counts.LeasesExpired++
		w.endAllTasks(EventLeaseExpired, at)
	}
	silent := w.killed || w.unreachable
	if silent && w.entry.Alive && !w.silentSince.Add(w.executor.options.SilenceTimeout).After(at) {
		w.entry.Alive = false
		w.executor.markChanged(w)
	}
}

// advanceTask processes what is due for the task at the given time.
func (w *worker) advanceTask(t *task, at time.Time) {
	if !t.live() {
		return
	}
	if t.checkpointing && !t.checkpointEnd.After(at) {
		t.checkpointing = false
		t.status.Checkpointed = true
		key := taskKey{t.status.Gang, t.status.Member}
		w.executor.checkpoints[key] = max(w.executor.checkpoints[key], t.progressAt(at))
		w.executor.markChanged(w)
	}
	if t.status.State != primrosespar.TaskRunning {
		return
	}
	if !t.usageReportTime.IsZero() && !t.usageReportTime.After(at) {
		t.usageReportTime = time.Time{}
		t.status.UsedCores = t.payload.UsedCores
		t.status.UsedMemoryBytes = t.payload.UsedMemoryBytes
		w.executor.markChanged(w)
	}
	if t.finishTime().After(at) {
		return
	}
	if t.payload.Fail {
		w.endTask(t, primrosespar.TaskFailed, EventFailed, at)
		return
	}
	delete(w.executor.checkpoints, taskKey{t.status.Gang, t.status.Member})
	w.endTask(t, primrosespar.TaskFinished, EventFinished, at)
}
