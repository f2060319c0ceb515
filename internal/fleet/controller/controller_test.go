package controller_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/committer"
	"primrosespar.example/primrosespar/internal/fleet/controller"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// source is a primrosespar.Source with a catalog and no workers.
type source struct{}

// Catalog implements primrosespar.Source.
func (source) Catalog(context.Context) (*primrosespar.Catalog, error) { return catalog(), nil }

// ListWorkers implements primrosespar.Source.
func (source) ListWorkers(context.Context) ([]primrosespar.WorkerInfo, error) { return nil, nil }

// catalog returns a catalog with one queue.
func catalog() *primrosespar.Catalog {
	return &primrosespar.Catalog{Queues: []primrosespar.QueueTerms{{Queue: "q", Service: "pool", Priority: 1}}}
}

// acquireLease acquires the lease. It retries after a conflict with a write of
// the current holder, as the elector does.
func acquireLease(t *testing.T, lease *committer.Committer) {
	for {
		seen, err := lease.Read(t.Context())
		require.NoError(t, err)
		err = lease.Acquire(t.Context(), seen)
		if primrosespar.CodeOf(err) == primrosespar.CodeConflict {
			continue
		}
		require.NoError(t, err)
		return
	}
}

// newController returns a controller whose committer holds the lease.
func newController(t *testing.T, table primrosespar.Table) *controller.Controller {
	return newControllerOf(t, table, source{})
}

// newControllerOf is newController with the given source of workers, which may
// be their fleet too.
func newControllerOf(t *testing.T, table primrosespar.Table, workers primrosespar.Source, opts ...controller.Option) *controller.Controller {
	return newControllerWith(t, table, workers, func(string, error) {}, opts...)
}

// newReportingController is newController with the function that receives
// errors, on a platform with machine maintenance.
func newReportingController(t *testing.T, table primrosespar.Table, onError func(part string, err error)) *controller.Controller {
	return newControllerWith(t, table, maintained{}, onError)
}

// newControllerWith is newControllerOf with the function that receives errors.
func newControllerWith(t *testing.T, table primrosespar.Table, workers primrosespar.Source, onError func(part string, err error), opts ...controller.Option) *controller.Controller {
	maintenance, _ := workers.(primrosespar.MaintenanceService)
	fleet, _ := workers.(primrosespar.Fleet)
	evacuations, _ := workers.(primrosespar.EvacuationSource)
	clock := clockwork.NewRealClock()
	self := &host{}
	lease := committer.New(table, clock, committer.Identity{Host: "a", Incarnation: "1", Address: netip.MustParseAddrPort("10.0.0.1:1")},
		committer.WithStopwatch(self))
	acquireLease(t, lease)
	c, err := controller.New(controller.Parts{
		Table: table, Source: workers, Fleet: fleet, Clock: clock, Stopwatch: self, Committer: lease, Catalog: catalog,
		WallClock:  func(now time.Time) time.Time { return now },
		OnDecision: func(scheduler.Event) {}, OnStoreAnswer: func() {}, OnError: onError, Maintenance: maintenance, Evacuations: evacuations,
	}, opts...)
	require.NoError(t, err)
	return c
}

// TestWaitingIsUnknownUntilJobsAreLoaded guards against a queue that is
// reported as empty while a new holder still loads the jobs of the earlier one.
func TestWaitingIsUnknownUntilJobsAreLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		ctx, cancel := context.WithCancel(t.Context())
		first := newController(t, table)
		_, known := first.Waiting()
		require.False(t, known)
		ended := make(chan error, 2)
		go func() { ended <- first.Run(ctx) }()
		require.NoError(t, first.Submit(ctx, primrosespar.Submission{
			ID: "a", Queue: "q", Steps: []primrosespar.Step{{Count: 1, Estimate: time.Second}},
		}))
		time.Sleep(time.Second)
		waiting, known := first.Waiting()
		require.True(t, known)
		require.Equal(t, map[primrosespar.Queue]int{"q": 1}, waiting)

		second := newController(t, table)
		_, known = second.Waiting()
		require.False(t, known)
		go func() { ended <- second.Run(ctx) }()
		time.Sleep(time.Second)
		waiting, known = second.Waiting()
		require.True(t, known)
		require.Equal(t, map[primrosespar.Queue]int{"q": 1}, waiting)
		cancel()
		require.Error(t, <-ended)
		require.Error(t, <-ended)
	})
}

