package controller_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// oddFleet is a primrosespar.Source and Fleet of a sound worker, whose tasks end
// at once, and of one that says it has ended a task that cannot exist.
type oddFleet struct {
	source
	primrosespar.Fleet
	mu    sync.Mutex
	ended []primrosespar.EndedRun
	polls uint64
}

// ListWorkers implements primrosespar.Source.
func (f *oddFleet) ListWorkers(context.Context) ([]primrosespar.WorkerInfo, error) {
	room := primrosespar.Resources{Millicores: 1000, MemoryMiB: 1000}
	return []primrosespar.WorkerInfo{
		{Worker: "odd", Service: "pool", StartedAt: time.UnixMilli(1)},
		{Worker: "sound", Service: "pool", StartedAt: time.UnixMilli(1), Capacity: room},
	}, nil
}

// Poll implements primrosespar.Fleet.
func (f *oddFleet) Poll(_ context.Context, poll primrosespar.Poll) (primrosespar.WorkerReport, error) {
	time.Sleep(20 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	report := primrosespar.WorkerReport{StartedAt: time.UnixMilli(1), Complete: true}
	if poll.Worker == "sound" {
		report.Ended = f.ended
		return report, nil
	}
	f.polls++
	task := primrosespar.TaskName{Job: "a", Step: -1, Index: -1}
	report.Ended = []primrosespar.EndedRun{{Sequence: f.polls, Run: primrosespar.Run{Task: task, Number: 1}, End: primrosespar.EndDone}}
	return report, nil
}

// Start implements primrosespar.Fleet.
func (f *oddFleet) Start(_ context.Context, start primrosespar.Start) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, primrosespar.EndedRun{Sequence: uint64(len(f.ended) + 1), Run: start.Run, End: primrosespar.EndDone})
	return nil
}

// TestOddReportCostsThatReport guards against a worker whose report ends each
// term: nothing would be scheduled any more.
func TestOddReportCostsThatReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &oddFleet{}
		ctx, cancel := context.WithCancel(t.Context())
		c := newControllerOf(t, keeper.New(keeper.WithClock(clockwork.NewRealClock())), fleet)
		ended := make(chan error, 1)
		oneTask := []primrosespar.Step{{Count: 1, Need: primrosespar.Resources{Millicores: 1}, Estimate: time.Second}}
		go func() {
			defer func() {
				if recovered := recover(); recovered != nil {
					ended <- primrosespar.Fail(primrosespar.CodeInternal, "%v", recovered)
				}
			}()
			ended <- c.Run(ctx)
		}()
		time.Sleep(time.Second)
		submit := func(id primrosespar.JobID) {
			require.Empty(t, ended)
			require.NoError(t, c.Submit(ctx, primrosespar.Submission{ID: id, Queue: "q", Steps: oneTask}))
			time.Sleep(2 * time.Second)
		}
		submit("a")
		submit("b")
		for _, id := range []primrosespar.JobID{"a", "b"} {
			state, err := c.State(ctx, primrosespar.JobRequest{Job: id, Queue: "q"})
			require.NoError(t, err)
			require.Equal(t, primrosespar.JobCompleted, state)
		}
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	})
}

// commitRows stores rows in the table.
func commitRows(t *testing.T, table primrosespar.Table, rows map[string][]byte) {
	var txn primrosespar.Txn
	for key, value := range rows {
		txn.Writes = append(txn.Writes, primrosespar.Write{Key: key, Value: value})
	}
	_, err := table.Commit(t.Context(), txn)
	require.NoError(t, err)
}

// encodeSubmission returns the stored form of a job.
func encodeSubmission(t *testing.T, job primrosespar.Submission) []byte {
	enc, err := encoder.New()
	require.NoError(t, err)
	row, err := enc.Submission(job)
	require.NoError(t, err)
	return row
}

// TestCancelInAFullInboxTakesEffect guards against a cancellation that is read
// from the inbox before its job, when more messages lie there than one page
// holds: it was deleted without effect, and the cancelled job ran.
func TestCancelInAFullInboxTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		rows := map[string][]byte{}
		var ids []primrosespar.JobID
		for i := range 450 {
			id := primrosespar.JobID(fmt.Sprintf("%016x", i))
			ids = append(ids, id)
			rows[primrosespar.FleetInboxSubmitKey(id)] = encodeSubmission(t, primrosespar.Submission{
				ID: id, Queue: "q", Steps: []primrosespar.Step{{Count: 1, Estimate: time.Second}},
			})
		}
		cancelled := []primrosespar.JobID{ids[0], ids[200], ids[449]}
		for _, id := range cancelled {
			rows[primrosespar.FleetInboxCancelKey(id)] = []byte(id)
		}
		commitRows(t, table, rows)
		ctx, cancel := context.WithCancel(t.Context())
		c := newController(t, table)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(10 * time.Second)
		for _, id := range ids {
			state, err := c.State(ctx, primrosespar.JobRequest{Job: id, Queue: "q"})
			require.NoError(t, err)
			require.Equal(t, slices.Contains(cancelled, id), state == primrosespar.JobCancelled, "%s is %s", id, state)
		}
		left, err := table.Scan(ctx, primrosespar.FleetInboxPrefix(), "", 10)
		require.NoError(t, err)
		require.Empty(t, left)
		cancel()
		require.Error(t, <-ended)
	})
}

