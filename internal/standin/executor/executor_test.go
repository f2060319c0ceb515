package executor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/executor"
)

const (
	place = primrosespar.Place("burnie-a")
	lease = 10 * time.Second
	bound = 15 * time.Second
)

// fixture is an executor with the workers w0 and w1 of 8 accelerators each.
type fixture struct {
	t        require.TestingT
	clock    *clockwork.FakeClock
	executor *executor.Executor
	token    primrosespar.Token
}

// newFixture returns a fixture whose calls carry token 5.
func newFixture(t require.TestingT) *fixture {
	clock := clockwork.NewFakeClock()
	f := &fixture{t: t, clock: clock, executor: executor.New(executor.WithClock(clock)), token: 5}
	for _, name := range []primrosespar.Worker{"w0", "w1"} {
		f.executor.Add(primrosespar.WorkerEntry{Worker: name, Place: place, Rack: "r", Accelerators: 8})
	}
	return f
}

// do sends a command for the member of gang g that runs on the worker with the
// member's number, with 4 accelerators and a run time of 60 s.
func (f *fixture) do(kind primrosespar.CommandKind, member int, attempt uint64) primrosespar.Code {
	return f.send(primrosespar.Command{
		Worker: primrosespar.Worker(fmt.Sprintf("w%d", member)), Kind: kind, Gang: "g", Member: member, Attempt: attempt,
		Count: 4, Lease: lease, Payload: []byte(`{"run_time_ms":60000,"members":2,"used_cores":3}`),
	})
}

// send sends a command and returns the code of its result.
func (f *fixture) send(c primrosespar.Command) primrosespar.Code {
	results, err := f.executor.Do(context.Background(), place, f.token, []primrosespar.Command{c})
	require.NoError(f.t, err)
	return results[0].Code
}

// advanceWithRenewals advances the clock and renews the lease of w0 every
// second.
func (f *fixture) advanceWithRenewals(d time.Duration) {
	for ; d > 0; d -= time.Second {
		f.clock.Advance(time.Second)
		f.do(primrosespar.CommandRenew, 0, 0)
	}
}

// task returns the status of the only task of the worker.
func (f *fixture) task(member int) primrosespar.TaskStatus {
	entries, _, err := f.executor.Changes(context.Background(), place, 0)
	require.NoError(f.t, err)
	require.Len(f.t, entries[member].Tasks, 1)
	return entries[member].Tasks[0]
}

// TestTaskRunsOnlyWhileReleased guards against a task that makes progress
// before its release or while it is throttled.
func TestTaskRunsOnlyWhileReleased(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandStart, 0, 1))
	f.advanceWithRenewals(100 * time.Second)
	require.Equal(t, primrosespar.TaskHeld, f.task(0).State)
	require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandRelease, 0, 1))
	f.advanceWithRenewals(4 * time.Second)
	require.Zero(t, f.task(0).UsedCores, "the usage is not reported yet")
	f.advanceWithRenewals(26 * time.Second)
	require.InDelta(t, 3, f.task(0).UsedCores, 0)
	require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandThrottle, 0, 1))
	f.advanceWithRenewals(50 * time.Second)
	require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandRelease, 0, 1))
	f.advanceWithRenewals(29 * time.Second)
	require.Equal(t, primrosespar.TaskRunning, f.task(0).State)
	f.advanceWithRenewals(time.Second)
	require.Equal(t, primrosespar.TaskFinished, f.task(0).State)
}

// TestTasksStopWhenLeaseExpires guards against an unreachable worker whose
// tasks continue after its lease has expired, and against a summary that misses
// a gang of which only one member continues.
func TestTasksStopWhenLeaseExpires(t *testing.T) {
	for _, stopReachable := range []bool{true, false} {
		f := newFixture(t)
		for member := range 2 {
			require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandStart, member, 1))
			require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandRelease, member, 1))
		}
		require.NoError(t, f.executor.SetUnreachable("w1", true))
		if stopReachable {
			f.advanceWithRenewals(5 * time.Second)
			require.Equal(t, primrosespar.CodeWorkerLost, f.do(primrosespar.CommandStop, 1, 1))
			require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandStop, 0, 1))
		}
		f.advanceWithRenewals(40 * time.Second)
		require.Equal(t, primrosespar.TaskStopped, f.task(1).State)
		summary := f.executor.Summary(bound)
		require.Equal(t, 1, summary.GangsStarted)
		if stopReachable {
			require.Zero(t, summary.GangsPartial)
			require.Equal(t, 5*time.Second, summary.LongestPartial, "w1 runs until its lease expires")
		} else {
			require.Equal(t, 1, summary.GangsPartial)
			require.Equal(t, 30*time.Second, summary.LongestPartial, "w0 runs alone from 10 s to 40 s")
		}
	}
}

