// Package executor simulates the workers of the stand-in platform in memory. It
// sets no timers: each call first processes everything that became due on the
// injected clock, in the order of the due times.
//
// # Usage
//
//	e := executor.New(executor.WithClock(clock))
//	e.Add(primrosespar.WorkerEntry{Worker: "w1", Place: "burnie-a", Accelerators: 8})
//	results, err := e.Do(ctx, "burnie-a", token, commands)
//	summary := e.Summary(15 * time.Second)
//
// The work of a start command is a JSON object with the optional fields
// run_time_ms, fail, members (the size of the gang), used_cores and
// used_memory_bytes.
package executor

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/btree"

	"primrosespar.example/primrosespar"
)

// treeDegree is the degree of the B-tree of due times.
const treeDegree = 16

// Executor simulates the platform's worker service. It is safe for concurrent
// use.
type Executor struct {
	mu      sync.Mutex
	options Options
	clock   primrosespar.Clock
	workers map[primrosespar.Worker]*worker
	// places maps each place to its workers, sorted by name.
	places map[primrosespar.Place][]*worker
	// dueTimes holds the next due time of each worker that has one.
	dueTimes *btree.BTreeG[dueTime]
	// cursor counts the changes of all workers. It starts above 0, because a
	// caller passes cursor 0 to get all workers.
	cursor uint64
	// cutOff holds the places whose calls are refused.
	cutOff map[primrosespar.Place]bool
	// checkpoints holds the saved progress of each gang member, from which a
	// later attempt continues.
	checkpoints map[taskKey]time.Duration
	history     []Event
	counts      Counts
}

// dueTime is the time of a worker's next change that no command causes.
type dueTime struct {
	at     time.Time
	worker primrosespar.Worker
}

// Counts are totals since the Executor was created.
type Counts struct {
	Commands uint64 `json:"commands"`
	// Refused counts commands with a result other than CodeOK.
	Refused uint64 `json:"refused"`
	// DoubleStarts counts starts refused because another task holds one of the
	// accelerators.
	DoubleStarts uint64 `json:"double_starts"`
	// StaleTokens and StaleAttempts count commands refused because their worker
	// had seen a higher token or attempt. StaleAttempts also counts starts of
	// attempts that were already stopped.
	StaleTokens   uint64 `json:"stale_tokens"`
	StaleAttempts uint64 `json:"stale_attempts"`
	LeasesExpired uint64 `json:"leases_expired"`
}

var _ primrosespar.Workers = (*Executor)(nil)

// New returns an Executor without workers. WithClock is required.
func New(opts ...Option) *Executor {
	options := newOptions(opts)
	return &Executor{
		options: options,
		clock:   options.Clock,
		workers: map[primrosespar.Worker]*worker{},
		places:  map[primrosespar.Place][]*worker{},
		dueTimes: btree.NewG(treeDegree, func(a, b dueTime) bool {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker, b.worker)) < 0
		}),
		cursor:      1,
		cutOff:      map[primrosespar.Place]bool{},
		checkpoints: map[taskKey]time.Duration{},
	}
}

// Add adds a worker or updates the description of an existing one, which keeps
// its place, its tasks and its liveness. Alive and Tasks of the entry are
// ignored.
func (e *Executor) Add(entry primrosespar.WorkerEntry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	entry.Tasks = nil
	entry.Alive = true
	w, ok := e.workers[entry.Worker]
	if ok {
		entry.Place = w.entry.Place
		entry.Alive = w.entry.Alive
		w.entry = entry
		e.markChanged(w)
		return
	}
	w = newWorker(e, entry)
	e.workers[entry.Worker] = w
	workers := append(e.places[entry.Place], w)
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.entry.Worker, b.entry.Worker) })
	e.places[entry.Place] = workers
	e.markChanged(w)
}

// Changes returns the workers of the place that changed after the cursor, and
// the cursor for the next call.
func (e *Executor) Changes(_ context.Context, place primrosespar.Place, cursor uint64) ([]primrosespar.WorkerEntry, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.cutOff[place] {
		return nil, cursor, cutOffError(place)
	}
	var changed []primrosespar.WorkerEntry
	for _, w := range e.places[place] {
		if w.changeCursor > cursor {
			changed = append(changed, w.reportedEntry())
		}
	}
	return changed, e.cursor, nil
}

// Do executes the commands under the fencing token and returns one result for
// each.
func (e *Executor) Do(_ context.Context, place primrosespar.Place, token primrosespar.Token, commands []primrosespar.Command) ([]primrosespar.CommandResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.cutOff[place] {
		return nil, cutOffError(place)
	}
	results := make([]primrosespar.CommandResult, 0, len(commands))
	for _, command := range commands {
		e.counts.Commands++
		var result primrosespar.CommandResult
		if err := e.execute(place, token, command); err != nil {
			e.counts.Refused++
			result = primrosespar.CommandResult{Code: err.Code, Message: err.Message}
		}
		results = append(results, result)
	}
	return results, nil
}

// Counts returns the totals up to now.
func (e *Executor) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.counts
}

// cutOffError returns the error of a call for a place that is cut off.
func cutOffError(place primrosespar.Place) error {
	return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "place %s is cut off", place)
}

// execute checks the token of a command and passes the command to its worker.
func (e *Executor) execute(place primrosespar.Place, token primrosespar.Token, command primrosespar.Command) *primrosespar.Failure {
	w, ok := e.workers[command.Worker]
	if !ok || w.entry.Place != place {
		return primrosespar.Fail(primrosespar.CodeNotFound, "place %s has no worker %q", place, command.Worker)
	}
	if w.killed || w.unreachable {
		return primrosespar.Fail(primrosespar.CodeWorkerLost, "worker %s does not answer", command.Worker)
	}
	if token < w.token {
		e.counts.StaleTokens++
		return primrosespar.Fail(primrosespar.CodeStaleToken, "token %d is below %d, the highest seen", token, w.token)
	}
	w.token = token
	err := w.execute(command)
	e.schedule(w)
	return err
}

// advance processes everything that is due by now, in the order of the due
// times. The caller holds the lock.
func (e *Executor) advance() {
	now := e.clock.Now()
	for {
		due, ok := e.dueTimes.Min()
		if !ok || due.at.After(now) {
			return
		}
		w := e.workers[due.worker]
		w.advance(due.at)
		e.schedule(w)
	}
}

// schedule updates the worker's entry in dueTimes.
func (e *Executor) schedule(w *worker) {
	if w.scheduled {
		e.dueTimes.Delete(dueTime{at: w.scheduledFor, worker: w.entry.Worker})
	}
	w.scheduledFor, w.scheduled = w.nextChange()
	if w.scheduled {
		e.dueTimes.ReplaceOrInsert(dueTime{at: w.scheduledFor, worker: w.entry.Worker})
	}
}

// markChanged makes Changes return the worker to callers with an earlier
// cursor.
func (e *Executor) markChanged(w *worker) {
	e.cursor++
	w.changeCursor = e.cursor
}
