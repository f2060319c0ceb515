package controller_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/controller"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// Limits of the platform on a transaction.
const (
	maxRowBytes = 65_536
	maxEntries  = 100
	maxTxnBytes = 1_000_000
)

// limitedTable is a primrosespar.Table with the limits of the platform. It gets
// no further commits once left has run out.
type limitedTable struct {
	primrosespar.Table
	latency time.Duration
	refused atomic.Int64
	left    atomic.Int64
}

// Commit implements primrosespar.Table.
func (t *limitedTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	if t.left.Add(-1) < 0 {
		<-ctx.Done()
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
	}
	total := 0
	for _, w := range txn.Writes {
		total += base64.StdEncoding.EncodedLen(len(w.Value)) + len(w.Key)
		if len(w.Value) > maxRowBytes {
			t.refused.Add(1)
			return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "row %s is too large", w.Key)
		}
	}
	if len(txn.Writes)+len(txn.Conditions) > maxEntries || total > maxTxnBytes {
		t.refused.Add(1)
		return nil, primrosespar.Fail(primrosespar.CodeBadRequest, "the transaction is too large")
	}
	time.Sleep(t.latency)
	return t.Table.Commit(ctx, txn)
}

// workingFleet is a primrosespar.Source and Fleet whose workers do tasks.
type workingFleet struct {
	source
	primrosespar.Fleet
	mu      sync.Mutex
	workers map[primrosespar.Worker]*workingWorker
	// active counts the runs of a task, acknowledged holds the tasks whose
	// success was acknowledged.
	active       map[primrosespar.TaskName]int
	acknowledged map[primrosespar.TaskName]bool
	// twice counts the tasks that were started beside another run or after that.
	twice int
}

// workingWorker is a worker of a workingFleet.
type workingWorker struct {
	cores    int
	taskTime time.Duration
	runs     map[primrosespar.Run]time.Time
	ended    []primrosespar.EndedRun
	ends     uint64
}

// newWorkingFleet returns a fleet of idle workers.
func newWorkingFleet(workers ...*workingWorker) *workingFleet {
	f := &workingFleet{
		workers: map[primrosespar.Worker]*workingWorker{}, active: map[primrosespar.TaskName]int{}, acknowledged: map[primrosespar.TaskName]bool{},
	}
	for i, w := range workers {
		w.runs = map[primrosespar.Run]time.Time{}
		f.workers[primrosespar.Worker(fmt.Sprintf("cs-ouessant-b-17-%03d", i))] = w
	}
	return f
}

// equalWorkers returns workers that do each task in a second.
func equalWorkers() []*workingWorker {
	var workers []*workingWorker
	for range 16 {
		workers = append(workers, &workingWorker{cores: 100, taskTime: time.Second})
	}
	return workers
}

// ListWorkers implements primrosespar.Source.
func (f *workingFleet) ListWorkers(context.Context) ([]primrosespar.WorkerInfo, error) {
	var workers []primrosespar.WorkerInfo
	for _, name := range slices.Sorted(maps.Keys(f.workers)) {
		workers = append(workers, primrosespar.WorkerInfo{
			Worker: name, Service: "pool", StartedAt: time.UnixMilli(1),
			Capacity: primrosespar.Resources{Millicores: 1000 * f.workers[name].cores, MemoryMiB: 1 << 20},
		})
	}
	return workers, nil
}

// Start implements primrosespar.Fleet.
func (f *workingFleet) Start(_ context.Context, start primrosespar.Start) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[start.Worker]
	if _, known := w.runs[start.Run]; known {
		return nil
	}
	if f.active[start.Run.Task] > 0 || f.acknowledged[start.Run.Task] {
		f.twice++
	}
	f.active[start.Run.Task]++
	w.runs[start.Run] = time.Now()
	return nil
}

// Stop implements primrosespar.Fleet.
func (f *workingFleet) Stop(_ context.Context, stop primrosespar.Stop) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(f.workers[stop.Worker], stop.Run, primrosespar.EndStopped)
	return nil
}