// TestMissingMemberMakesGangPartial guards against a summary that takes the
// members that were started for the whole gang.
func TestMissingMemberMakesGangPartial(t *testing.T) {
	f := newFixture(t)
	f.do(primrosespar.CommandStart, 0, 1)
	f.do(primrosespar.CommandRelease, 0, 1)
	f.advanceWithRenewals(bound + time.Second)
	require.Equal(t, 1, f.executor.Summary(bound).GangsPartial)
}

// TestOutdatedCommandsAreRefused guards against a worker that executes commands
// of an earlier token or attempt, or a start that arrives after the stop of its
// attempt.
func TestOutdatedCommandsAreRefused(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandStart, 0, 2))
	f.token = 4
	require.Equal(t, primrosespar.CodeStaleToken, f.do(primrosespar.CommandRelease, 0, 2))
	require.Equal(t, primrosespar.CodeStaleToken, f.do(primrosespar.CommandRenew, 0, 0))
	f.token = 6
	require.Equal(t, primrosespar.CodeStaleAttempt, f.do(primrosespar.CommandStop, 0, 1))
	require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandStop, 0, 2))
	require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandForget, 0, 2))
	require.Equal(t, primrosespar.CodeStaleAttempt, f.do(primrosespar.CommandStart, 0, 2))
	require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandStart, 0, 3))
}

// TestWorkerFaults guards against a killed worker that stays reported as alive,
// a restored worker that still has its tasks, and a checkpoint that takes no
// time.
func TestWorkerFaults(t *testing.T) {
	f := newFixture(t)
	f.do(primrosespar.CommandStart, 0, 1)
	f.do(primrosespar.CommandRelease, 0, 1)
	f.do(primrosespar.CommandCheckpoint, 0, 1)
	require.False(t, f.task(0).Checkpointed)
	f.advanceWithRenewals(executor.DefaultCheckpointTime)
	require.True(t, f.task(0).Checkpointed)
	require.NoError(t, f.executor.Kill("w0"))
	entries, cursor, err := f.executor.Changes(t.Context(), place, 0)
	require.NoError(t, err)
	require.True(t, entries[0].Alive, "the failure is not detected yet")
	f.clock.Advance(executor.DefaultSilenceTimeout)
	entries, _, err = f.executor.Changes(t.Context(), place, cursor)
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.False(t, entries[0].Alive)
	require.NoError(t, f.executor.Restore("w0"))
	require.NoError(t, f.executor.SetFailAll("w0", true))
	require.Equal(t, primrosespar.CodeOK, f.do(primrosespar.CommandStart, 0, 2))
	require.Equal(t, primrosespar.TaskFailed, f.task(0).State)
}

// TestAcceleratorsAreExclusive guards against two tasks that hold the same
// accelerator.
func TestAcceleratorsAreExclusive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(rt)
		f.do(primrosespar.CommandRenew, 0, 0)
		owners := map[int]primrosespar.JobID{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			gang := primrosespar.JobID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "gang"))
			c := primrosespar.Command{Worker: "w0", Gang: gang, Attempt: uint64(rapid.IntRange(1, 3).Draw(rt, "attempt"))}
			c.First, c.Count = rapid.IntRange(0, 4).Draw(rt, "first"), rapid.IntRange(1, 4).Draw(rt, "count")
			c.Kind = rapid.SampledFrom([]primrosespar.CommandKind{
				primrosespar.CommandStart, primrosespar.CommandStart, primrosespar.CommandStop, primrosespar.CommandForget,
			}).Draw(rt, "kind")
			code := f.send(c)
			if code != primrosespar.CodeOK || c.Kind == primrosespar.CommandForget {
				continue
			}
			for i := range 8 {
				startedHere := c.Kind == primrosespar.CommandStart && i >= c.First && i < c.First+c.Count
				if startedHere {
					require.Contains(rt, []primrosespar.JobID{"", gang}, owners[i])
					owners[i] = gang
				} else if c.Kind == primrosespar.CommandStop && owners[i] == gang {
					owners[i] = ""
				}
			}
		}
	})
}
