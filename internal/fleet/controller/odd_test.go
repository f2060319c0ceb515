package controller_test

import (
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
	report := primrosespar.WorkerReport{StartedAt: time.UnixMilli(1)}
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
			state, err := c.State(ctx, id)
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
			state, err := c.State(ctx, id)
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
