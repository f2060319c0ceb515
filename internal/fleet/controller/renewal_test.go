package controller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// waitingView is a leasedFleetView whose polls wait for an end as long as they
// ask for.
type waitingView struct{ *leasedFleetView }

// Poll implements primrosespar.Fleet.
func (v waitingView) Poll(ctx context.Context, poll primrosespar.Poll) (primrosespar.WorkerReport, error) {
	end := time.Now().Add(poll.Wait)
	poll.Wait = 0
	for {
		report, err := v.leasedFleetView.Poll(ctx, poll)
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(end) {
			return report, err
		}
		time.Sleep(min(50*time.Millisecond, time.Until(end)))
	}
}

// Stop implements primrosespar.Fleet.
func (v waitingView) Stop(ctx context.Context, stop primrosespar.Stop) error {
	return v.order(ctx, stop.Worker, stop.Token, func(w *leasedWorker) {
		for _, r := range w.runs {
			if r.run == stop.Run && r.end == "" {
				r.end, r.endedAt = primrosespar.EndStopped, time.Now()
			}
		}
	})
}

// lapsedRuns returns the number of runs whose lease has expired.
func (f *leasedFleet) lapsedRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		w.advance()
		for _, r := range w.runs {
			if r.end == primrosespar.EndLeaseExpired {
				n++
			}
		}
	}
	return n
}

// oneTask returns a job of one task of a minute.
func oneTask() primrosespar.Submission {
	return primrosespar.Submission{
		ID: "j", Queue: "q", Steps: []primrosespar.Step{{Count: 1, Need: primrosespar.Resources{Millicores: 600}, Estimate: time.Minute}},
	}
}

// TestRunSurvivesAChangeOfHolder guards against a new holder that renews the
// leases of the earlier one too late, although it reaches the worker: the lease
// covers a change of holder of about 2 s.
func TestRunSurvivesAChangeOfHolder(t *testing.T) {
	for _, gap := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond} {
		lapsed, plays := 0, 0
		for offset := time.Duration(0); offset < 2500*time.Millisecond; offset += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				fleet := newLeasedFleet(time.Minute)
				table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
				firstCtx, kill := context.WithCancel(t.Context())
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 2)
				first := newControllerOf(t, table, exactView{waitingView{&leasedFleetView{fleet: fleet}}})
				go func() { ended <- first.Run(firstCtx) }()
				time.Sleep(2 * time.Second)
				require.NoError(t, first.Submit(ctx, oneTask()))
				time.Sleep(10*time.Second + offset)
				kill()
				time.Sleep(gap)
				second := newControllerOf(t, table, exactView{waitingView{&leasedFleetView{fleet: fleet}}})
				go func() { ended <- second.Run(ctx) }()
				time.Sleep(10 * time.Second)
				plays++
				if fleet.lapsedRuns() > 0 {
					lapsed++
				}
				cancel()
				require.Error(t, <-ended)
				require.Error(t, <-ended)
			})
		}
		t.Logf("holder replaced after %v: the run lapsed in %d of %d plays", gap, lapsed, plays)
		assert.Zero(t, lapsed, "holder replaced after %v: the run lapsed in %d of %d plays", gap, lapsed, plays)
	}
}

// TestRunSurvivesAnOutageOfTheStore guards against work that is thrown away in an
// outage of 5 to 8 s of the store alone, in which nobody can take over.
func TestRunSurvivesAnOutageOfTheStore(t *testing.T) {
	for _, outage := range []time.Duration{5 * time.Second, 6 * time.Second, 7 * time.Second, 8 * time.Second} {
		lapsed, plays := 0, 0
		for offset := time.Duration(0); offset < 2500*time.Millisecond; offset += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				fleet := newLeasedFleet(time.Minute)
				table := &silentTable{Table: &slowTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock())), latency: 20 * time.Millisecond}}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				c := newControllerOf(t, table, exactView{waitingView{&leasedFleetView{fleet: fleet}}})
				go func() { ended <- c.Run(ctx) }()
				time.Sleep(2 * time.Second)
				require.NoError(t, c.Submit(ctx, oneTask()))
				time.Sleep(10*time.Second + offset)
				table.silent.Store(true)
				time.Sleep(outage)
				table.silent.Store(false)
				time.Sleep(10 * time.Second)
				plays++
				if fleet.lapsedRuns() > 0 {
					lapsed++
				}
				cancel()
				require.Error(t, <-ended)
			})
		}
		t.Logf("outage of %v: the run lapsed in %d of %d plays", outage, lapsed, plays)
		assert.Zero(t, lapsed, "outage of %v: the run lapsed in %d of %d plays", outage, lapsed, plays)
	}
}

