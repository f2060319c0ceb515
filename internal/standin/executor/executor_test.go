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

// bench is an executor with two workers of 8 accelerators.
type bench struct {
	t        require.TestingT
	clock    *clockwork.FakeClock
	executor *executor.Executor
	token    primrosespar.Token
}

func newBench(t require.TestingT) *bench {
	clock := clockwork.NewFakeClock()
	b := &bench{t: t, clock: clock, executor: executor.New(executor.WithClock(clock)), token: 5}
	for _, name := range []primrosespar.Worker{"w0", "w1"} {
		b.executor.Add(primrosespar.WorkerEntry{Worker: name, Place: place, Rack: "r", Accelerators: 8})
	}
	return b
}

// do sends one command for member n of gang g, which runs on worker n.
func (b *bench) do(kind primrosespar.CommandKind, member int, attempt uint64) primrosespar.Code {
	return b.send(primrosespar.Command{
		Worker: primrosespar.Worker(fmt.Sprintf("w%d", member)), Kind: kind, Gang: "g", Member: member, Attempt: attempt,
		Count: 4, Lease: lease, Payload: []byte(`{"run_time_ms":60000,"members":2,"used_cores":3}`),
	})
}

func (b *bench) send(c primrosespar.Command) primrosespar.Code {
	results, err := b.executor.Do(context.Background(), place, b.token, []primrosespar.Command{c})
	require.NoError(b.t, err)
	return results[0].Code
}

// renewFor lets time pass while w0 gets its lease renewed.
func (b *bench) renewFor(d time.Duration) {
	for ; d > 0; d -= time.Second {
		b.clock.Advance(time.Second)
		b.do(primrosespar.CommandRenew, 0, 0)
	}
}

func (b *bench) task(member int) primrosespar.TaskStatus {
	entries, _, err := b.executor.Changes(context.Background(), place, 0)
	require.NoError(b.t, err)
	require.Len(b.t, entries[member].Tasks, 1)
	return entries[member].Tasks[0]
}

// TestHeldUntilReleased guards against a loaded task that works before its
// release, or while throttled.
func TestHeldUntilReleased(t *testing.T) {
	b := newBench(t)
	require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandStart, 0, 1))
	b.renewFor(100 * time.Second)
	require.Equal(t, primrosespar.TaskHeld, b.task(0).State)
	require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandRelease, 0, 1))
	b.renewFor(4 * time.Second)
	require.Zero(t, b.task(0).UsedCores, "usage lags")
	b.renewFor(26 * time.Second)
	require.InDelta(t, 3, b.task(0).UsedCores, 0)
	require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandThrottle, 0, 1))
	b.renewFor(50 * time.Second)
	require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandRelease, 0, 1))
	b.renewFor(29 * time.Second)
	require.Equal(t, primrosespar.TaskRunning, b.task(0).State)
	b.renewFor(time.Second)
	require.Equal(t, primrosespar.TaskFinished, b.task(0).State)
}

// TestLeaseStopsTasks guards against a worker out of reach that works on after
// its lease, and against a verdict that misses a gang of which one member did.
func TestLeaseStopsTasks(t *testing.T) {
	for _, silent := range []bool{true, false} {
		b := newBench(t)
		for member := range 2 {
			require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandStart, member, 1))
			require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandRelease, member, 1))
		}
		require.NoError(t, b.executor.SetUnreachable("w1", true))
		if silent {
			b.renewFor(5 * time.Second)
			require.Equal(t, primrosespar.CodeWorkerLost, b.do(primrosespar.CommandStop, 1, 1))
			require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandStop, 0, 1))
		}
		b.renewFor(40 * time.Second)
		require.Equal(t, primrosespar.TaskStopped, b.task(1).State)
		v := b.executor.Summary(bound)
		require.Equal(t, 1, v.GangsStarted)
		if silent {
			require.Zero(t, v.GangsPartial)
			require.Equal(t, 5*time.Second, v.LongestPartial, "w1 works for the rest of its lease")
		} else {
			require.Equal(t, 1, v.GangsPartial)
			require.Equal(t, 30*time.Second, v.LongestPartial, "w0 works on alone from 10 s to 40 s")
		}
	}
}

