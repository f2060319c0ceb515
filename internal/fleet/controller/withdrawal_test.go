package controller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// distantFleet is a workingFleet whose workers are far away, so that starts take
// long. It records when the last one arrived.
type distantFleet struct {
	*workingFleet
	delay  time.Duration
	lastAt time.Time
}

// Stop implements primrosespar.Fleet.
func (f *distantFleet) Stop(ctx context.Context, stop primrosespar.Stop) error {
	time.Sleep(f.delay / 2)
	err := f.workingFleet.Stop(ctx, stop)
	time.Sleep(f.delay / 2)
	return err
}

// Start implements primrosespar.Fleet.
func (f *distantFleet) Start(ctx context.Context, start primrosespar.Start) error {
	time.Sleep(f.delay / 2)
	err := f.workingFleet.Start(ctx, start)
	f.mu.Lock()
	f.lastAt = time.Now()
	f.mu.Unlock()
	time.Sleep(f.delay / 2)
	return err
}

// TestStartsOfACancelledJobAreNotSent guards against tasks that start long after
// the cancellation of their job, because thousands of starts wait to be sent.
func TestStartsOfACancelledJobAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 60 * time.Millisecond
		fleet := &distantFleet{workingFleet: newWorkingFleet(nil, &workingWorker{cores: 100, taskTime: time.Hour}), delay: delay}
		ctx, cancel := context.WithCancel(t.Context())
		c := newControllerOf(t, newLimitedTable(20*time.Millisecond), fleet)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(time.Second)
		require.NoError(t, c.Submit(ctx, primrosespar.Submission{ID: "j", Queue: "q", Steps: []primrosespar.Step{
			{Count: 1000, Need: primrosespar.Resources{Millicores: 50, MemoryMiB: 16}, Estimate: time.Hour},
		}}))
		time.Sleep(2 * time.Second)
		fleet.mu.Lock()
		started := len(fleet.active)
		fleet.mu.Unlock()
		require.Less(t, started, 500, "the starts do not wait")
		require.NoError(t, c.Cancel(ctx, own("j")))
		cancelledAt := time.Now()
		time.Sleep(20 * time.Second)
		fleet.mu.Lock()
		last := fleet.lastAt
		fleet.mu.Unlock()
		require.Less(t, last.Sub(cancelledAt), 2*delay)
		cancel()
		require.Error(t, <-ended)
	})
}

// TestRunsOfACancelledLargeJobEndInTime guards against tasks that run on for long
// after the cancellation of their job, because hundreds of stops wait to be sent.
func TestRunsOfACancelledLargeJobEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// cancelBound is how long the platform allows for the end of the tasks.
		const tasks, cancelBound = 400, 3 * time.Second
		fleet := &distantFleet{workingFleet: newWorkingFleet(nil, &workingWorker{cores: 100, taskTime: time.Hour}), delay: 60 * time.Millisecond}
		ctx, cancel := context.WithCancel(t.Context())
		c := newControllerOf(t, newLimitedTable(20*time.Millisecond), fleet)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(time.Second)
		require.NoError(t, c.Submit(ctx, primrosespar.Submission{ID: "j", Queue: "q", Steps: []primrosespar.Step{
			{Count: tasks, Need: primrosespar.Resources{Millicores: 50, MemoryMiB: 16}, Estimate: time.Hour},
		}}))
		time.Sleep(15 * time.Second)
		running := func() int {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			n := 0
			for _, w := range fleet.workers {
				n += len(w.runs)
			}
			return n
		}
		require.Equal(t, tasks, running())
		require.NoError(t, c.Cancel(ctx, own("j")))
		time.Sleep(cancelBound)
		require.Zero(t, running())
		cancel()
		require.Error(t, <-ended)
	})
}
