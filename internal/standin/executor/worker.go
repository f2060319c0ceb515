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
	changed  uint64
	token    primrosespar.Token
	// attempts holds the highest attempt seen per gang, stopped the highest
	// attempt per task that a stop named, so that a start that was overtaken
	// by its stop is refused.
	attempts map[primrosespar.JobID]uint64
	stopped  map[taskKey]uint64
	tasks    map[taskKey]*task
	// leased says whether the worker has a lease; it lapses at leaseEnd.
	leased      bool
	leaseEnd    time.Time
	killed      bool
	unreachable bool
	failAll     bool
	silentSince time.Time
	filed       bool
	filedAt     time.Time
}

// taskKey names a task of a worker, and the saved progress of a member.
type taskKey struct {
	gang   primrosespar.JobID
	member int
}

// newWorker returns a worker without tasks or lease.
func newWorker(h *Executor, entry primrosespar.WorkerEntry) *worker {
	return &worker{
		executor: h,
		entry:    entry,
		attempts: map[primrosespar.JobID]uint64{},
		stopped:  map[taskKey]uint64{},
		tasks:    map[taskKey]*task{},
	}
}

// report returns the entry as the platform shows it.
func (w *worker) report() primrosespar.WorkerEntry {
	entry := w.entry
	for _, t := range w.ordered() {
		entry.Tasks = append(entry.Tasks, t.status)
	}
	return entry
}

// ordered returns the tasks by gang and member.
func (w *worker) ordered() []*task {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.status.Gang, b.status.Gang), cmp.Compare(a.status.Member, b.status.Member))
	})
}

// do carries out a command whose token was accepted.
func (w *worker) do(c primrosespar.Command) *primrosespar.Failure {
	if c.Kind == primrosespar.CommandRenew {
		return w.renew(c.Lease)
	}
	if c.Attempt < w.attempts[c.Gang] {
		w.executor.counts.StaleAttempts++
		return primrosespar.Fail(primrosespar.CodeStaleAttempt, "attempt %d is below %d", c.Attempt, w.attempts[c.Gang])
	}
	w.attempts[c.Gang] = c.Attempt
	key := taskKey{c.Gang, c.Member}
	switch c.Kind {
	case primrosespar.CommandStart:
		return w.start(key, c)
	case primrosespar.CommandStop:
		w.stopped[key] = c.Attempt
		if t := w.tasks[key]; t != nil && t.live() {
			w.end(t, primrosespar.TaskStopped, EventStopped, w.executor.clock.Now())
		}
		return nil
	case primrosespar.CommandForget:
		return w.forget(key)
	default:
		return w.changeTask(key, c)
	}
}

// changeTask passes a command to the task of its attempt.
func (w *worker) changeTask(key taskKey, c primrosespar.Command) *primrosespar.Failure {
	t := w.tasks[key]
	if t == nil {
		return primrosespar.Fail(primrosespar.CodeNotFound, "no task %s/%d", c.Gang, c.Member)
	}
	if t.status.Attempt != c.Attempt {
		return primrosespar.Fail(primrosespar.CodeConflict, "the task is of attempt %d", t.status.Attempt)
	}
	return w.change(t, c.Kind)
}

// renew extends the lease of the worker.
func (w *worker) renew(lease time.Duration) *primrosespar.Failure {
	if lease <= 0 {
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "lease %s is not above 0", lease)
	}
	w.leased = true
	w.leaseEnd = w.executor.clock.Now().Add(lease)
	return nil
}

// forget drops an ended task from the report.
func (w *worker) forget(key taskKey) *primrosespar.Failure {
	t := w.tasks[key]
	if t == nil {
		return nil
	}
	if t.live() {
		return primrosespar.Fail(primrosespar.CodeConflict, "task %s/%d has not ended", key.gang, key.member)
	}
	delete(w.tasks, key)
	w.executor.touch(w)
	return nil
}

