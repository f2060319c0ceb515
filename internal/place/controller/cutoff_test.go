package controller_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/member/leaser"
	"primrosespar.example/primrosespar/internal/place/controller"
	"primrosespar.example/primrosespar/internal/place/planner"
)

// cutTable is a table that one host cannot reach while cut is set.
type cutTable struct {
	primrosespar.Table
	cut atomic.Bool
}

// Get implements primrosespar.Table.
func (c *cutTable) Get(ctx context.Context, keys ...string) ([]primrosespar.Row, error) {
	if c.cut.Load() {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "cut off")
	}
	return c.Table.Get(ctx, keys...)
}

// Scan implements primrosespar.Table.
func (c *cutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]primrosespar.Row, error) {
	if c.cut.Load() {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "cut off")
	}
	return c.Table.Scan(ctx, prefix, after, limit)
}

// Commit implements primrosespar.Table.
func (c *cutTable) Commit(ctx context.Context, txn primrosespar.Txn) ([]primrosespar.Version, error) {
	if c.cut.Load() {
		return nil, primrosespar.Fail(primrosespar.CodeStoreUnavailable, "cut off")
	}
	return c.Table.Commit(ctx, txn)
}

// cutWorkers is a worker service that cannot reach some workers while cut is set.
type cutWorkers struct {
	primrosespar.Workers
	isLost func(primrosespar.Worker) bool
	cut    *atomic.Bool
}

// Changes implements primrosespar.Workers. All workers count as changed.
func (c cutWorkers) Changes(ctx context.Context, place primrosespar.Place, _ uint64) ([]primrosespar.WorkerEntry, uint64, error) {
	entries, next, err := c.Workers.Changes(ctx, place, 0)
	for i := range entries {
		if c.cut.Load() && c.isLost(entries[i].Worker) {
			entries[i].Alive, entries[i].Tasks = false, nil
		}
	}
	return entries, next, err
}

// Do implements primrosespar.Workers.
func (c cutWorkers) Do(ctx context.Context, place primrosespar.Place, token primrosespar.Token, commands []primrosespar.Command) ([]primrosespar.CommandResult, error) {
	results := make([]primrosespar.CommandResult, len(commands))
	for i, command := range commands {
		results[i].Code = primrosespar.CodeWorkerLost
		if c.cut.Load() && c.isLost(command.Worker) {
			continue
		}
		result, err := c.Workers.Do(ctx, place, token, []primrosespar.Command{command})
		if err != nil {
			return nil, err
		}
		results[i] = result[0]
	}
	return results, nil
}

// cutPlace is a place with two hosts and a gang of one member. The first host is
// cut off from the table together with the member's worker, which the second
// one cannot reach, and from the other workers if it is isolated.
type cutPlace struct {
	*testEnv
	table    *cutTable
	cut      *atomic.Bool
	id       primrosespar.JobID
	worker   primrosespar.Worker
	killHost context.CancelFunc
}

// newCutPlace returns a place behind the cut with a gang that takes the time.
func newCutPlace(t *testing.T, runTime time.Duration, isolated bool) *cutPlace {
	p := &cutPlace{testEnv: newTestEnv(t, 2), cut: &atomic.Bool{}}
	p.table = &cutTable{Table: p.testEnv.table}
	others := func(w primrosespar.Worker) bool { return isolated && w != p.worker }
	p.killHost = p.start("host-1", p.table, cutWorkers{p.workers, others, p.cut})
	p.id = p.submit("beta", 1, 8, runTime, false)
	p.awaitState(p.id, primrosespar.GangRunning, 10*time.Second)
	p.worker = p.gang(p.id).Slices[0].Worker
	p.table.cut.Store(true)
	p.cut.Store(true)
	p.start("host-2", p.testEnv.table, cutWorkers{p.workers, func(w primrosespar.Worker) bool { return w == p.worker }, p.cut})
	return p
}

// start starts a host; the returned function kills it.
func (p *cutPlace) start(name string, table primrosespar.Table, workers primrosespar.Workers) context.CancelFunc {
	c := controller.New(controller.Parts{
		Place: place, Host: primrosespar.Host(name), Table: table, Workers: workers, Clock: p.clock,
		Lease: leaser.New(table, p.clock, leaser.Identity{
			Place: place, Host: primrosespar.Host(name), Incarnation: primrosespar.Incarnation(name),
		}),
		Contracts: fakeContracts{}, Recorder: p.decisions,
		Planner: func() primrosespar.Planner { return planner.New(planner.WithPlace(place)) },
	})
	ctx, kill := context.WithCancel(p.t.Context())
	go func() { _ = c.Run(ctx) }()
	return kill
}

// heal ends the cut.
func (p *cutPlace) heal() {
	p.table.cut.Store(false)
	p.cut.Store(false)
}

// requireOneRun requires for a while that the gang runs at one worker at most.
func (p *cutPlace) requireOneRun(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(max(time.Second, d/100)) {
		entries, _, err := p.workers.Changes(p.t.Context(), place, 0)
		require.NoError(p.t, err)
		var running []primrosespar.Worker
		for _, e := range entries {
			if slices.ContainsFunc(e.Tasks, func(s primrosespar.TaskStatus) bool {
				return s.Gang == p.id && s.State == primrosespar.TaskRunning
			}) {
				running = append(running, e.Worker)
			}
		}
		require.LessOrEqual(p.t, len(running), 1, "the gang runs at %v at once", running)
	}
}

// TestGangOfCutOffWorkerRunsOnce guards against a gang that is started again
// while the earlier holder, cut off from the table together with the worker,
// renews the worker's lease.
func TestGangOfCutOffWorkerRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCutPlace(t, time.Hour, false)
		p.requireOneRun(time.Minute)
	})
}

// TestGangOutlivesTheCutOfItsWorker guards against a gang that is stopped or
// started again after a cut of an hour, at work behind it or done by then.
func TestGangOutlivesTheCutOfItsWorker(t *testing.T) {
	for name, runTime := range map[string]time.Duration{"at work": 62 * time.Minute, "done": 30 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCutPlace(t, runTime, true)
				p.requireOneRun(time.Hour)
				p.heal()
				p.requireOneRun(time.Minute)
				p.awaitState(p.id, primrosespar.GangDone, time.Hour)
				require.EqualValues(t, 1, p.gang(p.id).Attempt)
			})
		})
	}
}

// TestGangOfDeadWorkerStartsAgainOnceTheWorkerIsBack guards against a gang that
// waits for ever because its worker and the holder died together.
func TestGangOfDeadWorkerStartsAgainOnceTheWorkerIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCutPlace(t, time.Minute, true)
		p.killHost()
		require.NoError(t, p.workers.Kill(p.worker))
		p.requireOneRun(10 * time.Minute)
		require.NoError(t, p.workers.Restore(p.worker))
		p.heal()
		p.awaitState(p.id, primrosespar.GangDone, 5*time.Minute)
		require.EqualValues(t, 2, p.gang(p.id).Attempt)
	})
}

// TestGangStartsAgainWhereItsWorkerWasReached guards against a gang that is not
// started again although no earlier holder can renew the lease of its worker:
// that worker had accepted the token of this holder before it was lost.
func TestGangStartsAgainWhereItsWorkerWasReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCutPlace(t, time.Minute, true)
		p.cut.Store(false)
		time.Sleep(30 * time.Second)
		p.cut.Store(true)
		p.awaitState(p.id, primrosespar.GangDone, 3*time.Minute)
		require.EqualValues(t, 2, p.gang(p.id).Attempt)
	})
}
