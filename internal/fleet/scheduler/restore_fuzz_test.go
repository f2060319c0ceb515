package scheduler_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// maxFuzzTasks bounds the tasks of a job of the fuzzer, because each takes
// memory.
const maxFuzzTasks = 2000

// FuzzStoredRows feeds any rows of a job to a new holder. It guards against rows
// that panic while they are decoded, restored or planned.
func FuzzStoredRows(f *testing.F) {
	enc, err := encoder.New()
	require.NoError(f, err)
	submission, err := enc.Submission(primrosespar.Submission{ID: "a", Queue: "plain", Steps: []primrosespar.Step{
		{Count: 2, Gang: true}, {Count: 3, After: []int{0}, LongRunning: true},
	}, Repeat: primrosespar.Repeat{Count: 3, Every: time.Second}})
	require.NoError(f, err)
	for _, p := range []encoder.Progress{
		{State: primrosespar.JobActive, Created: 1, Occurrences: []encoder.Occurrence{{Index: 0, Steps: [][]encoder.Unit{
			{{Phase: encoder.Placed, Run: 3, Failed: []uint64{1, math.MaxUint64}, Checkpoint: "c", Workers: []primrosespar.Worker{"w00", "w01", "w02"}}},
			{{Phase: encoder.Done, Run: 1}, {Phase: 9}, {}, {}},
			{{}},
		}}}},
		{State: primrosespar.JobCancelled, Finished: -1, Created: -1, Arrived: math.MinInt64, Occurrences: []encoder.Occurrence{{
			Index: -1, Steps: [][]encoder.Unit{{{Phase: encoder.Waiting, Run: math.MaxUint64, Workers: []primrosespar.Worker{"w00"}}}},
		}}},
		{State: "odd", Created: math.MaxInt64, Arrived: math.MaxInt64},
	} {
		row, err := enc.Progress(p)
		require.NoError(f, err)
		f.Add(submission, row)
	}
	f.Fuzz(func(t *testing.T, submission, progress []byte) {
		if wave, err := enc.ParseWave(progress); err == nil {
			_, err := enc.Wave(wave)
			require.NoError(t, err)
		}
		if request, err := enc.ParseJobRequest("a", progress); err == nil {
			require.Equal(t, primrosespar.JobID("a"), request.Job)
		}
		job, err := enc.ParseSubmission(submission)
		if err != nil || job.Validate() != nil {
			return
		}
		p, err := enc.ParseProgress(progress)
		if err != nil || tasks(job)*(len(p.Occurrences)+1) > maxFuzzTasks || job.Repeat.Count > 10 {
			return
		}
		requireRestorable(t, enc, job, p)
	})
}

// FuzzStoredPieces feeds any rows of a job that is stored in pieces to a new
// holder, like FuzzStoredRows.
func FuzzStoredPieces(f *testing.F) {
	enc, err := encoder.New()
	require.NoError(f, err)
	submission, err := enc.Submission(primrosespar.Submission{ID: "a", Queue: "plain", Steps: []primrosespar.Step{
		{Count: 300}, {Count: 1, After: []int{0}},
	}})
	require.NoError(f, err)
	progress, err := enc.Progress(encoder.Progress{
		State: primrosespar.JobActive, Created: 1, Split: true, Occurrences: []encoder.Occurrence{{Index: 0}},
	})
	require.NoError(f, err)
	done, err := enc.Piece(nil)
	require.NoError(f, err)
	units := make([]encoder.Unit, encoder.PieceTasks+1)
	units[0] = encoder.Unit{Phase: encoder.Placed, Run: 2, Workers: []primrosespar.Worker{"w00", "w01"}}
	units[1] = encoder.Unit{Phase: 9, Run: math.MaxUint64, Failed: []uint64{math.MaxUint64}}
	mixed, err := enc.Piece(units)
	require.NoError(f, err)
	for _, key := range []encoder.PieceKey{{}, {Index: 2}, {Step: 1}, {Step: -1, Index: -1}, {Step: math.MaxInt, Index: math.MaxInt}, {Occurrence: 1}} {
		f.Add(submission, progress, done, key.Occurrence, key.Step, key.Index)
		f.Add(submission, progress, mixed, key.Occurrence, key.Step, key.Index)
	}
	f.Fuzz(func(t *testing.T, submission, progress, piece []byte, occurrence, step, index int) {
		job, err := enc.ParseSubmission(submission)
		if err != nil || job.Validate() != nil {
			return
		}
		p, err := enc.ParseProgress(progress)
		if err != nil || tasks(job)*(len(p.Occurrences)+1) > maxFuzzTasks || job.Repeat.Count > 10 {
			return
		}
		units, err := enc.ParsePiece(piece)
		if err != nil {
			return
		}
		p.Pieces = map[encoder.PieceKey][]encoder.Unit{{Occurrence: occurrence, Step: step, Index: index}: units}
		requireRestorable(t, enc, job, p)
	})
}

// requireRestorable restores a job, plans it, reports on it and cancels it. Its
// records have to be encoded.
func requireRestorable(t *testing.T, enc *encoder.Encoder, job primrosespar.Submission, p encoder.Progress) {
	job.ID = "a"
	h := newHarness(t, 1)
	h.scheduler = scheduler.New(scheduler.WithWallClock(func(now time.Time) time.Time { return now }))
	h.scheduler.SetCatalog(testCatalog())
	h.scheduler.Restore(job, p, h.now)
	h.scheduler.SetWorkers(h.workers, h.now)
	for range 3 {
		h.plan()
		h.reportAllIdle()
		h.now = h.now.Add(time.Minute)
	}
	h.scheduler.View(h.now)
	h.scheduler.Explain("a", h.now)
	h.scheduler.Cancel("a", h.now)
	for _, record := range h.plan().Records {
		_, err := enc.Progress(record.Progress)
		require.NoError(t, err)
	}
}

// tasks returns the number of tasks of one occurrence of the job.
func tasks(job primrosespar.Submission) int {
	n := 0
	for _, step := range job.Steps {
		n += step.Count
	}
	return n
}