// end ends a run. The caller holds the lock.
func (f *workingFleet) end(w *workingWorker, run primrosespar.Run, end primrosespar.RunEnd) {
	if _, active := w.runs[run]; !active {
		return
	}
	delete(w.runs, run)
	f.active[run.Task]--
	w.ends++
	w.ended = append(w.ended, primrosespar.EndedRun{Sequence: w.ends, Run: run, End: end})
}

// Poll implements primrosespar.Fleet.
func (f *workingFleet) Poll(_ context.Context, poll primrosespar.Poll) (primrosespar.WorkerReport, error) {
	time.Sleep(50 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[poll.Worker]
	var kept []primrosespar.EndedRun
	for _, e := range w.ended {
		if e.Sequence > poll.Acknowledged {
			kept = append(kept, e)
		} else if e.End == primrosespar.EndDone {
			f.acknowledged[e.Run.Task] = true
		}
	}
	w.ended = kept
	report := primrosespar.WorkerReport{StartedAt: time.UnixMilli(1), Clock: time.Duration(time.Now().UnixNano() % int64(time.Hour))}
	for run, startedAt := range w.runs {
		if time.Since(startedAt) > w.taskTime {
			f.end(w, run, primrosespar.EndDone)
		} else {
			report.Active = append(report.Active, primrosespar.ActiveRun{Run: run, Percent: time.Since(startedAt).Seconds()})
		}
	}
	report.Ended = append(report.Ended, w.ended...)
	return report, nil
}

// largeJob returns a job with a step of many small tasks, another one that
// follows it, and a gang.
func largeJob(tasks int) primrosespar.Submission {
	need := primrosespar.Resources{Millicores: 50, MemoryMiB: 16}
	return primrosespar.Submission{ID: "large", Queue: "q", Steps: []primrosespar.Step{
		{Count: tasks, Need: need, Estimate: time.Second},
		{Count: 300, Need: need, Estimate: time.Second, After: []int{0}},
		{Count: 600, Need: need, Estimate: time.Second, Gang: true},
	}}
}

// requireRows requires that the table has the number of rows of progress: the
// pieces of an ended job must be deleted.
func requireRows(t *testing.T, table primrosespar.Table, n int) {
	rows, err := table.Scan(t.Context(), primrosespar.ProgressPrefix(), "", 400)
	require.NoError(t, err)
	require.Len(t, rows, n)
}

// TestLargeJobIsDone guards against a job whose rows the store refuses, and
// against other jobs that do not go on beside it.
func TestLargeJobIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &limitedTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock()))}
		table.left.Store(1 << 40)
		ctx, cancel := context.WithCancel(t.Context())
		c := newControllerOf(t, table, newWorkingFleet(equalWorkers()...))
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(time.Second)
		require.NoError(t, c.Submit(ctx, largeJob(4000)))
		require.NoError(t, c.Submit(ctx, job("small")))
		time.Sleep(20 * time.Second)
		for _, id := range []primrosespar.JobID{"large", "small"} {
			state, err := c.State(ctx, id)
			require.NoError(t, err)
			require.Equal(t, primrosespar.JobCompleted, state)
		}
		requireRows(t, table, 2)
		require.Zero(t, table.refused.Load())
		cancel()
		require.Error(t, <-ended)
	})
}

// TestHolderMayDieAtAnyCommitOfALargeJob guards against a large start whose rows
// need several transactions, and of which a task runs twice or not at all after
// the holder died between two of them.
func TestHolderMayDieAtAnyCommitOfALargeJob(t *testing.T) {
	const tasks = 12_000
	for commits := int64(0); commits < 40; commits += 3 {
		synctest.Test(t, func(t *testing.T) {
			table := &limitedTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock())), latency: 100 * time.Millisecond}
			table.left.Store(1 << 40)
			fleet := newWorkingFleet(equalWorkers()...)
			term := func(left int64) {
				ctx, cancel := context.WithCancel(t.Context())
				c := newControllerOf(t, table, fleet)
				ended := make(chan error, 1)
				go func() { ended <- c.Run(ctx) }()
				time.Sleep(time.Second)
				table.left.Store(left)
				go func() { _ = c.Submit(ctx, largeJob(tasks)) }()
				time.Sleep(4 * time.Second)
				if left > 100 {
					time.Sleep(30 * time.Second)
					state, err := c.State(ctx, "large")
					require.NoError(t, err)
					require.Equal(t, primrosespar.JobCompleted, state)
					requireRows(t, table, 1)
				}
				cancel()
				require.Error(t, <-ended)
				table.left.Store(1 << 40)
			}
			term(commits)
			term(commits + 1)
			term(1 << 40)
			require.Zero(t, fleet.twice)
			require.Zero(t, table.refused.Load())
		})
	}
}

