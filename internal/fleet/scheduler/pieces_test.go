package scheduler_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// maxRowBytes is the limit of the platform on a row.
const maxRowBytes = 65_536

// rowFleet is a harness whose records are stored as rows, and whose workers run
// each task once.
type rowFleet struct {
	*harness
	encoder *encoder.Encoder
	random  *rand.Rand
	job     primrosespar.Submission
	head    []byte
	pieces  map[encoder.PieceKey][]byte
	active  map[primrosespar.Worker][]primrosespar.Run
	ends    map[primrosespar.Worker]uint64
	started map[primrosespar.TaskName]bool
}

// newRowFleet returns a fleet of idle workers to which the job was submitted.
func newRowFleet(t *testing.T, submission primrosespar.Submission, opts ...scheduler.Option) *rowFleet {
	e, err := encoder.New()
	require.NoError(t, err)
	f := &rowFleet{
		harness: newHarness(t, 12, opts...), encoder: e, random: rand.New(rand.NewPCG(1, 2)), job: submission,
		pieces: map[encoder.PieceKey][]byte{}, active: map[primrosespar.Worker][]primrosespar.Run{},
		ends: map[primrosespar.Worker]uint64{}, started: map[primrosespar.TaskName]bool{},
	}
	for i := range f.workers {
		// Names as long as those of the platform.
		f.workers[i].Worker = "cs-ouessant-b-17-" + f.workers[i].Worker
	}
	f.scheduler.SetWorkers(f.workers, f.now)
	f.reportAllIdle()
	f.scheduler.Submit(submission, f.now)
	return f
}

// store plans, stores the record and starts what is to be started.
func (f *rowFleet) store() {
	changes := f.plan()
	for _, r := range changes.Records {
		var err error
		f.head, err = f.encoder.Progress(r.Progress)
		require.NoError(f.t, err)
		require.LessOrEqual(f.t, len(f.head), maxRowBytes)
		for key, units := range r.Progress.Pieces {
			f.pieces[key], err = f.encoder.Piece(units)
			require.NoError(f.t, err)
			require.LessOrEqual(f.t, len(f.pieces[key]), maxRowBytes)
		}
		for _, key := range r.Dropped {
			delete(f.pieces, key)
		}
	}
	for _, o := range changes.Starts {
		require.False(f.t, f.started[o.Run.Task], "%v was started twice", o.Run.Task)
		f.started[o.Run.Task] = true
		f.active[o.Worker] = append(f.active[o.Worker], o.Run)
	}
	f.acceptStarts(changes.Starts)
	require.Empty(f.t, changes.Stops)
}

// report lets all workers report; each run ends with the given probability.
// Members of gangs end together.
func (f *rowFleet) report(share float64) {
	f.now = f.now.Add(100 * time.Millisecond)
	gangEnds := f.random.Float64() < share
	for i, w := range f.workers {
		var active []primrosespar.ActiveRun
		var ended []primrosespar.EndedRun
		f.active[w.Worker] = slices.DeleteFunc(f.active[w.Worker], func(run primrosespar.Run) bool {
			ends := f.random.Float64() < share
			if f.job.Steps[run.Task.Step].Gang {
				ends = gangEnds
			}
			if !ends {
				active = append(active, primrosespar.ActiveRun{Run: run, Percent: f.random.Float64() * 50})
				return false
			}
			f.ends[w.Worker]++
			ended = append(ended, primrosespar.EndedRun{Sequence: f.ends[w.Worker], Run: run, End: primrosespar.EndDone})
			return true
		})
		f.harness.report(i, active, ended...)
	}
}

// changeHolder starts a new holder from the rows.
func (f *rowFleet) changeHolder() {
	f.scheduler = scheduler.New()
	f.scheduler.SetCatalog(testCatalog())
	progress, err := f.encoder.ParseProgress(f.head)
	require.NoError(f.t, err)
	progress.Pieces = map[encoder.PieceKey][]encoder.Unit{}
	for key, data := range f.pieces {
		progress.Pieces[key], err = f.encoder.ParsePiece(data)
		require.NoError(f.t, err)
	}
	f.scheduler.Restore(f.job, progress, f.now)
	f.scheduler.SetWorkers(f.workers, f.now)
}

// TestLargeJobSurvivesChangesOfHolder guards against tasks of a job in pieces
// that run twice, or not at all, after a change of the holder, and against rows
// that are too large or stay.
func TestLargeJobSurvivesChangesOfHolder(t *testing.T) {
	need := primrosespar.Resources{Millicores: 50, MemoryMiB: 64}
	f := newRowFleet(t, primrosespar.Submission{
		ID: "a", Queue: "plain", Account: "nord", Spec: "x",
		Repeat: primrosespar.Repeat{Count: 3, Start: time.Unix(1_000_000, 0), Every: time.Second},
		Steps: []primrosespar.Step{
			{Count: 300, Need: need, Estimate: time.Second},
			{Count: 200, Need: need, Estimate: time.Second, Gang: true, After: []int{0}},
			{Count: 130, Need: need, Estimate: time.Second, After: []int{1}},
		},
	})
	overlapping := false
	for round := 0; len(f.head) == 0 || !jobEnded(f); round++ {
		require.Less(t, round, 400, "the job does not end")
		f.store()
		occurrences := map[int]bool{}
		for key := range f.pieces {
			occurrences[key.Occurrence] = true
		}
		overlapping = overlapping || len(occurrences) > 1
		if round%3 == 2 {
			f.changeHolder()
			f.report(0)
			f.store()
		}
		f.report(0.2)
	}
	require.Equal(t, primrosespar.JobCompleted, f.records["a"].Progress.State)
	require.True(t, overlapping)
	require.Len(t, f.started, 3*630)
	f.report(1)
	f.store()
	require.Empty(t, slices.Collect(maps.Keys(f.pieces)))
}