// change carries out release, throttle and checkpoint.
func (w *worker) change(t *task, kind primrosespar.CommandKind) *primrosespar.Failure {
	now := w.executor.clock.Now()
	if !t.live() {
		return primrosespar.Fail(primrosespar.CodeConflict, "the task is %s", t.status.State)
	}
	switch kind {
	case primrosespar.CommandRelease:
		if t.status.State == primrosespar.TaskHeld {
			t.status.State = primrosespar.TaskRunning
			t.resumed = now
			t.usageAt = now.Add(w.executor.options.UsageLag)
			w.executor.log(EventReleased, w, t, now)
		}
	case primrosespar.CommandThrottle:
		if t.status.State == primrosespar.TaskRunning {
			t.worked = t.workedBy(now)
			t.status.State = primrosespar.TaskHeld
			w.executor.log(EventThrottled, w, t, now)
		}
	case primrosespar.CommandCheckpoint:
		if !t.checkpointing {
			t.checkpointing = true
			t.checkpointAt = now.Add(w.executor.options.CheckpointTime)
		}
	default:
		return primrosespar.Fail(primrosespar.CodeBadRequest, "no command %q", kind)
	}
	w.executor.touch(w)
	return nil
}

// end moves a live task to an ended state.
func (w *worker) end(t *task, state primrosespar.TaskState, kind EventKind, at time.Time) {
	t.worked = t.workedBy(at)
	t.status.State = state
	t.checkpointing = false
	w.executor.log(kind, w, t, at)
	w.executor.touch(w)
}

// endAll ends all live tasks.
func (w *worker) endAll(kind EventKind, at time.Time) {
	for _, t := range w.ordered() {
		if t.live() {
			w.end(t, primrosespar.TaskStopped, kind, at)
		}
	}
}

// next returns when the worker next changes by itself.
func (w *worker) next() (time.Time, bool) {
	var first time.Time
	found := false
	consider := func(at time.Time) {
		if !found || at.Before(first) {
			first, found = at, true
		}
	}
	if w.leased {
		consider(w.leaseEnd)
	}
	if w.entry.Alive && (w.killed || w.unreachable) {
		consider(w.silentSince.Add(w.executor.options.SilentTime))
	}
	for _, t := range w.tasks {
		if at, ok := t.next(); ok {
			consider(at)
		}
	}
	return first, found
}

// advance carries out what is due at this moment. Tasks that finish at the
// moment the lease lapses have finished.
func (w *worker) advance(at time.Time) {
	for _, t := range w.ordered() {
		w.advanceTask(t, at)
	}
	if w.leased && !w.leaseEnd.After(at) {
		w.leased = false
		w.executor.counts.LeasesExpired++
		w.endAll(EventLeaseExpired, at)
	}
	silent := w.killed || w.unreachable
	if silent && w.entry.Alive && !w.silentSince.Add(w.executor.options.SilentTime).After(at) {
		w.entry.Alive = false
		w.executor.touch(w)
	}
}

// advanceTask carries out what is due for one task.
func (w *worker) advanceTask(t *task, at time.Time) {
	if !t.live() {
		return
	}
	if t.checkpointing && !t.checkpointAt.After(at) {
		t.checkpointing = false
		t.status.Checkpointed = true
		key := taskKey{t.status.Gang, t.status.Member}
		w.executor.saved[key] = max(w.executor.saved[key], t.workedBy(at))
		w.executor.touch(w)
	}
	if t.status.State != primrosespar.TaskRunning {
		return
	}
	if !t.usageAt.IsZero() && !t.usageAt.After(at) {
		t.usageAt = time.Time{}
		t.status.UsedCores = t.work.UsedCores
		t.status.UsedMemoryBytes = t.work.UsedMemoryBytes
		w.executor.touch(w)
	}
	if t.finishAt().After(at) {
		return
	}
	if t.work.Fail {
		w.end(t, primrosespar.TaskFailed, EventFailed, at)
		return
	}
	delete(w.executor.saved, taskKey{t.status.Gang, t.status.Member})
	w.end(t, primrosespar.TaskFinished, EventFinished, at)
}
