package controller_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
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