// brokenSource is a primrosespar.Source whose list of workers cannot be read
// without a panic.
type brokenSource struct{ source }

// ListWorkers implements primrosespar.Source.
func (brokenSource) ListWorkers(context.Context) ([]primrosespar.WorkerInfo, error) {
	panic("malformed row")
}

// TestPanicEndsTheTermOnly guards against an unexpected error that ends the
// whole process of the holder, and then that of each host that follows it.
func TestPanicEndsTheTermOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControllerOf(t, keeper.New(keeper.WithClock(clockwork.NewRealClock())), brokenSource{})
		require.ErrorContains(t, c.Run(t.Context()), "malformed row")
	})
}

// silentTable is a primrosespar.Table whose commits get no answer and have no
// effect while silent is set.
type silentTable struct {
	primrosespar.Table
	silent atomic.Bool
}

// Commit implements primrosespar.Table.
func (t *silentTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	if t.silent.Load() {
		<-ctx.Done()
		return nil, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no answer")
	}
	return t.Table.Commit(ctx, txn)
}

// callTimeout is how long the callers of the tests wait for an answer.
const callTimeout = 6 * time.Second

// TestJobsThatWaitForASilentStoreAreRefused guards against an unknown outcome
// for a job of which nothing was sent to the store: its caller could not try
// again. The job in the commit in flight is not refused, since it may be stored.
func TestJobsThatWaitForASilentStoreAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &silentTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock()))}
		ctx, cancel := context.WithCancel(t.Context())
		c := newController(t, table)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		// No renewal of the lease row is in flight at this time.
		time.Sleep(1100 * time.Millisecond)
		submit := func(id primrosespar.JobID) chan error {
			result := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				result <- c.Submit(ctx, primrosespar.Submission{ID: id, Queue: "q", Steps: []primrosespar.Step{{Count: 1, Estimate: time.Second}}})
			}()
			time.Sleep(100 * time.Millisecond)
			return result
		}
		table.silent.Store(true)
		sent := submit("a")
		waiting, again := submit("b"), submit("b")
		time.Sleep(1100 * time.Millisecond)
		for _, refused := range []chan error{waiting, again} {
			err := <-refused
			require.Equal(t, primrosespar.CodeStoreUnavailable, primrosespar.CodeOf(err))
			var failure *primrosespar.Failure
			require.ErrorAs(t, err, &failure)
			require.Equal(t, primrosespar.RanNot, failure.Ran)
		}
		require.Empty(t, sent)
		time.Sleep(3 * time.Second)
		table.silent.Store(false)
		require.NoError(t, <-sent)
		time.Sleep(time.Second)
		_, err := c.State(ctx, primrosespar.JobRequest{Job: "b", Queue: "q"})
		require.Equal(t, primrosespar.CodeNotFound, primrosespar.CodeOf(err))
		require.NoError(t, <-submit("b"))
		cancel()
		require.Error(t, <-ended)
	})
}

// TestJobOfTheInboxIsNotWithdrawn guards against a job that another host has
// accepted through the inbox and that is forgotten, because a second submission
// of it waits for a silent store.
func TestJobOfTheInboxIsNotWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stored := keeper.New(keeper.WithClock(clockwork.NewRealClock()))
		table := &silentTable{Table: stored}
		ctx, cancel := context.WithCancel(t.Context())
		c := newController(t, table)
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(1600 * time.Millisecond)
		job := primrosespar.Submission{ID: "b", Queue: "q", Steps: []primrosespar.Step{{Count: 1, Estimate: time.Second}}}
		enc, err := encoder.New()
		require.NoError(t, err)
		row, err := enc.Submission(job)
		require.NoError(t, err)
		_, err = stored.Commit(ctx, primrosespar.Txn{Writes: []primrosespar.Write{{Key: primrosespar.FleetInboxSubmitKey("b"), Value: row}}})
		require.NoError(t, err)
		table.silent.Store(true)
		go func() { _ = c.Submit(ctx, primrosespar.Submission{ID: "a", Queue: "q", Steps: job.Steps}) }()
		time.Sleep(100 * time.Millisecond)
		result := make(chan error, 1)
		go func() { result <- c.Submit(ctx, job) }()
		// The inbox is read meanwhile.
		time.Sleep(3 * time.Second)
		table.silent.Store(false)
		require.NoError(t, <-result)
		time.Sleep(time.Second)
		_, err = c.State(ctx, primrosespar.JobRequest{Job: "b", Queue: "q"})
		require.NoError(t, err)
		cancel()
		require.Error(t, <-ended)
	})
}