// exactView is a waitingView of workers whose clocks are right.
type exactView struct{ waitingView }

// Poll implements primrosespar.Fleet.
func (v exactView) Poll(ctx context.Context, poll primrosespar.Poll) (primrosespar.WorkerReport, error) {
	poll.LeaseUntil = time.Duration(slowClockRate * float64(poll.LeaseUntil))
	report, err := v.waitingView.Poll(ctx, poll)
	report.Clock = time.Duration(float64(report.Clock) / slowClockRate)
	return report, err
}

// Start implements primrosespar.Fleet.
func (v exactView) Start(ctx context.Context, start primrosespar.Start) error {
	start.LeaseUntil = time.Duration(slowClockRate * float64(start.LeaseUntil))
	return v.waitingView.Start(ctx, start)
}

// countingView counts the starts that the workers refused as late.
type countingView struct {
	exactView
	late  *atomic.Int64
	lease *atomic.Int64
}

// Start implements primrosespar.Fleet.
func (v countingView) Start(ctx context.Context, start primrosespar.Start) error {
	v.fleet.mu.Lock()
	for _, w := range v.fleet.workers {
		if w.info.Worker == start.Worker {
			v.lease.Store(int64(start.LeaseUntil - time.Since(w.info.StartedAt)))
		}
	}
	v.fleet.mu.Unlock()
	err := v.exactView.Start(ctx, start)
	if primrosespar.CodeOf(err) == primrosespar.CodeWorkerLate {
		v.late.Add(1)
	}
	return err
}

// TestStartAtALongIdleWorkerGetsALease guards against a start that is refused as
// late, or gets a short lease, at a worker that was idle for minutes.
func TestStartAtALongIdleWorkerGetsALease(t *testing.T) {
	for _, idle := range []time.Duration{time.Minute, 5 * time.Minute, 10 * time.Minute, time.Hour} {
		t.Run(idle.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newLeasedFleet(time.Minute)
				table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				var late, lease atomic.Int64
				c := newControllerOf(t, table, countingView{exactView{waitingView{&leasedFleetView{fleet: fleet}}}, &late, &lease})
				go func() { ended <- c.Run(ctx) }()
				time.Sleep(idle)
				submittedAt := time.Now()
				require.NoError(t, c.Submit(ctx, oneTask()))
				time.Sleep(10 * time.Second)
				started := time.Duration(-1)
				fleet.mu.Lock()
				for _, w := range fleet.workers {
					for _, r := range w.runs {
						started = r.startedAt.Sub(submittedAt)
					}
				}
				fleet.mu.Unlock()
				t.Logf("idle %v: started after %v, refused as late %d times, last lease %v", idle, started, late.Load(), time.Duration(lease.Load()))
				if late.Load() > 0 || time.Duration(lease.Load()) < 5*time.Second {
					t.Errorf("idle %v: lease of the start %v, refused as late %d times", idle, time.Duration(lease.Load()), late.Load())
				}
				cancel()
				require.Error(t, <-ended)
			})
		})
	}
}