// jobEnded reports whether the stored job has ended.
func jobEnded(f *rowFleet) bool {
	progress, err := f.encoder.ParseProgress(f.head)
	require.NoError(f.t, err)
	return progress.State.Ended()
}

// TestJobThatOutgrowsItsRowIsSplit guards against a job whose occurrences
// overlap until its row is too large.
func TestJobThatOutgrowsItsRowIsSplit(t *testing.T) {
	f := newRowFleet(t, primrosespar.Submission{
		ID: "a", Queue: "plain", Account: "nord", Spec: "x",
		Repeat: primrosespar.Repeat{Count: 200, Start: time.Unix(1_000_000, 0), Every: 100 * time.Millisecond},
		Steps:  []primrosespar.Step{{Count: 20, Need: primrosespar.Resources{Millicores: 50, MemoryMiB: 64}, Estimate: time.Hour}},
	})
	for range 150 {
		f.store()
		f.report(0)
	}
	f.changeHolder()
	for round := 0; !jobEnded(f); round++ {
		require.Less(t, round, 400, "the job does not end")
		f.report(0.3)
		f.store()
	}
	require.Len(t, f.started, 200*20)
}

// TestFailuresOfALongRunningTaskAreBounded guards against a row that grows with
// each failure of a task that is restarted however often it fails.
func TestFailuresOfALongRunningTaskAreBounded(t *testing.T) {
	for _, longRunning := range []bool{true, false} {
		h := newHarness(t, 12)
		h.reportAllIdle()
		catalog := testCatalog()
		catalog.Queues[1].Attempts = 900
		h.scheduler.SetCatalog(catalog)
		starts := h.submitAndStart(job("a", "plain", primrosespar.Step{Count: 1, LongRunning: longRunning, Need: needAccelerators(1)}))
		ends := map[int]uint64{}
		for range 500 {
			index := h.workerIndex(starts[0].Worker)
			ends[index]++
			h.report(index, nil, primrosespar.EndedRun{Sequence: ends[index], Run: starts[0].Run, End: primrosespar.EndFailed})
			for starts = nil; len(starts) == 0; h.now = h.now.Add(time.Second) {
				h.reportAllIdle()
				starts = h.plan().Starts
			}
			h.acceptStarts(starts)
		}
		view, _ := h.scheduler.Explain("a", h.now)
		require.Equal(t, 500, view.Steps[0].FailedRuns)
		require.LessOrEqual(t, len(h.records["a"].Progress.Occurrences[0].Steps[0][0].Failed), encoder.MaxFailedRuns+1)
	}
}

// TestOccurrencesThatOverlapAreBounded guards against a repeated job whose
// occurrences are all due, and that uses memory and bytes of its row for each.
func TestOccurrencesThatOverlapAreBounded(t *testing.T) {
	for _, limit := range []int64{1 << 40, 1 << 20} {
		f := newRowFleet(t, primrosespar.Submission{
			ID: "a", Queue: "plain", Account: "nord", Spec: "x",
			Repeat: primrosespar.Repeat{Count: 3000, Start: time.Unix(1000, 0), Every: time.Second},
			Steps:  []primrosespar.Step{{Count: 1, Need: primrosespar.Resources{Millicores: 50, MemoryMiB: 64}, Estimate: time.Second}},
		}, scheduler.WithJobMemory(limit))
		f.store()
		running := len(f.started)
		require.Positive(t, running)
		require.LessOrEqual(t, running, 1000)
		require.LessOrEqual(t, int64(running)*f.job.Memory(), limit)
		for round := 0; !jobEnded(f); round++ {
			require.Less(t, round, 400, "the job does not end")
			f.report(1)
			f.store()
		}
		require.Len(t, f.started, 3000)
	}
}

// TestCrashUnderAGangInPiecesCounts guards against a crash that the next holder
// does not notice, because the pieces of a gang do not hold the lifetimes of the
// workers that it was placed on.
func TestCrashUnderAGangInPiecesCounts(t *testing.T) {
	f := newRowFleet(t, primrosespar.Submission{ID: "a", Queue: "plain", Account: "nord", Steps: []primrosespar.Step{
		{Count: encoder.PieceTasks + 2, Need: primrosespar.Resources{Millicores: 50}, Estimate: time.Minute, Gang: true},
	}})
	for len(f.started) == 0 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.store()
	}
	f.report(0)
	f.changeHolder()
	for i, w := range f.workers {
		if len(f.active[w.Worker]) > 0 {
			f.workers[i].StartedAt = f.now
			f.active[w.Worker] = nil
			break
		}
	}
	f.scheduler.SetWorkers(f.workers, f.now)
	f.now = f.now.Add(time.Second)
	f.report(0)
	view, known := f.scheduler.Explain("a", f.now)
	require.True(t, known)
	require.Positive(t, view.Steps[0].Crashes)
}
