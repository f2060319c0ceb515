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

// cutWorkers is a worker service that cannot reach one worker.
type cutWorkers struct {
	primrosespar.Workers
	lost primrosespar.Worker
}

// Changes implements primrosespar.Workers.
func (c cutWorkers) Changes(ctx context.Context, place primrosespar.Place, cursor uint64) ([]primrosespar.WorkerEntry, uint64, error) {
	entries, next, err := c.Workers.Changes(ctx, place, cursor)
	for i := range entries {
		if entries[i].Worker == c.lost {
			entries[i].Alive = false
		}
	}
	return entries, next, err
}

// Do implements primrosespar.Workers.
func (c cutWorkers) Do(ctx context.Context, place primrosespar.Place, token primrosespar.Token, commands []primrosespar.Command) ([]primrosespar.CommandResult, error) {
	results := make([]primrosespar.CommandResult, len(commands))
	for i, command := range commands {
		results[i].Code = primrosespar.CodeWorkerLost
		if command.Worker == c.lost {
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

// TestGangOfCutOffWorkerRunsOnce guards against a gang that is started again
// while the earlier holder, cut off from the table together with the worker,
// renews the worker's lease.
func TestGangOfCutOffWorkerRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		start := func(name string, table primrosespar.Table, workers primrosespar.Workers) {
			c := controller.New(controller.Parts{
				Place: place, Host: primrosespar.Host(name), Table: table, Workers: workers, Clock: env.clock,
				Lease: leaser.New(table, env.clock, leaser.Identity{
					Place: place, Host: primrosespar.Host(name), Incarnation: primrosespar.Incarnation(name),
				}),
				Contracts: fakeContracts{}, Recorder: env.decisions,
				Planner: func() primrosespar.Planner { return planner.New(planner.WithPlace(place)) },
			})
			go func() { _ = c.Run(t.Context()) }()
		}
		table := &cutTable{Table: env.table}
		start("host-1", table, env.workers)
		id := env.submit("beta", 1, 8, time.Hour, false)
		env.awaitState(id, primrosespar.GangRunning, 10*time.Second)
		worker := env.gang(id).Slices[0].Worker
		table.cut.Store(true)
		start("host-2", env.table, cutWorkers{env.workers, worker})
		for range 60 {
			time.Sleep(time.Second)
			entries, _, err := env.workers.Changes(t.Context(), place, 0)
			require.NoError(t, err)
			var running []primrosespar.Worker
			for _, e := range entries {
				if slices.ContainsFunc(e.Tasks, func(s primrosespar.TaskStatus) bool {
					return s.Gang == id && s.State == primrosespar.TaskRunning
				}) {
					running = append(running, e.Worker)
				}
			}
			require.LessOrEqual(t, len(running), 1, "the gang runs at %v at once", running)
		}
	})
}