// TestOddStoredRowsCostThoseRows guards against rows of the scheduler's own
// tables that cannot be decoded, or describe jobs that cannot be, and end each
// term or hide the rows behind them.
func TestOddStoredRowsCostThoseRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		enc, err := encoder.New()
		require.NoError(t, err)
		deep := append(bytes.Repeat([]byte{0x81}, 60_000), 0)
		progress, err := enc.Progress(encoder.Progress{State: primrosespar.JobActive, Occurrences: []encoder.Occurrence{{
			Index: -1, Steps: [][]encoder.Unit{{{Phase: encoder.Placed, Run: 1, Workers: []primrosespar.Worker{"w1", "w2"}}}},
		}}})
		require.NoError(t, err)
		jobs := map[primrosespar.JobID]primrosespar.Submission{
			"count":  {Queue: "q", Steps: []primrosespar.Step{{Count: 1 << 40}}},
			"none":   {Queue: "q", Steps: []primrosespar.Step{{Count: -1}}},
			"after":  {Queue: "q", Steps: []primrosespar.Step{{Count: 1, After: []int{-1}}}},
			"repeat": {Queue: "q", Steps: []primrosespar.Step{{Count: 1}}, Repeat: primrosespar.Repeat{Count: 1 << 40}},
			"need":   {Queue: "q", Steps: []primrosespar.Step{{Count: 2, Gang: true, Need: primrosespar.Resources{Accelerators: 1 << 62}}}},
		}
		rows := map[string][]byte{
			primrosespar.SubmissionKey("deep"):       deep,
			primrosespar.ProgressKey("deep"):         progress,
			primrosespar.ProgressKey("bytes"):        {0xff, 0xfe},
			primrosespar.WavePrefix() + "deep":       deep,
			primrosespar.WavePrefix() + "bytes":      {},
			primrosespar.FleetInboxPrefix() + "odd":  deep,
			primrosespar.FleetInboxCancelKey("none"): deep,
		}
		for id, job := range jobs {
			job.ID = id
			rows[primrosespar.SubmissionKey(id)] = encodeSubmission(t, job)
			rows[primrosespar.ProgressKey(id)] = progress
			rows[primrosespar.FleetInboxSubmitKey("0-"+id)] = encodeSubmission(t, job)
		}
		for i := range 250 {
			rows[primrosespar.FleetInboxSubmitKey(primrosespar.JobID(fmt.Sprintf("0-%d", i)))] = deep
		}
		sound := primrosespar.Submission{ID: "sound", Queue: "q", Steps: []primrosespar.Step{{Count: 1, Estimate: time.Second}}}
		rows[primrosespar.FleetInboxSubmitKey("sound")] = encodeSubmission(t, sound)
		commitRows(t, table, rows)
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		reports := map[string]int{}
		c := newReportingController(t, table, func(part string, err error) {
			mu.Lock()
			defer mu.Unlock()
			reports[part+": "+err.Error()]++
		})
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(10 * time.Second)
		state, err := c.State(ctx, primrosespar.JobRequest{Job: "sound", Queue: "q"})
		require.NoError(t, err)
		require.Equal(t, primrosespar.JobQueued, state)
		for id := range jobs {
			state, err := c.State(ctx, primrosespar.JobRequest{Job: id, Queue: "q"})
			require.NoError(t, err, id)
			require.Equal(t, primrosespar.JobActive, state, "%s is shown as it is stored", id)
		}
		require.Equal(t, primrosespar.CodeOutOfRange, primrosespar.CodeOf(c.Submit(ctx, jobs["count"])), "a host may send one, too")
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
		mu.Lock()
		defer mu.Unlock()
		require.NotEmpty(t, reports)
		for report, times := range reports {
			require.Equal(t, 1, times, report)
		}
	})
}

// maintained is a source on a platform with machine maintenance and no waves.
type maintained struct {
	source
	primrosespar.MaintenanceService
}

// Waves implements primrosespar.MaintenanceService.
func (maintained) Waves(context.Context) ([]primrosespar.Wave, error) { return nil, nil }