// largeFleet is a primrosespar.Source and Fleet of idle workers that answer
// polls after a while. It counts the polls in flight.
type largeFleet struct {
	source
	primrosespar.Fleet
	workers  int
	inFlight atomic.Int64
	most     atomic.Int64
	answered atomic.Int64
}

// ListWorkers implements primrosespar.Source.
func (f *largeFleet) ListWorkers(context.Context) ([]primrosespar.WorkerInfo, error) {
	var workers []primrosespar.WorkerInfo
	for i := range f.workers {
		workers = append(workers, primrosespar.WorkerInfo{
			Worker: primrosespar.Worker(fmt.Sprintf("w%d", i)), Service: "pool", StartedAt: time.UnixMilli(1),
		})
	}
	return workers, nil
}

// Poll implements primrosespar.Fleet.
func (f *largeFleet) Poll(context.Context, primrosespar.Poll) (primrosespar.WorkerReport, error) {
	n := f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if n > f.most.Load() {
		f.most.Store(n)
	}
	time.Sleep(60 * time.Millisecond)
	f.answered.Add(1)
	return primrosespar.WorkerReport{StartedAt: time.UnixMilli(1), Complete: true}, nil
}

// TestNewHolderPollsALargeFleetInPortions guards against a small host that
// polls all workers at once and loses the lease meanwhile, because nothing else
// gets processor time.
func TestNewHolderPollsALargeFleetInPortions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &largeFleet{workers: 1100}
		ctx, cancel := context.WithCancel(t.Context())
		c := newControllerOf(t, keeper.New(keeper.WithClock(clockwork.NewRealClock())), fleet, controller.WithMaxFirstPolls(24))
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(10 * time.Second)
		require.Equal(t, int64(1100), fleet.answered.Load())
		require.LessOrEqual(t, fleet.most.Load(), int64(24))
		cancel()
		require.Error(t, <-ended)
	})
}

// slowTable is a primrosespar.Table whose commits take a while.
type slowTable struct {
	primrosespar.Table
	latency time.Duration
}

// Commit implements primrosespar.Table.
func (t *slowTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	versions, err := t.Table.Commit(ctx, txn)
	time.Sleep(t.latency)
	return versions, err
}

// TestAnswersDoNotWaitForTheWholeBatch guards against callers that wait for
// several transactions of a slow store, since their jobs are stored together
// with many others.
func TestAnswersDoNotWaitForTheWholeBatch(t *testing.T) {
	const latency = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newController(t, &slowTable{Table: keeper.New(keeper.WithClock(clockwork.NewRealClock())), latency: latency})
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(2 * time.Second)
		var answered atomic.Int64
		for i := range 200 {
			go func() {
				err := c.Submit(ctx, primrosespar.Submission{
					ID: primrosespar.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Steps: []primrosespar.Step{{Count: 1, Estimate: time.Second}},
				})
				if err == nil {
					answered.Add(1)
				}
			}()
		}
		// The first transaction holds the jobs of the first moment, the second
		// one as many of the others as fit, with two rows each.
		time.Sleep(2*latency + 100*time.Millisecond)
		require.GreaterOrEqual(t, answered.Load(), int64(committer.MaxWrites/2))
		time.Sleep(6 * latency)
		require.Equal(t, int64(200), answered.Load())
		cancel()
		require.Error(t, <-ended)
	})
}