// TestMissingMemberIsPartial guards against a verdict that takes the members
// that were started for the whole gang.
func TestMissingMemberIsPartial(t *testing.T) {
	b := newBench(t)
	b.do(primrosespar.CommandStart, 0, 1)
	b.do(primrosespar.CommandRelease, 0, 1)
	b.renewFor(bound + time.Second)
	require.Equal(t, 1, b.executor.Summary(bound).GangsPartial)
}

// TestFencing guards against commands of an earlier holder or attempt and
// against a start that arrives after the stop of its attempt.
func TestFencing(t *testing.T) {
	b := newBench(t)
	require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandStart, 0, 2))
	b.token = 4
	require.Equal(t, primrosespar.CodeStaleToken, b.do(primrosespar.CommandRelease, 0, 2))
	require.Equal(t, primrosespar.CodeStaleToken, b.do(primrosespar.CommandRenew, 0, 0))
	b.token = 6
	require.Equal(t, primrosespar.CodeStaleAttempt, b.do(primrosespar.CommandStop, 0, 1))
	require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandStop, 0, 2))
	require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandForget, 0, 2))
	require.Equal(t, primrosespar.CodeStaleAttempt, b.do(primrosespar.CommandStart, 0, 2))
	require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandStart, 0, 3))
}

// TestWorkerFaults guards against a killed worker that is reported as alive, a
// restored one that still has tasks, and a checkpoint that takes no time.
func TestWorkerFaults(t *testing.T) {
	b := newBench(t)
	b.do(primrosespar.CommandStart, 0, 1)
	b.do(primrosespar.CommandRelease, 0, 1)
	b.do(primrosespar.CommandCheckpoint, 0, 1)
	require.False(t, b.task(0).Checkpointed)
	b.renewFor(executor.DefaultCheckpointTime)
	require.True(t, b.task(0).Checkpointed)
	require.NoError(t, b.executor.Kill("w0"))
	entries, cursor, err := b.executor.Changes(t.Context(), place, 0)
	require.NoError(t, err)
	require.True(t, entries[0].Alive, "the loss is not known yet")
	b.clock.Advance(executor.DefaultSilentTime)
	entries, _, err = b.executor.Changes(t.Context(), place, cursor)
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.False(t, entries[0].Alive)
	require.NoError(t, b.executor.Restore("w0"))
	require.NoError(t, b.executor.SetFailAll("w0", true))
	require.Equal(t, primrosespar.CodeOK, b.do(primrosespar.CommandStart, 0, 2))
	require.Equal(t, primrosespar.TaskFailed, b.task(0).State)
}

// TestAcceleratorsAreExclusive guards against one accelerator with two tasks.
func TestAcceleratorsAreExclusive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(rt)
		b.do(primrosespar.CommandRenew, 0, 0)
		owner := map[int]primrosespar.JobID{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			gang := primrosespar.JobID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "gang"))
			c := primrosespar.Command{Worker: "w0", Gang: gang, Attempt: uint64(rapid.IntRange(1, 3).Draw(rt, "attempt"))}
			c.First, c.Count = rapid.IntRange(0, 4).Draw(rt, "first"), rapid.IntRange(1, 4).Draw(rt, "count")
			c.Kind = rapid.SampledFrom([]primrosespar.CommandKind{
				primrosespar.CommandStart, primrosespar.CommandStart, primrosespar.CommandStop, primrosespar.CommandForget,
			}).Draw(rt, "kind")
			code := b.send(c)
			if code != primrosespar.CodeOK || c.Kind == primrosespar.CommandForget {
				continue
			}
			for i := range 8 {
				inside := c.Kind == primrosespar.CommandStart && i >= c.First && i < c.First+c.Count
				if inside {
					require.Contains(rt, []primrosespar.JobID{"", gang}, owner[i])
					owner[i] = gang
				} else if c.Kind == primrosespar.CommandStop && owner[i] == gang {
					owner[i] = ""
				}
			}
		}
	})
}