// TestPiecesOfNoOccurrenceAreDeleted guards against rows that stay for ever
// because the commit that made them needless was cut short.
func TestPiecesOfNoOccurrenceAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		c, stop := runTerm(t, table)
		require.NoError(t, c.Submit(t.Context(), job("a")))
		require.NoError(t, c.Submit(t.Context(), largeJob(200)))
		stop()
		var writes []primrosespar.Write
		for _, key := range []string{
			primrosespar.ProgressPieceKey("a", "000000.000.000"), primrosespar.ProgressPieceKey("b", "000000.000.000"),
			primrosespar.ProgressPieceKey("large", "000001.000.000"),
		} {
			writes = append(writes, primrosespar.Write{Key: key, Value: []byte{0x81, 0xf6}})
		}
		_, err := table.Commit(t.Context(), primrosespar.Txn{Writes: writes})
		require.NoError(t, err)
		c, stop = runTerm(t, table)
		requireRows(t, table, 2)
		for _, id := range []primrosespar.JobID{"a", "large"} {
			state, err := c.State(t.Context(), id)
			require.NoError(t, err)
			require.Equal(t, primrosespar.JobQueued, state)
		}
		stop()
	})
}

// TestPiecesThatWaitForACommitAreKept guards against changes of a job that are
// lost because the job changes again while they wait for the next transaction.
func TestPiecesThatWaitForACommitAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &limitedTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock())), latency: 200 * time.Millisecond}
		table.left.Store(1 << 40)
		// Tasks in all pieces end on the last worker, then one of the first piece
		// on the one before, and the job goes on.
		fleet := newWorkingFleet(&workingWorker{cores: 1, taskTime: 20 * time.Second},
			&workingWorker{cores: 1, taskTime: 1100 * time.Millisecond}, &workingWorker{cores: 100_000, taskTime: time.Second})
		for range 2 {
			ctx, cancel := context.WithCancel(t.Context())
			c := newControllerOf(t, table, fleet)
			ended := make(chan error, 1)
			go func() { ended <- c.Run(ctx) }()
			time.Sleep(time.Second)
			require.NoError(t, c.Submit(ctx, primrosespar.Submission{ID: "large", Queue: "q", Steps: []primrosespar.Step{
				{Count: 12_000, Need: primrosespar.Resources{Millicores: 1000, MemoryMiB: 16}, Estimate: time.Second},
			}}))
			time.Sleep(6 * time.Second)
			cancel()
			require.Error(t, <-ended)
		}
		require.Len(t, fleet.acknowledged, 12_000-1)
		require.Zero(t, fleet.twice)
	})
}

// TestJobThatCannotBeCarriedIsRejected guards against jobs that are accepted and
// that the host has no memory for.
func TestJobThatCannotBeCarriedIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newControllerOf(t, keeper.New(keeper.WithClock(clockwork.NewRealClock())), source{}, controller.WithJobMemory(100_000))
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		requireRefused := func(code primrosespar.Code, submission primrosespar.Submission) {
			err := c.Submit(ctx, submission)
			require.Equal(t, code, primrosespar.CodeOf(err))
			var failure *primrosespar.Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, primrosespar.RanNot, failure.Ran)
			_, err = c.State(ctx, submission.ID)
			require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(err))
		}
		requireRefused(primrosespar.CodeJobTooLarge, largeJob(12_000))
		require.NoError(t, c.Submit(ctx, largeJob(9_000)))
		require.NoError(t, c.Submit(ctx, largeJob(9_000)), "a job that is known is accepted again")
		requireRefused(primrosespar.CodeQueueFull, job("a"))
		require.NoError(t, c.Cancel(ctx, "large"))
		require.NoError(t, c.Submit(ctx, job("a")))
		cancel()
		require.Error(t, <-ended)
	})
}