// TestRunSurvivesASlowStore guards against a holder that confirms its commits,
// though slowly, and yet renews no lease.
func TestRunSurvivesASlowStore(t *testing.T) {
	for _, latency := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newLeasedFleet(time.Minute)
				stored := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
				firstCtx, kill := context.WithCancel(t.Context())
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 2)
				first := newControllerOf(t, stored, exactView{waitingView{&leasedFleetView{fleet: fleet}}})
				go func() { ended <- first.Run(firstCtx) }()
				time.Sleep(2 * time.Second)
				require.NoError(t, first.Submit(ctx, oneTask()))
				time.Sleep(10 * time.Second)
				kill()
				time.Sleep(time.Second)
				second := newControllerOf(t, &slowTable{Table: stored, latency: latency}, exactView{waitingView{&leasedFleetView{fleet: fleet}}})
				go func() { ended <- second.Run(ctx) }()
				time.Sleep(20 * time.Second)
				if n := fleet.lapsedRuns(); n > 0 {
					t.Errorf("new holder, commits of %v: %d runs lapsed", latency, n)
				}
				cancel()
				require.Error(t, <-ended)
				require.Error(t, <-ended)
			})
		})
	}
}

// TestNewHolderStartsWithoutRefusals guards against starts that a new holder
// sends without a lease, which the workers refuse as late.
func TestNewHolderStartsWithoutRefusals(t *testing.T) {
	var refused int64
	var slowest time.Duration
	for offset := time.Duration(0); offset < 2500*time.Millisecond; offset += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			fleet := newLeasedFleet(time.Minute)
			stored := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			var late, lease atomic.Int64
			c := newControllerOf(t, &slowTable{Table: stored, latency: 20 * time.Millisecond}, countingView{exactView{waitingView{&leasedFleetView{fleet: fleet}}}, &late, &lease})
			go func() { ended <- c.Run(ctx) }()
			time.Sleep(offset)
			submittedAt := time.Now()
			require.NoError(t, c.Submit(ctx, oneTask()))
			time.Sleep(5 * time.Second)
			fleet.mu.Lock()
			for _, w := range fleet.workers {
				for _, r := range w.runs {
					slowest = max(slowest, r.startedAt.Sub(submittedAt))
				}
			}
			fleet.mu.Unlock()
			refused += late.Load()
			cancel()
			require.Error(t, <-ended)
		})
	}
	t.Logf("%d starts refused as late in 50 plays, the slowest start took %v", refused, slowest)
	require.Zero(t, refused)
}

// TestSecondTaskStartsWithoutRefusals is TestNewHolderStartsWithoutRefusals for a
// task that is submitted while the worker already reports often.
func TestSecondTaskStartsWithoutRefusals(t *testing.T) {
	var refused int64
	var slowest time.Duration
	for offset := time.Duration(0); offset < 2500*time.Millisecond; offset += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			fleet := newLeasedFleet(time.Minute)
			stored := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
			ctx, cancel := context.WithCancel(t.Context())
			firstCtx, kill := context.WithCancel(ctx)
			ended := make(chan error, 2)
			var late, lease atomic.Int64
			view := countingView{exactView{waitingView{&leasedFleetView{fleet: fleet}}}, &late, &lease}
			first := newControllerOf(t, stored, view)
			go func() { ended <- first.Run(firstCtx) }()
			time.Sleep(2 * time.Second)
			busy := oneTask()
			busy.Steps[0].Count, busy.Steps[0].Need.Millicores = 4, 300
			require.NoError(t, first.Submit(ctx, busy))
			time.Sleep(3 * time.Second)
			kill()
			time.Sleep(time.Second)
			late.Store(0)
			second := newControllerOf(t, &slowTable{Table: stored, latency: 20 * time.Millisecond}, view)
			go func() { ended <- second.Run(ctx) }()
			time.Sleep(offset)
			submittedAt := time.Now()
			next := oneTask()
			next.ID, next.Steps[0].Need.Millicores = "k", 300
			require.NoError(t, second.Submit(ctx, next))
			time.Sleep(5 * time.Second)
			fleet.mu.Lock()
			for _, w := range fleet.workers {
				for _, r := range w.runs {
					if r.run.Task.Job == "k" {
						slowest = max(slowest, r.startedAt.Sub(submittedAt))
					}
				}
			}
			fleet.mu.Unlock()
			refused += late.Load()
			cancel()
			require.Error(t, <-ended)
			require.Error(t, <-ended)
		})
	}
	t.Logf("%d starts refused as late in 50 plays, the slowest start took %v", refused, slowest)
	require.Zero(t, refused)
}
