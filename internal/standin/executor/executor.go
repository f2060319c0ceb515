// Package executor is the workers of the stand-in platform, simulated in memory.
// It has no timers: each call first carries out what became due on the
// injected clock, in the order of the due times.
//
// # Usage
//
//	h := executor.New(executor.WithClock(clock))
//	h.Add(primrosespar.WorkerEntry{Worker: "w1", Place: "burnie-a", Accelerators: 8})
//	results, err := h.Do(ctx, "burnie-a", token, commands)
//	summary := h.Summary(15 * time.Second)
//
// The payload of a start is JSON: run_time_ms, fail, and optionally members
// (the size of the gang), used_cores and used_memory_bytes.
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

// treeDegree is the branching factor of the tree of due times.
const treeDegree = 16

// Executor is a simulated Workers service that is safe for concurrent use.
type Executor struct {
	mu      sync.Mutex
	options Options
	clock   primrosespar.Clock
	workers map[primrosespar.Worker]*worker
	// places holds the workers of each place in the order of their names.
	places   map[primrosespar.Place][]*worker
	dueTimes *btree.BTreeG[dueTime]
	// cursor counts changes of all workers; it starts above 0 because cursor
	// 0 asks for everything.
	cursor      uint64
	cutOff      map[primrosespar.Place]bool
	checkpoints map[taskKey]time.Duration
	history     []Event
	counts      Counts
}

// dueTime is when a worker next changes by itself.
type dueTime struct {
	at     time.Time
	worker primrosespar.Worker
}

// Counts are totals since the executor was made.
type Counts struct {
	Commands uint64 `json:"commands"`
	// Refused counts commands with a result other than CodeOK.
	Refused uint64 `json:"refused"`
	// DoubleStarts counts starts refused because another task has one of the
	// accelerators.
	DoubleStarts  uint64 `json:"double_starts"`
	StaleTokens   uint64 `json:"stale_tokens"`
	StaleAttempts uint64 `json:"stale_attempts"`
	LeasesExpired uint64 `json:"leases_expired"`
}

var _ primrosespar.Workers = (*Executor)(nil)

// New returns an executor without workers; WithClock is required.
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

// Add installs a worker; Alive and Tasks of the entry are ignored. A worker
// that exists keeps its tasks and gets the new description.
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

// Changes returns the workers of the place that changed after the cursor.
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

// Do carries out commands under a fencing token.
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

// Counts returns the totals.
func (e *Executor) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.counts
}

// cutOffError is the error of a call from a place that is cut off.
func cutOffError(place primrosespar.Place) error {
	return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "place %s is cut off", place)
}

// execute checks the token of one command and passes it to its worker.
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
		return primrosespar.Fail(primrosespar.CodeStaleToken, "token %d is below %d", token, w.token)
	}
	w.token = token
	err := w.execute(command)
	e.schedule(w)
	return err
}

// advance carries out everything that is due by now.
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

// schedule files the worker under its next due time.
func (e *Executor) schedule(w *worker) {
	if w.scheduled {
		e.dueTimes.Delete(dueTime{at: w.scheduledFor, worker: w.entry.Worker})
	}
	w.scheduledFor, w.scheduled = w.nextChange()
	if w.scheduled {
		e.dueTimes.ReplaceOrInsert(dueTime{at: w.scheduledFor, worker: w.entry.Worker})
	}
}

// markChanged marks the worker as changed.
func (e *Executor) markChanged(w *worker) {
	e.cursor++
	w.changeCursor = e.cursor
}
